// Package entry implements the entry process, which serves the API for callers
// and operators. It routes requests to upstreams, owns shards of the job state,
// places tasks and distributes the configuration to the agents.
//
// An upstream, here, is a VM as the receiver of requests, and is named by the id of
// its VM. The word attempt stands both for one dispatch of a request to an upstream
// and for one start of a task on the worker of a VM.
//
// One goroutine owns the control state (type control). API calls, sessions and
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
	eventQueueSize = 4096
	tickInterval   = 50 * time.Millisecond
	// defaultDrain is the default limit of a graceful shutdown.
	defaultDrain = 30 * time.Second
	// DefaultShards is the number of job shards of a region.
	DefaultShards = 16
	// defaultSlots is the default expected number of request slots of all
	// upstreams.
	defaultSlots = 88
	// defaultEntries is the default expected number of entries that share the
	// upstreams.
	defaultEntries = 3
)

// Options configures an Entry.
type Options struct {
	ID             string // VM id; the incarnation is derived from it and the start time
	Region         string
	FailureDomain  string
	Session        net.Listener // accepts agents and other entries
	Advertise      string       // session address for agents and other entries
	API            string       // API address for status output
	Store          kv.Store
	TLS            wire.ClientTLS // for sessions to other entries; nil: plain TCP
	Log            *log.Logger
	Tracer         trace.Tracer
	Drain          time.Duration  // limit of a graceful shutdown; 0: 30 s
	Shards         int            // job shards of the region; 0: DefaultShards
	Slots          int            // expected slots of all upstreams; 0: 88
	Entries        int            // expected entries of the region; 0: 3
	Lease          lease.Config   // zero: lease.Default()
	Ownership      shard.Config   // zero: shard.Default()
	Answers        answers.Config // zero: answers.DefaultConfig()
	QueueLimit     int            // limit of queued requests, per class; 0: 1,024
	MaxTimeout     time.Duration  // longest timeout that a caller may ask for; 0: 10 min
	SilenceTimeout time.Duration  // a session that receives nothing for so long is closed; 0: 2 s
	StoreTimes     StoreTimes
}

// StoreTimes holds the timeouts and intervals for the use of the key-value
// service. A zero field takes the default that its comment states.
type StoreTimes struct {
	CallTimeout      time.Duration // timeout of one call; 1 s
	PollInterval     time.Duration // interval between two reads of the region's keys; 1 s
	EntryLease       time.Duration // TTL of the lease of the entry's own key; 10 s
	LogFlushInterval time.Duration // interval between two writes of one shard's log; 250 ms
	RecoverySpread   time.Duration // longest random delay of a read after an outage; 5 s
}

// Entry is an entry process from its start to its end. Every start has its own
// incarnation id.
type Entry struct {
	opts        Options
	incarnation string
	started     time.Time
	events      chan func(*control)
	config      *configstore.Store
	editMu      sync.Mutex // serializes the configuration edits of this entry
	claims      *claims.Store
	stats       wire.Stats
	metrics     Metrics

	ctx       context.Context // cancelled when Run returns
	stopped   chan struct{}   // closed when the control goroutine has ended
	leaveOnce sync.Once
	leaving   chan struct{} // closed by Leave
	drained   chan struct{} // closed when the graceful shutdown has ended
	wg        sync.WaitGroup
	ready     chan struct{} // closed when Run has started
}

// New returns an entry that has not been started. It fails if the permit or
// ownership settings are invalid.
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
		events:  make(chan func(*control), eventQueueSize),
		config:  configstore.New(opts.Store, incarnation),
		claims:  claims.New(opts.Store, incarnation, time.Now),
		stopped: make(chan struct{}), leaving: make(chan struct{}), drained: make(chan struct{}), ready: make(chan struct{}),
	}, nil
}

// withDefaults replaces zero fields by their defaults. The defaults of
// QueueLimit and SilenceTimeout apply where these fields are used.
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
		opts.MaxTimeout = defaultMaxTimeout
	}
	t := &opts.StoreTimes
	t.CallTimeout, t.PollInterval = cmp.Or(t.CallTimeout, defaultStoreTimeout), cmp.Or(t.PollInterval, defaultPollInterval)
	t.EntryLease, t.LogFlushInterval = cmp.Or(t.EntryLease, defaultEntryLease), cmp.Or(t.LogFlushInterval, defaultLogFlushInterval)
	t.RecoverySpread = cmp.Or(t.RecoverySpread, defaultRecoverySpread)
	if opts.Lease == (lease.Config{}) {
		opts.Lease = lease.Default()
	}
	if opts.Ownership == (shard.Config{}) {
		opts.Ownership = shard.Default()
	}
}

// Incarnation returns the id of this entry process, which no other start
// shares.
func (e *Entry) Incarnation() string { return e.incarnation }

// Leave starts a graceful shutdown and returns at once. The entry accepts no
// new work, hands over its shards and finishes the requests in flight; then Run
// returns.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leaving) }) }

// Run serves until ctx is cancelled, which stops the entry at once, or until
// the graceful shutdown started by Leave has ended.
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

// postEvent queues an event for the control goroutine. It waits until Run has
// started and the queue has space, but not until the event has run. It returns
// false if the entry has stopped or ctx has ended.
func (e *Entry) postEvent(ctx context.Context, event func(*control)) bool {
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

// queryControl runs a query in the control goroutine and waits for its result.
// It returns false if ctx ends first or if the entry stops before the query has
// run.
func queryControl[T any](ctx context.Context, e *Entry, query func(*control) T) (T, bool) {
	result := make(chan T, 1)
	var zero T
	if !e.postEvent(ctx, func(c *control) { result <- query(c) }) {
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

// drainWhenLeaving waits for Leave, then stops accepting work and ends the
// control loop once the entry is idle or the drain deadline has passed.
func (e *Entry) drainWhenLeaving(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.leaving:
	}
	e.opts.Log.Info("Leaving.", "drain", e.opts.Drain)
	e.postEvent(ctx, func(c *control) { c.startLeaving() })
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
		if idle, ok := queryControl(ctx, e, func(c *control) bool { return c.idle() }); !ok || idle {
			return
		}
	}
}
