package jobs_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/worker"
)

// fakeAttempt is one attempt on a fake worker.
type fakeAttempt struct {
	token      structs.Token
	progress   int64
	checkpoint string
	event      *jobs.Event // how it ended; nil while it runs
}

// fakeVM is a fake worker with its agent. It keeps tombstones and holds events until
// they are acknowledged.
type fakeVM struct {
	id       string
	attempts map[structs.TaskID]*fakeAttempt // the highest attempt seen
	outbox   map[uint64]jobs.Event
}

// owner is an entry that believes that it owns the shard.
type owner struct {
	shard      *jobs.Shard
	log        *shardlog.Log
	batch      *jobs.Batch
	stateAfter []structs.Job // state after batch
	waiting    map[structs.TaskID]structs.Token
}

// simulation drives owners and fake workers and checks the invariants.
type simulation struct {
	t                *rapid.T
	store            *kv.Memory
	now              time.Time
	vms              []*fakeVM
	owners           []*owner
	generation       uint64
	fencedGeneration uint64 // generation of the last successful takeover
	ref              uint64
	submissions      int
	durableState     []structs.Job             // model of the log: the last durable state
	uncertainState   []structs.Job             // a state that may be durable
	acceptedJobs     map[string]bool           // jobs that the submitter knows to be accepted
	ackedProgress    map[structs.TaskID]int64  // progress of acknowledged checkpoints
	startedAttempt   map[structs.TaskID]uint32 // highest attempt that ever ran
	cancelledJobs    map[string]bool           // jobs whose cancellation was durable before all later starts
	doneTasks        map[structs.TaskID]bool   // reported to the submitter as done
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: time.UnixMilli(1_800_000_000_000), acceptedJobs: map[string]bool{}, ackedProgress: map[structs.TaskID]int64{},
		startedAttempt: map[structs.TaskID]uint32{}, cancelledJobs: map[string]bool{}, doneTasks: map[structs.TaskID]bool{}}
	w.durableState = []structs.Job{}
	w.store = kv.NewMemory(func() time.Time { return w.now })
	for i := range 3 {
		w.vms = append(w.vms, &fakeVM{id: fmt.Sprintf("vm%d", i), attempts: map[structs.TaskID]*fakeAttempt{}, outbox: map[uint64]jobs.Event{}})
	}
	w.takeOver()
	return w
}

// normalize changes a state to what a new owner loads from its records, and returns
// it.
func normalize(list []structs.Job) []structs.Job {
	for i := range list {
		for k := range list[i].Tasks {
			if t := &list[i].Tasks[k]; t.State == structs.TaskEvicted || t.State == structs.TaskSubmitted {
				t.State = structs.TaskQueued
			}
			if list[i].Tasks[k].Attempt == 0 {
				list[i].Tasks[k].Generation = 0
			}
		}
	}
	return list
}

// takeOver makes a new owner take over and compares what it loads with the model.
func (w *simulation) takeOver() {
	w.generation++
	log, records, err := shardlog.Open(context.Background(), w.store, 0, w.generation, fmt.Sprint("e", w.generation))
	if err != nil {
		w.requireTransient(err)
		return
	}
	shard, err := jobs.Load(0, w.generation, records)
	require.NoError(w.t, err)
	got := normalize(shard.List())
	if w.uncertainState == nil || !slices.EqualFunc(got, w.uncertainState, sameJob) {
		require.Equal(w.t, normalize(w.durableState), got, "the loaded state differs from the durable one")
	}
	w.durableState, w.uncertainState = got, nil
	for id := range w.acceptedJobs {
		_, err := shard.Get(id)
		require.NoError(w.t, err, "an accepted job is lost")
	}
	w.fencedGeneration = w.generation
	o := &owner{shard: shard, log: log, waiting: map[structs.TaskID]structs.Token{}}
	w.owners = append(w.owners, o)
	w.perform(o, shard.Resume(w.now))
	w.perform(o, shard.Outstanding(""))
}

// requireTransient fails the test unless err is an error of an outage.
func (w *simulation) requireTransient(err error) {
	require.True(w.t, errors.Is(err, kv.ErrUncertain) || errors.Is(err, kv.ErrUnavailable), "%v", err)
}

func sameJob(a, b structs.Job) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// pick returns one of the last two owners, so that a stale one keeps acting.
func (w *simulation) pick() *owner {
	n := len(w.owners)
	if n == 0 {
		w.t.Skip("no owner")
	}
	return w.owners[max(0, n-1-rapid.IntRange(0, 1).Draw(w.t, "owner"))]
}

// commit writes the next batch of an owner and performs its actions. With crash the
// owner ends between the two.
func (w *simulation) commit(o *owner, crash bool) {
	if o.batch == nil {
		b := o.shard.Take(o.log.NeedsSnapshot)
		if b.Empty() {
			return
		}
		o.batch, o.stateAfter = &b, normalize(o.shard.List())
		require.NoError(w.t, o.log.Stage(shardlog.Batch{Records: b.Records, Snapshot: b.Snapshot}))
	}
	err := o.log.Flush(context.Background())
	last := o.shard.Generation() >= w.fencedGeneration
	switch {
	case errors.Is(err, shardlog.ErrFenced):
		require.Less(w.t, o.shard.Generation(), w.generation, "fenced without a successor")
		w.owners = slices.DeleteFunc(w.owners, func(x *owner) bool { return x == o })
		return
	case err != nil:
		w.requireTransient(err)
		if last {
			w.uncertainState = o.stateAfter
		}
		return
	}
	if len(o.batch.Records) > 0 {
		require.True(w.t, last, "a stale owner's batch became durable")
		w.durableState, w.uncertainState = o.stateAfter, nil
	}
	b := *o.batch
	o.batch = nil
	if crash {
		w.owners = slices.DeleteFunc(w.owners, func(x *owner) bool { return x == o })
		return
	}
	w.perform(o, o.shard.Release(b, w.now))
}

