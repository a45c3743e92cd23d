package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// ErrDifferentPlans is returned for reports of different plans: their arrivals
// differ, so that ratios of their latencies say nothing about the systems.
var ErrDifferentPlans = errors.New("load: the reports are of different plans")

// Comparison compares one group of two reports. Ratios are other / base, or 0 if
// the base value is 0.
type Comparison struct {
	Template    string  `json:"template"`
	Class       string  `json:"class"`
	BaseInTime  float64 `json:"base_in_time"`  // share of the offered requests
	OtherInTime float64 `json:"other_in_time"` // share of the offered requests
	P50Ratio    float64 `json:"p50_ratio"`
	P99Ratio    float64 `json:"p99_ratio"`
	P999Ratio   float64 `json:"p999_ratio"`
}

// Compare compares two reports of the same plan, groups first and the total last.
// The run ids may differ.
func Compare(base, other Report) ([]Comparison, error) {
	a, b := base.Plan, other.Plan
	a.RunID, b.RunID = "", ""
	// Compared as JSON, which does not tell an empty list from a missing one.
	first, errA := json.Marshal(a)
	second, errB := json.Marshal(b)
	if err := errors.Join(errA, errB); err != nil {
		return nil, fmt.Errorf("load: compare: %w", err)
	}
	if base.Schema != other.Schema || !bytes.Equal(first, second) {
		return nil, ErrDifferentPlans
	}
	groups := map[groupKey]Group{}
	for _, g := range other.Groups {
		groups[groupKey{g.Template, g.Class}] = g
	}
	out := make([]Comparison, 0, len(base.Groups)+1)
	for _, g := range base.Groups {
		out = append(out, compareGroups(g, groups[groupKey{g.Template, g.Class}]))
	}
	return append(out, compareGroups(base.Total, other.Total)), nil
}

func compareGroups(base, other Group) Comparison {
	return Comparison{
		Template: base.Template, Class: base.Class,
		BaseInTime: ratio(base.InTime, base.Offered), OtherInTime: ratio(other.InTime, other.Offered),
		P50Ratio: ratio(other.Latency.P50Us, base.Latency.P50Us), P99Ratio: ratio(other.Latency.P99Us, base.Latency.P99Us),
		P999Ratio: ratio(other.Latency.P999Us, base.Latency.P999Us),
	}
}

func ratio[N int | int64](a, b N) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteComparison writes the comparisons as a text table.
func WriteComparison(w io.Writer, rows []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "template\tclass\tin time, base\tin time, other\tp50 ratio\tp99 ratio\tp99.9 ratio\t")
	for _, c := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%.2f\t%.2f\t%.2f\t\n", c.Template, c.Class, c.BaseInTime, c.OtherInTime, c.P50Ratio, c.P99Ratio, c.P999Ratio)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("load: write comparison: %w", err)
	}
	return nil
}
