// Package load is an open-loop load generator against the HTTP API of the
// entries. Arrivals follow a plan that depends only on its settings and the seed.
// Latency is measured from the intended arrival, so that it includes the delay of
// a generator that falls behind (no coordinated omission).
package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Limits of a plan.
const (
	maxArrivals = 2_000_000
	maxRate     = 100_000 // per second
	maxLength   = 24 * time.Hour
)

// Schedule is the offered rate over time: a base rate and one crest.
type Schedule struct {
	BaseRate      float64 `json:"base_rate"`       // requests per second
	CrestFactor   float64 `json:"crest_factor"`    // rate in the crest relative to the base rate; 0: no crest
	CrestStartMs  int64   `json:"crest_start_ms"`  // from the start
	CrestLengthMs int64   `json:"crest_length_ms"` // 0: no crest
	LengthMs      int64   `json:"length_ms"`       // of the whole run
}

// MixItem is one kind of request in the mix.
type MixItem struct {
	Template   string            `json:"template"`
	Class      string            `json:"class"` // label of the report, e.g. urgent
	Share      float64           `json:"share"` // relative to the other items
	Customers  []string          `json:"customers"`
	Parameters map[string]string `json:"parameters,omitempty"`
	TimeoutMs  int64             `json:"timeout_ms"`
	Key        bool              `json:"key,omitempty"` // send an Idempotency-Key
}

// JobItem is one kind of job, submitted at its own rate without a crest.
type JobItem struct {
	Template   string            `json:"template"`
	Customer   string            `json:"customer"`
	Count      int               `json:"count"` // tasks
	Parameters map[string]string `json:"parameters,omitempty"`
	PerMinute  float64           `json:"per_minute"`
}

// Arrival is one planned request or job.
type Arrival struct {
	At       time.Duration // intended, from the start
	ID       string        // also the idempotency key
	Item     int           // index in the mix or in the jobs
	Job      bool
	Customer string
}

// Plan is what a run offers.
type Plan struct {
	Seed     uint64    `json:"seed"`
	RunID    string    `json:"run_id"` // prefix of ids; it must differ between runs against one system
	Schedule Schedule  `json:"schedule"`
	Mix      []MixItem `json:"mix"`
	Jobs     []JobItem `json:"jobs,omitempty"`
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// RateAt returns the offered rate in requests per second at a time.
func (s Schedule) RateAt(at time.Duration) float64 {
	start := milliseconds(s.CrestStartMs)
	if s.CrestFactor > 0 && at >= start && at < start+milliseconds(s.CrestLengthMs) {
		return s.BaseRate * s.CrestFactor
	}
	return s.BaseRate
}

// peak returns the highest rate of the schedule in requests per second.
func (s Schedule) peak() float64 {
	if s.CrestLengthMs > 0 {
		return s.BaseRate * max(s.CrestFactor, 1)
	}
	return s.BaseRate
}

// Validate returns all errors of the plan, joined.
func (p Plan) Validate() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf("load: "+format, args...)) }
	s := p.Schedule
	if length := milliseconds(s.LengthMs); length <= 0 || length > maxLength || s.CrestStartMs < 0 || s.CrestLengthMs < 0 {
		fail("schedule: length must be in (0, %v] and the crest must not be negative", maxLength)
	}
	if !(s.BaseRate >= 0) || !(s.CrestFactor >= 0) || !(s.peak() <= maxRate) {
		fail("schedule: rates must be in [0, %d] per second", maxRate)
	}
	if s.peak()*float64(s.LengthMs)/1000 > maxArrivals {
		fail("schedule: more than %d requests at the peak rate", maxArrivals)
	}
	if s.BaseRate > 0 && len(p.Mix) == 0 {
		fail("mix: empty")
	}
	for i, m := range p.Mix {
		if m.Template == "" || len(m.Customers) == 0 || !(m.Share > 0) || math.IsInf(m.Share, 0) || m.TimeoutMs <= 0 {
			fail("mix %d: needs a template, customers, a positive share and a positive timeout", i)
		}
	}
	for i, j := range p.Jobs {
		if j.Template == "" || j.Customer == "" || j.Count < 1 || !(j.PerMinute > 0 && j.PerMinute <= maxRate) {
			fail("job %d: needs a template, a customer, a count and a rate", i)
		}
	}
	return errors.Join(errs...)
}

// Streams of the random number generators. They are separate, so that a change of
// the jobs does not change the requests.
const (
	requestStream = 1
	jobStream     = 2
)

// Arrivals returns the arrivals in order of time. The same plan gives the same
// arrivals.
func (p Plan) Arrivals() ([]Arrival, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	out := p.requestArrivals(rand.New(rand.NewPCG(p.Seed, requestStream)))
	for i, j := range p.Jobs {
		out = append(out, p.jobArrivals(rand.New(rand.NewPCG(p.Seed, jobStream+uint64(i))), i, j)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out, nil
}

// requestArrivals draws a Poisson process at the peak rate and drops arrivals at
// random down to the rate of the schedule.
func (p Plan) requestArrivals(r *rand.Rand) []Arrival {
	var out []Arrival
	peak, length := p.Schedule.peak(), milliseconds(p.Schedule.LengthMs)
	if peak == 0 {
		return nil
	}
	for at := exponentialGap(r, peak); at < length; at += exponentialGap(r, peak) {
		accept, item, customer := r.Float64(), p.pickItem(r), r.Uint64()
		if accept*peak >= p.Schedule.RateAt(at) {
			continue
		}
		customers := p.Mix[item].Customers
		out = append(out, Arrival{
			At: at, ID: p.arrivalID("r", len(out)), Item: item,
			Customer: customers[customer%uint64(len(customers))],
		})
	}
	return out
}

// jobArrivals draws a Poisson process at the rate of one job item.
func (p Plan) jobArrivals(r *rand.Rand, item int, j JobItem) []Arrival {
	var out []Arrival
	length := milliseconds(p.Schedule.LengthMs)
	perSecond := j.PerMinute / 60
	for at := exponentialGap(r, perSecond); at < length && len(out) < maxArrivals; at += exponentialGap(r, perSecond) {
		out = append(out, Arrival{At: at, ID: p.arrivalID("j"+strconv.Itoa(item), len(out)), Item: item, Job: true, Customer: j.Customer})
	}
	return out
}

func (p Plan) arrivalID(kind string, n int) string {
	run := p.RunID
	if run == "" {
		run = "load-" + strconv.FormatUint(p.Seed, 10)
	}
	return run + "-" + kind + "-" + strconv.Itoa(n)
}

// exponentialGap draws the time between two arrivals of a Poisson process with a
// rate per second.
func exponentialGap(r *rand.Rand, rate float64) time.Duration {
	gap := r.ExpFloat64() / rate * float64(time.Second)
	return time.Duration(min(gap, float64(2*maxLength)))
}

// pickItem draws an item of the mix by its share.
func (p Plan) pickItem(r *rand.Rand) int {
	total := 0.0
	for _, m := range p.Mix {
		total += m.Share
	}
	x := r.Float64() * total
	for i, m := range p.Mix {
		if x -= m.Share; x < 0 {
			return i
		}
	}
	return len(p.Mix) - 1
}
