// Package side implements the agent that runs beside an executor. It carries out
// the orders of the leader with the highest term, renews the executor's lease up
// to the deadline that this leader grants, and reports the running and ended
// runs that the executor lists.
//
// The agent reads the lists with hold calls: long polls that also extend the
// lease and acknowledge ends.
package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Timing and buffer sizes of the agent.
const (
	holdWait = 400 * time.Millisecond // longest hold when no run ends; a lease of 4 s is renewed 10 times
	// A hold returns at once while ends are unacknowledged. The delay before the
	// next one starts at about the time of a commit to the store and doubles while
	// the holds show nothing new.
	minUnackedHoldDelay   = 15 * time.Millisecond
	maxUnackedHoldDelay   = 200 * time.Millisecond
	holdRetryDelay        = 200 * time.Millisecond // after an unanswered hold
	orderRetryDelay       = 80 * time.Millisecond  // after an unanswered order
	expiryMargin          = 100 * time.Millisecond // allowance for timers that fire late
	firstFrameTimeout     = 2 * time.Second        // for the Lead frame that opens a session
	sessionSilenceTimeout = 2 * time.Second        // without a frame from the leader, which answers each report
	maxSentReports        = 64                     // latest reports that a grant may still refer to
	outboxSize            = 256                    // frames queued for the leader
	eventBacklog          = 256                    // events queued for the loop
	ignoredLines          = 8                      // log lines on ignored announcements before they are limited to one a second
)

// Options configure an Agent.
type Options struct {
	Node      string
	Listener  net.Listener
	Advertise string // address of the listener for leaders
	Executors fleet.ExecutorClient
	Store     fleet.Store
	MaxLease  time.Duration // longest lease that the executor accepts
	// AnnounceInterval is about the interval at which the executor announces itself. 0: not known.
	AnnounceInterval time.Duration
	// Pools reads the pools of the configuration in force. nil: they are not known.
	Pools func(context.Context) (map[string]fleet.Pool, error)
	Log   *log.Logger
}

// Agent is the agent of one VM. The loop in Run owns all fields; other
// goroutines change them through post.
type Agent struct {
	opts   Options
	events chan func()

	executor       *fleet.Executor
	claims         claims                // to the description of executor
	adoptedAt      time.Time             // when executor was confirmed
	poolConfigured bool                  // the configuration has the executor's pool
	readingPools   bool                  // a read of the configuration is under way
	nextPoolRead   time.Time             // no read of the configuration begins before
	candidates     map[string]*candidate // announced instances that are not confirmed yet, by Instance
	ignored        rate.Sometimes        // log lines on announcements without effect, which anyone may send; safe for concurrent use
	lease          lease
	lapsed         bool      // every lease of the executor has expired
	leaveAt        time.Time // when the executor was said to leave; zero: it was not
	leaveSilent    bool      // it has not answered a call that was made since then
	executorLeft   bool      // the executor has ended
	ackedEnd       uint64    // ends up to this number are stored by the leader
	lastListedEnd  uint64    // highest number of an end that the executor has listed

	term    uint64
	session *session
	process uint64    // identifies this process to leaders
	heardAt time.Time // last frame of a leader; before the first one: the start of the process
	// earlierHeardAt is when the process last heard from a leader with a lower term than
	// the one that it follows, or was started.
	earlierHeardAt time.Time
	reportNumber   uint64                // of the latest report
	sentReports    map[uint64]sentReport // by report number, for the grants that answer them
	holdInFlight   bool                  // a hold of this generation is in flight
	holdWaits      bool                  // that hold waits for a run to end
	unackedDelay   time.Duration         // before the next hold while ends are unacknowledged
	orders         map[ledger.RunRef]*order
	// unanswered holds the starts of the term without a conclusive answer, also those of
	// earlier sessions, with the last deadline of a call: the executor may carry them out
	// until then.
	unanswered map[ledger.RunRef]time.Duration
	holdTimer  *time.Timer
	given      givenRuns
	paces      map[ledger.RunRef]*paceOrder
	crash      crash

	// generation counts sessions and instances of the executor. Answers to holds
	// of earlier generations are ignored.
	generation uint64

	// instanceUncertain is set after an unanswered call or an answer of another
	// instance, because a new instance of the executor may serve the next call under
	// the same ID. A hold sent after uncertainSince clears it.
	instanceUncertain atomic.Bool
	uncertainSince    time.Time // when instanceUncertain was last set
}

