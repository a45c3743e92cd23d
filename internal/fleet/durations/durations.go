// Package durations learns how long tasks run compared with the estimates of their
// callers. It has no I/O and no clock.
//
// It answers a load whose estimates are off by 20% to 90%, in a way that is common to
// the tasks of one image, or to those of one queue that have the same shape. Recent
// runs count more, because the error of a class changes when its callers change.
package durations

import (
	"math/bits"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

const (
	// memory is the number of ended runs over which the weight of a run falls to 1/e.
	// It spans a few jobs of 20 tasks, as the tasks of one job share their error.
	memory = 64
	// priorRuns is the number of ended runs that the prior, a run time equal to the
	// estimate, weighs as much as.
	priorRuns = 4
	// maxClasses bounds the memory, because callers choose the images: 4,096 classes
	// take less than 1 MB.
	maxClasses = 4096
)

// Class identifies tasks that are expected to share the error of their estimates.
type Class struct {
	Image  string `json:"image,omitempty"`
	Queue  string `json:"queue,omitempty"`
	CPU    int    `json:"cpu,omitempty"`    // of the need, as a power of two
	Memory int    `json:"memory,omitempty"` // likewise
	Fills  bool   `json:"fills,omitempty"`
}

// ClassOf returns the class of the tasks of a step of a queue's job: their image or,
// without one, the queue with the size of the tasks.
func ClassOf(queue string, s *fleet.Step) Class {
	if s.Image != "" {
		return Class{Image: s.Image}
	}
	return Class{Queue: queue, CPU: bits.Len64(uint64(max(0, s.Need.MilliCPU))), Memory: bits.Len64(uint64(max(0, s.Need.MemoryMB))), Fills: s.Fills}
}

// history sums up the ended runs of a class, with decay.
type history struct {
	runs            float64
	took, estimated float64 // seconds, of the runs with an estimate
	unestimated     float64 // number of runs without an estimate
	tookUnestimated float64 // seconds
	last            uint64  // number of the last run
}

// Model holds what has been learned. It is not safe for concurrent use.
type Model struct {
	classes map[Class]*history
	runs    uint64 // observed so far
}

// New returns a Model that has observed no runs.
func New() *Model { return &Model{classes: map[Class]*history{}} }

// Observe adds a run that has done its task: the estimate of the task (0: none) and how
// long the run took at full speed, from its beginning and beside its data.
func (m *Model) Observe(c Class, estimate, took time.Duration) {
	h := m.classes[c]
	if h == nil {
		m.makeRoom()
		h = &history{}
		m.classes[c] = h
	}
	m.runs++
	h.last = m.runs
	const keep = 1 - 1.0/memory
	h.runs, h.took, h.estimated = keep*h.runs, keep*h.took, keep*h.estimated
	h.unestimated, h.tookUnestimated = keep*h.unestimated, keep*h.tookUnestimated
	if estimate > 0 {
		h.runs++
		h.took += took.Seconds()
		h.estimated += estimate.Seconds()
		return
	}
	h.unestimated++
	h.tookUnestimated += took.Seconds()
}

// makeRoom removes the class whose last run is the oldest if there are too many.
func (m *Model) makeRoom() {
	if len(m.classes) < maxClasses {
		return
	}
	var oldest Class
	last := m.runs + 1
	for c, h := range m.classes {
		if h.last < last {
			oldest, last = c, h.last
		}
	}
	delete(m.classes, oldest)
}

// Ratio returns the expected ratio of run times to estimates of a class, 1 if nothing is
// known. It is a mean weighted by the estimates: a mean of the ratios themselves would
// follow the few estimates that are far too short.
func (m *Model) Ratio(c Class) float64 {
	h := m.classes[c]
	if h == nil || h.runs == 0 || h.estimated == 0 {
		return 1
	}
	prior := priorRuns * h.estimated / h.runs
	return (prior + h.took) / (prior + h.estimated)
}

// Expect returns the expected run time at full speed of a task with an estimate. Without an
// estimate (0) it is the mean of the class, or 0 if nothing is known.
func (m *Model) Expect(c Class, estimate time.Duration) time.Duration {
	return m.expectation(c).Expect(estimate)
}

func (m *Model) expectation(c Class) Expectation {
	out := Expectation{Class: c, Ratio: m.Ratio(c)}
	if h := m.classes[c]; h != nil && h.unestimated > 0 {
		out.Unestimated = time.Duration(h.tookUnestimated / h.unestimated * float64(time.Second))
	}
	return out
}

// Expectation is what a Model expects of a class.
type Expectation struct {
	Class       Class         `json:"class"`
	Ratio       float64       `json:"ratio"`
	Unestimated time.Duration `json:"unestimated,omitempty"` // run time of tasks without an estimate; 0: not known
}

// Expectations returns what the model expects of each known class, in no order.
func (m *Model) Expectations() []Expectation {
	out := make([]Expectation, 0, len(m.classes))
	for c := range m.classes {
		out = append(out, m.expectation(c))
	}
	return out
}

// Expect returns the run time as Model.Expect does, of a class with this expectation.
func (e Expectation) Expect(estimate time.Duration) time.Duration {
	if estimate > 0 {
		return time.Duration(e.Ratio * float64(estimate))
	}
	return e.Unestimated
}
