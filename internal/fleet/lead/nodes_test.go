package lead

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/wire"
)

// Guards against orders that are lost and never repeated, and tasks of a VM out of reach
// that never start elsewhere, because the leader has ended the session itself and takes
// the agent as connected still.
func TestEndOfASessionByTheLeaderIsHandled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if session, err := wire.Accept(conn, wire.Config{}); err == nil {
				defer func() { _ = session.Close() }()
			}
		}
	}()
	l := newLoadingLeader(t, &slowStore{}, 0)
	node, n := l.ledger.AddNode("vm"), newNodeLink(listener.Addr().String())
	l.links["vm"] = n
	const sessions = 20 // the end of about half of them was not handled
	for range sessions {
		ended := make(chan struct{})
		go func() {
			n.session(context.Background(), l, "vm")
			close(ended)
		}()
		l.handle(<-l.events)
		require.True(t, n.connected)
		node.Listed = true
		n.cancel()
		<-ended
		l.drainEvents()
		require.False(t, n.connected)
		require.False(t, node.Listed)
	}
}

// Guards against lists and orders of a VM that are dropped because the session of its
// earlier registration ends.
func TestEndOfARemovedLinkLeavesTheNextOneAlone(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	node, earlier := l.ledger.AddNode("vm"), newNodeLink("")
	earlier.connected, node.Listed = true, true
	l.links["vm"] = newNodeLink("")
	l.handleDisconnect(earlier, "vm", nil)
	require.True(t, node.Listed)
}

// Guards against tasks on a VM that the next leader does not know of: its registration is
// deleted late, after the VM has come back.
func TestVMOfADeletedRegistrationIsNotUsedUntilItIsWrittenAgain(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	put := func() fleet.Item {
		_, err := l.opts.Store.Commit(t.Context(), fleet.Txn{Put: []fleet.Write{{Key: fleet.NodeBase + "vm", Value: []byte(`{"address":"127.0.0.1:1"}`)}}})
		require.NoError(t, err)
		item, err := l.opts.Store.Get(t.Context(), fleet.NodeBase+"vm")
		require.NoError(t, err)
		return item
	}
	first := put()
	l.applyNode(t.Context(), "vm", fleet.Change{Item: first}, true)
	l.ledger.Nodes["vm"].LeaseUntil = l.began
	l.ledger.Settled = true
	ended, cancel := context.WithCancel(t.Context())
	cancel() // the deletion has no answer
	l.removeUnreachable(ended, time.Now().Add(2*removeNodeAfter))
	require.Nil(t, l.links["vm"])
	l.applyNode(t.Context(), "vm", fleet.Change{Item: first}, true)
	require.Nil(t, l.links["vm"], "read before the deletion was carried out")
	l.applyNode(t.Context(), "vm", fleet.Change{Item: put()}, true)
	require.NotNil(t, l.links["vm"])
}