// sentReport holds what a grant needs to know of the report that it answers.
type sentReport struct {
	reading clockReading // latest one when the report was sent
	sentAt  time.Time
}

// session is the control stream opened by a leader.
type session struct {
	term         uint64
	outbox       chan *pb.Frame
	ctx          context.Context
	cancel       context.CancelFunc
	lastReceived time.Time
	answered     uint64 // latest report that the leader has answered
	introduced   bool   // the leader has been told of the process
	began        time.Time
	first        bool // of this process: an earlier one may have called the starts that the leader repeats
	reported     reportedLists
	// crashReported is set once the leader has been told of the latest crash.
	crashReported bool
	specs         *link.Specs
}

// New returns an Agent that does nothing until Run.
func New(o Options) *Agent {
	now := time.Now()
	return &Agent{
		process: rand.Uint64() | 1, heardAt: now, earlierHeardAt: now, // 0 is no process
		opts: o, unackedDelay: minUnackedHoldDelay, events: make(chan func(), eventBacklog), sentReports: map[uint64]sentReport{},
		orders: map[ledger.RunRef]*order{}, unanswered: map[ledger.RunRef]time.Duration{}, candidates: map[string]*candidate{},
		given: givenRuns{}, paces: map[ledger.RunRef]*paceOrder{}, ignored: rate.Sometimes{First: ignoredLines, Interval: time.Second},
	}
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	go a.acceptSessions(ctx)
	go a.maintainRegistration(ctx)
	ticker := time.NewTicker(holdWait / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-a.events:
			a.handle(f)
		case <-ticker.C:
			a.handle(func() { a.tick(ctx) })
		}
	}
}

// handle runs f. A panic ends the session, after which the leader and the agent tell
// each other everything again, and not the agent, whose executor would lose its lease.
func (a *Agent) handle(f func()) {
	defer func() {
		if fault := recover(); fault != nil {
			a.opts.Log.Error("Panic of the agent, session closed.", "panic", fault, "stack", string(debug.Stack()))
			a.nextGeneration()
			if a.session != nil {
				a.session.cancel()
			}
		}
	}()
	f()
}

// post queues f to run in the loop, unless ctx ends first.
func (a *Agent) post(ctx context.Context, f func()) {
	select {
	case a.events <- f:
	case <-ctx.Done():
	}
}

// tick detects a silent leader and an expired lease, and repeats holds and
// reports in case an event was lost.
func (a *Agent) tick(context.Context) {
	now := time.Now()
	if a.session != nil && now.Sub(a.session.lastReceived) > sessionSilenceTimeout {
		a.opts.Log.Warn("Leader is silent, session closed.", "term", a.session.term)
		a.session.cancel()
	}
	if a.executor == nil {
		return
	}
	if a.executorLeft {
		a.report(ledger.Report{})
		return
	}
	if !a.lapsed && a.lease.expired(now.Add(-expiryMargin)) {
		a.opts.Log.Warn("Executor's lease has expired.", "instance", a.executor.Instance)
		a.lapsed = true
		// Only answers to later reports may grant a lease, as those reports tell
		// the leader of the expiry first.
		clear(a.sentReports)
		a.cancelOrders()
		// An answer may come before the next report; the leader would then wait for the
		// results of the orders.
		a.report(ledger.Report{})
	}
	if a.lapsed && a.leaveSilent {
		a.opts.Log.Info("Executor has left.", "instance", a.executor.Instance)
		a.executorLeft = true
		a.report(ledger.Report{})
		return
	}
	a.hold(holdWait)
	if now.Sub(a.lease.latest.at) > 2*holdWait { // no hold has brought lists to report
		a.report(ledger.Report{})
	}
}

// nextGeneration starts a new generation: the answer to a hold in flight is
// ignored, and a new hold may be sent.
func (a *Agent) nextGeneration() {
	a.generation++
	a.holdInFlight = false
}

