// Package bench measures how traffic, store calls, memory and processor time of
// entries and agents grow with the size of a deployment, and computes the
// capacity page from the measured slopes.
//
// A case starts real entries and agents over loopback with stand-ins in
// process, at three or more sizes, and repeats every measurement. The result is
// one JSON object, see Result.
package bench

import (
	"encoding/json"
	"fmt"
	"os"
)

// Schema names the JSON form of a Result.
const Schema = "vanillalock/bench/1"

// Result is the outcome of one or more runs, written as one JSON object.
type Result struct {
	Schema    string   `json:"schema"`
	GoVersion string   `json:"go_version"`
	Platform  string   `json:"platform"` // GOOS/GOARCH
	CPUs      int      `json:"cpus"`
	Seed      uint64   `json:"seed"`
	Repeats   int      `json:"repeats"`
	Series    []Series `json:"series"`
}

// Series is one quantity measured at several sizes.
type Series struct {
	Name    string    `json:"name"`
	Case    string    `json:"case"`
	Unit    string    `json:"unit"`    // of Y
	X       string    `json:"x"`       // what X counts
	Command string    `json:"command"` // of the run that measured it
	Sizes   []float64 `json:"sizes"`
	Samples []Sample  `json:"samples"`
	// Slope and Intercept are the least-squares line through the medians of the
	// repeats at each size.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeMin and SlopeMax are the lowest and highest slope of the lines through
	// the samples of one repeat each.
	SlopeMin float64 `json:"slope_min"`
	SlopeMax float64 `json:"slope_max"`
	// InterceptMin and InterceptMax are the intercepts of the same lines.
	InterceptMin float64 `json:"intercept_min"`
	InterceptMax float64 `json:"intercept_max"`
}

// Sample is one measurement.
type Sample struct {
	X      float64 `json:"x"`
	Repeat int     `json:"repeat"` // from 0
	Y      float64 `json:"y"`
}

// At returns the fitted value at a size.
func (s Series) At(x float64) float64 { return s.Intercept + s.Slope*x }

// Find returns a series by name.
func (r Result) Find(name string) (Series, error) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, fmt.Errorf("the result has no series %q", name)
}

// Load reads a result from a file.
func Load(path string) (Result, error) {
	var r Result
	data, err := os.ReadFile(path)
	if err != nil {
		return r, fmt.Errorf("read result: %w", err)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", path, err)
	}
	if r.Schema != Schema {
		return r, fmt.Errorf("%s has schema %q, not %q", path, r.Schema, Schema)
	}
	return r, nil
}

// Save writes the result to a file.
func (r Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}
