package admission

import "time"

// Limit is an adaptive bound on the requests that one entry has in flight.
//
// It follows AIMD (additive increase, multiplicative decrease) on the time that
// requests wait in the queue of the agent, which every response states separately
// from the run time. A limit based on the gradient of the total latency would not
// work here: run times differ by a factor of a hundred between size classes, so a
// changed mix looks like congestion; and several entries share the upstreams,
// where AIMD converges to equal shares and a gradient keeps the initial shares.
type Limit struct {
	cfg     LimitConfig
	value   float64
	end     time.Time // of the current interval
	results int       // in this interval
	late    int       // results in this interval that waited too long or were refused
	reached bool      // the limit was reached in this interval
}

// LimitConfig holds the parameters of a Limit.
type LimitConfig struct {
	Initial, Min, Max int
	// TargetWait is the wait at the agent above which a result counts as late.
	TargetWait time.Duration
	// Interval between adjustments.
	Interval time.Duration
	// Increase is added per interval. It must not depend on the present limit, or
	// unequal limits would stay unequal. Decrease is the factor applied when more
	// than half of the results are late.
	Increase, Decrease float64
}

// NewLimit returns a Limit at its initial value.
func NewLimit(cfg LimitConfig) *Limit {
	return &Limit{cfg: cfg, value: float64(cfg.Initial)}
}

// Value returns the present limit.
func (l *Limit) Value() int { return int(l.value) }

// Reached records that the limit delayed a request.
func (l *Limit) Reached() { l.reached = true }

// Observe records the wait of a finished request at its agent. Congested is true
// if the agent refused it for lack of slots, queue or connections.
func (l *Limit) Observe(now time.Time, wait time.Duration, congested bool) {
	l.results++
	if congested || wait > l.cfg.TargetWait {
		l.late++
	}
	if l.end.IsZero() {
		l.end = now.Add(l.cfg.Interval)
	}
	if !now.Before(l.end) {
		l.adjust(now)
	}
}

// adjust sets the limit for the next interval. The limit grows only if it was
// reached: otherwise nothing shows that the upstreams can take more.
func (l *Limit) adjust(now time.Time) {
	switch {
	case 2*l.late > l.results:
		l.value *= l.cfg.Decrease
	case l.reached:
		l.value += l.cfg.Increase
	}
	l.value = min(max(l.value, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.results, l.late, l.reached = 0, 0, false
	l.end = now.Add(l.cfg.Interval)
}
