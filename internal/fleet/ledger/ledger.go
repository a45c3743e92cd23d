// Package ledger keeps the jobs, their tasks and the runs on executors. It
// decides what may be started without a second run of a task, what an end
// means, and what has to be stored before it is shown or acknowledged. It is
// pure: events and the time come in, orders and records go out.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// RunState is the state of a run as far as the ledger knows.
type RunState uint8

// States of a run.
const (
	Starting RunState = iota // ordered, not confirmed
	Running
	Stopping
)

// Paces of a run, in percent.
const (
	fullPace    = 100
	unknownPace = -1
)

// Run is a run of a task that occupies a node.
type Run struct {
	ID      fleet.TaskID
	Number  int
	Task    *Task // nil if the ledger does not want the run
	Node    *Node
	State   RunState
	Since   time.Time // when it was ordered or first listed
	Percent int
	Reading int
	Pace    int       // share in percent that was ordered; unknownPace: by an earlier leader
	Moved   time.Time // when Percent last changed
	Paced   time.Time // since when it has worked at its pace
	// absentAfter is the listing of the node that proves the run's absence, if
	// it is not listed by then. 0: absence proves nothing.
	absentAfter int
	listed      int  // listing in which it was last seen
	answered    bool // the order to start it is not repeated any more
	ownLife     bool // it was listed after that: no later life of the executor can begin it
}

// Task is one task of an occurrence of a job.
type Task struct {
	ID         fleet.TaskID
	Step       *Step
	Done       bool
	LastRun    int       // highest number used
	EndedRun   int       // runs up to this number have ended
	failed     []failure // ends that count as attempts
	gone       []int     // runs that ended without an end that counts
	Checkpoint string
	Current    *Run
	NotBefore  time.Time // retry after a refusal
	LastNode   string    // where the last run was
	ReadySince time.Time
}

// failure is a failed run. Two runs on different nodes may have the same number
// if a leader did not know of the first.
type failure struct {
	Run  int    `json:"r"`
	Node string `json:"n"`
}

// Failures returns how many runs of the task have failed.
func (t *Task) Failures() int { return len(t.failed) }

// Step is a step of an occurrence.
type Step struct {
	Job     *Job
	Spec    *fleet.Step
	Chain   *Chain
	Index   int
	Tasks   []*Task
	Left    int // tasks that have not ended done
	waiting int // steps in After that are not done
	next    []*Step
}

// Chain is one occurrence of a job.
type Chain struct {
	Number int
	Due    time.Time
	Steps  []*Step
	Left   int // steps that are not done
}

// JobState is the state of a job as shown to callers.
type JobState string

