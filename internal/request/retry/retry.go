// Package retry decides whether a request is attempted again and when.
//
// Retries and hedges share one budget: each first attempt earns a tenth of a
// retry, so extra attempts stay below 10% of the requests plus a fixed burst.
// A request that may have reached an upstream is attempted again only if it is
// idempotent. A Policy is not safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
)

// Config holds the parameters of a Policy.
type Config struct {
	// RequestsPerRetry is the number of first attempts that earn one retry.
	RequestsPerRetry int
	// Burst is the largest balance of unused retries, and the initial one.
	Burst int
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts int
	// BaseBackoff is the upper bound of the first delay; it doubles per attempt.
	BaseBackoff time.Duration
	// MaxBackoff caps the upper bound of the delay.
	MaxBackoff time.Duration
}

// DefaultConfig returns a budget of 10% with a burst of 10 retries.
func DefaultConfig() Config {
	return Config{
		RequestsPerRetry: 10,
		Burst:            10,
		MaxAttempts:      3,
		BaseBackoff:      5 * time.Millisecond,
		MaxBackoff:       time.Second,
	}
}

// Attempt describes a finished attempt.
type Attempt struct {
	// Number of attempts made so far, 1 after the first.
	Number int
	// Idempotent is the flag of the request's template.
	Idempotent bool
	// MayHaveRun is false only if it is proven that the attempt did not run: it
	// was never handed to a session, or the agent refused or tombstoned it.
	MayHaveRun bool
	// Code is the result of the attempt.
	Code rescode.Code
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Expected is the expected duration of one more attempt.
	Expected time.Duration
}

// Decision tells how to go on after a finished attempt.
type Decision struct {
	// Retry is true if another attempt starts after Delay.
	Retry bool
	Delay time.Duration
	// Code is the result for the caller if Retry is false. Its outcome is never
	// "not run" if the attempt may have run.
	Code rescode.Code
}

// Policy decides on retries and hedges and holds their budget. Create it with New.
type Policy struct {
	cfg Config
	rng *rand.Rand
	// credit is the budget in first attempts; one retry costs RequestsPerRetry.
	// Integers keep the 10% bound exact.
	credit int
}

// New returns a Policy with a full burst. The random source supplies jitter.
func New(cfg Config, rng *rand.Rand) *Policy {
	return &Policy{cfg: cfg, rng: rng, credit: cfg.Burst * cfg.RequestsPerRetry}
}

// OnRequest records a first attempt.
func (p *Policy) OnRequest() {
	p.credit = min(p.credit+1, p.cfg.Burst*p.cfg.RequestsPerRetry)
}

// Balance returns the number of extra attempts the budget allows now.
func (p *Policy) Balance() int { return p.credit / p.cfg.RequestsPerRetry }

// Next decides on a retry after a failed attempt and spends the budget for it.
func (p *Policy) Next(a Attempt) Decision {
	stop := Decision{Code: a.Code}
	if a.MayHaveRun && a.Code.Outcome() == rescode.NotRun {
		stop.Code = rescode.AnswerLost
	}
	if a.Code == rescode.OK || !retryable(a) || a.Number >= p.cfg.MaxAttempts {
		return stop
	}
	delay := p.backoff(a.Number)
	if delay+a.Expected > a.Remaining {
		return stop
	}
	if !p.spend() {
		if !a.MayHaveRun {
			stop.Code = rescode.RetryBudgetSpent
		}
		return stop
	}
	return Decision{Retry: true, Delay: delay}
}

// Hedge reports whether a second copy of a running request may start, and
// spends the budget for it. elapsed is the age of the first attempt, after is
// the age from which a hedge pays off (a high quantile of the class), and
// a.Remaining and a.Expected are as for Next; a.Code is ignored.
func (p *Policy) Hedge(a Attempt, elapsed, after time.Duration) bool {
	if !a.Idempotent || a.Number >= p.cfg.MaxAttempts || elapsed < after || a.Expected > a.Remaining {
		return false
	}
	return p.spend()
}

// spend takes one extra attempt from the budget. It returns false if the budget
// has none left.
func (p *Policy) spend() bool {
	if p.credit < p.cfg.RequestsPerRetry {
		return false
	}
	p.credit -= p.cfg.RequestsPerRetry
	return true
}

// backoff draws the delay uniformly from (0, bound]: full jitter spreads the
// retries of requests that failed together.
func (p *Policy) backoff(attempt int) time.Duration {
	bound := p.cfg.BaseBackoff
	for i := 1; i < attempt && bound < p.cfg.MaxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, p.cfg.MaxBackoff)
	if bound <= 0 {
		return 0
	}
	return 1 + time.Duration(p.rng.Int64N(int64(bound)))
}

// retryable reports whether another upstream may answer differently and a
// second run is safe.
func retryable(a Attempt) bool {
	if a.MayHaveRun || a.Code.Outcome() != rescode.NotRun {
		return a.Idempotent && retryableRun(a.Code)
	}
	switch a.Code {
	case rescode.Overloaded, rescode.DeadlineUnmet, rescode.NoUpstream, rescode.Leaving,
		rescode.SlotsFull, rescode.ConnectionsFull, rescode.Tombstoned:
		return true
	default:
		return false
	}
}

// retryableRun reports whether a code justifies another attempt of an idempotent
// request that may have run.
func retryableRun(c rescode.Code) bool {
	switch c {
	case rescode.AnswerLost, rescode.AgentLost, rescode.RecordExpired, rescode.UpstreamFailed,
		rescode.SessionLost, rescode.Internal:
		return true
	default:
		return false
	}
}
