package side

import (
	"context"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// order is an order that is being carried out.
type order struct {
	ctx    context.Context
	cancel context.CancelFunc
	stop   bool
}

// dropOrders gives up all orders under way. The leader gives them again if it
// still wants them.
func (a *Agent) dropOrders() {
	for ref, o := range a.orders {
		o.cancel()
		delete(a.orders, ref)
	}
}

// begin registers an order for a run, in place of an earlier one.
func (a *Agent) begin(s *session, ref ledger.RunRef, stop bool) *order {
	if earlier := a.orders[ref]; earlier != nil {
		earlier.cancel()
	}
	o := &order{stop: stop}
	o.ctx, o.cancel = context.WithCancel(s.ctx)
	a.orders[ref] = o
	return o
}

// arrived ends the start orders whose runs an executor lists: they need not be
// repeated, and a later life of the executor must not carry them out.
func (a *Agent) arrived(lists fleet.RunLists) []ledger.Result {
	var results []ledger.Result
	end := func(task fleet.TaskID, run int) {
		ref := ledger.RunRef{Task: task, Run: run}
		if o := a.orders[ref]; o != nil && !o.stop {
			o.cancel()
			delete(a.orders, ref)
			results = append(results, ledger.Result{Task: task, Run: run, Result: fleet.OrderDone})
		}
	}
	for _, r := range lists.Running {
		end(r.Task, r.Run)
	}
	for _, e := range lists.Ended {
		end(e.Task, e.Run)
	}
	return results
}

// finish reports the result of an order that has not been given up.
func (a *Agent) finish(ref ledger.RunRef, o *order, result fleet.OrderResult) {
	a.post(context.Background(), func() {
		if a.orders[ref] != o {
			return
		}
		o.cancel()
		delete(a.orders, ref)
		if result != fleet.OrderDone {
			a.opts.Log.Info("Order refused.", "task", ref.Task, "run", ref.Run, "stop", o.stop, "result", result)
		}
		a.report(ledger.Report{Results: []ledger.Result{{Task: ref.Task, Run: ref.Run, Stop: o.stop, Result: result}}})
	})
}

func (a *Agent) orderStart(s *session, start fleet.StartOrder) {
	ref := ledger.RunRef{Task: start.Task, Run: start.Run}
	if earlier := a.orders[ref]; earlier != nil && !earlier.stop {
		return // it is under way
	}
	o := a.begin(s, ref, false)
	e, term := *a.executor, a.term
	start.Deadline = a.lease.deadline
	go func() {
		uncertain := false
		for o.ctx.Err() == nil {
			result, err := a.opts.Executors.Start(o.ctx, e, term, start)
			if err == nil && result != fleet.OrderUnknown {
				if uncertain && result != fleet.OrderDone && result != fleet.OrderFenced && result != fleet.OrderGone {
					// An earlier call without an answer may still arrive.
					a.revoke(o.ctx, e, term, ref)
					result = fleet.OrderRevoked
				}
				a.finish(ref, o, result)
				return
			}
			uncertain = true
			a.post(o.ctx, func() {
				a.doubt()
				a.hold(0)
			})
			for again := true; again; again = a.doubted.Load() && o.ctx.Err() == nil {
				fleet.Sleep(o.ctx, retryOrder)
			}
		}
	}()
}

// revoke keeps a run from starting: the executor refuses runs that were stopped.
func (a *Agent) revoke(ctx context.Context, e fleet.Executor, term uint64, ref ledger.RunRef) {
	for ctx.Err() == nil {
		if result, err := a.opts.Executors.Stop(ctx, e, term, ref.Task, ref.Run); err == nil && result != fleet.OrderUnknown && result != fleet.OrderBusy {
			return
		}
		fleet.Sleep(ctx, retryOrder)
	}
}

func (a *Agent) orderStop(s *session, ref ledger.RunRef) {
	if earlier := a.orders[ref]; earlier != nil && earlier.stop {
		return
	}
	o := a.begin(s, ref, true)
	e, term := *a.executor, a.term
	go func() {
		for o.ctx.Err() == nil {
			result, err := a.opts.Executors.Stop(o.ctx, e, term, ref.Task, ref.Run)
			if err == nil && result != fleet.OrderUnknown && result != fleet.OrderBusy {
				a.finish(ref, o, result)
				return
			}
			fleet.Sleep(o.ctx, retryOrder)
		}
	}()
}

func (a *Agent) orderPace(s *session, p ledger.PaceOrder) {
	e, term := *a.executor, a.term
	go func() {
		const tries = 3
		for range tries {
			result, err := a.opts.Executors.Pace(s.ctx, e, term, p.Task, p.Run, p.Percent)
			if err == nil && result != fleet.OrderUnknown && result != fleet.OrderBusy {
				return
			}
			fleet.Sleep(s.ctx, retryOrder)
		}
		if s.ctx.Err() == nil {
			a.opts.Log.Warn("Pace not set.", "task", p.Task, "run", p.Run, "percent", p.Percent)
		}
	}()
}
