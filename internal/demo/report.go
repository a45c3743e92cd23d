package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"vanillalock.example/vanillalock/internal/load"
	"vanillalock.example/vanillalock/internal/standin/audit"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
)

// ReportSchema names the JSON form of a Report.
const ReportSchema = "vanillalock/demo/1"

// Report is the result of a demonstration.
type Report struct {
	Schema     string            `json:"schema"`
	Deployment string            `json:"deployment"`
	Duration   float64           `json:"duration_s"`
	Seed       uint64            `json:"seed"`
	Entries    int               `json:"entries"`
	VMs        int               `json:"vms"`
	Violations int               `json:"violations"`
	Invariants map[string]int    `json:"invariants"` // number of violations by invariant
	Findings   []audit.Violation `json:"findings"`
	Load       load.Report       `json:"load"`
	Crest      Crest             `json:"crest"`
	Edits      editResult        `json:"edits"`
	TaskStarts int               `json:"task_starts"`
	Executions int               `json:"executions"`
	Evictions  int64             `json:"evictions"`
	LogWrites  int64             `json:"log_writes"`
	StoreCalls standinkv.Counts  `json:"store_calls"`
	StorePeak  standinkv.Counts  `json:"store_peak_per_second"`
	WorstNode  NodeCost          `json:"worst_node"`
}

// Crest counts the requests that were offered during the crest of the load.
type Crest struct {
	Offered int     `json:"offered"`
	Done    int     `json:"done"`
	Share   float64 `json:"share_done"`
}

// controlBudget is the permitted control traffic of a node, in bytes per second.
const controlBudget = 2000

// NodeCost is the control traffic of one agent, sent and received.
type NodeCost struct {
	VM                    string  `json:"vm"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	Requests              int64   `json:"requests"`
}

// crestResults sums the seconds of the load report that lie in the crest.
func crestResults(l load.Report) Crest {
	var c Crest
	start, end := l.Plan.Schedule.CrestStartMs/1000, (l.Plan.Schedule.CrestStartMs+l.Plan.Schedule.CrestLengthMs)/1000
	for _, s := range l.Seconds {
		if int64(s.Second) >= start && int64(s.Second) < end {
			c.Offered += int(s.Offered)
			c.Done += int(s.Done)
		}
	}
	if c.Offered > 0 {
		c.Share = float64(c.Done) / float64(c.Offered)
	}
	return c
}

// WriteJSON writes the report as one object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteText writes the report for a terminal.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "deployment\t%s\t%d entries, %d VMs, %.0f s, seed %d\n\n", r.Deployment, r.Entries, r.VMs, r.Duration, r.Seed)
	fmt.Fprintf(t, "class\ttemplate\toffered\tdone\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\n")
	for _, g := range r.Load.Groups {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", g.Class, g.Template, g.Offered, g.Done, g.NotRun, g.Unknown,
			millis(g.Latency.P50Us), millis(g.Latency.P99Us), millis(g.Latency.P999Us))
	}
	fmt.Fprintf(t, "\nservice at the crest\t%.2f%% of %d requests done\n", 100*r.Crest.Share, r.Crest.Offered)
	fmt.Fprintf(t, "batch\t%d jobs accepted, %d finished, %d tasks done, %.1f tasks/s\n", r.Load.Jobs.Accepted, r.Load.Jobs.Finished, r.Load.Jobs.TasksDone, float64(r.Load.Jobs.TasksDone)/max(r.Duration, 1))
	fmt.Fprintf(t, "evictions\t%d, in %d task starts\n", r.Evictions, r.TaskStarts)
	fmt.Fprintf(t, "edits\t%d accepted, in force everywhere after at most %v\n", r.Edits.Accepted, (time.Duration(r.Edits.SlowestMs) * time.Millisecond))
	fmt.Fprintf(t, "key-value service\tpeak per second: %d reads, %d writes, %d watches; %d log writes\n", r.StorePeak.Reads, r.StorePeak.Writes, r.StorePeak.Watches, r.LogWrites)
	fmt.Fprintf(t, "busiest node\t%s: %.0f bytes/s of control traffic, budget %d, with %d requests and an edit each second\n\n", r.WorstNode.VM, r.WorstNode.ControlBytesPerSecond, controlBudget, r.WorstNode.Requests)
	fmt.Fprintf(t, "invariant\tviolations\n")
	names := make([]string, 0, len(r.Invariants))
	for name := range r.Invariants {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(t, "%s\t%d\n", name, r.Invariants[name])
	}
	fmt.Fprintf(t, "violations: %d\n", r.Violations)
	for _, v := range r.Findings {
		fmt.Fprintf(t, "  %s\t%s\t%s\n", v.Kind, v.Subject, v.Detail)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func millis(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }
