package entry

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// probeRetry is the delay between two attempts to connect to another entry.
	probeRetry = 500 * time.Millisecond
	// unreachableLimit limits how long an unreachable entry that is still
	// listed counts as lost. It exceeds the entry's lease: an entry that has
	// really stopped has left the list by then, so one that is still listed is
	// alive.
	unreachableLimit = defaultEntryLease + 5*time.Second
)

// probePeer keeps an idle session open to another entry until that entry leaves
// the list. The end of the session reveals a dead or silent entry within 2 s,
// long before its lease ends.
func (e *Entry) probePeer(peer peerRecord) {
	for e.ctx.Err() == nil {
		e.monitorSession(peer)
		listed, ok := queryControl(e.ctx, e, func(c *control) bool { return c.markUnreachable(peer.Incarnation) })
		if !ok || !listed || !e.sleep(probeRetry) {
			return
		}
	}
}

// monitorSession connects to an entry and returns when it is unreachable. The
// entry counts as reachable only after it has answered a query, because a
// paused process still accepts connections.
func (e *Entry) monitorSession(peer peerRecord) {
	session, err := wire.Dial(e.ctx, peer.Session, e.wireConfig())
	if err != nil {
		return
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return
	}
	defer stream.Close()
	if err := stream.Send(&pb.Frame{Body: &pb.Frame_PeerQuery{PeerQuery: &pb.PeerQuery{Entry: e.incarnation}}}); err != nil {
		return
	}
	if _, err := stream.Receive(peerTimeout); err != nil {
		return
	}
	e.postEvent(e.ctx, func(c *control) { delete(c.unreachableSince, peer.Incarnation) })
	select {
	case <-session.Done():
	case <-e.ctx.Done():
	}
}

// markUnreachable records that a peer is unreachable. It returns false if the
// peer is no longer listed.
func (c *control) markUnreachable(id string) bool {
	if _, listed := c.peers[id]; !listed {
		delete(c.probed, id)
		delete(c.unreachableSince, id)
		return false
	}
	if _, known := c.unreachableSince[id]; !known {
		c.unreachableSince[id] = c.entry.now()
		c.entry.opts.Log.Info("Entry unreachable.", "entry", id)
	}
	return true
}

// probePeers starts a probe for each newly listed peer.
func (c *control) probePeers() {
	for _, id := range c.otherEntries() {
		if peer := c.peers[id]; !c.probed[id] && peer.Session != "" {
			c.probed[id] = true
			c.entry.wg.Go(func() { c.entry.probePeer(peer) })
		}
	}
}

// ownerUnreachable reports whether some shard belongs to an entry that is dead
// or unreachable. Until another entry takes the shard over, no entry verifies
// its ownership, and its permits can be renewed only by attestation.
func (c *control) ownerUnreachable() bool {
	now := c.entry.now()
	return slices.ContainsFunc(c.jobs.table.Shards, func(s shard.Ownership) bool {
		if s.Owner == "" || s.Owner == c.entry.incarnation {
			return false
		}
		if _, listed := c.peers[s.Owner]; !listed {
			return true
		}
		since, unreachable := c.unreachableSince[s.Owner]
		return unreachable && now-since < unreachableLimit
	})
}
