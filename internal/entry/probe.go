package entry

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// probeRetry is the time between two attempts to reach another entry.
	probeRetry = 500 * time.Millisecond
	// lostLimit bounds how long a listed entry that is out of reach counts as
	// lost. It exceeds the entry's lease, after which the list decides.
	lostLimit = entryLease + 5*time.Second
)

// probe holds an idle session with another entry, which shows the entry's death
// or silence within 2 s, long before its lease ends.
func (e *Entry) probe(peer peerRecord) {
	for e.ctx.Err() == nil {
		e.holdSession(peer)
		listed, ok := ask(e.ctx, e, func(c *control) bool { return c.outOfReach(peer.Incarnation) })
		if !ok || !listed || !e.sleep(probeRetry) {
			return
		}
	}
}

// holdSession returns when the entry is out of reach. Only an answer shows that
// it is in reach: a paused process still accepts connections.
func (e *Entry) holdSession(peer peerRecord) {
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
	e.do(e.ctx, func(c *control) { delete(c.lost, peer.Incarnation) })
	select {
	case <-session.Done():
	case <-e.ctx.Done():
	}
}

// outOfReach records that a peer is out of reach. It returns false when the peer
// is no longer listed.
func (c *control) outOfReach(id string) bool {
	if _, listed := c.peers[id]; !listed {
		delete(c.probed, id)
		delete(c.lost, id)
		return false
	}
	if _, known := c.lost[id]; !known {
		c.lost[id] = c.entry.now()
		c.entry.opts.Log.Info("Entry out of reach.", "entry", id)
	}
	return true
}

// probePeers starts the probes of peers that are new in the list.
func (c *control) probePeers() {
	for _, id := range c.otherEntries() {
		if peer := c.peers[id]; !c.probed[id] && peer.Session != "" {
			c.probed[id] = true
			c.entry.wg.Go(func() { c.entry.probe(peer) })
		}
	}
}

// ownerLost reports whether shards belong to an entry that is dead or out of
// reach. Until another entry takes them over nobody verifies their ownership,
// and their permits rest on attestation.
func (c *control) ownerLost() bool {
	now := c.entry.now()
	return slices.ContainsFunc(c.jobs.table.Shards, func(s shard.Ownership) bool {
		if s.Owner == "" || s.Owner == c.entry.incarnation {
			return false
		}
		if _, listed := c.peers[s.Owner]; !listed {
			return true
		}
		since, lost := c.lost[s.Owner]
		return lost && now-since < lostLimit
	})
}
