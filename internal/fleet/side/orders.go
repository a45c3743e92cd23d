package side

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// order is a start or stop order that is being carried out.
type order struct {
	ctx    context.Context
	cancel context.CancelFunc
	stop   bool // a stop order; false: a start order
	// deadline is the last deadline of a call to start the run, on the executor's clock; 0:
	// not known.
	deadline time.Duration
	// withdrawn is set on a start order that must not be called any more.
	withdrawn atomic.Bool
}

// inheritWindow is the time after the beginning of the first session of an agent's
// process within which the leader repeats the starts of sessions before: it does so in
// its answers to the first lists.
const inheritWindow = 10 * time.Second

// mayBeCalled reports whether a start of a run that has no conclusive answer may have
// been called before, in another session or by an earlier process of the agent. Such a
// call may still be carried out, so no refusal proves that the run does not exist.
func (a *Agent) mayBeCalled(s *session, ref ledger.RunRef) bool {
	_, unanswered := a.unanswered[ref]
	return unanswered || s.first && time.Since(s.began) < inheritWindow
}

// lastDeadline returns the last deadline of a call of a start that may be carried out, if it
// is called with the given one. An earlier process of the agent may have called it with any
// that it was granted.
func (a *Agent) lastDeadline(s *session, ref ledger.RunRef, deadline time.Duration) time.Duration {
	last := max(deadline, a.unanswered[ref])
	if s.first && time.Since(s.began) < inheritWindow {
		last = max(last, a.lease.maxDeadline)
	}
	return last
}

// cancelOrders cancels all orders in progress. The leader repeats those that it
// still wants. A call in flight may be carried out, so the starts stay unanswered.
func (a *Agent) cancelOrders() {
	starts, stops := 0, 0
	for ref, o := range a.orders {
		if o.stop {
			stops++
		} else {
			starts++
		}
		o.cancel()
		delete(a.orders, ref)
	}
	if starts+stops > 0 {
		a.opts.Log.Info("Orders without an answer dropped.", "starts", starts, "stops", stops)
	}
}

// withdrawStarts keeps the start orders that have no answer yet from being called
// again. An executor that leaves, or whose capacity has shrunk, may be given tasks as
// before for a short time only, but calls are repeated for as long as they get no
// answer. The leader orders those that still fit once more.
func (a *Agent) withdrawStarts() {
	for _, o := range a.orders {
		if !o.stop {
			o.withdrawn.Store(true)
		}
	}
}

// beginOrder registers an order for a run and cancels an earlier one for it.
func (a *Agent) beginOrder(s *session, ref ledger.RunRef, stop bool) *order {
	if earlier := a.orders[ref]; earlier != nil {
		earlier.cancel()
	}
	o := &order{stop: stop}
	o.ctx, o.cancel = context.WithCancel(s.ctx)
	a.orders[ref] = o
	return o
}

// completeListedStarts ends the start orders whose runs the executor lists and
// returns their results. They need not be repeated, and a later instance of the
// executor must not carry them out.
func (a *Agent) completeListedStarts(lists fleet.RunLists) []ledger.Result {
	var results []ledger.Result
	complete := func(task fleet.TaskID, run int) {
		ref := ledger.RunRef{Task: task, Run: run}
		delete(a.unanswered, ref)
		if o := a.orders[ref]; o != nil && !o.stop {
			o.cancel()
			delete(a.orders, ref)
			results = append(results, ledger.Result{Task: task, Run: run, Result: fleet.OrderDone})
		}
	}
	for _, r := range lists.Running {
		complete(r.Task, r.Run)
	}
	for _, e := range lists.Ended {
		complete(e.Task, e.Run)
	}
	return results
}

// endExpiredOrders ends the orders whose run is not listed after the deadline of each call
// that may start it, and returns their results. The executor refuses these calls from then
// on, so that neither a call that gets no answer nor a stop that an unhealthy executor
// refuses has to be repeated.
func (a *Agent) endExpiredOrders(lists fleet.RunLists) []ledger.Result {
	var results []ledger.Result
	for ref, o := range a.orders {
		if o.deadline == 0 || lists.Clock <= o.deadline+expiryMargin || isListed(lists, ref) {
			continue
		}
		result := fleet.OrderDone
		if !o.stop {
			result = fleet.OrderRevoked
			a.revokeLater(ref)
		}
		o.cancel()
		delete(a.orders, ref)
		delete(a.unanswered, ref)
		delete(a.given, ref)
		a.opts.Log.Info("Order without an answer ended, its deadline has passed.", "task", ref.Task, "run", ref.Run, "stop", o.stop)
		results = append(results, ledger.Result{Task: ref.Task, Run: ref.Run, Stop: o.stop, Result: result})
	}
	return results
}

// isListed reports whether a run is in either of the lists.
func isListed(lists fleet.RunLists, ref ledger.RunRef) bool {
	return slices.ContainsFunc(lists.Running, func(r fleet.Running) bool { return r.Task == ref.Task && r.Run == ref.Run }) ||
		slices.ContainsFunc(lists.Ended, func(e fleet.End) bool { return e.Task == ref.Task && e.Run == ref.Run })
}

