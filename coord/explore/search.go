// Package explore searches the interleavings of the real lease and shard state
// machines with faults for a state in which a task runs in two places.
//
// World wires the machines of coord/lease and coord/shard as a daemon does, over
// a key-value store, links and workers that are plain values. Search visits all
// interleavings to a depth; Walk follows random ones beyond it. Both are
// deterministic.
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

// Stats counts what a search visited.
type Stats struct {
	States, Transitions int
	// Recovered counts the states from which a run without faults was checked.
	Recovered int
}

type node struct {
	w      *World
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

// Search visits every state within depth steps of the options' initial world,
// in breadth-first order, so a violation has a shortest trace. States with
// equal fingerprints are visited once. Every recoverEvery-th state of the last
// level is also run on without faults; 0 skips that.
func Search(o Options, depth, recoverEvery int) (Stats, *Violation) {
	var stats Stats
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{}
	level := []*node{{w: NewWorld(o)}}
	var buf []byte
	for d := range depth {
		var next []*node
		for _, n := range level {
			for _, s := range n.w.Steps() {
				w := n.w.Clone()
				w.Do(s)
				stats.Transitions++
				child := &node{w: w, parent: n, step: s.String()}
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
					if v := recovers(w, child); v != nil {
						return stats, v
					}
				}
			}
			n.w = nil // the trace needs only the steps
		}
		level = next
	}
	return stats, nil
}

func recovers(w *World, n *node) *Violation {
	if err := w.Clone().Recover(); err != nil {
		return &Violation{fmt.Errorf("run without further faults: %w", err), n.trace()}
	}
	return nil
}

// progress are the steps without which nothing happens. Walk takes two thirds
// of its steps from them; uniform choice spends a path on faults before any
// wait has passed.
var progress = map[action]bool{advance: true, resolve: true, place: true, deliver: true}

// Walk follows random steps from the initial world and then runs on without
// faults. choose(n) returns a number in [0, n).
func Walk(o Options, length int, choose func(n int) int) *Violation {
	n := &node{w: NewWorld(o)}
	for range length {
		steps := n.w.Steps()
		if choose(3) > 0 {
			steps = slices.DeleteFunc(steps, func(s Step) bool { return !progress[s.action] })
		}
		s := steps[choose(len(steps))]
		n.w.Do(s)
		n = &node{w: n.w, parent: n, step: s.String()}
		if err := n.w.Check(); err != nil {
			return &Violation{err, n.trace()}
		}
	}
	return recovers(n.w, n)
}

// WalkSeeds runs Walk for count seeds and returns the first violation with its
// seed.
func WalkSeeds(o Options, length int, first, count uint64) (uint64, *Violation) {
	for seed := first; seed < first+count; seed++ {
		rng := rand.New(rand.NewPCG(seed, 0))
		if v := Walk(o, length, rng.IntN); v != nil {
			return seed, v
		}
	}
	return 0, nil
}
