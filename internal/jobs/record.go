package jobs

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// record is one log record. Exactly one field is set. Records hold new values
// rather than differences, so replaying one twice has no effect.
type record struct {
	Job    *jobRecord  `json:"j,omitempty"`
	Cancel string      `json:"c,omitempty"`
	Task   *taskRecord `json:"t,omitempty"`
}

// jobRecord holds a job without its tasks.
type jobRecord struct {
	structs.Job
	Cancelled bool `json:"cancelled,omitempty"`
}

// taskRecord holds the state of one task. Its JSON keys are short because at 48
// starts/s task records make up most of the log.
type taskRecord struct {
	Job         string            `json:"j"`
	Index       int               `json:"i,omitempty"`
	State       structs.TaskState `json:"s"`
	Attempt     uint32            `json:"a,omitempty"`
	Generation  uint64            `json:"g,omitempty"`
	Worker      string            `json:"w,omitempty"`
	Incarnation uint64            `json:"n,omitempty"`
	Epoch       uint64            `json:"h,omitempty"`
	Checkpoint  string            `json:"c,omitempty"`
	ProgressMs  int64             `json:"p,omitempty"`
	Failures    int               `json:"f,omitempty"`
	Evictions   int               `json:"e,omitempty"`
	Reason      string            `json:"r,omitempty"`
	EndedMs     int64             `json:"m,omitempty"`
}

func encode(r record) []byte {
	out, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("jobs: encode record: %v", err)) // plain values only: cannot fail
	}
	return out
}

func (t *task) record(jobID string) record {
	return record{Task: &taskRecord{Job: jobID, Index: t.Index, State: t.State, Attempt: t.Attempt,
		Generation: t.Generation, Worker: t.Worker, Incarnation: t.Incarnation, Epoch: t.Epoch, Checkpoint: t.Checkpoint,
		ProgressMs: t.ProgressMs, Failures: t.Failures, Evictions: t.Evictions, Reason: t.Reason, EndedMs: t.endedMs}}
}

func (j *job) record() record {
	return record{Job: &jobRecord{Job: j.spec, Cancelled: j.cancelled}}
}

// Take returns the records and actions collected since the last call. Several
// transitions of one task become one record. needSnapshot, if not nil, is called
// with the size of the records in bytes; if it returns true, the batch carries a
// snapshot of the state after them.
func (s *Shard) Take(needSnapshot func(recordBytes int) bool) Batch {
	var b Batch
	for _, j := range s.newJobs {
		b.Records = append(b.Records, encode(j.record()))
		j.recorded = true
	}
	for _, id := range s.cancels {
		b.Records = append(b.Records, encode(record{Cancel: id}))
	}
	for _, id := range s.dirtyTasks {
		t := s.task(id)
		t.dirty = false
		b.Records = append(b.Records, encode(t.record(id.Job)))
	}
	b.actions = append(b.actions, s.actions...)
	for _, j := range s.newJobs {
		b.actions = append(b.actions, j.queuedActions()...)
	}
	s.newJobs, s.cancels, s.dirtyTasks, s.actions = nil, nil, nil, nil
	size := 0
	for _, r := range b.Records {
		size += len(r) + 1
	}
	if needSnapshot != nil && size > 0 && needSnapshot(size) {
		b.Snapshot = s.Snapshot()
	}
	return b
}

// queuedActions returns a Queued action for each submitted task.
func (j *job) queuedActions() []Action {
	var out []Action
	for i := range j.tasks {
		if t := &j.tasks[i]; t.State == structs.TaskSubmitted {
			out = append(out, Action{Kind: Queued, Task: structs.TaskID{Job: j.spec.ID, Index: i},
				Token: tokenOf(t), State: structs.TaskQueued})
		}
	}
	return out
}

// Release returns the actions of a batch whose records are durable. It completes
// the transitions that wait for durability: submitted and evicted tasks become
// queued. It leaves out a Start whose attempt is no longer placed or whose job has
// been cancelled since Take, and a Queued whose task is no longer queued.
func (s *Shard) Release(b Batch, now time.Time) []Action {
	out := make([]Action, 0, len(b.actions))
	for _, a := range b.actions {
		t := s.task(a.Task)
		switch a.Kind {
		case Start:
			if t == nil || t.State != structs.TaskPlaced || tokenOf(t) != a.Token || s.jobs[a.Task.Job].cancelled {
				// The Start was never sent to an agent, so the attempt cannot run.
				s.dropUnstarted(a, t, now)
				continue
			}
			t.startReleased = true
		case Queued:
			if t == nil || t.Attempt != a.Token.Attempt || !s.makeQueued(t) {
				continue
			}
		case Freed:
			out = append(out, a)
			if t != nil && t.State == structs.TaskEvicted && t.Attempt == a.Token.Attempt {
				s.makeQueued(t)
				out = append(out, Action{Kind: Queued, Task: a.Task, Token: tokenOf(t), State: t.State})
			}
			continue
		}
		out = append(out, a)
	}
	return out
}

// dropUnstarted ends a placed attempt of a cancelled job whose Start was never sent.
func (s *Shard) dropUnstarted(a Action, t *task, now time.Time) {
	if t != nil && t.State == structs.TaskPlaced && tokenOf(t) == a.Token {
		s.emitFreed(a.Task, t)
		s.finish(a.Task, t, structs.TaskCancelled, "cancelled", now)
	}
}

