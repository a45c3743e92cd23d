package side

import (
	"context"
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// Repetition of paces. A call without an answer may be carried out seconds later, after a
// newer one, and executors do not list paces.
const (
	lateCallWindow  = 12 * time.Second // how long after its start such a call may be carried out
	paceRepeatDelay = time.Second      // between repetitions within it
	quickPaceTries  = 3                // tries that follow each other at once without an answer
)

// paceOrder is the latest pace ordered for a run.
type paceOrder struct {
	cancel context.CancelFunc // ends the repetitions, not a call in flight
	done   chan struct{}      // closed once the goroutine of the order has ended
	// unansweredAt is when the latest call without an answer was made for the run. It is
	// read once done is closed.
	unansweredAt time.Time
}

// lateCallsEnd returns when the last call without an answer can no longer be carried out.
func (o *paceOrder) lateCallsEnd() time.Time {
	if o.unansweredAt.IsZero() {
		return time.Time{}
	}
	return o.unansweredAt.Add(lateCallWindow)
}

// setPace sets the pace of a run. It repeats the call until it is answered, and then for as
// long as an earlier call without an answer may still be carried out. A later order for the
// run takes its place, also in a later session.
func (a *Agent) setPace(s *session, p ledger.PaceOrder) {
	ref := p.RunRef
	earlier := a.paces[ref]
	ctx, cancel := context.WithCancel(s.ctx)
	o := &paceOrder{cancel: cancel, done: make(chan struct{})}
	a.paces[ref] = o
	e, only, term := *a.executor, a.lease.check(a.executor.Born), a.term
	go func() {
		defer cancel()
		if earlier != nil {
			earlier.cancel()
			<-earlier.done
			o.unansweredAt = earlier.unansweredAt
		}
		a.repeatPace(ctx, s.ctx, e, only, term, p, o)
		close(o.done)
		time.AfterFunc(time.Until(o.lateCallsEnd()), func() {
			a.post(context.Background(), func() {
				if a.paces[ref] == o {
					delete(a.paces, ref)
				}
			})
		})
	}()
}

// forgetPaces ends all pace orders, for a new instance of the executor: no run of the one
// before is on it.
func (a *Agent) forgetPaces() {
	for _, o := range a.paces {
		o.cancel()
	}
	clear(a.paces)
}

// repeatPace makes the calls of a pace order until it is in force for good, refused, or ctx
// ends. The calls themselves end with callCtx.
func (a *Agent) repeatPace(ctx, callCtx context.Context, e fleet.Executor, only fleet.InstanceCheck, term uint64, p ledger.PaceOrder, o *paceOrder) {
	for tries := 1; ctx.Err() == nil; tries++ {
		sent := time.Now()
		result, err := a.opts.Executors.Pace(callCtx, e, only, term, p.Task, p.Run, p.Percent)
		delay := paceRepeatDelay
		if tries < quickPaceTries {
			delay = orderRetryDelay
		}
		switch {
		case errors.Is(err, fleet.ErrOtherInstance):
			return // the run ended with its instance
		case err != nil || result == fleet.OrderUnknown:
			o.unansweredAt = sent
		case result == fleet.OrderBusy: // nothing was done
		case result != fleet.OrderDone:
			return // the run has ended, or another leader orders its pace
		case !time.Now().Before(o.lateCallsEnd()):
			return
		default:
			delay = paceRepeatDelay
		}
		fleet.Sleep(ctx, delay)
	}
}
