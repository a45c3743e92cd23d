// Package side is the agent beside an executor: it takes orders from the leader
// with the highest term, holds the executor's lease as long as that leader
// grants it, and reports the executor's lists.
package side

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Times of the agent.
const (
	holdWait      = 400 * time.Millisecond // a hold returns without an end; renews the lease of 4 s ten times over
	unackedPause  = 15 * time.Millisecond  // a hold returns at once while ends are not acknowledged; a commit takes about as long
	retryHold     = 200 * time.Millisecond // after a hold without an answer
	retryOrder    = 80 * time.Millisecond  // after an order without an answer
	lapseMargin   = 100 * time.Millisecond // of timers that fire late
	firstFrame    = 2 * time.Second        // a session must identify itself
	sessionSilent = 2 * time.Second        // no frame of the leader; it answers each report
	reportsKept   = 64                     // sending times of reports that a grant may still answer
	outboxFrames  = 256
	eventBacklog  = 256
)

// Options configure an Agent.
type Options struct {
	Node      string
	Listener  net.Listener
	Advertise string // address of the listener for leaders
	Executors fleet.ExecutorClient
	Store     fleet.Store
	MaxLease  time.Duration // longest lease that the executor accepts
	Log       *log.Logger
}

// Agent is the agent of one VM. Its loop owns all state.
type Agent struct {
	opts   Options
	events chan func()

	executor *fleet.Executor
	lease    lease
	lapsed   bool
	left     bool   // the executor has ended
	stored   uint64 // ends that the leader has stored
	listed   uint64 // highest number of an end that was listed

	term    uint64
	session *session
	reports uint64
	sent    map[uint64]sentReport
	holding bool // a hold of this generation is in flight
	orders  map[ledger.RunRef]*order
	timer   *time.Timer

	// generation counts sessions and lives of the executor. The answer to a hold
	// of an earlier one is ignored.
	generation uint64

	doubted   atomic.Bool // a call got no answer: another life may serve the next one
	doubtedAt time.Time
}

type sentReport struct {
	clock sample
	left  time.Time
}

// session is the control stream of a leader.
type session struct {
	term   uint64
	outbox chan *pb.Frame
	ctx    context.Context
	cancel context.CancelFunc
	heard  time.Time
}

// New returns an Agent.
func New(o Options) *Agent {
	return &Agent{opts: o, events: make(chan func(), eventBacklog), sent: map[uint64]sentReport{}, orders: map[ledger.RunRef]*order{}}
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	go a.accept(ctx)
	go a.register(ctx)
	ticker := time.NewTicker(holdWait / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-a.events:
			f()
		case <-ticker.C:
			a.tick(ctx)
		}
	}
}

// post runs f in the loop.
func (a *Agent) post(ctx context.Context, f func()) {
	select {
	case a.events <- f:
	case <-ctx.Done():
	}
}

// Announce implements fleet.Announcements.
func (a *Agent) Announce(e fleet.Executor) {
	a.post(context.Background(), func() { a.announced(e) })
}

// Leave implements fleet.Announcements.
func (a *Agent) Leave(id string) {
	a.post(context.Background(), func() {
		if a.executor == nil || a.executor.ID != id {
			return
		}
		a.opts.Log.Info("Executor has left.", "instance", a.executor.Instance)
		a.executor.Draining, a.left, a.lapsed = true, true, true
		a.dropOrders()
		a.report(ledger.Report{})
	})
}

