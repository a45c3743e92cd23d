package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// ExecutorFaults are the faults of an Executor. The zero value injects none.
type ExecutorFaults struct {
	Dark        bool // no call is answered or carried out
	LoseAnswers int  // the next n starts are carried out and not answered
}

var errNoAnswer = errors.New("no answer")

// Executor is a stand-in for an executor: it runs tasks for a fixed time under
// one lease, keeps the highest fence and lists ends until they are forgotten. It
// is safe for concurrent use.
type Executor struct {
	mu       sync.Mutex
	audit    *Audit
	name     string
	behavior Behavior
	born     time.Time
	rate     float64 // of its clock
	fence    uint64
	deadline time.Duration
	lapse    *time.Timer   // ends the runs at the deadline
	lapsedAt time.Duration // deadline of the last lease that lapsed
	runs     map[fleet.TaskID]*standinRun
	ended    []fleet.End
	closed   map[fleet.TaskID]int // highest run that was stopped or has ended
	number   uint64
	changed  chan struct{}
	faults   ExecutorFaults
}

type standinRun struct {
	number int
	ends   *time.Timer
}

// Behavior says how long the run of an order takes and how it ends. A run of no
// time goes on until it is stopped.
type Behavior func(fleet.StartOrder) (time.Duration, fleet.EndReason)

var _ fleet.ExecutorClient = (*Executor)(nil)

// NewExecutor returns an executor whose tasks run for runTime; 0: until stopped.
func NewExecutor(name string, runTime time.Duration, audit *Audit) *Executor {
	return NewExecutorOf(name, 1, audit, func(fleet.StartOrder) (time.Duration, fleet.EndReason) { return runTime, fleet.EndDone })
}

// NewExecutorOf returns an executor with a behavior, whose clock runs at a rate
// of real time.
func NewExecutorOf(name string, rate float64, audit *Audit, behavior Behavior) *Executor {
	return &Executor{
		audit: audit, name: name, behavior: behavior, born: time.Now(), rate: rate, runs: map[fleet.TaskID]*standinRun{},
		closed: map[fleet.TaskID]int{}, changed: make(chan struct{}),
	}
}

// Born returns the start of this life.
func (x *Executor) Born() time.Time { return x.born }

// Crash ends this life: everything that runs is gone, nothing is listed.
func (x *Executor) Crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faults.Dark = true
	for id, r := range x.runs {
		r.ends.Stop()
		delete(x.runs, id)
		x.audit.ended(Event{Task: id, Run: r.number, Executor: x.name, Life: x.born, Reason: fleet.EndUnknown})
	}
}

// SetFaults replaces the faults.
func (x *Executor) SetFaults(f ExecutorFaults) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faults = f
}

// maxLease is the longest lease that an executor accepts.
const maxLease = 10 * time.Second

// extend extends the lease, which runs out also without a further call.
func (x *Executor) extend(deadline time.Duration) {
	deadline = min(deadline, x.clock()+maxLease)
	if deadline <= x.deadline {
		return
	}
	x.deadline = deadline
	if x.lapse != nil {
		x.lapse.Stop()
	}
	left := time.Duration(float64(deadline-x.clock()) / x.rate)
	x.lapse = time.AfterFunc(left+time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.expire()
	})
}

// expire ends all runs once the lease has expired.
func (x *Executor) expire() {
	if x.clock() <= x.deadline {
		return
	}
	for id, r := range x.runs {
		x.end(id, r, fleet.EndLapsed)
	}
	if x.lapsedAt != x.deadline {
		x.lapsedAt = x.deadline
		x.audit.lapsed(Event{Executor: x.name, Life: x.born, Number: x.number})
	}
}

// Runs reports whether the executor runs a task. A dark executor does so until
// its lease has expired.
func (x *Executor) Runs(id fleet.TaskID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[id] != nil && x.clock() <= x.deadline
}

// IsDark reports whether the executor answers no call.
func (x *Executor) IsDark() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.faults.Dark
}

func (x *Executor) clock() time.Duration { return time.Duration(x.rate * float64(time.Since(x.born))) }

// enter locks the executor, ends an expired lease and takes note of the fence.
func (x *Executor) enter(fence uint64) (fleet.OrderResult, error) {
	x.mu.Lock()
	x.expire()
	if x.faults.Dark {
		return fleet.OrderUnknown, errNoAnswer
	}
	if fence < x.fence {
		return fleet.OrderFenced, nil
	}
	x.fence = fence
	return fleet.OrderDone, nil
}

func (x *Executor) end(id fleet.TaskID, r *standinRun, reason fleet.EndReason) {
	r.ends.Stop()
	delete(x.runs, id)
	x.number++
	x.ended = append(x.ended, fleet.End{Number: x.number, Task: id, Run: r.number, Reason: reason})
	x.closed[id] = max(x.closed[id], r.number)
	x.audit.ended(Event{Task: id, Run: r.number, Executor: x.name, Life: x.born, Reason: reason, Number: x.number})
	close(x.changed)
	x.changed = make(chan struct{})
}

// Hold implements fleet.ExecutorClient.
func (x *Executor) Hold(ctx context.Context, _ fleet.Executor, fence uint64, deadline time.Duration, seen uint64, wait time.Duration) (fleet.RunLists, error) {
	if lists, ready, err := x.look(fence, deadline, seen); err != nil || ready {
		return lists, err
	}
	x.mu.Lock()
	changed := x.changed
	x.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return fleet.RunLists{}, ctx.Err()
	}
	lists, _, err := x.look(fence, 0, seen)
	return lists, err
}

