package ledger

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Refusals and failures keep a task or a node out of the next choice for a while.
const (
	retryPause      = 150 * time.Millisecond // of a task after a refusal, so that another node reports first
	troubleHalfLife = 6 * time.Second        // most impaired executors recover within it
	// proofListings is how many complete lists after an answered order prove
	// that a run is absent: the first may have been made before the order.
	proofListings = 2
)

// Result is the answer to an order.
type Result struct {
	Task   fleet.TaskID
	Run    int
	Stop   bool
	Result fleet.OrderResult
}

// Report is what a node tells the leader.
type Report struct {
	Executor *fleet.Executor // nil: it has not announced itself
	Listed   bool            // Running and Ended are complete
	Running  []fleet.Running
	Ended    []fleet.End
	Results  []Result
	Lapsed   bool // every lease of the instance has expired
}

// AddNode adds a node unless it is known. An earlier leader may have given it
// leases until MaxLease after the takeover.
func (l *Ledger) AddNode(name string) *Node {
	if n := l.Nodes[name]; n != nil {
		n.removed = false
		return n
	}
	n := &Node{Name: name, Runs: map[fleet.TaskID]*Run{}, LeaseUntil: l.takeover.Add(l.maxLease)}
	l.Nodes[name] = n
	return n
}

// RemoveNode forgets a node whose agent has gone. Its runs stay until their lease
// has expired.
func (l *Ledger) RemoveNode(name string) {
	n := l.Nodes[name]
	if n == nil {
		return
	}
	l.Disconnected(n)
	n.removed = true
	if len(n.Runs) == 0 {
		delete(l.Nodes, name)
	}
}

// Disconnected marks a node whose agent is out of reach: its lists are no
// longer current, and orders without a result are given again later.
func (l *Ledger) Disconnected(n *Node) {
	n.Listed, n.lapsed = false, false
	n.orders = Orders{}
}

// Report takes in what a node tells.
func (l *Ledger) Report(n *Node, r Report, now time.Time) {
	n.Heard = now
	n.changes++
	if r.Executor == nil {
		return
	}
	if n.Executor.Instance != r.Executor.Instance {
		l.newInstance(n, *r.Executor, now)
	}
	n.Executor = *r.Executor
	if r.Lapsed {
		l.lapse(n, "lease expired", now)
		n.lapsed = true
	}
	for _, result := range r.Results {
		l.result(n, result, now)
	}
	if r.Listed {
		l.lists(n, r, now)
	}
}

// newInstance takes note that the earlier life of the executor and all that ran
// in it have ended.
func (l *Ledger) newInstance(n *Node, e fleet.Executor, now time.Time) {
	if n.Executor.Instance != "" {
		l.log(Event{What: "executor replaced", Node: n.Name, Reason: n.Executor.Instance + " by " + e.Instance})
	}
	for _, r := range n.Runs {
		if r.ownLife {
			l.close(r, "executor ended", time.Time{})
			continue
		}
		// Its order may have reached the new life, which the executor serves
		// under the same id: it is given again there.
		r.listed, r.absentAfter, r.answered = 0, 0, false
		if r.State == Running {
			r.State = Starting
		}
	}
	n.endsSeen, n.acked, n.unstored, n.orders, n.listings = 0, 0, nil, Orders{}, 0
	n.Listed, n.lapsed = false, false
}

// lapse takes note that the lease of the executor has expired.
func (l *Ledger) lapse(n *Node, reason string, now time.Time) {
	l.closeAll(n, reason, now)
	n.orders.Starts = nil
}

func (l *Ledger) closeAll(n *Node, reason string, retry time.Time) {
	for _, r := range n.Runs {
		l.close(r, reason, retry)
	}
}

// close takes note that a run no longer exists, without an end that counts.
func (l *Ledger) close(r *Run, reason string, retry time.Time) {
	delete(r.Node.Runs, r.ID)
	r.Node.changes++
	l.log(Event{What: "run gone", Task: r.ID, Run: r.Number, Node: r.Node.Name, Reason: reason})
	t := r.Task
	if t == nil || t.Current != r {
		return
	}
	t.Current, t.NotBefore = nil, retry
	t.EndedRun = max(t.EndedRun, r.Number)
	t.gone = append(t.gone, r.Number)
}

