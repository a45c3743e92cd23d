package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retry delays that make callers use up their attempts in the first
// seconds of an outage, wait long after its end, or all retry at once. It simulates
// callers that make four retries after the delays they are given.
func TestRetryAfterOfRefusals(t *testing.T) {
	const tries = 5
	for _, length := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 9 * time.Second} {
		back := map[time.Duration]int{} // callers by the second in which they succeed
		callers := 0
		for came := time.Duration(0); came < length; came += 50 * time.Millisecond {
			callers++
			at := came
			for try := 0; at < length; try++ {
				require.Less(t, try, tries, "a caller that came after %v gives up before the end of an outage of %v", came, length)
				at += retryAfter(at, float64(callers%10)/10)
			}
			require.LessOrEqual(t, at, length+length*3/2+time.Second, "served too late")
			back[at.Truncate(time.Second)]++
		}
		if length > 4*time.Second {
			for second, n := range back {
				require.LessOrEqual(t, 2*n, callers, "too many callers succeed in second %v of an outage of %v", second, length)
			}
		}
	}
	require.Equal(t, minRetryAfter, retryAfter(0, 0.9))
	require.LessOrEqual(t, retryAfter(time.Hour, 1), 15*time.Second)
}
