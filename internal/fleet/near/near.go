// Package near decides whether a task waits for a VM on the rack that holds its data, or
// starts on another rack, where it takes longer. It has no I/O and no clock.
//
// It answers a load in which many short tasks name the same rack for some seconds: a
// part of them can wait for the rack and still end sooner than elsewhere, while the rest
// would wait longer than it gains. It also answers a shortage of capacity, in which a task
// away from its data takes room from other tasks for longer.
package near

import "time"

// plentyShare is the share of the gain up to which an expected wait pays while no task
// lacks room. Then only the time of the caller counts, a wait in vain costs the caller its
// whole length, and runs may take twice as long as expected: estimates are off by up to 90%.
const plentyShare = 0.5

// maxWait is the longest wait in all. A job of which nothing runs for 3 s beside room counts
// as lost, and other tasks may lack room for a reason that does not concern it.
const maxWait = 2 * time.Second

// Task describes a task that would start far from its data now.
type Task struct {
	Duration  time.Duration // expected run time on the rack with the data
	FarFactor float64       // ratio of the run time elsewhere to that; at most 1: never waits
	Waited    time.Duration // since it was ready
	// Recheck is the longest time until the next decision. A wait that begins now lasts
	// at least that long if no room is freed.
	Recheck time.Duration
	// Slack is by how much the job would end before its objective if the task started
	// beside its data now. It is negative if the job is late in any case, and counts only
	// if HasObjective.
	Slack        time.Duration
	HasObjective bool
}

// Rack describes the room on the rack with the data.
type Rack struct {
	// Frees holds the expected times from now at which room for one such task becomes
	// free, in ascending order.
	Frees  []time.Duration
	Ahead  int  // waiting tasks that get this room first
	Scarce bool // tasks wait because no VM of the pool has room for them
}

// Gain returns how much longer the task runs far from its data.
func (t Task) Gain() time.Duration {
	return max(0, time.Duration((t.FarFactor-1)*float64(t.Duration)))
}

// Limit returns the longest time from now that the task may wait: the rest of its gain, up to
// maxWait, and no longer than the objective of its job permits. The sum of all waits of a
// task is therefore at most its gain, however often it is decided.
func (t Task) Limit() time.Duration {
	gain := t.Gain()
	limit := min(gain, maxWait) - t.Waited
	if t.HasObjective && t.Slack >= gain {
		// The job is in time with a far start now, so it has to be in time with a far
		// start after a wait in vain.
		limit = min(limit, t.Slack-gain)
	} else if t.HasObjective && t.Slack >= 0 {
		limit = min(limit, t.Slack)
	}
	return max(0, limit)
}

// Wait returns how long from now the task is expected to wait for room on the rack, and
// false if it has to start far now.
func Wait(t Task, r Rack) (time.Duration, bool) {
	limit := t.Limit()
	if limit <= 0 || t.Recheck > limit || r.Ahead >= len(r.Frees) {
		return 0, false
	}
	expected := r.Frees[r.Ahead]
	if !r.Scarce {
		// With room in plenty, the time waited so far is lost for the caller either way;
		// what counts is the rest of the wait against the gain.
		limit = min(limit, time.Duration(plentyShare*float64(t.Gain())))
	}
	return expected, expected <= limit
}