// perform performs actions on the scheduler, the fake workers and the model.
func (w *simulation) perform(o *owner, actions []jobs.Action) {
	for _, a := range actions {
		switch a.Kind {
		case jobs.Accepted:
			w.acceptedJobs[a.Task.Job] = true
		case jobs.Queued:
			o.waiting[a.Task] = a.Token
		case jobs.Withdrawn:
			delete(o.waiting, a.Task)
		case jobs.Finished:
			w.doneTasks[a.Task] = w.doneTasks[a.Task] || a.State == structs.TaskDone
		case jobs.Start:
			w.start(w.vm(a.Worker), a)
		case jobs.CheckpointStop:
			w.stop(w.vm(a.Worker), a, jobs.CheckpointAcked)
		case jobs.Stop:
			w.stop(w.vm(a.Worker), a, jobs.Ended)
		case jobs.Ack:
			v := w.vm(a.Worker)
			if ev, ok := v.outbox[a.Ref]; ok {
				delete(v.outbox, a.Ref)
				w.ackedProgress[ev.Task] = max(w.ackedProgress[ev.Task], ev.ProgressMs)
			}
		}
	}
}

func (w *simulation) vm(id string) *fakeVM {
	return w.vms[slices.IndexFunc(w.vms, func(v *fakeVM) bool { return v.id == id })]
}

// send puts an event into the outbox of a fake worker.
func (w *simulation) send(v *fakeVM, ev jobs.Event) {
	w.ref++
	ev.Ref, ev.Worker = w.ref, v.id
	v.outbox[ev.Ref] = ev
}

func (w *simulation) start(v *fakeVM, a jobs.Action) {
	have := v.attempts[a.Task]
	switch {
	case have != nil && have.token.Attempt > a.Token.Attempt:
		return // stale: the worker refuses a lower token
	case have != nil && have.token.Attempt == a.Token.Attempt && have.event != nil:
		w.send(v, *have.event)
	case have != nil && have.token.Attempt == a.Token.Attempt:
		w.send(v, jobs.Event{Kind: jobs.StartAcked, Task: a.Task, Token: a.Token})
	case rapid.IntRange(0, 4).Draw(w.t, "refuse") == 0:
		w.tombstone(v, a, jobs.Event{Kind: jobs.StartRefused, Task: a.Task, Token: a.Token})
	default:
		w.run(v, a)
	}
}

// run starts an attempt and checks the invariants of a start.
func (w *simulation) run(v *fakeVM, a jobs.Action) {
	for _, other := range w.vms {
		if r := other.attempts[a.Task]; r != nil {
			require.NotNil(w.t, r.event, "two attempts of %v are active", a.Task)
		}
	}
	require.Less(w.t, w.startedAttempt[a.Task], a.Token.Attempt, "an attempt of %v started twice", a.Task)
	require.NotContains(w.t, w.cancelledJobs, a.Task.Job, "%v started after its job was cancelled", a.Task)
	require.False(w.t, w.doneTasks[a.Task], "%v started after it was done", a.Task)
	require.GreaterOrEqual(w.t, a.ProgressMs, w.ackedProgress[a.Task], "%v lost an acknowledged checkpoint", a.Task)
	w.startedAttempt[a.Task] = a.Token.Attempt
	v.attempts[a.Task] = &fakeAttempt{token: a.Token, progress: a.ProgressMs, checkpoint: a.Checkpoint}
	w.send(v, jobs.Event{Kind: jobs.StartAcked, Task: a.Task, Token: a.Token})
}

// tombstone records an attempt that never runs.
func (w *simulation) tombstone(v *fakeVM, a jobs.Action, ev jobs.Event) {
	v.attempts[a.Task] = &fakeAttempt{token: a.Token, event: &ev}
	w.send(v, ev)
}

func (w *simulation) stop(v *fakeVM, a jobs.Action, kind jobs.EventKind) {
	have := v.attempts[a.Task]
	switch {
	case have == nil || have.token.Attempt < a.Token.Attempt:
		w.tombstone(v, a, jobs.Event{Kind: jobs.Gone, Task: a.Task, Token: a.Token})
	case have.token.Attempt > a.Token.Attempt:
	case have.event != nil:
		w.send(v, *have.event)
	default:
		w.end(v, a.Task, kind, worker.Stopped)
	}
}

// end ends the attempt with a checkpoint of all its progress.
func (w *simulation) end(v *fakeVM, id structs.TaskID, kind jobs.EventKind, how worker.State) {
	r := v.attempts[id]
	r.event = &jobs.Event{Kind: kind, Task: id, Token: r.token, End: how, ProgressMs: r.progress, Checkpoint: fmt.Sprint(id.Job, "@", r.progress)}
	w.send(v, *r.event)
}

// running calls f for the running attempts in a fixed order.
func (w *simulation) running(f func(v *fakeVM, id structs.TaskID, r *fakeAttempt)) {
	for _, v := range w.vms {
		ids := slices.SortedFunc(maps.Keys(v.attempts), func(a, b structs.TaskID) int {
			return slices.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b)))
		})
		for _, id := range ids {
			if r := v.attempts[id]; r.event == nil {
				f(v, id, r)
			}
		}
	}
}
