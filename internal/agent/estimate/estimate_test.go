package estimate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/agent/estimate"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestAvailable guards against capacity that appears free because of a low or late
// measurement, and against a measurement of an earlier attempt.
func TestAvailable(t *testing.T) {
	mb := func(n int64) structs.Resources { return structs.Resources{MilliCPU: 100, MemoryMB: n} }
	now := time.Unix(1000, 0)
	id := structs.TaskID{Job: "j"}
	e := estimate.New(structs.Resources{MilliCPU: 1000, MemoryMB: 100})
	e.Start(id, mb(40), now)
	e.Observe(id, mb(90), now.Add(-time.Second))
	require.EqualValues(t, 60, e.Available(now).MemoryMB, "earlier attempt")
	e.Observe(id, mb(5), now.Add(time.Second))
	require.EqualValues(t, 60, e.Available(now.Add(time.Second)).MemoryMB, "a low measurement frees nothing")
	e.Observe(id, mb(130), now.Add(2*time.Second))
	e.Observe(id, mb(10), now.Add(3*time.Second))
	require.Zero(t, e.Available(now.Add(3*time.Second)).MemoryMB, "a peak above the reservation counts")
	require.EqualValues(t, 60, e.Available(now.Add(4*time.Second+estimate.PeakAge)).MemoryMB, "an old peak does not")
	e.End(id)
	require.EqualValues(t, 100, e.Available(now).MemoryMB)
}
