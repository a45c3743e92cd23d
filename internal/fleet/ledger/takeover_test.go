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
	e := &fleet.Executor{Instance: "vm@1", Pool: "pool", Capacity: roomy}
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

// Guards against inherited tasks that wait for VMs which were lost after this leader had read
// their lists, anew with each of them (LOST).
func TestTakeoverDoesNotWaitForAVMLostAfterItsLists(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	l := New(Options{Takeover: start, MaxLease: 10 * time.Second, Attempts: func(*Job) int { return 3 }, Log: func(Event) {}})
	l.AddNode("silent")
	l.EndEarlierLeases(at(4.7))
	l.AddJob(modelJob("job"), true, start)
	var known []*Node
	for i, name := range []string{"vm-0", "vm-1"} {
		n := l.AddNode(name)
		l.HoldStarts(n)
		known = append(known, n)
		running := []fleet.Running{{Task: fleet.TaskID{Job: "job", Index: i}, Run: 1}}
		l.Report(n, Report{Executor: &fleet.Executor{Instance: name, Pool: "pool", Capacity: roomy}, Listed: true, Running: running}, at(0.1))
	}
	l.Tick(at(0.2), start)
	for i, n := range known {
		l.ReleaseStarts(n)
		lost := float64(3 * (i + 1))
		n.Granted(at(lost + 4.2))
	}
	l.Disconnected(known[0])
	l.Tick(at(4.8), at(4.8))
	require.True(t, l.Settled, "%+v", l.Takeover(at(4.8)))
	for _, task := range l.Ready(at(4.8)) {
		require.NotEqual(t, 0, task.ID.Index, "its run may go on")
	}
	require.Len(t, known[0].Runs, 1)
}

// Guards against lists that count for a takeover although the agent and the executor may have
// been started anew since, or although another instance has come.
func TestListsCountForATakeoverOnlyIfTheTermIsConfirmed(t *testing.T) {
	l := New(Options{Takeover: start, MaxLease: 10 * time.Second, Attempts: func(*Job) int { return 3 }, Log: func(Event) {}})
	n := l.AddNode("vm")
	settled := func() bool {
		l.Tick(start, start)
		return l.Settled
	}
	list := func(instance string, partial bool) {
		l.Report(n, Report{Executor: &fleet.Executor{Instance: instance, Pool: "pool", Capacity: roomy}, Listed: true, Partial: partial}, start)
	}
	l.HoldStarts(n)
	list("vm@1", false)
	require.False(t, settled(), "not confirmed in the session")
	l.Disconnected(n)
	l.ReleaseStarts(n)
	require.False(t, settled(), "the session has ended before")
	list("vm@1", true)
	require.False(t, settled(), "ends are missing")
	list("vm@1", false)
	l.Report(n, Report{Executor: &fleet.Executor{Instance: "vm@2", Pool: "pool", Capacity: roomy}}, start)
	l.Disconnected(n)
	require.False(t, settled(), "the lists of the next instance have not come")
	list("vm@2", false)
	l.Disconnected(n)
	l.HoldStarts(n)
	require.True(t, settled())
}

// Guards against two runs of a task of which a leader of an earlier version has heard, from an
// agent that was started anew, that its run has ended with the executor.
func TestLocatedTaskWaitsForLeadersOfEarlierVersions(t *testing.T) {
	l := New(Options{Takeover: start, MaxLease: 10 * time.Second, EarlierVersions: true, Attempts: func(*Job) int { return 3 }, Log: func(Event) {}})
	l.AddNode("silent")
	n := l.AddNode("vm")
	l.AddJob(modelJob("job"), true, start)
	e := &fleet.Executor{Instance: "vm@1", Pool: "pool", Capacity: roomy}
	run := fleet.TaskID{Job: "job"}
	l.Report(n, Report{Executor: e, Listed: true, Running: []fleet.Running{{Task: run, Run: 1}}}, start)
	l.Report(n, Report{Executor: e, Listed: true, Ended: []fleet.End{{Number: 1, Task: run, Run: 1, Reason: fleet.EndFailed}}}, start.Add(time.Second))
	l.Tick(start.Add(time.Second), start.Add(time.Second))
	require.Empty(t, l.Ready(start.Add(time.Second)))
	l.Tick(start.Add(11*time.Second), start.Add(11*time.Second))
	require.NotEmpty(t, l.Ready(start.Add(11*time.Second)))
}
