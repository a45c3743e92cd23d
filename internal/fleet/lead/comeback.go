package lead

import "time"

// Bounds of the wait of a caller that is refused.
const (
	soonestReturn = time.Second // the shortest time that Retry-After can state
	// latestReturn keeps callers from staying away long after the end of an outage.
	latestReturn = 10 * time.Second
	// returnSpread is the share of the wait over which returns are spread, so
	// that not all callers come at once.
	returnSpread = 0.5
)

// comeBack returns when a caller should come back that is refused after the
// store has been out of reach for a time: what has lasted so long is likely to
// last about as long again. The draw, from 0 to 1, spreads the returns.
func comeBack(outage time.Duration, draw float64) time.Duration {
	wait := min(max(outage, soonestReturn), latestReturn)
	return wait + time.Duration(draw*returnSpread*float64(wait-soonestReturn))
}
