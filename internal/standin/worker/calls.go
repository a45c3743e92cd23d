package worker

import (
	"context"
	"fmt"
	"sort"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// advance brings the attempts up to now and ends those that completed or
// whose lease is over, each at its own time.
func (s *Server) advance() {
	if s.closed {
		return
	}
	now := s.elapsed()
	for {
		t, at, lapse := s.vm.next()
		if t == nil || at > now {
			break
		}
		s.vm.progressTo(at)
		if lapse {
			s.refuse(t.spec.Task, t.spec.Token)
			s.end(t, at, api.Lapsed, EventLapse, "the lease ended")
			continue
		}
		t.progress = t.work()
		s.end(t, at, api.Done, EventEnd, "")
	}
	s.vm.progressTo(now)
	s.vm.forget(now - s.options.KeepEnded)
}

// schedule sets the timer to the next end of an attempt. It follows every
// change of the attempts.
func (s *Server) schedule() {
	s.vm.remember(s.lag())
	if _, at, _ := s.vm.next(); !s.closed && at > 0 {
		s.timer.Reset(max(at-s.elapsed(), 0))
	}
}

func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.schedule()
}

func (s *Server) end(t *attempt, at time.Duration, state api.State, kind EventKind, reason string) {
	t.state, t.ended, t.reason = state, at, reason
	s.record(at, t, kind)
}

// refuse tombstones the token and all lower ones of the task.
func (s *Server) refuse(id structs.TaskID, token structs.Token) {
	if s.vm.refused[id].Less(token) {
		s.vm.refused[id] = token
	}
	if s.vm.seen[id].Less(token) {
		s.vm.seen[id] = token
	}
}

// Run implements worker.Client.
func (s *Server) Run(_ context.Context, spec api.Spec, lease time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	defer s.schedule()
	id := spec.Task
	if spec.Token.Less(s.vm.seen[id]) || s.tombstoned(id, spec.Token) {
		s.records.StaleRefused++
		return api.ErrStaleToken
	}
	progress, ok := checkpointProgress(spec.Checkpoint)
	if !ok || spec.Resources.Negative() || spec.DurationMs < 0 || spec.DurationMs > maxWorkMs {
		return fmt.Errorf("%w: unknown checkpoint %q, or amounts out of range", api.ErrUnavailable, spec.Checkpoint)
	}
	old := s.vm.attempts[id]
	if old != nil && old.spec.Token == spec.Token {
		s.records.RepeatedRuns++
		return nil
	}
	if lease <= 0 {
		s.records.LateCalls++
		return fmt.Errorf("%w: the lease is over already", api.ErrUnavailable)
	}
	if old != nil && old.state == api.Running {
		s.end(old, s.vm.at, api.Stopped, EventStop, "superseded by a higher token")
	}
	t := &attempt{spec: spec, state: api.Running, share: 1, progress: progress, lease: s.vm.at + min(lease, maxLease), checkpoint: spec.Checkpoint}
	return s.start(t)
}

func (s *Server) tombstoned(id structs.TaskID, token structs.Token) bool {
	refused, ok := s.vm.refused[id]
	return ok && !refused.Less(token)
}

func (s *Server) start(t *attempt) error {
	// The first comparison keeps the sum from overflowing.
	if c := s.options.Capacity; !t.spec.Resources.Fits(c) || !s.vm.reserved().Add(t.spec.Resources).Fits(c) {
		s.records.OverCapacity++
		if !s.options.AdmitOverCapacity {
			s.record(s.vm.at, t, EventOverCapacity)
			return api.ErrCapacity
		}
	}
	s.vm.seen[t.spec.Task] = t.spec.Token
	s.vm.attempts[t.spec.Task] = t
	reserved := s.vm.reserved()
	s.records.PeakReserved = maxOf(s.records.PeakReserved, reserved)
	if !s.used().Fits(s.options.Capacity) {
		s.records.OverUse++
	}
	s.record(s.vm.at, t, EventStart)
	if s.faults.FailAll {
		s.end(t, s.vm.at, api.Failed, EventEnd, "fault: every task fails")
	}
	return nil
}

// current returns the running attempt with exactly this token.
func (s *Server) current(id structs.TaskID, token structs.Token) (*attempt, error) {
	if token.Less(s.vm.seen[id]) {
		s.records.StaleRefused++
		return nil, api.ErrStaleToken
	}
	t := s.vm.attempts[id]
	if t == nil || t.spec.Token != token || t.state != api.Running {
		return nil, api.ErrNotRunning
	}
	return t, nil
}

// Renew implements worker.Client.
func (s *Server) Renew(_ context.Context, id structs.TaskID, token structs.Token, lease time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	defer s.schedule()
	t, err := s.current(id, token)
	if err != nil {
		return err
	}
	if lease <= 0 {
		s.records.LateCalls++
		return fmt.Errorf("%w: the lease is over already", api.ErrUnavailable)
	}
	t.lease = max(t.lease, s.vm.at+min(lease, maxLease))
	return nil
}

// Checkpoint implements worker.Client.
func (s *Server) Checkpoint(_ context.Context, id structs.TaskID, token structs.Token) (api.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	t, err := s.current(id, token)
	if err != nil {
		return api.Status{}, err
	}
	t.checkpoint = checkpointName(t.spec, t.progress)
	s.record(s.vm.at, t, EventCheckpoint)
	return t.status(), nil
}

// Throttle implements worker.Client.
func (s *Server) Throttle(_ context.Context, id structs.TaskID, token structs.Token, share float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	defer s.schedule()
	t, err := s.current(id, token)
	if err != nil {
		return err
	}
	if !(share > 0 && share <= 1) {
		return fmt.Errorf("%w: share %v is not in (0, 1]", api.ErrUnavailable, share)
	}
	t.share = share
	return nil
}

// Stop implements worker.Client.
func (s *Server) Stop(_ context.Context, id structs.TaskID, token structs.Token) (api.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	defer s.schedule()
	if token.Less(s.vm.seen[id]) {
		s.records.StaleRefused++
		return api.Status{}, api.ErrStaleToken
	}
	s.refuse(id, token)
	t := s.vm.attempts[id]
	if t != nil && t.state == api.Running {
		s.end(t, s.vm.at, api.Stopped, EventStop, "stopped")
	}
	if t == nil || t.spec.Token != token {
		return api.Status{Spec: api.Spec{Task: id, Token: token}, State: api.Stopped}, nil
	}
	return t.status(), nil
}

// List implements worker.Client.
func (s *Server) List(context.Context) ([]api.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	out := make([]api.Status, 0, len(s.vm.attempts))
	for _, t := range s.vm.attempts {
		out = append(out, t.status())
	}
	sort.Slice(out, func(i, j int) bool { return lessTask(out[i].Spec.Task, out[j].Spec.Task) })
	return out, nil
}

func (t *attempt) status() api.Status {
	return api.Status{Spec: t.spec, State: t.state, ProgressMs: t.progressMs(), Checkpoint: t.checkpoint, Reason: t.reason}
}

func maxOf(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
