package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	wire "vanillalock.example/vanillalock/platform/standin"
)

var cancelSeeds = flag.Int("soak.cancel.seeds", 0, "number of further seeds with cancellations between faults, from soak.first on")

// cancelSeedsAlways run every time.
var cancelSeedsAlways = []uint64{1}

const (
	cancelRounds    = 2
	cancelFaultTime = 4 * time.Second // in which the faults of a round begin
	// quietTime follows the faults of a round.
	quietTime       = steadyDelay + maxCancelTime + maxStopTime + 600*time.Millisecond
	recallerCount   = 2
	jointWeight     = 4 // of a kind of jointFaults beside one of the others
	restartInterval = 700 * time.Millisecond
	awayTime        = 4 * time.Second // longer than the lease of the leader's key

	// A wide job ends on each VM over 500 runs, the most that an executor lists at a time.
	wideTasksPerVM = 550
	wideStartTime  = 2 * time.Second // from the acceptance of a wide job until the store is away
	wideRunTime    = 2500 * time.Millisecond
)

// TestSoakCancels guards against tasks that run on although the cancellation of their job
// has been acknowledged: in quiet stretches between faults they have to end.
func TestSoakCancels(t *testing.T) {
	playSeeds(t, withSeeds(cancelSeedsAlways, *cancelSeeds), *parallel, runCancelSeed)
}

// runCancelSeed runs one fleet with rounds of faults and of quiet, in which jobs are
// cancelled all the time.
func runCancelSeed(t *testing.T, binary string, slot int, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newTestFleet(ctx, t, binary, slot, seed, defaultSize)
	t.Cleanup(cancel)
	b := f.newBalancer()
	fleet.Sleep(ctx, startTime)
	sending, stopSending := context.WithCancel(ctx)
	c := f.newCaller(b, seed*10)
	c.crashes = seed%crashingOneIn == crashingRemainder
	go c.run(sending, lastingJobs)
	for i := range recallerCount {
		go f.newCaller(b, seed*10+1+uint64(i)).recall(sending)
	}
	kinds := slices.Concat(faults, plannedWork)
	joint := slices.Clone(jointFaults)
	if c.crashes {
		joint[len(joint)-1] = crashingRestart
	}
	for range jointWeight {
		kinds = append(kinds, joint...)
	}
	for range cancelRounds {
		f.injectFaults(kinds, false, cancelFaultTime)
		fleet.Sleep(ctx, quietTime)
	}
	f.clearFaults()
	stopSending()
	f.conclude(f.settle())
}

// jointFaults holds disruptions of several parts of a fleet at the same time.
var jointFaults = []disruption{
	{"many ends while the store is away", func(f *testFleet, rng *rand.Rand, d time.Duration) {
		f.endManyRuns(rng, d)
	}, false},
	{"late starts", func(f *testFleet, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(len(f.executors))
		x := f.executors[i]
		x.SetLateStarts(true)
		fleet.Sleep(f.ctx, d/2)
		drains := rng.IntN(2) == 0
		if drains {
			x.Drain()
		}
		// What orders the starts forgets them or changes.
		switch rng.IntN(4) {
		case 0:
			f.agents[i].signal(syscall.SIGKILL)
		case 1:
			f.leader().signal(syscall.SIGKILL)
		default:
			f.agents[i].sessions.resetConns()
		}
		fleet.Sleep(f.ctx, d/2)
		x.SetLateStarts(false)
		fleet.Sleep(f.ctx, wire.MaxStartDelay)
		if drains {
			_ = x.Leave(f.ctx) // the agent may be down
			f.startInstance(i)
		}
	}, false},
	{"leader and VMs away", func(f *testFleet, rng *rand.Rand, d time.Duration) {
		vms := rng.Perm(len(f.agents))[:1+rng.IntN(2)]
		gone := []*process{f.leader()}
		for _, i := range vms {
			gone = append(gone, f.agents[i])
			f.executors[i].Crash()
		}
		for _, p := range gone {
			p.setAway(true)
		}
		fleet.Sleep(f.ctx, max(d, awayTime))
		for _, p := range gone {
			p.setAway(false)
		}
		for _, i := range vms {
			f.startInstance(i)
		}
	}, false},
	{"rolling restart", func(f *testFleet, _ *rand.Rand, _ time.Duration) { f.restartAll(func() {}) }, false},
}

// crashingRestart replaces the rolling restart in seeds with tasks that crash executors.
var crashingRestart = disruption{"rolling restart beside crashing tasks", func(f *testFleet, rng *rand.Rand, _ time.Duration) {
	c := f.newCaller(f.balancer, rng.Uint64())
	go c.pollJobs()
	f.restartAll(func() {
		if rng.IntN(len(f.processes())) == 0 {
			go c.send(c.newCrashingJob())
		}
	})
}, false}

// restartAll stops all processes one after the other, each after a call of before.
func (f *testFleet) restartAll(before func()) {
	for _, p := range f.processes() {
		before()
		p.signal(syscall.SIGTERM)
		fleet.Sleep(f.ctx, restartInterval)
	}
}

// endManyRuns has a job with over 500 tasks on each VM end while the store is away, half
// of the time as it is cancelled.
func (f *testFleet) endManyRuns(rng *rand.Rand, d time.Duration) {
	c := f.newCaller(f.balancer, rng.Uint64())
	go c.pollJobs()
	job := &sentJob{
		id: fmt.Sprintf("%016x", rng.Uint64()), spec: fmt.Sprintf(`{"run_ms":[%d]}`, wideRunTime.Milliseconds()), attempts: queueAttempts,
		steps: []fleet.Step{{Count: wideTasksPerVM * len(f.agents), Need: structs.Resources{MilliCPU: 4, MemoryMB: 4}}},
	}
	c.send(job)
	fleet.Sleep(f.ctx, wideStartTime)
	if rng.IntN(2) == 0 {
		c.cancel(job)
	}
	f.gate.set(storeSilent)
	fleet.Sleep(f.ctx, d)
	f.gate.set(storeNormal)
}
