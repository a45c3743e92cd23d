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
	Unreachable bool // calls fail and have no effect
	LoseAnswers int  // the next n starts take effect, their callers get an error
}

var errNoAnswer = errors.New("no answer")

// Executor is a stand-in for one instance of an executor. It runs tasks as
// timers under a single lease, refuses calls whose fence is lower than the
// highest one seen, and lists each end until the caller has acknowledged it. It
// is safe for concurrent use.
type Executor struct {
	mu             sync.Mutex
	audit          *Audit
	name           string
	behavior       Behavior
	born           time.Time
	clockRate      float64 // speed of its clock relative to real time
	fence          uint64
	deadline       time.Duration
	leaseTimer     *time.Timer   // ends all runs at the deadline
	lapsedDeadline time.Duration // deadline of the lease that lapsed last
	runs           map[fleet.TaskID]*taskRun
	ends           []fleet.End
	highestClosed  map[fleet.TaskID]int // highest run that was stopped or has ended
	lastEnd        uint64
	changed        chan struct{}
	crashedByTask  chan struct{}
	faults         ExecutorFaults
}

type taskRun struct {
	number   int
	endTimer *time.Timer
}

// Behavior returns how long the run of an order takes and how it ends. A run
// with a duration of 0 continues until it is stopped. One that ends as EndUnknown
// crashes the executor.
type Behavior func(fleet.StartOrder) (time.Duration, fleet.EndReason)

var _ fleet.ExecutorClient = (*Executor)(nil)

// NewExecutor returns an executor whose tasks run for runTime, or until they are
// stopped if runTime is 0.
func NewExecutor(name string, runTime time.Duration, audit *Audit) *Executor {
	return NewExecutorWithBehavior(name, 1, audit, func(fleet.StartOrder) (time.Duration, fleet.EndReason) { return runTime, fleet.EndDone })
}

// NewExecutorWithBehavior returns an executor whose runs follow behavior and
// whose clock runs rate times as fast as real time.
func NewExecutorWithBehavior(name string, rate float64, audit *Audit, behavior Behavior) *Executor {
	return &Executor{
		audit: audit, name: name, behavior: behavior, born: time.Now(), clockRate: rate, runs: map[fleet.TaskID]*taskRun{},
		highestClosed: map[fleet.TaskID]int{}, changed: make(chan struct{}), crashedByTask: make(chan struct{}),
	}
}

// Born returns the start time of this instance.
func (x *Executor) Born() time.Time { return x.born }

// Crash ends this instance: its runs end without being listed, and it answers no
// further call.
func (x *Executor) Crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.crash(nil)
}

// CrashedByTask returns a channel that is closed when a run crashes this instance.
func (x *Executor) CrashedByTask() <-chan struct{} { return x.crashedByTask }

// crash ends the instance. cause is the run that crashes it, or nil.
func (x *Executor) crash(cause *taskRun) {
	x.faults.Unreachable = true
	for id, r := range x.runs {
		r.endTimer.Stop()
		delete(x.runs, id)
		x.audit.ended(Event{Task: id, Run: r.number, Executor: x.name, InstanceStart: x.born, Reason: fleet.EndUnknown, Crashing: r == cause})
	}
	if cause != nil {
		close(x.crashedByTask)
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

// extendLease extends the lease to the deadline, and arranges that the runs end
// with it even if no further call arrives.
func (x *Executor) extendLease(deadline time.Duration) {
	deadline = min(deadline, x.clock()+maxLease)
	if deadline <= x.deadline {
		return
	}
	x.deadline = deadline
	if x.leaseTimer != nil {
		x.leaseTimer.Stop()
	}
	left := time.Duration(float64(deadline-x.clock()) / x.clockRate)
	x.leaseTimer = time.AfterFunc(left+time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.expireLease()
	})
}

// expireLease ends all runs if the lease has expired.
func (x *Executor) expireLease() {
	if x.clock() <= x.deadline {
		return
	}
	for id, r := range x.runs {
		x.endRun(id, r, fleet.EndLapsed)
	}
	if x.lapsedDeadline != x.deadline {
		x.lapsedDeadline = x.deadline
		x.audit.lapsed(Event{Executor: x.name, InstanceStart: x.born, Number: x.lastEnd})
	}
}

// Runs reports whether the executor runs a task. An unreachable executor does so
// until its lease has expired.
func (x *Executor) Runs(id fleet.TaskID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[id] != nil && x.clock() <= x.deadline
}

// IsUnreachable reports whether the executor fails every call.
func (x *Executor) IsUnreachable() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.faults.Unreachable
}

