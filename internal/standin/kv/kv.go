// Package kv implements a stand-in for the platform's key-value service: an
// in-memory store behind the HTTP API of package internal/kv. It injects faults
// and counts the calls it receives.
package kv

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	store "vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/standin/control"
)

// Limits of the stand-in.
const (
	// maxSeconds is the number of seconds after the start for which per-second
	// counts are kept.
	maxSeconds = 7200
	// maxWatchWait is the longest wait of one watch.
	maxWatchWait = time.Minute
	// minLeaseTTL is the shortest lease granted.
	minLeaseTTL = 10 * time.Millisecond
	// maxLeaseTTL is the longest lease granted. Claims need leases of 24 h.
	maxLeaseTTL = 30 * 24 * time.Hour
	// expiryInterval is the interval at which lapsed leases are ended, so that
	// watches see the deletion of their keys.
	expiryInterval = 100 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	Now func() time.Time // clock of leases and counts; nil: time.Now
}

// Faults are the faults in force. The zero value injects none.
type Faults struct {
	Down        bool            `json:"down,omitempty"`         // every call is answered 503, nothing is applied
	DelayMs     int64           `json:"delay_ms,omitempty"`     // delay of every call
	LoseAnswers int             `json:"lose_answers,omitempty"` // the next n writes are applied, the connection is closed without an answer
	Silent      control.Silence `json:"silent,omitempty"`       // connections that receive no answer; nothing is applied
}

// Counts are the numbers of calls received, by kind, including those that failed.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
}

// Records are the audit records of the stand-in. BytesWritten counts the values
// of received writes only.
type Records struct {
	Calls          Counts   `json:"calls"`
	PeakPerSecond  Counts   `json:"peak_per_second"`
	PerSecond      []Counts `json:"per_second"` // since the start, at most two hours
	BytesWritten   uint64   `json:"bytes_written"`
	AnswersLost    uint64   `json:"answers_lost"`
	Unavailable    uint64   `json:"unavailable"`
	PeakConnection int      `json:"peak_connections"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	store   *store.Memory
	tracker control.Tracker
	mux     *http.ServeMux
	now     func() time.Time
	started time.Time

	mu            sync.Mutex
	faults        Faults
	records       Records
	watchCtx      context.Context // cancelled when the faults change, so that waiting watches notice an outage
	cancelWatches context.CancelFunc
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in with an empty store.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{store: store.NewMemory(o.Now), now: o.Now, started: o.Now(), mux: http.NewServeMux()}
	s.watchCtx, s.cancelWatches = context.WithCancel(context.Background())
	s.routes()
	control.Handle(s.mux, s.Faults, s.SetFaults, func() any { return s.Records() })
	return s
}

// Configure makes server report its connections, as Faults.Silent requires for
// established connections.
func (s *Server) Configure(server *http.Server) { s.tracker.Configure(server) }

// Store returns the store behind the stand-in, for tests in process.
func (s *Server) Store() *store.Memory { return s.store }

// Run ends lapsed leases at regular intervals until ctx ends, so that watches see
// the deletion of their keys.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.store.Expire()
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) error {
	if f.DelayMs < 0 || f.LoseAnswers < 0 || !f.Silent.Valid() {
		return errors.New("negative delay or count, or unknown kind of silence")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.store.SetFaults(store.Faults{Down: f.Down, Delay: time.Duration(f.DelayMs) * time.Millisecond, LoseAnswers: f.LoseAnswers})
	s.tracker.SetSilence(f.Silent)
	s.cancelWatches()
	s.watchCtx, s.cancelWatches = context.WithCancel(context.Background())
	return nil
}

// Faults returns the faults in force; LoseAnswers is the number still to lose.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.LoseAnswers = s.store.Faults().LoseAnswers
	return f
}

// Records returns a copy of the audit records.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records
	r.PerSecond = append([]Counts(nil), r.PerSecond...)
	r.PeakConnection = s.tracker.Peak()
	return r
}

// count records a received call that carries a value of the given number of bytes.
func (s *Server) count(kind kind, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.BytesWritten += uint64(bytes)
	kind.add(&s.records.Calls, nil)
	second := int(s.now().Sub(s.started) / time.Second)
	if second < 0 || second >= maxSeconds {
		return
	}
	for len(s.records.PerSecond) <= second {
		s.records.PerSecond = append(s.records.PerSecond, Counts{})
	}
	kind.add(&s.records.PerSecond[second], &s.records.PeakPerSecond)
}

// countFailure counts lost answers and calls during an outage.
func (s *Server) countFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, store.ErrUncertain) {
		s.records.AnswersLost++
	}
	if errors.Is(err, store.ErrUnavailable) {
		s.records.Unavailable++
	}
}

func (s *Server) watchContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchCtx
}

// kind is a kind of call as the service's rate limits count it.
type kind int

const (
	read kind = iota
	write
	watch
	leaseCall
)

// counter returns the counter of the kind in c.
func (k kind) counter(c *Counts) *uint64 {
	return [...]*uint64{&c.Reads, &c.Writes, &c.Watches, &c.Leases}[k]
}

// add counts one call in c and raises peak to the new count. A nil peak is
// ignored.
func (k kind) add(c, peak *Counts) {
	n := k.counter(c)
	*n++
	if peak != nil {
		*k.counter(peak) = max(*k.counter(peak), *n)
	}
}

// reply sends the response to a call. An error is sent as its status and code; a
// lost answer, or an error without a code, closes the connection.
func (s *Server) reply(w http.ResponseWriter, reply store.Reply, err error) {
	if err != nil {
		s.countFailure(err)
	}
	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, reply)
	case errors.Is(err, store.ErrConflict):
		httpjson.WriteError(w, http.StatusConflict, store.CodeConflict, "")
	case errors.Is(err, store.ErrNotFound):
		httpjson.WriteError(w, http.StatusNotFound, store.CodeNotFound, "")
	case errors.Is(err, store.ErrTooLarge):
		httpjson.WriteError(w, http.StatusRequestEntityTooLarge, store.CodeTooLarge, "")
	case errors.Is(err, store.ErrUnavailable):
		httpjson.WriteError(w, http.StatusServiceUnavailable, store.CodeUnavailable, "")
	default:
		control.Abort()
	}
}