func (x *Executor) look(fence uint64, deadline time.Duration, seen uint64) (fleet.RunLists, bool, error) {
	defer x.mu.Unlock()
	if result, err := x.enter(fence); err != nil || result != fleet.OrderDone {
		return fleet.RunLists{}, true, errors.Join(err, errNoAnswer)
	}
	x.extend(deadline)
	x.ended = slices.DeleteFunc(x.ended, func(e fleet.End) bool {
		if e.Number <= seen {
			x.audit.noted(Event{Task: e.Task, Run: e.Run, Executor: x.name, Life: x.born, Reason: e.Reason, Number: e.Number})
		}
		return e.Number <= seen
	})
	lists := fleet.RunLists{Clock: x.clock(), Ended: slices.Clone(x.ended)}
	for id, r := range x.runs {
		lists.Running = append(lists.Running, fleet.Running{Task: id, Run: r.number, Percent: 100})
	}
	return lists, len(x.ended) > 0, nil
}

// Start implements fleet.ExecutorClient.
func (x *Executor) Start(_ context.Context, _ fleet.Executor, fence uint64, o fleet.StartOrder) (fleet.OrderResult, error) {
	defer x.mu.Unlock()
	result, err := x.enter(fence)
	if err != nil || result != fleet.OrderDone {
		return result, err
	}
	x.extend(o.Deadline)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		return fleet.OrderDone, nil
	}
	if o.Run <= x.closed[o.Task] {
		return fleet.OrderOld, nil
	}
	if o.Deadline < x.clock() {
		return fleet.OrderLate, nil
	}
	x.start(o)
	if x.faults.LoseAnswers > 0 {
		x.faults.LoseAnswers--
		return fleet.OrderUnknown, errNoAnswer
	}
	return fleet.OrderDone, nil
}

func (x *Executor) start(o fleet.StartOrder) {
	r := &standinRun{number: o.Run}
	runTime, reason := x.behavior(o)
	r.ends = time.AfterFunc(max(runTime, time.Millisecond), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if runTime > 0 && x.runs[o.Task] == r && x.clock() <= x.deadline {
			x.end(o.Task, r, reason)
		}
	})
	x.runs[o.Task] = r
	x.audit.started(Event{Task: o.Task, Run: o.Run, Executor: x.name, Life: x.born, Spec: o.Spec})
}

// Stop implements fleet.ExecutorClient.
func (x *Executor) Stop(_ context.Context, _ fleet.Executor, fence uint64, task fleet.TaskID, run int) (fleet.OrderResult, error) {
	defer x.mu.Unlock()
	result, err := x.enter(fence)
	if err != nil || result != fleet.OrderDone {
		return result, err
	}
	x.closed[task] = max(x.closed[task], run)
	if r := x.runs[task]; r != nil && r.number <= run {
		x.end(task, r, fleet.EndStopped)
	}
	return fleet.OrderDone, nil
}

// Pace implements fleet.ExecutorClient.
func (x *Executor) Pace(context.Context, fleet.Executor, uint64, fleet.TaskID, int, int) (fleet.OrderResult, error) {
	return fleet.OrderDone, nil
}

// Event is what an executor has seen of a run.
type Event struct {
	Task     fleet.TaskID
	Run      int
	Executor string
	Life     time.Time       // start of the executor's life
	Spec     string          // of a start
	Reason   fleet.EndReason // of an end; unknown: the executor has crashed
	Number   uint64          // of an end
}

// Observer is told of what executors see, in order.
type Observer interface {
	Started(Event)
	Ended(Event)
	Noted(Event) // an end need not be listed any more
	// Lapsed tells that the lease ended, after the end with the event's number.
	Lapsed(Event)
}

// Audit records the runs of all executors and the rules that they break.
type Audit struct {
	mu       sync.Mutex
	observer Observer
	running  map[fleet.TaskID]string
	done     map[fleet.TaskID]int
	starts   map[fleet.TaskID]int
	broken   []string
}

// NewAudit returns an empty record.
func NewAudit() *Audit {
	return &Audit{running: map[fleet.TaskID]string{}, done: map[fleet.TaskID]int{}, starts: map[fleet.TaskID]int{}}
}

// Observe sets the observer of all later events.
func (a *Audit) Observe(o Observer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observer = o
}

func (a *Audit) started(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[e.Task]++
	if other, ok := a.running[e.Task]; ok {
		a.broken = append(a.broken, e.Task.String()+" runs on "+other+" and "+e.Executor)
	}
	a.running[e.Task] = e.Executor
	if a.observer != nil {
		a.observer.Started(e)
	}
}

func (a *Audit) ended(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[e.Task] == e.Executor {
		delete(a.running, e.Task)
	}
	if e.Reason == fleet.EndDone {
		a.done[e.Task]++
	}
	if a.observer != nil {
		a.observer.Ended(e)
	}
}

func (a *Audit) lapsed(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.observer != nil {
		a.observer.Lapsed(e)
	}
}

func (a *Audit) noted(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.observer != nil {
		a.observer.Noted(e)
	}
}

// Broken returns the rules that have been broken.
func (a *Audit) Broken() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.broken)
}

// Done returns how often a task has ended done.
func (a *Audit) Done(id fleet.TaskID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done[id]
}

// Running reports whether a task runs anywhere.
func (a *Audit) Running(id fleet.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.running[id]
	return ok
}
