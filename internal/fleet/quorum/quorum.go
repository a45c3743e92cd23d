// Package quorum bounds the leases that earlier leaders may have granted.
//
// A leader that is cut off from the store cannot know that another one has been elected, and
// goes on to grant leases for as long as an outage of the store may last. It does so only
// while it is in contact with a quorum of a set of agents, which the store holds. An agent
// follows the leader with the highest term only. A new leader learns from the agents that
// follow it when they last heard from an earlier one; once these share an agent with every
// quorum, no earlier leader can have been in contact with one later than that.
//
// The load that this answers is the loss of a leader and of VMs at about the same time: the
// new leader hears from neither, and cannot tell them from a leader and VMs that are cut off
// together.
package quorum

import (
	"slices"
	"time"
)

// Set is a set of agents, by address, in ascending order. nil is no set; leases that were
// granted without one have no bound here.
type Set []string

// New returns the set of the given addresses.
func New(addresses []string) Set {
	s := slices.Clone(addresses)
	slices.Sort(s)
	return Set(slices.Compact(s))
}

// Equal reports whether two sets hold the same agents.
func (s Set) Equal(other Set) bool { return slices.Equal(s, other) }

// Changes returns the number of agents that are in one of two sets only.
func (s Set) Changes(other Set) int {
	shared := 0
	for _, address := range s {
		if _, found := slices.BinarySearch(other, address); found {
			shared++
		}
	}
	return len(s) + len(other) - 2*shared
}

// size is the number of agents of a quorum: more than three fifths, so that a leader goes on
// while a failure domain of a third is out of reach, and a new one needs two fifths.
func (s Set) size() int { return len(s)*3/5 + 1 }

// intersecting is the smallest number of agents that share one with every quorum.
func (s Set) intersecting() int { return len(s) - s.size() + 1 }

// Contact returns the latest time since which a quorum has been in contact with the leader.
// received holds, by address, a time after which the agent has received a frame of the
// leader. It reports false if there is none.
func (s Set) Contact(received map[string]time.Time) (time.Time, bool) {
	times := s.known(received)
	if len(times) < s.size() {
		return time.Time{}, false
	}
	return times[len(times)-s.size()], true
}

// LastContact returns a time after which no earlier leader has been in contact with a
// quorum. heard holds, by address, a time after which the agent, which now follows this
// leader, has received no frame of an earlier one. It reports false if too few agents are
// known.
func (s Set) LastContact(heard map[string]time.Time) (time.Time, bool) {
	times := s.known(heard)
	if len(s) == 0 || len(times) < s.intersecting() {
		return time.Time{}, false
	}
	return times[s.intersecting()-1], true
}

// known returns the times of the agents of the set, the earliest first.
func (s Set) known(times map[string]time.Time) []time.Time {
	var known []time.Time
	for _, address := range s {
		if at, ok := times[address]; ok {
			known = append(known, at)
		}
	}
	slices.SortFunc(known, time.Time.Compare)
	return known
}
