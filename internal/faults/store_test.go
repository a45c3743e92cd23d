package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/rescode"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
	"vanillalock.example/vanillalock/internal/structs"
)

// outageDuration is longer than the permit duration of 10 s with its margin, so
// that only attestation keeps the tasks running.
const outageDuration = 25 * time.Second

// requireOutageBehavior fails unless an entry, while the store is down, serves
// idempotent requests and refuses non-idempotent requests, jobs and edits as not
// run.
func (c *cluster) requireOutageBehavior(entry int) {
	c.t.Helper()
	e := c.Entries[entry].Entry
	answer, err := e.SubmitRequest(c.ctx, api.RequestInput{ID: fmt.Sprintf("idem-%d", time.Now().UnixNano()), Template: "slot-check", Customer: "hue-temple-desk"})
	require.NoError(c.t, err)
	require.Equal(c.t, rescode.OK, answer.Code, answer.Detail)
	id := fmt.Sprintf("charge-%d", time.Now().UnixNano())
	answer, err = e.SubmitRequest(c.ctx, api.RequestInput{
		ID: id, IdempotencyKey: id, Template: "billing-charge", Customer: "hue-temple-desk", Parameters: map[string]string{"amount": "1"},
	})
	require.NoError(c.t, err)
	require.Equal(c.t, rescode.NotRun, answer.Outcome, answer.Detail)
	c.notRun = append(c.notRun, id)
	_, err = e.SubmitJob(c.ctx, api.JobInput{Template: "clip-batch", Customer: "hue-temple-desk"})
	require.Error(c.t, err)
	require.Equal(c.t, rescode.NotRun, rescode.Of(err).Outcome(), err)
	_, err = e.SetCustomer(c.ctx, structs.Customer{Name: id, Team: "hue"}, 0)
	require.Error(c.t, err)
	require.Equal(c.t, rescode.NotRun, rescode.Of(err).Outcome(), err)
}

// requireNormalService waits until an entry serves a non-idempotent request and a
// job of it completes.
func (c *cluster) requireNormalService(entry int) {
	c.t.Helper()
	e := c.Entries[entry].Entry
	c.eventually("a charge", func() bool {
		id := fmt.Sprintf("charge-%d", time.Now().UnixNano())
		answer, err := e.SubmitRequest(c.ctx, api.RequestInput{
			ID: id, IdempotencyKey: id, Template: "billing-charge", Customer: "hue-temple-desk", Parameters: map[string]string{"amount": "1"},
		})
		if answer.Outcome == rescode.NotRun {
			c.notRun = append(c.notRun, id)
		}
		return err == nil && answer.Code == rescode.OK
	})
	var job structs.Job
	c.eventually("a submission", func() bool {
		var err error
		job, err = e.SubmitJob(c.ctx, api.JobInput{Template: "clip-batch", Customer: "hue-temple-desk", Count: 2, Key: "after"})
		return err == nil
	})
	c.eventually("the end of a job", func() bool { return c.inState(entry, job, structs.TaskDone) == 2 })
}

// TestStoreOutage guards against tasks that end, and unproven refusals, while
// the key-value service is down, once and twice in a row.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	feeds := []structs.Job{c.submit(0, "live-feed", 3), c.submit(1, "live-feed", 3)}
	c.waitRunning(2, feeds...)
	for range 2 {
		c.storeFaults(standinkv.Faults{Down: true})
		time.Sleep(outageDuration)
		c.requireOutageBehavior(0)
		c.requireOutageBehavior(2)
		c.requireUntouched(feeds...)
		c.storeFaults(standinkv.Faults{})
		c.requireNormalService(1)
		c.requireUntouched(feeds...)
	}
	c.checkRecords()
}

// TestStoreOutageWithEntryKilled guards against tasks that end when an entry
// dies while the key-value service is down, and against a wave of evictions
// when the service returns.
func TestStoreOutageWithEntryKilled(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	feeds := []structs.Job{c.submit(0, "live-feed", 3), c.submit(1, "live-feed", 3)}
	c.waitRunning(2, feeds...)
	done := c.sendLoad(40, 15*time.Second, 0, 1, 2)
	c.eventually("executions", func() bool { return len(c.Upstreams[0].Records().Executions) > 20 })
	c.storeFaults(standinkv.Faults{Down: true})
	time.Sleep(5 * time.Second)
	x, y, z := c.entriesByShards()
	c.Entries[x].Kill()
	c.requireAnswered(<-done)
	time.Sleep(outageDuration - 10*time.Second)
	c.requireOutageBehavior(y)
	c.requireOutageBehavior(z)
	c.requireUntouched(feeds...)
	c.storeFaults(standinkv.Faults{})
	c.eventually("takeover", func() bool { return len(c.ownedShards(y))+len(c.ownedShards(z)) == 16 })
	c.requireNormalService(y)
	c.waitRunning(y, feeds...)
	c.requireUntouched(feeds...)
	c.checkRecords()
}

// TestStoreAnswersLost guards against a change that is made twice or lost when
// the key-value service applies it and its answer is lost.
func TestStoreAnswersLost(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3})
	done := c.sendLoad(60, 10*time.Second, 0, 1, 2)
	var jobs []structs.Job
	version := uint64(0)
	for i := range 12 {
		c.storeFaults(standinkv.Faults{LoseAnswers: 3})
		var job structs.Job
		c.eventually("a submission", func() bool {
			var err error
			job, err = c.Entries[i%3].Entry.SubmitJob(c.ctx, api.JobInput{Template: "clip-batch", Customer: "hue-temple-desk", Count: 2, Key: fmt.Sprint("job-", i)})
			return err == nil
		})
		jobs = append(jobs, job)
		c.storeFaults(standinkv.Faults{LoseAnswers: 1})
		c.eventually("an edit", func() bool {
			customer, err := c.Entries[i%3].Entry.SetCustomer(c.ctx, structs.Customer{Name: "edited", Team: fmt.Sprint("team-", i)}, version)
			if err == nil || rescode.Of(err) == rescode.VersionConflict && customer.Team == fmt.Sprint("team-", i) {
				version = customer.Version
				return true
			}
			return false
		})
	}
	c.requireAnswered(<-done)
	require.NotZero(t, c.Store.Records().AnswersLost)
	c.storeFaults(standinkv.Faults{})
	for _, job := range jobs {
		c.eventually("the end of "+job.ID, func() bool { return c.inState(1, job, structs.TaskDone) == 2 })
	}
	require.NotZero(t, c.checkRecords().Starts)
}
