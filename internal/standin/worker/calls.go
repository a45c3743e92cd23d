package worker

import (
	"context"
	"fmt"
	"sort"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// advance updates the attempts to the present time. It ends those that have
// completed or whose lease has expired, each at the time at which that happened.
func (s *Server) advance() {
	if s.closed {
		return
	}
	now := s.elapsed()
	for {
		t, at, lapse := s.vm.nextEnd()
		if t == nil || at > now {
			break
		}
		s.vm.progressTo(at)
		if lapse {
			s.tombstone(t.spec.Task, t.spec.Token)
			s.end(t, at, api.Lapsed, EventLapse, "the lease ended")
			continue
		}
		t.progress = t.totalWork()
		s.end(t, at, api.Done, EventEnd, "")
	}
	s.vm.progressTo(now)
	s.vm.dropEnded(now - s.options.KeepEnded)
}

// schedule records usage samples and sets the timer to the next end of an attempt.
// It must be called after every change of the attempts.
func (s *Server) schedule() {
	s.vm.recordSamples(s.usageLag())
	if _, at, _ := s.vm.nextEnd(); !s.closed && at > 0 {
		s.timer.Reset(max(at-s.elapsed(), 0))
	}
}

// onTimer ends the attempts that are due.
func (s *Server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.schedule()
}

// end ends an attempt at the given time and records the event.
func (s *Server) end(t *attempt, at time.Duration, state api.State, kind EventKind, reason string) {
	t.state, t.endedAt, t.reason = state, at, reason
	s.record(at, t, kind)
}

// tombstone makes later calls of Run with this token or a lower one of the task
// fail as stale.
func (s *Server) tombstone(id structs.TaskID, token structs.Token) {
	if s.vm.tombstones[id].Less(token) {
		s.vm.tombstones[id] = token
	}
	if s.vm.highestToken[id].Less(token) {
		s.vm.highestToken[id] = token
	}
}

// Run implements worker.Client.
func (s *Server) Run(_ context.Context, spec api.Spec, lease time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	defer s.schedule()
	id := spec.Task
	if spec.Token.Less(s.vm.highestToken[id]) || s.isTombstoned(id, spec.Token) {
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
		s.end(old, s.vm.advancedTo, api.Stopped, EventStop, "superseded by a higher token")
	}
	t := &attempt{spec: spec, state: api.Running, share: 1, progress: progress, leaseEnd: s.vm.advancedTo + min(lease, maxLease), checkpoint: spec.Checkpoint}
	return s.start(t)
}

func (s *Server) isTombstoned(id structs.TaskID, token structs.Token) bool {
	highest, ok := s.vm.tombstones[id]
	return ok && !highest.Less(token)
}

// start admits an attempt if it fits into the capacity or AdmitOverCapacity is set.
func (s *Server) start(t *attempt) error {
	// Comparing the attempt alone first keeps the sum from overflowing.
	if c := s.options.Capacity; !t.spec.Resources.Fits(c) || !s.vm.reserved().Add(t.spec.Resources).Fits(c) {
		s.records.OverCapacity++
		if !s.options.AdmitOverCapacity {
			s.record(s.vm.advancedTo, t, EventOverCapacity)
			return api.ErrCapacity
		}
	}
	s.vm.highestToken[t.spec.Task] = t.spec.Token
	s.vm.attempts[t.spec.Task] = t
	reserved := s.vm.reserved()
	s.records.PeakReserved = maxOf(s.records.PeakReserved, reserved)
	if !s.totalUse().Fits(s.options.Capacity) {
		s.records.OverUse++
	}
	s.record(s.vm.advancedTo, t, EventStart)
	if s.faults.FailAll {
		s.end(t, s.vm.advancedTo, api.Failed, EventEnd, "fault: every task fails")
	}
	return nil
}

// runningAttempt returns the running attempt of the task with exactly this token,
// ErrStaleToken for a lower token, or ErrNotRunning.
func (s *Server) runningAttempt(id structs.TaskID, token structs.Token) (*attempt, error) {
	if token.Less(s.vm.highestToken[id]) {
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
	t, err := s.runningAttempt(id, token)
	if err != nil {
		return err
	}
	if lease <= 0 {
		s.records.LateCalls++
		return fmt.Errorf("%w: the lease is over already", api.ErrUnavailable)
	}
	t.leaseEnd = max(t.leaseEnd, s.vm.advancedTo+min(lease, maxLease))
	return nil
}

// Checkpoint implements worker.Client.
func (s *Server) Checkpoint(_ context.Context, id structs.TaskID, token structs.Token) (api.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	t, err := s.runningAttempt(id, token)
	if err != nil {
		return api.Status{}, err
	}
	t.checkpoint = checkpointName(t.spec, t.progress)
	s.record(s.vm.advancedTo, t, EventCheckpoint)
	return t.status(), nil
}

// Throttle implements worker.Client.
func (s *Server) Throttle(_ context.Context, id structs.TaskID, token structs.Token, share float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	defer s.schedule()
	t, err := s.runningAttempt(id, token)
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
	if token.Less(s.vm.highestToken[id]) {
		s.records.StaleRefused++
		return api.Status{}, api.ErrStaleToken
	}
	s.tombstone(id, token)
	t := s.vm.attempts[id]
	if t != nil && t.state == api.Running {
		s.end(t, s.vm.advancedTo, api.Stopped, EventStop, "stopped")
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

// maxOf returns the maximum of a and b per resource.
func maxOf(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
