// Package kv is a stand-in for the platform's key-value service: an in-memory
// store behind the HTTP API of package internal/kv, with fault injection and
// counts of the calls it receives.
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
	// maxSeconds bounds the per-second counts kept.
	maxSeconds = 7200
	// maxWatchWait is the longest wait of one watch.
	maxWatchWait = time.Minute
	// minLeaseTTL is the shortest lease granted.
	minLeaseTTL = 10 * time.Millisecond
	// maxLeaseTTL is the longest lease granted. Claims have leases of 24 h.
	maxLeaseTTL = 30 * 24 * time.Hour
	// expiryInterval is the granularity with which watches see lapsed leases.
	expiryInterval = 100 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	Now func() time.Time // clock of leases and counts; nil: time.Now
}

// Faults are the faults in force. The zero value injects none.
type Faults struct {
	Down        bool            `json:"down,omitempty"`         // every call is answered 503, nothing is applied
	DelayMs     int64           `json:"delay_ms,omitempty"`     // added to every call
	LoseAnswers int             `json:"lose_answers,omitempty"` // the next n writes are applied, the connection is closed without an answer
	Silent      control.Silence `json:"silent,omitempty"`       // connections that receive no answer; nothing is applied
}

// Counts are the calls received, those that failed included.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
}

// Records are the audit records of the stand-in. Bytes are those of values.
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

	mu      sync.Mutex
	faults  Faults
	records Records
	outage  context.Context // ends when the faults change, so that watches see an outage
	change  context.CancelFunc
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in with an empty store.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{store: store.NewMemory(o.Now), now: o.Now, started: o.Now(), mux: http.NewServeMux()}
	s.outage, s.change = context.WithCancel(context.Background())
	s.routes()
	control.Handle(s.mux, s.Faults, s.SetFaults, func() any { return s.Records() })
	return s
}

// Configure makes server report its connections, which the fault of silent
// established connections needs.
func (s *Server) Configure(server *http.Server) { s.tracker.Configure(server) }

// Store returns the store behind the stand-in, for tests in process.
func (s *Server) Store() *store.Memory { return s.store }

// Run ends lapsed leases until ctx ends, so that watches see them.
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
	s.change()
	s.outage, s.change = context.WithCancel(context.Background())
	return nil
}

// Faults returns the faults in force; LoseAnswers is what remains.
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

// count records a received call.
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

func (s *Server) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, store.ErrUncertain) {
		s.records.AnswersLost++
	}
	if errors.Is(err, store.ErrUnavailable) {
		s.records.Unavailable++
	}
}

func (s *Server) outageContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// kind is a kind of call as the service's rate limits count it.
type kind int

const (
	read kind = iota
	write
	watch
	leaseCall
)

func (k kind) field(c *Counts) *uint64 {
	return [...]*uint64{&c.Reads, &c.Writes, &c.Watches, &c.Leases}[k]
}

// add counts one call in c and raises peak to it.
func (k kind) add(c, peak *Counts) {
	n := k.field(c)
	*n++
	if peak != nil {
		*k.field(peak) = max(*k.field(peak), *n)
	}
}

// reply answers a call: an error with its code, or a lost answer as a
// connection that closes.
func (s *Server) reply(w http.ResponseWriter, reply store.Reply, err error) {
	if err != nil {
		s.failed(err)
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
