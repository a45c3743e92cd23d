// Package worker implements a stand-in for a worker, a VM of the platform that runs
// tasks. It simulates the work of attempts in real time, ends attempts whose lease
// expires, injects faults and keeps records for package audit.
package worker

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/standin/control"
	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// Defaults and limits.
const (
	defaultKeepEnded = 10 * time.Minute // how long List returns an ended attempt
	maxEvents        = 200_000          // events recorded; later ones are counted as dropped
	maxWorkMs        = 1e10             // virtual work of one attempt, about four months
	maxLease         = 24 * time.Hour
)

// SlowdownTable holds, by a task's template and the template of another task on the
// same VM, the factor by which one such other task slows the first down. A
// missing pair means 1.
type SlowdownTable map[string]map[string]float64

// Options configure a Server.
type Options struct {
	ID         string
	Capacity   structs.Resources
	Slowdown   SlowdownTable
	UsageLag   time.Duration // age of the measurements returned by Usage
	UsageNoise float64       // relative: 0.05 for up to 5% either way
	// ExactUse makes actual use equal to declared use. By default it differs
	// by UseFactor.
	ExactUse bool
	// AdmitOverCapacity accepts attempts that do not fit instead of refusing them.
	// In either case they count in Records.OverCapacity.
	AdmitOverCapacity bool
	KeepEnded         time.Duration // how long List returns ended attempts; 0: 10 min
	Seed              uint64        // seed of the usage noise
}

// Faults are the faults in force. The zero value injects none. Before closing the
// HTTP server, end a pause or close the stand-in, because calls that wait for the
// end of the pause keep the server from closing.
type Faults struct {
	FailAll     bool            `json:"fail_all,omitempty"`     // every task fails at once
	Paused      bool            `json:"paused,omitempty"`       // no call is answered, tasks make no progress, leases continue; waiting calls are applied when the pause ends
	LoseAnswers int             `json:"lose_answers,omitempty"` // the next n calls are applied, the connection is closed without an answer
	UsageLagMs  int64           `json:"usage_lag_ms,omitempty"` // in addition to Options.UsageLag
	Silent      control.Silence `json:"silent,omitempty"`       // connections that receive no answer; nothing is applied
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStart        EventKind = "start"
	EventEnd          EventKind = "end"   // done or failed
	EventLapse        EventKind = "lapse" // the lease ended
	EventStop         EventKind = "stop"  // stopped while running
	EventCheckpoint   EventKind = "checkpoint"
	EventOverCapacity EventKind = "over_capacity" // an attempt that does not fit was refused
)

// Event is the record of one change of an attempt.
type Event struct {
	AtUnixNs    int64             `json:"at_unix_ns"` // wall clock at the start of the stand-in plus monotonic time since
	Worker      string            `json:"worker"`
	Kind        EventKind         `json:"kind"`
	Task        structs.TaskID    `json:"task"`
	Token       structs.Token     `json:"token"`
	Template    string            `json:"template"`
	Resources   structs.Resources `json:"resources"` // declared by the attempt
	Reserved    structs.Resources `json:"reserved"`  // by all attempts after the event
	State       api.State         `json:"state,omitempty"`
	ResumedFrom string            `json:"resumed_from,omitempty"` // checkpoint of a start
	Checkpoint  string            `json:"checkpoint,omitempty"`
	ProgressMs  int64             `json:"progress_ms"`
	Reason      string            `json:"reason,omitempty"`
}

