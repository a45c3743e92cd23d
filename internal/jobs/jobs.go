// Package jobs holds the life of the tasks of one shard as an explicit state
// machine.
//
// A Shard is pure: it takes events and clock readings, changes its state in
// memory and collects the records and actions that follow. Take returns them as
// a Batch; the caller makes the records durable (package shardlog) and only then
// calls Release, which returns the actions to perform. A transition therefore
// acts on the outside only after it is durable. At most one Batch of a Shard is
// in flight.
//
// Every event carries a token (generation, attempt). Late, duplicate and stale
// events change nothing.
package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// Retention is how long a finished job stays in the state.
	Retention = time.Hour
	// MaxFinished bounds the finished jobs of a shard. With 16 shards and at
	// most 300 bytes each in a snapshot they take less than 10 MB of the
	// key-value service.
	MaxFinished = 2048
	// MaxCount bounds the tasks of one job.
	MaxCount = 10_000
	// MaxRecordBytes bounds one log record so that it fits a page.
	MaxRecordBytes = 24 << 10
)

// ErrUnknownJob means the shard has no job of this id.
var ErrUnknownJob = errors.New("jobs: unknown job")

// ShardOf returns the shard of a job among shards.
func ShardOf(jobID string, shards int) uint32 {
	return uint32(xxhash.Sum64String(jobID) % uint64(shards))
}

// IDForKey returns the id of the job that customer submits with an idempotency
// key. The id is a function of both, so a repeated submission reaches the same
// shard and finds the existing job there.
func IDForKey(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return "k" + hex.EncodeToString(sum[:12])
}

type task struct {
	structs.Task
	endedMs int64
	dirty   bool // changed since the last Take
	started bool // the Start of the attempt may have reached the agent
}

type job struct {
	spec       structs.Job // without tasks
	tasks      []task
	open       int // tasks that are not final
	cancelled  bool
	durable    bool
	finishedMs int64
}

type finishedJob struct {
	id string
	ms int64
}

// Shard is the state of the jobs of one shard under one generation. It is not
// safe for concurrent use.
type Shard struct {
	id         uint32
	generation uint64
	jobs       map[string]*job
	finished   []finishedJob // by finishing time
	counts     map[structs.TaskState]int

	newJobs    []*job
	cancels    []string
	dirtyTasks []structs.TaskID
	actions    []Action
}

// NewShard returns an empty shard owned with the given generation.
func NewShard(id uint32, generation uint64) *Shard {
	return &Shard{id: id, generation: generation, jobs: map[string]*job{}, counts: map[structs.TaskState]int{}}
}

// ID returns the number of the shard.
func (s *Shard) ID() uint32 { return s.id }

// Generation returns the generation under which the shard is owned.
func (s *Shard) Generation() uint64 { return s.generation }

// Submit adds a job whose tasks become queued when the record is durable. If a
// job of this id exists, it is returned with existing = true, or the error
// carries rescode.KeyReused when it is a different job.
func (s *Shard) Submit(spec structs.Job, now time.Time) (out structs.Job, existing bool, err error) {
	if old, ok := s.jobs[spec.ID]; ok {
		if !sameSubmission(old.spec, spec) {
			return structs.Job{}, false, rescode.Errorf(rescode.KeyReused, "job %s was submitted with different content", spec.ID)
		}
		s.actions = append(s.actions, Action{Kind: Accepted, Task: structs.TaskID{Job: spec.ID}})
		return old.view(), true, nil
	}
	if spec.Count < 1 || spec.Count > MaxCount {
		return structs.Job{}, false, rescode.FieldErrorf(rescode.OutOfRange, "count", "%d is not in 1..%d", spec.Count, MaxCount)
	}
	spec.Tasks = nil
	spec.Parameters = maps.Clone(spec.Parameters)
	spec.SubmittedUnixMs = now.UnixMilli()
	if len(encode(record{Job: &jobRecord{Job: spec}})) > MaxRecordBytes {
		return structs.Job{}, false, rescode.Errorf(rescode.BodyTooLarge, "job %s exceeds %d bytes", spec.ID, MaxRecordBytes)
	}
	j := newJob(spec, structs.TaskSubmitted, s.generation)
	s.jobs[spec.ID] = j
	s.counts[structs.TaskSubmitted] += spec.Count
	s.newJobs = append(s.newJobs, j)
	s.actions = append(s.actions, Action{Kind: Accepted, Task: structs.TaskID{Job: spec.ID}})
	return j.view(), false, nil
}

