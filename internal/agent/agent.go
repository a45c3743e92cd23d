// Package agent implements the process that runs beside each VM. It enforces the
// limits of the VM's slots, connections and capacity, whatever the entries
// schedule. It keeps the record that makes requests run at most once, and holds
// the permits of the tasks that run on the worker.
//
// One goroutine owns the control state (type control). Sessions, calls to the
// upstream and calls to the worker run in goroutines of their own and post
// events to it.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/internal/request/dedup"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/upstream"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/worker"
)

const (
	// defaultHeartbeat is the time between two heartbeats to an entry.
	defaultHeartbeat = 2 * time.Second
	// workerRenewInterval is the time between two renewals of the worker's leases.
	// They last up to 3 s, while permits are renewed only every 2 s, so renewals of
	// the leases can't wait for those of the permits.
	workerRenewInterval = time.Second
	// tickInterval drives expiry, reclassification and dispatch deadlines.
	tickInterval = 50 * time.Millisecond
	// leaveGrace is how long a leaving agent still accepts requests, because
	// entries may have sent them before they learned of the departure.
	leaveGrace = 2 * time.Second
	// eventBacklog bounds the events that wait for the control goroutine.
	eventBacklog = 1024
	// defaultDrain bounds a graceful shutdown.
	defaultDrain = 30 * time.Second
)

// Options configure an Agent. Zero durations and configurations take the defaults.
type Options struct {
	Node     structs.Node // Incarnation 0: derived from the start time
	Entries  []string     // session addresses of the entries in the settings
	Worker   worker.Client
	Upstream upstream.Client
	TLS      wire.ClientTLS // nil: plain TCP
	Log      *log.Logger
	Tracer   trace.Tracer
	Drain    time.Duration // bound of a graceful shutdown; 0: 30 s

	Lease          lease.Config  // zero: lease.Default(); equal in all processes of a region
	Records        dedup.Config  // zero: dedup.DefaultConfig()
	Heartbeat      time.Duration // between two heartbeats; 0: 2 s
	SilenceTimeout time.Duration // a session without traffic for so long is closed; 0: 2 s
}

// Agent is one agent incarnation.
type Agent struct {
	opts    Options
	events  chan func(*control)
	stats   wire.Stats
	started time.Time
	metrics *Metrics
	// pendingAnswers counts the streams whose answer is not sent yet.
	pendingAnswers atomic.Int64

	leaveOnce sync.Once
	leaving   chan struct{}
	drained   chan struct{}
	wg        sync.WaitGroup
}

// New returns an agent that has not started yet.
func New(opts Options) *Agent {
	if opts.Node.Incarnation == 0 {
		// The start times order the incarnations of a VM: restarts are further
		// apart than the resolution of its clock.
		opts.Node.Incarnation = uint64(time.Now().UnixNano())
	}
	if opts.Drain == 0 {
		opts.Drain = defaultDrain
	}
	if opts.Lease == (lease.Config{}) {
		opts.Lease = lease.Default()
	}
	if opts.Records == (dedup.Config{}) {
		opts.Records = dedup.DefaultConfig()
	}
	if opts.Heartbeat == 0 {
		opts.Heartbeat = defaultHeartbeat
	}
	return &Agent{
		opts:    opts,
		events:  make(chan func(*control), eventBacklog),
		started: time.Now(),
		metrics: newMetrics(),
		leaving: make(chan struct{}),
		drained: make(chan struct{}),
	}
}

// Leave starts a graceful shutdown and returns at once. The entries are told to
// send nothing new, work in flight is completed, then Run returns.
func (a *Agent) Leave() {
	a.leaveOnce.Do(func() { close(a.leaving) })
}

// Run serves until ctx ends or the agent has been drained after Leave.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer a.wg.Wait()
	defer cancel()
	c := newControl(a, ctx)
	c.adoptTasks()
	for _, address := range a.opts.Entries {
		c.connect(address)
	}
	a.wg.Go(func() { a.drainWhenLeaving(ctx) })
	return c.loop(ctx)
}

// postEvent posts an event to the control goroutine. It returns false when the agent
// has stopped.
func (a *Agent) postEvent(ctx context.Context, event func(*control)) bool {
	select {
	case a.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// drainWhenLeaving waits for Leave, announces the departure, waits for the work in
// flight, at most until the drain deadline, and ends the control loop.
func (a *Agent) drainWhenLeaving(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.leaving:
	}
	a.opts.Log.Info("Leaving.", "drain", a.opts.Drain)
	a.postEvent(ctx, func(c *control) { c.startLeaving() })
	deadline := time.After(a.opts.Drain)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			a.opts.Log.Warn("Drain deadline reached.")
			close(a.drained)
			return
		case <-ticker.C:
		}
		idle := make(chan bool, 1)
		if !a.postEvent(ctx, func(c *control) { idle <- c.idle() }) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case ok := <-idle:
			if ok {
				close(a.drained)
				return
			}
		}
	}
}