// clock returns the time since the start of the instance by the executor's clock.
func (x *Executor) clock() time.Duration {
	return time.Duration(x.clockRate * float64(time.Since(x.born)))
}

// lockForCall locks the executor, ends the runs of an expired lease and checks the
// fence of a call. The caller has to unlock the executor in every case.
func (x *Executor) lockForCall(fence uint64) (fleet.OrderResult, error) {
	x.mu.Lock()
	x.expireLease()
	if x.faults.Unreachable {
		return fleet.OrderUnknown, errNoAnswer
	}
	if fence < x.fence {
		return fleet.OrderFenced, nil
	}
	x.fence = fence
	return fleet.OrderDone, nil
}

// endRun ends a run and adds its end to the list.
func (x *Executor) endRun(id fleet.TaskID, r *taskRun, reason fleet.EndReason) {
	r.endTimer.Stop()
	delete(x.runs, id)
	x.lastEnd++
	x.ends = append(x.ends, fleet.End{Number: x.lastEnd, Task: id, Run: r.number, Reason: reason})
	x.highestClosed[id] = max(x.highestClosed[id], r.number)
	x.audit.ended(Event{Task: id, Run: r.number, Executor: x.name, InstanceStart: x.born, Reason: reason, Number: x.lastEnd})
	close(x.changed)
	x.changed = make(chan struct{})
}

// Hold implements fleet.ExecutorClient.
func (x *Executor) Hold(ctx context.Context, _ fleet.Executor, only fleet.InstanceCheck, fence uint64, deadline time.Duration, seen uint64, wait time.Duration) (fleet.RunLists, error) {
	if err := x.check(only); err != nil {
		return fleet.RunLists{}, err
	}
	if lists, ready, err := x.list(fence, deadline, seen); err != nil || ready {
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
	lists, _, err := x.list(fence, 0, seen)
	return lists, err
}

// check fails unless a call is meant for this instance.
func (x *Executor) check(only fleet.InstanceCheck) error {
	if only == nil {
		return nil
	}
	x.mu.Lock()
	lists := fleet.RunLists{Clock: x.clock()}
	x.mu.Unlock()
	return only(lists, time.Now())
}

// maxListedEnds is the largest number of ends that an executor lists at a time.
const maxListedEnds = 500

// list extends the lease, drops the ends up to number seen and returns the
// current runs and ends. It also reports whether there are ends to deliver.
func (x *Executor) list(fence uint64, deadline time.Duration, seen uint64) (fleet.RunLists, bool, error) {
	defer x.mu.Unlock()
	if result, err := x.lockForCall(fence); err != nil || result != fleet.OrderDone {
		if result == fleet.OrderFenced {
			err = fleet.ErrFenced
		}
		return fleet.RunLists{}, true, err
	}
	x.extendLease(deadline)
	x.ends = slices.DeleteFunc(x.ends, func(e fleet.End) bool {
		if e.Number <= seen {
			x.audit.acknowledged(Event{Task: e.Task, Run: e.Run, Executor: x.name, InstanceStart: x.born, Reason: e.Reason, Number: e.Number})
		}
		return e.Number <= seen
	})
	listed := min(len(x.ends), maxListedEnds)
	lists := fleet.RunLists{Clock: x.clock(), Ended: slices.Clone(x.ends[:listed]), Partial: listed == maxListedEnds}
	for id, r := range x.runs {
		lists.Running = append(lists.Running, fleet.Running{Task: id, Run: r.number, Percent: 100})
	}
	return lists, len(x.ends) > 0, nil
}

// Start implements fleet.ExecutorClient.
func (x *Executor) Start(_ context.Context, _ fleet.Executor, only fleet.InstanceCheck, fence uint64, o fleet.StartOrder) (fleet.OrderResult, error) {
	if err := x.check(only); err != nil {
		return fleet.OrderUnknown, err
	}
	defer x.mu.Unlock()
	result, err := x.lockForCall(fence)
	if err != nil || result != fleet.OrderDone {
		return result, err
	}
	x.extendLease(o.Deadline)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		return fleet.OrderDone, nil
	}
	if o.Run <= x.highestClosed[o.Task] {
		return fleet.OrderOld, nil
	}
	if o.Deadline < x.clock() {
		return fleet.OrderLate, nil
	}
	x.startRun(o)
	if x.faults.LoseAnswers > 0 {
		x.faults.LoseAnswers--
		return fleet.OrderUnknown, errNoAnswer
	}
	return fleet.OrderDone, nil
}

