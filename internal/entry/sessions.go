package entry

import (
	"context"
	"net"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/membership"
	"vanillalock.example/vanillalock/coord/propagation"
	"vanillalock.example/vanillalock/internal/request/route"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// firstFrameTimeout limits the wait for the first frame of a stream. The
	// first frame of a session identifies the peer.
	firstFrameTimeout = 2 * time.Second
	// outboxSize is the number of control frames queued for an agent.
	outboxSize = 512
)

// agentState is the state that the entry keeps for one agent.
type agentState struct {
	node               structs.Node
	session            *wire.Session // nil while the agent is not connected
	outbox             chan *pb.Frame
	load               *pb.Load
	leaving            bool
	membersEpoch       uint64 // member list epoch that the agent holds
	sentEntryAddresses string // result of entryAddresses when they were last sent
}

func (e *Entry) wireConfig() wire.Config {
	return wire.Config{TLS: e.opts.TLS, Stats: &e.stats, SilenceTimeout: e.opts.SilenceTimeout}
}

// acceptSessions accepts connections of agents and other entries until the
// listener is closed.
func (e *Entry) acceptSessions(ctx context.Context) {
	for {
		conn, err := e.opts.Session.Accept()
		if err != nil {
			if ctx.Err() != nil || !isTemporary(err) {
				return
			}
			continue
		}
		e.wg.Go(func() { e.serveConn(ctx, conn) })
	}
}

func isTemporary(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// serveConn serves one connection. The first frame of the first stream tells
// whether the peer is an agent or another entry.
func (e *Entry) serveConn(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, e.wireConfig())
	if err != nil {
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	frame, err := stream.Receive(firstFrameTimeout)
	if err != nil {
		return
	}
	if announce := frame.GetAnnounce(); announce != nil {
		e.serveAgent(ctx, session, stream, announce)
		return
	}
	e.servePeer(ctx, session, stream, frame)
}

// serveAgent serves the control stream of an agent's session until it ends.
func (e *Entry) serveAgent(ctx context.Context, session *wire.Session, stream *wire.Stream, announce *pb.Announce) {
	outbox := make(chan *pb.Frame, outboxSize)
	node := nodeOf(announce)
	if accepted, ok := queryControl(ctx, e, func(c *control) bool { return c.attach(node, session, outbox, announce) }); !ok || !accepted {
		return
	}
	e.wg.Go(func() { writeFrames(ctx, session, stream, outbox) })
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			break
		}
		if !e.postEvent(ctx, func(c *control) { c.onAgentFrame(node, session, frame) }) {
			break
		}
	}
	e.postEvent(ctx, func(c *control) { c.detach(node.ID, session) })
}

// writeFrames sends the frames of the outbox until the session ends or a send
// fails, and then closes the session.
func writeFrames(ctx context.Context, session *wire.Session, stream *wire.Stream, outbox <-chan *pb.Frame) {
	defer session.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.Done():
			return
		case frame := <-outbox:
			if stream.Send(frame) != nil {
				return
			}
		}
	}
}

// attach makes a session the current one of its agent. It returns false for a
// lower incarnation than the known one, which is a delayed session of an
// earlier process.
func (c *control) attach(node structs.Node, session *wire.Session, outbox chan *pb.Frame, announce *pb.Announce) bool {
	c.members.Readmit(node.ID, node.Incarnation)
	actions, ok := c.members.Heartbeat(c.entry.now(), node.ID, node.Incarnation, false)
	if !ok {
		return false
	}
	a := c.agents[node.ID]
	if a == nil || a.node.Incarnation != node.Incarnation {
		if a != nil && a.session != nil {
			_ = a.session.Close()
		}
		a = &agentState{}
		c.agents[node.ID] = a
		c.outliers.Add(node.ID)
	}
	a.node, a.session, a.outbox, a.sentEntryAddresses = node, session, outbox, ""
	c.router.Add(node.ID, node.FailureDomain, node.Slots)
	c.onMembership(actions)
	c.updateRoutingState(node.ID)
	c.jobs.onAgentAttached(a, announce)
	c.syncConfig(a, announce.ConfigRevision, announce.ConfigDigest)
	c.entry.opts.Log.Info("Agent connected.", "vm", node.ID, "domain", node.FailureDomain)
	return true
}

// detach handles the end of an agent's session, unless a newer one has replaced
// it.
func (c *control) detach(id string, session *wire.Session) {
	a := c.agents[id]
	if a == nil || a.session != session {
		return
	}
	a.session = nil
	c.configSource.Forget(id)
	c.updateRoutingState(id)
	c.entry.opts.Log.Info("Agent disconnected.", "vm", id)
}

// onAgentFrame handles a control frame of an agent.
func (c *control) onAgentFrame(node structs.Node, session *wire.Session, frame *pb.Frame) {
	a := c.agents[node.ID]
	if a == nil || a.session != session {
		return
	}
	switch body := frame.Body.(type) {
	case *pb.Frame_Heartbeat:
		c.onHeartbeat(a, body.Heartbeat)
	case *pb.Frame_TaskEvent:
		c.jobs.onTaskEvent(a, body.TaskEvent)
	}
}

