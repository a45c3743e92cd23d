package jobs

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/worker"
)

// EventKind says what happened to a task.
type EventKind uint8

// Event kinds. The token of Place, CannotRun and EvictRequest is the attempt on
// which the decision was based; that of all others comes from the agent.
const (
	// Place: the scheduler proposes Worker for the next attempt.
	Place EventKind = iota + 1
	// StartAcked: the agent has started the attempt.
	StartAcked
	// StartRefused: the agent refused the attempt and will never start it.
	StartRefused
	// Progress: the agent reports a completed checkpoint; the attempt goes on.
	Progress
	// EvictRequest: give the room of the attempt away after a checkpoint.
	EvictRequest
	// CheckpointAcked: the checkpoint is saved and the attempt has stopped.
	CheckpointAcked
	// CheckpointFailed: no checkpoint was possible; the attempt goes on.
	CheckpointFailed
	// Ended: the attempt ended by itself, by a stop or by its lease (End).
	Ended
	// Gone: it is proven that the attempt does not run and never will.
	Gone
	// Adopt: the agent reports that the attempt runs.
	Adopt
	// CannotRun: no VM can ever hold the task.
	CannotRun
)

// Event is one thing that happened to a task.
type Event struct {
	Kind        EventKind
	Task        structs.TaskID
	Token       structs.Token
	Worker      string
	Incarnation uint64
	Epoch       uint64 // Place: member list epoch, needed to prove the end of the attempt
	Checkpoint  string
	ProgressMs  int64
	End         worker.State // Ended: Done, Failed, Stopped or Lapsed
	Reason      string
	// WorkerFault: the failure is the worker's (it is quarantined) and does not
	// count against the task's attempts.
	WorkerFault bool
	// Ref, if not 0, is acknowledged to Worker when the effect of the event is
	// durable, also when the event changes nothing.
	Ref uint64
}

// from lists the states in which each event has an effect.
var from = map[EventKind][]structs.TaskState{
	Place:            {structs.TaskQueued},
	CannotRun:        {structs.TaskQueued},
	StartAcked:       {structs.TaskPlaced},
	StartRefused:     {structs.TaskPlaced},
	Adopt:            {structs.TaskPlaced},
	Progress:         {structs.TaskPlaced, structs.TaskRunning, structs.TaskCheckpointing},
	EvictRequest:     {structs.TaskRunning},
	CheckpointAcked:  {structs.TaskCheckpointing},
	CheckpointFailed: {structs.TaskCheckpointing},
	Ended:            {structs.TaskPlaced, structs.TaskRunning, structs.TaskCheckpointing},
	Gone:             {structs.TaskPlaced, structs.TaskRunning, structs.TaskCheckpointing},
}

// Apply applies an event and reports whether it changed the task.
func (s *Shard) Apply(ev Event, now time.Time) bool {
	if ev.Ref != 0 {
		defer func() {
			s.actions = append(s.actions, Action{Kind: Ack, Task: ev.Task, Token: ev.Token, Worker: ev.Worker, Ref: ev.Ref})
		}()
	}
	if ev.Token.Generation > s.generation {
		return false // a newer owner exists; this one learns it from its log
	}
	t := s.task(ev.Task)
	if ev.Kind == Adopt && (t == nil || !active(t.State) || !s.current(ev, t)) {
		s.stopStray(ev)
		return false
	}
	if t == nil || !s.current(ev, t) || !slices.Contains(from[ev.Kind], t.State) {
		return false
	}
	return s.transition(ev, t, now)
}

// current is the fence: the event belongs to the present attempt.
func (s *Shard) current(ev Event, t *task) bool {
	return ev.Token.Attempt == t.Attempt && ev.Token.Generation >= t.Generation
}

// stopStray stops an attempt that the state does not know as active.
func (s *Shard) stopStray(ev Event) {
	s.actions = append(s.actions, Action{Kind: Stop, Task: ev.Task, Worker: ev.Worker, Reason: "superseded",
		Token: structs.Token{Generation: s.generation, Attempt: ev.Token.Attempt}})
}

func (s *Shard) transition(ev Event, t *task, now time.Time) bool {
	switch ev.Kind {
	case Place:
		s.place(ev, t)
	case CannotRun:
		s.finish(ev.Task, t, structs.TaskCannotRun, ev.Reason, now)
	case StartAcked, Adopt:
		s.set(ev.Task, t, structs.TaskRunning, "")
	case StartRefused:
		s.free(ev.Task, t)
		s.requeue(ev.Task, t, ev.Reason, now)
	case Progress:
		return s.progress(ev, t)
	case EvictRequest:
		s.set(ev.Task, t, structs.TaskCheckpointing, ev.Reason)
		s.emit(CheckpointStop, ev.Task, t)
	case CheckpointAcked:
		s.evicted(ev, t, now)
	case CheckpointFailed:
		s.set(ev.Task, t, structs.TaskRunning, ev.Reason)
	case Ended:
		s.ended(ev, t, now)
	case Gone:
		s.free(ev.Task, t)
		s.requeue(ev.Task, t, ev.Reason, now)
	}
	return true
}

