package entry

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/internal/request/classify"
	"vanillalock.example/vanillalock/internal/request/retry"
	"vanillalock.example/vanillalock/internal/rescode"
)

// hedgeFactor is the age of a request, in units of the 90% quantile of its
// learned run time, from which a second copy is sent: ordinary requests end
// before it, stragglers run ten times as long.
const hedgeFactor = 2

// attemptHedged sends an idempotent request to one agent, and to a second one
// if the answer is late and the retry budget allows it. The first answer of an
// upstream counts; the other copy runs to its end unnoticed.
func (e *Entry) attemptHedged(ctx context.Context, r *run, first target) attemptResult {
	results := make(chan attemptResult, 2)
	send := func(t target) {
		r.attempts++
		e.wg.Go(func() { results <- e.attempt(ctx, r, t) })
	}
	started := time.Now()
	send(first)
	after := r.hedgeAfter()
	if after == 0 {
		return <-results
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	}
	second, ok := e.pickHedge(r, first, time.Since(started), after)
	if !ok {
		return <-results
	}
	e.metrics.hedges.Add(1)
	send(second)
	result := <-results
	if result.answer.Code.Outcome() == rescode.Done {
		return result
	}
	other := <-results
	if other.answer.Code.Outcome() == rescode.Done || result.answer.Code.Outcome() == rescode.NotRun {
		// Either copy may have run: only two proofs state that neither did.
		return other
	}
	return result
}

// hedgeAfter is the age from which a second copy pays off, 0 if none is sent:
// batch requests are not worth the load, and without measured run times there
// is nothing to compare with.
func (r *run) hedgeAfter() time.Duration {
	if !r.item.Urgent || r.estimate.Source > classify.FromTemplate {
		return 0
	}
	return hedgeFactor * r.estimate.High
}

// pickHedge spends budget for a second copy and chooses another upstream.
func (e *Entry) pickHedge(r *run, first target, elapsed, after time.Duration) (target, bool) {
	attempt := retry.Attempt{
		Number: r.attempts, Idempotent: r.request.Idempotent, MayHaveRun: true,
		Remaining: time.Until(r.request.Deadline), Expected: r.estimate.Expected,
	}
	allowed, ok := ask(e.ctx, e, func(c *control) bool { return c.retry.Hedge(attempt, elapsed, after) })
	if !ok || !allowed {
		return target{}, false
	}
	second, ok := e.pick(r, first.handle)
	if ok && second.agent == first.agent {
		e.release(r, second)
		return target{}, false
	}
	return second, ok
}
