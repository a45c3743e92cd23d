package roles

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/platform"
)

// runExplain explains where a job would go, by a running entry or a recorded state, or
// records the state.
func runExplain(ctx context.Context, o command.ExplainOptions, streams command.Streams) error {
	out, err := explain(ctx, o)
	switch {
	case errors.Is(err, lead.ErrUnknownQueue), errors.Is(err, lead.ErrInvalidJob):
		return command.UsageError(err)
	case errors.Is(err, lead.ErrNotExplained):
		return rescode.Errorf(rescode.NoUpstream, "%w", err)
	case err != nil || out == nil:
		return err
	}
	if o.Output == command.OutputJSON {
		e := json.NewEncoder(streams.Out)
		e.SetIndent("", "  ")
		return e.Encode(out)
	}
	return writeExplanation(streams.Out, out)
}

// explain returns nil if only the state is to be recorded.
func explain(ctx context.Context, o command.ExplainOptions) (*lead.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	q := lead.ExplainQuestion{Queue: o.Queue, Host: o.Host, Path: o.Path}
	if len(o.Job) > 0 {
		job, err := platform.DecodeJob(o.Job)
		if err != nil {
			return nil, command.UsageError(err)
		}
		q.Job = &job
	}
	if o.Entry != "" && o.Record == "" {
		return lead.AskExplanation(ctx, o.Entry, q)
	}
	state, err := explainedState(ctx, o)
	if err != nil || q.Job == nil {
		return nil, err
	}
	return lead.Explain(state, q)
}

// explainedState reads a recorded state, or asks an entry for its state and records it.
func explainedState(ctx context.Context, o command.ExplainOptions) (*lead.PlannerState, error) {
	if o.State != "" {
		raw, err := os.ReadFile(o.State)
		if err != nil {
			return nil, command.UsageError(err)
		}
		state, err := lead.ParseState(raw)
		if err != nil {
			return nil, command.UsageError(fmt.Errorf("%s: %w", o.State, err))
		}
		return state, nil
	}
	state, err := lead.AskState(ctx, o.Entry)
	if err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(state, "", " ")
	if err != nil {
		return nil, fmt.Errorf("encode the state: %w", err)
	}
	if err := os.WriteFile(o.Record, append(raw, '\n'), 0o600); err != nil {
		return nil, fmt.Errorf("record the state: %w", err)
	}
	return state, nil
}

// writeExplanation writes an explanation as text.
func writeExplanation(out io.Writer, x *lead.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	row("queue", fmt.Sprintf("%s, priority %d", x.Queue, x.Priority))
	row("state", fmt.Sprintf("%s, term %d, %d VMs, lists up to %d ms old", x.At.Format(time.RFC3339Nano), x.Term, x.VMs, x.OldestList))
	for _, line := range [...][2]string{{"evacuated", strings.Join(x.Evacuated, ", ")}, {"refused", x.Refused}, {"withheld", x.Withheld}} {
		if line[1] != "" {
			row(line[0], line[1])
		}
	}
	for _, s := range x.Steps {
		writeStep(row, s)
	}
	return w.Flush()
}

// writeStep writes the explanation of a step in rows.
func writeStep(row func(...any), s lead.StepExplanation) {
	outcome := s.Outcome
	if s.VM != "" {
		outcome += " on " + s.VM
	}
	row()
	row(fmt.Sprintf("step %d", s.Step), fmt.Sprintf("%d %s tasks, pool %s: %s", s.Tasks, s.Kind, s.Pool, outcome))
	if len(s.After) > 0 {
		row("  after", fmt.Sprintf("steps %v, as if they were done", s.After))
	}
	row("  rank", s.Rank)
	for _, a := range s.Ahead {
		row("  ahead", fmt.Sprintf("%d steps with %d tasks, priority %d, %s", a.Steps, a.Tasks, a.Priority, a.Rank))
	}
	if l := s.Locality; l != nil {
		row("  data", localityText(l))
	}
	for _, f := range s.Filters {
		if f.VMs > 0 {
			row("  excluded", fmt.Sprintf("%d by %s", f.VMs, f.Filter))
		}
	}
	row("  fits", s.Fits)
	for _, vm := range s.Best {
		row("  score", vm.VM, fmt.Sprintf("%.2f", vm.Score), partsText(vm.Parts))
	}
}

func localityText(l *lead.LocalityExplain) string {
	switch {
	case l.Waits:
		return fmt.Sprintf("rack %s: waits, expected for %d ms, until %s at most; %d tasks ahead, a start now costs %d ms",
			l.Rack, l.Expected, l.Until.Format(time.RFC3339Nano), l.Ahead, l.Gain)
	case l.Near:
		return fmt.Sprintf("rack %s: the best VM is there", l.Rack)
	default:
		return fmt.Sprintf("rack %s: no wait for it; %d tasks ahead, a start elsewhere costs %d ms", l.Rack, l.Ahead, l.Gain)
	}
}

// partsText lists the parts of a score that are not 0.
func partsText(score place.Score) string {
	var out []string
	for _, part := range score.Parts() {
		if part.Cores != 0 {
			out = append(out, fmt.Sprintf("%s %+.2f", part.Name, part.Cores))
		}
	}
	return strings.Join(out, ", ")
}
