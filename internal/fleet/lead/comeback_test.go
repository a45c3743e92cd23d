package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that use up their tries within the first seconds of an
// outage, stay away long after its end, or all come back at once. It plays
// callers with four retries that follow what they are told.
func TestRefusalsStateWhenToComeBack(t *testing.T) {
	const tries = 5
	for _, length := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 9 * time.Second} {
		back := map[time.Duration]int{} // callers by the second of their return
		callers := 0
		for came := time.Duration(0); came < length; came += 50 * time.Millisecond {
			callers++
			at := came
			for try := 0; at < length; try++ {
				require.Less(t, try, tries, "a caller of %v gives up before the end of an outage of %v", came, length)
				at += comeBack(at, float64(callers%10)/10)
			}
			require.LessOrEqual(t, at, length+length*3/2+time.Second, "served too late")
			back[at.Truncate(time.Second)]++
		}
		if length > 4*time.Second {
			for second, n := range back {
				require.LessOrEqual(t, 2*n, callers, "returns in second %v after an outage of %v", second, length)
			}
		}
	}
	require.Equal(t, soonestReturn, comeBack(0, 0.9))
	require.LessOrEqual(t, comeBack(time.Hour, 1), 15*time.Second)
}