func (a *Agent) announced(e fleet.Executor) {
	old := a.executor
	if old != nil && old.Instance == e.Instance {
		if e.Seq < old.Seq {
			return
		}
		changed := old.Draining != e.Draining
		a.executor = &e
		if changed {
			a.opts.Log.Info("Executor changed its state.", "instance", e.Instance, "draining", e.Draining, "remaining", e.DrainFor)
			a.report(ledger.Report{})
		}
		return
	}
	if old != nil && e.Born < old.Born {
		a.opts.Log.Warn("Announcement of an earlier life ignored.", "instance", e.Instance, "current", old.Instance)
		return
	}
	a.opts.Log.Info("Executor announced itself.", "instance", e.Instance, "pool", e.Pool, "labels", e.Labels)
	a.executor = &e
	a.doubted.Store(false)
	a.beginGeneration()
	a.lease, a.lapsed, a.left, a.stored, a.listed = lease{}, false, false, 0, 0
	clear(a.sent)
	a.dropOrders()
	a.hold(0)
}

// tick repeats what an event would have caused.
func (a *Agent) tick(context.Context) {
	now := time.Now()
	if a.session != nil && now.Sub(a.session.heard) > sessionSilent {
		a.opts.Log.Warn("Leader is silent, session closed.", "term", a.session.term)
		a.session.cancel()
	}
	if a.executor == nil || a.session == nil {
		return
	}
	if a.left {
		a.report(ledger.Report{})
		return
	}
	if !a.lapsed && a.lease.expired(now.Add(-lapseMargin)) {
		a.opts.Log.Warn("Executor's lease has expired.", "instance", a.executor.Instance)
		a.lapsed = true
		// The leader hears of it before it answers a later report.
		clear(a.sent)
		a.dropOrders()
	}
	a.hold(holdWait)
	if now.Sub(a.lease.now.at) > 2*holdWait { // no lists are on their way
		a.report(ledger.Report{})
	}
}

// beginGeneration lets the answer to the look that is under way be ignored.
func (a *Agent) beginGeneration() {
	a.generation++
	a.holding = false
}

// hold looks at the executor's lists in the background, unless it does so already.
// With two looks at a time, the lists of the one that was sent first could come
// last and hide a run that has begun meanwhile.
func (a *Agent) hold(wait time.Duration) {
	if a.executor == nil || a.session == nil || a.left || a.holding {
		return
	}
	a.holding = true
	s, e, term, deadline, stored := a.session, *a.executor, a.term, a.lease.deadline, a.stored
	generation, sent := a.generation, time.Now()
	if a.doubted.Load() {
		// The deadline and the numbers of ends belong to the known life.
		deadline, stored, wait = 0, 0, 0
	}
	go func() {
		lists, err := a.opts.Executors.Hold(s.ctx, e, term, deadline, stored, wait)
		a.post(context.Background(), func() {
			if generation == a.generation {
				a.holding = false
				a.held(e, sent, lists, err)
			}
		})
	}()
}

// doubt takes note of a call without an answer. Until the executor has shown that
// it still lives the same life, it gets no lease, no starts again and no
// acknowledgement of ends.
func (a *Agent) doubt() {
	a.doubtedAt = time.Now()
	a.doubted.Store(true)
}

func (a *Agent) held(e fleet.Executor, sent time.Time, lists fleet.RunLists, err error) {
	if a.session == nil || a.left {
		return
	}
	if err != nil {
		a.holdFailed(e, err)
		return
	}
	if lists.Born != 0 && e.Born != 0 && lists.Born != e.Born {
		// A new life answers under the same id; its announcement follows.
		a.opts.Log.Warn("Executor has been replaced.", "instance", e.Instance, "born", lists.Born)
		a.doubt()
		a.after(retryHold)
		return
	}
	if sent.After(a.doubtedAt) {
		a.doubted.Store(false)
	}
	a.lease.read(sample{lists.Clock, time.Now()}, a.opts.MaxLease)
	a.lapsed = false
	for _, end := range lists.Ended {
		a.listed = max(a.listed, end.Number)
	}
	a.report(ledger.Report{Listed: true, Running: lists.Running, Ended: lists.Ended, Results: a.arrived(lists)})
	if a.listed > a.stored {
		a.after(unackedPause)
		return
	}
	a.hold(holdWait)
}

