package ledger

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

const (
	// retryDelay is the time after a refusal before the task is started again, so
	// that another node can report capacity first.
	retryDelay = 150 * time.Millisecond
	// maxBackoff bounds the delay of starts that are refused or end unconfirmed again and again.
	// A job with room for it may have nothing running for 3 s.
	maxBackoff = 1200 * time.Millisecond
	// troubleHalfLife is the half-life of Node.Trouble. Most impaired executors
	// recover within it.
	troubleHalfLife = 6 * time.Second
	// troubleLimit bounds Node.Trouble, so that a VM whose executor recovers is used again
	// within three half-lives, however many runs have failed there.
	troubleLimit = 24.0
	// refusalTrouble is what a start that is refused, or has no answer, adds to Node.Trouble;
	// a failed run adds 1.
	refusalTrouble = 0.5
	// trialPause is the time after a failure in which an executor with much Trouble is given no
	// tasks as a trial. It bounds the attempts that are used up while everything fails there.
	trialPause = 250 * time.Millisecond
	// trialInterval is the interval without a failure after which an executor with much Trouble
	// may be given one more task, whether or not the ones before have ended.
	trialInterval = time.Second
	// absenceListings is the number of complete lists after the answer to an order
	// that prove a run absent: the first may have been made before the order.
	absenceListings = 2
	// MaxNames is the number of names of VMs in a log line.
	MaxNames = 8
	// stopRepeatDelay is how long a run may be listed after its stop was ordered before
	// the stop is ordered again. Executors stop a run within a second.
	stopRepeatDelay = 1500 * time.Millisecond
)

// Result is the answer to a start or stop order.
type Result struct {
	Task   fleet.TaskID
	Run    int
	Stop   bool
	Result fleet.OrderResult
}

// Report is a report from the agent of a node.
type Report struct {
	Executor *fleet.Executor // nil: it has not announced itself
	Listed   bool            // Running and Ended are the lists of the executor
	Partial  bool            // further ends wait on the executor, so that a run that is not listed may have ended
	Running  []fleet.Running
	Ended    []fleet.End
	Results  []Result
	Lapsed   bool // every lease of the instance has expired
	Leaving  bool // the executor is said to leave and has not answered since then
	// Crashed is the instance of which the results OrderCrashed and OrderCrashedLater tell. "":
	// not known, the agent is of an earlier version.
	Crashed string
}

// AddNode adds a node unless it is known, and returns it. An earlier leader may
// have given its executor leases until EarlierLeasesEnd.
func (l *Ledger) AddNode(name string) *Node {
	if n := l.Nodes[name]; n != nil {
		n.removed = false
		return n
	}
	n := &Node{Name: name, ledger: l, Runs: map[fleet.TaskID]*Run{}, LeaseUntil: l.earlierUntil}
	l.Nodes[name] = n
	return n
}

// RemoveNode removes a node whose registration has gone. If it has runs, or may have runs
// of earlier terms, it stays until the lease has expired.
func (l *Ledger) RemoveNode(name string) {
	n := l.Nodes[name]
	if n == nil {
		return
	}
	known := l.Settled || n.runsKnown()
	l.Disconnected(n)
	n.removed = true
	if len(n.Runs) == 0 && known {
		delete(l.Nodes, name)
	}
}

// Disconnected marks a node whose agent is out of reach: its lists are no longer
// current. Orders without a result are repeated with the next complete lists.
func (l *Ledger) Disconnected(n *Node) {
	n.Listed, n.complete, n.lapsed, n.inLapse = false, false, false, false
	n.orders = Orders{}
}

// Report applies a report of a node.
func (l *Ledger) Report(n *Node, r Report, now time.Time) {
	n.ReportedAt = now
	n.changes++
	l.pending[n] = struct{}{}
	if r.Executor == nil {
		return
	}
	if n.Executor.Instance != r.Executor.Instance {
		l.newInstance(n, *r.Executor, now)
	}
	n.Executor, n.Leaving = *r.Executor, r.Leaving
	n.noteDomain(now)
	if p, lapsed := lapsedByReport(r, now); lapsed {
		n.beginLapse()
		l.expireLease(n, p, n.lapse, now)
		n.lapsed = true
	} else {
		n.inLapse = false
	}
	l.countReportedCrashes(n, r.Crashed, r.Results, now)
	for _, result := range r.Results {
		l.applyResult(n, result, now)
	}
	if r.Listed {
		l.applyLists(n, r, now)
	}
	l.withdrawStarts(n)
	n.surveyRuns()
}

