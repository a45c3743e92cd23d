// Package ledger is the leader's record of jobs, their tasks and the runs on
// executors. It decides which tasks may start without a second run of a task at
// the same time, how the end of a run changes its task, and what has to be stored
// before it is shown to callers or acknowledged to executors. It has no I/O and no
// clock: callers pass in reports and the time, and fetch orders and records.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/place"
)

// RunState is the state of a run as known to the ledger.
type RunState uint8

// States of a run.
const (
	Starting RunState = iota // start ordered, not confirmed
	Running
	Stopping // stop ordered, end not known
)

// Paces of a run, in percent of full speed.
const (
	fullPace    = 100
	unknownPace = -1
)

// Run is a run of a task, or an order for one, that occupies its node.
type Run struct {
	ID           fleet.TaskID
	Number       int
	Task         *Task // nil if the ledger does not want the run
	Node         *Node
	State        RunState
	Since        time.Time // when it was ordered or first listed, then when its start was confirmed
	Percent      int       // progress
	Reading      int       // as in fleet.Running
	Pace         int       // ordered share of full speed in percent; unknownPace: an earlier leader may have ordered one
	paceOrdered  bool      // a pace was ordered in this term
	ProgressedAt time.Time // when Percent last changed
	PaceSince    time.Time // since when it has worked at Pace
	// absentFrom is the number of the node's complete listing from which on such a
	// listing without the run proves that the run does not exist. 0: none proves it.
	absentFrom    int
	lastListing   int       // number of the last listing with the run
	startAnswered bool      // the order to start it has an answer, so the agent no longer repeats it
	inInstance    bool      // listed after that answer: no try of the order can start it again in a later instance
	confirmedAt   time.Time // when its start was first answered or listed in the instance
	survived      bool      // the executor has not crashed at its start
	withheld      bool      // not ordered from the present instance
	repeated      bool      // its start was ordered in several sessions
	lapse         uint64    // Node.lapse when it was last ordered or listed; that lapse and earlier ones do not end it
	trial         bool      // it was started on a node with much Trouble, and does not last
	stopListedAt  time.Time // when it was first listed after its stop was last ordered
	// worked is how long it has worked until PaceSince, as time at full speed. It is exact
	// only if timed: this leader has started the run without a checkpoint, once.
	worked time.Duration
	timed  bool
}

// Task is one task of an occurrence of a job.
type Task struct {
	ID         fleet.TaskID
	Step       *Step
	Done       bool
	LastRun    int       // highest number of a run
	EndedRun   int       // runs up to this number have ended
	failures   []failure // failed runs, which count as attempts
	closedRuns []int     // numbers of runs that were closed without a listed end
	crashes    crashes
	countedAt  uint64 // version of the job with the crashes as last counted
	Checkpoint string
	Current    *Run // nil: it has no run
	// unconfirmed is the number of runs in a row that were closed without an answer or listing
	// that confirms their start.
	unconfirmed int
	// located is set once a run of the task was listed as running in this term. No earlier
	// leader has started it again: none had heard of the end of that run when the lists were
	// made, and none hears of it later in a session in which the term is not confirmed. It
	// counts unless Options.EarlierVersions is set.
	located    bool
	NotBefore  time.Time // earliest next start, after a refusal
	LastNode   string    // node of the last run
	ReadySince time.Time
}

// failure identifies a failed run. Runs on different nodes may have the same
// number if a later leader did not know of the first.
type failure struct {
	Run  int    `json:"r"`
	Node string `json:"n"`
}

// Failures returns how many runs of the task have failed.
func (t *Task) Failures() int { return len(t.failures) }

// Step is a step of an occurrence.
type Step struct {
	Job          *Job
	Spec         *fleet.Step
	Occurrence   *Occurrence
	Index        int
	Tasks        []*Task
	Left         int     // tasks that are not done
	pendingSteps int     // steps in Spec.After that are not done
	dependents   []*Step // steps that come after this one
}

