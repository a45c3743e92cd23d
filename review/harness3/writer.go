package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	wire "vanillalock.example/vanillalock/platform/standin"
)

const (
	writerVMs     = 8
	writerAfter   = 6 * time.Second // of traffic
	writerTraffic = 20 * time.Second
	writerEvery   = 300 * time.Millisecond
	finishBound   = 14 * time.Second // finish_s
	idleBound     = 3 * time.Second
	otherSeq      = 1 << 40 // the other writer counts its pings on its own
)

// pingOfOther sends a ping of another writer about a VM's executor, in which fields are missing:
// version, slots and labels. It returns the status of the answer.
func (f *fleetUnderTest) pingOfOther(v *vm) (int, error) {
	x := v.current.Load()
	body, err := json.Marshal(map[string]any{
		"service": poolName, "address": v.address, "zone": x.Description.FailureDomain, "state": "ready", "seq": otherSeq, "born": x.Born(),
		"capacity": map[string]int64{"cpu": v.capacity.MilliCPU, "mem_mb": v.capacity.MemoryMB, "gpu": 0},
	})
	if err != nil {
		return 0, err
	}
	url := "http://" + net.JoinHostPort(v.ip, fmt.Sprint(wire.ControlPort)) + "/vanillalock/Instances.Heartbeat/" + x.Description.ID
	resp, err := f.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	f.record.line("ping of another writer for %s: %d; sent: %s", v.name, resp.StatusCode, body)
	return resp.StatusCode, resp.Body.Close()
}

// writer submits jobs whose second step requires the label of one executor, has another writer
// send a ping about that executor, and checks that no accepted job stays without a running task
// while that executor is sound and idle.
func writer(ctx context.Context, r *record, trouble bool) (string, error) {
	behavior := func(*vm, fleet.StartOrder) (time.Duration, fleet.EndReason) {
		return 600 * time.Millisecond, fleet.EndDone
	}
	kind := func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}
	return start(ctx, r, 3, writerVMs, kind, behavior, func(f *fleetUnderTest, ev *events) (string, error) {
		var mu sync.Mutex
		var accepted []string
		var clients sync.WaitGroup
		began, sent := time.Now(), false
		for time.Since(began) < writerTraffic && ctx.Err() == nil {
			clients.Go(func() {
				id := newID()
				steps := []step{{Count: 2, CPU: 250, MemMB: 480, EstimateMs: 600}, {Count: 4, CPU: 250, MemMB: 480, EstimateMs: 600, Label: "b", After: []int{0}}}
				if f.submit(id, submission{Spec: "two steps", Steps: steps}) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			})
			if trouble && !sent && time.Since(began) > writerAfter {
				sent = true
				if _, err := f.pingOfOther(f.vms[0]); err != nil {
					return "", err
				}
			}
			sleep(ctx, writerEvery)
		}
		clients.Wait()
		r.line("end of the traffic, %d jobs accepted", len(accepted))
		sleep(ctx, finishBound)
		stuck := 0
		for _, id := range accepted {
			_, state := f.state(id)
			idle, last := ev.idle(id)
			if state == "done" || !idle || time.Since(last) < idleBound {
				continue
			}
			stuck++
			r.line("GET %s: %s; nothing of it has run for %v", id, state, time.Since(last).Round(time.Millisecond))
		}
		busy := 0
		for _, s := range ev.all() {
			if f.audit.Running(s.Task) {
				busy++
			}
		}
		r.line("%d tasks are at work", busy)
		if stuck == 0 {
			return "", nil
		}
		return fmt.Sprintf("%d of %d accepted jobs have had nothing running for over %v, with %d tasks at work on %d sound executors", stuck, len(accepted), idleBound, busy, len(f.vms)), nil
	})
}

// idle reports whether no run of a job is at work, and when the last one ended or started.
func (e *events) idle(job string) (bool, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := map[[2]any]bool{}
	var last time.Time
	for _, s := range e.starts {
		if s.Task.Job == job {
			open[[2]any{s.Task, s.Run}] = true
		}
	}
	for _, s := range e.ends {
		if s.Task.Job == job {
			delete(open, [2]any{s.Task, s.Run})
			if at := e.endAt[[2]any{s.Task, s.Run}]; at.After(last) {
				last = at
			}
		}
	}
	return len(open) == 0, last
}

// all returns the starts so far.
func (e *events) all() []standin.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]standin.Event(nil), e.starts...)
}
