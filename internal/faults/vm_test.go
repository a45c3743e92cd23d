package faults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/standin/control"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
	standinworker "vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
)

// permitDuration is the permit duration L of the specification.
const permitDuration = 10 * time.Second

// TestVMDies guards against a restart before the permits of a dead VM have
// ended, and against one that does not resume from the last checkpoint.
func TestVMDies(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	render := c.submit(0, "memorial-render", 1)
	c.waitRunning(1, render)
	c.eventually("a checkpoint", func() bool { return c.hasCheckpoint(1, render) })
	_, i := c.hostOf(render)
	died := time.Now()
	require.NoError(t, c.Workers[i].SetFaults(standinworker.Faults{Silent: control.SilenceAll}))
	require.NoError(t, c.Upstreams[i].SetFaults(standinupstream.Faults{Silent: control.SilenceAll}))
	c.Agents[i].Kill()
	c.eventually("end of the render", func() bool { return c.inState(1, render, structs.TaskDone) == 1 })
	require.Equal(t, 2, c.count(standinworker.EventStart, render.ID))
	last := c.lastStart(render)
	require.NotEmpty(t, last.ResumedFrom)
	// The last renewal is at most 3 s old when the VM dies: a heartbeat interval
	// plus the age of the verification.
	require.Greater(t, time.Unix(0, last.AtUnixNs).Sub(died), permitDuration-3*time.Second)
	c.checkRecords()
}

// TestAgentRestarts guards against tasks that are restarted although the next
// incarnation of their agent adopts them.
func TestAgentRestarts(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	feed, render := c.submit(0, "live-feed", 6), c.submit(1, "memorial-render", 3)
	c.waitRunning(2, feed, render)
	for i := range c.Agents {
		c.Agents[i].Kill()
		_, err := c.StartAgent(i)
		require.NoError(t, err)
	}
	c.eventually("end of the render", func() bool { return c.inState(1, render, structs.TaskDone) == 3 })
	c.requireStartedOnce(1, render)
	c.waitRunning(2, feed)
	c.requireUntouched(feed)
	c.checkRecords()
}

// TestWorkerSilentWhileAgentRestarts guards against a task that is lost when a
// VM is replaced: the worker of the new agent does not know the task, and does
// not answer at first.
func TestWorkerSilentWhileAgentRestarts(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	render := c.submit(0, "memorial-render", 1)
	c.waitRunning(1, render)
	_, i := c.hostOf(render)
	require.NoError(t, c.Workers[i].SetFaults(standinworker.Faults{Silent: control.SilenceAll}))
	c.Agents[i].Kill()
	_, err := c.StartAgent(i)
	require.NoError(t, err)
	c.eventually("lapse", func() bool { return c.count(standinworker.EventLapse, render.ID) == 1 })
	require.NoError(t, c.Workers[i].SetFaults(standinworker.Faults{}))
	c.eventually("end of the render", func() bool { return c.inState(1, render, structs.TaskDone) == 1 })
	require.Equal(t, 2, c.count(standinworker.EventStart, render.ID))
	c.checkRecords()
}

// TestAgentLeavesUnderLoad guards against a graceful shutdown of an agent that
// cuts off requests, accepts new ones later than 2 s after it was announced, or
// loses the work of its tasks.
func TestAgentLeavesUnderLoad(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	render := c.submit(0, "memorial-render", 1)
	c.waitRunning(1, render)
	_, i := c.hostOf(render)
	done := c.sendLoad(80, 8*time.Second, 0, 1, 2)
	c.eventually("executions", func() bool { return len(c.Upstreams[i].Records().Executions) > 20 })
	said := time.Now()
	c.Agents[i].Leave()
	report := <-done
	c.requireAnswered(report)
	require.Zero(t, report.Total.Unknown, "%+v", report.Codes)
	for _, e := range c.Upstreams[i].Records().Executions {
		require.False(t, e.Disconnected, "%+v", e)
		require.Less(t, time.Unix(0, e.StartUnixNs).Sub(said), 2*time.Second+100*time.Millisecond)
	}
	c.eventually("end of the render", func() bool { return c.inState(1, render, structs.TaskDone) == 1 })
	require.Equal(t, 2, c.count(standinworker.EventStart, render.ID), c.history(render))
	require.NotEmpty(t, c.lastStart(render).ResumedFrom)
	c.checkRecords()
}

