// Package sizes corrects declared task sizes by the observed peak usage. The package is
// pure: it has no goroutines and does no I/O.
//
// The planned size is the largest peak of the last Window attempts of a template. With
// 59 or more peaks it covers the peak of 95% of the tasks with a confidence of 95%
// (1 - 0.95^59 > 0.95). With fewer peaks a declared size is never reduced, but it is
// raised as soon as an attempt has used more.
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

// peakRing holds the last Window peaks of a template.
type peakRing struct {
	peaks   [Window]structs.Resources
	count   int               // number of peaks observed so far
	maxPeak structs.Resources // maximum of peaks in each dimension, without accelerators
}

// Estimator plans sizes from the observed peaks of each template. It is not safe for
// concurrent use.
type Estimator struct {
	templates map[string]*peakRing
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{templates: map[string]*peakRing{}} }

// Observe records the peak usage of a finished attempt.
func (e *Estimator) Observe(template string, peak structs.Resources) {
	r := e.templates[template]
	if r == nil {
		r = &peakRing{}
		e.templates[template] = r
	}
	r.peaks[r.count%Window] = peak
	r.count++
	r.maxPeak = structs.Resources{}
	for _, p := range r.peaks[:min(r.count, Window)] {
		r.maxPeak = structs.Resources{MilliCPU: max(r.maxPeak.MilliCPU, p.MilliCPU), MemoryMB: max(r.maxPeak.MemoryMB, p.MemoryMB)}
	}
}

// Confidence returns the confidence that the largest observed peak covers Coverage of
// the tasks of the template.
func (e *Estimator) Confidence(template string) float64 {
	r := e.templates[template]
	if r == nil {
		return 0
	}
	return 1 - math.Pow(Coverage, float64(min(r.count, Window)))
}

// Plan returns the planned size of a task: the largest observed peak, but at least the
// declared size while the confidence is below MinConfidence. Accelerators are whole
// devices and stay as declared.
func (e *Estimator) Plan(template string, declared structs.Resources) structs.Resources {
	r := e.templates[template]
	if r == nil {
		return declared
	}
	out := structs.Resources{MilliCPU: max(declared.MilliCPU, r.maxPeak.MilliCPU), MemoryMB: max(declared.MemoryMB, r.maxPeak.MemoryMB), Accelerators: declared.Accelerators}
	if e.Confidence(template) >= MinConfidence {
		out.MilliCPU, out.MemoryMB = r.maxPeak.MilliCPU, r.maxPeak.MemoryMB
	}
	return out
}