// makeQueued changes a submitted or evicted task to queued. It reports whether the
// task is queued afterwards.
func (s *Shard) makeQueued(t *task) bool {
	if t.State == structs.TaskSubmitted || t.State == structs.TaskEvicted {
		s.counts[t.State]--
		s.counts[structs.TaskQueued]++
		t.State = structs.TaskQueued
	}
	return t.State == structs.TaskQueued
}

// Snapshot returns the whole state as records.
func (s *Shard) Snapshot() [][]byte {
	out := make([][]byte, 0, 2*len(s.jobs))
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		out = append(out, encode(j.record()))
		for i := range j.tasks {
			if t := &j.tasks[i]; t.Attempt > 0 || t.State.Final() {
				out = append(out, encode(t.record(id)))
			}
		}
	}
	return out
}

// Load rebuilds a shard from the records of the latest snapshot and of the pages
// after it.
func Load(id uint32, generation uint64, records [][]byte) (*Shard, error) {
	s := NewShard(id, generation)
	for i, raw := range records {
		var r record
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, fmt.Errorf("shard %d: record %d of %d: %w", id, i, len(records), err)
		}
		s.replay(r)
	}
	s.rebuildIndexes()
	return s, nil
}

// replay applies one record to the state without emitting actions.
func (s *Shard) replay(r record) {
	switch {
	case r.Job != nil:
		if s.jobs[r.Job.ID] == nil {
			j := newJob(r.Job.Job, structs.TaskQueued, 0)
			j.recorded, j.cancelled = true, r.Job.Cancelled
			s.jobs[r.Job.ID] = j
		}
	case r.Cancel != "":
		if j := s.jobs[r.Cancel]; j != nil {
			j.cancelled = true
		}
	case r.Task != nil:
		if t := s.task(structs.TaskID{Job: r.Task.Job, Index: r.Task.Index}); t != nil {
			t.restore(r.Task)
		}
	}
}

// restore sets the task from its record. A record of a submitted or evicted task
// is durable, so the task is queued.
func (t *task) restore(r *taskRecord) {
	t.Task = structs.Task{Index: r.Index, State: r.State, Attempt: r.Attempt, Generation: r.Generation,
		Worker: r.Worker, Incarnation: r.Incarnation, Epoch: r.Epoch, Checkpoint: r.Checkpoint, ProgressMs: r.ProgressMs,
		Failures: r.Failures, Evictions: r.Evictions, Reason: r.Reason}
	t.endedMs = r.EndedMs
	t.startReleased = active(r.State)
	if t.State == structs.TaskEvicted || t.State == structs.TaskSubmitted {
		t.State = structs.TaskQueued
	}
}

// rebuildIndexes computes the counters and the finished jobs from the loaded tasks.
func (s *Shard) rebuildIndexes() {
	for id, j := range s.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			s.counts[t.State]++
			if t.State.Final() {
				j.unfinished--
				j.finishedMs = max(j.finishedMs, t.endedMs)
			}
		}
		if j.unfinished == 0 {
			s.finishedJobs = append(s.finishedJobs, finishedJob{id, j.finishedMs})
		}
	}
	slices.SortFunc(s.finishedJobs, func(a, b finishedJob) int {
		if a.finishedMs != b.finishedMs {
			return int(a.finishedMs - b.finishedMs)
		}
		return slices.Compare([]byte(a.id), []byte(b.id))
	})
}

// Resume returns the first actions of a new owner after Load: waiting tasks go to
// the scheduler. Active attempts are not restarted. The owner repeats the commands
// of Outstanding to their agents and applies StartAcked, Adopt or, if the attempt is
// proven not to run, Gone.
func (s *Shard) Resume(now time.Time) []Action {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		for i := range j.tasks {
			s.resumeTask(j, structs.TaskID{Job: id, Index: i}, &j.tasks[i], now)
		}
	}
	out := s.actions
	s.actions = nil
	return out
}

func (s *Shard) resumeTask(j *job, id structs.TaskID, t *task, now time.Time) {
	switch {
	case t.State == structs.TaskQueued && j.cancelled:
		s.finish(id, t, structs.TaskCancelled, "cancelled", now)
	case t.State == structs.TaskQueued:
		s.emit(Queued, id, t)
	}
}

// Outstanding returns the commands (Start, CheckpointStop and Stop) to the agent of
// one worker, or of all workers if workerID is empty, for which no resulting event
// has arrived. The owner repeats them after a session was lost; agents handle a
// repeated token idempotently. Attempts whose Start has not been released are left
// out.
func (s *Shard) Outstanding(workerID string) []Action {
	var out []Action
	s.Active(func(id structs.TaskID, _ *structs.Job, view structs.Task) {
		t := s.task(id)
		if !t.startReleased || (workerID != "" && t.Worker != workerID) {
			return
		}
		a := Action{Task: id, Token: tokenOf(t), Worker: t.Worker, State: t.State, Reason: t.Reason}
		switch {
		case s.jobs[id.Job].cancelled:
			a.Kind, a.Token.Generation = Stop, s.generation
		case t.State == structs.TaskCheckpointing && !t.dirty:
			a.Kind = CheckpointStop
		case t.State == structs.TaskPlaced:
			a.Kind, a.Checkpoint, a.ProgressMs = Start, view.Checkpoint, view.ProgressMs
		default:
			return
		}
		out = append(out, a)
	})
	return out
}
