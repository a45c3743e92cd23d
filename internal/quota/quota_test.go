package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestLedger guards against ignoring the use through other entries, and against shares
// that ignore the dominant resource or the weight.
func TestLedger(t *testing.T) {
	l := quota.New()
	l.SetTotal(structs.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 10})
	l.SetTeam("a", structs.Resources{MilliCPU: 300}, 2)
	l.Charge("a", structs.Resources{MilliCPU: 100, Accelerators: 4})
	l.Charge("b", structs.Resources{MemoryMB: 250})
	require.InDelta(t, 0.2, l.Share("a"), 1e-9)
	require.InDelta(t, 0.25, l.Share("b"), 1e-9)
	require.True(t, l.Fits("a", structs.Resources{MilliCPU: 200, MemoryMB: 5000}))
	l.SetRemote("a", structs.Resources{MilliCPU: 50})
	require.False(t, l.Fits("a", structs.Resources{MilliCPU: 200}))
	require.True(t, l.EverFits("a", structs.Resources{MilliCPU: 300}))
	require.False(t, l.EverFits("a", structs.Resources{MilliCPU: 301}))
	l.Refund("a", structs.Resources{MilliCPU: 100, Accelerators: 4})
	require.InDelta(t, 0.025, l.Share("a"), 1e-9)
	require.Zero(t, l.Used("a"))
}
