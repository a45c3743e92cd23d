package ledger

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// applyEnd applies an end that an executor lists.
func (l *Ledger) applyEnd(n *Node, e fleet.End, now time.Time) {
	n.highestEnd = e.Number
	if run := n.Runs[e.Task]; run != nil && run.Number == e.Run {
		delete(n.Runs, e.Task)
	}
	if l.Jobs[e.Task.Job] == nil {
		l.keepEnd(n, e, now)
		return
	}
	l.applyKnownEnd(n, e, now)
}

// applyKnownEnd applies an end of a run of a known job. Its number is 0 if the instance
// that listed it has been replaced.
func (l *Ledger) applyKnownEnd(n *Node, e fleet.End, now time.Time) {
	if job := l.Jobs[e.Task.Job]; job.Final != "" {
		l.applyEndOfFinal(job, n, e)
		return
	}
	t := l.taskByID(e.Task)
	if t != nil && isLateDone(t, e) {
		l.countEnd(t, n, e, "late end")
		l.markDone(t, now)
		return
	}
	current := t != nil && t.Current != nil && t.Current.Node == n && t.Current.Number == e.Run
	other := t != nil && !current && (t.Current != nil || e.Run <= t.EndedRun || hasCounted(t, n, e))
	if other && e.Reason == fleet.EndFailed {
		l.countLateFailure(t, n, e, now)
		return
	}
	if t == nil || t.Done || other {
		l.log(Event{What: "end without effect", Task: e.Task, Run: e.Run, Node: n.Name, Reason: e.Reason.String()})
		if t != nil { // the first listing of the end may not be stored yet
			l.waitForStore(t.Step.Job, n, e)
		}
		return
	}
	l.countEnd(t, n, e, "end")
	if r := t.Current; current && r.timed && l.done != nil && e.Reason == fleet.EndDone && !t.Step.Spec.Lasting {
		l.done(r, r.workedUntil(now))
	}
	t.Current, t.EndedRun, t.LastRun, t.LastNode = nil, max(t.EndedRun, e.Run), max(t.LastRun, e.Run), n.Name
	t.Step.Job.Started = true
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	if e.Reason == fleet.EndDone || e.Reason == fleet.EndFailed {
		t.crashes = t.crashes.reset(0)
	}
	switch {
	case e.Reason == fleet.EndDone && !t.Step.Spec.Lasting:
		n.doneSinceTrouble++
		l.markDone(t, now)
	case e.Reason == fleet.EndFailed:
		l.countFailure(t, n, e.Run, now)
	}
	t.ReadySince = now
}

// applyEndOfFinal applies an end of a run of a job whose state is final. It changes
// nothing that has to be stored, but is acknowledged only once the final state is
// stored: with an earlier state, the next leader would start the task again.
func (l *Ledger) applyEndOfFinal(job *Job, n *Node, e fleet.End) {
	if t := l.taskByID(e.Task); t != nil && t.Current != nil && t.Current.Node == n && t.Current.Number == e.Run {
		t.Current = nil
	}
	l.log(Event{What: "end", Task: e.Task, Run: e.Run, Node: n.Name, Reason: e.Reason.String()})
	l.waitForStore(job, n, e)
	l.dropTasks(job)
}

// waitForStore keeps an end from being acknowledged before the present state of its
// job is stored.
func (l *Ledger) waitForStore(job *Job, n *Node, e fleet.End) {
	if e.Number == 0 {
		return // nothing is left to acknowledge it to
	}
	if job.endedOn == nil {
		job.endedOn = map[*Node]struct{}{}
	}
	job.endedOn[n] = struct{}{}
	i, _ := slices.BinarySearchFunc(n.unstoredEnds, e.Number, func(u unstoredEnd, number uint64) int { return cmp.Compare(u.number, number) })
	n.unstoredEnds = slices.Insert(n.unstoredEnds, i, unstoredEnd{e.Number, job, job.version})
}

// countEnd records that an end changes the progress of its job, which is stored
// before the end is acknowledged.
func (l *Ledger) countEnd(t *Task, n *Node, e fleet.End, what string) {
	l.log(Event{What: what, Task: e.Task, Run: e.Run, Node: n.Name, Reason: e.Reason.String()})
	job := t.Step.Job
	l.progressChanged(job)
	l.waitForStore(job, n, e)
}

// isLateDone reports whether a run has done its task although a run with the same
// or a higher number is known to have ended. Runs on different VMs have the same
// number if a leader did not know of the first.
func isLateDone(t *Task, e fleet.End) bool {
	return e.Reason == fleet.EndDone && e.Run <= t.EndedRun && t.Current == nil && !t.Done && !t.Step.Spec.Lasting && !slices.Contains(t.closedRuns, e.Run)
}

// countLateFailure counts a failed run whose end is listed while the task has another
// run, or after another run has ended. This occurs when a new leader reads the
// lists of several nodes. A run that was closed before does not count.
func (l *Ledger) countLateFailure(t *Task, n *Node, e fleet.End, now time.Time) {
	if t.Done || t.Step.Spec.Lasting || slices.Contains(t.closedRuns, e.Run) || hasCounted(t, n, e) {
		l.waitForStore(t.Step.Job, n, e) // the first listing of the end may not be stored yet
		return
	}
	l.countEnd(t, n, e, "late end")
	l.countFailure(t, n, e.Run, now)
}

// hasCounted reports whether an end is that of a failed run that counts as an attempt, which
// the stored progress may hold although no run of that number is known to have ended.
func hasCounted(t *Task, n *Node, e fleet.End) bool {
	return e.Reason == fleet.EndFailed && slices.Contains(t.failures, failure{e.Run, n.Name})
}

// markDone marks a task as done, and opens the steps that waited for it or finishes
// the job.
func (l *Ledger) markDone(t *Task, now time.Time) {
	if t.Done {
		return
	}
	t.Done = true
	s := t.Step
	if s.Left--; s.Left > 0 || s.Job.Final != "" {
		return
	}
	delete(l.openSteps, s)
	for _, next := range s.dependents {
		if next.pendingSteps--; next.pendingSteps == 0 {
			l.openStep(next, now)
		}
	}
	if s.Occurrence.Left--; s.Occurrence.Left > 0 {
		return
	}
	if s.Job.doneOccurrences++; s.Job.doneOccurrences == len(s.Job.Occurrences) {
		l.finish(s.Job, Done, now)
	}
}

// countFailure counts a failed run of a task, and fails the job after the last
// attempt.
func (l *Ledger) countFailure(t *Task, n *Node, run int, now time.Time) {
	n.addTrouble(1, now)
	job := t.Step.Job
	if t.Step.Spec.Lasting {
		// Lasting tasks have no limit of attempts and are restarted at once.
		return
	}
	t.failures = append(t.failures, failure{run, n.Name})
	if len(t.failures) >= l.maxAttempts(job) && job.Final == "" {
		l.finish(job, Failed, now)
	}
}
