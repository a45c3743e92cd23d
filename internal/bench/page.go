package bench

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
)

// Markers of the generated part of the capacity page, docs/capacity-bench.md.
const (
	beginMarker = "<!-- begin generated from docs/capacity.json -->"
	endMarker   = "<!-- end generated -->"
)

// errNoMarkers means that a page lacks the markers of its generated part.
var errNoMarkers = errors.New("the page has no markers for generated tables")

// Tables returns the generated part of the capacity page.
func Tables(r Result) (string, error) {
	page, err := evaluate(r)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Measured with %s, %s, %d processors, %d repeats at each size.\n", r.GoVersion, r.Platform, r.CPUs, r.Repeats)
	for _, g := range page.groups {
		writeGroup(&b, r, g)
	}
	b.WriteString("\n### The items of the future scale\n\n| item | in figures | mechanism, and what gives way first |\n| --- | --- | --- |\n")
	for _, item := range page.items {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", item[0], item[1], item[2])
	}
	writeCounts(&b, page.counts)
	writeOverBudget(&b, page.groups)
	writeSeries(&b, r)
	return b.String(), nil
}

func writeGroup(b *strings.Builder, r Result, g group) {
	fmt.Fprintf(b, "\n### %s\n\n", g.title)
	b.WriteString("| figure | formula | slope (spread) | at the future scale | budget | used | carried by | gives way first |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range g.rows {
		budget, used := "–", "–"
		if row.budget > 0 {
			budget, used = formatValue(row.budget, row.unit), fmt.Sprintf("%.0f%%", 100*row.value/row.budget)
			if row.overBudget() {
				used = "**" + used + "**"
			}
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", row.quantity, row.formula, slopes(r, row.names),
			formatValue(row.value, row.unit), budget, used, row.mechanism, row.bottleneck)
	}
}

// slopes lists the series of a figure with slope, spread and case.
func slopes(r Result, names []string) string {
	var out []string
	for _, name := range names {
		if s, err := r.Find(name); err == nil {
			out = append(out, fmt.Sprintf("`%s` %.3g (%.3g to %.3g)", name, s.Slope, s.SlopeMin, s.SlopeMax))
		}
	}
	if len(out) == 0 {
		return "as above"
	}
	return strings.Join(out, "; ")
}

// writeCounts writes the costs for different numbers of entries.
func writeCounts(b *strings.Builder, counts []entryCount) {
	b.WriteString("\n### Entries in each region\n\n| entries | traffic of an agent | with headers | traffic of an entry | heap of an entry | processor of an entry | tasks of an entry |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range counts {
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %.0f |\n", c.entries, formatValue(c.agentBytes, "B/s"), formatValue(c.agentWireBytes, "B/s"),
			formatValue(c.entryBytes, "B/s"), formatValue(c.heap, "B"), formatValue(c.core, "core"), c.load)
	}
}

// writeOverBudget lists the figures over their budgets.
func writeOverBudget(b *strings.Builder, groups []group) {
	b.WriteString("\n### Over the budget\n\n")
	none := true
	for _, g := range groups {
		for _, row := range g.rows {
			if row.overBudget() {
				none = false
				fmt.Fprintf(b, "- %s, %s: %s of %s.\n", g.title, row.quantity, formatValue(row.value, row.unit), formatValue(row.budget, row.unit))
			}
		}
	}
	if none {
		b.WriteString("No figure is over its budget.\n")
	}
}

// writeSeries writes one row for each measured series.
func writeSeries(b *strings.Builder, r Result) {
	b.WriteString("\n### Measured slopes\n\nThe spread is the lowest and highest slope of the lines through one repeat each.\n\n")
	b.WriteString("| series | unit | per | sizes | slope | spread | at 0 | case | command |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Series {
		sizes := strings.Trim(fmt.Sprint(s.Sizes), "[]")
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %.4g | %.4g to %.4g | %.4g | %s | `%s` |\n",
			s.Name, s.Unit, s.X, sizes, s.Slope, s.SlopeMin, s.SlopeMax, s.Intercept, s.Case, s.Command)
	}
}

// formatValue formats a value with three significant digits and a unit prefix.
func formatValue(v float64, unit string) string {
	prefixed := map[string]bool{"B": true, "B/s": true}
	switch {
	case prefixed[unit] && math.Abs(v) >= 1e6:
		return fmt.Sprintf("%.3g M%s", v/1e6, unit)
	case prefixed[unit] && math.Abs(v) >= 1e3:
		return fmt.Sprintf("%.3g K%s", v/1e3, unit)
	case math.Abs(v) >= 100 && math.Abs(v) < 1e6:
		return fmt.Sprintf("%.0f %s", v, unit)
	case unit == "core":
		return fmt.Sprintf("%.3g%% of a core", 100*v)
	case unit == "s" && math.Abs(v) < 1e-3:
		return fmt.Sprintf("%.3g µs", v*1e6)
	case unit == "s" && math.Abs(v) < 1:
		return fmt.Sprintf("%.3g ms", v*1e3)
	default:
		return fmt.Sprintf("%.3g %s", v, unit)
	}
}

// replaceTables returns the page with its generated part replaced.
func replaceTables(page, tables string) (string, error) {
	begin, end := strings.Index(page, beginMarker), strings.Index(page, endMarker)
	if begin < 0 || end < begin {
		return "", errNoMarkers
	}
	return page[:begin+len(beginMarker)] + "\n\n" + tables + "\n" + page[end:], nil
}

// UpdatePage writes the tables of a result file into a page.
func UpdatePage(page, result string) error {
	r, err := Load(result)
	if err != nil {
		return err
	}
	tables, err := Tables(r)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	next, err := replaceTables(string(old), tables)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	if err := os.WriteFile(page, []byte(next), 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
