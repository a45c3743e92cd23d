package lead

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Parameters of sessions with agents.
const (
	redialDelay   = 200 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond // a session without reports ends; agents report at least every 0.8 s
	outboxFrames  = 256
)

// nodeLink is the leader's connection to one agent. Only the leader's event loop
// uses the fields below done.
type nodeLink struct {
	address atomic.Pointer[string]
	done    chan struct{}

	revision      uint64 // of the registration
	connected     bool
	outbox        chan *pb.Frame
	cancel        context.CancelFunc // of the session
	lastReport    uint64             // number of the latest report of the session; 0: none
	pendingReport uint64             // number of the latest report not yet answered with a lease; 0: none
	answered      uint64             // number of the latest report that was answered, with a lease or without; 0: none
	grantedAt     time.Time          // when the latest lease was granted
	specs         *link.Specs        // that the agent keeps; nil: none
	contact       quorum.Contact
	held          []heldReport // of the session, until the store has confirmed the term
}

// heldReport is a report that waits to be applied.
type heldReport struct {
	number uint64
	report ledger.Report
}

func newNodeLink(address string) *nodeLink {
	n := &nodeLink{done: make(chan struct{})}
	n.address.Store(&address)
	return n
}

func (n *nodeLink) setAddress(address string) { n.address.Store(&address) }

// stop ends the link permanently.
func (n *nodeLink) stop() {
	close(n.done)
	if n.cancel != nil {
		n.cancel()
	}
}

// grantInterval is the shortest time between two leases that answer reports without
// orders. Agents report unchanged lists after 0.3 s, and on each start and end.
const grantInterval = 250 * time.Millisecond

// grantDue reports whether the latest report is to be answered with a lease now.
func (n *nodeLink) grantDue(now time.Time) bool {
	return n.pendingReport > n.answered && now.Sub(n.grantedAt) >= grantInterval
}

// send queues orders, with a lease if it is not 0. If the queue is full it ends the
// session; the agent gets the missed orders in the next one.
func (n *nodeLink) send(o ledger.Orders, lease time.Duration, m *Metrics) {
	for _, part := range link.SplitOrders(o) {
		frame := link.Orders(part, n.answer(lease), lease, n.specs)
		lease = 0
		m.OrderBytes.Add(int64(proto.Size(frame)))
		select {
		case n.outbox <- frame:
		default:
			n.cancel()
			return
		}
	}
}

// answer returns the number of the report that the next frame answers, or 0 for none. A report
// that was answered without a lease, as the leader was not in contact with a quorum, is
// answered once more with the first one, which the starts in that frame need.
func (n *nodeLink) answer(lease time.Duration) uint64 {
	report := n.pendingReport
	if report > n.answered {
		n.answered = report
		n.contact.Answer(report, time.Now())
	} else if lease == 0 {
		return 0
	}
	if lease > 0 {
		n.pendingReport = 0
	}
	return report
}

// run keeps a session with the agent open, and reconnects after a failure, until ctx
// ends or the link is stopped.
func (n *nodeLink) run(ctx context.Context, l *Leader, name string) {
	for ctx.Err() == nil {
		select {
		case <-n.done:
			return
		default:
		}
		n.session(ctx, l, name)
		fleet.Sleep(ctx, redialDelay)
	}
}

// session opens a session, announces the leader's term, sends the queued orders and
// passes on reports until the session ends.
func (n *nodeLink) session(termCtx context.Context, l *Leader, name string) {
	ctx, cancel := context.WithCancel(termCtx)
	defer cancel()
	address := *n.address.Load()
	session, err := wire.Dial(ctx, address, wire.Config{})
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _ = session.Close() })
	stream, err := session.Open()
	if err != nil {
		return
	}
	sent := time.Now()
	if err := stream.Send(&pb.Frame{Body: &pb.Frame_Lead{Lead: &pb.Lead{Term: l.term, Leader: l.opts.Node}}}); err != nil {
		return
	}
	outbox := make(chan *pb.Frame, outboxFrames)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case out := <-outbox:
				if err := stream.Send(out); err != nil {
					cancel()
					return
				}
			}
		}
	}()
	if !l.post(ctx, func() {
		if l.links[name] != n { // the VM was removed while the session was opened
			cancel()
			return
		}
		n.connected, n.outbox, n.cancel, n.specs, n.grantedAt, n.held = true, outbox, cancel, nil, time.Time{}, nil
		n.lastReport, n.pendingReport, n.answered = 0, 0, 0
		n.contact.Begin(address, sent)
		l.holdStarts(name, time.Now())
	}) {
		return
	}
	for {
		frame, err := stream.Receive(reportTimeout)
		if err != nil {
			// The session's own context may have ended first, and post would fail with it.
			l.post(termCtx, func() { l.handleDisconnect(n, name, err) })
			return
		}
		if later := frame.GetLead(); later != nil {
			l.post(ctx, func() { l.depose(fmt.Errorf("%w: agent %s follows term %d", errDeposed, name, later.GetTerm())) })
			return
		}
		if report := frame.GetNodeReport(); report != nil {
			l.opts.Metrics.Reports.Add(1)
			l.opts.Metrics.ReportBytes.Add(int64(proto.Size(report)))
			if !l.post(ctx, func() { l.handleReport(n, name, report) }) {
				// The session has ended. Later reports would stand for this one, too.
				l.post(termCtx, func() { l.handleDisconnect(n, name, ctx.Err()) })
				return
			}
		}
	}
}