// newInstance closes the runs of an earlier instance of the executor once the
// agent reports a new one.
func (l *Ledger) newInstance(n *Node, e fleet.Executor, now time.Time) {
	if n.Executor.Instance != "" {
		n.replaced = true
		l.log(Event{What: "executor replaced", Node: n.Name, Reason: n.Executor.Instance + " by " + e.Instance})
		l.countCrash(n, now)
	}
	for _, r := range n.Runs {
		if p, ended := replacedBy(r, now); ended {
			l.closeRun(r, p, now, 0)
			continue
		}
		// The order may have reached the new instance, which is called under the
		// same id, so it is repeated there.
		r.lastListing, r.absentFrom, r.startAnswered = 0, 0, false
		r.confirmedAt, r.survived, r.timed = time.Time{}, false, false
		switch r.State {
		case Running:
			r.State = Starting
		case Stopping: // it is not ordered to start again
			r.withheld = true
		}
	}
	if len(n.Runs) > 1 { // a suspect would be repeated beside others
		for _, r := range n.Runs {
			if r.State == Starting && r.Task != nil && r.Task.Suspect() {
				l.stop(r, "may crash its executor")
				r.withheld = true
			}
		}
	}
	n.highestEnd, n.ackedEnds, n.unstoredEnds, n.orders, n.listings = 0, 0, nil, Orders{}, 0
	n.domains = nil
	n.completeListings, n.complete = 0, false
	n.Listed, n.lapsed, n.inLapse, n.surveyed = false, false, false, false
}

// beginLapse records that a report states that every lease has expired. Until a report does not
// state it, further ones may have been made before the agent had the orders that answer the first.
func (n *Node) beginLapse() {
	if !n.inLapse {
		n.inLapse = true
		n.lapse++
	}
}

// expireLease closes the runs of a node whose executor's lease has expired: those that were
// ordered or listed before a lapse.
func (l *Ledger) expireLease(n *Node, p proof, lapse uint64, now time.Time) {
	before := func(r *Run) bool { return r.lapse < lapse }
	n.lapsedSuspects = append(n.lapsedSuspects, keepRuns(n.suspects(), before)...)
	n.lapsedLate = append(n.lapsedLate, keepRuns(n.lateSuspects(), before)...)
	for _, r := range n.Runs {
		if before(r) {
			l.closeRun(r, p, now, 0)
		}
	}
}

// keepRuns returns those of some runs for which keep is true.
func keepRuns(runs []*Run, keep func(*Run) bool) []*Run {
	return slices.DeleteFunc(runs, func(r *Run) bool { return !keep(r) })
}

// startBackoff returns the delay before a task is started again of which a number of runs in a row
// were closed without a confirmation: none after the first, then it doubles up to maxBackoff.
func startBackoff(unconfirmed int) time.Duration {
	if unconfirmed < 2 {
		return 0
	}
	return min(maxBackoff, retryDelay<<min(unconfirmed-2, 8))
}

// closeRun removes a run that has ended by a proof and of which the executor lists no end.
// It does not count as an attempt; its task may start again after the delay, or later if the
// runs before were not confirmed either.
func (l *Ledger) closeRun(r *Run, p proof, now time.Time, delay time.Duration) {
	delete(r.Node.Runs, r.ID)
	r.Node.changes++
	l.log(Event{What: "run gone", Task: r.ID, Run: r.Number, Node: r.Node.Name, Reason: p.kind.String(), Age: now.Sub(p.at)})
	t := r.Task
	if t == nil || t.Current != r {
		return
	}
	if t.unconfirmed++; !r.confirmedAt.IsZero() {
		t.unconfirmed = 0
	}
	if p.kind == refused || p.kind == notListed { // the others take a lease or an instance each
		delay = max(delay, startBackoff(t.unconfirmed))
	}
	t.Current, t.NotBefore = nil, now.Add(delay)
	t.ReadySince = t.NotBefore
	t.EndedRun = max(t.EndedRun, r.Number)
	t.closedRuns = append(t.closedRuns, r.Number)
}

// Tick closes the runs of nodes whose lease has expired by the leader's clock, as the agent
// is out of reach or the executor returns no lists, deletes removed nodes without runs, and sets Settled once it holds. confirmed is
// when the latest call was sent by which the store confirmed the term: a later leader may
// have extended any lease that ends after it. Tick reports whether a confirmation that is
// sent now would show that a lease has expired.
func (l *Ledger) Tick(now, confirmed time.Time) (unproven bool) {
	settled := true
	for _, n := range l.Nodes {
		p, expired := lapsedByGrants(n, confirmed)
		awaited := len(n.Runs) > 0 && !n.listedSince(n.LeaseEnd())
		if awaited && expired {
			l.expireLease(n, p, everyLapse, now)
		}
		if n.removed && len(n.Runs) == 0 && (expired || l.Settled) {
			delete(l.Nodes, n.Name)
		}
		known := n.runsKnown()
		settled = settled && (known || expired)
		unproven = unproven || !expired && now.After(n.LeaseEnd()) && (awaited || !known && !l.Settled)
	}
	if settled && !l.Settled {
		l.Settled = true
		l.log(Event{What: "settled", Reason: l.settledBy(now)})
	}
	return unproven
}

