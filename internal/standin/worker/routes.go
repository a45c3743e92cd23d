package worker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	"vanillalock.example/vanillalock/internal/standin/control"
	api "vanillalock.example/vanillalock/internal/worker"
)

// operation applies one call; lease is what remains of its lease on arrival.
type operation func(ctx context.Context, c api.Call, lease time.Duration) (api.Reply, error)

func (s *Server) routes() {
	s.route(api.PathRun, func(ctx context.Context, c api.Call, lease time.Duration) (api.Reply, error) {
		if c.Spec == nil {
			return api.Reply{}, errMalformed
		}
		return api.Reply{}, s.Run(ctx, *c.Spec, lease)
	})
	s.route(api.PathRenew, func(ctx context.Context, c api.Call, lease time.Duration) (api.Reply, error) {
		return api.Reply{}, s.Renew(ctx, c.Task, c.Token, lease)
	})
	s.route(api.PathCheckpoint, func(ctx context.Context, c api.Call, _ time.Duration) (api.Reply, error) {
		status, err := s.Checkpoint(ctx, c.Task, c.Token)
		return api.Reply{Status: status}, err
	})
	s.route(api.PathThrottle, func(ctx context.Context, c api.Call, _ time.Duration) (api.Reply, error) {
		return api.Reply{}, s.Throttle(ctx, c.Task, c.Token, c.Share)
	})
	s.route(api.PathStop, func(ctx context.Context, c api.Call, _ time.Duration) (api.Reply, error) {
		status, err := s.Stop(ctx, c.Task, c.Token)
		return api.Reply{Status: status}, err
	})
	s.route(api.PathList, func(ctx context.Context, _ api.Call, _ time.Duration) (api.Reply, error) {
		statuses, err := s.List(ctx)
		return api.Reply{Statuses: statuses}, err
	})
	s.route(api.PathUsage, func(ctx context.Context, _ api.Call, _ time.Duration) (api.Reply, error) {
		usage, err := s.Usage(ctx)
		return api.Reply{Usage: usage}, err
	})
}

var errMalformed = errors.New("malformed call")

// route serves one operation. A silent connection gets no answer, and its call is
// not applied; a call to a paused worker is applied after the pause.
func (s *Server) route(path string, apply operation) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if s.tracker.Silent(r) {
			control.Hang(r)
		}
		var call api.Call
		if err := httpjson.Decode(r, api.MaxCallBytes, &call); err != nil {
			httpjson.WriteError(w, http.StatusBadRequest, "malformed", err.Error())
			return
		}
		s.awaitResume()
		reply, err := apply(r.Context(), call, remaining(call, time.Now()))
		if s.countCall() {
			control.Abort()
		}
		answer(w, reply, err)
	})
}

// remaining returns the lease of a call less the age of the call. A clock that was
// set back since the call was sent does not lengthen the lease.
func remaining(c api.Call, now time.Time) time.Duration {
	lease := time.Duration(c.LeaseNs)
	if c.SentUnixNs == 0 {
		return lease
	}
	return lease - max(now.Sub(time.Unix(0, c.SentUnixNs)), 0)
}

// awaitResume blocks while the worker is paused. It does not return early when the
// caller gives up: the call is applied after the pause, as a paused process would
// apply what is left in its socket buffers.
func (s *Server) awaitResume() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	<-resumed
}

// countCall counts a call and reports whether its answer is to be lost.
func (s *Server) countCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.CallsReceived++
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	s.records.AnswersLost++
	return true
}

// answer sends the reply of a call, or its error as a status and a code.
func answer(w http.ResponseWriter, reply api.Reply, err error) {
	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, reply)
	case errors.Is(err, api.ErrStaleToken):
		httpjson.WriteError(w, http.StatusConflict, api.CodeStaleToken, "")
	case errors.Is(err, api.ErrNotRunning):
		httpjson.WriteError(w, http.StatusNotFound, api.CodeNotRunning, "")
	case errors.Is(err, api.ErrCapacity):
		httpjson.WriteError(w, http.StatusInsufficientStorage, api.CodeCapacity, "")
	default:
		httpjson.WriteError(w, http.StatusBadRequest, "refused", err.Error())
	}
}