func (x *Executor) startRun(o fleet.StartOrder) {
	r := &taskRun{number: o.Run}
	runTime, reason := x.behavior(o)
	r.endTimer = time.AfterFunc(max(runTime, time.Millisecond), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if runTime <= 0 || x.runs[o.Task] != r || x.clock() > x.deadline {
			return
		}
		if reason == fleet.EndUnknown {
			x.crash(r)
		} else {
			x.endRun(o.Task, r, reason)
		}
	})
	x.runs[o.Task] = r
	x.audit.started(Event{Task: o.Task, Run: o.Run, Executor: x.name, InstanceStart: x.born, Spec: o.Spec, Fence: x.fence})
}

// Stop implements fleet.ExecutorClient.
func (x *Executor) Stop(_ context.Context, _ fleet.Executor, only fleet.InstanceCheck, fence uint64, task fleet.TaskID, run int) (fleet.OrderResult, error) {
	if err := x.check(only); err != nil {
		return fleet.OrderUnknown, err
	}
	defer x.mu.Unlock()
	result, err := x.lockForCall(fence)
	if err != nil || result != fleet.OrderDone {
		return result, err
	}
	x.highestClosed[task] = max(x.highestClosed[task], run)
	if r := x.runs[task]; r != nil && r.number <= run {
		x.endRun(task, r, fleet.EndStopped)
	}
	return fleet.OrderDone, nil
}

// Pace implements fleet.ExecutorClient.
func (x *Executor) Pace(context.Context, fleet.Executor, fleet.InstanceCheck, uint64, fleet.TaskID, int, int) (fleet.OrderResult, error) {
	return fleet.OrderDone, nil
}

// Event describes the start, the end or the acknowledged end of a run, or the
// lapse of a lease.
type Event struct {
	Task          fleet.TaskID
	Run           int
	Executor      string
	InstanceStart time.Time       // start of the executor's instance
	Spec          string          // set for a start
	Fence         uint64          // of the call that ordered it; set for a start
	Reason        fleet.EndReason // set for an end; EndUnknown: the executor has crashed
	Crashing      bool            // set for an end: this run has crashed the executor
	Number        uint64          // number of the end, 0 for a start
}

// Observer receives the events of all executors in order.
type Observer interface {
	Started(Event)
	Ended(Event)
	Acknowledged(Event) // the caller has received the end, which is no longer listed
	// Lapsed reports that the lease lapsed. The event's number is that of the
	// executor's last end, those caused by the lapse included.
	Lapsed(Event)
}

// Audit records the runs of all executors and detects tasks that run twice at
// once.
type Audit struct {
	mu         sync.Mutex
	observer   Observer
	running    map[fleet.TaskID]string
	done       map[fleet.TaskID]int
	starts     map[fleet.TaskID]int
	violations []string
}

// NewAudit returns an audit without records.
func NewAudit() *Audit {
	return &Audit{running: map[fleet.TaskID]string{}, done: map[fleet.TaskID]int{}, starts: map[fleet.TaskID]int{}}
}

// SetObserver sets the receiver of all later events.
func (a *Audit) SetObserver(o Observer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observer = o
}

func (a *Audit) started(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[e.Task]++
	if other, ok := a.running[e.Task]; ok {
		a.violations = append(a.violations, e.Task.String()+" runs on "+other+" and "+e.Executor)
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

func (a *Audit) acknowledged(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.observer != nil {
		a.observer.Acknowledged(e)
	}
}

// Violations returns a message for each start of a task that was already running.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.violations)
}

// Done returns how many runs of a task have ended as done.
func (a *Audit) Done(id fleet.TaskID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done[id]
}

// Running reports whether a task runs on any executor.
func (a *Audit) Running(id fleet.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.running[id]
	return ok
}
