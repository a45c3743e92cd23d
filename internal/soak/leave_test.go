package soak

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

var leaveSeeds = flag.Int("soak.leave.seeds", 0, "number of further seeds with calls of Leave, from soak.first on")

// leaveSeedsAlways run every time.
var leaveSeedsAlways = []uint64{1}

const maxDrainTime = 2 * time.Second // from the announcement that an executor drains to its Leave

// TestSoakLeaves guards against tasks that are started again because of a call of Leave
// while their executor goes on running them.
func TestSoakLeaves(t *testing.T) {
	playSeeds(t, withSeeds(leaveSeedsAlways, *leaveSeeds), *parallel, runLeaveSeed)
}

// runLeaveSeed runs one fleet whose agents are told that executors leave.
func runLeaveSeed(t *testing.T, binary string, slot int, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newTestFleet(ctx, t, binary, slot, seed, defaultSize)
	t.Cleanup(cancel)
	stopSending := f.sendLongTasks(seed, callerCount)
	fleet.Sleep(ctx, beforeCut)
	f.injectFaults(leaves, false, *faultTime)
	f.clearFaults()
	stopSending()
	f.conclude(f.settle())
}

// leaves holds the calls of Leave after which runs go on.
var leaves = []disruption{
	{"leave of another writer", func(f *testFleet, rng *rand.Rand, _ time.Duration) {
		_ = pick(rng, f.executors).SendLeave(f.ctx, 0) // of no effect, or refused
	}, false},
	{"leave before the end", func(f *testFleet, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(len(f.executors))
		f.executors[i].Drain()
		fleet.Sleep(f.ctx, time.Duration(rng.Int64N(int64(maxDrainTime))))
		_ = f.executors[i].SendLeave(f.ctx, f.executors[i].Born()) // without an acknowledgement it leaves all the same
		fleet.Sleep(f.ctx, d)
		f.startInstance(i)
	}, false},
	{"leave of an earlier instance", func(f *testFleet, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(len(f.executors))
		born := f.executors[i].Born()
		f.executors[i].Drain() // without it the end counts as a crash, and jobs are given up after some
		fleet.Sleep(f.ctx, maxDrainTime)
		f.startInstance(i)
		fleet.Sleep(f.ctx, d)
		_ = f.executors[i].SendLeave(f.ctx, born) // of no effect
	}, false},
}
