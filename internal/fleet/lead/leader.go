// Package lead elects a leader among the entries through the store and runs the
// leader: it keeps the ledger of jobs, orders runs from agents, and stores what
// has ended before it is shown or acknowledged.
package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// Times of the leader.
const (
	// executorLease is short, so that the tasks of a lost VM start elsewhere
	// within the 6 s that a task that lasts may be down.
	executorLease = 4 * time.Second
	leaseMargin   = 150 * time.Millisecond // of timers that fire late
	verifyEvery   = 600 * time.Millisecond // a third of the store lease is left after two lost renewals
	tickEvery     = 100 * time.Millisecond
	commitRetry   = 100 * time.Millisecond
	watchWait     = 5 * time.Second
	watchRetry    = 300 * time.Millisecond
	upkeepEvery   = 3 * time.Second
	// goneAfter is how long the agent of a VM without a lease may be out of
	// reach before its registration is removed. A living agent registers again.
	goneAfter    = 20 * time.Second
	eventBacklog = 1024
	// startsFresh is how long after the last proof of its term a leader gives
	// starts. It bridges most outages of the store.
	startsFresh = 5 * time.Second
)

// maxRecords is how many jobs one commit stores: a condition and a write each,
// beside the condition on the leader's key.
const maxRecords = (fleet.MaxTxn - 1) / 2

// errDeposed means that another leader has been elected or may be.
var errDeposed = errors.New("no longer the leader")

// Options configure the entries' part of the control.
type Options struct {
	Node       string
	Advertise  string // address of this entry's sessions
	Store      fleet.Store
	MaxLease   time.Duration // longest lease that executors accept
	StatusKept time.Duration // final states are kept at least this long
	StoreLease time.Duration // shortest lease of the store
	CPUShare   float64       // share of a core that the entry gets
	Config     func() *fleet.Config
	Log        *log.Logger
	Metrics    *Metrics
}

// Leader is one term of leadership. Its loop owns all state.
type Leader struct {
	opts     Options
	term     uint64
	lease    uint64
	events   chan func()
	ledger   *ledger.Ledger
	links    map[string]*nodeLink
	planner  planner
	verified time.Time // a call sent at this time proved that the term is current
	began    time.Time
	before   predecessor

	committing  bool
	commitAfter time.Time
	upkept      time.Time
	deposed     error
	learned     []byte   // as it was stored last
	removing    []string // jobs whose records are to be deleted
	// exclusive is a revision of the store from a time at which no earlier
	// leader gave starts any more. 0: not known yet.
	exclusive uint64
}

// predecessor is what may be left of earlier leaders when a term begins.
type predecessor struct {
	lease     time.Duration // no lease that they gave lasts longer
	exclusive uint64        // revision from which on none of them gave starts; 0: not known
}

func newLeader(o Options, term, lease uint64, verified time.Time, before predecessor) *Leader {
	l := &Leader{
		opts: o, term: term, lease: lease, events: make(chan func(), eventBacklog), links: map[string]*nodeLink{},
		verified: verified, began: time.Now(), before: before, exclusive: before.exclusive,
	}
	l.ledger = ledger.New(ledger.Options{Takeover: l.began, MaxLease: before.lease, Attempts: l.attempts, Log: l.logEvent})
	l.planner = planner{ledger: l.ledger, policy: l.policyOf, book: tail.NewBook(), displaced: map[*ledger.Run]struct{}{}, views: map[string]*view{}}
	return l
}

func (l *Leader) logEvent(e ledger.Event) {
	l.opts.Metrics.count(e)
	if e.Task.Job == "" {
		l.opts.Log.Info(e.What, "vm", e.Node, "why", e.Reason)
		return
	}
	l.opts.Log.Info(e.What, "task", e.Task, "run", e.Run, "vm", e.Node, "why", e.Reason)
}

// policyOf returns the policy of a job's queue: of the configuration in force,
// or at its acceptance once the queue is gone.
func (l *Leader) policyOf(j *ledger.Job) fleet.Policy {
	if config := l.opts.Config(); config != nil {
		if q, ok := config.Named(j.Queue); ok {
			return q.Policy
		}
	}
	return j.Policy
}

func (l *Leader) attempts(j *ledger.Job) int { return max(1, l.policyOf(j).MaxAttempts) }