// StartsHeld reports whether the starts of the node are held.
func (n *Node) StartsHeld() bool { return n.startsHeld }

// listedSince reports whether current lists of the executor have come at or after a time.
func (n *Node) listedSince(t time.Time) bool { return n.Listed && !n.ListedAt.Before(t) }

// applyLists applies the lists of an executor. Partial ones prove no run absent.
func (l *Ledger) applyLists(n *Node, r Report, now time.Time) {
	first := !n.Listed
	n.Listed, n.ListedAt = true, now
	n.lapsedSuspects, n.lapsedLate = nil, nil
	n.listings++
	if n.replaced && n.listings == 1 && len(r.Running)+len(r.Ended) > 0 {
		// This leader has ordered nothing from the instance, so it has carried out a start that
		// was called for the one before. It has read the deadline by its own clock, which
		// starts anew.
		n.foreignLeaseUntil = now.Add(l.longestLease)
	}
	if !r.Partial {
		n.completeListings++
		n.complete = true
	}
	slices.SortFunc(r.Ended, func(a, b fleet.End) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range r.Ended {
		if e.Number > n.highestEnd {
			l.applyEnd(n, e, now)
		}
	}
	for _, running := range r.Running {
		l.applyRunning(n, running, now)
	}
	for _, run := range n.Runs {
		if first && run.paceOrdered { // the last one may be lost with the last session
			run.Pace, run.timed = unknownPace, false
		}
		if p, absent := absentFrom(run, r, now); absent {
			l.closeRun(run, p, now, retryDelay)
			continue
		}
		if first && (run.lastListing != n.listings || run.State == Stopping) {
			l.repeatOrder(run)
		}
	}
}

// repeatOrder repeats the order for a run, which may be lost with the last session.
// A run that was running is closed if it stays unlisted.
func (l *Ledger) repeatOrder(r *Run) {
	switch {
	case r.State == Starting && r.Task != nil && !r.Task.countIsStored():
		l.deferStart(r)
	case r.State == Starting && r.Task != nil:
		l.log(Event{What: "start repeated", Task: r.ID, Run: r.Number, Node: r.Node.Name, Reason: r.Node.Executor.Instance})
		// An earlier order may have ended by its deadline, which does not hold for this one.
		r.absentFrom, r.startAnswered = 0, false
		r.repeated, r.timed, r.lapse = true, false, r.Node.lapse
		r.Node.orders.Starts = append(r.Node.orders.Starts, l.startOrder(r, ""))
	case r.State == Stopping:
		r.stopListedAt = time.Time{}
		if ref := (RunRef{r.ID, r.Number}); !slices.Contains(r.Node.orders.Stops, ref) {
			r.Node.orders.Stops = append(r.Node.orders.Stops, ref)
		}
	case r.State == Running && r.absentFrom == 0:
		r.absentFrom = r.Node.completeListings + absenceListings
	}
}

// repeatLateStop orders the stop of a run again that is still listed stopRepeatDelay after
// the last order: whatever has become of that order, the run works on.
func (l *Ledger) repeatLateStop(r *Run, now time.Time) {
	if r.stopListedAt.IsZero() {
		r.stopListedAt = now
		return
	}
	if now.Sub(r.stopListedAt) < stopRepeatDelay {
		return
	}
	l.log(Event{What: "stop repeated", Task: r.ID, Run: r.Number, Node: r.Node.Name, Age: now.Sub(r.stopListedAt)})
	l.repeatOrder(r)
}

// applyRunning applies a listed run.
func (l *Ledger) applyRunning(n *Node, running fleet.Running, now time.Time) {
	run := n.Runs[running.Task]
	if run == nil || run.Number != running.Run {
		run = l.addListedRun(n, running, now)
		if run == nil {
			return
		}
	}
	run.lastListing, run.lapse = n.listings, n.lapse
	l.confirmStart(run, now)
	run.inInstance = run.inInstance || run.startAnswered
	if run.State == Starting {
		run.State = Running
	}
	switch run.State {
	case Running:
		run.absentFrom = n.completeListings + absenceListings
	case Stopping:
		l.repeatLateStop(run, now)
	}
	if running.Percent != run.Percent {
		run.Percent, run.ProgressedAt = running.Percent, now
	}
	run.Reading = running.Reading
	if run.Task == nil {
		return
	}
	run.Task.Step.Job.Started = true
	if running.Checkpoint != "" {
		if running.Checkpoint != run.Task.Checkpoint {
			run.Task.crashes.Near = 0
		}
		run.Task.Checkpoint = running.Checkpoint
	}
}

// addListedRun adds a listed run that the ledger did not know at this node. The
// run is adopted if its task has no run and needs one, else it is stopped. The
// result is nil if the ledger has a later run of the task there.
func (l *Ledger) addListedRun(n *Node, running fleet.Running, now time.Time) *Run {
	if known := n.Runs[running.Task]; known != nil && known.Number > running.Run {
		// The listed run is still being stopped. An executor has one run of a task
		// at a time, so the later one has not started.
		return nil
	}
	run := &Run{ID: running.Task, Number: running.Run, Node: n, State: Running, lapse: n.lapse, startAnswered: true, inInstance: true, Since: now, ProgressedAt: now, PaceSince: now, Pace: unknownPace}
	task := l.taskByID(running.Task)
	wanted := task != nil && task.Current == nil && !task.Done && task.Step.Job.Final == ""
	n.Runs[running.Task] = run
	attach(run, task)
	if !wanted {
		l.stop(run, "not wanted")
		return run
	}
	l.log(Event{What: "adopt", Task: run.ID, Run: run.Number, Node: n.Name})
	return run
}

// taskByID returns the task with an id, or nil if there is none.
func (l *Ledger) taskByID(id fleet.TaskID) *Task {
	job := l.Jobs[id.Job]
	if job == nil || id.Occurrence < 0 || id.Occurrence >= len(job.Occurrences) {
		return nil
	}
	steps := job.Occurrences[id.Occurrence].Steps
	if id.Step < 0 || id.Step >= len(steps) || id.Index < 0 || id.Index >= len(steps[id.Step].Tasks) {
		return nil
	}
	return steps[id.Step].Tasks[id.Index]
}

// applyResult applies the answer to an order.
func (l *Ledger) applyResult(n *Node, r Result, now time.Time) {
	run := n.Runs[r.Task]
	if run == nil || run.Number != r.Run || r.Result == fleet.OrderCrashed || r.Result == fleet.OrderCrashedLater {
		return
	}
	run.startAnswered = run.startAnswered || !r.Stop && r.Result != fleet.OrderUnknown
	switch {
	case r.Result == fleet.OrderUnknown, r.Result == fleet.OrderFenced, r.Result == fleet.OrderGone:
	case r.Stop:
		run.absentFrom = n.completeListings + absenceListings
	case r.Result == fleet.OrderDone:
		l.confirmStart(run, now)
		if run.State == Starting {
			run.State, run.Since, run.PaceSince = Running, now, now
			run.Task.Step.Job.Started = true
			run.absentFrom = n.completeListings + absenceListings
		}
	case r.Result == fleet.OrderOld, r.Result == fleet.OrderRevoked:
		// The run may be running, be stopping or have ended; the lists show which.
		run.absentFrom = n.completeListings + absenceListings
		if r.Result == fleet.OrderRevoked { // calls had no answer, or were refused after one without
			n.addTrouble(refusalTrouble, now)
		}
	default:
		n.addTrouble(refusalTrouble, now)
		if p, never := refusedOnce(run, r.Result, now); never {
			l.closeRun(run, p, now, retryDelay)
			return
		}
		l.stop(run, "refused, an earlier order may have started it")
	}
}

// addTrouble adds an amount to the decayed Trouble.
func (n *Node) addTrouble(amount float64, now time.Time) {
	n.Trouble = min(troubleLimit, n.TroubleAt(now)+amount)
	n.troubleAt, n.doneSinceTrouble = now, 0
}

// Trials returns how many further tasks, other than lasting ones, may be started at once on a
// node with much Trouble to find out whether its executor has recovered: none right after a
// failure, then one at a time, and one more for each run that has done its task since and for
// each trialInterval. It is 0 for a node without Trouble, which needs none.
func (n *Node) Trials(now time.Time) int {
	calm := now.Sub(n.troubleAt)
	if n.Trouble == 0 || calm < trialPause {
		return 0
	}
	trials := 1 + n.doneSinceTrouble + int(calm/trialInterval)
	for _, r := range n.Runs {
		if r.trial {
			trials--
		}
	}
	return trials
}

// TroubleAt returns Trouble decayed to a time: the weighted number of recent
// failures and refusals of the node.
func (n *Node) TroubleAt(now time.Time) float64 {
	if n.Trouble == 0 {
		return 0
	}
	halves := float64(now.Sub(n.troubleAt)) / float64(troubleHalfLife)
	return n.Trouble * exp2(-halves)
}
