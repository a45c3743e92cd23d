package report

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"vanillalock.example/vanillalock/internal/load"
)

// Schemas of the reports that are converted to a Result. JSON without a schema is a
// Result already.
const (
	schemaDemo = "vanillalock/demo/1"
	schemaLoad = load.Schema
)

// decode decodes a report of any of the known schemas into a Result.
func decode(data []byte) (Result, error) {
	var head struct {
		Schema string `json:"schema"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Result{}, err
	}
	switch head.Schema {
	case "":
		var r Result
		return r, json.Unmarshal(data, &r)
	case schemaLoad:
		var r load.Report
		if err := json.Unmarshal(data, &r); err != nil {
			return Result{}, err
		}
		return fromLoad(r), nil
	case schemaDemo:
		var r demoReport
		if err := json.Unmarshal(data, &r); err != nil {
			return Result{}, err
		}
		return fromDemo(r), nil
	}
	return Result{}, fmt.Errorf("unknown schema %q", head.Schema)
}

// fromLoad converts the report of a load run. The command has URL as a placeholder,
// since the report does not contain the addresses of the entries.
func fromLoad(r load.Report) Result {
	s := r.Plan.Schedule
	profile := "steady"
	if s.CrestLengthMs > 0 {
		profile = "swing"
	}
	out := Result{
		Title: "Load", Seed: r.Plan.Seed,
		Command: fmt.Sprintf("vanillalock load --entry URL --profile %s --rate %g --duration %v --seed %d",
			profile, s.BaseRate, time.Duration(s.LengthMs)*time.Millisecond, r.Plan.Seed),
	}
	addLoad(&out, r)
	return out
}

// addLoad adds the plots and tables of a load run.
func addLoad(out *Result, r load.Report) {
	out.Series = loadSeries(r.Seconds)
	requests := Table{Title: "Requests", Columns: []string{"template", "class", "offered", "done", "in time", "failed", "not run", "unknown", "unreached", "shed", "wrong"}}
	for _, g := range append(slices.Clone(r.Groups), r.Total) {
		requests.Rows = append(requests.Rows, cells(g.Template, g.Class, g.Offered, g.Done, g.InTime, g.Failed, g.NotRun, g.Unknown, g.Unreached, g.Shed, g.Wrong))
		if g.Template != r.Total.Template {
			out.Histograms = append(out.Histograms, Histogram{Class: g.Template + ", " + g.Class, Buckets: buckets(g.Latency)})
		}
	}
	codes := Table{Title: "Result codes", Columns: []string{"code", "answers"}}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		codes.Rows = append(codes.Rows, cells(code, r.Codes[code]))
	}
	out.Tables = append(out.Tables, withoutZeros(requests, "failed", "unreached", "shed", "wrong"), codes)
	if j := r.Jobs; j.Offered > 0 {
		out.Tables = append(out.Tables, Table{Title: "Jobs", Columns: []string{"measure", "value"}, Rows: [][]string{
			cells("jobs offered", j.Offered), cells("accepted", j.Accepted), cells("refused", j.Refused), cells("without an answer", j.Unknown),
			cells("finished", j.Finished), cells("not finished at the end", j.Unfinished), cells("lost", j.Lost),
			cells("tasks done", j.TasksDone), cells("tasks failed, cancelled or that cannot run", j.TasksOther),
		}})
	}
}

// withoutZeros leaves out the named columns that are 0 in every row, so that
// the table fits on a narrow screen.
func withoutZeros(t Table, names ...string) Table {
	for _, name := range names {
		i := slices.Index(t.Columns, name)
		if slices.ContainsFunc(t.Rows, func(row []string) bool { return row[i] != "0" }) {
			continue
		}
		t.Columns = slices.Delete(t.Columns, i, i+1)
		for n := range t.Rows {
			t.Rows[n] = slices.Delete(t.Rows[n], i, i+1)
		}
	}
	return t
}

// loadSeries returns the requests and latencies of each second. Outcomes that did
// not occur, apart from done, have no series.
func loadSeries(seconds []load.Second) []Series {
	const requests, latency = "Requests by second of arrival", "Latency by second of arrival"
	series := func(plot, name, unit string, always bool, value func(load.Second) float64) []Series {
		s, drawn := Series{Plot: plot, Name: name, Unit: unit}, always
		for _, second := range seconds {
			v := value(second)
			drawn = drawn || v != 0
			s.Points = append(s.Points, [2]float64{float64(second.Second), v})
		}
		if !drawn {
			return nil
		}
		return []Series{s}
	}
	count := func(name string, always bool, of func(load.Counts) int) []Series {
		return series(requests, name, "requests/s", always, func(s load.Second) float64 { return float64(of(s.Counts)) })
	}
	return slices.Concat(
		count("offered", true, func(c load.Counts) int { return c.Offered }),
		count("done", true, func(c load.Counts) int { return c.Done }),
		count("not run", false, func(c load.Counts) int { return c.NotRun }),
		count("unknown", false, func(c load.Counts) int { return c.Unknown }),
		count("unreached or shed", false, func(c load.Counts) int { return c.Unreached + c.Shed }),
		series(latency, "p99", "ms", true, func(s load.Second) float64 { return millis(s.P99Us) }),
		series(latency, "p50", "ms", true, func(s load.Second) float64 { return millis(s.P50Us) }),
	)
}

// buckets returns a histogram that has the quantiles of l as its bucket bounds. The
// distribution between two quantiles is not known.
func buckets(l load.Latency) []Bucket {
	var out []Bucket
	counted := int64(0)
	for _, q := range []struct {
		share float64
		us    int64
	}{{0.5, l.P50Us}, {0.9, l.P90Us}, {0.99, l.P99Us}, {0.999, l.P999Us}, {1, l.MaxUs}} {
		rank := int64(math.Ceil(q.share * float64(l.Count)))
		if rank <= counted {
			continue
		}
		if last := len(out) - 1; last >= 0 && out[last].UpToMs >= millis(q.us) {
			out[last].Count += rank - counted
		} else {
			out = append(out, Bucket{millis(q.us), rank - counted})
		}
		counted = rank
	}
	return out
}

func millis(us int64) float64 { return float64(us) / 1000 }

// cells formats the values of one table row.
func cells(values ...any) []string {
	out := make([]string, len(values))
	for i, v := range values {
		if f, ok := v.(float64); ok {
			out[i] = strconv.FormatFloat(f, 'g', 4, 64)
		} else {
			out[i] = fmt.Sprint(v)
		}
	}
	return out
}
