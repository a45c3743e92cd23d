package lead

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of the start orders of a leader.
const (
	// startShare is the share of the network link for start orders. A burst of them
	// must not fill the link: what keeps the term and the leases alive would come
	// late, and all runs would end.
	startShare = 0.5
	// startBurst is the time for which starts may use the whole budget at once.
	startBurst = 150 * time.Millisecond
	// startOverhead is the size of a start order without its spec and checkpoint,
	// with the headers below it.
	startOverhead = 120
	// minStartBurst holds the largest spec, so that any task can start.
	minStartBurst = 8 << 10
	// lastingReserve is the share of the burst that starts of other tasks leave for lasting
	// ones. Short tasks in time go first, so that they would use up the budget whenever
	// more of them come than the link carries; a lasting task may be without a run for
	// 6 s only.
	lastingReserve = 0.125
	// minLastingReserve is more than the start with the largest spec takes, so that
	// something is left of the reserve after it.
	minLastingReserve = 4500
)

// startBudget limits the bytes of start orders to what the link carries beside the
// rest. It answers steps of hundreds of tasks with specs of kilobytes, and a leader
// that sends all starts of a fleet again.
type startBudget struct{ limiter *rate.Limiter }

// newStartBudget returns the budget for a link of the given bytes per second; 0: no
// limit.
func newStartBudget(link float64) startBudget {
	if link <= 0 {
		return startBudget{rate.NewLimiter(rate.Inf, 0)}
	}
	bytes := link * startShare
	return startBudget{rate.NewLimiter(rate.Limit(bytes), max(minStartBurst, int(bytes*startBurst.Seconds())))}
}

// open reports whether another start may be ordered, of a lasting task or of another one.
func (b startBudget) open(now time.Time, lasting bool) bool {
	reserve := 0.0
	if !lasting {
		reserve = max(minLastingReserve, lastingReserve*float64(b.limiter.Burst()))
	}
	return b.limiter.Limit() == rate.Inf || b.limiter.TokensAt(now) > reserve
}

// spend takes the bytes of a start order with the given spec and checkpoint.
func (b startBudget) spend(now time.Time, payload int) {
	b.limiter.ReserveN(now, min(b.limiter.Burst(), startOverhead+payload))
}
