package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Guards against a task that waits for a silent VM although its run has ended, as reported to
// this leader, on another one (LOST).
func TestTaskWhoseListedRunHasEndedDoesNotWaitForOtherVMs(t *testing.T) {
	l := New(Options{Takeover: start, MaxLease: 10 * time.Second, Attempts: func(*Job) int { return 3 }, Log: func(Event) {}})
	l.AddNode("silent")
	n := l.AddNode("vm")
	job := modelJob("job")
	l.AddJob(job, true, start)
	listed, unlisted := fleet.TaskID{Job: "job"}, fleet.TaskID{Job: "job", Index: 1}
	e := &fleet.Executor{Instance: "vm@1", Pool: "pool"}
	l.Report(n, Report{Executor: e, Listed: true, Running: []fleet.Running{{Task: listed, Run: 1}}, Ended: []fleet.End{{Number: 1, Task: unlisted, Run: 1, Reason: fleet.EndFailed}}}, start)
	l.Report(n, Report{Executor: e, Listed: true, Ended: []fleet.End{{Number: 2, Task: listed, Run: 1, Reason: fleet.EndFailed}}}, start.Add(time.Second))
	l.Tick(start.Add(time.Second), start.Add(time.Second))
	require.False(t, l.Settled)
	var ready []fleet.TaskID
	for _, task := range l.Ready(start.Add(time.Second)) {
		ready = append(ready, task.ID)
	}
	require.Equal(t, []fleet.TaskID{listed}, ready, "an earlier leader may have heard of the end of the other one")
}

// Guards against two runs of a task of which a leader of an earlier version has heard, from an
// agent that was started anew, that its run has ended with the executor.
func TestLocatedTaskWaitsForLeadersOfEarlierVersions(t *testing.T) {
	l := New(Options{Takeover: start, MaxLease: 10 * time.Second, EarlierVersions: true, Attempts: func(*Job) int { return 3 }, Log: func(Event) {}})
	l.AddNode("silent")
	n := l.AddNode("vm")
	l.AddJob(modelJob("job"), true, start)
	e := &fleet.Executor{Instance: "vm@1", Pool: "pool"}
	run := fleet.TaskID{Job: "job"}
	l.Report(n, Report{Executor: e, Listed: true, Running: []fleet.Running{{Task: run, Run: 1}}}, start)
	l.Report(n, Report{Executor: e, Listed: true, Ended: []fleet.End{{Number: 1, Task: run, Run: 1, Reason: fleet.EndFailed}}}, start.Add(time.Second))
	l.Tick(start.Add(time.Second), start.Add(time.Second))
	require.Empty(t, l.Ready(start.Add(time.Second)))
	l.Tick(start.Add(11*time.Second), start.Add(11*time.Second))
	require.NotEmpty(t, l.Ready(start.Add(11*time.Second)))
}
