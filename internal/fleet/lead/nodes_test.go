package lead

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

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
