package report

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/load"
)

// demoReport mirrors the fields of demo.Report that are rendered. Package demo is
// not imported, as it depends on every role.
type demoReport struct {
	Deployment string         `json:"deployment"`
	Duration   float64        `json:"duration_s"`
	Seed       uint64         `json:"seed"`
	Entries    int            `json:"entries"`
	VMs        int            `json:"vms"`
	Violations int            `json:"violations"`
	Invariants map[string]int `json:"invariants"`
	Findings   []struct {
		Kind    string `json:"kind"`
		Subject string `json:"subject"`
		Detail  string `json:"detail"`
	} `json:"findings"`
	Load  load.Report `json:"load"`
	Crest struct {
		Offered int `json:"offered"`
		Done    int `json:"done"`
	} `json:"crest"`
	Edits struct {
		Accepted  int   `json:"accepted"`
		SlowestMs int64 `json:"slowest_ms"`
	} `json:"edits"`
	TaskStarts int   `json:"task_starts"`
	Evictions  int64 `json:"evictions"`
	LogWrites  int64 `json:"log_writes"`
	StorePeak  struct {
		Reads   uint64 `json:"reads"`
		Writes  uint64 `json:"writes"`
		Watches uint64 `json:"watches"`
	} `json:"store_peak_per_second"`
	WorstNode struct {
		VM       string   `json:"vm"`
		Control  *float64 `json:"control_bytes_per_second"` // absent in older results
		Requests int64    `json:"requests"`
	} `json:"worst_node"`
}

// fromDemo converts the report of a demonstration.
func fromDemo(r demoReport) Result {
	duration := time.Duration(r.Duration * float64(time.Second))
	out := Result{
		Title: "Demonstration of " + r.Deployment, Seed: r.Seed,
		Command: fmt.Sprintf("vanillalock demo --deployment %s --duration %v --seed %d", r.Deployment, duration, r.Seed),
	}
	summary := Table{Title: "Summary", Columns: []string{"measure", "value"}, Rows: [][]string{
		cells("entries, VMs", fmt.Sprintf("%d, %d", r.Entries, r.VMs)),
		cells("violations of invariants", r.Violations),
		cells("requests done at the crest", fmt.Sprintf("%d of %d", r.Crest.Done, r.Crest.Offered)),
		cells("jobs finished", fmt.Sprintf("%d of %d accepted", r.Load.Jobs.Finished, r.Load.Jobs.Accepted)),
		cells("task starts", r.TaskStarts), cells("evictions", r.Evictions),
		cells("edits accepted", r.Edits.Accepted), cells("slowest edit in force everywhere", fmt.Sprintf("%d ms", r.Edits.SlowestMs)),
		cells("key-value calls in the busiest second", fmt.Sprintf("%d reads, %d writes, %d watches", r.StorePeak.Reads, r.StorePeak.Writes, r.StorePeak.Watches)),
		cells("job log writes", r.LogWrites),
	}}
	if n := r.WorstNode; n.Control != nil {
		summary.Rows = append(summary.Rows, cells("busiest node",
			fmt.Sprintf("%s: %.0f bytes/s of control traffic with %d requests", n.VM, *n.Control, n.Requests)))
	}
	invariants := Table{Title: "Invariants", Columns: []string{"invariant", "violations"}}
	for _, name := range slices.Sorted(maps.Keys(r.Invariants)) {
		invariants.Rows = append(invariants.Rows, cells(name, r.Invariants[name]))
	}
	out.Tables = []Table{summary, invariants}
	if len(r.Findings) > 0 {
		findings := Table{Title: "Violations", Columns: []string{"kind", "subject", "detail"}}
		for _, f := range r.Findings {
			findings.Rows = append(findings.Rows, []string{f.Kind, f.Subject, f.Detail})
		}
		out.Tables = append(out.Tables, findings)
	}
	addLoad(&out, r.Load)
	return out
}
