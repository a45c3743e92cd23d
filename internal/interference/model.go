// Package interference learns how much tasks of one template slow down tasks of
// another on the same VM, and decides what to do when urgent (latency-critical) work
// is slow.
//
// Measurements are noisy and late. A measurement is attributed to the tasks that
// ran on the VM when it was taken, not when it arrived, and each measurement changes
// an estimate by a bounded step only. Estimates decay towards zero, so that the model
// adapts to templates that have changed. The package is pure: it has no goroutines
// and takes the time as an argument.
package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time in which an estimate without new measurements halves.
	HalfLife = time.Hour
	// HistoryAge is how long the task mix of a VM is kept for late measurements:
	// twice the longest lag of usage reports, 30 s.
	HistoryAge = time.Minute
	// learningRate is the share of the prediction error that one measurement corrects.
	learningRate = 0.1
	// maxError bounds the logarithmic prediction error of one measurement: one that is
	// off by more than a factor of 1.35 counts as off by 1.35.
	maxError = 0.3
	// maxEstimate bounds the logarithmic slowdown of one pair: a factor of 4.5.
	maxEstimate = 1.5
)

// Neighbor is a number of tasks of one template on a VM. A list of them is the task
// mix of the VM.
type Neighbor struct {
	Template string
	Count    int
}

// pair is a template that is slowed down and one that causes it.
type pair struct{ victim, cause string }

type estimate struct {
	value     float64   // logarithm of the slowdown by one task, as of updatedAt
	updatedAt time.Time // last measurement
	samples   int
}

// mixRecord is the task mix of a VM from a point in time on.
type mixRecord struct {
	from time.Time
	mix  []Neighbor
}

// Model holds the learned slowdowns of all pairs of templates. It is not safe for
// concurrent use.
type Model struct {
	pairs   map[pair]*estimate
	history map[string][]mixRecord // by VM, oldest first
	now     time.Time              // latest time seen
}

// NewModel returns a model that predicts no slowdown.
func NewModel() *Model {
	return &Model{pairs: map[pair]*estimate{}, history: map[string][]mixRecord{}}
}

// SetMix records the task mix of a VM from now on. It drops mixes that ended more than
// HistoryAge ago.
func (m *Model) SetMix(vm string, mix []Neighbor, now time.Time) {
	m.advance(now)
	h := m.history[vm]
	old := 0
	for old+1 < len(h) && now.Sub(h[old+1].from) > HistoryAge {
		old++
	}
	m.history[vm] = append(slices.Delete(h, 0, old), mixRecord{now, slices.Clone(mix)})
}

// Forget drops the history of a removed VM.
func (m *Model) Forget(vm string) { delete(m.history, vm) }

// Observe learns from the slowdown of a task of template on vm, measured at the time
// at. It reports whether the measurement was used: it is not if it is older than the
// history, if the task ran alone, or if the slowdown is not a positive number.
func (m *Model) Observe(vm, template string, slowdown float64, at, now time.Time) bool {
	m.advance(now)
	mix, ok := m.mixAt(vm, at)
	if !ok || slowdown <= 0 || math.IsNaN(slowdown) || math.IsInf(slowdown, 0) {
		return false
	}
	others := withoutOne(mix, template)
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
		e := m.estimateFor(pair{template, n.Template})
		e.value = min(maxEstimate, max(0, m.decayedValue(e)+learningRate*diff*float64(n.Count)/norm))
		e.updatedAt = m.now
		e.samples++
	}
	return true
}

// withoutOne returns the mix without one task of template, the measured one.
func withoutOne(mix []Neighbor, template string) []Neighbor {
	out := slices.Clone(mix)
	for i := range out {
		if out[i].Template == template {
			out[i].Count--
		}
	}
	return slices.DeleteFunc(out, func(n Neighbor) bool { return n.Count <= 0 })
}

// mixAt returns the mix of a VM at a time, or false if it is not in the history.
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
		return m.decayedValue(e)
	}
	return 0
}

// Samples returns the number of measurements from which a pair was learned.
func (m *Model) Samples(victim, cause string) int {
	if e := m.pairs[pair{victim, cause}]; e != nil {
		return e.samples
	}
	return 0
}

// Predict returns the factor by which the tasks of mix slow down a task of template.
func (m *Model) Predict(template string, mix []Neighbor) float64 {
	sum := 0.0
	for _, n := range mix {
		sum += float64(n.Count) * m.Pair(template, n.Template)
	}
	return math.Exp(sum)
}

// decayedValue returns the present value of an estimate without changing it. Decay
// starts one minute after a measurement, so that frequent measurements do not pull
// the estimate towards zero.
func (m *Model) decayedValue(e *estimate) float64 {
	idle := m.now.Sub(e.updatedAt) - time.Minute
	if idle <= 0 {
		return e.value
	}
	return e.value * math.Exp2(-idle.Seconds()/HalfLife.Seconds())
}

// estimateFor returns the estimate of a pair and creates it if there is none.
func (m *Model) estimateFor(p pair) *estimate {
	e := m.pairs[p]
	if e == nil {
		e = &estimate{updatedAt: m.now}
		m.pairs[p] = e
	}
	return e
}

// advance sets the time of the model. It ignores earlier times, which late events
// carry.
func (m *Model) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}
