// Package upstream implements a stand-in for an upstream's executor. It occupies
// a slot for the run time of each request, counts violations of its limits,
// injects faults and keeps records for package audit.
package upstream

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillalock.example/vanillalock/internal/standin/control"
)

// Defaults and limits.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultRunMs       = 10
	maxRunMs           = 3_600_000
	maxBodyBytes       = 512 << 10 // of the padding that a request asks for
	maxExecutions      = 500_000   // records kept; later ones are counted as dropped
	// disconnectGrace is how long a request waits for a slot when all are taken,
	// so that the executor can notice a disconnected caller of a running request.
	disconnectGrace = 20 * time.Millisecond
)

// Parameters of a request that control the stand-in.
const (
	ParameterRunMs     = "run_ms"     // run time in milliseconds
	ParameterBodyBytes = "body_bytes" // length of the padding in the answer
)

// Options configure a Server. Zero fields take the defaults.
type Options struct {
	ID              string
	Slots           int              // 8
	Connections     int              // 64; needs Configure
	RunMs           map[string]int64 // run time by template
	DefaultRunMs    int64            // of other templates; 10
	StragglerShare  float64          // probability that a request is a straggler
	StragglerFactor float64          // run time of a straggler relative to others
	Seed            uint64           // of the choice of stragglers
}

// Faults are the faults in force. The zero value injects none.
type Faults struct {
	FailAll     bool            `json:"fail_all,omitempty"`     // every request is answered as failed at once
	SlowFactor  float64         `json:"slow_factor,omitempty"`  // multiplies run times; 0: 1
	LoseAnswers int             `json:"lose_answers,omitempty"` // the next n requests run, the connection is closed without an answer
	Silent      control.Silence `json:"silent,omitempty"`       // connections that receive no answer; nothing runs
}

// Execution is the record of one request that started. Times are the wall clock
// at the start of the stand-in plus monotonic time since; EndUnixNs is 0 while
// the request runs.
type Execution struct {
	Upstream       string `json:"upstream"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Idempotent     bool   `json:"idempotent"`
	Template       string `json:"template"`
	Customer       string `json:"customer"`
	StartUnixNs    int64  `json:"start_unix_ns"`
	EndUnixNs      int64  `json:"end_unix_ns"`
	Failed         bool   `json:"failed,omitempty"`
	Disconnected   bool   `json:"disconnected,omitempty"` // the caller closed the connection, which ended the run early
	AnswerLost     bool   `json:"answer_lost,omitempty"`
}

// Records are the audit records of the stand-in.
type Records struct {
	Upstream             string         `json:"upstream"`
	Executions           []Execution    `json:"executions"`
	Dropped              int            `json:"dropped"` // executions not recorded as the limit was reached; such records are incomplete
	ByKey                map[string]int `json:"by_key"`  // executions by idempotency key
	SlotViolations       int            `json:"slot_violations"`
	ConnectionViolations int            `json:"connection_violations"`
	PeakSlots            int            `json:"peak_slots"`
	PeakConnections      int            `json:"peak_connections"`
	Stragglers           int            `json:"stragglers"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	options Options
	tracker control.Tracker
	mux     *http.ServeMux
	started time.Time

	mu       sync.Mutex
	faults   Faults
	records  Records
	busy     int
	released chan struct{} // closed when a disconnected request frees its slot
}

var _ http.Handler = (*Server)(nil)

// New returns an idle executor.
func New(o Options) *Server {
	o = withDefaults(o)
	s := &Server{options: o, mux: http.NewServeMux(), started: time.Now(), released: make(chan struct{})}
	s.tracker.Limit = o.Connections
	s.records = Records{Upstream: o.ID, ByKey: map[string]int{}}
	s.routes()
	control.Handle(s.mux, s.Faults, s.SetFaults, func() any { return s.Records() })
	return s
}

func withDefaults(o Options) Options {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.DefaultRunMs <= 0 {
		o.DefaultRunMs = defaultRunMs
	}
	if o.StragglerFactor < 1 {
		o.StragglerFactor = 1
	}
	return o
}

// Configure makes server report its connections, as the connection limit and
// Faults.Silent for established connections require. Connections to the faults
// and records endpoints count too.
func (s *Server) Configure(server *http.Server) { s.tracker.Configure(server) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. Running requests keep their run time.
func (s *Server) SetFaults(f Faults) error {
	if f.SlowFactor < 0 || f.LoseAnswers < 0 || !f.Silent.Valid() {
		return errors.New("negative factor or count, or unknown kind of silence")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.tracker.SetSilence(f.Silent)
	return nil
}

// Faults returns the faults in force; LoseAnswers is the number still to lose.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Records returns a copy of the audit records.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records
	r.Executions = append([]Execution(nil), r.Executions...)
	r.ByKey = make(map[string]int, len(s.records.ByKey))
	for key, n := range s.records.ByKey {
		r.ByKey[key] = n
	}
	r.PeakConnections = s.tracker.Peak()
	return r
}

// isStraggler reports whether a request is a straggler. It depends on the seed, the
// upstream and the request id alone, not on the order of arrival.
func (s *Server) isStraggler(requestID string) bool {
	source := rand.New(rand.NewPCG(s.options.Seed, xxhash.Sum64String(s.options.ID+"\x00"+requestID)))
	return source.Float64() < s.options.StragglerShare
}

// now returns the time for records in Unix nanoseconds. It advances with the
// monotonic clock.
func (s *Server) now() int64 { return s.started.Add(time.Since(s.started)).UnixNano() }
