// Package lead serves callers on each entry, elects one entry as the leader
// through the store, and runs the leader. The leader keeps the ledger of jobs,
// sends orders to agents, and stores the end of a run before it is shown to callers
// or acknowledged to the agent.
package lead

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
)

// Intervals and limits of the leader.
const (
	// executorLease is the longest lease given to an executor. It is short because
	// the tasks of a lost VM start elsewhere only after it expires, and a
	// lasting task may be down for 6 s at most.
	executorLease  = 4 * time.Second
	leaseMargin    = 150 * time.Millisecond // for timers that fire late
	verifyInterval = 600 * time.Millisecond // between renewals of the leader's key; a third of storeLease is left after two lost ones
	// minVerifyInterval is the time between confirmations of the term while something
	// waits for one.
	minVerifyInterval = 50 * time.Millisecond
	tickInterval      = 100 * time.Millisecond
	commitRetry       = 100 * time.Millisecond
	// watchWait bounds the time for which the leader does not notice that the connection
	// of its watch has gone silent. A cancellation has to be heard of within 3 s also if
	// the entry that stored it ends before it has notified the leader.
	watchWait           = 1500 * time.Millisecond
	watchRetry          = 300 * time.Millisecond
	pageRetry           = 100 * time.Millisecond
	maintenanceInterval = 3 * time.Second
	// removeNodeAfter is how long the agent of a VM without a lease may be unreachable
	// before its registration is removed. An agent that is alive registers again.
	removeNodeAfter = 20 * time.Second
	eventBacklog    = 1024
	// startGrace is how long after its term was last confirmed a leader still
	// orders starts. It bridges most outages of the store.
	startGrace = 5 * time.Second
	// minTermGrace is how long after its term was last confirmed a leader goes on to
	// grant leases, at least. Tasks survive an outage of the store of that length. The
	// next leader waits as long for VMs out of reach of which it knows no lists.
	minTermGrace = 10 * time.Second
)

// maxRecords is the largest number of jobs in one commit. Each takes a condition
// and a write, in addition to the condition on the leader's key.
const maxRecords = (fleet.MaxTxn - 1) / 2

// maxCommits is the largest number of commits in flight. At 5 ms each they store
// the progress of 12,000 jobs a second.
const maxCommits = 4

// errDeposed means that another leader has been elected, or may have been.
var errDeposed = errors.New("no longer the leader")

// Options configure an Entry.
type Options struct {
	Node       string // name of this entry's VM
	Advertise  string // address of this entry's sessions
	Store      fleet.Store
	MaxLease   time.Duration        // longest lease that executors accept
	StatusKept time.Duration        // minimum retention of the final states of jobs
	StoreLease time.Duration        // shortest lease that the store grants
	CPUShare   float64              // share of a core that the entry gets; below 1, it campaigns later
	LinkRate   float64              // bytes per second of the network link; 0: not known
	FarFactor  float64              // ratio of the run time of a task away from its data to that beside it; at most 1: tasks do not wait for a rack
	Config     func() *fleet.Config // set by NewEntry
	Log        *log.Logger
	Metrics    *Metrics
	// EvacuationPrefix is the prefix of the keys with which operators request the
	// evacuation of a failure domain, whose name follows. Empty: there are none.
	EvacuationPrefix string
}

// termGrace returns how long after its term was last confirmed a leader grants leases.
// All entries have to use the same. No lease lasts longer than MaxLease, but leases
// are renewed.
func (o Options) termGrace() time.Duration { return max(o.MaxLease, minTermGrace) }

// Leader is one term of leadership. Only its event loop, run, accesses its state;
// other goroutines pass functions to the loop with post.
type Leader struct {
	opts       Options
	term       uint64 // revision of the leader's key; a later leader has a higher one
	lease      uint64 // of the leader's key
	events     chan event
	ledger     *ledger.Ledger
	links      map[string]*nodeLink
	planner    planner
	pacer      *pacer
	verifiedAt time.Time     // send time of the latest call that confirmed the term
	verifyNow  chan struct{} // a confirmation is waited for
	// heldSince holds the VMs whose starts wait for a confirmation of the term, with the
	// beginning of the session with the agent.
	heldSince map[string]time.Time
	// wallOffset is how far the wall clock is ahead of the monotonic one, which stands
	// still while the VM is suspended.
	wallOffset  func(now time.Time) time.Duration
	offsetThen  time.Duration // wallOffset at verifiedAt
	began       time.Time
	predecessor predecessor
	contacts    contacts

	loaded          chan struct{} // closed once the state is read from the store
	commits         int           // in flight
	commitAfter     time.Time
	recordLimit     int // number of jobs in the next commit, at most
	lastMaintenance time.Time
	deposed         error
	storedLearned   []byte   // last stored value of fleet.LearnedKey
	expiredJobs     []string // IDs of jobs whose records are to be deleted
	expiredCancels  []string // IDs of jobs that were never stored, whose cancellations are to be deleted
	// forgotten holds the jobs that the ledger has forgotten, until the watch or a
	// reading of the state has shown that their records are gone, with the revision
	// that deleted them. A job that was created later is another one.
	forgotten map[string]uint64
	// removing holds the VMs whose registrations this leader has ordered to be deleted, with
	// the revisions of these.
	removing map[string]uint64
	// exclusiveSince is a store revision from which on no earlier leader orders
	// starts. 0: not known yet.
	exclusiveSince uint64
	watched        uint64        // store revision up to which the changes of the watched keys are applied
	jobsAsked      askedRevision // once it is watched, the jobs stored before are known
	evacuations    evacuations
	departed       []departedVM // for departedKept
	vainLogged     time.Time    // last log line on a wait in vain
	vainUnlogged   int          // waits in vain since then
}

