package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

const (
	crashDowntime = 3 * time.Second // of an executor that a task has crashed
	deadlyVMs     = 8
	deadlyJobs    = 3
	deadlyEvery   = 250                   // ticks of 0.1 s
	shortEvery    = 8                     // the same
	deadlyAfter   = 10 * time.Millisecond // after its start a task crashes its executor
	deadlySpan    = 80 * time.Second
	killAfter     = time.Second // after the crash
	maxKills      = 12
	maxStarts     = 6
)

// deadly submits jobs with a task that crashes each executor that starts it, kills the leader
// when a run has been started again, and checks that no such task is started three times more
// after three executors have crashed under it.
func deadly(ctx context.Context, r *record, trouble bool) (string, error) {
	behavior := func(_ *vm, o fleet.StartOrder) (time.Duration, fleet.EndReason) {
		if strings.HasPrefix(o.Spec, "deadly") {
			return deadlyAfter, fleet.EndUnknown // crashes the executor
		}
		return 850 * time.Millisecond, fleet.EndDone
	}
	return start(ctx, r, 3, deadlyVMs, func(int) string { return "a" }, behavior, func(f *fleetUnderTest, ev *events) (string, error) {
		until, submitted := time.Now().Add(deadlySpan), 0
		repeated := map[[2]any]bool{} // runs that were started again, each a cause to kill the leader
		for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
			if i%deadlyEvery == 0 && submitted < deadlyJobs {
				submitted++
				go f.submit(newID(), submission{Spec: "short", Steps: []step{{Count: 36, CPU: 250, MemMB: 480, EstimateMs: 850}}}) // starts beside it
				sleep(ctx, 30*time.Millisecond)
				go f.submit(newID(), submission{Spec: fmt.Sprintf("deadly %d", submitted), Steps: []step{{Count: 1, CPU: 250, MemMB: 480, EstimateMs: 850}}})
			}
			if i%shortEvery == 0 {
				go f.submit(newID(), submission{Spec: "short", Steps: []step{{Count: 2, CPU: 250, MemMB: 480, EstimateMs: 850}}})
			}
			tasks, runs, kill := map[fleet.TaskID]int{}, map[[2]any]int{}, false
			for _, s := range ev.all() {
				if !strings.HasPrefix(s.Spec, "deadly") {
					continue
				}
				run := [2]any{s.Task, s.Run}
				tasks[s.Task]++
				runs[run]++
				if tasks[s.Task] >= maxStarts {
					return fmt.Sprintf("%s has been started three times more after three executors had crashed under it", s.Task), nil
				}
				if runs[run] > 1 && !repeated[run] {
					repeated[run], kill = true, true
				}
			}
			if trouble && kill && len(repeated) <= maxKills {
				sleep(ctx, killAfter)
				f.killLeader()
			}
			sleep(ctx, 100*time.Millisecond)
		}
		return "", nil
	})
}
