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

// open reports whether another start may be ordered.
func (b startBudget) open(now time.Time) bool {
	return b.limiter.Limit() == rate.Inf || b.limiter.TokensAt(now) > 0
}

// spend takes the bytes of a start order with the given spec and checkpoint.
func (b startBudget) spend(now time.Time, payload int) {
	b.limiter.ReserveN(now, min(b.limiter.Burst(), startOverhead+payload))
}