// TestEntryLeavesUnderLoad guards against a graceful shutdown of an entry that
// cuts off requests or keeps its shards.
func TestEntryLeavesUnderLoad(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	feed := c.submit(0, "live-feed", 6)
	c.waitRunning(1, feed)
	x, y, z := c.entriesByShards()
	done := c.sendLoad(80, 8*time.Second, 0, 1, 2)
	c.eventually("executions", func() bool { return len(c.Upstreams[0].Records().Executions) > 20 })
	c.Entries[x].Leave()
	c.eventually("handover", func() bool { return len(c.ownedShards(y))+len(c.ownedShards(z)) == 16 })
	report := <-done
	c.requireAnswered(report)
	require.Zero(t, report.Total.Unknown, "%+v", report.Codes)
	for _, u := range c.Upstreams {
		for _, e := range u.Records().Executions {
			require.False(t, e.Disconnected, "%+v", e)
		}
	}
	c.waitRunning(y, feed)
	c.requireUntouched(feed)
	c.checkRecords()
}

// TestFailingVM guards against a worker or an upstream that fails everything
// and still receives work.
func TestFailingVM(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	require.NoError(t, c.Workers[0].SetFaults(standinworker.Faults{FailAll: true}))
	require.NoError(t, c.Upstreams[1].SetFaults(standinupstream.Faults{FailAll: true}))
	var jobs []structs.Job
	for i := range 10 {
		jobs = append(jobs, c.submit(i%3, "clip-batch", 2))
	}
	owner, _, _ := c.entriesByShards()
	// More tasks than the two other VMs hold: the failing one must draw some.
	jobs = append(jobs, c.submit(owner, "clip-batch", 80), c.submit(owner, "clip-batch", 80))
	c.eventually("quarantine", func() bool {
		// A shard that moves to another entry refuses submissions for a moment.
		if job, err := c.Entries[owner].Entry.SubmitJob(c.ctx, api.JobInput{Template: "clip-batch", Customer: "hue-temple-desk", Count: 2}); err == nil {
			jobs = append(jobs, job)
		}
		return c.upstreamState(owner, "vm-00") == "quarantined"
	})
	report := <-c.sendLoad(100, 8*time.Second, 0, 1, 2)
	c.requireAnswered(report)
	share := float64(len(c.Upstreams[1].Records().Executions)) / float64(c.checkRecords().Executions)
	require.Less(t, share, 0.10, "share of the upstream that fails everything")
	for _, job := range jobs {
		c.eventually("end of "+job.ID, func() bool { return c.inState(1, job, structs.TaskDone) == job.Count })
	}
	// A quarantined worker takes no further task.
	before := len(c.Workers[0].Records().Events)
	require.NotZero(t, before)
	more := c.submit(owner, "clip-batch", 6)
	c.eventually("end of "+more.ID, func() bool { return c.inState(1, more, structs.TaskDone) == 6 })
	require.Len(t, c.Workers[0].Records().Events, before)
}

// upstreamState returns the state of a VM's upstream as an entry sees it, or "".
func (c *cluster) upstreamState(entry int, vm string) string {
	for _, u := range c.Entries[entry].Entry.Status(c.ctx).Upstreams {
		if u.ID == vm {
			return u.State
		}
	}
	return ""
}

// TestCancellationWave guards against a wave of cancellations that delays
// urgent starts beyond the specified 9 s or leaves tasks running.
func TestCancellationWave(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	var wave []structs.Job
	for i := range 40 {
		wave = append(wave, c.submit(i%3, "memorial-render", 50))
	}
	for i, job := range wave {
		_, err := c.Entries[i%3].Entry.CancelJob(c.ctx, job.ID)
		require.NoError(t, err)
	}
	submitted := time.Now()
	urgent, err := c.Entries[0].Entry.SubmitJob(c.ctx, api.JobInput{Template: "live-feed", Customer: "hue-temple-desk", Count: 3})
	require.NoError(t, err)
	c.eventually("urgent starts", func() bool { return c.count(standinworker.EventStart, urgent.ID) == 3 })
	require.Less(t, time.Unix(0, c.lastStart(urgent).AtUnixNs).Sub(submitted), 9*time.Second)
	for _, job := range wave {
		c.eventually("cancellation of "+job.ID, func() bool { return c.inState(1, job, structs.TaskCancelled) == 50 })
	}
	c.checkRecords()
}
