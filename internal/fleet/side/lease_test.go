package side

import (
	"math"
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

// Guards against a call for an instance that another one under its ID carries out: it reads
// the deadline by a clock that starts anew, and runs tasks until its longest lease ends.
func TestCallsAreMeantForOneInstance(t *testing.T) {
	const born = 1_800_000_000_000
	up := time.Hour
	for name, c := range map[string]struct {
		born, next int64
		clock      time.Duration // of the next instance
	}{
		"later start":                {born, born + 3_600_000, 0},
		"earlier start":              {born, born - 1, 0},
		"earlier start, later clock": {born, born - 1, 2 * up},
		"equal start":                {born, born, 3 * time.Second},
		"start in the far future":    {born, math.MaxInt64, 0},
		"start before 1970":          {born, -1, up},
		"start at 1970":              {born, 0, 3 * time.Second},
		"none known":                 {0, born, 3 * time.Second},
		"none known, clock behind":   {0, born, up + 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			a, x := newTestAgent(t)
			a.post(t.Context(), func() {
				a.executor = &fleet.Executor{Instance: "x@1", ID: "x", Born: c.born}
				a.lease.addReading(clockReading{up, time.Now().Add(-time.Second)}, 10*time.Second)
				a.lease.deadline = up + 4*time.Second
				a.startRun(a.session, fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1})
				a.hold(0)
			})
			for range 2 {
				call := <-x.calls
				require.Equal(t, up+4*time.Second, call.deadline)
				require.NotNil(t, call.only)
				require.ErrorIs(t, call.only(fleet.RunLists{Born: c.next, Clock: c.clock}, time.Now()), fleet.ErrOtherInstance)
				require.NoError(t, call.only(fleet.RunLists{Born: c.born, Clock: up + time.Second}, time.Now()))
			}
		})
	}
}

// Guards against a lease for an instance that has stated an equal start as the one before:
// its clock alone shows that it is another one.
func TestClockThatGoesBackShowsAnotherInstance(t *testing.T) {
	a, x := newTestAgent(t)
	a.post(t.Context(), func() { a.hold(0) })
	first := <-x.calls
	first.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Hour}
	second := <-x.calls
	require.NotZero(t, second.deadline)
	second.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
	for range 2 {
		next := <-x.calls
		require.Zero(t, next.deadline)
		require.Zero(t, next.seen)
		next.answer <- fleet.RunLists{Born: firstBorn, Clock: 2 * time.Second}
	}
}
