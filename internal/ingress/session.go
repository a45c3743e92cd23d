package ingress

import (
	"math"
	"net"
	"time"
)

// sessionConn is a connection of a session between processes. wire tells it what the
// session holds.
type sessionConn struct {
	net.Conn
	guard   *Guard
	account *Account
}

// Hold charges bytes that have come for streams and have not been read from them. It
// returns an error if the session has to be closed.
func (c *sessionConn) Hold(bytes int64) error {
	g := c.guard
	bytes *= sessionByteCost
	g.mu.Lock()
	excessive := c.account.held+bytes > g.session.bytes/2
	g.mu.Unlock()
	var err error
	if excessive {
		err = &RefusedError{}
	} else {
		err = g.receive(c.account, bytes)
	}
	if err != nil {
		g.note(closedSession)
	}
	return err
}

// HoldStream charges an open stream.
func (c *sessionConn) HoldStream() error { return c.Hold(streamCost / sessionByteCost) }

// ReleaseStream returns what HoldStream has charged.
func (c *sessionConn) ReleaseStream() { c.Release(streamCost / sessionByteCost) }

// Release returns bytes that were charged.
func (c *sessionConn) Release(bytes int64) {
	bytes = min(bytes, math.MaxInt64/sessionByteCost) * sessionByteCost
	c.guard.update(func(time.Duration) []*Account {
		c.guard.session.Release(c.account, bytes)
		return nil
	})
}

// Begin marks that the session has delivered a valid frame. It is not closed for others
// any more.
func (c *sessionConn) Begin() { c.guard.serve(c.account) }

// EndUnbegun counts a session that is closed because it has not begun in time.
func (c *sessionConn) EndUnbegun() { c.guard.note(closedSession) }

// Close implements net.Conn.
func (c *sessionConn) Close() error {
	c.guard.remove(c.account)
	return c.Conn.Close()
}