// Tick takes note of leases that have expired by the leader's own clock, and
// settles the takeover.
func (l *Ledger) Tick(now time.Time) {
	settled := true
	for _, n := range l.Nodes {
		expired := now.After(n.LeaseUntil)
		if !n.Listed && expired && len(n.Runs) > 0 {
			l.lapse(n, "lease expired, agent out of reach", now)
		}
		if n.removed && len(n.Runs) == 0 {
			delete(l.Nodes, n.Name)
		}
		settled = settled && (n.Listed || expired || n.lapsed)
	}
	if settled && !l.Settled {
		l.Settled = true
		l.log(Event{What: "settled", Reason: now.Sub(l.takeover).String()})
	}
}

// lists compares the complete lists of an executor with the ledger.
func (l *Ledger) lists(n *Node, r Report, now time.Time) {
	first := !n.Listed
	n.Listed, n.ListedAt = true, now
	n.listings++
	slices.SortFunc(r.Ended, func(a, b fleet.End) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range r.Ended {
		if e.Number > n.endsSeen {
			l.end(n, e, now)
		}
	}
	for _, running := range r.Running {
		l.running(n, running, now)
	}
	for _, run := range n.Runs {
		if first && run.Pace != fullPace {
			run.Pace = unknownPace
		}
		if run.absentAfter > 0 && n.listings >= run.absentAfter && run.listed != n.listings {
			l.close(run, "not listed", now.Add(retryPause))
			continue
		}
		if first && run.listed != n.listings {
			l.repeat(run)
		}
	}
}

// repeat gives an order again whose result was lost with the session.
func (l *Ledger) repeat(r *Run) {
	switch {
	case r.State == Starting && r.Task != nil:
		r.Node.orders.Starts = append(r.Node.orders.Starts, l.startOrder(r, ""))
	case r.State == Stopping:
		r.Node.orders.Stops = append(r.Node.orders.Stops, RunRef{r.ID, r.Number})
	case r.State == Running && r.absentAfter == 0:
		r.absentAfter = r.Node.listings + proofListings
	}
}

func (l *Ledger) running(n *Node, running fleet.Running, now time.Time) {
	run := n.Runs[running.Task]
	if run == nil || run.Number != running.Run {
		run = l.found(n, running, now)
		if run == nil {
			return
		}
	}
	run.listed = n.listings
	run.ownLife = run.ownLife || run.answered
	if run.State == Starting {
		run.State = Running
	}
	if run.State == Running {
		run.absentAfter = n.listings + proofListings
	}
	if running.Percent != run.Percent {
		run.Percent, run.Moved = running.Percent, now
	}
	run.Reading = running.Reading
	if run.Task == nil {
		return
	}
	run.Task.Step.Job.Started = true
	if running.Checkpoint != "" {
		run.Task.Checkpoint = running.Checkpoint
	}
}

// found takes in a run that the ledger did not know at this node: it is adopted
// if its task waits for a run, else it is stopped.
func (l *Ledger) found(n *Node, running fleet.Running, now time.Time) *Run {
	if known := n.Runs[running.Task]; known != nil && known.Number > running.Run {
		// The earlier run is still being stopped; the node holds one run of a
		// task at a time, so the later one has not started.
		return nil
	}
	run := &Run{ID: running.Task, Number: running.Run, Node: n, State: Running, answered: true, ownLife: true, Since: now, Moved: now, Paced: now, Pace: unknownPace}
	task := l.task(running.Task)
	wanted := task != nil && task.Current == nil && !task.Done && task.Step.Job.Final == ""
	n.Runs[running.Task] = run
	attach(run, task)
	if !wanted {
		l.Stop(run, "not wanted")
		return run
	}
	l.log(Event{What: "adopt", Task: run.ID, Run: run.Number, Node: n.Name})
	return run
}

func (l *Ledger) task(id fleet.TaskID) *Task {
	job := l.Jobs[id.Job]
	if job == nil || id.Occurrence >= len(job.Chains) {
		return nil
	}
	steps := job.Chains[id.Occurrence].Steps
	if id.Step >= len(steps) || id.Index >= len(steps[id.Step].Tasks) {
		return nil
	}
	return steps[id.Step].Tasks[id.Index]
}

// end takes note of an end that an executor lists.
func (l *Ledger) end(n *Node, e fleet.End, now time.Time) {
	n.endsSeen = e.Number
	if run := n.Runs[e.Task]; run != nil && run.Number == e.Run {
		delete(n.Runs, e.Task)
	}
	t := l.task(e.Task)
	if t != nil && isLateDone(t, e) {
		l.count(t, n, e, "late end")
		l.done(t, now)
		return
	}
	current := t != nil && t.Current != nil && t.Current.Node == n && t.Current.Number == e.Run
	other := t != nil && !current && (t.Current != nil || e.Run <= t.EndedRun)
	if other && e.Reason == fleet.EndFailed {
		l.lateFailure(t, n, e, now)
		return
	}
	if t == nil || other {
		l.log(Event{What: "end without effect", Task: e.Task, Run: e.Run, Node: n.Name, Reason: e.Reason.String()})
		return
	}
	l.count(t, n, e, "end")
	t.Current, t.EndedRun, t.LastRun, t.LastNode = nil, max(t.EndedRun, e.Run), max(t.LastRun, e.Run), n.Name
	t.Step.Job.Started = true
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	switch {
	case e.Reason == fleet.EndDone && !t.Step.Spec.Lasting:
		l.done(t, now)
	case e.Reason == fleet.EndFailed:
		l.failed(t, n, e.Run, now)
	}
	t.ReadySince = now
}

// count takes note that an end changes the progress of its job, which has to be
// stored before the end is acknowledged.
func (l *Ledger) count(t *Task, n *Node, e fleet.End, what string) {
	l.log(Event{What: what, Task: e.Task, Run: e.Run, Node: n.Name, Reason: e.Reason.String()})
	job := t.Step.Job
	job.version++
	n.unstored = append(n.unstored, unstoredEnd{e.Number, job, job.version})
}

// isLateDone reports whether an end is that of a run which has done its task and
// whose number is not above that of a known end: two runs on different VMs have
// one number if a leader did not know of the first.
func isLateDone(t *Task, e fleet.End) bool {
	return e.Reason == fleet.EndDone && e.Run <= t.EndedRun && t.Current == nil && !t.Done && !t.Step.Spec.Lasting && !slices.Contains(t.gone, e.Run)
}

// lateFailure counts a failed run whose end comes beside or after a later run, as
// it does when a new leader reads the lists of several nodes. A run that the
// ledger has taken as gone does not count.
func (l *Ledger) lateFailure(t *Task, n *Node, e fleet.End, now time.Time) {
	if t.Done || t.Step.Spec.Lasting || slices.Contains(t.gone, e.Run) || slices.Contains(t.failed, failure{e.Run, n.Name}) {
		return
	}
	l.count(t, n, e, "late end")
	l.failed(t, n, e.Run, now)
}

func (l *Ledger) done(t *Task, now time.Time) {
	t.Done = true
	s := t.Step
	if s.Left--; s.Left > 0 || s.Job.Final != "" {
		return
	}
	delete(l.open, s)
	for _, next := range s.next {
		if next.waiting--; next.waiting == 0 {
			l.openStep(next, now)
		}
	}
	if s.Chain.Left--; s.Chain.Left > 0 {
		return
	}
	if s.Job.doneOccurrences++; s.Job.doneOccurrences == len(s.Job.Chains) {
		l.finish(s.Job, Done, now)
	}
}

func (l *Ledger) failed(t *Task, n *Node, run int, now time.Time) {
	n.addTrouble(1, now)
	job := t.Step.Job
	if t.Step.Spec.Lasting {
		// It has no limit of attempts and must be back soon.
		return
	}
	t.failed = append(t.failed, failure{run, n.Name})
	if len(t.failed) >= l.attempts(job) && job.Final == "" {
		l.finish(job, Failed, now)
	}
}

// result takes note of the answer to an order.
func (l *Ledger) result(n *Node, r Result, now time.Time) {
	run := n.Runs[r.Task]
	if run == nil || run.Number != r.Run {
		return
	}
	run.answered = run.answered || !r.Stop && r.Result != fleet.OrderUnknown
	switch {
	case r.Result == fleet.OrderUnknown, r.Result == fleet.OrderFenced, r.Result == fleet.OrderGone:
	case r.Stop:
		run.absentAfter = n.listings + proofListings
	case r.Result == fleet.OrderDone:
		if run.State == Starting {
			run.State, run.Since, run.Paced = Running, now, now
			run.Task.Step.Job.Started = true
			run.absentAfter = n.listings + proofListings
		}
	case r.Result == fleet.OrderOld, r.Result == fleet.OrderRevoked:
		// It may be running, being stopped or have ended: the lists tell.
		run.absentAfter = n.listings + proofListings
	default:
		n.addTrouble(0.5, now)
		l.close(run, "refused", now.Add(retryPause))
	}
}

func (n *Node) addTrouble(amount float64, now time.Time) {
	n.Trouble = n.TroubleAt(now) + amount
	n.troubleAt = now
}

// TroubleAt returns the recent failures and refusals of the node, decayed.
func (n *Node) TroubleAt(now time.Time) float64 {
	if n.Trouble == 0 {
		return 0
	}
	halves := float64(now.Sub(n.troubleAt)) / float64(troubleHalfLife)
	return n.Trouble * pow2(-halves)
}
