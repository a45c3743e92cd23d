package lead

import "time"

// Limits of the retry delay of refused callers.
const (
	minRetryAfter = time.Second // Retry-After is in whole seconds
	// maxRetryAfter keeps callers from waiting long after the end of an outage.
	maxRetryAfter = 10 * time.Second
	// retryJitter is the largest random extension, as a share of the delay beyond
	// the minimum. It keeps callers from all retrying at once.
	retryJitter = 0.5
)

// retryAfter returns the retry delay for a caller that is refused because the store
// has been unreachable for the given time: an outage is likely to last about as long
// again as it has lasted. The draw, a random number from 0 to 1, spreads the retries.
func retryAfter(outage time.Duration, draw float64) time.Duration {
	wait := min(max(outage, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(draw*retryJitter*float64(wait-minRetryAfter))
}
