// Package sizes corrects declared task sizes by observed ones. The package is pure.
//
// The planned size is the largest peak of the last Window tasks of a template. With
// 59 or more peaks it covers the peak of 95% of the tasks with a confidence of 95%
// (1 - 0.95^59 > 0.95). With fewer peaks a declared size is never reduced; it is
// raised at once when a task has been seen to use more.
package sizes

import (
	"math"

	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// Window is the number of peaks kept per template.
	Window = 128
	// Coverage is the share of tasks that the planned size must cover.
	Coverage = 0.95
	// MinConfidence is the confidence below which no size is reduced.
	MinConfidence = 0.95
)

type ring struct {
	peaks [Window]structs.Resources
	n     int
	top   structs.Resources
}

// Estimator holds the observed peaks. It is not safe for concurrent use.
type Estimator struct {
	templates map[string]*ring
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{templates: map[string]*ring{}} }

// Observe takes the peak usage of one finished attempt.
func (e *Estimator) Observe(template string, peak structs.Resources) {
	r := e.templates[template]
	if r == nil {
		r = &ring{}
		e.templates[template] = r
	}
	r.peaks[r.n%Window] = peak
	r.n++
	r.top = structs.Resources{}
	for _, p := range r.peaks[:min(r.n, Window)] {
		r.top = structs.Resources{MilliCPU: max(r.top.MilliCPU, p.MilliCPU), MemoryMB: max(r.top.MemoryMB, p.MemoryMB)}
	}
}

// Confidence is the confidence that the largest observed peak covers Coverage of
// the tasks of the template.
func (e *Estimator) Confidence(template string) float64 {
	r := e.templates[template]
	if r == nil {
		return 0
	}
	return 1 - math.Pow(Coverage, float64(min(r.n, Window)))
}

// Plan returns the size to plan a task with. Accelerators are whole devices and
// stay as declared.
func (e *Estimator) Plan(template string, declared structs.Resources) structs.Resources {
	r := e.templates[template]
	if r == nil {
		return declared
	}
	out := structs.Resources{MilliCPU: max(declared.MilliCPU, r.top.MilliCPU), MemoryMB: max(declared.MemoryMB, r.top.MemoryMB), Accelerators: declared.Accelerators}
	if e.Confidence(template) >= MinConfidence {
		out.MilliCPU, out.MemoryMB = r.top.MilliCPU, r.top.MemoryMB
	}
	return out
}
