package faults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestEntryKilledUnderRequests guards against a request that runs twice, is
// falsely reported as not run or gets no answer when the entry that serves it
// dies.
func TestEntryKilledUnderRequests(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	done := c.sendLoad(120, 8*time.Second, 0, 1, 2)
	c.eventually("executions", func() bool { return len(c.Upstreams[0].Records().Executions) > 50 })
	c.Entries[0].Kill()
	report := <-done
	c.requireAnswered(report)
	require.NotZero(t, report.Total.Retries)
	require.NotZero(t, c.checkRecords().Executions)
}

// TestEntryKilledWithTasks guards against an accepted job that is lost, or a
// running task that is restarted, when the owner of its shard dies.
func TestEntryKilledWithTasks(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	var feeds []structs.Job
	for range 8 {
		feeds = append(feeds, c.submit(0, "live-feed", 2))
	}
	render := c.submit(0, "memorial-render", 2)
	c.waitRunning(1, append(feeds, render)...)
	x, y, z := c.entriesByShards()
	c.Entries[x].Kill()
	c.eventually("takeover", func() bool { return len(c.ownedShards(y))+len(c.ownedShards(z)) == 16 })
	c.waitRunning(y, feeds...)
	c.eventually("end of the render", func() bool { return c.inState(z, render, structs.TaskDone) == 2 })
	c.requireUntouched(feeds...)
	c.requireStartedOnce(z, render)
	c.checkRecords()
}

// TestTwoEntriesKilled guards against lost jobs when a second entry dies after
// the shards of the first one have moved to it.
func TestTwoEntriesKilled(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	render := c.submit(0, "memorial-render", 3)
	c.waitRunning(1, render)
	x, y, z := c.entriesByShards()
	c.Entries[x].Kill()
	c.eventually("first takeover", func() bool { return len(c.ownedShards(y))+len(c.ownedShards(z)) == 16 })
	if len(c.ownedShards(y)) < len(c.ownedShards(z)) {
		y, z = z, y
	}
	c.Entries[y].Kill()
	c.eventually("second takeover", func() bool { return len(c.ownedShards(z)) == 16 })
	c.eventually("end of the render", func() bool { return c.inState(z, render, structs.TaskDone) == 3 })
	job, err := c.Entries[z].Entry.SubmitJob(c.ctx, api.JobInput{Template: "clip-batch", Customer: "hue-temple-desk"})
	require.NoError(t, err)
	c.eventually("end of a new job", func() bool { return c.inState(z, job, structs.TaskDone) == 1 })
	c.checkRecords()
}
