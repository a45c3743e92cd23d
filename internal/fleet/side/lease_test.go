package side

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Guards against a lease that lasts longer than the leader expects, or that the
// agent takes as expired while it lasts. The executor's clock is up to 2% slow;
// readings and grants are delayed by random times.
func TestLeaseNeverOutlivesItsGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1_800_000_000, 0)
		rate := rapid.Float64Range(fleet.ClockRate, 1).Draw(t, "rate")
		clock := func(at time.Time) time.Duration {
			return time.Hour + time.Duration(rate*float64(at.Sub(begin)))
		}
		millis := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		var l lease
		now := begin
		const maxLease = 10 * time.Second
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			read := now
			now = now.Add(millis("answer", 300))
			l.addReading(clockReading{clock(read), now}, maxLease)
			now = now.Add(millis("until the report", 200))
			left, sent := now, l.latest
			granted := now.Add(millis("report", 500))
			now = granted.Add(millis("grant", 500))
			ttl := 4 * time.Second
			l.extend(sent, left, ttl)
			// The leader counts on the end of the lease at this time. It adds a
			// margin of 150 ms; here only the rounding of floats is left out.
			expected := granted.Add(time.Duration(float64(ttl)/fleet.ClockRate) + time.Microsecond)
			require.LessOrEqual(t, l.deadline, clock(expected))
		}
		// Real time at which the executor's clock shows the bound.
		end := begin.Add(time.Duration(float64(l.maxDeadline-time.Hour) / rate))
		require.False(t, l.expired(end.Add(-time.Millisecond)))
		require.True(t, l.expired(begin.Add(time.Minute)))
	})
}
