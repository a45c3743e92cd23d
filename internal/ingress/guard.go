package ingress

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"vanillalock.example/vanillalock/internal/obs"
)

// logInterval is the least time between log lines about refused clients: a crowd would
// otherwise fill the log.
const logInterval = 10 * time.Second

// Reasons of refusals and closings, in the names of counters.
const (
	refusedHead       = "refused_head_size"  // 431: the head exceeds its limit
	refusedBytes      = "refused_memory"     // 503: no room for what the request holds
	refusedConnection = "refused_connection" // 503: no room for the connection
	closedStalled     = "closed_for_others"  // it was the first to be closed when room was short
	closedTime        = "closed_time"        // the head or body did not arrive in time
	closedSession     = "closed_session"     // a session held too much or did not begin in time
)

// ErrClosed means that the connection has been closed to make room for others.
var ErrClosed = errors.New("closed to make room for other connections")

// RefusedError means that a request is refused because there is no room for its body.
type RefusedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *RefusedError) Error() string { return "no memory is left for the request" }

// Options are the options of a Guard.
type Options struct {
	MemoryMB int // limit of the process's memory; 0: not known
	MaxFDs   int // limit of its descriptors; 0: not known
	Log      *log.Logger
	Metrics  *obs.Metrics
}

// Guard enforces the shares of the clients of one process. It is safe for concurrent use.
type Guard struct {
	opts     Options
	origin   time.Time
	counters map[string]obs.Counter
	held     obs.Gauge
	sessions obs.Gauge // bytes held by sessions
	open     obs.Gauge

	mu       sync.Mutex
	requests *Budget
	session  *Budget
	closers  map[*Account]net.Conn
	noted    map[string]int // events by reason since the last log line
	logged   time.Duration  // time of that line
}

// NewGuard returns a guard.
func NewGuard(o Options) *Guard {
	shares := SharesOf(o.MemoryMB, o.MaxFDs)
	g := &Guard{
		opts: o, origin: time.Now(), counters: map[string]obs.Counter{}, logged: -logInterval,
		held: o.Metrics.Gauge("bytes_held"), sessions: o.Metrics.Gauge("session_bytes_held"), open: o.Metrics.Gauge("connections"),
		requests: NewBudget(shares.RequestBytes, shares.Connections), session: NewBudget(shares.SessionBytes, shares.Connections),
		closers: map[*Account]net.Conn{}, noted: map[string]int{},
	}
	for _, reason := range []string{refusedHead, refusedBytes, refusedConnection, closedStalled, closedTime, closedSession} {
		g.counters[reason] = o.Metrics.Counter(reason)
	}
	o.Metrics.Gauge("bytes_limit").Set(shares.RequestBytes)
	o.Metrics.Gauge("session_bytes_limit").Set(shares.SessionBytes)
	return g
}

// Listen listens on an address whose connections the guard accounts for. limits returns
// the limits in force; it is not used by the group Sessions.
func (g *Guard) Listen(address string, group Group, limits func() Limits) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &listener{l, g, group, limits}, nil
}

type listener struct {
	net.Listener
	guard  *Guard
	group  Group
	limits func() Limits
}

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account := l.guard.admit(raw, l.group)
		switch {
		case account == nil && l.group != Sessions:
			refuse(raw, unavailable)
			fallthrough
		case account == nil:
			_ = raw.Close()
		case l.group == Sessions:
			return &sessionConn{Conn: raw, guard: l.guard, account: account}, nil
		default:
			return &conn{Conn: raw, guard: l.guard, account: account, limits: l.limits, began: time.Now()}, nil
		}
	}
}

func (g *Guard) budget(group Group) *Budget {
	if group == Sessions {
		return g.session
	}
	return g.requests
}

// update runs a change of a budget, closes the connections that it returns and counts them.
func (g *Guard) update(change func(now time.Duration) []*Account) {
	g.mu.Lock()
	victims := change(time.Since(g.origin))
	conns := make([]net.Conn, 0, len(victims)) // most often of length 0, which allocates nothing
	for _, v := range victims {
		conns = append(conns, g.closers[v])
		delete(g.closers, v)
	}
	held, sessions, open := g.requests.held, g.session.held, len(g.closers)
	g.mu.Unlock()
	g.held.Set(held)
	g.sessions.Set(sessions)
	g.open.Set(int64(open))
	for _, c := range conns {
		_ = c.Close()
		g.note(closedStalled)
	}
}

// admit accounts for a new connection, and returns nil if there is no room for it.
func (g *Guard) admit(raw net.Conn, group Group) (a *Account) {
	g.update(func(now time.Duration) (victims []*Account) {
		if a, victims = g.budget(group).Open(group, now); a != nil {
			g.closers[a] = raw
		}
		return victims
	})
	if a == nil {
		g.note(refusedConnection)
	}
	return a
}

// remove removes a connection that is closed.
func (g *Guard) remove(a *Account) {
	g.update(func(time.Duration) []*Account {
		g.budget(a.group).Close(a)
		delete(g.closers, a)
		return nil
	})
}

// receive charges bytes that have come on a connection. It returns ErrClosed if the
// connection was closed, or a RefusedError if there is no room for the bytes.
func (g *Guard) receive(a *Account, bytes int64) (err error) {
	g.update(func(now time.Duration) []*Account {
		victims, ok := g.budget(a.group).Receive(a, bytes, now)
		switch {
		case a.closed:
			err = ErrClosed
		case !ok:
			err = &RefusedError{RetryAfter: retryAfter}
		}
		return victims
	})
	if err != nil && !errors.Is(err, ErrClosed) {
		g.note(refusedBytes)
	}
	return err
}

// serve marks that the request of a connection has arrived whole. It returns false if the
// connection was closed before.
func (g *Guard) serve(a *Account) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(a.group).Serve(a)
}

// note counts a refusal or closing, and logs those since the last line if that was not
// lately.
func (g *Guard) note(reason string) {
	g.counters[reason].Add(1)
	g.mu.Lock()
	g.noted[reason]++
	now := time.Since(g.origin)
	if now-g.logged < logInterval {
		g.mu.Unlock()
		return
	}
	g.logged = now
	fields := []any{"held", g.requests.held, "of", g.requests.bytes, "connections", len(g.closers)}
	for reason, n := range g.noted {
		fields = append(fields, reason, n)
	}
	clear(g.noted)
	g.mu.Unlock()
	g.opts.Log.Warn("Clients refused or closed.", fields...)
}
