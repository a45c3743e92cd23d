// Package report renders the JSON results of measurements as text and as one
// self-contained HTML page. Two results can be compared.
package report

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
)

// MaxResultBytes bounds a result file.
const MaxResultBytes = 32 << 20

// Limits of a result; a plot of more would not be readable.
const (
	maxItems  = 100
	maxPoints = 100_000
)

// Result is the outcome of one run, as the measuring tools write it in JSON.
type Result struct {
	Title      string       `json:"title"`
	Command    string       `json:"command"` // reproduces the run
	Seed       uint64       `json:"seed"`
	Series     []Series     `json:"series,omitempty"`
	Histograms []Histogram  `json:"histograms,omitempty"`
	Bars       []Comparison `json:"bars,omitempty"`
	Tables     []Table      `json:"tables,omitempty"`
}

// CommandWithSeed returns the command with the seed.
func (r Result) CommandWithSeed() string {
	if strings.Contains(r.Command, "--seed ") {
		return r.Command
	}
	return fmt.Sprintf("%s, seed %d", r.Command, r.Seed)
}

// Series is a value over time. Series of the same plot share its axes.
type Series struct {
	Plot   string       `json:"plot"`
	Name   string       `json:"name"`
	Unit   string       `json:"unit"`
	Points [][2]float64 `json:"points"` // seconds since the start, value; ordered by time
}

// Histogram is the latency distribution of one class.
type Histogram struct {
	Class   string   `json:"class"`
	Buckets []Bucket `json:"buckets"` // ordered by UpToMs
}

// Bucket counts the latencies above the previous bucket, up to UpToMs.
type Bucket struct {
	UpToMs float64 `json:"up_to_ms"`
	Count  int64   `json:"count"`
}

// Comparison is one quantity measured with a policy and with its baseline, in the
// same run.
type Comparison struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Policy   float64 `json:"policy"`
	Baseline float64 `json:"baseline"`
}

// Ratio returns policy / baseline, or NaN if the baseline is 0.
func (c Comparison) Ratio() float64 {
	if c.Baseline == 0 {
		return math.NaN()
	}
	return c.Policy / c.Baseline
}

// Table is a table of text.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Read decodes and checks one result: a Result, or the JSON report of a
// demonstration or of a load run.
func Read(r io.Reader) (Result, error) {
	var out Result
	data, err := io.ReadAll(io.LimitReader(r, MaxResultBytes+1))
	if err != nil {
		return out, fmt.Errorf("reading the result: %w", err)
	}
	if len(data) > MaxResultBytes {
		return out, fmt.Errorf("the result exceeds %d bytes", MaxResultBytes)
	}
	if out, err = decode(data); err != nil {
		return out, fmt.Errorf("decoding the result: %w", err)
	}
	return out, out.Check()
}

// Check reports every part of the result that cannot be drawn.
func (r Result) Check() error {
	var errs []error
	if r.Title == "" {
		errs = append(errs, errors.New("title is missing"))
	}
	if len(r.Series) > maxItems || len(r.Histograms) > maxItems || len(r.Bars) > maxItems || len(r.Tables) > maxItems {
		errs = append(errs, fmt.Errorf("more than %d series, histograms, bars or tables", maxItems))
	}
	for _, s := range r.Series {
		if err := s.check(); err != nil {
			errs = append(errs, fmt.Errorf("series %q: %w", s.Name, err))
		}
	}
	for _, h := range r.Histograms {
		if err := h.check(); err != nil {
			errs = append(errs, fmt.Errorf("histogram %q: %w", h.Class, err))
		}
	}
	for _, b := range r.Bars {
		if b.Policy < 0 || b.Baseline < 0 {
			errs = append(errs, fmt.Errorf("bar %q: negative value", b.Name))
		}
	}
	for _, t := range r.Tables {
		for i, row := range t.Rows {
			if len(row) != len(t.Columns) {
				errs = append(errs, fmt.Errorf("table %q: row %d has %d cells, expected %d", t.Title, i+1, len(row), len(t.Columns)))
			}
		}
	}
	return errors.Join(errs...)
}

func (s Series) check() error {
	if len(s.Points) > maxPoints {
		return fmt.Errorf("more than %d points", maxPoints)
	}
	for i := 1; i < len(s.Points); i++ {
		if s.Points[i][0] < s.Points[i-1][0] {
			return fmt.Errorf("point %d is earlier than the one before", i+1)
		}
	}
	return nil
}

func (h Histogram) check() error {
	if len(h.Buckets) > maxPoints {
		return fmt.Errorf("more than %d buckets", maxPoints)
	}
	last := 0.0
	for i, b := range h.Buckets {
		if b.UpToMs <= last {
			return fmt.Errorf("bucket %d is not above the one before", i+1)
		}
		if b.Count < 0 {
			return fmt.Errorf("bucket %d has a negative count", i+1)
		}
		last = b.UpToMs
	}
	return nil
}

// Total returns the number of latencies.
func (h Histogram) Total() int64 {
	var n int64
	for _, b := range h.Buckets {
		n += b.Count
	}
	return n
}

// Quantile returns the upper bound of the bucket that holds quantile q (0 to
// 1), in milliseconds; 0 without latencies.
func (h Histogram) Quantile(q float64) float64 {
	rank := max(int64(math.Ceil(q*float64(h.Total()))), 1)
	for _, b := range h.Buckets {
		if rank -= b.Count; rank <= 0 {
			return b.UpToMs
		}
	}
	return 0
}