// Records are the audit records of the stand-in.
type Records struct {
	Worker        string            `json:"worker"`
	Capacity      structs.Resources `json:"capacity"`
	Events        []Event           `json:"events"`
	Dropped       int               `json:"dropped"` // events not recorded as the limit was reached; such records are incomplete
	PeakReserved  structs.Resources `json:"peak_reserved"`
	OverCapacity  int               `json:"over_capacity"`  // assignments that did not fit, refused or admitted
	OverUse       int               `json:"over_use"`       // starts after which actual use exceeded the capacity
	StaleRefused  int               `json:"stale_refused"`  // calls refused for a stale token
	RepeatedRuns  int               `json:"repeated_runs"`  // calls of Run that repeat the token of the latest attempt
	LateCalls     int               `json:"late_calls"`     // calls of Run and Renew that arrived after the end of their lease
	AnswersLost   int               `json:"answers_lost"`   // by the fault
	CallsReceived int               `json:"calls_received"` // over HTTP
}

// Server is the stand-in. It is an http.Handler and also a worker.Client for use in
// the same process, whose calls are not subject to pauses and connection faults.
type Server struct {
	options Options
	tracker control.Tracker
	mux     *http.ServeMux

	mu      sync.Mutex
	started time.Time // wall and monotonic time of New
	vm      vm
	faults  Faults
	records Records
	resumed chan struct{} // closed while the worker is not paused
	timer   *time.Timer
	random  *rand.Rand
	closed  bool
}

var (
	_ http.Handler = (*Server)(nil)
	_ api.Client   = (*Server)(nil)
)

// New returns an idle worker. Close it after use.
func New(o Options) *Server {
	if o.KeepEnded <= 0 {
		o.KeepEnded = defaultKeepEnded
	}
	s := &Server{
		options: o, mux: http.NewServeMux(), started: time.Now(), resumed: make(chan struct{}),
		random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	close(s.resumed)
	s.vm = newVM(o.Slowdown)
	s.records = Records{Worker: o.ID, Capacity: o.Capacity}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	s.routes()
	control.Handle(s.mux, s.Faults, s.SetFaults, func() any { return s.Records() })
	return s
}

// Close stops the timer and ends a pause. Attempts neither progress nor end
// afterwards.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	if s.faults.Paused {
		s.faults.Paused = false
		close(s.resumed)
	}
}

// Configure makes server report its connections, as Faults.Silent requires for
// established connections.
func (s *Server) Configure(server *http.Server) { s.tracker.Configure(server) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. Faults.FailAll also ends the running attempts.
func (s *Server) SetFaults(f Faults) error {
	if f.LoseAnswers < 0 || f.UsageLagMs < 0 || !f.Silent.Valid() {
		return errors.New("negative count or lag, or unknown kind of silence")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if f.Paused && !s.faults.Paused {
		s.resumed = make(chan struct{})
	}
	if !f.Paused && s.faults.Paused {
		close(s.resumed)
	}
	s.faults = f
	s.vm.paused = f.Paused
	s.tracker.SetSilence(f.Silent)
	if f.FailAll {
		for _, t := range s.vm.runningTasks() {
			s.end(t, s.elapsed(), api.Failed, EventEnd, "fault: every task fails")
		}
	}
	s.schedule()
	return nil
}

// Faults returns the faults in force; LoseAnswers is the number still to lose.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Records returns a copy of the audit records up to now.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	r := s.records
	r.Events = append([]Event(nil), r.Events...)
	return r
}

// elapsed returns the monotonic time since New.
func (s *Server) elapsed() time.Duration { return time.Since(s.started) }

// record appends an event that happened at the given time since New.
func (s *Server) record(at time.Duration, t *attempt, kind EventKind) {
	if len(s.records.Events) >= maxEvents {
		s.records.Dropped++
		return
	}
	e := Event{
		AtUnixNs: s.started.Add(at).UnixNano(), Worker: s.options.ID, Kind: kind,
		Task: t.spec.Task, Token: t.spec.Token, Template: t.spec.Template, Resources: t.spec.Resources,
		Reserved: s.vm.reserved(), State: t.state, Checkpoint: t.checkpoint,
		ProgressMs: t.progressMs(), Reason: t.reason,
	}
	if kind == EventStart {
		e.ResumedFrom = t.spec.Checkpoint
	}
	s.records.Events = append(s.records.Events, e)
}
