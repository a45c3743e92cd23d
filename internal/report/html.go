package report

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
)

// bar is one bar of the page with its label.
type bar struct {
	Name, Color, Value string
	Percent            float64 // of the longest bar of its group
}

// barGroup is the two bars of one Comparison.
type barGroup struct {
	Title, Ratio string
	Bars         []bar
}

// pageData is the input of pageTemplate.
type pageData struct {
	Results   []Result
	Plots     []plot
	Groups    []barGroup
	Quantiles Table
	Changes   Table
	Tables    []Table
}

// WriteHTML writes one page for one result, or for two that are compared. The
// page is self-contained: it loads no other resources.
func WriteHTML(w io.Writer, results ...Result) error {
	if err := checkResultCount(results); err != nil {
		return err
	}
	v := pageData{Results: results, Groups: barGroups(results), Quantiles: quantileTable(results), Changes: ratioTable(results), Tables: groupTables(results)}
	if p, ok := latencyPlot(results); ok {
		v.Plots = append(v.Plots, p)
	}
	v.Plots = append(v.Plots, seriesPlots(results)...)
	if err := pageTemplate.Execute(w, v); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

func checkResultCount(results []Result) error {
	if len(results) != 1 && len(results) != 2 {
		return fmt.Errorf("%d results, expected one or two", len(results))
	}
	return nil
}

func formatRatio(c Comparison) string {
	if r := c.Ratio(); !math.IsNaN(r) {
		return fmt.Sprintf("%.3g", r)
	}
	return "none: the baseline is 0"
}

func barGroups(results []Result) []barGroup {
	var out []barGroup
	for run, r := range results {
		for _, c := range r.Bars {
			longest := max(c.Policy, c.Baseline)
			part := func(v float64) float64 {
				if longest == 0 {
					return 0
				}
				return 100 * v / longest
			}
			out = append(out, barGroup{runLabel(c.Name, run, len(results)), formatRatio(c), []bar{
				{"policy", palette[0], formatNumber(c.Policy) + " " + c.Unit, part(c.Policy)},
				{"baseline", palette[1], formatNumber(c.Baseline) + " " + c.Unit, part(c.Baseline)},
			}})
		}
	}
	return out
}

// quantileTable returns the latency quantiles of all classes, with the runs of a
// class next to each other.
func quantileTable(results []Result) Table {
	t := Table{Title: "Latency in ms", Columns: []string{"class", "count", "p50", "p99", "p99.9"}}
	classes, groups := indexer{}, [][][]string{}
	for run, r := range results {
		for _, h := range r.Histograms {
			at := classes.index(h.Class)
			if at == len(groups) {
				groups = append(groups, nil)
			}
			groups[at] = append(groups[at], []string{runLabel(h.Class, run, len(results)), fmt.Sprint(h.Total()),
				formatNumber(h.Quantile(0.5)), formatNumber(h.Quantile(0.99)), formatNumber(h.Quantile(0.999))})
		}
	}
	t.Rows = slices.Concat(groups...)
	return t
}

// ratioTable returns the latency quantiles of the second result divided by those of
// the first, for the classes that both have. The title says so if the commands
// differ. The table is empty unless there are two results.
func ratioTable(results []Result) Table {
	t := Table{Title: "Latency, run 2 / run 1", Columns: []string{"class", "p50", "p99", "p99.9"}}
	if len(results) != 2 {
		return t
	}
	if results[0].Command != results[1].Command {
		t.Title += " (the commands differ)"
	}
	for _, before := range results[0].Histograms {
		i := slices.IndexFunc(results[1].Histograms, func(h Histogram) bool { return h.Class == before.Class })
		if i < 0 {
			continue
		}
		row := []string{before.Class}
		for _, q := range []float64{0.5, 0.99, 0.999} {
			row = append(row, formatRatio(Comparison{Policy: results[1].Histograms[i].Quantile(q), Baseline: before.Quantile(q)}))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// groupTables returns the tables of all results, those with the same title next to
// each other.
func groupTables(results []Result) []Table {
	titles, groups := indexer{}, [][]Table{}
	for run, r := range results {
		for _, t := range r.Tables {
			at := titles.index(t.Title)
			if at == len(groups) {
				groups = append(groups, nil)
			}
			t.Title = runLabel(t.Title, run, len(results))
			groups[at] = append(groups[at], t)
		}
	}
	return slices.Concat(groups...)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{(index .Results 0).Title}}</title>
<style>
:root { color-scheme: light dark; }
body { font: 16px/1.4 sans-serif; margin: 0 auto; padding: 0.5em; max-width: 46em; }
svg { width: 100%; height: auto; } svg text { font-size: 10px; fill: currentColor; }
.scroll { overflow-x: auto; } table { border-collapse: collapse; }
th, td { padding: 0.2em 0.6em; text-align: left; border-bottom: 1px solid #888; }
.track { height: 1em; } .track div { height: 100%; } .key { display: inline-block; margin-right: 1em; }
code { overflow-wrap: anywhere; }
</style></head><body>
{{range $i, $r := .Results}}<h1>{{.Title}}{{if gt (len $.Results) 1}} (run {{if eq $i 0}}1{{else}}2{{end}}){{end}}</h1><p><code>{{.CommandWithSeed}}</code></p>
{{end}}
{{range $p := .Plots}}<h2>{{.Title}}</h2>
<svg viewBox="0 0 {{.Width}} {{.Height}}" role="img" aria-label="{{.Title}}">
{{range .XTicks}}<line x1="{{.At}}" x2="{{.At}}" y1="{{$p.Top}}" y2="{{$p.Base}}" stroke="currentColor" stroke-opacity="0.15"/>
<text x="{{.At}}" y="{{$p.Base}}" dy="12" text-anchor="middle">{{.Text}}</text>
{{end}}{{range .YTicks}}<line x1="{{$p.Left}}" x2="{{$p.Right}}" y1="{{.At}}" y2="{{.At}}" stroke="currentColor" stroke-opacity="0.15"/>
<text x="{{$p.Left}}" y="{{.At}}" dx="-3" dy="3" text-anchor="end">{{.Text}}</text>
{{end}}{{range .Lines}}<polyline points="{{.Points}}" fill="none" stroke="{{.Color}}" stroke-width="{{.Width}}"{{if .Dash}} stroke-dasharray="{{.Dash}}"{{end}}><title>{{.Name}}</title></polyline>
{{end}}<text x="{{.Right}}" y="{{.Height}}" dy="-4" text-anchor="end">{{.XLabel}}</text>
</svg>
<p>Vertical axis: {{.YLabel}}.<br>{{range .Lines}}<span class="key"><svg viewBox="0 0 24 8" style="width:24px" aria-hidden="true"><line x1="0" x2="24" y1="4" y2="4" stroke="{{.Color}}" stroke-width="3"{{if .Dash}} stroke-dasharray="{{.Dash}}"{{end}}/></svg> {{.Name}}</span>{{end}}</p>
{{end}}
{{if .Quantiles.Rows}}{{template "table" .Quantiles}}{{end}}
{{if .Changes.Rows}}{{template "table" .Changes}}{{end}}
{{if .Groups}}<h2>Policy beside baseline</h2>{{end}}
{{range .Groups}}<h3>{{.Title}}</h3>
{{range .Bars}}<div>{{.Name}}: {{.Value}}</div><div class="track"><div style="width:{{.Percent}}%;background:{{.Color}}"></div></div>
{{end}}<p>Ratio policy / baseline: {{.Ratio}}</p>
{{end}}
{{range .Tables}}{{template "table" .}}{{end}}
</body></html>
{{define "table"}}<h2>{{.Title}}</h2><div class="scroll"><table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>
{{end}}`))
