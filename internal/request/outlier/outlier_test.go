package outlier

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

var epoch = time.Unix(1_000_000, 0)

// Guards against ejecting more than a third of the upstreams, traffic to an ejected
// upstream, parallel probes, and ejections shorter than BaseEjection. The state
// after each step is compared with the one that the reported changes lead to.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now, n := New(DefaultConfig()), epoch, rapid.IntRange(1, 12).Draw(t, "n")
		states, since := map[string]State{}, map[string]time.Time{}
		for i := range n {
			d.Add(fmt.Sprint(i))
			states[fmt.Sprint(i)] = Healthy
		}
		apply := func(c Change) {
			if from := states[c.ID]; from == Ejected && c.State == Probation {
				length := now.Sub(since[c.ID])
				require.GreaterOrEqual(t, length, DefaultConfig().BaseEjection)
			}
			states[c.ID], since[c.ID] = c.State, now
		}
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "id"))
			if rapid.IntRange(0, 99).Draw(t, "remove") == 0 {
				d.Remove(id)
				delete(states, id)
			}
			for _, c := range d.Advance(now) {
				apply(c)
			}
			if allowed := d.Allow(now, id); allowed {
				require.NotEqual(t, Ejected, states[id])
				if states[id] == Probation {
					require.False(t, d.Allow(now, id), "two probes at once")
				}
				if c, changed := d.Observe(now, id, rapid.IntRange(0, 9).Draw(t, "fail") < 7); changed {
					apply(c)
				}
			}
			withheld := 0
			for id, s := range states {
				require.Equal(t, s, d.State(id))
				if s != Healthy {
					withheld++
				}
			}
			require.Equal(t, withheld, d.Withheld())
			require.LessOrEqual(t, withheld, len(states)/3)
		}
	})
}

// Guards against wrong counts after a change of the window: the decision is
// compared with a recount of all outcomes.
func TestCountsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.Consecutive = 1 << 30
		d, u, now := New(cfg), &upstream{}, epoch
		type event struct {
			window int64
			failed bool
		}
		var log []event
		window := int64(0)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
				now = now.Add(2 * cfg.Window)
			}
			if !now.Before(u.windowEnd) { // windows start with the first outcome after the last one
				window++
				if now.Sub(u.windowEnd) >= cfg.Window {
					window++ // a whole window without outcomes
				}
			}
			d.rollWindow(now, u)
			failed := rapid.Bool().Draw(t, "failed")
			if failed {
				u.current.failed++
			} else {
				u.current.ok++
			}
			log = append(log, event{window, failed})
			bad, all := 0, 0
			for _, e := range log {
				if e.window >= window-1 {
					all++
					if e.failed {
						bad++
					}
				}
			}
			require.Equal(t, all >= cfg.MinRequests && 2*bad >= all, d.shouldEject(u))
		}
	})
}

// Guards against traffic to an upstream that fails every request immediately: with
// least outstanding requests it would get all of them. Also checks that ejections
// double up to MaxEjection and that the upstream returns after its probes.
func TestFastFailureIsEjected(t *testing.T) {
	cfg := DefaultConfig()
	d, now := New(cfg), epoch
	for i := range 11 {
		d.Add(fmt.Sprint(i))
	}
	failed, previous := 0, time.Duration(0)
	for range 12 {
		start := now
		for d.State("0") != Ejected {
			for _, c := range d.Advance(now) {
				assert.NotEqual(t, Ejected, c.State)
			}
			if d.Allow(now, "0") {
				d.Observe(now, "0", true)
				failed++
			}
		}
		assert.LessOrEqual(t, failed, cfg.Consecutive+1)
		failed = 0
		for d.State("0") == Ejected {
			now = now.Add(time.Second)
			d.Advance(now)
		}
		length := now.Sub(start)
		if previous > 0 {
			assert.Equal(t, min(2*previous, cfg.MaxEjection), length)
		}
		previous = length
	}
	for range cfg.Probes {
		require.True(t, d.Allow(now, "0"))
		d.Observe(now, "0", false)
	}
	assert.Equal(t, Healthy, d.State("0"))
}

func BenchmarkObserve(b *testing.B) {
	d := New(DefaultConfig())
	for i := range 650 {
		d.Add(fmt.Sprint(i))
	}
	for i := 0; b.Loop(); i++ {
		d.Observe(epoch, "7", i%3 == 0)
	}
}
