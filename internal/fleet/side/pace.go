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
)

// paceOrder is the latest pace ordered for a run, until no earlier call can replace it any
// more.
type paceOrder struct {
	cancel context.CancelFunc // ends the repetitions, not a call in flight
	// unansweredAt is when the latest call without an answer was made for the run. Only the
	// goroutine of the order writes it; the agent reads it once that has ended.
	unansweredAt time.Time
	done         chan struct{} // closed once the goroutine has ended
}

// setPace sets the pace of a run. It repeats the call until it is answered, and then for as
// long as an earlier call without an answer may still be carried out. A later order for the
// run takes its place.
func (a *Agent) setPace(s *session, p ledger.PaceOrder) {
	ref := p.RunRef
	earlier := a.paces[ref]
	ctx, cancel := context.WithCancel(s.ctx)
	o := &paceOrder{cancel: cancel, done: make(chan struct{})}
	a.paces[ref] = o
	e, only, term := *a.executor, a.lease.check(a.executor.Born), a.term
	go func() {
		defer close(o.done)
		defer cancel()
		if earlier != nil {
			earlier.cancel()
			<-earlier.done
			o.unansweredAt = earlier.unansweredAt
		}
		a.repeatPace(ctx, s.ctx, e, only, term, p, o)
		a.post(context.Background(), func() {
			if a.paces[ref] == o {
				delete(a.paces, ref)
			}
		})
	}()
}

// repeatPace makes the calls of a pace order until it is in force for good, refused, or ctx
// ends. The calls themselves end with callCtx.
func (a *Agent) repeatPace(ctx, callCtx context.Context, e fleet.Executor, only fleet.InstanceCheck, term uint64, p ledger.PaceOrder, o *paceOrder) {
	for ctx.Err() == nil {
		sent := time.Now()
		result, err := a.opts.Executors.Pace(callCtx, e, only, term, p.Task, p.Run, p.Percent)
		delay := orderRetryDelay
		switch {
		case errors.Is(err, fleet.ErrOtherInstance):
			return // the run ended with its instance
		case err != nil || result == fleet.OrderUnknown:
			o.unansweredAt = sent
		case result == fleet.OrderBusy: // nothing was done
		case result != fleet.OrderDone:
			return // the run has ended, or another leader orders its pace
		case o.unansweredAt.IsZero() || time.Since(o.unansweredAt) > lateCallWindow:
			return
		default:
			delay = paceRepeatDelay
		}
		fleet.Sleep(ctx, delay)
	}
}
