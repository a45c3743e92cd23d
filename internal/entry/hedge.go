package entry

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/internal/request/classify"
	"vanillalock.example/vanillalock/internal/request/retry"
	"vanillalock.example/vanillalock/internal/rescode"
)

// hedgeFactor is the age of a request from which a second copy is sent, as a
// multiple of the 90% quantile of its learned run time. Ordinary requests end
// before that age; stragglers run ten times as long.
const hedgeFactor = 2

// attemptHedged sends an idempotent request to one agent, and to a second one
// if the answer is late and the retry budget allows it. The first copy that an
// upstream has run gives the answer; the other copy is not cancelled and its
// answer is dropped.
func (e *Entry) attemptHedged(ctx context.Context, r *activeRequest, first target) attemptResult {
	results := make(chan attemptResult, 2)
	send := func(t target) {
		r.attempts++
		e.wg.Go(func() { results <- e.attempt(ctx, r, t) })
	}
	started := time.Now()
	send(first)
	delay := r.hedgeDelay()
	if delay == 0 {
		return <-results
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	}
	second, ok := e.pickHedge(r, first, time.Since(started), delay)
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
		// The request is "not run" only if both copies are proven not to have
		// run.
		return other
	}
	return result
}

// hedgeDelay returns the age from which a second copy of the request is sent,
// or 0 for no second copy: hedging is not worth its load for batch requests,
// and impossible without measured run times.
func (r *activeRequest) hedgeDelay() time.Duration {
	if !r.admissionItem.Urgent || r.estimate.Source > classify.FromTemplate {
		return 0
	}
	return hedgeFactor * r.estimate.High
}

// pickHedge charges the retry budget for a second copy and chooses an upstream
// other than the first.
func (e *Entry) pickHedge(r *activeRequest, first target, elapsed, delay time.Duration) (target, bool) {
	attempt := retry.Attempt{
		Number: r.attempts, Idempotent: r.request.Idempotent, MayHaveRun: true,
		Remaining: time.Until(r.request.Deadline), Expected: r.estimate.Expected,
	}
	allowed, ok := queryControl(e.ctx, e, func(c *control) bool { return c.retry.Hedge(attempt, elapsed, delay) })
	if !ok || !allowed {
		return target{}, false
	}
	second, ok := e.pickUpstream(r, first.handle)
	if ok && second.agent == first.agent {
		e.releaseUpstream(r, second)
		return target{}, false
	}
	return second, ok
}