// Occurrence is one execution of all steps of a job. A job that does not repeat has
// one.
type Occurrence struct {
	Number int       // from 0
	Due    time.Time // by the wall clock
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

// IsFinal reports whether the state is final.
func (s JobState) IsFinal() bool { return s == Done || s == Failed || s == Cancelled }

// Job is a job with its progress.
type Job struct {
	fleet.Job
	Occurrences []*Occurrence
	Started     bool     // a run of one of its tasks is known to have started
	Final       JobState // empty while the state is not final
	FinalAt     time.Time
	Inherited   bool // accepted before this leader's term
	// version counts the changes of the progress that has to be stored;
	// storedVersion is the version that the store holds at revision.
	version, storedVersion uint64
	revision               uint64
	finalVersion           uint64 // version with the final state
	doneOccurrences        int
	deferred               []*Run             // runs whose start waits until crashes of their tasks are stored
	unstored               bool               // queued in Ledger.unstored
	storing                bool               // a record of it is out, until Stored or NotStored
	endedOn                map[*Node]struct{} // nodes with ends that wait for the progress to be stored
}

// Event is a decision or a change of state, for the log.
type Event struct {
	What   string
	Task   fleet.TaskID
	Run    int
	Node   string
	Reason string
	Age    time.Duration // of the proof that a run has ended
}

// Ledger holds the state of the jobs and nodes during one term of a leader. It is
// not safe for concurrent use.
type Ledger struct {
	Jobs  map[string]*Job  // by id
	Nodes map[string]*Node // by name
	// Settled is true once every run of earlier terms is known or has ended.
	// Until then tasks of inherited jobs are started only if they are located.
	Settled bool
	// earlierVersions is as in Options.
	earlierVersions bool
	takeover        time.Time
	// earlierUntil is when the leases of earlier leaders have expired.
	earlierUntil time.Time
	// longestLease is as in Options.
	longestLease time.Duration
	maxAttempts  func(*Job) int
	pool         func(*Job) string // as in Options
	log          func(Event)
	done         func(*Run, time.Duration)
	scheduled    []*Occurrence      // of jobs that repeat, not due yet, by due time
	openSteps    map[*Step]struct{} // steps whose tasks may start
	unstored     []*Job             // jobs with progress to be stored, longest first
	pending      map[*Node]struct{} // nodes with a report, orders or acknowledgements since the last TakePending
	// cancelledEarly holds the times of cancellations of jobs that are not known yet.
	cancelledEarly map[string]time.Time
	early          map[string][]earlyEnd // ends of jobs that are not known, by job
	evacuated      map[string]struct{}   // failure domains in which no run is started
}

// Options configure a Ledger.
type Options struct {
	Takeover time.Time // start of the term
	// MaxLease is the time after Takeover by which every lease that an earlier
	// leader gave has expired.
	MaxLease time.Duration
	// EarlierVersions is set if a leader of an earlier version may still order starts. It may
	// hear of the end of a run from an agent that was started anew, see Task.located.
	EarlierVersions bool
	// LongestLease is the time that the longest lease an executor accepts may last.
	LongestLease time.Duration
	// Attempts returns the number of failed runs of a task at which the job fails.
	Attempts func(*Job) int
	// Pool returns the pool whose executors run the tasks of a job now. Unless it is set, any
	// pool does.
	Pool func(*Job) string
	Log  func(Event)
	// Done, unless nil, is called with each run that has done its task and that this
	// leader has started from the beginning, and how long it has worked, as time at full
	// speed.
	Done func(r *Run, worked time.Duration)
}

// New returns an empty ledger for a term that starts at o.Takeover.
func New(o Options) *Ledger {
	return &Ledger{
		Jobs: map[string]*Job{}, Nodes: map[string]*Node{}, takeover: o.Takeover, earlierUntil: o.Takeover.Add(o.MaxLease), earlierVersions: o.EarlierVersions, longestLease: o.LongestLease,
		maxAttempts: o.Attempts, pool: o.Pool, log: o.Log, done: o.Done, openSteps: map[*Step]struct{}{}, pending: map[*Node]struct{}{},
		cancelledEarly: map[string]time.Time{}, early: map[string][]earlyEnd{},
	}
}

// AddJob adds a job unless it is known, and returns it. An inherited job was
// accepted before the term, so an earlier leader may have started its tasks.
func (l *Ledger) AddJob(j fleet.Job, inherited bool, now time.Time) *Job {
	if known := l.Jobs[j.ID]; known != nil {
		return known
	}
	job := &Job{Job: j, Inherited: inherited}
	l.Jobs[j.ID] = job
	for k := range max(1, j.Repeats) {
		occ := newOccurrence(job, k)
		job.Occurrences = append(job.Occurrences, occ)
		if j.Repeats == 0 {
			occ.Due = now
			l.release(occ, now)
			continue
		}
		occ.Due = j.First.Add(time.Duration(k) * j.Interval)
		l.scheduled = append(l.scheduled, occ)
	}
	if j.Repeats > 0 {
		slices.SortFunc(l.scheduled, func(a, b *Occurrence) int { return a.Due.Compare(b.Due) })
	}
	if _, cancelled := l.cancelledEarly[j.ID]; cancelled {
		delete(l.cancelledEarly, j.ID)
		l.Cancel(j.ID, now)
	}
	l.applyEarlyEnds(job, now)
	l.attachListedRuns(job)
	return job
}

// attachListedRuns attaches the runs that executors listed before the job was
// known to its tasks. An earlier leader started them. They are being stopped, as
// the ledger did not know their job, and the tasks must not start before they end.
func (l *Ledger) attachListedRuns(job *Job) {
	for _, n := range l.Nodes {
		for id, r := range n.Runs {
			if id.Job == job.ID && r.Task == nil {
				attach(r, l.taskByID(id))
			}
		}
	}
}

// attach makes a listed run the current run of its task, so that no second one is
// started.
func attach(r *Run, t *Task) {
	if t == nil || t.Done || t.Current != nil {
		return
	}
	r.Task, t.Current, t.located = t, r, true
	r.Node.changes++
	t.LastRun, t.LastNode = max(t.LastRun, r.Number), r.Node.Name
	t.Step.Job.Started = true
}

// newOccurrence returns occurrence k of a job.
func newOccurrence(job *Job, k int) *Occurrence {
	occ := &Occurrence{Number: k, Left: len(job.Job.Steps)}
	for i := range job.Job.Steps {
		spec := &job.Job.Steps[i]
		s := &Step{Job: job, Spec: spec, Occurrence: occ, Index: i, Left: spec.Count, pendingSteps: len(spec.After)}
		s.Tasks = make([]*Task, spec.Count)
		for n := range s.Tasks {
			s.Tasks[n] = &Task{ID: fleet.TaskID{Job: job.ID, Occurrence: k, Step: i, Index: n}, Step: s}
		}
		for _, before := range spec.After {
			occ.Steps[before].dependents = append(occ.Steps[before].dependents, s)
		}
		occ.Steps = append(occ.Steps, s)
	}
	return occ
}

// release opens the steps of an occurrence that come after no other step.
func (l *Ledger) release(occ *Occurrence, now time.Time) {
	for _, s := range occ.Steps {
		if s.pendingSteps == 0 && s.Left > 0 {
			l.openStep(s, now)
		}
	}
}

// openStep makes the tasks of a step ready to start.
func (l *Ledger) openStep(s *Step, now time.Time) {
	l.openSteps[s] = struct{}{}
	for _, t := range s.Tasks {
		t.ReadySince = now
	}
}

// ReleaseDue releases the occurrences that are due by the wall clock. now is the
// time of the ledger's other calls.
func (l *Ledger) ReleaseDue(wall, now time.Time) {
	for len(l.scheduled) > 0 && !l.scheduled[0].Due.After(wall) {
		occ := l.scheduled[0]
		l.scheduled = l.scheduled[1:]
		if len(occ.Steps) > 0 && occ.Steps[0].Job.Final == "" {
			l.release(occ, now)
		}
	}
}

// NextDue returns when the next occurrence is due, and false if there is none.
func (l *Ledger) NextDue() (time.Time, bool) {
	if len(l.scheduled) == 0 {
		return time.Time{}, false
	}
	return l.scheduled[0].Due, true
}

// Cancel cancels a job at its caller's request, unless its state is final. It
// reports whether the job is known. One that is not known yet is cancelled when it is
// added, as notices and keys reach the ledger in any order.
func (l *Ledger) Cancel(id string, now time.Time) bool {
	job := l.Jobs[id]
	if job == nil {
		if _, known := l.cancelledEarly[id]; !known {
			l.cancelledEarly[id] = now
			l.log(Event{What: "cancellation of a job that is not known", Task: fleet.TaskID{Job: id}})
		}
		return false
	}
	if job.Final == "" {
		l.finish(job, Cancelled, now)
	}
	return true
}

// finish sets the final state of a job and stops its runs.
func (l *Ledger) finish(job *Job, state JobState, now time.Time) {
	job.Final, job.FinalAt = state, now
	l.progressChanged(job)
	job.finalVersion = job.version
	l.log(Event{What: "job final", Task: fleet.TaskID{Job: job.ID}, Reason: string(state)})
	for _, occ := range job.Occurrences {
		for _, s := range occ.Steps {
			delete(l.openSteps, s)
			for _, t := range s.Tasks {
				if t.Current != nil {
					l.stop(t.Current, "job "+string(state))
				}
			}
		}
	}
}

// VisibleState returns the state that callers may see. A final state is shown only once
// it is stored.
func (j *Job) VisibleState() JobState {
	switch {
	case j.Final != "" && j.storedVersion >= j.finalVersion:
		return j.Final
	case j.Started:
		return Active
	default:
		return Queued
	}
}

// Waiting returns the number of jobs of a queue of which no task has started. Jobs
// that repeat do not count.
func (l *Ledger) Waiting(queue string) int {
	n := 0
	for _, j := range l.Jobs {
		if j.Queue == queue && !j.Started && j.Final == "" && j.Repeats == 0 {
			n++
		}
	}
	return n
}

// Ready returns the tasks that may be started now, step by step: the steps in the
// order in which they became ready, and so their tasks.
func (l *Ledger) Ready(now time.Time) []*Task {
	var ready []*Task
	for _, s := range l.ReadySteps(now) {
		ready = append(ready, s.Tasks...)
	}
	return ready
}

// ReadyStep is a step with tasks that may be started now.
type ReadyStep struct {
	Step  *Step
	Tasks []*Task // in the order in which they became ready
}

// ReadySteps returns the steps with tasks that may be started now, in the order in
// which their first tasks became ready.
func (l *Ledger) ReadySteps(now time.Time) []ReadyStep {
	var steps []ReadyStep
	for s := range l.openSteps {
		held := s.Job.Inherited && !l.Settled
		var tasks []*Task
		for _, t := range s.Tasks {
			if t.isReady(now) && (!held || l.isLocated(t)) {
				tasks = append(tasks, t)
			}
		}
		if len(tasks) == 0 {
			continue
		}
		slices.SortStableFunc(tasks, func(a, b *Task) int { return a.ReadySince.Compare(b.ReadySince) })
		steps = append(steps, ReadyStep{s, tasks})
	}
	slices.SortFunc(steps, func(a, b ReadyStep) int {
		return cmp.Or(a.Tasks[0].ReadySince.Compare(b.Tasks[0].ReadySince), cmp.Compare(a.Step.Job.ID, b.Step.Job.ID),
			cmp.Compare(a.Step.Occurrence.Number, b.Step.Occurrence.Number), cmp.Compare(a.Step.Index, b.Step.Index))
	})
	return steps
}

// isReady reports whether a task of an open step may be started, unless an earlier leader
// may have started it.
func (t *Task) isReady(now time.Time) bool {
	return t.Current == nil && !t.Done && !t.NotBefore.After(now) && t.countIsStored()
}

// Start orders a run of a task on a node. The ticket, if any, is passed to the
// executor.
func (l *Ledger) Start(t *Task, n *Node, ticket string, now time.Time) {
	t.LastRun++
	r := &Run{ID: t.ID, Number: t.LastRun, Task: t, Node: n, State: Starting, lapse: n.lapse, Since: now, ProgressedAt: now, PaceSince: now, Pace: fullPace, timed: t.Checkpoint == ""}
	r.trial = n.TroubleAt(now) > place.MaxTrouble && !t.Step.Spec.Lasting
	t.Current, t.LastNode = r, n.Name
	n.Runs[t.ID] = r
	n.changes++
	n.orders.Starts = append(n.orders.Starts, l.startOrder(r, ticket))
	l.pending[n] = struct{}{}
	l.log(Event{What: "start", Task: t.ID, Run: r.Number, Node: n.Name})
}
