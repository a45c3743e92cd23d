package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// A task may crash each executor that starts it, mostly within milliseconds. A crash is
// known by the next instance of the executor, and makes all runs suspects that may have
// been starting then. A suspected task is started again on a VM where nothing else starts
// (package lead), so that a second crash shows which of them was the cause. A task that
// crashes executors later is known by the number of its runs alone.
const (
	// survivedAfter is how long a run has to be listed until its start is known not to
	// crash the executor.
	survivedAfter = 100 * time.Millisecond
	// listInterval is the longest time between two lists of an executor that answers. A
	// start ordered later than this after its last lists has not reached it.
	listInterval = 500 * time.Millisecond
	// The job of a task fails after maxCrashes crashes in a row within harmlessAfter of the
	// starts of the task, or maxSoleCrashes at its start with no other suspect. One of them
	// may have come before the start.
	maxSoleCrashes = 3
	maxCrashes     = 4
	harmlessAfter  = 10 * time.Second
	// steadyAfter is how long a run has to be listed until a crash while a suspect starts
	// beside it is put down to the suspect alone.
	steadyAfter = 500 * time.Millisecond
)

// crashes counts crashes of executors that may be due to a task.
type crashes struct {
	// All and Sole count those at its start, since the last start that an executor has
	// survived.
	All  int `json:"a,omitempty"`
	Sole int `json:"s,omitempty"` // with no other suspect
	// Near counts those within harmlessAfter of its start, since a run of it has ended
	// otherwise, lasted or saved progress.
	Near int `json:"n,omitempty"`
	// Run is the highest number of a run that was counted, and Instance the instance of the
	// executor that crashed under it last; "": not known. A run may crash several instances, as
	// a start that was not listed is repeated to the next one, and agents report a crash to
	// each leader that may not know of it.
	Run      int    `json:"r,omitempty"`
	Instance string `json:"i,omitempty"`
}

// counted reports whether the crash of an instance under a run is among those that were counted
// for the task. Crashes under earlier runs are taken to be.
func (c crashes) counted(run int, instance string) bool {
	return run < c.Run || run == c.Run && (instance == c.Instance || instance == "" || c.Instance == "")
}

// reset returns the counts of a task that crashes no executors, with near of them kept.
func (c crashes) reset(near int) crashes {
	return crashes{Near: near, Run: c.Run, Instance: c.Instance}
}

// Suspect reports whether an executor has crashed at the start of the task, and none
// has survived a start of it since.
func (t *Task) Suspect() bool { return t.crashes.All > 0 }

// Crashes returns how many crashes in a row count for the task.
func (t *Task) Crashes() int { return max(t.crashes.All, t.crashes.Near) }

// StartsAlone reports whether several executors have crashed at the start of the task,
// so that it starts apart from suspects of one crash.
func (t *Task) StartsAlone() bool { return t.Suspect() && t.Crashes() > 1 }

// atLimit reports whether the task is to be given up.
func (c crashes) atLimit() bool {
	return c.Near >= maxCrashes || c.Sole >= maxSoleCrashes
}

// StartingRuns returns the number of runs for which a crash would count although a suspect
// starts beside them.
func (n *Node) StartingRuns() int {
	starting := 0
	for _, r := range n.Runs {
		if !r.steady() {
			starting++
		}
	}
	return starting
}

// steady reports whether a crash while a suspect starts beside the run is put down to the
// suspect alone.
func (r *Run) steady() bool { return r.survived && r.Node.ListedAt.Sub(r.confirmedAt) >= steadyAfter }

// Probation reports whether a suspected task is starting on the node, or one that the next
// crash gives up.
func (n *Node) Probation() bool {
	for _, r := range n.Runs {
		if r.Task == nil || r.State == Stopping {
			continue
		}
		if r.Task.Suspect() || r.Task.crashes.Near >= maxCrashes-1 && !r.steady() {
			return true
		}
	}
	return false
}