// holdStarts keeps the leader from ordering starts from a VM until its term is confirmed
// by a call sent after the session with the agent began: an agent that was started anew
// has forgotten which terms it followed, and its executor may be a new one that has not
// seen any.
func (l *Leader) holdStarts(name string, began time.Time) {
	if node := l.ledger.Nodes[name]; node != nil {
		l.ledger.HoldStarts(node)
		l.heldSince[name] = began
		l.verifySoon()
	}
}

// releaseStarts lets starts be ordered in the sessions that began before the given time.
func (l *Leader) releaseStarts(confirmed time.Time) {
	for name, began := range l.heldSince {
		if !confirmed.After(began) {
			continue
		}
		delete(l.heldSince, name)
		if node := l.ledger.Nodes[name]; node != nil {
			l.ledger.ReleaseStarts(node)
			l.applyHeldReports(name, node)
		}
	}
}

// handleDisconnect handles the end of a session with an agent.
func (l *Leader) handleDisconnect(n *nodeLink, name string, err error) {
	if !n.connected {
		return
	}
	n.connected, n.pendingReport, n.held = false, 0, nil
	if l.links[name] != n { // the VM was removed, and may be registered again
		return
	}
	l.opts.Log.Warn("Session with agent lost.", "vm", name, "err", err)
	if node := l.ledger.Nodes[name]; node != nil {
		l.ledger.Disconnected(node)
	}
}

// handleReport handles a report of an agent.
func (l *Leader) handleReport(n *nodeLink, name string, m *pb.NodeReport) {
	node := l.ledger.Nodes[name]
	if node == nil || !n.connected || l.links[name] != n {
		return
	}
	// A session that ends may drop reports and still bring later ones. The numbers of the
	// ends in those would stand for the ends in the dropped ones, too.
	if n.lastReport != 0 && m.GetNumber() != n.lastReport+1 {
		l.opts.Log.Warn("Report of an agent missed, session closed.", "vm", name, "after", n.lastReport, "number", m.GetNumber())
		n.cancel() // the agent reports its ends again in the next session
		return
	}
	report, err := link.ReadReport(m)
	if err != nil {
		l.opts.Log.Error("Cannot decode the report of an agent, session closed.", "vm", name, "err", err)
		n.cancel() // the agent reports its ends again in the next session
		return
	}
	now := time.Now()
	if n.lastReport == 0 {
		n.contact.Introduce(m.GetProcess(), now)
		l.hearOfEarlierLeaders(n.contact.Address(), m, now)
		l.verifySoon() // a confirmation from now on counts for the contact
	}
	n.contact.Received(m.GetAnswered())
	n.lastReport = m.GetNumber()
	if m.GetKeepsSpecs() && n.specs == nil {
		n.specs = link.NewSpecs()
	}
	if len(n.held) > 0 || node.StartsHeld() && node.Replaces(report) {
		n.hold(heldReport{m.GetNumber(), report})
		return
	}
	l.applyReport(n, node, m.GetNumber(), report, now)
}

// maxHeldReports bounds the reports of a session that wait. Agents send a few a second, and
// the store confirms the term within milliseconds unless it is out of reach.
const maxHeldReports = 64

// hold keeps a report until the term is confirmed by a call sent in the session. An earlier
// leader that learned of a new instance from an agent that was started anew would start tasks
// again which a later leader has started on another VM since.
func (n *nodeLink) hold(r heldReport) {
	if len(n.held) == maxHeldReports {
		n.cancel() // the agent reports everything again in the next session
		return
	}
	n.held = append(n.held, r)
}

// applyHeldReports applies the reports of a session that have waited.
func (l *Leader) applyHeldReports(name string, node *ledger.Node) {
	n := l.links[name]
	if n == nil {
		return
	}
	held := n.held
	n.held = nil
	for _, r := range held {
		l.applyReport(n, node, r.number, r.report, time.Now())
	}
}

// applyReport applies a report of an agent.
func (l *Leader) applyReport(n *nodeLink, node *ledger.Node, number uint64, report ledger.Report, now time.Time) {
	if report.Executor != nil && node.Executor.Instance != "" && !isSameKind(node.Executor, *report.Executor) {
		l.noteDeparture(node.Executor, now)
	}
	l.ledger.Report(node, report, now)
	if l.jobsAsked.number == 0 && l.ledger.AwaitsJobs() {
		l.verifySoon()
	}
	if report.Listed {
		n.pendingReport = number
		l.planner.applyReport(node, now)
	}
}

func isNotFound(err error) bool { return errors.Is(err, kv.ErrNotFound) }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
