package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// The disruption of the case crashes: one executor of eight is down at a time.
const (
	crashVMs      = 8
	crashEvery    = 2 * time.Second
	crashDowntime = 1500 * time.Millisecond
	crashSpan     = 76 * time.Second
	feeds         = 8
	feedTasks     = 12
)

// crashes submits lasting jobs, lets executors crash that no task has harmed, one after the other
// and drawn at random, and checks that no job is shown as failed: none of its runs ends so.
func crashes(ctx context.Context, r *record, trouble bool) (string, error) {
	behavior := func(_ *vm, o fleet.StartOrder) (time.Duration, fleet.EndReason) {
		if strings.HasPrefix(o.Spec, "feed") {
			return 0, fleet.EndDone // until it is stopped
		}
		return 300 * time.Millisecond, fleet.EndDone
	}
	return start(ctx, r, 3, crashVMs, func(int) string { return "a" }, behavior, func(f *fleetUnderTest, ev *events) (string, error) {
		ids := make([]string, feeds)
		for i := range ids {
			ids[i] = newID()
			job := submission{Spec: fmt.Sprintf("feed %d", i), Steps: []step{{Count: feedTasks, CPU: 1000, MemMB: 2000, EstimateMs: 30000, Lasting: true, Image: "feed"}}}
			if !f.submit(ids[i], job) {
				return "", fmt.Errorf("job %s was not accepted", ids[i])
			}
		}
		sleep(ctx, 2*time.Second)
		until, next := time.Now().Add(crashSpan), time.Now()
		for time.Now().Before(until) && ctx.Err() == nil {
			if trouble && time.Now().After(next) {
				next = time.Now().Add(crashEvery)
				v := f.vms[rand.IntN(len(f.vms))]
				f.crash(v)
				time.AfterFunc(crashDowntime, func() {
					if ctx.Err() == nil {
						f.begin(v, "a")
					}
				})
			}
			for _, id := range ids {
				status, state := f.state(id)
				if n := ev.failedEnds(id); state == "failed" && n == 0 {
					r.line("GET %s: %d %s", id, status, state)
					return fmt.Sprintf("job %s is shown as failed; no run of it has ended as failed, and nobody has cancelled it", id), nil
				}
			}
			sleep(ctx, 250*time.Millisecond)
		}
		for _, id := range ids {
			status, state := f.state(id)
			r.line("GET %s: %d %s", id, status, state)
		}
		return "", nil
	})
}
