package bench

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"vanillalock.example/vanillalock/internal/agent"
	"vanillalock.example/vanillalock/internal/entry"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire"
)

const (
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 60 * time.Second
	// maxAgents bounds the agents of one process, so that it stays far below the
	// memory limit.
	maxAgents      = 300
	slotsPerVM     = 8
	vmMilliCPU     = 16_000
	vmMemoryMB     = 62_000
	vmsPerRack     = 3
	failureDomains = 2
)

// rig is a deployment of real entries and agents in this process.
type rig struct {
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	store    *countingStore
	entries  []*entry.Entry
	agents   []*agent.Agent
	seeds    []string
	frames   frameCounts
	started  func(structs.TaskID)
	baseHeap float64 // heap in use after the start of the entries, before the first agent
}

// startRig starts entries, waits until they own all shards, and then agents.
func startRig(ctx context.Context, entries, agents int, started func(structs.TaskID)) (*rig, error) {
	if agents > maxAgents {
		return nil, fmt.Errorf("%d agents are more than %d", agents, maxAgents)
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &rig{ctx: ctx, cancel: cancel, store: newCountingStore(), started: started}
	if err := r.start(entries, agents); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

func (r *rig) start(entries, agents int) error {
	for i := range entries {
		if err := r.startEntry(i, entries, agents); err != nil {
			return err
		}
	}
	if err := r.configure(); err != nil {
		return err
	}
	if err := r.wait(func() bool { return r.ready(0) }); err != nil {
		return err
	}
	r.baseHeap = heapInUse()
	for i := range agents {
		r.startAgent(i)
	}
	return r.wait(func() bool { return r.ready(agents) })
}

func (r *rig) stop() {
	r.cancel()
	r.wg.Wait()
}

func (r *rig) startEntry(i, entries, agents int) error {
	listener, err := wire.Listen("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Options{
		ID: fmt.Sprintf("entry-%d", i), Region: "bench", FailureDomain: domainOf(i),
		Session: countingListener{Listener: listener, counts: &r.frames}, Advertise: listener.Addr().String(),
		Store: r.store, Log: obs.DiscardLogger(), Tracer: noop.NewTracerProvider().Tracer(""),
		Slots: max(1, agents*slotsPerVM), Entries: entries,
	})
	if err != nil {
		return err
	}
	r.entries, r.seeds = append(r.entries, e), append(r.seeds, listener.Addr().String())
	r.wg.Go(func() { _ = e.Run(r.ctx) })
	return nil
}

func (r *rig) startAgent(i int) {
	machine := newVM(r.started)
	a := agent.New(agent.Options{
		Node: structs.Node{
			ID: fmt.Sprintf("vm-%03d", i), FailureDomain: domainOf(i), Rack: fmt.Sprintf("rack-%02d", i/vmsPerRack),
			Capacity: structs.Resources{MilliCPU: vmMilliCPU, MemoryMB: vmMemoryMB, Accelerators: 2}, Slots: slotsPerVM, Connections: 64,
		},
		Entries: r.seeds, Worker: machine, Upstream: machine,
		Log: obs.DiscardLogger(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	r.agents = append(r.agents, a)
	r.wg.Go(func() { _ = a.Run(r.ctx) })
}

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%failureDomains) }

// Names of the configuration that every case uses.
const (
	idempotentRequest = "slot-check"
	chargeRequest     = "billing-charge"
	feedTask          = "live-feed"
	shortTask         = "clip-batch"
	urgentTask        = "urgent-clip"
	customerName      = "hue-temple-desk"
)

func (r *rig) configure() error {
	small := structs.Resources{MilliCPU: 100, MemoryMB: 100}
	templates := []structs.Template{
		{Name: idempotentRequest, Kind: structs.KindRequest, QoS: structs.LatencyCritical, Idempotent: true, ExpectedMillis: 5, DeadlineMillis: 10_000},
		{Name: chargeRequest, Kind: structs.KindRequest, QoS: structs.LatencyCritical, ExpectedMillis: 5, DeadlineMillis: 10_000},
		{Name: feedTask, Kind: structs.KindTask, QoS: structs.LatencyCritical, LongRunningService: true, MaxAttempts: 100, Resources: small},
		{Name: shortTask, Kind: structs.KindTask, QoS: structs.Batch, ExpectedMillis: 500, MaxAttempts: 5, Resources: small},
		{Name: urgentTask, Kind: structs.KindTask, QoS: structs.LatencyCritical, ExpectedMillis: 500, MaxAttempts: 5, Resources: small},
	}
	for _, t := range templates {
		if err := r.retry(func() error { _, err := r.entries[0].SetTemplate(r.ctx, t, 0); return err }); err != nil {
			return err
		}
	}
	return r.retry(func() error {
		_, err := r.entries[0].SetCustomer(r.ctx, structs.Customer{Name: customerName, Team: "hue"}, 0)
		return err
	})
}

// retry repeats a call until it succeeds: entries refuse edits while they start.
func (r *rig) retry(call func() error) error {
	var last error
	err := r.wait(func() bool { last = call(); return last == nil })
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

// wait polls a condition until it holds or readyTimeout has passed.
func (r *rig) wait(condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("the deployment is not ready after %v", readyTimeout)
		}
		if err := sleep(r.ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether every entry has the configuration and sees all other entries
// and the agents, and all shards are owned.
func (r *rig) ready(agents int) bool {
	shards := 0
	for _, e := range r.entries {
		status := e.Status(r.ctx)
		templates, err := e.ListTemplates(r.ctx)
		alive := 0
		for _, u := range status.Upstreams {
			if u.State == "alive" {
				alive++
			}
		}
		if err != nil || len(templates) < 5 || alive < agents || len(status.Peers) < len(r.entries)-1 {
			return false
		}
		shards += len(status.OwnedShards)
	}
	return shards == entry.DefaultShards
}

// countTasks counts the tasks in a state.
func (r *rig) countTasks(state structs.TaskState) int {
	n := 0
	for _, e := range r.entries {
		n += e.Status(r.ctx).Tasks[string(state)]
	}
	return n
}

// sleep waits, or returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// reading is a snapshot of all counters.
type reading struct {
	at      time.Time
	store   storeCounts
	bytes   float64 // of sessions, both directions, yamux framing included
	data    float64 // yamux data frames
	pings   float64
	updates float64 // yamux window updates
	segs    float64 // TCP segments of sessions, both directions
	cpu     float64 // seconds of this process, user and system
	allocs  float64 // objects allocated by this process
}

func (r *rig) read() reading {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return reading{
		at: time.Now(), store: r.store.snapshot(), bytes: float64(r.frames.bytes.Load()),
		data: float64(r.frames.frames[muxData].Load()), pings: float64(r.frames.frames[muxPing].Load()),
		updates: float64(r.frames.frames[muxWindowUpdate].Load()), cpu: cpuSeconds(), allocs: float64(mem.Mallocs), segs: float64(r.frames.segments()),
	}
}

// delta returns the change from b to a, with at unset, and the time between them.
func (a reading) delta(b reading) (d reading, seconds float64) {
	return reading{
		store: a.store.sub(b.store), bytes: a.bytes - b.bytes, data: a.data - b.data, pings: a.pings - b.pings,
		updates: a.updates - b.updates, cpu: a.cpu - b.cpu, allocs: a.allocs - b.allocs, segs: a.segs - b.segs,
	}, a.at.Sub(b.at).Seconds()
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// heapInUse returns the bytes of live objects and goroutine stacks after a
// garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools released
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc + mem.StackInuse)
}
