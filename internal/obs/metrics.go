package obs

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// published serializes lookup and publication in expvar, which panics if a name is
// published twice.
var published sync.Mutex

// Metrics is a set of variables under one expvar name, e.g. "entry.entry-1".
// Several entries in one process use different names; the same name yields the
// same variables.
type Metrics struct {
	name string
	vars *expvar.Map
	mu   sync.Mutex
}

// NewMetrics returns the set with the given name and publishes it the first time. If
// the name is already published as a variable of another type, the set is not
// published.
func NewMetrics(name string) *Metrics {
	published.Lock()
	defer published.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Map); ok {
		return &Metrics{name: name, vars: v}
	}
	vars := new(expvar.Map).Init()
	if expvar.Get(name) == nil {
		expvar.Publish(name, vars)
	}
	return &Metrics{name: name, vars: vars}
}

// Counter counts events since the start of the process.
type Counter struct{ v *expvar.Int }

// Add adds n, which must not be negative.
func (c Counter) Add(n int64) { c.v.Add(n) }

// Value returns the number of events.
func (c Counter) Value() int64 { return c.v.Value() }

// Gauge is a current value, which may rise and fall.
type Gauge struct{ v *expvar.Int }

// Set sets the value to n.
func (g Gauge) Set(n int64) { g.v.Set(n) }

// Add adds n to the value; n may be negative.
func (g Gauge) Add(n int64) { g.v.Add(n) }

// Value returns the current value.
func (g Gauge) Value() int64 { return g.v.Value() }

// Counter returns the counter with the given name.
func (m *Metrics) Counter(name string) Counter {
	return Counter{variable(m, name, func() *expvar.Int { return new(expvar.Int) })}
}

// Gauge returns the gauge with the given name.
func (m *Metrics) Gauge(name string) Gauge {
	return Gauge{variable(m, name, func() *expvar.Int { return new(expvar.Int) })}
}

// Latency returns the latency summary with the given name.
func (m *Metrics) Latency(name string) *Latency { return variable(m, name, newLatency) }

// variable returns the existing variable of the set or adds one. A variable of
// another type under that name is replaced.
func variable[V expvar.Var](m *Metrics, name string, create func() V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.vars.Get(name).(V); ok {
		return v
	}
	v := create()
	m.vars.Set(name, v)
	return v
}

// Range and precision of a latency summary, in microseconds.
const (
	latencyMaxMicros = int64(time.Hour / time.Microsecond)
	latencyDigits    = 2
)

// Latency summarizes durations; it is published as JSON with milliseconds.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *Latency {
	return &Latency{h: hdrhistogram.New(1, latencyMaxMicros, latencyDigits)}
}

// Observe records one duration. Durations beyond an hour count as an hour.
func (l *Latency) Observe(d time.Duration) {
	micros := min(max(d.Microseconds(), 1), latencyMaxMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of range, and micros is within it.
	_ = l.h.RecordValue(micros)
}

// LatencySummary is the JSON form of a Latency, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Summary returns the quantiles of all durations so far.
func (l *Latency) Summary() LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	q := func(p float64) float64 { return millis(l.h.ValueAtQuantile(p)) }
	return LatencySummary{
		Count: l.h.TotalCount(), Mean: l.h.Mean() / 1000,
		P50: q(50), P90: q(90), P99: q(99), P999: q(99.9), Max: millis(l.h.Max()),
	}
}

// String implements expvar.Var.
func (l *Latency) String() string {
	// A struct of numbers always encodes.
	b, _ := json.Marshal(l.Summary())
	return string(b)
}
