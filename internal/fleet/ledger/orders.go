package ledger

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Orders are the orders for the executor of a node.
type Orders struct {
	Instance string // instance of the executor that the orders are for
	Stored   uint64 // ends up to this number are stored, so the executor may drop them
	Starts   []fleet.StartOrder
	Stops    []RunRef
	Paces    []PaceOrder
}

// RunRef identifies a run.
type RunRef struct {
	Task fleet.TaskID
	Run  int
}

// PaceOrder sets the pace of a run.
type PaceOrder struct {
	RunRef
	Percent int // of full speed
}

func (l *Ledger) startOrder(r *Run, ticket string) fleet.StartOrder {
	return fleet.StartOrder{Task: r.ID, Run: r.Number, Spec: r.Task.Step.Job.Spec, Checkpoint: r.Task.Checkpoint, Ticket: ticket}
}

// stop orders the stop of a run. Its task is ready again once the end is known.
func (l *Ledger) stop(r *Run, reason string) {
	if r.State == Stopping {
		return
	}
	r.State, r.absentFrom, r.stopListedAt = Stopping, 0, time.Time{}
	r.Node.changes++
	r.Node.orders.Stops = append(r.Node.orders.Stops, RunRef{r.ID, r.Number})
	l.pending[r.Node] = struct{}{}
	l.log(Event{What: "stop", Task: r.ID, Run: r.Number, Node: r.Node.Name, Reason: reason})
}

// PaceNow returns the pace of the run in percent. An unknown pace counts as full.
func (r *Run) PaceNow() int {
	if r.Pace == unknownPace {
		return fullPace
	}
	return r.Pace
}

// workedUntil returns how long the run has worked until now, as time at full speed.
func (r *Run) workedUntil(now time.Time) time.Duration {
	return r.worked + now.Sub(r.PaceSince)*time.Duration(r.PaceNow())/fullPace
}

// FromStart reports whether the run began at Since without a checkpoint, so that its
// progress since then shows its speed.
func (r *Run) FromStart() bool { return r.timed }

// Pace orders a pace for a run, unless it has that pace or is not running.
func (l *Ledger) Pace(r *Run, percent int, now time.Time) {
	if r.Pace == percent || r.State != Running {
		return
	}
	r.worked = r.workedUntil(now)
	r.Pace, r.PaceSince, r.paceOrdered = percent, now, true
	r.Node.orders.Paces = append(r.Node.orders.Paces, PaceOrder{RunRef{r.ID, r.Number}, percent})
	l.pending[r.Node] = struct{}{}
}

// TakePending returns the nodes that have reported, or for which there are new orders
// or stored ends, since the last call.
func (l *Ledger) TakePending() []*Node {
	if len(l.pending) == 0 {
		return nil
	}
	nodes := make([]*Node, 0, len(l.pending))
	for n := range l.pending {
		nodes = append(nodes, n)
	}
	clear(l.pending)
	return nodes
}

// HoldStarts keeps the starts of the node from being ordered until ReleaseStarts.
func (l *Ledger) HoldStarts(n *Node) { n.startsHeld = true }

// ReleaseStarts lets the starts of the node be ordered.
func (l *Ledger) ReleaseStarts(n *Node) {
	n.startsHeld = false
	n.surveyRuns()
	l.pending[n] = struct{}{}
}

// MayStart reports whether tasks may be placed on the node.
func (n *Node) MayStart() bool { return n.Listed && !n.startsHeld }

// TakeOrders removes and returns the orders for the node, without starts while they are
// held. It reports false if there are none and no further ends to acknowledge.
func (n *Node) TakeOrders() (Orders, bool) { return n.takeOrders(n.startsHeld) }

// TakeOrdersWithoutStarts is as TakeOrders, but leaves the starts for a later call.
func (n *Node) TakeOrdersWithoutStarts() (Orders, bool) { return n.takeOrders(true) }

func (n *Node) takeOrders(holdStarts bool) (Orders, bool) {
	if len(n.orders.Starts) > 0 && !holdStarts {
		n.ledger.withdrawStarts(n)
	}
	o := n.orders
	n.orders = Orders{}
	o.Starts = slices.DeleteFunc(o.Starts, func(s fleet.StartOrder) bool { return !n.awaitsStart(s) })
	if holdStarts {
		n.orders.Starts, o.Starts = o.Starts, nil
	}
	o.Instance, o.Stored = n.Executor.Instance, n.storedEnds()
	some := len(o.Starts)+len(o.Stops)+len(o.Paces) > 0 || o.Stored != n.ackedEnds
	n.ackedEnds = o.Stored
	return o, some
}

// awaitsStart reports whether a start is still to be ordered: its run may have been stopped
// or closed meanwhile.
func (n *Node) awaitsStart(s fleet.StartOrder) bool {
	r := n.Runs[s.Task]
	return r != nil && r.Number == s.Run && r.State == Starting
}

// storedEnds returns the number up to which all listed ends are stored.
func (n *Node) storedEnds() uint64 {
	for len(n.unstoredEnds) > 0 && n.unstoredEnds[0].stored() {
		n.unstoredEnds = n.unstoredEnds[1:]
	}
	if len(n.unstoredEnds) > 0 {
		return n.unstoredEnds[0].number - 1
	}
	return n.highestEnd
}
