package bench

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/structs"
)

// warmup is the wait before the first window. In it a deployment finishes its start:
// sessions, the first configuration push and the first acknowledgements.
const warmup = 3 * time.Second

// eachWindow measures successive windows of a running deployment. At the start of
// a window it calls work, if not nil, with the number of the window; record gets
// the change of all counters and the length of the window.
func (b *bench) eachWindow(ctx context.Context, r *rig, work func(context.Context, int) error, record func(repeat int, d reading, seconds float64)) error {
	if err := sleep(ctx, warmup); err != nil {
		return err
	}
	for repeat := range repeats {
		before := r.read()
		end := time.After(b.window())
		if work != nil {
			if err := work(ctx, repeat); err != nil {
				return err
			}
		}
		select {
		case <-end:
		case <-ctx.Done():
			return ctx.Err()
		}
		d, seconds := r.read().delta(before)
		record(repeat, d, seconds)
	}
	return nil
}

// storeWindow is long enough for one full read of the configuration and six watches
// of an entry.
const storeWindow = 60 * time.Second

// storeCalls varies the entries without agents. All sizes and repeats run at
// once: calls are counted, not timed.
func (b *bench) storeCalls(ctx context.Context) error {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	for _, n := range []int{2, 4, 6} {
		for repeat := range repeats {
			g.Go(func() error {
				r, err := startRig(ctx, n, 0, nil)
				if err != nil {
					return err
				}
				defer r.stop()
				before := r.read()
				if err := sleep(ctx, storeWindow); err != nil {
					return err
				}
				d, seconds := r.read().delta(before)
				mu.Lock()
				defer mu.Unlock()
				b.addStore(float64(n), repeat, d.store, seconds)
				return nil
			})
		}
	}
	return g.Wait()
}

// addStore records the rates of store calls.
func (b *bench) addStore(x float64, repeat int, d storeCounts, seconds float64) {
	const per = "entries"
	b.add("kv.idle_reads", "reads/s", per, x, repeat, d.Reads/seconds)
	b.add("kv.idle_read_bytes", "value bytes read/s", per, x, repeat, d.ReadBytes/seconds)
	b.add("kv.idle_writes", "writes/s", per, x, repeat, d.Writes/seconds)
	b.add("kv.idle_watches", "watch calls/s", per, x, repeat, d.Watches/seconds)
	b.add("kv.idle_leases", "lease calls/s", per, x, repeat, d.Leases/seconds)
}