// onHeartbeat updates the agent's state from a heartbeat and acknowledges it.
func (c *control) onHeartbeat(a *agentState, h *pb.Heartbeat) {
	actions, ok := c.members.Heartbeat(c.entry.now(), a.node.ID, a.node.Incarnation, h.Leaving)
	if !ok {
		_ = a.session.Close()
		return
	}
	a.leaving, a.membersEpoch = h.Leaving, h.MembersEpoch
	c.onMembership(actions)
	c.updateRoutingState(a.node.ID)
	c.onLoad(a, h.Load)
	c.jobs.onHeartbeat(a, h)
	c.syncConfig(a, h.ConfigRevision, h.ConfigDigest)
	c.postFrame(a, &pb.Frame{Body: &pb.Frame_HeartbeatAck{HeartbeatAck: c.heartbeatAck(a, h.Seq)}})
}

// heartbeatAck returns the acknowledgement of a heartbeat. It holds the age of
// the ownership verification and any attestation, which are valid only at this
// moment, so it must be sent once and never repeated.
func (c *control) heartbeatAck(a *agentState, seq uint64) *pb.HeartbeatAck {
	c.verifier.SetOwnerLost(c.ownerUnreachable())
	ack := c.verifier.Ack(c.entry.now(), a.node.ID, seq, a.membersEpoch)
	out := &pb.HeartbeatAck{
		Seq: ack.Seq, Entry: ack.Entry, Verified: ack.Verified, VerifiedAgeUs: microsRoundedUp(ack.VerifiedAge),
		NoKvContact: ack.NoContact, MembersEpoch: ack.Epoch, ConfigRevision: c.configSource.Revision(), Leaving: c.leaving,
	}
	for _, s := range ack.Shards {
		out.Shards = append(out.Shards, &pb.ShardGeneration{Shard: s.Shard, Generation: s.Generation})
	}
	if ack.Members != nil {
		out.Members = &pb.MemberList{Epoch: ack.Members.Epoch, Members: ack.Members.Members}
	}
	if addresses := c.entryAddresses(); addresses != a.sentEntryAddresses {
		a.sentEntryAddresses = addresses
		out.Entries = c.entryAddressList()
	}
	return out
}

// microsRoundedUp returns d in microseconds, rounded up: the agent subtracts
// the age from the permit time, so it must not be understated.
func microsRoundedUp(d lease.Instant) uint64 {
	return uint64((d + time.Microsecond - 1) / time.Microsecond)
}

// onLoad records the load of an agent and reports it to the router.
func (c *control) onLoad(a *agentState, load *pb.Load) {
	if load == nil {
		return
	}
	a.load = load
	if h := c.router.Lookup(a.node.ID); h != route.None {
		c.router.Report(h, route.Report{
			Busy: int(load.SlotsBusy), Queued: int(load.Queued), ShortWait: time.Duration(load.ShortWaitUs) * time.Microsecond,
		})
	}
}

// onMembership carries out the actions of the failure detector.
func (c *control) onMembership(actions []membership.Action) {
	for _, action := range actions {
		switch action.Kind {
		case membership.Ask:
			c.queryObservers(action)
		case membership.Changed:
			c.updateRoutingState(action.Peer)
			if action.State == membership.Removed {
				c.removeAgent(action.Peer)
			}
		}
	}
}

// removeAgent drops the state of an agent that was removed from the membership.
func (c *control) removeAgent(id string) {
	a := c.agents[id]
	if a == nil {
		return
	}
	c.entry.opts.Log.Warn("Agent removed.", "vm", id)
	if a.session != nil {
		_ = a.session.Close()
	}
	c.jobs.onAgentRemoved(a)
	c.router.Remove(id)
	c.outliers.Remove(id)
	c.configSource.Forget(id)
	delete(c.agents, id)
}

// syncConfig compares the configuration revision and digest that an agent
// reports with the current ones and pushes what the agent lacks.
func (c *control) syncConfig(a *agentState, revision, digest uint64) {
	if !c.configLoaded {
		return
	}
	c.pushConfig(a, c.configSource.Report(a.node.ID, revision, digest))
}

func (c *control) pushConfig(a *agentState, pushes []propagation.Push) {
	for _, p := range pushes {
		c.postFrame(a, &pb.Frame{Body: &pb.Frame_ConfigPush{ConfigPush: configPushFrame(p)}})
	}
}

func configPushFrame(p propagation.Push) *pb.ConfigPush {
	out := &pb.ConfigPush{Revision: p.Revision, Digest: p.Digest}
	for _, o := range p.Objects {
		out.Objects = append(out.Objects, &pb.ConfigObject{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Json: o.Data, Deleted: o.Deleted,
		})
	}
	return out
}

// postFrame queues a control frame for an agent. If the outbox is full, the
// frame is dropped: syncConfig on a later heartbeat and repeatCommands send
// again what the agent still needs.
func (c *control) postFrame(a *agentState, frame *pb.Frame) {
	if a.session == nil {
		return
	}
	select {
	case a.outbox <- frame:
	default:
		c.entry.metrics.framesDropped.Add(1)
	}
}

func nodeOf(a *pb.Announce) structs.Node {
	return structs.Node{
		ID: a.VmId, Incarnation: a.Incarnation, FailureDomain: a.FailureDomain, Rack: a.Rack,
		Capacity: resourcesOf(a.Capacity), Slots: int(a.Slots), Connections: int(a.Connections),
	}
}

func resourcesOf(r *pb.Resources) structs.Resources {
	if r == nil {
		return structs.Resources{}
	}
	return structs.Resources{MilliCPU: r.MilliCpu, MemoryMB: r.MemoryMb, Accelerators: r.Accelerators}
}