// askedRevision is a revision that the store had in answer to a call sent at a time.
type askedRevision struct {
	number uint64 // 0: none
	sent   time.Time
}

func newLeader(o Options, term, lease uint64, verified time.Time, before predecessor) *Leader {
	l := &Leader{
		opts: o, term: term, lease: lease, events: make(chan event, eventBacklog), pacer: newPacer(), loaded: make(chan struct{}), verifyNow: make(chan struct{}, 1), heldSince: map[string]time.Time{}, removing: map[string]uint64{}, links: map[string]*nodeLink{}, forgotten: map[string]uint64{},
		verifiedAt: verified, began: time.Now(), predecessor: before, exclusiveSince: before.exclusiveSince,
		wallOffset: wallOffset, offsetThen: wallOffset(verified),
	}
	l.recordLimit = maxRecords
	l.lastMaintenance = l.began // by the first one most sessions with agents have begun
	l.contacts = newContacts(before, l.began, term)
	l.ledger = ledger.New(ledger.Options{Takeover: l.began, MaxLease: before.maxLease, EarlierVersions: before.mayBeOfEarlierVersion(), LongestLease: maxLeaseDuration(o.MaxLease), Attempts: l.attempts, Pool: func(j *ledger.Job) string { return l.policyOf(j).Pool }, Log: l.logEvent, Done: l.planner.observeDone})
	l.planner = newPlanner(l.ledger, l.policyOf, newStartBudget(o.LinkRate), l.holdsSpec)
	l.planner.waits = newWaits(o.Log, o.Metrics)
	l.planner.locality = newLocality(o.FarFactor, l.reportPlacement)
	return l
}

// logEvent logs a decision with the term and the time since the store confirmed it, which
// tell the decisions of two leaders at the same time apart.
func (l *Leader) logEvent(e ledger.Event) {
	l.opts.Metrics.count(e)
	fields := []any{"vm", e.Node, "why", e.Reason, "term", l.term, "unconfirmed", l.unconfirmed(time.Now()).Round(time.Millisecond)}
	if e.Age > 0 {
		fields = append(fields, "age", e.Age.Round(time.Millisecond))
	}
	if e.Task.Job != "" {
		fields = append([]any{"task", e.Task, "run", e.Run}, fields...)
	}
	l.opts.Log.Info(e.What, fields...)
}

// policyOf returns the policy of a job's queue in the current configuration, or the
// policy at the job's acceptance if the queue no longer exists.
func (l *Leader) policyOf(j *ledger.Job) fleet.Policy {
	if config := l.opts.Config(); config != nil {
		if q, ok := config.QueueByName(j.Queue); ok {
			return q.Policy
		}
	}
	return j.Policy
}

// holdsSpec reports whether the agent of a VM has the spec of a job.
func (l *Leader) holdsSpec(vm, job string) bool {
	link := l.links[vm]
	return link != nil && link.specs != nil && link.specs.Holds(job)
}

func (l *Leader) attempts(j *ledger.Job) int { return max(1, l.policyOf(j).MaxAttempts) }