// hold sends a hold call to the executor in the background, unless one is in
// flight. With two at a time, the lists of the earlier one could arrive last and
// hide a run that has started meanwhile.
func (a *Agent) hold(wait time.Duration) {
	if a.executor == nil || a.session == nil || a.executorLeft || a.holdInFlight {
		return
	}
	a.holdInFlight = true
	a.holdWaits = wait > 0
	s, e, term, deadline, stored := a.session, *a.executor, a.term, a.lease.deadline, a.ackedEnd
	generation, sent := a.generation, time.Now()
	only := a.lease.check(e.Born)
	if a.instanceUncertain.Load() {
		// The deadline and the numbers of ends belong to the known instance.
		deadline, stored, wait = 0, 0, 0
		a.holdWaits = false
	}
	go func() {
		lists, err := a.opts.Executors.Hold(s.ctx, e, only, term, deadline, stored, wait)
		a.post(context.Background(), func() {
			if generation == a.generation {
				a.holdInFlight = false
				a.noteAnswerAfterLeave(sent, err)
				a.handleHold(e, sent, lists, err)
			}
		})
	}()
}

// holdAtOnce asks for the lists without waiting for a hold that waits for a run to
// end. The answer to that one is ignored.
func (a *Agent) holdAtOnce() {
	if a.holdInFlight && a.holdWaits {
		a.nextGeneration()
	}
	a.hold(0)
}

// setInstanceUncertain records that a new instance may serve the next call. Until a
// hold shows that the known instance still answers, the executor gets no lease, no
// repeated starts and no acknowledgement of ends.
func (a *Agent) setInstanceUncertain() {
	a.uncertainSince = time.Now()
	a.instanceUncertain.Store(true)
}

// handleHold handles the answer to a hold: it reports the lists and schedules the
// next hold.
func (a *Agent) handleHold(e fleet.Executor, sent time.Time, lists fleet.RunLists, err error) {
	if a.session == nil || a.executorLeft {
		return
	}
	if err != nil {
		a.handleHoldError(e, err)
		return
	}
	if err := a.lease.check(e.Born)(lists, sent); err != nil {
		// A new instance answers under the same ID; its announcement follows, and is
		// confirmed by such an answer.
		a.handleHoldError(e, err)
		return
	}
	expired := a.endExpiredOrders(lists) // before they could be called again
	if sent.After(a.uncertainSince) {
		a.instanceUncertain.Store(false)
	}
	a.lease.addReading(clockReading{lists.Clock, time.Now()}, a.opts.MaxLease)
	a.lapsed = false
	a.given.update(lists, time.Now())
	for _, end := range lists.Ended {
		a.lastListedEnd = max(a.lastListedEnd, end.Number)
	}
	a.reportLists(lists, expired)
	if a.lastListedEnd > a.ackedEnd {
		a.scheduleHold(a.unackedDelay)
		a.unackedDelay = min(2*a.unackedDelay, maxUnackedHoldDelay)
		return
	}
	a.hold(holdWait)
}

func (a *Agent) handleHoldError(e fleet.Executor, err error) {
	switch s := a.session; {
	case errors.Is(err, fleet.ErrOtherInstance):
		a.opts.Log.Warn("Executor has been replaced.", "instance", e.Instance, "err", err)
	case s != nil && s.ctx.Err() == nil:
		a.opts.Log.Warn("Executor does not answer.", "instance", e.Instance, "err", err)
	}
	a.setInstanceUncertain()
	a.scheduleHold(holdRetryDelay)
}

// scheduleHold sends a hold after a pause, unless one is in flight by then.
func (a *Agent) scheduleHold(pause time.Duration) {
	if a.holdTimer != nil {
		a.holdTimer.Stop()
	}
	a.holdTimer = time.AfterFunc(pause, func() {
		a.post(context.Background(), func() { a.hold(holdWait) })
	})
}

// acceptSessions serves the sessions that leaders open, until ctx ends.
func (a *Agent) acceptSessions(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = a.opts.Listener.Close() })
	for {
		conn, err := a.opts.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			a.opts.Log.Warn("Session not accepted.", "err", err)
			time.Sleep(holdRetryDelay)
			continue
		}
		go a.serveSession(ctx, conn)
	}
}

