package explore

import (
	"slices"
	"time"
)

// Scenario is one exhaustive search: a set of steps and a depth.
type Scenario struct {
	Name    string
	Options Options
	Depth   int
}

// Scenarios lists the searches. The first has every step; the others leave out
// steps that their faults do not need, to reach the depth of their faults.
func Scenarios() []Scenario {
	all := DefaultOptions()
	coarse := DefaultOptions()
	coarse.Coarse, coarse.Faults = true, 2
	restrict := func(o Options, faults int, only ...action) Options {
		o.Faults, o.only = faults, only
		return o
	}
	return []Scenario{
		{"all", all, 3},
		{"coarse", coarse, 5},
		{"delay", delayed(restrict(all, 1, advance, advanceOnly, deliver, resolve, place, heal, resend)), 8},
		{"outage", restrict(all, 2, advance, partition, takeOver, trim, resolve, place), 8},
		{"lost owner", restrict(all, 3, advance, partition, suspectOwner, trustOwner, takeOver, resolve, place), 7},
		{"start", startHeld(restrict(all, 1, advance, pauseAgent, resumeAgent, resolve, place, deliver)), 8},
		{"crash", restrict(all, 3, advance, advanceLong, crashAgent, resend, resolve, place, takeOver), 5},
		{"worker", restrict(all, 2, advance, workerHeld, deliver, takeOver, resolve, place, resumeAgent), 8},
		{"hold", hold(restrict(all, 1, advance, crashAgent, resolve, place, beat)), 8},
		{"drift", drift(restrict(all, 2, advance, resolve, place, beat)), 5},
	}
}

// delayed starts with two late answers to one agent, which is then cut off from
// a new owner.
func delayed(o Options) Options {
	o.prefix = []Step{{beatHeld, 0, 0}, {beatHeld, 0, 0}, {partition, 3, 0}, {takeOver, 1, 0}}
	return o
}

// startHeld starts with a late start to an agent that pauses.
func startHeld(o Options) Options {
	o.prefix = []Step{{resolve, 0, 0}, {placeHeld, 0, 1}, {pauseAgent, 0, 1}}
	return o
}

// hold starts 32 s after a partition and a take-over; the agent stays with the
// majority, which attests until the hold limit.
func hold(o Options) Options {
	o.Lease.Hold = 40 * time.Second
	o.prefix = majority(8)
	return o
}

// drift has slow agents, a drift of 20% and a hold limit at which the drift
// exceeds the wait, and starts shortly before the hold limit has passed.
func drift(o Options) Options {
	o.SlowAgents = true
	o.Lease.Drift, o.Lease.Margin, o.Lease.Hold = 0.2, 2500*time.Millisecond, 200*time.Second
	o.prefix = majority(52)
	return o
}

// majority separates agent 0 and entries 0 and 1 from the store, lets entry 2
// take over and advances.
func majority(advances int) []Step {
	return append([]Step{{partition, 2, 0}, {takeOver, 2, 0}}, slices.Repeat([]Step{{advance, 0, 0}}, advances)...)
}
