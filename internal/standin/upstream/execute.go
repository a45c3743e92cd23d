package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	"vanillalock.example/vanillalock/internal/standin/control"
	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/upstream"
)

// Echo is the body of an answer. It repeats the request, so that CheckEcho can
// detect the answer to another request.
type Echo struct {
	RequestID  string            `json:"request_id"`
	Template   string            `json:"template"`
	Customer   string            `json:"customer"`
	Parameters map[string]string `json:"parameters"`
	Upstream   string            `json:"upstream"`
	Padding    string            `json:"padding,omitempty"`
}

// CheckEcho returns an error if body is not the whole answer to a request with
// this id, template and customer whose parameters include those given.
func CheckEcho(body []byte, id, template, customer string, parameters map[string]string) error {
	var e Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return fmt.Errorf("upstream: truncated or malformed answer: %w", err)
	}
	if e.RequestID != id || e.Template != template || e.Customer != customer {
		return fmt.Errorf("upstream: answer of request %q, template %q, customer %q", e.RequestID, e.Template, e.Customer)
	}
	for name, value := range parameters {
		if got, ok := e.Parameters[name]; !ok || got != value {
			return fmt.Errorf("upstream: answer has parameter %s=%q instead of %q", name, got, value)
		}
	}
	if want := paddingLength(e.Parameters); len(e.Padding) != want {
		return fmt.Errorf("upstream: answer has %d bytes of padding instead of %d", len(e.Padding), want)
	}
	return nil
}

// paddingLength returns the length of the padding that the parameters ask for, at
// most maxBodyBytes.
func paddingLength(parameters map[string]string) int {
	n, err := strconv.Atoi(parameters[ParameterBodyBytes])
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxBodyBytes)
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST "+api.PathExecute, s.execute)
}

var (
	errSlots       = errors.New("more requests than slots")
	errConnections = errors.New("more connections than allowed")
)

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	if s.tracker.Silent(r) {
		control.Hang(r)
	}
	var req structs.Request
	if err := httpjson.Decode(r, api.MaxRequestBytes, &req); err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	if err := s.takeSlot(r); err != nil {
		httpjson.WriteError(w, http.StatusServiceUnavailable, "limit", err.Error())
		return
	}
	index, run, failed, lose := s.begin(req)
	disconnected := !wait(r.Context(), run)
	s.finish(index, disconnected, lose)
	if disconnected || lose {
		control.Abort()
	}
	httpjson.Write(w, http.StatusOK, api.Result{Failed: failed, Body: s.body(req)})
}

// body returns the encoded Echo of a request.
func (s *Server) body(req structs.Request) []byte {
	parameters := maps.Clone(req.Parameters)
	if parameters == nil {
		parameters = map[string]string{}
	}
	body, err := json.Marshal(Echo{
		RequestID: req.ID, Template: req.Template, Customer: req.Customer, Parameters: parameters,
		Upstream: s.options.ID, Padding: strings.Repeat("x", paddingLength(parameters)),
	})
	if err != nil {
		return nil
	}
	return body
}

// takeSlot takes a slot, or counts a violation and returns an error if the request
// exceeds the limits. If all slots are taken it waits up to disconnectGrace for
// the slot of a disconnected caller: a correct caller may reuse its slot before
// the executor has noticed the closed connection.
func (s *Server) takeSlot(r *http.Request) error {
	if s.tracker.OverLimit(r) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.records.ConnectionViolations++
		return errConnections
	}
	grace := time.NewTimer(disconnectGrace)
	defer grace.Stop()
	for {
		s.mu.Lock()
		if s.busy < s.options.Slots {
			s.busy++
			s.records.PeakSlots = max(s.records.PeakSlots, s.busy)
			s.mu.Unlock()
			return nil
		}
		released := s.released
		s.mu.Unlock()
		select {
		case <-released:
		case <-grace.C:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.records.SlotViolations++
			return errSlots
		}
	}
}

// begin records the start of an execution. It returns the index of the record,
// or -1 if the records are full, the run time, and whether the request fails or
// its answer is lost.
func (s *Server) begin(req structs.Request) (index int, run time.Duration, failed, lose bool) {
	run = s.runTime(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed = s.faults.FailAll
	if failed {
		run = 0
	} else if s.isStraggler(req.ID) {
		s.records.Stragglers++
		run = time.Duration(float64(run) * s.options.StragglerFactor)
	}
	if s.faults.SlowFactor > 0 {
		run = time.Duration(float64(run) * s.faults.SlowFactor)
	}
	if lose = s.faults.LoseAnswers > 0; lose {
		s.faults.LoseAnswers--
	}
	if req.IdempotencyKey != "" {
		s.records.ByKey[req.IdempotencyKey]++
	}
	if len(s.records.Executions) >= maxExecutions {
		s.records.Dropped++
		return -1, run, failed, lose
	}
	s.records.Executions = append(s.records.Executions, Execution{
		Upstream: s.options.ID, RequestID: req.ID, IdempotencyKey: req.IdempotencyKey, Idempotent: req.Idempotent,
		Template: req.Template, Customer: req.Customer, StartUnixNs: s.now(), Failed: failed,
	})
	return len(s.records.Executions) - 1, run, failed, lose
}

// runTime returns the run time that the request or its template asks for, before
// stragglers and faults.
func (s *Server) runTime(req structs.Request) time.Duration {
	ms, err := strconv.ParseInt(req.Parameters[ParameterRunMs], 10, 64)
	if err != nil || ms < 0 {
		var ok bool
		if ms, ok = s.options.RunMs[req.Template]; !ok {
			ms = s.options.DefaultRunMs
		}
	}
	return time.Duration(min(ms, maxRunMs)) * time.Millisecond
}

// finish frees the slot and records the end of the execution with the index, if
// it has one.
func (s *Server) finish(index int, disconnected, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	if disconnected {
		close(s.released)
		s.released = make(chan struct{})
	}
	if index < 0 {
		return
	}
	e := &s.records.Executions[index]
	e.EndUnixNs, e.Disconnected, e.AnswerLost = s.now(), disconnected, lose
}

// wait waits for the run time. It returns false early if the caller disconnects.
func wait(ctx context.Context, run time.Duration) bool {
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
