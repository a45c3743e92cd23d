package measure_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/scheduler/measure"
)

// TestPolicies checks the scheduler against the baselines of the same run: at least 5
// times fewer evictions than "least loaded" at no lower batch throughput and no higher
// urgent p99, no VM above its capacity, and all urgent starts within 9 s.
func TestPolicies(t *testing.T) {
	rows := measure.Policies(5)
	for _, r := range rows {
		t.Logf("%-28s evictions/1000 %7.1f  lost %8.0f s  batch %9.0f s  urgent p99 %.3f  starts in 9 s %.4f  over %d",
			r.Policy, r.Evictions, r.LostSeconds, r.BatchSeconds, r.UrgentP99, r.StartsIn9s, r.OverCapacity)
	}
	ours, least := rows[0], rows[2]
	require.Equal(t, "least loaded", least.Policy)
	require.LessOrEqual(t, 5*ours.Evictions, least.Evictions, "evictions")
	require.GreaterOrEqual(t, ours.BatchSeconds, least.BatchSeconds, "batch throughput")
	require.LessOrEqual(t, ours.UrgentP99, least.UrgentP99, "urgent p99")
	require.Zero(t, ours.OverCapacity, "moments above capacity")
	require.InDelta(t, 1, ours.MinStartsIn9s, 0, "urgent starts within 9 s")
}

// TestScale checks the targets at the largest planned scale, with 48 starts/s: at most
// 2 KV writes per task, at most 100 writes/s in all, urgent starts within 9 s, and no
// VM above its capacity.
func TestScale(t *testing.T) {
	r, err := measure.Scale()
	require.NoError(t, err)
	t.Logf("%+v", r)
	require.Greater(t, r.Running, 14_000, "the run is not at the stated scale")
	require.Greater(t, r.StartsPerSecond, 45.0, "the run is not at the stated scale")
	require.LessOrEqual(t, r.WritesPerLife, 2.0)
	require.LessOrEqual(t, r.WritesPerSecond, 100.0)
	require.InDelta(t, 1, r.StartsIn9s, 0)
	require.Zero(t, r.OverCapacity)
}
