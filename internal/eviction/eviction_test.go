package eviction_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/eviction"
	"vanillalock.example/vanillalock/internal/structs"
)

// cheapestCost returns the cost of the cheapest set of batch candidates by trying every
// set, or false if none covers need.
func cheapestCost(all []eviction.Candidate, need structs.Resources) (time.Duration, bool) {
	best, found := time.Duration(0), false
next:
	for set := range 1 << len(all) {
		var sum structs.Resources
		var cost time.Duration
		for i, c := range all {
			if set&(1<<i) != 0 {
				if c.QoS != structs.Batch {
					continue next
				}
				sum, cost = sum.Add(c.Size), cost+eviction.Cost(c)
			}
		}
		if need.Fits(sum) && (!found || cost < best) {
			best, found = cost, true
		}
	}
	return best, found
}

// TestSelectAgainstEverySet compares Select with an exhaustive search. It guards
// against evicting urgent tasks, sets that do not cover the need, and sets that
// cost more than the cheapest one.
func TestSelectAgainstEverySet(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 1))
	for range 400 {
		var all []eviction.Candidate
		for i := range rng.IntN(11) {
			all = append(all, eviction.Candidate{ID: structs.TaskID{Job: fmt.Sprint(i)}, QoS: []structs.QoS{structs.Batch, structs.Batch, structs.LatencyCritical}[rng.IntN(3)],
				Size:    structs.Resources{MilliCPU: rng.Int64N(5), MemoryMB: rng.Int64N(5), Accelerators: rng.Int64N(2)},
				Unsaved: time.Duration(rng.IntN(60)) * time.Second, CanSave: rng.IntN(2) == 0, Remaining: time.Duration(rng.IntN(30)) * time.Second, Evictions: rng.IntN(3)})
		}
		need := structs.Resources{MilliCPU: 1 + rng.Int64N(8), MemoryMB: rng.Int64N(8), Accelerators: rng.Int64N(2)}
		want, possible := cheapestCost(all, need)
		got := eviction.Select(all, need)
		require.Equal(t, possible, got != nil)
		var sum structs.Resources
		var cost time.Duration
		for _, c := range got {
			require.Equal(t, structs.Batch, c.QoS)
			sum, cost = sum.Add(c.Size), cost+eviction.Cost(c)
		}
		require.True(t, !possible || need.Fits(sum))
		require.Equal(t, want, cost)
	}
}

// TestSelectOfMany guards against superfluous evictions when there are more candidates
// than the exact search considers.
func TestSelectOfMany(t *testing.T) {
	var all []eviction.Candidate
	for i := range 40 {
		all = append(all, eviction.Candidate{ID: structs.TaskID{Index: i}, QoS: structs.Batch, CanSave: true, Size: structs.Resources{MilliCPU: 10}})
	}
	require.Len(t, eviction.Select(all, structs.Resources{MilliCPU: 295}), 30)
	require.Nil(t, eviction.Select(all, structs.Resources{MilliCPU: 401}))
}

// TestBudget guards against too many evictions at once and against evicting the same
// task repeatedly.
func TestBudget(t *testing.T) {
	now := time.Unix(0, 0)
	b := eviction.NewBudget(eviction.Limits{PerSecond: 1, Burst: 2, PerTask: 2, Cooldown: time.Minute})
	id := func(i int) []structs.TaskID { return []structs.TaskID{{Index: i}} }
	require.True(t, b.Take(id(1), now))
	require.False(t, b.Take(id(1), now), "cooldown")
	require.True(t, b.Take(id(2), now))
	require.False(t, b.Take(id(3), now), "burst")
	require.True(t, b.Take(id(3), now.Add(time.Second)))
	require.True(t, b.Take(id(1), now.Add(time.Minute)))
	require.False(t, b.Take(id(1), now.Add(time.Hour)), "per task")
}
