// Package audit checks the records of many stand-in workers and upstreams
// against the invariants of the design: a task runs in one place at a time and
// is resumed once, capacities and limits hold, non-idempotent requests run at
// most once, and a request reported as not run did not run. It does no I/O.
package audit

import (
	"fmt"
	"math"
	"sort"

	"vanillalock.example/vanillalock/internal/standin/upstream"
	"vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
)

// Kind is a kind of violation.
type Kind string

// Kinds of violations.
const (
	// Overlap is one task running in two places, or twice in one place, at once.
	Overlap Kind = "overlap"
	// DoubleCompletion is a task that completed successfully more than once.
	DoubleCompletion Kind = "double_completion"
	// DoubleResume is an attempt resumed from a checkpoint while an earlier
	// attempt still runs.
	DoubleResume Kind = "double_resume"
	// OverCapacity is an assignment beyond what a VM can hold.
	OverCapacity Kind = "over_capacity"
	// OverLimit is a request beyond an upstream's slots or connections.
	OverLimit Kind = "over_limit"
	// DuplicateEffect is a second execution of a non-idempotent request.
	DuplicateEffect Kind = "duplicate_effect"
	// FalseRefusal is an execution of a request reported as not run.
	FalseRefusal Kind = "false_refusal"
	// Incomplete is a record with missing or contradictory events, from which
	// nothing can be concluded.
	Incomplete Kind = "incomplete"
)

// Input holds the records to check. The clocks of the stand-ins must agree,
// which holds for stand-ins on one machine.
type Input struct {
	Workers   []worker.Records
	Upstreams []upstream.Records
	// NotRun lists the ids of requests whose final answer to the caller was
	// not run.
	NotRun []string
}

// Violation is one broken invariant or one unusable record.
type Violation struct {
	Kind     Kind   `json:"kind"`
	Subject  string `json:"subject"` // task, key, request or worker
	Detail   string `json:"detail"`
	AtUnixNs int64  `json:"at_unix_ns,omitempty"`
}

// Report is the result of a check. Starts and Executions are the numbers of
// task starts and request executions checked; a report without violations says
// nothing if they are zero.
type Report struct {
	Violations []Violation  `json:"violations"`
	Counts     map[Kind]int `json:"counts"`
	Starts     int          `json:"starts"`
	Executions int          `json:"executions"`
}

// OK reports whether there is no violation.
func (r Report) OK() bool { return len(r.Violations) == 0 }

func (r *Report) add(kind Kind, at int64, subject, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{kind, subject, fmt.Sprintf(format, args...), at})
	r.Counts[kind]++
}

// Check checks all records together.
func Check(in Input) Report {
	r := &Report{Counts: map[Kind]int{}}
	checkTasks(r, in.Workers)
	for _, w := range in.Workers {
		checkCapacity(r, w)
	}
	checkExecutions(r, in)
	return *r
}

// interval is the time during which one attempt ran.
type interval struct {
	worker      string
	token       structs.Token
	resumedFrom string
	start, end  int64
	completed   bool
}

// stillRunning is the end of an interval whose attempt has no end event.
const stillRunning = int64(math.MaxInt64)

func checkTasks(r *Report, workers []worker.Records) {
	tasks := map[structs.TaskID][]interval{}
	for _, w := range workers {
		if w.Dropped > 0 {
			r.add(Incomplete, 0, w.Worker, "%d events are missing", w.Dropped)
		}
		collectIntervals(r, w, tasks)
	}
	for _, id := range sortedTasks(tasks) {
		checkTask(r, fmt.Sprintf("%s/%d", id.Job, id.Index), tasks[id])
	}
}

// collectIntervals adds the intervals of one worker to tasks. It requires the
// worker's events in chronological order.
func collectIntervals(r *Report, w worker.Records, tasks map[structs.TaskID][]interval) {
	type key struct {
		task  structs.TaskID
		token structs.Token
	}
	open := map[key]int{}
	for _, e := range w.Events {
		k := key{e.Task, e.Token}
		switch e.Kind {
		case worker.EventStart:
			r.Starts++
			open[k] = len(tasks[e.Task])
			tasks[e.Task] = append(tasks[e.Task], interval{
				worker: w.Worker, token: e.Token, resumedFrom: e.ResumedFrom, start: e.AtUnixNs, end: stillRunning,
			})
		case worker.EventEnd, worker.EventLapse, worker.EventStop:
			i, ok := open[k]
			if !ok {
				r.add(Incomplete, e.AtUnixNs, w.Worker, "end of %v %v without a start", e.Task, e.Token)
				continue
			}
			delete(open, k)
			tasks[e.Task][i].end = e.AtUnixNs
			tasks[e.Task][i].completed = e.State == "done"
		}
	}
}

// checkTask compares every pair of attempts of a task, which has few of them.
func checkTask(r *Report, subject string, runs []interval) {
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].start < runs[j].start })
	completions := 0
	for i, a := range runs {
		if a.completed {
			if completions++; completions > 1 {
				r.add(DoubleCompletion, a.end, subject, "completion %d, on %s with %v", completions, a.worker, a.token)
			}
		}
		for _, b := range runs[i+1:] {
			if b.start >= a.end {
				continue
			}
			r.add(Overlap, b.start, subject, "starts on %s with %v while it runs on %s with %v", b.worker, b.token, a.worker, a.token)
			if b.resumedFrom != "" {
				r.add(DoubleResume, b.start, subject, "resumes from %s while %v runs", b.resumedFrom, a.token)
			}
		}
	}
}

func sortedTasks(tasks map[structs.TaskID][]interval) []structs.TaskID {
	out := make([]structs.TaskID, 0, len(tasks))
	for id := range tasks {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Job != out[j].Job {
			return out[i].Job < out[j].Job
		}
		return out[i].Index < out[j].Index
	})
	return out
}

// checkCapacity computes the reserved resources from the events instead of
// relying on the worker's own sum. An assignment that the worker refused for
// lack of capacity is a violation as well.
func checkCapacity(r *Report, w worker.Records) {
	type key struct {
		task  structs.TaskID
		token structs.Token
	}
	held := map[key]structs.Resources{}
	var sum structs.Resources
	for _, e := range w.Events {
		k := key{e.Task, e.Token}
		switch e.Kind {
		case worker.EventStart:
			held[k] = e.Resources
			sum = sum.Add(e.Resources)
			if !sum.Fits(w.Capacity) {
				r.add(OverCapacity, e.AtUnixNs, w.Worker, "%+v reserved of %+v", sum, w.Capacity)
			}
		case worker.EventEnd, worker.EventLapse, worker.EventStop:
			sum = sum.Sub(held[k])
			delete(held, k)
		case worker.EventOverCapacity:
			if sum.Add(e.Resources).Fits(w.Capacity) {
				r.add(Incomplete, e.AtUnixNs, w.Worker, "the worker refused %+v, which fits", e.Resources)
				continue
			}
			r.add(OverCapacity, e.AtUnixNs, w.Worker, "%+v assigned beside %+v", e.Resources, sum)
		}
	}
}
