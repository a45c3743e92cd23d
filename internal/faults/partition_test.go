package faults

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/agent"
	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/entry"
	"vanillalock.example/vanillalock/internal/kv"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
	standinworker "vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
)

// gatedStore is the connection of one entry to the key-value store. Calls fail as
// unavailable while it is shut.
type gatedStore struct {
	kv.Store
	shut atomic.Bool
}

// check returns an error while the gate is shut.
func (g *gatedStore) check(ctx context.Context) error {
	if !g.shut.Load() {
		return nil
	}
	return kv.ErrUnavailable
}

func (g *gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := g.check(ctx); err != nil {
		return kv.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gatedStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	if err := g.check(ctx); err != nil {
		return nil, 0, err
	}
	return g.Store.List(ctx, prefix)
}

func (g *gatedStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease kv.LeaseID) (kv.Entry, error) {
	if err := g.check(ctx); err != nil {
		return kv.Entry{}, err
	}
	return g.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (g *gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := g.check(ctx); err != nil {
		return 0, err
	}
	return g.Store.GrantLease(ctx, ttl)
}

func (g *gatedStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := g.check(ctx); err != nil {
		return err
	}
	return g.Store.KeepAlive(ctx, id)
}

func (g *gatedStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Event, uint64, error) {
	if err := g.check(ctx); err != nil {
		return nil, 0, err
	}
	return g.Store.Watch(ctx, prefix, after)
}

// withRelays puts a relay before every entry.
func withRelays(t *testing.T, o demo.SystemOptions) (demo.SystemOptions, *[]*Relay) {
	t.Helper()
	relays := &[]*Relay{}
	o.Entry = func(e *entry.Options) {
		r, err := NewRelay(e.Session.Addr().String())
		require.NoError(t, err)
		t.Cleanup(r.Close)
		e.Advertise = r.Address()
		*relays = append(*relays, r)
	}
	o.Agent = func(a *agent.Options) {
		a.Entries = nil
		for _, r := range *relays {
			a.Entries = append(a.Entries, r.Address())
		}
	}
	return o, relays
}

// withGatedStores gives every entry a gated connection to the store.
func withGatedStores(o demo.SystemOptions) (demo.SystemOptions, *[]*gatedStore) {
	gates := &[]*gatedStore{}
	before := o.Entry
	o.Entry = func(e *entry.Options) {
		if before != nil {
			before(e)
		}
		g := &gatedStore{Store: e.Store}
		e.Store = g
		*gates = append(*gates, g)
	}
	return o, gates
}

// hostOf returns the VM on which task 0 of a job was started first and the index of
// its worker.
func (c *cluster) hostOf(job structs.Job) (string, int) {
	for i, w := range c.Workers {
		for _, e := range w.Records().Events {
			if e.Kind == standinworker.EventStart && e.Task.Job == job.ID && e.Task.Index == 0 {
				return e.Worker, i
			}
		}
	}
	c.t.Fatalf("%s runs nowhere", job.ID)
	return "", 0
}

// lastStart returns the start event of the latest attempt of a job.
func (c *cluster) lastStart(job structs.Job) standinworker.Event {
	var last standinworker.Event
	for _, e := range c.events() {
		if e.Kind == standinworker.EventStart && e.Task.Job == job.ID && e.AtUnixNs > last.AtUnixNs {
			last = e
		}
	}
	return last
}

// TestPartitionOfAgentAndOwner guards against two running copies of a task when
// its VM and the owner of its shard are cut off from the key-value service and
// the other entries.
func TestPartitionOfAgentAndOwner(t *testing.T) {
	t.Parallel()
	o, relays := withRelays(t, demo.SystemOptions{VMs: 3})
	o, gates := withGatedStores(o)
	c := start(t, o)
	feed, render := c.submit(0, "live-feed", 1), c.submit(0, "memorial-render", 1)
	c.waitRunning(1, feed, render)
	x, y, z := c.entriesByShards()
	vm, _ := c.hostOf(feed)
	// The old owner loses the store and the other entries; its VM loses the
	// new owners; the other VMs lose the old owner.
	(*gates)[x].shut.Store(true)
	for i := range c.Workers {
		id := c.Workers[i].Records().Worker
		if id == vm {
			require.NotZero(t, (*relays)[y].Set(id, Cut))
			require.NotZero(t, (*relays)[z].Set(id, Cut))
			continue
		}
		require.NotZero(t, (*relays)[x].Set(id, Cut))
	}
	c.eventually("takeover", func() bool { return len(c.ownedShards(y))+len(c.ownedShards(z)) == 16 })
	c.eventually("restart of the feed", func() bool { return c.count(standinworker.EventStart, feed.ID) == 2 })
	c.eventually("end of the render", func() bool { return c.inState(y, render, structs.TaskDone) == 1 })
	require.LessOrEqual(t, c.count(standinworker.EventStart, render.ID), 2)
	c.checkRecords()
	(*gates)[x].shut.Store(false)
	for _, r := range *relays {
		for i := range c.Workers {
			r.Set(c.Workers[i].Records().Worker, Forward)
		}
	}
	c.eventually("return of the VM", func() bool { return len(aliveUpstreams(c, y)) == 3 })
	require.Equal(t, 2, c.count(standinworker.EventStart, feed.ID))
	c.checkRecords()
}

// aliveUpstreams returns the ids of the upstreams that an entry sees as alive.
func aliveUpstreams(c *cluster, entry int) []string {
	var out []string
	for _, u := range c.Entries[entry].Entry.Status(c.ctx).Upstreams {
		if u.State == "alive" {
			out = append(out, u.ID)
		}
	}
	return out
}

// TestSilentConnection guards against requests without an outcome when a
// connection goes silent for good: the entry has to notice within 2 s and get
// the answers from the agent's record over a new session.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	o, relays := withRelays(t, demo.SystemOptions{VMs: 3})
	o.Upstream = func(_ int, u *standinupstream.Options) {
		u.StragglerShare = 0
		u.RunMs = map[string]int64{"slot-check": 100, "clip-cut": 100, "preview-render": 100, "billing-charge": 100}
	}
	c := start(t, o)
	done := c.sendLoad(60, 8*time.Second, 0, 1, 2)
	c.eventually("executions", func() bool { return len(c.Upstreams[0].Records().Executions) > 40 })
	silenced := time.Now()
	for _, r := range *relays {
		require.NotZero(t, r.Set("vm-00", Silent))
	}
	c.eventually("detection", func() bool { return len(aliveUpstreams(c, 0)) < 3 })
	// A silent session is closed after 2 s, as specified.
	require.Less(t, time.Since(silenced), 2*time.Second+pollInterval*4)
	c.eventually("a new session", func() bool { return len(aliveUpstreams(c, 0)) == 3 })
	report := <-done
	c.requireAnswered(report)
	require.Zero(t, report.Total.Unknown, "%+v", report.Codes)
	c.checkRecords()
}

// TestAgentCutOff guards against an agent that loses contact to all entries for
// longer than its permits: its tasks have to end in time and run again
// elsewhere, once, from the last checkpoint.
func TestAgentCutOff(t *testing.T) {
	t.Parallel()
	o, relays := withRelays(t, demo.SystemOptions{VMs: 3})
	c := start(t, o)
	render := c.submit(0, "memorial-render", 1)
	c.waitRunning(1, render)
	c.eventually("a checkpoint", func() bool { return c.hasCheckpoint(1, render) })
	vm, _ := c.hostOf(render)
	for _, r := range *relays {
		require.NotZero(t, r.Set(vm, Cut))
	}
	c.eventually("restart", func() bool { return c.count(standinworker.EventStart, render.ID) == 2 })
	require.NotEmpty(t, c.lastStart(render).ResumedFrom)
	for _, r := range *relays {
		r.Set(vm, Forward)
	}
	c.eventually("end of the render", func() bool { return c.inState(1, render, structs.TaskDone) == 1 })
	require.Equal(t, 2, c.count(standinworker.EventStart, render.ID))
	c.checkRecords()
}

// hasCheckpoint reports whether an entry knows a checkpoint of task 0 of a job.
func (c *cluster) hasCheckpoint(entry int, job structs.Job) bool {
	got, err := c.Entries[entry].Entry.GetJob(c.ctx, job.ID)
	return err == nil && got.Tasks[0].Checkpoint != ""
}

// TestSilentConnectionDuringDrain guards against a request that is lost or runs
// twice when a connection goes silent while the agent drains.
func TestSilentConnectionDuringDrain(t *testing.T) {
	t.Parallel()
	o, relays := withRelays(t, demo.SystemOptions{VMs: 3})
	c := start(t, o)
	done := c.sendLoad(60, 6*time.Second, 0, 1, 2)
	c.eventually("executions", func() bool { return len(c.Upstreams[0].Records().Executions) > 20 })
	left := make(chan struct{})
	go func() { defer close(left); c.Agents[0].Leave() }()
	c.eventually("leaving", func() bool { return len(aliveUpstreams(c, 0)) < 3 })
	require.NotZero(t, (*relays)[0].Set("vm-00", Silent))
	<-left
	c.requireAnswered(<-done)
	c.checkRecords()
}

// TestStoreOutageWithAgentCutOff guards against a lapse or a second copy when
// an entry dies during a dispatch while the key-value service is down, and
// against an agent that is cut off for longer than its permit meanwhile.
func TestStoreOutageWithAgentCutOff(t *testing.T) {
	t.Parallel()
	o, relays := withRelays(t, demo.SystemOptions{VMs: 3})
	c := start(t, o)
	feed := c.submit(0, "live-feed", 1)
	c.waitRunning(1, feed)
	vm, _ := c.hostOf(feed)
	done := c.sendLoad(40, 10*time.Second, 0, 1, 2)
	c.storeFaults(standinkv.Faults{Down: true})
	for _, r := range *relays {
		require.NotZero(t, r.Set(vm, Cut))
	}
	c.eventually("end of the attempt", func() bool {
		return c.count(standinworker.EventStop, feed.ID)+c.count(standinworker.EventLapse, feed.ID) == 1
	})
	c.requireAnswered(<-done)
	c.storeFaults(standinkv.Faults{})
	c.eventually("restart", func() bool { return c.count(standinworker.EventStart, feed.ID) == 2 })
	for _, r := range *relays {
		r.Set(vm, Forward)
	}
	c.eventually("return", func() bool { return len(aliveUpstreams(c, 0)) == 3 })
	c.waitRunning(1, feed)
	require.Equal(t, 2, c.count(standinworker.EventStart, feed.ID))
	c.checkRecords()
}
