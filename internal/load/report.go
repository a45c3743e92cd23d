package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Schema names the layout of Report. It changes when a field changes meaning.
const Schema = "vanillalock.load/1"

// Counts are numbers of requests. Offered is the sum of Done, NotRun, Unknown,
// Unreached and Shed.
type Counts struct {
	Offered   int `json:"offered"`
	Done      int `json:"done"`
	InTime    int `json:"in_time"` // done with success within the timeout
	Failed    int `json:"failed"`  // done with another code than 0
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	Unreached int `json:"unreached"` // no entry accepted a connection
	Shed      int `json:"shed"`      // not sent, too many in flight in the generator
	Retries   int `json:"retries"`
	Wrong     int `json:"wrong"` // answers that do not belong to the request
}

// Latency describes done requests, from the intended arrival, in microseconds.
type Latency struct {
	Count  int64 `json:"count"`
	MeanUs int64 `json:"mean_us"`
	P50Us  int64 `json:"p50_us"`
	P90Us  int64 `json:"p90_us"`
	P99Us  int64 `json:"p99_us"`
	P999Us int64 `json:"p999_us"`
	MaxUs  int64 `json:"max_us"`
}

// Group is one template and class.
type Group struct {
	Template string `json:"template"`
	Class    string `json:"class"`
	Counts
	Latency Latency `json:"latency"`
}

// Second is one second of the run, by intended arrival.
type Second struct {
	Second int `json:"second"`
	Counts
	P50Us int64 `json:"p50_us"`
	P99Us int64 `json:"p99_us"`
}

// JobCounts are numbers of jobs and of their tasks.
type JobCounts struct {
	Offered    int `json:"offered"`
	Accepted   int `json:"accepted"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`    // no answer to the submission
	Finished   int `json:"finished"`   // every task is in a final state
	Unfinished int `json:"unfinished"` // at the end of the wait
	Lost       int `json:"lost"`       // accepted, but no entry knows the job
	TasksDone  int `json:"tasks_done"`
	TasksOther int `json:"tasks_other"` // failed, cancelled or cannot run
	Evictions  int `json:"evictions"`
}

// Report is the result of a run.
type Report struct {
	Schema    string         `json:"schema"`
	Plan      Plan           `json:"plan"`
	Total     Group          `json:"total"`
	Groups    []Group        `json:"groups"` // by template and class
	Codes     map[string]int `json:"codes"`  // answers by result code
	Seconds   []Second       `json:"seconds"`
	Jobs      JobCounts      `json:"jobs"`
	JobTime   Latency        `json:"job_time"`    // submission to the end of the last task
	NotRunIDs []string       `json:"not_run_ids"` // for the audit of the stand-ins' records
	WrongIDs  []string       `json:"wrong_ids"`
}

func compareStringPairs(a, b, c, d string) int { return cmp.Or(cmp.Compare(a, b), cmp.Compare(c, d)) }

// WriteJSON writes the report with a stable order of fields and rows.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("load: write report: %w", err)
	}
	return nil
}

// WriteText writes the report as text tables.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("template\tclass\toffered\tdone\tin time\tfailed\tnot run\tunknown\tunreached\tshed\twrong\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t\n")
	for _, g := range append(slices.Clone(r.Groups), r.Total) {
		p("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", g.Template, g.Class, g.Offered, g.Done, g.InTime, g.Failed, g.NotRun, g.Unknown, g.Unreached, g.Shed, g.Wrong)
		p("%.1f\t%.1f\t%.1f\t%.1f\t\n", ms(g.Latency.P50Us), ms(g.Latency.P99Us), ms(g.Latency.P999Us), ms(g.Latency.MaxUs))
	}
	p("\ncode\tanswers\t\n")
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		p("%s\t%d\t\n", code, r.Codes[code])
	}
	if j := r.Jobs; j.Offered > 0 {
		p("\njobs\taccepted\trefused\tunknown\tfinished\tunfinished\tlost\ttasks done\tother\tevictions\tp50 ms\tp99 ms\t\n")
		p("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", j.Offered, j.Accepted, j.Refused, j.Unknown, j.Finished, j.Unfinished, j.Lost, j.TasksDone, j.TasksOther, j.Evictions)
		p("%.0f\t%.0f\t\n", ms(r.JobTime.P50Us), ms(r.JobTime.P99Us))
	}
	p("\nsecond\toffered\tdone\tnot run\tunknown\tp50 ms\tp99 ms\t\n")
	for _, s := range r.Seconds {
		p("%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", s.Second, s.Offered, s.Done, s.NotRun, s.Unknown, ms(s.P50Us), ms(s.P99Us))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("load: write report: %w", err)
	}
	return nil
}

func ms(us int64) float64 { return float64(us) / 1000 }
