package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/propagation"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// redialMin and redialMax bound the backoff between two dials of an entry.
	redialMin = 200 * time.Millisecond
	redialMax = 5 * time.Second
	// outboxSize bounds the control frames queued for a slow entry. Frames beyond
	// it are dropped, as heartbeats and task events are repeated anyway.
	outboxSize = 256
	// minUsageReportInterval is the least time between two usage reports.
	minUsageReportInterval = 5 * time.Second
	// usageBytesPerSecond bounds the traffic of usage reports, as a part of the
	// 2 KB/s that a node may use for control. With 23 tasks and 6 entries, reports
	// at the least interval would take about 1.4 KB/s, so the interval grows with
	// their size.
	usageBytesPerSecond = 800
	// staleSessionAge is how long the agent keeps dialling an address that no entry
	// lists any more.
	staleSessionAge = 10 * time.Minute
)

// entrySession is the agent's side of the connection to one entry.
type entrySession struct {
	address    string
	entry      string // incarnation id from the last acknowledgement
	connected  bool
	lastListed time.Time       // when an entry last listed this address
	shards     map[uint32]bool // owned by the entry, from the last acknowledgement
	outbox     chan *pb.Frame  // control frames to send
	stop       context.CancelFunc
}

// connect starts the dial loop of an address unless it runs already.
func (c *control) connect(address string) {
	if s, ok := c.sessions[address]; ok {
		s.lastListed = time.Now()
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	s := &entrySession{
		address: address, lastListed: time.Now(), stop: cancel,
		outbox: make(chan *pb.Frame, outboxSize),
	}
	c.sessions[address] = s
	c.agent.wg.Go(func() { c.agent.dialLoop(ctx, s) })
}

// dropStaleSessions ends the dial loops of addresses that are disconnected, not
// among the seeds from the settings and not listed for staleSessionAge.
func (c *control) dropStaleSessions(seeds []string) {
	for address, s := range c.sessions {
		if s.connected || slices.Contains(seeds, address) || time.Since(s.lastListed) < staleSessionAge {
			continue
		}
		s.stop()
		delete(c.sessions, address)
	}
}

// dialLoop keeps a session with one entry until ctx ends.
func (a *Agent) dialLoop(ctx context.Context, s *entrySession) {
	backoff := redialMin
	for ctx.Err() == nil {
		started := time.Now()
		if err := a.serveSession(ctx, s); err != nil {
			a.opts.Log.Debug("Session ended.", "entry", s.address, "err", err)
		}
		a.postEvent(ctx, func(c *control) {
			if s.connected {
				s.connected = false
				// If the owner of shards has died, the other entries attest the
				// permits of its tasks in their answers to heartbeats.
				c.sendHeartbeats()
			}
		})
		if time.Since(started) > redialMax {
			backoff = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, redialMax)
	}
}

// serveSession dials an entry and serves the session until it ends.
func (a *Agent) serveSession(ctx context.Context, s *entrySession) error {
	session, err := wire.Dial(ctx, s.address, wire.Config{TLS: a.opts.TLS, Stats: &a.stats, SilenceTimeout: a.opts.SilenceTimeout})
	if err != nil {
		return err
	}
	defer session.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := session.Open()
	if err != nil {
		return err
	}
	announce := make(chan *pb.Announce, 1)
	if !a.postEvent(ctx, func(c *control) {
		s.connected = true
		drainOutbox(s.outbox)
		announce <- c.announce()
	}) {
		return ctx.Err()
	}
	select {
	case frame := <-announce:
		if err := stream.Send(&pb.Frame{Body: &pb.Frame_Announce{Announce: frame}}); err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	a.opts.Log.Info("Connected.", "entry", s.address)
	a.postEvent(ctx, func(c *control) { c.sendHeartbeat(s, c.tasks.heartbeatSent()) })
	a.wg.Go(func() { a.writeControl(ctx, session, stream, s) })
	a.wg.Go(func() { a.acceptStreams(ctx, session) })
	return a.readControl(ctx, stream, s)
}

// writeControl sends the queued control frames to an entry.
func (a *Agent) writeControl(ctx context.Context, session *wire.Session, stream *wire.Stream, s *entrySession) {
	defer session.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.Done():
			return
		case frame := <-s.outbox:
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}

// acceptStreams serves the streams that an entry opens for requests.
func (a *Agent) acceptStreams(ctx context.Context, session *wire.Session) {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		stream.CountTo(&a.metrics.requestBytes)
		a.wg.Go(func() { a.serveStream(ctx, stream) })
	}
}

// readControl posts the control frames of an entry to the control goroutine.
func (a *Agent) readControl(ctx context.Context, stream *wire.Stream, s *entrySession) error {
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return err
		}
		if !a.postEvent(ctx, func(c *control) { c.handleControlFrame(s, frame) }) {
			return ctx.Err()
		}
	}
}

// handleControlFrame handles a control frame from an entry.
func (c *control) handleControlFrame(s *entrySession, frame *pb.Frame) {
	switch body := frame.Body.(type) {
	case *pb.Frame_HeartbeatAck:
		c.handleHeartbeatAck(s, body.HeartbeatAck)
	case *pb.Frame_ConfigPush:
		c.config.Apply(configPush(body.ConfigPush))
		c.sendHeartbeat(s, c.tasks.heartbeatSent())
	case *pb.Frame_TaskStart:
		c.tasks.handleStart(body.TaskStart)
	case *pb.Frame_TaskStop:
		c.tasks.handleStop(body.TaskStop)
	case *pb.Frame_TaskCheckpoint:
		c.tasks.handleCheckpoint(body.TaskCheckpoint)
	case *pb.Frame_TaskThrottle:
		c.tasks.handleThrottle(body.TaskThrottle)
	case *pb.Frame_TaskQuery:
		c.tasks.handleQuery(body.TaskQuery)
	case *pb.Frame_TaskEventAck:
		c.tasks.handleEventAck(body.TaskEventAck.Seq)
	}
}

