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
	// firstFrameTimeout bounds how long a new session may stay unidentified.
	firstFrameTimeout = 2 * time.Second
	outboxSize        = 512
)

// agentState is what the entry knows of one agent.
type agentState struct {
	node        structs.Node
	session     *wire.Session // nil while there is none
	outbox      chan *pb.Frame
	load        *pb.Load
	leaving     bool
	epoch       uint64 // member list epoch that the agent holds
	toldEntries string // the entry addresses last sent, as one string
}

func (e *Entry) wireConfig() wire.Config {
	return wire.Config{TLS: e.opts.TLS, Stats: &e.stats, Silence: e.opts.Silence}
}

// acceptSessions accepts agents and other entries.
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

// serveConn identifies the peer by the first frame of its first stream.
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

// serveAgent runs the control stream of an agent's session.
func (e *Entry) serveAgent(ctx context.Context, session *wire.Session, stream *wire.Stream, announce *pb.Announce) {
	outbox := make(chan *pb.Frame, outboxSize)
	node := nodeOf(announce)
	if accepted, ok := ask(ctx, e, func(c *control) bool { return c.attach(node, session, outbox, announce) }); !ok || !accepted {
		return
	}
	e.wg.Go(func() { writeFrames(ctx, session, stream, outbox) })
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			break
		}
		if !e.do(ctx, func(c *control) { c.onAgentFrame(node, session, frame) }) {
			break
		}
	}
	e.do(ctx, func(c *control) { c.detach(node.ID, session) })
}

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

// attach takes over a session of an agent. A lower incarnation than the known
// one is refused: it is a delayed session of an earlier process.
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
	a.node, a.session, a.outbox, a.toldEntries = node, session, outbox, ""
	c.router.Add(node.ID, node.FailureDomain, node.Slots)
	c.onMembership(actions)
	c.applyState(node.ID)
	c.jobs.attached(a, announce)
	c.report(a, announce.ConfigRevision, announce.ConfigDigest)
	c.entry.opts.Log.Info("Agent connected.", "vm", node.ID, "domain", node.FailureDomain)
	return true
}

func (c *control) detach(id string, session *wire.Session) {
	a := c.agents[id]
	if a == nil || a.session != session {
		return
	}
	a.session = nil
	c.source.Forget(id)
	c.applyState(id)
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

func (c *control) onHeartbeat(a *agentState, h *pb.Heartbeat) {
	actions, ok := c.members.Heartbeat(c.entry.now(), a.node.ID, a.node.Incarnation, h.Leaving)
	if !ok {
		_ = a.session.Close()
		return
	}
	a.leaving, a.epoch = h.Leaving, h.MembersEpoch
	c.onMembership(actions)
	c.applyState(a.node.ID)
	c.onLoad(a, h.Load)
	c.jobs.onHeartbeat(a, h)
	c.report(a, h.ConfigRevision, h.ConfigDigest)
	c.post(a, &pb.Frame{Body: &pb.Frame_HeartbeatAck{HeartbeatAck: c.acknowledge(a, h.Seq)}})
}

// acknowledge builds the answer to a heartbeat. It states the verified age and
// any attestation, so it is sent once and never repeated.
func (c *control) acknowledge(a *agentState, seq uint64) *pb.HeartbeatAck {
	c.verifier.OwnerLost(c.ownerLost())
	ack := c.verifier.Ack(c.entry.now(), a.node.ID, seq, a.epoch)
	out := &pb.HeartbeatAck{
		Seq: ack.Seq, Entry: ack.Entry, Verified: ack.Verified, VerifiedAgeUs: microsRoundedUp(ack.VerifiedAge),
		NoKvContact: ack.NoContact, MembersEpoch: ack.Epoch, ConfigRevision: c.source.Revision(), Leaving: c.leaving,
	}
	for _, s := range ack.Shards {
		out.Shards = append(out.Shards, &pb.ShardGeneration{Shard: s.Shard, Generation: s.Generation})
	}
	if ack.Members != nil {
		out.Members = &pb.MemberList{Epoch: ack.Members.Epoch, Members: ack.Members.Members}
	}
	if told := c.entryAddresses(); told != a.toldEntries {
		a.toldEntries = told
		out.Entries = c.entryAddressList()
	}
	return out
}

// microsRoundedUp never understates an age: the agent subtracts it.
func microsRoundedUp(d lease.Instant) uint64 {
	return uint64((d + time.Microsecond - 1) / time.Microsecond)
}

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

// onMembership acts on changes of the membership view.
func (c *control) onMembership(actions []membership.Action) {
	for _, action := range actions {
		switch action.Kind {
		case membership.Ask:
			c.askObservers(action)
		case membership.Changed:
			c.applyState(action.Peer)
			if action.State == membership.Removed {
				c.removeAgent(action.Peer)
			}
		}
	}
}

func (c *control) removeAgent(id string) {
	a := c.agents[id]
	if a == nil {
		return
	}
	c.entry.opts.Log.Warn("Agent removed.", "vm", id)
	if a.session != nil {
		_ = a.session.Close()
	}
	c.jobs.agentRemoved(a)
	c.router.Remove(id)
	c.outliers.Remove(id)
	c.source.Forget(id)
	delete(c.agents, id)
}

// report brings the agent's configuration up to date.
func (c *control) report(a *agentState, revision, digest uint64) {
	if !c.loaded {
		return
	}
	c.push(a, c.source.Report(a.node.ID, revision, digest))
}

func (c *control) push(a *agentState, pushes []propagation.Push) {
	for _, p := range pushes {
		c.post(a, &pb.Frame{Body: &pb.Frame_ConfigPush{ConfigPush: pushFrame(p)}})
	}
}

func pushFrame(p propagation.Push) *pb.ConfigPush {
	out := &pb.ConfigPush{Revision: p.Revision, Digest: p.Digest}
	for _, o := range p.Objects {
		out.Objects = append(out.Objects, &pb.ConfigObject{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Json: o.Data, Deleted: o.Deleted,
		})
	}
	return out
}

// post queues a control frame for an agent. A frame that does not fit is
// dropped; heartbeats repeat what matters.
func (c *control) post(a *agentState, frame *pb.Frame) {
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
