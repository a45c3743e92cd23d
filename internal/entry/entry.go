// Package entry is the process that callers and operators talk to. It routes
// requests to upstreams, owns shards of the job state, places tasks and brings
// configuration to the agents.
//
// One goroutine owns the control state (type control). Callers, sessions and
// calls to the key-value service run in goroutines of their own and post events
// to it.
package entry

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/claims"
	"vanillalock.example/vanillalock/internal/configstore"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/request/answers"
	"vanillalock.example/vanillalock/internal/wire"
)

const (
	eventBacklog = 4096
	tickInterval = 50 * time.Millisecond
	// defaultDrain bounds a graceful shutdown.
	defaultDrain = 30 * time.Second
	// DefaultShards is the number of job shards of a region.
	DefaultShards = 16
	// defaultSlots is the number of slots assumed for a deployment of today.
	defaultSlots = 88
	// defaultEntries is the number of entries assumed to share the upstreams.
	defaultEntries = 3
)

// Options configure an Entry.
type Options struct {
	ID            string // VM id; the incarnation is derived from it and the start time
	Region        string
	FailureDomain string
	Session       net.Listener // accepts agents and other entries
	Advertise     string       // session address for agents and other entries
	API           string       // API address for status output
	Store         kv.Store
	TLS           wire.ClientTLS // for sessions to other entries; nil: plain TCP
	Log           *log.Logger
	Tracer        trace.Tracer
	Drain         time.Duration  // 0: 30 s
	Shards        int            // 0: DefaultShards
	Slots         int            // expected slots of all upstreams; 0: 88
	Entries       int            // expected entries of the region; 0: 3
	Lease         lease.Config   // zero: lease.Default()
	Ownership     shard.Config   // zero: shard.Default()
	Answers       answers.Config // zero: answers.DefaultConfig()
	Queue         int            // requests that may wait, of each class; 0: 1,024
	MaxTimeout    time.Duration  // longest deadline that a caller may ask for; 0: 10 min
	Silence       time.Duration  // of a session before it is closed; 0: 2 s
	StoreTimes    StoreTimes
}

// StoreTimes are the times of the use of the key-value service. Zero fields
// take the defaults.
type StoreTimes struct {
	Call    time.Duration // limit of one call; 1 s
	Poll    time.Duration // between two reads of the region's keys; 1 s
	Lease   time.Duration // of the entry's own key; 10 s
	Commit  time.Duration // between two writes of one shard's log; 250 ms
	Recover time.Duration // over which reads are spread after an outage; 5 s
}

// Entry is one entry incarnation.
type Entry struct {
	opts        Options
	incarnation string
	started     time.Time
	events      chan func(*control)
	config      *configstore.Store
	editMu      sync.Mutex // serializes this entry's edits
	claims      *claims.Store
	stats       wire.Stats
	metrics     Metrics

	ctx       context.Context // ends with Run
	stopped   chan struct{}   // closed when the control goroutine has ended
	leaveOnce sync.Once
	leaving   chan struct{}
	drained   chan struct{}
	wg        sync.WaitGroup
	ready     chan struct{} // closed when Run has started
}

// New returns an entry that has not started yet.
func New(opts Options) (*Entry, error) {
	withDefaults(&opts)
	if err := opts.Lease.Validate(); err != nil {
		return nil, fmt.Errorf("permit settings: %w", err)
	}
	if err := opts.Ownership.Validate(); err != nil {
		return nil, fmt.Errorf("ownership settings: %w", err)
	}
	now := time.Now()
	incarnation := opts.ID + "-" + strconv.FormatInt(now.UnixNano(), 36)
	return &Entry{
		opts: opts, incarnation: incarnation, started: now,
		events:  make(chan func(*control), eventBacklog),
		config:  configstore.New(opts.Store, incarnation),
		claims:  claims.New(opts.Store, incarnation, time.Now),
		stopped: make(chan struct{}), leaving: make(chan struct{}), drained: make(chan struct{}), ready: make(chan struct{}),
	}, nil
}

func withDefaults(opts *Options) {
	if opts.Drain == 0 {
		opts.Drain = defaultDrain
	}
	if opts.Shards == 0 {
		opts.Shards = DefaultShards
	}
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	if opts.Entries == 0 {
		opts.Entries = defaultEntries
	}
	if opts.Answers == (answers.Config{}) {
		opts.Answers = answers.DefaultConfig()
	}
	if opts.MaxTimeout == 0 {
		opts.MaxTimeout = maxDeadline
	}
	t := &opts.StoreTimes
	t.Call, t.Poll = cmp.Or(t.Call, storeTimeout), cmp.Or(t.Poll, storeInterval)
	t.Lease, t.Commit = cmp.Or(t.Lease, entryLease), cmp.Or(t.Commit, commitInterval)
	t.Recover = cmp.Or(t.Recover, recoverySpread)
	if opts.Lease == (lease.Config{}) {
		opts.Lease = lease.Default()
	}
	if opts.Ownership == (shard.Config{}) {
		opts.Ownership = shard.Default()
	}
}

// Incarnation returns the id of this process lifetime.
func (e *Entry) Incarnation() string { return e.incarnation }

// Leave starts a graceful shutdown: nothing new is accepted, shards are handed
// over, work in flight ends, then Run returns. It returns at once.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leaving) }) }

// Run serves until ctx ends (at once) or Leave has drained the entry.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.wg.Wait()
	defer cancel()
	e.ctx = ctx
	c := newControl(e)
	e.wg.Go(func() { e.acceptSessions(ctx) })
	e.wg.Go(func() { e.watchConfig(ctx) })
	e.wg.Go(func() { e.storeLoop(ctx) })
	e.wg.Go(func() { e.drainWhenLeaving(ctx) })
	close(e.ready)
	err := c.loop(ctx)
	close(e.stopped)
	_ = e.opts.Session.Close()
	return err
}

// do posts an event to the control goroutine. It returns false when the entry
// has stopped or ctx has ended.
func (e *Entry) do(ctx context.Context, event func(*control)) bool {
	select {
	case <-e.ready:
	case <-ctx.Done():
		return false
	}
	select {
	case e.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-e.ctx.Done():
		return false
	}
}

// ask runs a query in the control goroutine and waits for its result. It
// returns false if ctx ends first, or if the entry stopped before it ran.
func ask[T any](ctx context.Context, e *Entry, query func(*control) T) (T, bool) {
	result := make(chan T, 1)
	var zero T
	if !e.do(ctx, func(c *control) { result <- query(c) }) {
		return zero, false
	}
	select {
	case v := <-result:
		return v, true
	case <-ctx.Done():
	case <-e.stopped:
	}
	select {
	case v := <-result:
		return v, true
	default:
		return zero, false
	}
}

// isDrained reports whether a graceful shutdown has ended.
func (e *Entry) isDrained() bool {
	select {
	case <-e.drained:
		return true
	default:
		return false
	}
}

// drainWhenLeaving stops accepting, waits for the work in flight and ends the
// loop. The drain deadline bounds it.
func (e *Entry) drainWhenLeaving(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.leaving:
	}
	e.opts.Log.Info("Leaving.", "drain", e.opts.Drain)
	e.do(ctx, func(c *control) { c.startLeaving() })
	deadline := time.After(e.opts.Drain)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer close(e.drained)
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			e.opts.Log.Warn("Drain deadline reached.")
			return
		case <-ticker.C:
		}
		if idle, ok := ask(ctx, e, func(c *control) bool { return c.idle() }); !ok || idle {
			return
		}
	}
}
