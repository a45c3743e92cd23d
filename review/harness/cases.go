package main

import (
	"context"
	"errors"
	"time"
)

const warmUp = 4 * time.Second // traffic starts this long after all entries are ready

// play runs body on a deployment, and ends the deployment.
func play(ctx context.Context, dir string, j *judge, vms, attempts int, runTime func(string, int) time.Duration, body func(ctx context.Context, d *deployment) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(ctx, dir, j, 3, vms, attempts, runTime)
	defer d.done.Wait()
	defer cancel()
	if err != nil {
		return err
	}
	if err := d.ready(20 * time.Second); err != nil {
		return err
	}
	sleep(ctx, warmUp)
	return body(ctx, d)
}

// finished asks for the state of jobs until all are final or the limit has passed, and
// returns those that are not done.
func (d *deployment) finished(ids []string, limit time.Duration) map[string]string {
	until := time.Now().Add(limit)
	left := map[string]string{}
	for _, id := range ids {
		for {
			s := d.state(id)
			if s == "done" {
				delete(left, id)
				break
			}
			left[id] = s
			if s == "failed" || s == "cancelled" || time.Now().After(until) || d.ctx.Err() != nil {
				break
			}
			sleep(d.ctx, 300*time.Millisecond)
		}
	}
	return left
}

// refusedTwice: start orders get no answer and are carried out late, the executor says
// that it drains, and its agent's session with the leader is reset.
func refusedTwice(ctx context.Context, dir string, j *judge, trouble bool) error {
	runTime := func(string, int) time.Duration { return 4 * time.Second }
	return play(ctx, dir, j, 7, 3, runTime, func(ctx context.Context, d *deployment) error {
		var ids []string
		x, a := d.executors[0], d.agents[0]
		if trouble {
			j.note("trouble: half of the start orders to executors get no answer for 5 s and are carried out 2 to 3 s later")
			for _, x := range d.executors {
				x.setLate(&lateOrders{0.5, 2 * time.Second, 3 * time.Second})
			}
			time.AfterFunc(5*time.Second, func() {
				for _, x := range d.executors {
					x.setLate(nil)
				}
				j.note("trouble: start orders are answered again")
			})
		}
		for range 4 {
			id := newID()
			if err := d.submit(id, map[string]any{"count": 36, "cpu": 240, "mem_mb": 480, "estimate_ms": 4000}); err != nil {
				return err
			}
			ids = append(ids, id)
		}
		if trouble {
			sleep(ctx, 100*time.Millisecond)
			if x.lateStarts() == 0 {
				return errors.New("no start order to the executor is late")
			}
			x.drain(ctx)
			j.note("trouble: the connections of %s with the entries are reset", a.node)
			a.proxy.resetAll()
		}
		for id, s := range d.finished(ids, 40*time.Second) {
			j.breach("LOST: job %s is %q", id, s)
		}
		return nil
	})
}

// manyEnds: the store answers 503 for 4.5 s while more than 500 tasks of an executor end.
func manyEnds(ctx context.Context, dir string, j *judge, trouble bool) error {
	const vms, jobs, width = 4, 84, 36
	runTime := func(string, int) time.Duration { return 6 * time.Second }
	return play(ctx, dir, j, vms, 3, runTime, func(ctx context.Context, d *deployment) error {
		var ids []string
		for range jobs {
			id := newID()
			if err := d.submit(id, map[string]any{"count": width, "cpu": 20, "mem_mb": 64, "estimate_ms": 6000}); err != nil {
				return err
			}
			ids = append(ids, id)
		}
		for {
			n := 0
			for _, x := range d.executors {
				n += x.running()
			}
			j.note("%d tasks run", n)
			if n == jobs*width {
				break
			}
			if ctx.Err() != nil {
				return errors.New("not all tasks run at once")
			}
			sleep(ctx, 200*time.Millisecond)
		}
		if trouble {
			sleep(ctx, 4*time.Second)
			j.note("trouble: the store is busy")
			d.gate.set(true)
			sleep(ctx, 4500*time.Millisecond)
			d.gate.set(false)
			j.note("trouble: the store answers again")
		}
		for id, s := range d.finished(ids, 50*time.Second) {
			j.breach("LOST: job %s is %q", id, s)
		}
		return nil
	})
}

// otherWriter: a ping of another writer, of a service that no configuration names, comes
// to the address for the pings of an executor that is at work.
func otherWriter(ctx context.Context, dir string, j *judge, trouble bool) error {
	runTime := func(string, int) time.Duration { return 6 * time.Second }
	return play(ctx, dir, j, 7, 3, runTime, func(ctx context.Context, d *deployment) error {
		id := newID()
		if err := d.submit(id, map[string]any{"count": 36, "cpu": 240, "mem_mb": 480, "estimate_ms": 6000}); err != nil {
			return err
		}
		sleep(ctx, 1500*time.Millisecond)
		x := d.executors[0]
		if trouble {
			j.note("trouble: %s gets a ping of another writer, of a service that is not named; %d tasks run on its executor", d.agents[0].node, x.running())
			other := &executor{id: "i-5e0f11aa", agent: x.agent}
			ok := other.post(ctx, "Heartbeat", map[string]any{
				"service": "zzother", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"capacity": map[string]int{"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "labels": []string{"a"}, "clock_ms": 10, "seq": 1, "born": time.Now().UnixMilli(),
			})
			j.note("trouble: that ping was acknowledged: %t", ok)
		}
		for id, s := range d.finished([]string{id}, 30*time.Second) {
			j.breach("LOST: job %s is %q", id, s)
		}
		return nil
	})
}