// handleHeartbeatAck handles an entry's answer to a heartbeat: its known entries,
// the shards that it owns, and what it attests for the permits.
func (c *control) handleHeartbeatAck(s *entrySession, ack *pb.HeartbeatAck) {
	s.entry = ack.Entry
	for _, e := range ack.Entries {
		c.connect(e.Address)
	}
	s.shards = map[uint32]bool{}
	for _, g := range ack.Shards {
		s.shards[g.Shard] = true
	}
	c.tasks.handleAck(leaseAck(ack))
}

func configPush(push *pb.ConfigPush) propagation.Push {
	out := propagation.Push{Revision: push.Revision, Digest: push.Digest}
	for _, o := range push.Objects {
		out.Objects = append(out.Objects, propagation.Object{
			Key: propagation.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Deleted: o.Deleted, Data: o.Json,
		})
	}
	return out
}

func leaseAck(ack *pb.HeartbeatAck) lease.Ack {
	out := lease.Ack{
		Seq: ack.Seq, Entry: ack.Entry, Verified: ack.Verified,
		VerifiedAge: lease.Instant(time.Duration(ack.VerifiedAgeUs) * time.Microsecond),
		NoContact:   ack.NoKvContact, Epoch: ack.MembersEpoch,
	}
	for _, g := range ack.Shards {
		out.Shards = append(out.Shards, lease.ShardGeneration{Shard: g.Shard, Generation: g.Generation})
	}
	if ack.Members != nil {
		out.Members = &lease.MemberList{Epoch: ack.Members.Epoch, Members: ack.Members.Members}
	}
	return out
}

func (c *control) announce() *pb.Announce {
	n := c.agent.opts.Node
	return &pb.Announce{
		VmId: n.ID, Incarnation: n.Incarnation, FailureDomain: n.FailureDomain, Rack: n.Rack,
		Capacity: &pb.Resources{MilliCpu: n.Capacity.MilliCPU, MemoryMb: n.Capacity.MemoryMB, Accelerators: n.Capacity.Accelerators},
		Slots:    uint32(n.Slots), Connections: uint32(n.Connections),
		Attempts: c.tasks.statuses(), ConfigRevision: c.config.Revision(), ConfigDigest: c.config.Digest(),
	}
}

// sendHeartbeats sends a heartbeat and the unacknowledged task events to every
// connected entry, with a usage report if one is due.
func (c *control) sendHeartbeats() {
	c.dropStaleSessions(c.agent.opts.Entries)
	seq := c.tasks.heartbeatSent()
	var usage []*pb.TaskUsage
	report := time.Since(c.usageReportedAt) >= c.usageReportInterval
	if report {
		usage = c.tasks.usage()
		c.usageReportedAt, c.usageReportInterval = time.Now(), usageReportInterval(usage, c.connectedSessions())
	}
	for _, s := range c.sessions {
		c.sendHeartbeatWith(s, seq, usage, report)
	}
}

// usageReportInterval returns the time until the next usage report, so that reports
// of this size to the given number of entries keep to usageBytesPerSecond.
func usageReportInterval(usage []*pb.TaskUsage, entries int) time.Duration {
	bytes := proto.Size(&pb.Heartbeat{Usage: usage}) * entries
	return max(minUsageReportInterval, time.Duration(bytes)*time.Second/usageBytesPerSecond)
}

func (c *control) connectedSessions() int {
	n := 0
	for _, s := range c.sessions {
		if s.connected {
			n++
		}
	}
	return n
}

func (c *control) sendHeartbeat(s *entrySession, seq uint64) {
	c.sendHeartbeatWith(s, seq, nil, false)
}

func (c *control) sendHeartbeatWith(s *entrySession, seq uint64, usage []*pb.TaskUsage, reported bool) {
	if !s.connected {
		return
	}
	heartbeat := &pb.Heartbeat{
		Seq: seq, Load: c.load(), ConfigRevision: c.config.Revision(), ConfigDigest: c.config.Digest(), Leaving: c.leaving,
		MembersEpoch: c.tasks.holder.Epoch(), Usage: usage, UsageReported: reported,
	}
	c.queueFrame(s, &pb.Frame{Body: &pb.Frame_Heartbeat{Heartbeat: heartbeat}})
	for _, frame := range c.tasks.pendingEvents(s) {
		c.queueFrame(s, frame)
	}
}

// queueFrame queues a control frame for an entry, or drops it if the outbox is full.
func (c *control) queueFrame(s *entrySession, frame *pb.Frame) {
	select {
	case s.outbox <- frame:
	default:
		c.agent.metrics.framesDropped.Add(1)
	}
}

func (c *control) load() *pb.Load {
	l := c.slots.Load()
	queued := 0
	for _, n := range l.Queued {
		queued += n
	}
	reserved := c.tasks.reserved()
	return &pb.Load{
		SlotsBusy: uint32(l.Busy), Queued: uint32(queued), Connections: uint32(l.Connections),
		Reserved:    &pb.Resources{MilliCpu: reserved.MilliCPU, MemoryMb: reserved.MemoryMB, Accelerators: reserved.Accelerators},
		ShortWaitUs: uint32(l.ShortWait.Microseconds()),
	}
}

func drainOutbox(outbox chan *pb.Frame) {
	for {
		select {
		case <-outbox:
		default:
			return
		}
	}
}
