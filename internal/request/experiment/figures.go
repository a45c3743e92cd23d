package experiment

import (
	"slices"
	"sync"
	"time"
)

// Figures are the results of one run. Latencies, waits and shares are those of the
// requests that arrived in the measured span; goodput and work are those of the
// answers in the measured span. The short requests are the urgent ones.
type Figures struct {
	span          time.Duration // length of the measured span
	urgentOffered int
	longOffered   int
	inTime        int // answered within the deadline
	urgentInTime  int
	longInTime    int
	failures      int             // attempts that an upstream failed
	work          time.Duration   // run time of the answers within the deadline
	latencies     []time.Duration // urgent, of answered requests
	waits         []time.Duration // urgent, from arrival to start
}

// covers reports whether a request arrived in the measured span.
func (f *Figures) covers(m *model, r *request) bool {
	since := r.arrived.Sub(m.start)
	return since >= m.scenario.From && since < m.scenario.To
}

// offer counts a request that arrives.
func (f *Figures) offer(m *model, r *request) {
	if !f.covers(m, r) {
		return
	}
	if r.long {
		f.longOffered++
	} else {
		f.urgentOffered++
	}
}

// started records the wait of a request that starts to run.
func (f *Figures) started(m *model, r *request) {
	if f.covers(m, r) && !r.long {
		f.waits = append(f.waits, m.now.Sub(r.arrived))
	}
}

// answered records a request that is answered successfully.
func (f *Figures) answered(m *model, r *request) {
	inTime := !m.now.After(r.deadline)
	if since := m.now.Sub(m.start); inTime && since >= m.scenario.From && since < m.scenario.To {
		f.inTime++
		f.work += r.run
	}
	if !f.covers(m, r) {
		return
	}
	if r.long {
		if inTime {
			f.longInTime++
		}
		return
	}
	f.latencies = append(f.latencies, m.now.Sub(r.arrived))
	if inTime {
		f.urgentInTime++
	}
}

// finish sorts the samples at the end of the run.
func (f *Figures) finish() {
	slices.Sort(f.latencies)
	slices.Sort(f.waits)
}

// Goodput returns the answers within the deadline per second.
func (f *Figures) Goodput() float64 { return float64(f.inTime) / f.span.Seconds() }

// Work returns the run time of the answers within the deadline per second.
func (f *Figures) Work() float64 { return f.work.Seconds() / f.span.Seconds() }

// UrgentInTime returns the share of urgent requests answered in time.
func (f *Figures) UrgentInTime() float64 { return share(f.urgentInTime, f.urgentOffered) }

// Failures returns the attempts that an upstream failed, per offered request.
func (f *Figures) Failures() float64 { return share(f.failures, f.urgentOffered+f.longOffered) }

// LongInTime returns the share of long requests answered in time.
func (f *Figures) LongInTime() float64 { return share(f.longInTime, f.longOffered) }

// Latency returns a quantile of the latency of answered urgent requests.
func (f *Figures) Latency(q float64) time.Duration { return quantile(f.latencies, q) }

// Wait returns a quantile of the wait of urgent requests until their start.
func (f *Figures) Wait(q float64) time.Duration { return quantile(f.waits, q) }

func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Seeds are the fixed seeds of all experiments.
var Seeds = []uint64{1, 2, 3, 4, 5}

// Median runs a scenario with every seed and returns the median of a figure.
func Median(s Scenario, figure func(*Figures) float64) float64 {
	return medianOfRuns(RunAll(s), figure)
}

func medianOfRuns(runs []*Figures, figure func(*Figures) float64) float64 {
	var all []float64
	for _, f := range runs {
		all = append(all, figure(f))
	}
	return MedianOf(all)
}

// RunAll runs a scenario with every seed.
func RunAll(s Scenario) []*Figures {
	out := make([]*Figures, len(Seeds))
	var wg sync.WaitGroup
	for i, seed := range Seeds {
		wg.Go(func() { out[i] = Run(s, seed) })
	}
	wg.Wait()
	return out
}

// MedianOf returns the median of an odd number of values.
func MedianOf(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
