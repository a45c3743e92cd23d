// Package explore is a model checker for the permit rule. It searches the
// interleavings of the lease and shard state machines, with faults, for a state
// in which a task runs in two places.
//
// A World connects the state machines of coord/lease and coord/shard as the
// entry and agent processes do, to a simulated key-value store, network and
// workers. Search visits all interleavings up to a depth; Walk follows random
// ones beyond it. Both are deterministic.
package explore

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strings"
)

// Violation is a broken invariant with the steps that lead to it.
type Violation struct {
	Err   error
	Trace []string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%v after:\n  %s", v.Err, strings.Join(v.Trace, "\n  "))
}

// Stats counts the states and transitions that a search visited.
type Stats struct {
	States, Transitions int
	// Recovered is the number of states that were checked with World.Recover.
	Recovered int
}

// node is a state of the search with the step that led to it.
type node struct {
	world  *World
	parent *node
	step   string
}

func (n *node) trace() []string {
	var out []string
	for ; n.parent != nil; n = n.parent {
		out = append([]string{n.step}, out...)
	}
	return out
}

// Search visits every state within depth steps of the initial world of the
// options, in breadth-first order, so that the trace of a violation is a
// shortest one. States with equal fingerprints are visited once. Every
// recoverEvery-th state of the last level is also checked with World.Recover; 0
// skips that.
func Search(o Options, depth, recoverEvery int) (Stats, *Violation) {
	var stats Stats
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{}
	level := []*node{{world: NewWorld(o)}}
	var buf []byte
	for d := range depth {
		var next []*node
		for _, n := range level {
			for _, s := range n.world.Steps() {
				w := n.world.Clone()
				w.Apply(s)
				stats.Transitions++
				child := &node{world: w, parent: n, step: s.String()}
				if err := w.Check(); err != nil {
					return stats, &Violation{err, child.trace()}
				}
				buf = w.Fingerprint(buf[:0])
				h := maphash.Bytes(seed, buf)
				if _, ok := seen[h]; ok {
					continue
				}
				seen[h] = struct{}{}
				stats.States++
				if d < depth-1 {
					next = append(next, child)
				} else if recoverEvery > 0 && stats.States%recoverEvery == 0 {
					stats.Recovered++
					if v := checkRecovery(w, child); v != nil {
						return stats, v
					}
				}
			}
			n.world = nil // the trace needs only the steps
		}
		level = next
	}
	return stats, nil
}

// checkRecovery reports a violation if a copy of the world does not recover.
func checkRecovery(w *World, n *node) *Violation {
	if err := w.Clone().Recover(); err != nil {
		return &Violation{fmt.Errorf("run without further faults: %w", err), n.trace()}
	}
	return nil
}

// progressSteps are the steps by which the protocol makes progress. Walk takes
// two thirds of its steps from them, because a uniform choice would use up the
// faults of a path before any wait has passed.
var progressSteps = map[action]bool{advance: true, resolve: true, place: true, deliver: true}

// Walk takes length random steps from the initial world and then checks that the
// world recovers without faults. choose(n) returns a number in [0, n).
func Walk(o Options, length int, choose func(n int) int) *Violation {
	n := &node{world: NewWorld(o)}
	for range length {
		steps := n.world.Steps()
		if choose(3) > 0 {
			steps = slices.DeleteFunc(steps, func(s Step) bool { return !progressSteps[s.action] })
		}
		s := steps[choose(len(steps))]
		n.world.Apply(s)
		n = &node{world: n.world, parent: n, step: s.String()}
		if err := n.world.Check(); err != nil {
			return &Violation{err, n.trace()}
		}
	}
	return checkRecovery(n.world, n)
}

// WalkSeeds runs Walk for count seeds, starting with first, and returns the
// first violation with its seed.
func WalkSeeds(o Options, length int, first, count uint64) (uint64, *Violation) {
	for seed := first; seed < first+count; seed++ {
		rng := rand.New(rand.NewPCG(seed, 0))
		if v := Walk(o, length, rng.IntN); v != nil {
			return seed, v
		}
	}
	return 0, nil
}