// run is the event loop of the leader. It returns the reason when ctx or the term
// ends.
func (l *Leader) run(ctx context.Context) (err error) {
	// A fault of the leader ends its term, not the entry, which goes on to serve
	// callers.
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic: %v", fault)
			l.opts.Log.Error("Panic of the leader.", "panic", fault, "stack", string(debug.Stack()))
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.verify(ctx)
	revision, err := l.load(ctx)
	if err != nil {
		return fmt.Errorf("load the state: %w", err)
	}
	close(l.loaded)
	l.opts.Log.Info("Leading.", "term", l.term, "jobs", len(l.ledger.Jobs), "vms", len(l.ledger.Nodes), "loaded", time.Since(l.began), "earlier leases", l.predecessor.maxLease)
	go l.watch(ctx, revision)
	if l.opts.EvacuationPrefix != "" {
		defer l.opts.Metrics.EvacuatedDomains.Set(0)
		go l.watchEvacuations(ctx, l.evacuations.revision)
	}
	for name, link := range l.links {
		go link.run(ctx, l, name)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for l.deposed == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			l.handle(e)
			l.drainEvents()
		case <-ticker.C:
			l.tick(ctx)
		case <-l.pacer.timer.C:
		}
		l.dispatch(ctx)
	}
	return l.deposed
}

// handover returns the record for the next leader: how long leases of this and
// earlier terms may still last. It is called after the loop has ended, when no more
// leases are given.
func (l *Leader) handover(now time.Time) link.Handover {
	left := max(maxLeaseDuration(executorLease), l.predecessor.maxLease-now.Sub(l.began))
	for _, n := range l.ledger.Nodes {
		left = max(left, n.LeaseEnd().Sub(now))
	}
	record := link.Handover{LeaseMs: left.Milliseconds() + 1, Exclusive: l.exclusiveSince != 0, Quorums: l.contacts.sets.All(), Own: l.contacts.sets.Own(now.Add(-maxLeaseDuration(contactGrace)))}
	if l.ledger.HasForeignLease(now) {
		record.Quorums, record.Own = nil, nil
	}
	return record
}

// drainEvents handles all queued events, so that they share one plan and one commit.
func (l *Leader) drainEvents() {
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			return
		}
	}
}

// event is a function to run in the event loop.
type event struct {
	run    func()
	posted time.Time
}

func (l *Leader) handle(e event) {
	l.opts.Metrics.Loop.Observe(time.Since(e.posted))
	e.run()
}

// post queues f to run in the event loop. It returns false if ctx ends first.
func (l *Leader) post(ctx context.Context, f func()) bool {
	select {
	case l.events <- event{f, time.Now()}:
		return true
	case <-ctx.Done():
		return false
	}
}

// depose ends the term with a reason; the first one counts.
func (l *Leader) depose(err error) {
	if l.deposed == nil {
		l.deposed = err
	}
}

// verify renews the lease of the leader's key and reads the key, until ctx ends. A
// valid lease alone does not confirm the term: the store may remove the key without
// ending the lease.
func (l *Leader) verify(ctx context.Context) {
	var renewed time.Time
	for ctx.Err() == nil {
		if time.Since(renewed) >= verifyInterval {
			renewed = time.Now()
			if err := l.opts.Store.KeepLease(ctx, l.lease); err != nil && ctx.Err() == nil {
				l.opts.Log.Warn("Lease of the leader's key not renewed.", "err", err)
			}
		}
		sent := time.Now()
		item, err := l.opts.Store.Get(ctx, fleet.LeaderKey)
		l.post(ctx, func() { l.handleVerify(sent, item, err) })
		soon := l.verifyNow
		if err != nil { // calls that are refused at once would follow each other
			soon = nil
		}
		fleet.Sleep(ctx, minVerifyInterval)
		select {
		case <-soon:
		case <-time.After(time.Until(renewed.Add(verifyInterval))):
		case <-ctx.Done():
		}
	}
}

// verifySoon has the term confirmed without waiting for verifyInterval.
func (l *Leader) verifySoon() {
	select {
	case l.verifyNow <- struct{}{}:
	default:
	}
}

// confirm records that the store confirmed the term by a call sent at the given time.
func (l *Leader) confirm(sent time.Time) {
	if sent.After(l.verifiedAt) {
		l.verifiedAt, l.offsetThen = sent, l.wallOffset(sent)
		for _, n := range l.links {
			n.contact.Confirm(sent)
		}
		l.releaseStarts(sent)
	}
}

// unconfirmed returns for how long the store has not confirmed the term. A VM that was
// suspended may have lost its term without noticing that time has passed; a step of
// the wall clock looks the same, and delays starts until the next confirmation.
func (l *Leader) unconfirmed(now time.Time) time.Duration {
	return l.elapsed(l.verifiedAt, l.offsetThen, now)
}

// elapsed returns the time since a reading of the clock with the given wallOffset,
// including a suspension of the VM.
func (l *Leader) elapsed(then time.Time, offset time.Duration, now time.Time) time.Duration {
	return now.Sub(then) + max(0, l.wallOffset(now)-offset)
}

// wallOffset returns the offset of the wall clock of a reading from its monotonic one.
func wallOffset(now time.Time) time.Duration {
	return now.Round(0).Sub(processStart.Round(0)) - now.Sub(processStart)
}

