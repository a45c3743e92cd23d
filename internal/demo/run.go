package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/load"
	"vanillalock.example/vanillalock/internal/standin/audit"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// baseRate is the offered load outside the crest in requests per second. It
	// keeps about a quarter of the slots busy with the mixes of the deployments.
	baseRate     = 120
	crestFactor  = 4 // rate in the crest relative to baseRate
	readyTimeout = 30 * time.Second
	// jobWaitLimit bounds the wait for jobs to finish after the load has ended.
	jobWaitLimit = 60 * time.Second
	feedJobCount = 3
)

// RunOptions configure a demonstration.
type RunOptions struct {
	Deployment Deployment
	Duration   time.Duration
	Seed       uint64
	Progress   io.Writer // nil: none
	System     SystemOptions
}

// Run starts a deployment, offers a load with one crest, checks the invariants and
// returns the report. If ctx ends early, requests in flight are completed first.
func Run(ctx context.Context, o RunOptions) (Report, error) {
	progress := func(format string, args ...any) {
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, format+"\n", args...)
		}
	}
	// The system does not end with ctx: an interrupted run still has to complete
	// its requests in flight.
	s, err := Start(context.WithoutCancel(ctx), o.Deployment, o.System)
	if err != nil {
		return Report{}, err
	}
	defer s.Kill()
	started := time.Now()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.Configure(readyCtx); err != nil {
		return Report{}, err
	}
	if err := s.WaitReady(readyCtx); err != nil {
		return Report{}, err
	}
	progress("%s: %d entries, %d VMs ready after %v", o.Deployment.Name, len(s.Entries), len(s.Agents), time.Since(started).Round(time.Millisecond))
	feedJobs, err := s.startFeeds(ctx)
	if err != nil {
		return Report{}, err
	}
	editor := newEditor(s)
	editCtx, stopEdits := context.WithCancel(ctx)
	defer stopEdits()
	edits := make(chan editResult, 1)
	go func() { edits <- editor.run(editCtx) }()
	progress("load: %d requests/s for %v, crest of %d times that in the middle third", baseRate, o.Duration, crestFactor)
	loadReport, err := load.Run(ctx, s.loadPlan(o), load.Options{Entries: s.entryURLs(), JobWait: jobWaitLimit})
	if err != nil {
		return Report{}, err
	}
	stopEdits()
	editOutcome := <-edits
	progress("load has ended: %d done, %d not run, %d unknown", loadReport.Total.Done, loadReport.Total.NotRun, loadReport.Total.Unknown)
	report := s.finish(context.WithoutCancel(ctx), feedJobs, loadReport, editOutcome)
	report.Duration = o.Duration.Seconds()
	report.Seed = o.Seed
	return report, nil
}

// startFeeds submits the jobs of the long-running service.
func (s *System) startFeeds(ctx context.Context) ([]structs.Job, error) {
	var out []structs.Job
	for i := range feedJobCount {
		e := s.Entries[i%len(s.Entries)].Entry
		job, err := e.SubmitJob(ctx, api.JobInput{Template: s.Deployment.feedTemplate(), Customer: s.Deployment.Customers[0].Name, Count: 2})
		if err != nil {
			return nil, fmt.Errorf("submit feed: %w", err)
		}
		out = append(out, job)
	}
	return out, nil
}

func (s *System) loadPlan(o RunOptions) load.Plan {
	length := o.Duration.Milliseconds()
	return load.Plan{
		Seed: o.Seed, RunID: "demo",
		Schedule: load.Schedule{BaseRate: baseRate, CrestFactor: crestFactor, CrestStartMs: length / 3, CrestLengthMs: length / 3, LengthMs: length},
		Mix:      o.Deployment.Mix, Jobs: o.Deployment.Jobs,
	}
}

func (s *System) entryURLs() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.URL)
	}
	return out
}

// finish cancels the long-running jobs, waits until all jobs are final, checks the
// stand-ins' records and builds the report.
func (s *System) finish(ctx context.Context, feedJobs []structs.Job, loadReport load.Report, edits editResult) Report {
	for _, job := range feedJobs {
		if _, err := s.Entries[0].Entry.CancelJob(ctx, job.ID); err != nil {
			s.options.Log.Warn("Feed not cancelled.", "job", job.ID, "err", err)
		}
	}
	lost := s.waitJobsFinal(ctx, jobWaitLimit)
	r := Report{
		Schema: ReportSchema, Deployment: s.Deployment.Name, Entries: len(s.Entries), VMs: len(s.Agents),
		Load: loadReport, Edits: edits, StoreCalls: s.Store.Records().Calls, StorePeak: s.Store.Records().PeakPerSecond,
	}
	for _, e := range s.Entries {
		m := e.Entry.Metrics()
		r.Evictions += m.Evictions
		r.LogWrites += m.LogWrites
	}
	r.WorstNode = s.worstNode(time.Duration(loadReport.Plan.Schedule.LengthMs) * time.Millisecond)
	checked := audit.Check(s.auditInput(loadReport.NotRunIDs))
	r.Invariants = invariants(checked, loadReport, edits, lost)
	r.Findings = checked.Violations
	r.TaskStarts, r.Executions = checked.Starts, checked.Executions
	for _, n := range r.Invariants {
		r.Violations += n
	}
	r.Crest = crestResults(loadReport)
	return r
}

// waitJobsFinal waits until every job known to the system is final and returns the
// number of tasks that are not, or -1 if the jobs cannot be listed.
func (s *System) waitJobsFinal(ctx context.Context, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	for {
		open := -1
		if list, err := s.Entries[0].Entry.ListJobs(ctx); err == nil {
			open = 0
			for _, j := range list {
				for _, t := range j.Tasks {
					if !t.State.Final() {
						open++
					}
				}
			}
		}
		if open == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return open
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *System) auditInput(notRun []string) audit.Input {
	in := audit.Input{NotRun: notRun}
	for _, w := range s.Workers {
		in.Workers = append(in.Workers, w.Records())
	}
	for _, u := range s.Upstreams {
		in.Upstreams = append(in.Upstreams, u.Records())
	}
	return in
}

// worstNode returns the agent with the highest control traffic over the run, its
// start included.
func (s *System) worstNode(length time.Duration) NodeCost {
	var worst NodeCost
	for i, a := range s.Agents {
		m := a.Agent.Metrics()
		perSecond := float64(m.ControlBytes) / max(length.Seconds(), 1)
		if perSecond > worst.ControlBytesPerSecond {
			worst = NodeCost{VM: s.Deployment.node(i).ID, ControlBytesPerSecond: perSecond, Requests: m.RequestsRun}
		}
	}
	return worst
}

// invariants counts the violations of each invariant of docs/design.md, from
// the stand-ins' records and the answers that the callers received. The parameter
// lost is the result of waitJobsFinal.
func invariants(r audit.Report, l load.Report, edits editResult, lost int) map[string]int {
	return map[string]int{
		"capacity":       r.Counts[audit.OverCapacity] + r.Counts[audit.OverLimit],
		"single_run":     r.Counts[audit.Overlap] + r.Counts[audit.DoubleCompletion],
		"resume_once":    r.Counts[audit.DoubleResume],
		"whole_answer":   len(l.WrongIDs),
		"honest_refusal": r.Counts[audit.FalseRefusal],
		"at_most_once":   r.Counts[audit.DuplicateEffect],
		"configuration":  edits.Reverted + edits.NotInForce,
		"nothing_lost":   max(lost, 0) + l.Jobs.Lost + boolToInt(lost < 0),
		"records":        r.Counts[audit.Incomplete],
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
