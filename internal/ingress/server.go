package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// NewServer returns a server of a handler for a listener of a Guard. The body of a request
// ends with a RefusedError if there is no room for it.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: guarded{handler},
		// The connections replace these times by those of the limits in force.
		ReadHeaderTimeout: DefaultLimits.HeadTime, IdleTimeout: DefaultLimits.IdleTime,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		// Every head has to reach the handler, which tells the connection of the body.
		DisableGeneralOptionsHandler: true,
	}
}

// guarded accounts for the requests of a handler.
type guarded struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h guarded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok { // a connection of another listener, in a test
		h.next.ServeHTTP(w, r)
		return
	}
	var b *body
	if r.ContentLength != 0 {
		c.body.Store(r.ContentLength)
		if r.ContentLength < 0 || int64(len(c.pending)) < r.ContentLength { // it has not come with the head
			if err := c.Conn.SetReadDeadline(time.Now().Add(c.limits().withDefaults().bodyTime())); err != nil {
				panic(http.ErrAbortHandler) // the connection is closed
			}
		}
		b = &body{ReadCloser: r.Body, conn: c}
		r.Body = b
	} else if !c.guard.serve(c.account) {
		panic(http.ErrAbortHandler)
	}
	defer func() {
		c.guard.update(func(now time.Duration) []*Account {
			c.guard.requests.Finish(c.account, b == nil || b.whole, now)
			return nil
		})
	}()
	h.next.ServeHTTP(w, r)
}

// body is the body of a request, charged as it is read.
type body struct {
	io.ReadCloser
	conn  *conn
	size  int64
	whole bool
	err   error // of a refusal
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	guard, account := b.conn.guard, b.conn.account
	if n > 0 {
		b.size += int64(n)
		if b.err = guard.receive(account, int64(n)*bodyByteCost); b.err != nil {
			return 0, b.err
		}
	}
	switch {
	case errors.Is(err, io.EOF) && !b.whole:
		b.conn.body.CompareAndSwap(unknownBody, 0)
		if b.err = guard.receive(account, b.size*servedByteCost); b.err != nil {
			return 0, b.err
		}
		if !guard.serve(account) {
			b.err = ErrClosed
			return 0, b.err
		}
		b.whole = true
	case errors.Is(err, os.ErrDeadlineExceeded):
		guard.note(closedTime)
	}
	return n, err
}
