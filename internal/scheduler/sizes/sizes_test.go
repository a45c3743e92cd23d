package sizes_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/scheduler/sizes"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestPlan guards against reducing a size below the required confidence, and against
// planning less than an observed peak.
func TestPlan(t *testing.T) {
	declared := structs.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	e := sizes.New()
	require.Equal(t, declared, e.Plan("t", declared))
	for i := range 58 {
		e.Observe("t", structs.Resources{MilliCPU: 100, MemoryMB: int64(400 + i)})
		require.Equal(t, declared, e.Plan("t", declared))
	}
	e.Observe("t", structs.Resources{MilliCPU: 2000, MemoryMB: 300})
	require.GreaterOrEqual(t, e.Confidence("t"), 0.95)
	require.Equal(t, structs.Resources{MilliCPU: 2000, MemoryMB: 457, Accelerators: 1}, e.Plan("t", declared))
	require.Equal(t, 2000, int(e.Plan("t", structs.Resources{MilliCPU: 10}).MilliCPU))
}

// TestCoverage guards against a stated confidence that does not hold: the planned size
// must cover 95% of the tasks for at least 95% of many templates.
func TestCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 4))
	good, templates := 0, 2000
	for range templates {
		e := sizes.New()
		for range 59 {
			e.Observe("t", structs.Resources{MemoryMB: rng.Int64N(1_000_000)})
		}
		if e.Plan("t", structs.Resources{}).MemoryMB >= 950_000 {
			good++
		}
	}
	require.GreaterOrEqual(t, float64(good)/float64(templates), 0.94, "0.95 less two standard errors")
}