// finishOrder reports the result of an order, unless it has been cancelled.
func (a *Agent) finishOrder(ref ledger.RunRef, o *order, result fleet.OrderResult) {
	a.post(context.Background(), func() {
		if a.orders[ref] != o {
			return
		}
		o.cancel()
		delete(a.orders, ref)
		delete(a.unanswered, ref)
		if !o.stop && result == fleet.OrderDone {
			a.given.confirm(ref, time.Now())
		} else if !o.stop {
			delete(a.given, ref)
		}
		if result != fleet.OrderDone {
			a.opts.Log.Info("Order refused.", "task", ref.Task, "run", ref.Run, "stop", o.stop, "result", result)
		}
		a.report(ledger.Report{Results: []ledger.Result{{Task: ref.Task, Run: ref.Run, Stop: o.stop, Result: result}}})
	})
}

// startRun orders the executor to start a run, and repeats the call until it is
// answered. Before each repeat a hold has to show that the same instance answers. A
// refusal is reported as such only if no call before it may have started the run.
func (a *Agent) startRun(s *session, start fleet.StartOrder) {
	ref := ledger.RunRef{Task: start.Task, Run: start.Run}
	if a.orders[ref] != nil {
		return // in progress already, or being stopped
	}
	o := a.beginOrder(s, ref, false)
	o.withdrawn.Store(a.executor.Draining || a.leaveSilent)
	e, only, term := *a.executor, a.lease.check(a.executor.Born), a.term
	start.Deadline = a.lease.deadline
	uncertain := a.mayBeCalled(s, ref)
	o.deadline = a.lastDeadline(s, ref, start.Deadline)
	a.unanswered[ref] = o.deadline
	if a.given[ref] == nil {
		a.given[ref] = &givenRun{ordered: time.Now()}
	}
	go func() {
		for o.ctx.Err() == nil {
			if o.withdrawn.Load() {
				result := fleet.OrderBusy
				if uncertain {
					a.revoke(o.ctx, e, only, term, ref)
					result = fleet.OrderRevoked
				}
				a.finishOrder(ref, o, result)
				return
			}
			result, err := a.opts.Executors.Start(o.ctx, e, only, term, start)
			if err == nil && result != fleet.OrderUnknown {
				if uncertain && result != fleet.OrderDone && result != fleet.OrderFenced && result != fleet.OrderGone {
					// The refusal does not rule out that an earlier, unanswered
					// call started the run or still arrives.
					a.revoke(o.ctx, e, only, term, ref)
					result = fleet.OrderRevoked
				}
				a.finishOrder(ref, o, result)
				return
			}
			uncertain = true
			a.post(o.ctx, func() {
				a.setInstanceUncertain()
				a.holdAtOnce()
			})
			for again := true; again; again = a.instanceUncertain.Load() && o.ctx.Err() == nil {
				fleet.Sleep(o.ctx, orderRetryDelay)
			}
		}
	}()
}

// revoke stops a run that may have started. The executor refuses to start a run
// that was stopped, so a late call has no effect either.
func (a *Agent) revoke(ctx context.Context, e fleet.Executor, only fleet.InstanceCheck, term uint64, ref ledger.RunRef) {
	for ctx.Err() == nil {
		if result, err := a.opts.Executors.Stop(ctx, e, only, term, ref.Task, ref.Run); err == nil && result != fleet.OrderUnknown && result != fleet.OrderBusy {
			return
		}
		fleet.Sleep(ctx, orderRetryDelay)
	}
}

// revokeLater orders a run to stop whose start has ended by its deadline, once the executor
// answers again. Nothing waits for it.
func (a *Agent) revokeLater(ref ledger.RunRef) {
	e, only, term := *a.executor, a.lease.check(a.executor.Born), a.term
	ctx, cancel := context.WithTimeout(a.session.ctx, lateCallWindow)
	go func() {
		defer cancel()
		a.revoke(ctx, e, only, term, ref)
	}()
}

// stopRun orders the executor to stop a run, and repeats the call until it is
// answered.
func (a *Agent) stopRun(s *session, ref ledger.RunRef) {
	if earlier := a.orders[ref]; earlier != nil && earlier.stop {
		return
	}
	o := a.beginOrder(s, ref, true)
	// No call of this or an earlier process that may start the run has a later deadline.
	o.deadline = max(a.unanswered[ref], a.lease.maxDeadline)
	e, only, term := *a.executor, a.lease.check(a.executor.Born), a.term
	go func() {
		for o.ctx.Err() == nil {
			result, err := a.opts.Executors.Stop(o.ctx, e, only, term, ref.Task, ref.Run)
			if err == nil && result != fleet.OrderUnknown && result != fleet.OrderBusy {
				a.finishOrder(ref, o, result)
				return
			}
			fleet.Sleep(o.ctx, orderRetryDelay)
		}
	}()
}
