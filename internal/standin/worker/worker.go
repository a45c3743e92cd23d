// Package worker is a stand-in for a VM of the platform that runs tasks. It
// runs attempts as virtual work in real time, enforces their leases by itself,
// injects faults and keeps records for a checker.
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
	defaultKeepEnded = 10 * time.Minute // how long List shows an ended attempt
	maxEvents        = 200_000          // records kept; later ones are counted as dropped
	maxWorkMs        = 1e10             // virtual work of one attempt, about four months
	maxLease         = 24 * time.Hour
)

// SlowdownTable holds, for a template and a template beside it on the VM, the
// factor by which one such neighbour slows the first down. A missing pair is 1.
type SlowdownTable map[string]map[string]float64

// Options configure a Server.
type Options struct {
	ID         string
	Capacity   structs.Resources
	Slowdown   SlowdownTable
	UsageLag   time.Duration // age of the measurements that Usage returns
	UsageNoise float64       // relative, e.g. 0.05 for up to 5% either way
	// ExactUse makes actual use equal to declared use. By default it differs
	// by UseFactor.
	ExactUse bool
	// AdmitOverCapacity accepts attempts that do not fit. They count as over
	// capacity either way.
	AdmitOverCapacity bool
	KeepEnded         time.Duration // 0: 10 min
	Seed              uint64        // of the noise
}

// Faults are the faults in force. The zero value injects none. End a pause, or
// Close the stand-in, before its HTTP server: the calls that wait keep the
// server from closing.
type Faults struct {
	FailAll     bool            `json:"fail_all,omitempty"`     // every task fails at once
	Paused      bool            `json:"paused,omitempty"`       // answers nothing, tasks stand still, leases continue; waiting calls are applied at the end
	LoseAnswers int             `json:"lose_answers,omitempty"` // the next n calls are applied, the connection is closed without an answer
	UsageLagMs  int64           `json:"usage_lag_ms,omitempty"` // added to Options.UsageLag
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

// Event is one record of the life of an attempt.
type Event struct {
	AtUnixNs    int64             `json:"at_unix_ns"` // start of the stand-in's wall clock plus monotonic time
	Worker      string            `json:"worker"`
	Kind        EventKind         `json:"kind"`
	Task        structs.TaskID    `json:"task"`
	Token       structs.Token     `json:"token"`
	Template    string            `json:"template"`
	Resources   structs.Resources `json:"resources"` // of the attempt
	Reserved    structs.Resources `json:"reserved"`  // of all attempts after the event
	State       api.State         `json:"state,omitempty"`
	ResumedFrom string            `json:"resumed_from,omitempty"` // of a start
	Checkpoint  string            `json:"checkpoint,omitempty"`
	ProgressMs  int64             `json:"progress_ms"`
	Reason      string            `json:"reason,omitempty"`
}

// Records are the audit records of the stand-in.
type Records struct {
	Worker        string            `json:"worker"`
	Capacity      structs.Resources `json:"capacity"`
	Events        []Event           `json:"events"`
	Dropped       int               `json:"dropped"` // events beyond the limit; a checker must refuse such records
	PeakReserved  structs.Resources `json:"peak_reserved"`
	OverCapacity  int               `json:"over_capacity"`  // assignments that did not fit, refused or admitted
	OverUse       int               `json:"over_use"`       // starts after which actual use exceeded the capacity
	StaleRefused  int               `json:"stale_refused"`  // calls refused for their token
	RepeatedRuns  int               `json:"repeated_runs"`  // runs of a token that was known already
	LateCalls     int               `json:"late_calls"`     // runs and renewals older than their lease
	AnswersLost   int               `json:"answers_lost"`   // by the fault
	CallsReceived int               `json:"calls_received"` // over HTTP
}

// Server is the stand-in. It is an http.Handler and also a worker.Client for
// use in process; calls in process see no connection faults.
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
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.routes()
	control.Handle(s.mux, s.Faults, s.SetFaults, func() any { return s.Records() })
	return s
}

// Close stops the timer and ends a pause. Attempts stand still afterwards.
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

// Configure makes server report its connections, which the fault of silent
// established connections needs.
func (s *Server) Configure(server *http.Server) { s.tracker.Configure(server) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
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

// Faults returns the faults in force; LoseAnswers is what remains.
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

// elapsed is the monotonic time since New.
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
