package jobs

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/worker"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds. The token of Place, CannotRun and EvictRequest names the attempt that
// was current when the decision was made. The token of all others names the attempt
// that the event is about.
const (
	// Place: the scheduler proposes Worker for the next attempt.
	Place EventKind = iota + 1
	// StartAcked: the agent has started the attempt.
	StartAcked
	// StartRefused: the agent refused the attempt and will never start it.
	StartRefused
	// Progress: the agent reports a completed checkpoint; the attempt goes on.
	Progress
	// EvictRequest: checkpoint and stop the attempt to free its capacity.
	EvictRequest
	// CheckpointAcked: the requested checkpoint is saved and the attempt has
	// stopped.
	CheckpointAcked
	// CheckpointFailed: no checkpoint was possible; the attempt goes on.
	CheckpointFailed
	// Ended: the attempt ended by itself, was stopped, or was ended because its permit
	// or its lease on the worker expired; End says which.
	Ended
	// Gone: the attempt is proven not to run now or later.
	Gone
	// Adopt: the agent reports that the attempt runs. If it is not the task's
	// active attempt, the agent is told to stop it.
	Adopt
	// CannotRun: no VM can ever run the task.
	CannotRun
)

// Event is an input to the state machine about one task.
type Event struct {
	Kind        EventKind
	Task        structs.TaskID
	Token       structs.Token
	Worker      string
	Incarnation uint64
	Epoch       uint64 // Place: epoch of the member list, used to prove the end of the attempt
	Checkpoint  string
	ProgressMs  int64
	End         worker.State // Ended: Done, Failed, Stopped or Lapsed
	Reason      string
	// WorkerFault means that the attempt failed because of the worker, which is
	// quarantined. The failure does not count towards MaxAttempts.
	WorkerFault bool
	// Ref, if not 0, is the agent's number of the event. It is acknowledged to
	// Worker when the effect of the event is durable, and also if the event
	// changes nothing.
	Ref uint64
}

// validStates lists, by event kind, the task states in which the event has an
// effect.
var validStates = map[EventKind][]structs.TaskState{
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
		return false // a newer owner exists; this one learns it when its next log write fails
	}
	t := s.task(ev.Task)
	if ev.Kind == Adopt && (t == nil || !active(t.State) || !s.isCurrent(ev, t)) {
		s.stopUnknownAttempt(ev)
		return false
	}
	if t == nil || !s.isCurrent(ev, t) || !slices.Contains(validStates[ev.Kind], t.State) {
		return false
	}
	return s.transition(ev, t, now)
}

// isCurrent reports whether the event is about the current attempt of the task. It
// rejects events of other attempts and of earlier generations.
func (s *Shard) isCurrent(ev Event, t *task) bool {
	return ev.Token.Attempt == t.Attempt && ev.Token.Generation >= t.Generation
}

// stopUnknownAttempt stops a reported attempt that is not active in the state.
func (s *Shard) stopUnknownAttempt(ev Event) {
	s.actions = append(s.actions, Action{Kind: Stop, Task: ev.Task, Worker: ev.Worker, Reason: "superseded",
		Token: structs.Token{Generation: s.generation, Attempt: ev.Token.Attempt}})
}

// transition applies an event that is valid in the state of the task. It reports
// whether the task changed.
func (s *Shard) transition(ev Event, t *task, now time.Time) bool {
	switch ev.Kind {
	case Place:
		s.placeAttempt(ev, t)
	case CannotRun:
		s.finish(ev.Task, t, structs.TaskCannotRun, ev.Reason, now)
	case StartAcked, Adopt:
		s.setState(ev.Task, t, structs.TaskRunning, "")
	case StartRefused:
		s.emitFreed(ev.Task, t)
		s.requeue(ev.Task, t, ev.Reason, now)
	case Progress:
		return s.recordProgress(ev, t)
	case EvictRequest:
		s.setState(ev.Task, t, structs.TaskCheckpointing, ev.Reason)
		s.emit(CheckpointStop, ev.Task, t)
	case CheckpointAcked:
		s.completeEviction(ev, t, now)
	case CheckpointFailed:
		s.setState(ev.Task, t, structs.TaskRunning, ev.Reason)
	case Ended:
		s.endAttempt(ev, t, now)
	case Gone:
		s.emitFreed(ev.Task, t)
		s.requeue(ev.Task, t, ev.Reason, now)
	}
	return true
}

// placeAttempt places the next attempt of the task on a worker.
func (s *Shard) placeAttempt(ev Event, t *task) {
	t.Attempt++
	t.startReleased = false
	t.Generation = s.generation
	t.Worker, t.Incarnation, t.Epoch = ev.Worker, ev.Incarnation, ev.Epoch
	s.setState(ev.Task, t, structs.TaskPlaced, "")
	s.emit(Start, ev.Task, t)
}

// recordProgress records a newer checkpoint. An older or equal one is ignored, so
// reports may arrive in any order.
func (s *Shard) recordProgress(ev Event, t *task) bool {
	if !s.saveCheckpoint(ev, t) {
		return false
	}
	s.markDirty(ev.Task, t)
	return true
}