// States of a job.
const (
	Queued    JobState = "queued"
	Active    JobState = "running"
	Done      JobState = "done"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// IsFinal reports whether a job stays in the state.
func (s JobState) IsFinal() bool { return s == Done || s == Failed || s == Cancelled }

// Job is a job with its progress.
type Job struct {
	fleet.Job
	Chains    []*Chain
	Started   bool
	Final     JobState // empty while it is not final
	FinalAt   time.Time
	Inherited bool // accepted before this leader's term
	// version counts the changes that must be stored; stored is the version in
	// the store, at revision.
	version, stored uint64
	revision        uint64
	finalVersion    uint64
	doneOccurrences int
}

// Node is a VM with its executor.
type Node struct {
	Name       string
	Executor   fleet.Executor
	Listed     bool      // the lists of this term have come
	Heard      time.Time // last report
	ListedAt   time.Time // last complete lists
	LeaseUntil time.Time // no lease of the executor lasts longer, for this leader's orders
	Runs       map[fleet.TaskID]*Run
	removed    bool // it is forgotten once nothing can run there
	// lapsed is true while the agent of this term's session says that nothing
	// of the earlier terms runs any more.
	lapsed bool
	// Trouble rises with failed or refused runs and decays.
	Trouble   float64
	troubleAt time.Time
	changes   uint64
	listings  int
	orders    Orders
	endsSeen  uint64
	acked     uint64
	unstored  []unstoredEnd
}

type unstoredEnd struct {
	number  uint64
	job     *Job
	version uint64
}

// Changes counts what has changed on the node: its lists, its runs, its executor.
func (n *Node) Changes() uint64 { return n.changes }

// Orders are what a node has to be told.
type Orders struct {
	Instance string
	Stored   uint64 // ends up to this number are stored
	Starts   []fleet.StartOrder
	Stops    []RunRef
	Paces    []PaceOrder
}

// RunRef names a run.
type RunRef struct {
	Task fleet.TaskID
	Run  int
}

// PaceOrder lets a run work at a share in percent.
type PaceOrder struct {
	RunRef
	Percent int
}

// Event is a decision or a changed belief, for the log.
type Event struct {
	What   string
	Task   fleet.TaskID
	Run    int
	Node   string
	Reason string
}

// Ledger holds everything that a leader knows.
type Ledger struct {
	Jobs  map[string]*Job
	Nodes map[string]*Node
	// Settled is true once no run of an earlier term can be unknown.
	Settled   bool
	takeover  time.Time
	maxLease  time.Duration
	attempts  func(*Job) int
	log       func(Event)
	scheduled []*Chain // of jobs with occurrences, not due yet
	open      map[*Step]struct{}
}

// Options configure a Ledger.
type Options struct {
	Takeover time.Time
	// MaxLease bounds, from the takeover, every lease that an earlier leader gave.
	MaxLease time.Duration
	// Attempts returns how many failed runs a task of the job may have.
	Attempts func(*Job) int
	Log      func(Event)
}

// New returns an empty ledger of a term that starts now.
func New(o Options) *Ledger {
	return &Ledger{
		Jobs: map[string]*Job{}, Nodes: map[string]*Node{}, takeover: o.Takeover, maxLease: o.MaxLease,
		attempts: o.Attempts, log: o.Log, open: map[*Step]struct{}{},
	}
}

// AddJob adds a job unless it is known. An inherited job was accepted before
// the term, so runs of its tasks may exist.
func (l *Ledger) AddJob(j fleet.Job, inherited bool, now time.Time) *Job {
	if known := l.Jobs[j.ID]; known != nil {
		return known
	}
	job := &Job{Job: j, Inherited: inherited}
	l.Jobs[j.ID] = job
	for k := range max(1, j.Repeats) {
		c := newChain(job, k)
		job.Chains = append(job.Chains, c)
		if j.Repeats == 0 {
			c.Due = now
			l.release(c, now)
			continue
		}
		c.Due = j.First.Add(time.Duration(k) * j.Interval)
		l.scheduled = append(l.scheduled, c)
	}
	l.attachKnown(job)
	if j.Repeats > 0 {
		slices.SortFunc(l.scheduled, func(a, b *Chain) int { return a.Due.Compare(b.Due) })
	}
	return job
}

// attachKnown gives the tasks of a new job the runs that executors list
// already: an earlier leader has started them. They are being stopped, and the
// tasks must not start elsewhere before they have ended.
func (l *Ledger) attachKnown(job *Job) {
	for _, n := range l.Nodes {
		for id, r := range n.Runs {
			if id.Job == job.ID && r.Task == nil {
				attach(r, l.task(id))
			}
		}
	}
}

// attach makes a listed run the current one of its task, so that no other is
// started beside it.
func attach(r *Run, t *Task) {
	if t == nil || t.Done || t.Current != nil {
		return
	}
	r.Task, t.Current = t, r
	r.Node.changes++
	t.LastRun, t.LastNode = max(t.LastRun, r.Number), r.Node.Name
	t.Step.Job.Started = true
}

func newChain(job *Job, k int) *Chain {
	c := &Chain{Number: k, Left: len(job.Job.Steps)}
	for i := range job.Job.Steps {
		spec := &job.Job.Steps[i]
		s := &Step{Job: job, Spec: spec, Chain: c, Index: i, Left: spec.Count, waiting: len(spec.After)}
		s.Tasks = make([]*Task, spec.Count)
		for n := range s.Tasks {
			s.Tasks[n] = &Task{ID: fleet.TaskID{Job: job.ID, Occurrence: k, Step: i, Index: n}, Step: s}
		}
		for _, before := range spec.After {
			c.Steps[before].next = append(c.Steps[before].next, s)
		}
		c.Steps = append(c.Steps, s)
	}
	return c
}

// release opens the steps of a chain that wait for no other step.
func (l *Ledger) release(c *Chain, now time.Time) {
	for _, s := range c.Steps {
		if s.waiting == 0 && s.Left > 0 {
			l.openStep(s, now)
		}
	}
}

func (l *Ledger) openStep(s *Step, now time.Time) {
	l.open[s] = struct{}{}
	for _, t := range s.Tasks {
		t.ReadySince = now
	}
}

// ReleaseDue opens the occurrences that are due by the wall clock.
func (l *Ledger) ReleaseDue(wall, now time.Time) {
	for len(l.scheduled) > 0 && !l.scheduled[0].Due.After(wall) {
		c := l.scheduled[0]
		l.scheduled = l.scheduled[1:]
		if len(c.Steps) > 0 && c.Steps[0].Job.Final == "" {
			l.release(c, now)
		}
	}
}

// NextDue returns when the next occurrence is due.
func (l *Ledger) NextDue() (time.Time, bool) {
	if len(l.scheduled) == 0 {
		return time.Time{}, false
	}
	return l.scheduled[0].Due, true
}

// Cancel ends a job at its caller's word. It reports whether the job is known.
func (l *Ledger) Cancel(id string, now time.Time) bool {
	job := l.Jobs[id]
	if job == nil {
		return false
	}
	if job.Final == "" {
		l.finish(job, Cancelled, now)
		// The cancellation itself is in the store before the ledger hears of it.
		job.finalVersion = 0
	}
	return true
}

// finish gives a job its final state and stops what still runs.
func (l *Ledger) finish(job *Job, state JobState, now time.Time) {
	job.Final, job.FinalAt = state, now
	job.version++
	job.finalVersion = job.version
	l.log(Event{What: "job final", Task: fleet.TaskID{Job: job.ID}, Reason: string(state)})
	for _, c := range job.Chains {
		for _, s := range c.Steps {
			delete(l.open, s)
			for _, t := range s.Tasks {
				if t.Current != nil {
					l.Stop(t.Current, "job "+string(state))
				}
			}
		}
	}
}

// Shown returns the state that callers may see: a final state only once it is
// stored.
func (j *Job) Shown() JobState {
	switch {
	case j.Final != "" && j.stored >= j.finalVersion:
		return j.Final
	case j.Started:
		return Active
	default:
		return Queued
	}
}

// Waiting counts the jobs of a queue of which no task has started.
func (l *Ledger) Waiting(queue string) int {
	n := 0
	for _, j := range l.Jobs {
		if j.Queue == queue && !j.Started && j.Final == "" && j.Repeats == 0 {
			n++
		}
	}
	return n
}

// Ready returns the tasks that may be started now, oldest first.
func (l *Ledger) Ready(now time.Time) []*Task {
	var ready []*Task
	for s := range l.open {
		if s.Job.Inherited && !l.Settled {
			continue
		}
		for _, t := range s.Tasks {
			if t.Current == nil && !t.Done && !t.NotBefore.After(now) {
				ready = append(ready, t)
			}
		}
	}
	slices.SortFunc(ready, func(a, b *Task) int {
		return cmp.Or(a.ReadySince.Compare(b.ReadySince), cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Step, b.ID.Step), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return ready
}

// Start orders a run of a task on a node.
func (l *Ledger) Start(t *Task, n *Node, ticket string, now time.Time) {
	t.LastRun++
	r := &Run{ID: t.ID, Number: t.LastRun, Task: t, Node: n, State: Starting, Since: now, Moved: now, Paced: now, Pace: fullPace}
	t.Current, t.LastNode = r, n.Name
	n.Runs[t.ID] = r
	n.changes++
	n.orders.Starts = append(n.orders.Starts, l.startOrder(r, ticket))
	l.log(Event{What: "start", Task: t.ID, Run: r.Number, Node: n.Name})
}

func (l *Ledger) startOrder(r *Run, ticket string) fleet.StartOrder {
	return fleet.StartOrder{Task: r.ID, Run: r.Number, Spec: r.Task.Step.Job.Spec, Checkpoint: r.Task.Checkpoint, Ticket: ticket}
}

// Stop orders the end of a run. Its task becomes ready once the end is known.
func (l *Ledger) Stop(r *Run, reason string) {
	if r.State == Stopping {
		return
	}
	r.State, r.absentAfter = Stopping, 0
	r.Node.changes++
	r.Node.orders.Stops = append(r.Node.orders.Stops, RunRef{r.ID, r.Number})
	l.log(Event{What: "stop", Task: r.ID, Run: r.Number, Node: r.Node.Name, Reason: reason})
}

// PaceNow returns the share in percent at which the run works.
func (r *Run) PaceNow() int {
	if r.Pace == unknownPace {
		return fullPace
	}
	return r.Pace
}

// Pace orders the share at which a run works.
func (l *Ledger) Pace(r *Run, percent int, now time.Time) {
	if r.Pace == percent || r.State != Running {
		return
	}
	r.Pace, r.Paced = percent, now
	r.Node.orders.Paces = append(r.Node.orders.Paces, PaceOrder{RunRef{r.ID, r.Number}, percent})
}

// TakeOrders returns what the node has to be told and forgets it. It reports
// false if there is nothing.
func (n *Node) TakeOrders() (Orders, bool) {
	o := n.orders
	n.orders = Orders{}
	o.Instance, o.Stored = n.Executor.Instance, n.storedEnds()
	some := len(o.Starts)+len(o.Stops)+len(o.Paces) > 0 || o.Stored != n.acked
	n.acked = o.Stored
	return o, some
}

// storedEnds returns the number up to which all ends are stored.
func (n *Node) storedEnds() uint64 {
	for len(n.unstored) > 0 && n.unstored[0].job.stored >= n.unstored[0].version {
		n.unstored = n.unstored[1:]
	}
	if len(n.unstored) > 0 {
		return n.unstored[0].number - 1
	}
	return n.endsSeen
}
