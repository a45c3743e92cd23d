package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
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
}

// Suspect reports whether an executor has crashed at the start of the task, and none
// has survived a start of it since.
func (t *Task) Suspect() bool { return t.crashes.All > 0 }

// StartsAlone reports whether several executors have crashed at the start of the task,
// so that it starts apart from other suspects.
func (t *Task) StartsAlone() bool { return t.crashes.All > 1 }

// atLimit reports whether the task is to be given up.
func (c crashes) atLimit() bool {
	return c.Near >= maxCrashes || c.Sole >= maxSoleCrashes
}

// StartingRuns returns the number of runs of which it is not known that the executor
// has survived their start.
func (n *Node) StartingRuns() int {
	starting := 0
	for _, r := range n.Runs {
		if !r.survived {
			starting++
		}
	}
	return starting
}

// Probation reports whether a suspected task is starting on the node.
func (n *Node) Probation() bool {
	for _, r := range n.Runs {
		if r.Task != nil && r.Task.Suspect() && r.State != Stopping {
			return true
		}
	}
	return false
}

// suspects returns the runs that may have been starting if the executor has crashed
// after its last lists.
func (n *Node) suspects() []*Run {
	var runs []*Run
	for _, r := range n.Runs {
		if !r.survived && !r.withheld && (!r.confirmedAt.IsZero() || !r.Since.After(n.ListedAt.Add(listInterval))) {
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
	cleared := crashes{Near: r.Task.crashes.Near}
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
// cause, and gives up those that have reached a limit. An executor that was draining has
// left instead.
func (l *Ledger) countCrash(n *Node, now time.Time) {
	starting, late := append(n.lapsedSuspects, n.suspects()...), append(n.lapsedLate, n.lateSuspects()...)
	n.lapsedSuspects, n.lapsedLate = nil, nil
	if n.Executor.Draining || n.listings == 0 {
		return
	}
	for _, r := range starting {
		if t := r.Task; isOpen(t) {
			t.crashes.All++
			t.crashes.Near++
			if len(starting) == 1 {
				t.crashes.Sole++
			}
			l.log(Event{What: "suspected of a crash", Task: r.ID, Run: r.Number, Node: n.Name, Reason: fmt.Sprintf("crash %d in a row, %d suspects", t.crashes.Near, len(starting))})
			l.giveUpAtLimit(r, now)
		}
	}
	for _, r := range late {
		if t := r.Task; isOpen(t) {
			t.crashes.Near++
			l.giveUpAtLimit(r, now)
		}
	}
}

// isOpen reports whether a task is known and may run again.
func isOpen(t *Task) bool { return t != nil && !t.Done && t.Step.Job.Final == "" }

// giveUpAtLimit fails the job of a run if the crashes of its task have reached a limit.
func (l *Ledger) giveUpAtLimit(r *Run, now time.Time) {
	job := r.Task.Step.Job
	l.progressChanged(job)
	if r.Task.crashes.atLimit() {
		l.log(Event{What: "given up", Task: r.ID, Run: r.Number, Node: r.Node.Name, Reason: fmt.Sprintf("crashes the executors that start it: %+v", r.Task.crashes)})
		l.finish(job, Failed, now)
	}
}
