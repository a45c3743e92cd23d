package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
)

const (
	labelVMs      = 8
	labelEvery    = 6 * time.Second
	labelDowntime = 1500 * time.Millisecond
	labelSpan     = 60 * time.Second
)

// label submits jobs whose tasks require the label b, lets executors of that kind crash and come
// back as kind a, and of kind a as kind b, and checks that no task runs without its label.
func label(ctx context.Context, r *record, trouble bool) (string, error) {
	behavior := func(*vm, fleet.StartOrder) (time.Duration, fleet.EndReason) {
		return 500 * time.Millisecond, fleet.EndDone
	}
	kind := func(i int) string { return string("ab"[i%2]) }
	return start(ctx, r, 3, labelVMs, kind, behavior, func(f *fleetUnderTest, ev *events) (string, error) {
		var mu sync.Mutex
		kinds := map[string]string{} // by life of an executor
		for i, v := range f.vms {
			kinds[fmt.Sprintf("%s/%d", v.name, v.lives)] = kind(i)
		}
		check := func() string {
			mu.Lock()
			defer mu.Unlock()
			ev.mu.Lock()
			defer ev.mu.Unlock()
			for _, s := range ev.starts {
				if s.Spec == "b" && kinds[s.Executor] == "a" {
					return fmt.Sprintf("%s run %d, which requires the label b, has been started on %s, which is of kind a", s.Task, s.Run, s.Executor)
				}
			}
			return ""
		}
		until, next, turn := time.Now().Add(labelSpan), time.Now().Add(2*time.Second), 0
		for time.Now().Before(until) && ctx.Err() == nil {
			go f.submit(newID(), submission{Spec: "b", Steps: []step{{Count: 8, CPU: 500, MemMB: 500, EstimateMs: 500, Label: "b"}}})
			if trouble && time.Now().After(next) {
				next = time.Now().Add(labelEvery)
				for range 100 {
					v := f.vms[rand.IntN(len(f.vms))]
					mu.Lock()
					from := kinds[fmt.Sprintf("%s/%d", v.name, v.lives)]
					mu.Unlock()
					if want := string("ba"[turn%2]); from != want {
						continue
					}
					turn++
					f.crash(v)
					time.AfterFunc(labelDowntime, func() {
						if ctx.Err() != nil {
							return
						}
						to := map[string]string{"a": "b", "b": "a"}[from]
						mu.Lock()
						kinds[fmt.Sprintf("%s/%d", v.name, v.lives+1)] = to
						mu.Unlock()
						f.begin(v, to)
					})
					break
				}
			}
			if what := check(); what != "" {
				return what, nil
			}
			sleep(ctx, 150*time.Millisecond)
		}
		return check(), nil
	})
}

var _ standin.Observer = (*events)(nil)