// run leads until ctx ends or the term does, and returns why.
func (l *Leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	revision, err := l.load(ctx)
	if err != nil {
		return fmt.Errorf("load the state: %w", err)
	}
	l.opts.Log.Info("Leading.", "term", l.term, "jobs", len(l.ledger.Jobs), "vms", len(l.ledger.Nodes), "loaded", time.Since(l.began), "earlier leases", l.before.lease)
	go l.watch(ctx, revision)
	go l.verify(ctx)
	for name, link := range l.links {
		go link.run(ctx, l, name)
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for l.deposed == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.events:
			f()
			l.drain()
		case <-ticker.C:
			l.tick(ctx)
		}
		l.act(ctx)
	}
	return l.deposed
}

// handover returns what is left of this term and the earlier ones once it has
// ended, and no lease is given any more.
func (l *Leader) handover(now time.Time) link.Handover {
	left := max(lasting(executorLease), l.before.lease-now.Sub(l.began))
	return link.Handover{LeaseMs: left.Milliseconds() + 1, Alone: l.exclusive != 0}
}

// drain handles the events that have come meanwhile, so that one plan and one
// commit serve them all.
func (l *Leader) drain() {
	for {
		select {
		case f := <-l.events:
			f()
		default:
			return
		}
	}
}

// post runs f in the loop. It reports false if the term has ended.
func (l *Leader) post(ctx context.Context, f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Leader) depose(err error) {
	if l.deposed == nil {
		l.deposed = err
	}
}

// verify renews the store's lease and reads the leader's key. The lease alone
// proves nothing: the store may take the key away without ending the lease.
func (l *Leader) verify(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		if err := l.opts.Store.KeepLease(ctx, l.lease); err != nil && ctx.Err() == nil {
			l.opts.Log.Warn("Lease of the leader's key not renewed.", "err", err)
		}
		item, err := l.opts.Store.Get(ctx, fleet.LeaderKey)
		l.post(ctx, func() { l.checked(sent, item, err) })
		fleet.Pause(ctx, verifyEvery)
	}
}

func (l *Leader) checked(sent time.Time, item fleet.Item, err error) {
	switch {
	case err == nil && item.Revision == l.term:
		l.verified = maxTime(l.verified, sent)
		if l.exclusive == 0 && sent.Sub(l.began) > startsFresh {
			l.exclusive = item.AsOf
		}
	case err == nil:
		l.depose(fmt.Errorf("%w: the key is at revision %d", errDeposed, item.Revision))
	case isNotFound(err):
		l.depose(fmt.Errorf("%w: the key is gone", errDeposed))
	}
}

func (l *Leader) tick(ctx context.Context) {
	now := time.Now()
	l.ledger.Tick(now)
	l.ledger.ReleaseDue(time.Now(), now)
	if now.Sub(l.verified) > l.opts.MaxLease {
		l.depose(fmt.Errorf("%w: the store has not confirmed the term for %v", errDeposed, now.Sub(l.verified).Round(time.Millisecond)))
		return
	}
	if now.Sub(l.upkept) > upkeepEvery {
		l.upkept = now
		l.removing = append(l.removing, l.ledger.Forget(l.opts.StatusKept+l.opts.MaxLease, now)...)
		l.removeGone(ctx, now)
		l.storeLearned(ctx)
	}
}

// act places what is ready, sends orders and stores what has changed.
func (l *Leader) act(ctx context.Context) {
	if l.deposed != nil {
		return
	}
	now := time.Now()
	if now.Sub(l.verified) < startsFresh {
		l.planner.plan(now)
	}
	for name, link := range l.links {
		n := l.ledger.Nodes[name]
		if !link.up || n == nil || !n.Listed {
			continue
		}
		if orders, some := n.TakeOrders(); some || link.grant > 0 {
			link.send(orders, l.grant(n, link, now))
		}
	}
	l.commit(ctx, now)
}

// grant returns the lease that the executor of a node may get now. It ends
// before a later leader may count on it.
func (l *Leader) grant(n *ledger.Node, link *nodeLink, now time.Time) time.Duration {
	if link.grant == 0 {
		return 0
	}
	confirmed := time.Duration(float64(l.verified.Add(l.opts.MaxLease).Sub(now)) * fleet.ClockRate)
	ttl := min(executorLease, confirmed)
	if ttl <= 0 {
		return 0
	}
	n.LeaseUntil = maxTime(n.LeaseUntil, now.Add(lasting(ttl)))
	return ttl
}

// lasting returns how long a lease may last by this clock.
func lasting(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)/fleet.ClockRate) + leaseMargin
}