// serveSession runs one session until its end: it reads the leader's orders and
// writes the reports.
func (a *Agent) serveSession(ctx context.Context, conn net.Conn) {
	ws, err := wire.Accept(conn, wire.Config{})
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = ws.Close() })
	stream, err := ws.AcceptStream()
	if err != nil {
		return
	}
	frame, err := stream.Receive(firstFrameTimeout)
	if err != nil || frame.GetLead() == nil {
		return
	}
	s := &session{term: frame.GetLead().GetTerm(), outbox: make(chan *pb.Frame, outboxSize), ctx: ctx, cancel: cancel, lastReceived: time.Now(), specs: link.NewSpecs()}
	a.post(ctx, func() { a.follow(s, frame.GetLead().GetLeader()) })
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case out := <-s.outbox:
				if err := stream.Send(out); err != nil {
					cancel()
					return
				}
			}
		}
	}()
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			break
		}
		if orders := frame.GetOrders(); orders != nil {
			a.post(ctx, func() { a.handleOrders(s, orders) })
		}
	}
	a.post(context.Background(), func() { a.sessionLost(s) })
}

// follow replaces the current session by s, unless a leader with a higher term is
// known.
func (a *Agent) follow(s *session, leader string) {
	if s.term < a.term {
		a.opts.Log.Warn("Earlier leader refused.", "leader", leader, "term", s.term, "current", a.term)
		s.outbox <- &pb.Frame{Body: &pb.Frame_Lead{Lead: &pb.Lead{Term: a.term}}}
		return // the leader closes the session
	}
	if a.session != nil {
		a.session.cancel()
		a.cancelOrders()
	}
	a.opts.Log.Info("Following leader.", "leader", leader, "term", s.term)
	s.began, s.first = time.Now(), a.term == 0
	if s.term > a.term {
		clear(a.unanswered) // the executor refuses calls of earlier terms
		a.earlierHeardAt = a.heardAt
	}
	a.heardAt = s.began
	a.term, a.session = s.term, s
	a.nextGeneration()
	clear(a.sentReports)
	a.report(ledger.Report{})
	a.hold(0)
}

// sessionLost handles the end of a session. Its orders are cancelled.
func (a *Agent) sessionLost(s *session) {
	s.cancel()
	if a.session != s {
		return
	}
	a.opts.Log.Warn("Session with the leader lost.", "term", s.term)
	a.session = nil
	a.cancelOrders()
}

// handleOrders carries out the orders of a frame, which also acknowledges ends
// and may grant a lease. Frames of an earlier session or instance are ignored.
func (a *Agent) handleOrders(s *session, m *pb.Orders) {
	if s != a.session {
		return
	}
	s.lastReceived = time.Now()
	s.answered, a.heardAt = max(s.answered, m.GetReport()), s.lastReceived
	orders, err := link.ReadOrders(m, s.specs)
	if err != nil {
		a.opts.Log.Error("Orders not readable, session closed.", "err", err)
		s.cancel() // the leader repeats them in the next session
		return
	}
	if a.executor == nil || m.GetInstance() != a.executor.Instance {
		return
	}
	if sent, ok := a.sentReports[m.GetReport()]; ok && m.GetLeaseMs() > 0 {
		a.lease.extend(sent.reading, sent.sentAt, time.Duration(m.GetLeaseMs())*time.Millisecond)
		a.lapsed = a.lapsed && (a.executorLeft || a.lease.expired(time.Now()))
	}
	if orders.Stored > a.ackedEnd {
		a.ackedEnd, a.unackedDelay = orders.Stored, minUnackedHoldDelay
		if a.lastListedEnd <= a.ackedEnd {
			a.hold(holdWait)
		}
	}
	for _, stop := range orders.Stops {
		a.stopRun(s, stop)
	}
	for _, start := range orders.Starts {
		a.startRun(s, start)
	}
	for _, pace := range orders.Paces {
		a.setPace(s, pace)
	}
}