func newJob(spec structs.Job, state structs.TaskState, generation uint64) *job {
	j := &job{spec: spec, open: spec.Count, tasks: make([]task, spec.Count)}
	for i := range j.tasks {
		j.tasks[i].Task = structs.Task{Index: i, State: state, Generation: generation}
	}
	return j
}

// sameSubmission compares what the submitter chose. Configuration versions may
// differ: the job keeps those of its first submission.
func sameSubmission(a, b structs.Job) bool {
	return a.Template == b.Template && a.Customer == b.Customer && a.Count == b.Count &&
		a.Resources == b.Resources && maps.Equal(a.Parameters, b.Parameters)
}

// Get returns a copy of the job.
func (s *Shard) Get(id string) (structs.Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return structs.Job{}, ErrUnknownJob
	}
	return j.view(), nil
}

// List returns copies of all jobs, ordered by id.
func (s *Shard) List() []structs.Job {
	out := make([]structs.Job, 0, len(s.jobs))
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		out = append(out, s.jobs[id].view())
	}
	return out
}

// Counts returns the number of tasks by state.
func (s *Shard) Counts() map[structs.TaskState]int { return maps.Clone(s.counts) }

// Attempt returns the worker and token of the active attempt of a task.
func (s *Shard) Attempt(id structs.TaskID) (workerID string, token structs.Token, ok bool) {
	t := s.task(id)
	if t == nil || !active(t.State) {
		return "", structs.Token{}, false
	}
	return t.Worker, tokenOf(t), true
}

// Active calls f for every active attempt, ordered by job and index. A new owner
// uses it to ask the agents about the attempts.
func (s *Shard) Active(f func(id structs.TaskID, spec *structs.Job, t structs.Task)) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		for i := range j.tasks {
			if t := &j.tasks[i]; active(t.State) {
				f(structs.TaskID{Job: id, Index: i}, &j.spec, t.Task)
			}
		}
	}
}

// Expire drops finished jobs older than Retention, and the oldest ones beyond
// MaxFinished. It returns the number dropped.
func (s *Shard) Expire(now time.Time) int {
	cut := now.Add(-Retention).UnixMilli()
	n := 0
	for n < len(s.finished) && (s.finished[n].ms <= cut || len(s.finished)-n > MaxFinished) {
		j, ok := s.jobs[s.finished[n].id]
		if ok && j.pending() {
			break
		}
		if ok {
			for i := range j.tasks {
				s.counts[j.tasks[i].State]--
			}
			delete(s.jobs, s.finished[n].id)
		}
		n++
	}
	s.finished = slices.Delete(s.finished, 0, n)
	return n
}

// pending reports whether records of the job are not yet in a batch.
func (j *job) pending() bool {
	return !j.durable || slices.ContainsFunc(j.tasks, func(t task) bool { return t.dirty })
}

func (j *job) view() structs.Job {
	out := j.spec
	out.Parameters = maps.Clone(j.spec.Parameters)
	out.Tasks = make([]structs.Task, len(j.tasks))
	for i := range j.tasks {
		out.Tasks[i] = j.tasks[i].Task
	}
	return out
}

func (s *Shard) task(id structs.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

func tokenOf(t *task) structs.Token {
	return structs.Token{Generation: t.Generation, Attempt: t.Attempt}
}

// active reports whether an attempt may be running in the state.
func active(st structs.TaskState) bool {
	return st == structs.TaskPlaced || st == structs.TaskRunning || st == structs.TaskCheckpointing
}
