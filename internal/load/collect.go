package load

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision.
const (
	minLatencyUs      = 1
	maxLatencyUs      = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Outcomes of a request as the report counts them. The first three are stated
// by the system; unreached requests never got a connection, and shed ones were
// not offered because the generator had too many in flight.
const (
	outcomeDone      = "done"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
	outcomeUnreached = "unreached"
	outcomeShed      = "shed"
)

// observation is the result of one request.
type observation struct {
	arrival Arrival
	item    MixItem
	outcome string
	code    string // result code, or "none" without an answer
	latency time.Duration
	tries   int
	wrong   bool // the answer is malformed or does not belong to the request
}

// series holds the counts and latencies of one template and class.
type series struct {
	counts    Counts
	latencies *hdrhistogram.Histogram // of done requests
}

// second holds the requests of one second of the run, by intended arrival.
type second struct {
	counts    Counts
	latencies []int64 // microseconds, of done requests
}

// collector aggregates observations. It is safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	total   series
	groups  map[groupKey]*series
	seconds []second
	codes   map[string]int
	notRun  []string
	wrong   []string
	jobs    JobCounts
	jobTime *hdrhistogram.Histogram // submission to the last task's end
}

type groupKey struct{ template, class string }

func newSeries() series {
	return series{latencies: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits)}
}

func newCollector(length time.Duration) *collector {
	return &collector{
		total: newSeries(), groups: map[groupKey]*series{}, codes: map[string]int{},
		seconds: make([]second, int((length+time.Second-1)/time.Second)),
		jobTime: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits),
	}
}

func (c *collector) add(o observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := groupKey{o.item.Template, o.item.Class}
	group, ok := c.groups[key]
	if !ok {
		s := newSeries()
		group = &s
		c.groups[key] = group
	}
	at := &c.seconds[min(int(o.arrival.At/time.Second), len(c.seconds)-1)]
	for _, counts := range []*Counts{&c.total.counts, &group.counts, &at.counts} {
		counts.add(o)
	}
	c.codes[o.code]++
	switch o.outcome {
	case outcomeDone:
		us := min(max(o.latency.Microseconds(), minLatencyUs), maxLatencyUs)
		_ = c.total.latencies.RecordValue(us)
		_ = group.latencies.RecordValue(us)
		at.latencies = append(at.latencies, us)
	case outcomeNotRun:
		c.notRun = append(c.notRun, o.arrival.ID)
	}
	if o.wrong {
		c.wrong = append(c.wrong, o.arrival.ID)
	}
}

func (n *Counts) add(o observation) {
	n.Offered++
	n.Retries += max(o.tries-1, 0)
	switch o.outcome {
	case outcomeDone:
		n.Done++
		if o.code != "0" {
			n.Failed++
		} else if o.latency <= milliseconds(o.item.TimeoutMs) {
			n.InTime++
		}
	case outcomeNotRun:
		n.NotRun++
	case outcomeUnreached:
		n.Unreached++
	case outcomeShed:
		n.Shed++
	default:
		n.Unknown++
	}
	if o.wrong {
		n.Wrong++
	}
}

func (c *collector) updateJobs(f func(n *JobCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.jobs)
}

func (c *collector) recordJobTime(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.jobTime.RecordValue(min(max(took.Microseconds(), minLatencyUs), maxLatencyUs))
}

// report builds the report. It may be called once the run is over.
func (c *collector) report(p Plan) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Schema: Schema, Plan: p, Total: newGroup(groupKey{"total", "all"}, &c.total), Groups: []Group{},
		Codes: c.codes, Seconds: make([]Second, len(c.seconds)), Jobs: c.jobs, JobTime: summarizeLatency(c.jobTime),
		NotRunIDs: c.notRun, WrongIDs: c.wrong,
	}
	for key, s := range c.groups {
		r.Groups = append(r.Groups, newGroup(key, s))
	}
	slices.SortFunc(r.Groups, func(a, b Group) int { return compareStringPairs(a.Template, b.Template, a.Class, b.Class) })
	slices.Sort(r.NotRunIDs)
	slices.Sort(r.WrongIDs)
	for i := range c.seconds {
		s := &c.seconds[i]
		slices.Sort(s.latencies)
		r.Seconds[i] = Second{Second: i, Counts: s.counts, P50Us: quantile(s.latencies, 0.50), P99Us: quantile(s.latencies, 0.99)}
	}
	return r
}

func newGroup(key groupKey, s *series) Group {
	return Group{Template: key.template, Class: key.class, Counts: s.counts, Latency: summarizeLatency(s.latencies)}
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), MeanUs: int64(h.Mean()), P50Us: h.ValueAtQuantile(50), P90Us: h.ValueAtQuantile(90),
		P99Us: h.ValueAtQuantile(99), P999Us: h.ValueAtQuantile(99.9), MaxUs: h.Max(),
	}
}

// quantile is the nearest-rank quantile of sorted values, 0 without values.
func quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

func codeName(code uint32) string { return strconv.FormatUint(uint64(code), 10) }