// entries varies the entries: traffic of an idle agent, processor time and memory
// of the sessions, and the time until an edit is in force.
func (b *bench) entries(ctx context.Context) error {
	const agents = 24
	for _, n := range []int{2, 3, 4, 6} {
		r, err := startRig(ctx, n, agents, nil)
		if err != nil {
			return err
		}
		err = b.entriesAt(ctx, r, float64(n), agents)
		r.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) entriesAt(ctx context.Context, r *rig, x, agents float64) error {
	const per = "entries"
	err := b.eachWindow(ctx, r, nil, func(repeat int, d reading, seconds float64) {
		b.add("agent.idle_bytes", "B/s of one agent", per, x, repeat, d.bytes/seconds/agents)
		b.add("agent.idle_data_frames", "data frames/s of one agent", per, x, repeat, d.data/seconds/agents)
		b.add("agent.idle_pings", "ping frames/s of one agent", per, x, repeat, d.pings/seconds/agents)
		b.add("agent.idle_updates", "window updates/s of one agent", per, x, repeat, d.updates/seconds/agents)
		b.add("agent.idle_segments", "TCP segments/s of one agent", per, x, repeat, d.segs/seconds/agents)
		b.add("cpu.session", "core per agent, both ends", per, x, repeat, d.cpu/seconds/agents)
		b.add("allocs.session", "objects/s per agent, both ends", per, x, repeat, d.allocs/seconds/agents)
		b.add("memory.agent", "B of one agent with its sessions, both ends", per, x, repeat, (heapInUse()-r.baseHeap)/agents)
	})
	if err != nil {
		return err
	}
	for repeat := range repeats {
		took, err := r.edit(ctx, repeat)
		if err != nil {
			return err
		}
		b.add("edit.in_force", "s until every entry shows an edit", per, x, repeat, took.Seconds())
	}
	return nil
}

// edit changes the customer once and returns the time until every entry shows
// the new version.
func (r *rig) edit(ctx context.Context, n int) (time.Duration, error) {
	e := r.entries[n%len(r.entries)]
	current, err := e.GetCustomer(ctx, customerName)
	if err != nil {
		return 0, err
	}
	current.Parameters = map[string]map[string]string{idempotentRequest: {"day": time.Now().Format(time.RFC3339Nano)}}
	started := time.Now()
	stored, err := e.SetCustomer(ctx, current, current.Version)
	if err != nil {
		return 0, err
	}
	for _, other := range r.entries {
		if err := r.wait(func() bool {
			c, err := other.GetCustomer(ctx, customerName)
			return err == nil && c.Version >= stored.Version
		}); err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

// agents varies the agents at three entries: processor time, allocations and
// store calls, which must not depend on the agents.
func (b *bench) agents(ctx context.Context) error {
	const entries = 3
	for _, n := range []int{25, 50, 100, 200} {
		r, err := startRig(ctx, entries, n, nil)
		if err != nil {
			return err
		}
		x := float64(n)
		err = b.eachWindow(ctx, r, nil, func(repeat int, d reading, seconds float64) {
			b.add("cpu.agent", "core of all processes with 3 entries", "agents", x, repeat, d.cpu/seconds)
			b.add("allocs.agent", "objects/s of all processes with 3 entries", "agents", x, repeat, d.allocs/seconds)
			b.add("bytes.agent", "B/s of all sessions with 3 entries", "agents", x, repeat, d.bytes/seconds)
			b.add("kv.calls_agents", "store calls/s of 3 entries", "agents", x, repeat, (d.store.Reads+d.store.Writes+d.store.Watches+d.store.Leases)/seconds)
			b.add("memory.agents", "B of agents and sessions with 3 entries", "agents", x, repeat, heapInUse()-r.baseHeap)
		})
		r.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// tasks varies the running tasks of each agent.
func (b *bench) tasks(ctx context.Context) error {
	for _, n := range []int{0, 8, 16, 32} {
		if err := b.tasksAt(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) tasksAt(ctx context.Context, perAgent int) error {
	const entries, agents, per = 3, 12, "running tasks of an agent"
	r, err := startRig(ctx, entries, agents, nil)
	if err != nil {
		return err
	}
	defer r.stop()
	// One job for each task, so that they spread over the shards.
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxInFlight)
	for i := range perAgent * agents {
		g.Go(func() error {
			_, err := r.entries[i%entries].SubmitJob(gctx, api.JobInput{Template: feedTask, Customer: customerName})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if err := r.wait(func() bool { return r.countTasks(structs.TaskRunning) == perAgent*agents }); err != nil {
		return err
	}
	x := float64(perAgent)
	return b.eachWindow(ctx, r, nil, func(repeat int, d reading, seconds float64) {
		b.add("agent.task_segments", "TCP segments/s of one agent with 3 entries", per, x, repeat, d.segs/seconds/agents)
		b.add("agent.task_bytes", "B/s of one agent with 3 entries", per, x, repeat, d.bytes/seconds/agents)
		b.add("kv.task_writes", "writes/s of all entries", per, x, repeat, d.store.Writes/seconds)
		b.add("cpu.task", "core per agent with 3 entries", per, x, repeat, d.cpu/seconds/agents)
		b.add("allocs.task", "objects/s per agent with 3 entries", per, x, repeat, d.allocs/seconds/agents)
		b.add("memory.task", "B per agent, entries and agent together", per, x, repeat, (heapInUse()-r.baseHeap)/agents)
	})
}

// edits varies the edits in a window.
func (b *bench) edits(ctx context.Context) error {
	const entries, agents, per = 3, 24, "edits"
	r, err := startRig(ctx, entries, agents, nil)
	if err != nil {
		return err
	}
	defer r.stop()
	for _, n := range []int{0, 5, 10, 20} {
		x := float64(n)
		err := b.eachWindow(ctx, r, func(ctx context.Context, _ int) error {
			for i := range n {
				if _, err := r.edit(ctx, i); err != nil {
					return err
				}
			}
			return nil
		}, func(repeat int, d reading, _ float64) {
			b.add("agent.edit_bytes", "B of one agent with 3 entries in a window", per, x, repeat, d.bytes/agents)
			b.add("agent.edit_frames", "data frames of one agent with 3 entries in a window", per, x, repeat, d.data/agents)
			b.add("kv.edit_writes", "writes in a window", per, x, repeat, d.store.Writes)
			b.add("kv.edit_reads", "reads in a window", per, x, repeat, d.store.Reads)
			b.add("kv.edit_watches", "watch calls in a window with 3 entries", per, x, repeat, d.store.Watches)
		})
		if err != nil {
			return err
		}
	}
	return nil
}
