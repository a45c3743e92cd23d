// Package interference learns how much tasks of one template slow down tasks of
// another on the same VM, and decides how to react when urgent work is slow.
//
// Measurements are noisy and late. A measurement is attributed to the tasks that
// ran on the VM when it was taken, not when it arrived, and one measurement moves
// an estimate by a bounded step only. Estimates decay towards zero so that a pair
// that changed is learned again. The package is pure.
package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time in which an estimate without measurements halves.
	HalfLife = time.Hour
	// HistoryAge is how long the task mix of a VM is kept for late measurements;
	// it exceeds the longest lag of usage reports, 30 s, twice.
	HistoryAge = time.Minute
	// gain is the share of an error that one measurement corrects.
	gain = 0.1
	// maxError bounds the logarithmic error of one measurement: a single noisy
	// value beyond a factor of 1.35 counts as one of 1.35.
	maxError = 0.3
	// maxPair bounds one estimate: a factor of 4.5.
	maxPair = 1.5
)

// Neighbor is a number of tasks of one template.
type Neighbor struct {
	Template string
	Count    int
}

type pair struct{ victim, cause string }

type estimate struct {
	value   float64 // logarithm of the slowdown by one neighbor
	at      time.Time
	samples int
}

type mixAt struct {
	from time.Time
	mix  []Neighbor
}

// Model holds the learned pairs. It is not safe for concurrent use.
type Model struct {
	pairs   map[pair]*estimate
	history map[string][]mixAt // by VM, oldest first
	now     time.Time
}

// NewModel returns a model that predicts no slowdown.
func NewModel() *Model {
	return &Model{pairs: map[pair]*estimate{}, history: map[string][]mixAt{}}
}

// Mix states which tasks run on a VM from now on.
func (m *Model) Mix(vm string, mix []Neighbor, now time.Time) {
	m.advance(now)
	h := m.history[vm]
	old := 0
	for old+1 < len(h) && now.Sub(h[old+1].from) > HistoryAge {
		old++
	}
	m.history[vm] = append(slices.Delete(h, 0, old), mixAt{now, slices.Clone(mix)})
}

// Forget drops the history of a VM that is gone.
func (m *Model) Forget(vm string) { delete(m.history, vm) }

// Observe learns from a measured slowdown of a task of template on vm, taken at at.
// It reports whether the measurement was used.
func (m *Model) Observe(vm, template string, slowdown float64, at, now time.Time) bool {
	m.advance(now)
	mix, ok := m.mixAt(vm, at)
	if !ok || slowdown <= 0 || math.IsNaN(slowdown) || math.IsInf(slowdown, 0) {
		return false
	}
	others := without(mix, template)
	norm, predicted := 0.0, 0.0
	for _, n := range others {
		norm += float64(n.Count * n.Count)
		predicted += float64(n.Count) * m.Pair(template, n.Template)
	}
	if norm == 0 {
		return false
	}
	diff := min(maxError, max(-maxError, math.Log(max(slowdown, 1))-predicted))
	for _, n := range others {
		e := m.entry(pair{template, n.Template})
		e.value = min(maxPair, max(0, m.decayed(e)+gain*diff*float64(n.Count)/norm))
		e.at = m.now
		e.samples++
	}
	return true
}

// without removes the measured task itself.
func without(mix []Neighbor, template string) []Neighbor {
	out := slices.Clone(mix)
	for i := range out {
		if out[i].Template == template {
			out[i].Count--
		}
	}
	return slices.DeleteFunc(out, func(n Neighbor) bool { return n.Count <= 0 })
}

func (m *Model) mixAt(vm string, at time.Time) ([]Neighbor, bool) {
	h := m.history[vm]
	for i := len(h) - 1; i >= 0; i-- {
		if !at.Before(h[i].from) {
			return h[i].mix, true
		}
	}
	return nil, false
}

// Pair returns the logarithm of the factor by which one task of template cause
// slows down a task of template victim.
func (m *Model) Pair(victim, cause string) float64 {
	if e := m.pairs[pair{victim, cause}]; e != nil {
		return m.decayed(e)
	}
	return 0
}

// Samples returns the number of measurements behind a pair.
func (m *Model) Samples(victim, cause string) int {
	if e := m.pairs[pair{victim, cause}]; e != nil {
		return e.samples
	}
	return 0
}

// Predict returns the factor by which a task of template is slowed down by mix.
func (m *Model) Predict(template string, mix []Neighbor) float64 {
	sum := 0.0
	for _, n := range mix {
		sum += float64(n.Count) * m.Pair(template, n.Template)
	}
	return math.Exp(sum)
}

// decayed does not change the estimate. Nothing is lost in the first minute, so
// that frequent measurements do not pull the estimate towards zero.
func (m *Model) decayed(e *estimate) float64 {
	idle := m.now.Sub(e.at) - time.Minute
	if idle <= 0 {
		return e.value
	}
	return e.value * math.Exp2(-idle.Seconds()/HalfLife.Seconds())
}

func (m *Model) entry(p pair) *estimate {
	e := m.pairs[p]
	if e == nil {
		e = &estimate{at: m.now}
		m.pairs[p] = e
	}
	return e
}

// advance never goes back: a late event carries an old clock reading.
func (m *Model) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}
