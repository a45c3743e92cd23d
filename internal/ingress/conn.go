package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Raw responses to requests whose head is not passed to net/http.
const (
	tooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)

const (
	// retryAfter is what a refused caller is told: stalled connections make room after
	// stallTime at most.
	retryAfter = time.Second
	// writeTime bounds a write to a client that does not read its response.
	writeTime = 10 * time.Second
	// unknownBody is the length of a chunked body.
	unknownBody = -1
)

// conn is a connection of a caller. It ends each read at the end of a request head, so that
// it knows which bytes belong to heads; net/http's MaxHeaderBytes does not bound the number
// of lines, whose entries take more memory than their bytes.
type conn struct {
	net.Conn
	guard   *Guard
	account *Account
	limits  func() Limits

	head    headScanner // of the head that is arriving
	began   time.Time   // when that head began, or when the connection was opened
	later   bool        // a head has ended before
	pending []byte      // read behind the end of a head
	// body is the number of bytes of the request's body that have not been read, or
	// unknownBody. net/http may begin to read the next head before the handler resets it.
	body atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.body.Load() != 0 {
		return c.readBody(p)
	}
	var n int
	var err error
	kept := len(c.pending) > 0
	if kept {
		n = copy(p, c.pending)
	} else {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.noteTimeout()
		}
		return 0, err
	}
	if c.head.size == 0 && c.later {
		c.began = time.Now()
	}
	used, lines, done := c.head.scan(p[:n])
	if kept {
		c.pending = c.pending[used:]
	} else if used < n {
		c.pending = append(c.pending[:0], p[used:n]...)
	}
	if size := c.head.size; size > c.limits().withDefaults().HeadBytes+headSlack {
		c.guard.note(refusedHead)
		return 0, c.refuse(tooLarge, errors.New("the head is too large"))
	}
	if failed := c.guard.receive(c.account, int64(used*headByteCost+lines*lineCost)); failed != nil {
		return 0, c.refuse(unavailable, failed)
	}
	if done {
		c.head, c.later = headScanner{}, true
	}
	return used, err
}

// readBody reads bytes of a body only: those behind it belong to the next head.
func (c *conn) readBody(p []byte) (n int, err error) {
	left := c.body.Load()
	if left > 0 && int64(len(p)) > left {
		p = p[:left]
	}
	if len(c.pending) > 0 {
		n = copy(p, c.pending)
		c.pending = c.pending[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	if left > 0 {
		c.body.Store(left - int64(n))
	}
	return n, err
}

// refuse sends a raw response and returns the error with which net/http closes the
// connection without a response of its own.
func (c *conn) refuse(response string, cause error) error {
	if !errors.Is(cause, ErrClosed) {
		refuse(c.Conn, response)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: cause}
}

// refuse sends a raw response. The client may have gone, or may not read it.
func refuse(c net.Conn, response string) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, _ = c.Write([]byte(response))
}

// noteTimeout counts a request that did not arrive in time. A read that net/http itself
// ends, and the end of an idle connection, are none.
func (c *conn) noteTimeout() {
	c.guard.mu.Lock()
	late := c.account.phase == receiving
	c.guard.mu.Unlock()
	if late {
		c.guard.note(closedTime)
	}
}

// SetReadDeadline implements net.Conn. It replaces the deadlines that net/http derives from
// the constants of its server by those of the limits in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.After(now) {
		limits := c.limits().withDefaults()
		if c.head.size > 0 || !c.later {
			t = c.began.Add(limits.HeadTime)
		} else {
			t = now.Add(limits.IdleTime)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite shuts down the writing side, for net/http.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c.account)
	return c.Conn.Close()
}