func (a *Agent) holdFailed(e fleet.Executor, err error) {
	if s := a.session; s != nil && s.ctx.Err() == nil {
		a.opts.Log.Warn("Executor does not answer.", "instance", e.Instance, "err", err)
	}
	a.doubt()
	a.after(retryHold)
}

// after looks again after a pause, unless a look is under way by then.
func (a *Agent) after(pause time.Duration) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(pause, func() {
		a.post(context.Background(), func() { a.hold(holdWait) })
	})
}

// report sends a report with the executor's description.
func (a *Agent) report(r ledger.Report) {
	if a.session == nil {
		return
	}
	r.Executor, r.Lapsed = a.executor, a.lapsed
	a.reports++
	if a.lease.known {
		a.sent[a.reports] = sentReport{a.lease.now, time.Now()}
		delete(a.sent, a.reports-reportsKept)
	}
	select {
	case a.session.outbox <- link.Report(a.reports, r):
	default:
		a.opts.Log.Warn("Leader does not read, session closed.", "term", a.session.term)
		a.session.cancel()
	}
}

// accept serves leaders.
func (a *Agent) accept(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = a.opts.Listener.Close() })
	for {
		conn, err := a.opts.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			a.opts.Log.Warn("Session not accepted.", "err", err)
			time.Sleep(retryHold)
			continue
		}
		go a.serve(ctx, conn)
	}
}

// serve carries one session: the leader's orders come in, reports go out.
func (a *Agent) serve(ctx context.Context, conn net.Conn) {
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
	frame, err := stream.Receive(firstFrame)
	if err != nil || frame.GetLead() == nil {
		return
	}
	s := &session{term: frame.GetLead().GetTerm(), outbox: make(chan *pb.Frame, outboxFrames), ctx: ctx, cancel: cancel, heard: time.Now()}
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
			a.post(ctx, func() { a.take(s, orders) })
		}
	}
	a.post(context.Background(), func() { a.lost(s) })
}

// follow takes a session of a leader, unless a later one is known.
func (a *Agent) follow(s *session, leader string) {
	if s.term < a.term {
		a.opts.Log.Warn("Earlier leader refused.", "leader", leader, "term", s.term, "current", a.term)
		s.outbox <- &pb.Frame{Body: &pb.Frame_Lead{Lead: &pb.Lead{Term: a.term}}}
		return // the leader closes the session
	}
	if a.session != nil {
		a.session.cancel()
		a.dropOrders()
	}
	a.opts.Log.Info("Following leader.", "leader", leader, "term", s.term)
	a.term, a.session = s.term, s
	a.beginGeneration()
	clear(a.sent)
	a.report(ledger.Report{})
	a.hold(0)
}

func (a *Agent) lost(s *session) {
	s.cancel()
	if a.session != s {
		return
	}
	a.opts.Log.Warn("Session with the leader lost.", "term", s.term)
	a.session = nil
	a.dropOrders()
}

// take carries out the orders of a frame.
func (a *Agent) take(s *session, m *pb.Orders) {
	if s != a.session {
		return
	}
	s.heard = time.Now()
	if a.executor == nil || m.GetInstance() != a.executor.Instance {
		return
	}
	orders, err := link.ReadOrders(m)
	if err != nil {
		a.opts.Log.Error("Orders not readable.", "err", err)
		return
	}
	if sent, ok := a.sent[m.GetReport()]; ok && m.GetLeaseMs() > 0 {
		a.lease.grant(sent.clock, sent.left, time.Duration(m.GetLeaseMs())*time.Millisecond)
	}
	if orders.Stored > a.stored {
		a.stored = orders.Stored
		if a.listed <= a.stored {
			a.hold(holdWait)
		}
	}
	for _, stop := range orders.Stops {
		a.orderStop(s, stop)
	}
	for _, start := range orders.Starts {
		a.orderStart(s, start)
	}
	for _, pace := range orders.Paces {
		a.orderPace(s, pace)
	}
}