// saveCheckpoint stores the event's checkpoint if it holds more progress than the
// stored one, and reports whether it did.
func (s *Shard) saveCheckpoint(ev Event, t *task) bool {
	if ev.Checkpoint == "" || ev.ProgressMs <= t.ProgressMs {
		return false
	}
	t.Checkpoint, t.ProgressMs = ev.Checkpoint, ev.ProgressMs
	return true
}

// completeEviction ends an attempt that was checkpointed and stopped. The task is
// queued again when the checkpoint is durable; see Release.
func (s *Shard) completeEviction(ev Event, t *task, now time.Time) {
	s.saveCheckpoint(ev, t)
	s.emitFreed(ev.Task, t)
	if s.jobs[ev.Task.Job].cancelled {
		s.finish(ev.Task, t, structs.TaskCancelled, "cancelled", now)
		return
	}
	t.Evictions++
	s.setState(ev.Task, t, structs.TaskEvicted, t.Reason)
}

// endAttempt applies an Ended event: the task finishes or waits for its next
// attempt.
func (s *Shard) endAttempt(ev Event, t *task, now time.Time) {
	j := s.jobs[ev.Task.Job]
	s.saveCheckpoint(ev, t)
	switch {
	case ev.End == worker.Done && !j.spec.LongRunning:
		s.emitFreed(ev.Task, t)
		s.finish(ev.Task, t, structs.TaskDone, "", now)
	case ev.End == worker.Failed:
		s.emitFreed(ev.Task, t)
		if !ev.WorkerFault {
			t.Failures++
		}
		if !j.cancelled && !j.spec.LongRunning && t.Failures >= max(1, j.spec.MaxAttempts) {
			s.finish(ev.Task, t, structs.TaskFailed, ev.Reason, now)
			return
		}
		s.requeue(ev.Task, t, ev.Reason, now)
	case ev.End == worker.Stopped && t.State == structs.TaskCheckpointing:
		s.completeEviction(ev, t, now)
	default:
		s.emitFreed(ev.Task, t)
		s.requeue(ev.Task, t, ev.Reason, now)
	}
}

// requeue queues the task for its next attempt, which resumes from the last
// checkpoint. A task of a cancelled job becomes cancelled instead.
func (s *Shard) requeue(id structs.TaskID, t *task, reason string, now time.Time) {
	if s.jobs[id.Job].cancelled {
		s.finish(id, t, structs.TaskCancelled, "cancelled", now)
		return
	}
	s.setState(id, t, structs.TaskQueued, reason)
	s.emit(Queued, id, t)
}

// finish puts the task into a final state.
func (s *Shard) finish(id structs.TaskID, t *task, st structs.TaskState, reason string, now time.Time) {
	t.endedMs = now.UnixMilli()
	s.setState(id, t, st, reason)
	s.emit(Finished, id, t)
	s.countFinished(id.Job, t.endedMs)
}

// countFinished counts a task that became final at ms. The job is finished with
// its last task.
func (s *Shard) countFinished(jobID string, ms int64) {
	j := s.jobs[jobID]
	j.unfinished--
	j.finishedMs = max(j.finishedMs, ms)
	if j.unfinished == 0 {
		s.finishedJobs = append(s.finishedJobs, finishedJob{jobID, j.finishedMs})
	}
}

// Cancel cancels a job. Waiting tasks become cancelled at once. Active attempts
// are stopped, and their tasks become cancelled when the attempts have ended.
func (s *Shard) Cancel(jobID string, now time.Time) error {
	j, ok := s.jobs[jobID]
	if !ok {
		return ErrUnknownJob
	}
	if j.cancelled || j.unfinished == 0 {
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
			s.emit(Withdrawn, id, t)
			s.finish(id, t, structs.TaskCancelled, "cancelled", now)
		}
	}
	return nil
}

func (s *Shard) emitStop(id structs.TaskID, t *task) {
	s.actions = append(s.actions, Action{Kind: Stop, Task: id, Worker: t.Worker, Reason: "cancelled",
		Token: structs.Token{Generation: s.generation, Attempt: t.Attempt}})
}

func (s *Shard) emitFreed(id structs.TaskID, t *task) { s.emit(Freed, id, t) }

func (s *Shard) setState(id structs.TaskID, t *task, st structs.TaskState, reason string) {
	s.counts[t.State]--
	s.counts[st]++
	t.State, t.Reason = st, reason
	s.markDirty(id, t)
}

// markDirty includes the task in the records of the next batch.
func (s *Shard) markDirty(id structs.TaskID, t *task) {
	if !t.dirty {
		t.dirty = true
		s.dirtyTasks = append(s.dirtyTasks, id)
	}
}

// emit adds an action with the present state of the task to the next batch.
func (s *Shard) emit(kind ActionKind, id structs.TaskID, t *task) {
	a := Action{Kind: kind, Task: id, Token: tokenOf(t), Worker: t.Worker, State: t.State, Reason: t.Reason}
	if kind == Start {
		a.Checkpoint, a.ProgressMs = t.Checkpoint, t.ProgressMs
	}
	s.actions = append(s.actions, a)
}
