package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
)

// The check must not miss a run that goes on, nor count the time in which faults excuse it.
func TestCheckReportsRunsOfCancelledJobs(t *testing.T) {
	const limit = maxCancelTime + maxStopTime
	cases := []struct {
		name      string
		startedAt time.Duration // after the acknowledgement of the cancellation
		faultEnds time.Duration // after it; 0: no fault
		checkedAt time.Duration // after it
		reported  int
	}{
		{"in time", -time.Second, 0, limit, 0},
		{"runs on", -time.Second, 0, limit + time.Millisecond, 1},
		{"runs on beside a fault", -time.Second, 10 * time.Second, 10 * time.Second, 0},
		{"runs on soon after a fault", -time.Second, 2 * time.Second, 2*time.Second + steadyDelay + limit, 0},
		{"runs on after a fault", -time.Second, 2 * time.Second, 2*time.Second + steadyDelay + limit + time.Millisecond, 1},
		{"fault ended before", -time.Second, time.Millisecond, limit + steadyDelay + 2*time.Millisecond, 1},
		{"starts in time", maxCancelTime, 0, limit, 0},
		{"starts late", maxCancelTime + time.Millisecond, 0, limit, 1},
		{"starts soon after a fault", 4 * time.Second, 2 * time.Second, 5 * time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChecker()
				job := &sentJob{id: "1", attempts: queueAttempts, steps: []fleet.Step{{Count: 1}}}
				c.addJob(job)
				if tc.faultEnds > 0 {
					c.beginFault()
				}
				start := func() { c.Started(standin.Event{Task: fleet.TaskID{Job: "1"}, Run: 1, Executor: "x"}) }
				if tc.startedAt < 0 {
					start()
				}
				time.Sleep(time.Second)
				acked := time.Now()
				c.update(job, func() { job.cancelAcked = acked })
				if tc.startedAt >= 0 {
					time.AfterFunc(tc.startedAt, start)
				}
				if tc.faultEnds > 0 {
					time.AfterFunc(tc.faultEnds, c.endFault)
				}
				time.Sleep(tc.checkedAt)
				synctest.Wait()
				c.checkCancelled()
				c.checkCancelled() // a run is reported once
				assert.Len(t, c.finish(), tc.reported)
			})
		})
	}
}