// handleVerify handles a read of the leader's key that was sent at the given time.
func (l *Leader) handleVerify(sent time.Time, item fleet.Item, err error) {
	switch {
	case err == nil && item.Revision == l.term:
		l.confirm(sent)
		if l.jobsAsked.number == 0 && l.ledger.AwaitsJobs() {
			l.jobsAsked = askedRevision{item.AsOf, sent}
		}
		// Earlier leaders last confirmed their terms before this one began, so none
		// of them orders starts any more.
		if l.exclusiveSince == 0 && sent.Sub(l.began) > startGrace {
			l.exclusiveSince = item.AsOf
		}
	case err == nil:
		l.depose(fmt.Errorf("%w: the key is at revision %d", errDeposed, item.Revision))
	case isNotFound(err):
		l.depose(fmt.Errorf("%w: the key is gone", errDeposed))
	}
}

// checkTerm ends a term that the store has not confirmed for termGrace.
func (l *Leader) checkTerm(now time.Time) {
	if now.Sub(l.verifiedAt) > l.opts.termGrace() {
		l.depose(fmt.Errorf("%w: the store has not confirmed the term for %v", errDeposed, now.Sub(l.verifiedAt).Round(time.Millisecond)))
	}
}

// tick does the periodic work, and ends a term that the store has not confirmed in
// time.
func (l *Leader) tick(ctx context.Context) {
	now := time.Now()
	l.surveyEarlierLeaders()
	if l.ledger.Tick(now, l.verifiedAt) {
		l.verifySoon()
	}
	l.ledger.ReleaseDue(time.Now(), now)
	if l.checkTerm(now); l.deposed != nil {
		return
	}
	l.maintainRecord(ctx, now)
	if now.Sub(l.lastMaintenance) > maintenanceInterval {
		l.lastMaintenance = now
		l.forget(l.opts.StatusKept+l.opts.MaxLease, now)
		l.removeUnreachable(ctx, now)
		l.storeLearned(ctx)
	}
}

// isAlone reports whether no earlier leader orders starts any more and all leases of
// theirs have expired.
func (l *Leader) isAlone(now time.Time) bool {
	return l.exclusiveSince != 0 && now.Sub(l.began) > l.predecessor.maxLease
}

// forget drops the jobs whose retention has ended, and the cancellations of jobs that were
// never stored. Their records are deleted later.
func (l *Leader) forget(keep time.Duration, now time.Time) {
	jobs, cancelled := l.ledger.Forget(keep, now)
	for _, id := range jobs {
		l.forgotten[id] = math.MaxUint64 // not deleted yet
	}
	l.expiredJobs = append(l.expiredJobs, jobs...)
	l.expiredCancels = append(l.expiredCancels, cancelled...)
}

// dispatch places ready tasks, sends orders and stores changed progress.
func (l *Leader) dispatch(ctx context.Context) {
	if l.deposed != nil {
		return
	}
	now := time.Now()
	takeOrders := (*ledger.Node).TakeOrders
	known := l.knowsEvacuations(now) && l.contactLeft(now) > 0
	if !known {
		takeOrders = (*ledger.Node).TakeOrdersWithoutStarts
	}
	if known && l.unconfirmed(now) < startGrace && l.pacer.due(now) {
		l.planner.plan(now)
		l.pacer.done(now, time.Now())
		l.opts.Metrics.Plan.Observe(time.Since(now))
		now = time.Now()
	}
	for _, n := range l.ledger.TakePending() {
		link := l.links[n.Name]
		if link == nil || !link.connected || l.ledger.Nodes[n.Name] != n || !n.Listed {
			continue // the first lists of a session make it pending again
		}
		if orders, some := takeOrders(n); some || link.grantDue(now) {
			link.send(orders, l.grant(n, link, now), l.opts.Metrics)
		}
	}
	l.commit(ctx, now)
}

// grant returns the lease to give to the executor of a node in answer to its
// report, or 0 for none. The lease ends before a later leader may assume that it
// has expired.
func (l *Leader) grant(n *ledger.Node, link *nodeLink, now time.Time) time.Duration {
	if link.pendingReport == 0 {
		return 0
	}
	left := min(l.opts.termGrace()-l.unconfirmed(now), l.contactLeft(now))
	ttl := min(executorLease, l.opts.MaxLease, time.Duration(float64(left)*fleet.ClockRate))
	if ttl <= 0 {
		return 0
	}
	link.grantedAt = now
	n.Granted(now.Add(maxLeaseDuration(ttl)))
	return ttl
}

// maxLeaseDuration returns the longest time, on this clock, that a lease of ttl may
// last on the clock of an executor.
func maxLeaseDuration(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)/fleet.ClockRate) + leaseMargin
}
