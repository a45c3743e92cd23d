package explore

import (
	"slices"
	"time"
)

// Scenario is one exhaustive search with its steps and depth.
type Scenario struct {
	Name    string
	Options Options
	Depth   int
}

// Scenarios returns the searches. The first has every step. The others leave out
// the steps that their faults do not need, so that they reach the depth at which
// these faults have an effect.
func Scenarios() []Scenario {
	all := DefaultOptions()
	coarse := DefaultOptions()
	coarse.Coarse, coarse.Faults = true, 2
	withOnly := func(o Options, faults int, only ...action) Options {
		o.Faults, o.only = faults, only
		return o
	}
	return []Scenario{
		{"all", all, 3},
		{"coarse", coarse, 5},
		{"delay", delayScenario(withOnly(all, 1, advance, advanceOnly, deliver, resolve, place, heal, resend)), 8},
		{"outage", withOnly(all, 2, advance, partition, takeOver, trim, resolve, place), 8},
		{"lost owner", withOnly(all, 3, advance, partition, suspectOwner, trustOwner, takeOver, resolve, place), 7},
		{"start", startScenario(withOnly(all, 1, advance, pauseAgent, resumeAgent, resolve, place, deliver)), 8},
		{"crash", withOnly(all, 3, advance, advanceLong, crashAgent, resend, resolve, place, takeOver), 5},
		{"worker", withOnly(all, 2, advance, workerCallDelayed, deliver, takeOver, resolve, place, resumeAgent), 8},
		{"hold", holdScenario(withOnly(all, 1, advance, crashAgent, resolve, place, heartbeat)), 8},
		{"drift", driftScenario(withOnly(all, 2, advance, resolve, place, heartbeat)), 5},
	}
}

// delayScenario starts with two delayed heartbeat answers to one agent, which is
// then cut off from a new owner.
func delayScenario(o Options) Options {
	o.prefix = []Step{{heartbeatDelayed, 0, 0}, {heartbeatDelayed, 0, 0}, {partition, 3, 0}, {takeOver, 1, 0}}
	return o
}

// startScenario starts with a delayed start message to an agent that then pauses.
func startScenario(o Options) Options {
	o.prefix = []Step{{resolve, 0, 0}, {placeDelayed, 0, 1}, {pauseAgent, 0, 1}}
	return o
}

// holdScenario starts 32 s after a partition and a takeover. The agent stays with
// the majority of the members, which renews by attestation until the hold limit.
func holdScenario(o Options) Options {
	o.Lease.Hold = 40 * time.Second
	o.prefix = partitionMajority(8)
	return o
}

// driftScenario has slow agents, a drift of 20% and a hold limit so long that the
// drift over it exceeds the wait. It starts shortly before the hold limit ends.
func driftScenario(o Options) Options {
	o.SlowAgents = true
	o.Lease.Drift, o.Lease.Margin, o.Lease.Hold = 0.2, 2500*time.Millisecond, 200*time.Second
	o.prefix = partitionMajority(52)
	return o
}

// partitionMajority returns the steps that separate agent 0 and entries 0 and 1
// from the store, let entry 2 take over and advance the time the given number of
// times.
func partitionMajority(advances int) []Step {
	return append([]Step{{partition, 2, 0}, {takeOver, 2, 0}}, slices.Repeat([]Step{{advance, 0, 0}}, advances)...)
}
