package interference_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/interference"
)

var start = time.Unix(1_800_000_000, 0)

// TestLearnsFromLateNoise guards against attributing a late measurement to the task
// mix at its arrival. The mix changes before each measurement arrives.
func TestLearnsFromLateNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 2))
	m, now := interference.NewModel(), start
	type late struct {
		slowdown float64
		at       time.Time
	}
	var inFlight []late
	for i := range 4000 {
		now = now.Add(5 * time.Second)
		mix := []interference.Neighbor{{Template: "api", Count: 1}, {Template: "calm", Count: 2}}
		truth := 0.0
		if i%2 == 0 {
			mix[1] = interference.Neighbor{Template: "noisy", Count: 2}
			truth = 2 * 0.25
		}
		m.SetMix("vm", mix, now)
		noise := rng.NormFloat64() * 0.1
		if rng.IntN(20) == 0 {
			noise = 2 // an outlier whose cause is outside the VM
		}
		inFlight = append(inFlight, late{math.Exp(truth + noise), now.Add(time.Second)})
		if len(inFlight) > 3 { // arrives 15 s late, under the other mix
			require.True(t, m.Observe("vm", "api", inFlight[0].slowdown, inFlight[0].at, now))
			inFlight = inFlight[1:]
		}
	}
	require.InDelta(t, 0.25, m.Pair("api", "noisy"), 0.05)
	require.InDelta(t, 0, m.Pair("api", "calm"), 0.05)
	before := m.Pair("api", "noisy")
	m.SetMix("vm", nil, now.Add(time.Minute+interference.HalfLife))
	require.InDelta(t, before/2, m.Pair("api", "noisy"), 0.02, "estimates decay")
	require.False(t, m.Observe("vm", "api", 2, start, now), "older than the history")
}

// TestReactsInOrder guards against skipping a level and against raising the level
// before the effect of the last change can be seen.
func TestReactsInOrder(t *testing.T) {
	var c interference.Controller
	now, last, seen := start, start, []interference.Level{}
	for len(seen) < 4 {
		now = now.Add(time.Second)
		if was := c.Level(); c.Observe(2, now, now) != was {
			require.GreaterOrEqual(t, now.Sub(last), 5*time.Second)
			seen, last = append(seen, c.Level()), now
		}
	}
	require.Equal(t, []interference.Level{interference.Throttle, interference.StopAdding, interference.Move, interference.Evict}, seen)
	for c.Level() != interference.Normal {
		now = now.Add(time.Second)
		c.Observe(1, now, now)
		require.Less(t, now.Sub(last), 10*time.Minute)
	}
	require.GreaterOrEqual(t, now.Sub(last), 2*time.Minute, "each step down waits")
}

// TestNoiseDoesNotBounce guards against raising the level on short bursts of outliers,
// and against lowering it while the slowdown is between the two thresholds.
func TestNoiseDoesNotBounce(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 3))
	var calm, raised interference.Controller
	now := start
	for raised.Level() == interference.Normal {
		now = now.Add(time.Second)
		raised.Observe(1.5, now, now)
	}
	require.Equal(t, interference.Throttle, raised.Level(), "one step only")
	for i := range 10_000 {
		now = now.Add(time.Second)
		v := 1.05 + 0.1*rng.Float64()
		if i%10 < 2 {
			v = 5
		}
		require.Equal(t, interference.Normal, calm.Observe(v, now, now))
		require.Equal(t, interference.Throttle, raised.Observe(1.2+0.05*rng.Float64(), now, now))
	}
}

// TestMostInterfering guards against blaming a batch task that does not cause the
// slowdown.
func TestMostInterfering(t *testing.T) {
	m := interference.NewModel()
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Second)
		m.SetMix("vm", []interference.Neighbor{{Template: "api", Count: 1}, {Template: "noisy", Count: 1}}, now)
		m.Observe("vm", "api", 1.5, now, now)
	}
	suspects := []interference.Suspect[int]{{1, "calm"}, {2, "noisy"}}
	require.Equal(t, 1, interference.MostInterfering(m, []interference.Neighbor{{Template: "api", Count: 1}}, suspects))
	require.Equal(t, -1, interference.MostInterfering(m, []interference.Neighbor{{Template: "db", Count: 1}}, suspects))
}
