// Package jobs implements the state machine of the jobs and tasks of one shard.
//
// A Shard performs no I/O and reads no clock. It applies events to its state in
// memory and collects the resulting log records and actions. Take returns them as
// a Batch. The caller makes the records durable (package shardlog) and only then
// calls Release, which returns the actions to perform, so a transition has no
// external effect before it is durable. At most one Batch of a Shard is in
// flight.
//
// Every event carries a token (generation, attempt). Late, duplicate and stale
// events do not change a task.
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
	// Retention is how long a finished job is kept.
	Retention = time.Hour
	// MaxFinishedJobs is the maximum number of finished jobs kept per shard. With
	// 16 shards and at most 300 bytes per job in a snapshot they take less than
	// 10 MB of the key-value service.
	MaxFinishedJobs = 2048
	// MaxTasksPerJob is the maximum number of tasks of a job.
	MaxTasksPerJob = 10_000
	// MaxRecordBytes is the maximum size of a job's log record. A record must fit
	// in one page of the log.
	MaxRecordBytes = 24 << 10
)

// ErrUnknownJob means that the shard has no job with the given id.
var ErrUnknownJob = errors.New("jobs: unknown job")

// ShardOf returns the shard that a job belongs to, from 0 to shards-1.
func ShardOf(jobID string, shards int) uint32 {
	return uint32(xxhash.Sum64String(jobID) % uint64(shards))
}

// IDForKey returns the id of the job that customer submits with an idempotency
// key. The id depends on nothing else, so a repeated submission reaches the same
// shard and finds the existing job there.
func IDForKey(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return "k" + hex.EncodeToString(sum[:12])
}

// task is a task with the state that only the owner of the shard needs.
type task struct {
	structs.Task
	endedMs       int64
	dirty         bool // changed since the last Take
	startReleased bool // Release has returned the Start of the attempt, so it may have reached the agent
}

// job is a job with its tasks.
type job struct {
	spec       structs.Job // without tasks
	tasks      []task
	unfinished int // tasks that are not final
	cancelled  bool
	recorded   bool // a batch contains the record of the job
	finishedMs int64
}

// finishedJob is an entry of Shard.finishedJobs.
type finishedJob struct {
	id         string
	finishedMs int64
}

// Shard holds the jobs of one shard, owned under one generation. It is not safe
// for concurrent use.
type Shard struct {
	id           uint32
	generation   uint64
	jobs         map[string]*job
	finishedJobs []finishedJob // ordered by finishing time
	counts       map[structs.TaskState]int

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

// Submit adds a job. Its tasks become queued when its record is durable. If a job
// with this id exists, Submit returns it with existing = true, or fails with
// rescode.KeyReused if its content differs.
func (s *Shard) Submit(spec structs.Job, now time.Time) (out structs.Job, existing bool, err error) {
	if old, ok := s.jobs[spec.ID]; ok {
		if !sameSubmission(old.spec, spec) {
			return structs.Job{}, false, rescode.Errorf(rescode.KeyReused, "job %s was submitted with different content", spec.ID)
		}
		s.actions = append(s.actions, Action{Kind: Accepted, Task: structs.TaskID{Job: spec.ID}})
		return old.view(), true, nil
	}
	if spec.Count < 1 || spec.Count > MaxTasksPerJob {
		return structs.Job{}, false, rescode.FieldErrorf(rescode.OutOfRange, "count", "%d is not in 1..%d", spec.Count, MaxTasksPerJob)
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

// newJob returns a job whose tasks are all in the given state.
func newJob(spec structs.Job, state structs.TaskState, generation uint64) *job {
	j := &job{spec: spec, unfinished: spec.Count, tasks: make([]task, spec.Count)}
	for i := range j.tasks {
		j.tasks[i].Task = structs.Task{Index: i, State: state, Generation: generation}
	}
	return j
}

// sameSubmission reports whether two submissions have the same content.
// Configuration versions may differ: the job keeps those of its first submission.
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

// Active calls f for the task of every active attempt, ordered by job and index.
// A new owner uses it to ask the agents about the attempts.
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

// Expire drops the jobs that finished at least Retention ago, and the oldest ones
// beyond MaxFinishedJobs. It stops at a job with changes that no batch contains yet.
// It returns the number of jobs dropped.
func (s *Shard) Expire(now time.Time) int {
	cutoff := now.Add(-Retention).UnixMilli()
	n := 0
	for n < len(s.finishedJobs) && (s.finishedJobs[n].finishedMs <= cutoff || len(s.finishedJobs)-n > MaxFinishedJobs) {
		j, ok := s.jobs[s.finishedJobs[n].id]
		if ok && j.pending() {
			break
		}
		if ok {
			for i := range j.tasks {
				s.counts[j.tasks[i].State]--
			}
			delete(s.jobs, s.finishedJobs[n].id)
		}
		n++
	}
	s.finishedJobs = slices.Delete(s.finishedJobs, 0, n)
	return n
}

// pending reports whether the job has changes that no batch contains yet.
func (j *job) pending() bool {
	return !j.recorded || slices.ContainsFunc(j.tasks, func(t task) bool { return t.dirty })
}

// view returns a copy of the job with its tasks.
func (j *job) view() structs.Job {
	out := j.spec
	out.Parameters = maps.Clone(j.spec.Parameters)
	out.Tasks = make([]structs.Task, len(j.tasks))
	for i := range j.tasks {
		out.Tasks[i] = j.tasks[i].Task
	}
	return out
}

// task returns the task with the given id, or nil if there is none.
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

// active reports whether an attempt may be running while its task is in state st.
func active(st structs.TaskState) bool {
	return st == structs.TaskPlaced || st == structs.TaskRunning || st == structs.TaskCheckpointing
}