// suspects returns the runs that may have been starting if the executor has crashed
// after its last lists: those that it has confirmed, and those that it was ordered to start.
func (n *Node) suspects() []*Run {
	var runs []*Run
	for _, r := range n.Runs {
		ordered := !r.withheld && !r.Since.After(n.ListedAt.Add(listInterval))
		if !r.survived && (!r.confirmedAt.IsZero() || ordered) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return runs
}

// confirmStart records that an executor has answered the start of a run or listed it.
func (l *Ledger) confirmStart(r *Run, now time.Time) {
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	listed := now.Sub(r.confirmedAt)
	r.survived = r.survived || listed >= survivedAfter
	if r.Task == nil || !r.survived {
		return
	}
	cleared := r.Task.crashes.reset(r.Task.crashes.Near)
	if listed >= harmlessAfter {
		cleared.Near = 0
	}
	if r.Task.crashes != cleared {
		l.log(Event{What: "suspect cleared", Task: r.ID, Run: r.Number, Node: r.Node.Name})
		r.Task.crashes = cleared
		l.progressChanged(r.Task.Step.Job)
	}
}

// lateSuspects returns the runs that may crash executors, although this one has survived
// their start.
func (n *Node) lateSuspects() []*Run {
	var runs []*Run
	for _, r := range n.Runs {
		if r.survived && n.ListedAt.Sub(r.confirmedAt) < harmlessAfter {
			runs = append(runs, r)
		}
	}
	return runs
}

// countCrash counts the crash of an executor for the tasks of the runs that may be its
// cause, and gives up those that have reached a limit. An executor that was draining, or was
// said to leave and did not answer, has left instead.
func (l *Ledger) countCrash(n *Node, now time.Time) {
	starting, late := append(n.lapsedSuspects, n.suspects()...), append(n.lapsedLate, n.lateSuspects()...)
	n.lapsedSuspects, n.lapsedLate = nil, nil
	if n.Executor.Draining || n.Leaving || n.listings == 0 {
		return
	}
	n.countedCrash = n.Executor.Instance
	known := slices.ContainsFunc(starting, func(r *Run) bool { return r.Task != nil && r.Task.Suspect() })
	for _, r := range starting {
		l.countCrashAtStart(r.Task, r.Number, n, n.countedCrash, len(starting), now)
	}
	for _, r := range late {
		if !known || !r.steady() {
			l.countCrashLater(r.Task, r.Number, n, n.countedCrash, now)
		}
	}
}

// countReportedCrashes counts the crash of an instance that the agent reports as it has seen
// it under an earlier leader. It has no effect if this leader has seen that crash itself.
func (l *Ledger) countReportedCrashes(n *Node, instance string, results []Result, now time.Time) {
	if n.countedCrash != "" && (instance == "" || instance == n.countedCrash) {
		return
	}
	starting := 0
	for _, r := range results {
		if r.Result == fleet.OrderCrashed {
			starting++
		}
	}
	for _, r := range results {
		t := l.taskByID(r.Task)
		if t == nil || t.crashes.counted(r.Run, instance) {
			continue
		}
		switch r.Result {
		case fleet.OrderCrashed:
			l.countCrashAtStart(t, r.Run, n, instance, starting, now)
		case fleet.OrderCrashedLater:
			l.countCrashLater(t, r.Run, n, instance, now)
		default:
			continue
		}
		t.LastRun = max(t.LastRun, r.Run)
	}
}

// countCrashAtStart counts the crash of an instance at the start of a run of a task, one of a
// number of suspects.
func (l *Ledger) countCrashAtStart(t *Task, run int, n *Node, instance string, suspects int, now time.Time) {
	if !isOpen(t) {
		return
	}
	t.crashes.All++
	if suspects == 1 {
		t.crashes.Sole++
	}
	l.log(Event{What: "suspected of a crash", Task: t.ID, Run: run, Node: n.Name, Reason: fmt.Sprintf("crash %d in a row, %d suspects", t.crashes.Near+1, suspects)})
	l.countCrashLater(t, run, n, instance, now)
}

// countCrashLater counts the crash of an instance within harmlessAfter of the start of a run.
func (l *Ledger) countCrashLater(t *Task, run int, n *Node, instance string, now time.Time) {
	if !isOpen(t) {
		return
	}
	t.crashes.Near++
	if run >= t.crashes.Run {
		t.crashes.Run, t.crashes.Instance = run, instance
	}
	job := t.Step.Job
	l.progressChanged(job)
	t.countedAt = job.version
	if t.crashes.atLimit() {
		l.log(Event{What: "given up", Task: t.ID, Run: run, Node: n.Name, Reason: fmt.Sprintf("crashes the executors that start it: %+v", t.crashes)})
		l.finish(job, Failed, now)
	}
}

// PhaseOfCrash returns in which phase the executor of a run has crashed. ordered is when
// its start was ordered, confirmed when it was first answered or listed, listed when it
// was last listed, and lists when the executor last returned its lists; zero times stand
// for never. The result is OrderUnknown if the run is not suspected.
func PhaseOfCrash(ordered, confirmed, listed, lists time.Time) fleet.OrderResult {
	lasted := listed.Sub(confirmed)
	switch {
	case confirmed.IsZero() && ordered.After(lists.Add(listInterval)):
		return fleet.OrderUnknown
	case confirmed.IsZero() || lasted < survivedAfter:
		return fleet.OrderCrashed
	case lasted < harmlessAfter:
		return fleet.OrderCrashedLater
	default:
		return fleet.OrderUnknown
	}
}

// countIsStored reports whether the store holds the crashes that were counted for the
// task. Until then it is not started again: the next leader would begin at a lower count.
func (t *Task) countIsStored() bool { return t.Step.Job.storedVersion >= t.countedAt }

// deferStart keeps the start of a run from being ordered until the crashes of its task
// are stored.
func (l *Ledger) deferStart(r *Run) {
	r.withheld = true
	job := r.Task.Step.Job
	if !slices.Contains(job.deferred, r) {
		job.deferred = append(job.deferred, r)
	}
}

// orderDeferred orders the deferred starts of a job whose crashes are stored.
func (l *Ledger) orderDeferred(job *Job) {
	waiting := job.deferred
	job.deferred = nil
	for _, r := range waiting {
		switch {
		case r.Node.Runs[r.ID] != r || r.State != Starting:
		case !r.Node.Listed: // its order is repeated with the next lists
			r.withheld = false
		case !r.Task.countIsStored():
			job.deferred = append(job.deferred, r)
		default:
			r.withheld = false
			l.repeatOrder(r)
			l.pending[r.Node] = struct{}{}
		}
	}
}

// isOpen reports whether a task is known and may run again.
func isOpen(t *Task) bool { return t != nil && !t.Done && t.Step.Job.Final == "" }