func (s *Shard) place(ev Event, t *task) {
	t.Attempt++
	t.started = false
	t.Generation = s.generation
	t.Worker, t.Incarnation, t.Epoch = ev.Worker, ev.Incarnation, ev.Epoch
	s.set(ev.Task, t, structs.TaskPlaced, "")
	s.emit(Start, ev.Task, t)
}

// progress records a newer checkpoint. An older or equal one changes nothing,
// so reports may arrive out of order.
func (s *Shard) progress(ev Event, t *task) bool {
	if !s.save(ev, t) {
		return false
	}
	s.touch(ev.Task, t)
	return true
}

func (s *Shard) save(ev Event, t *task) bool {
	if ev.Checkpoint == "" || ev.ProgressMs <= t.ProgressMs {
		return false
	}
	t.Checkpoint, t.ProgressMs = ev.Checkpoint, ev.ProgressMs
	return true
}

func (s *Shard) evicted(ev Event, t *task, now time.Time) {
	s.save(ev, t)
	s.free(ev.Task, t)
	if s.jobs[ev.Task.Job].cancelled {
		s.finish(ev.Task, t, structs.TaskCancelled, "cancelled", now)
		return
	}
	t.Evictions++
	s.set(ev.Task, t, structs.TaskEvicted, t.Reason)
}

func (s *Shard) ended(ev Event, t *task, now time.Time) {
	j := s.jobs[ev.Task.Job]
	s.save(ev, t)
	switch {
	case ev.End == worker.Done && !j.spec.LongRunning:
		s.free(ev.Task, t)
		s.finish(ev.Task, t, structs.TaskDone, "", now)
	case ev.End == worker.Failed:
		s.free(ev.Task, t)
		if !ev.WorkerFault {
			t.Failures++
		}
		if !j.cancelled && !j.spec.LongRunning && t.Failures >= max(1, j.spec.MaxAttempts) {
			s.finish(ev.Task, t, structs.TaskFailed, ev.Reason, now)
			return
		}
		s.requeue(ev.Task, t, ev.Reason, now)
	case ev.End == worker.Stopped && t.State == structs.TaskCheckpointing:
		s.evicted(ev, t, now)
	default:
		s.free(ev.Task, t)
		s.requeue(ev.Task, t, ev.Reason, now)
	}
}

// requeue makes the task wait for its next attempt, which resumes from the last
// checkpoint.
func (s *Shard) requeue(id structs.TaskID, t *task, reason string, now time.Time) {
	if s.jobs[id.Job].cancelled {
		s.finish(id, t, structs.TaskCancelled, "cancelled", now)
		return
	}
	s.set(id, t, structs.TaskQueued, reason)
	s.emit(Queued, id, t)
}

func (s *Shard) finish(id structs.TaskID, t *task, st structs.TaskState, reason string, now time.Time) {
	t.endedMs = now.UnixMilli()
	s.set(id, t, st, reason)
	s.emit(Finished, id, t)
	s.closeTask(id.Job, t.endedMs)
}

func (s *Shard) closeTask(jobID string, ms int64) {
	j := s.jobs[jobID]
	j.open--
	j.finishedMs = max(j.finishedMs, ms)
	if j.open == 0 {
		s.finished = append(s.finished, finishedJob{jobID, j.finishedMs})
	}
}

// Cancel cancels a job: waiting tasks at once, active attempts are stopped and
// become cancelled when they have ended.
func (s *Shard) Cancel(jobID string, now time.Time) error {
	j, ok := s.jobs[jobID]
	if !ok {
		return ErrUnknownJob
	}
	if j.cancelled || j.open == 0 {
		return nil
	}
	j.cancelled = true
	s.cancels = append(s.cancels, jobID)
	for i := range j.tasks {
		t, id := &j.tasks[i], structs.TaskID{Job: jobID, Index: i}
		switch {
		case active(t.State):
			s.emitStop(id, t)
		case !t.State.Final():
			s.emit(Unqueued, id, t)
			s.finish(id, t, structs.TaskCancelled, "cancelled", now)
		}
	}
	return nil
}

func (s *Shard) emitStop(id structs.TaskID, t *task) {
	s.actions = append(s.actions, Action{Kind: Stop, Task: id, Worker: t.Worker, Reason: "cancelled",
		Token: structs.Token{Generation: s.generation, Attempt: t.Attempt}})
}

func (s *Shard) free(id structs.TaskID, t *task) { s.emit(Freed, id, t) }

func (s *Shard) set(id structs.TaskID, t *task, st structs.TaskState, reason string) {
	s.counts[t.State]--
	s.counts[st]++
	t.State, t.Reason = st, reason
	s.touch(id, t)
}

func (s *Shard) touch(id structs.TaskID, t *task) {
	if !t.dirty {
		t.dirty = true
		s.dirtyTasks = append(s.dirtyTasks, id)
	}
}

func (s *Shard) emit(kind ActionKind, id structs.TaskID, t *task) {
	a := Action{Kind: kind, Task: id, Token: tokenOf(t), Worker: t.Worker, State: t.State, Reason: t.Reason}
	if kind == Start {
		a.Checkpoint, a.ProgressMs = t.Checkpoint, t.ProgressMs
	}
	s.actions = append(s.actions, a)
}
