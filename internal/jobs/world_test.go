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

// attempt is one attempt at a fake worker.
type attempt struct {
	token      structs.Token
	progress   int64
	checkpoint string
	event      *jobs.Event // how it ended; nil while it runs
}

// vm is a fake worker with its agent: it keeps tombstones and repeats events until
// they are acknowledged.
type vm struct {
	id       string
	attempts map[structs.TaskID]*attempt // the highest attempt seen
	outbox   map[uint64]jobs.Event
}

// owner is one entry that believes to own the shard.
type owner struct {
	shard   *jobs.Shard
	log     *shardlog.Log
	batch   *jobs.Batch
	view    []structs.Job // state after batch
	waiting map[structs.TaskID]structs.Token
}

// world drives owners and fake workers and checks the invariants.
type world struct {
	t          *rapid.T
	store      *kv.Memory
	now        time.Time
	vms        []*vm
	owners     []*owner
	generation uint64
	fence      uint64 // generation of the last successful takeover
	ref        uint64
	jobs       int
	durable    []structs.Job             // model of the log: the last durable state
	doubt      []structs.Job             // a state that may be durable
	accepted   map[string]bool           // jobs whose submitter was answered
	saved      map[structs.TaskID]int64  // progress of acknowledged checkpoints
	started    map[structs.TaskID]uint32 // highest attempt that ever ran
	cancelled  map[string]bool           // jobs whose cancellation was durable before all later starts
	done       map[structs.TaskID]bool   // reported to the submitter as done
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.UnixMilli(1_800_000_000_000), accepted: map[string]bool{}, saved: map[structs.TaskID]int64{},
		started: map[structs.TaskID]uint32{}, cancelled: map[string]bool{}, done: map[structs.TaskID]bool{}}
	w.durable = []structs.Job{}
	w.store = kv.NewMemory(func() time.Time { return w.now })
	for i := range 3 {
		w.vms = append(w.vms, &vm{id: fmt.Sprintf("vm%d", i), attempts: map[structs.TaskID]*attempt{}, outbox: map[uint64]jobs.Event{}})
	}
	w.open()
	return w
}

// normal is a state as a new owner loads it.
func normal(list []structs.Job) []structs.Job {
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

// open makes a new owner take over and compares what it loads with the model.
func (w *world) open() {
	w.generation++
	log, records, err := shardlog.Open(context.Background(), w.store, 0, w.generation, fmt.Sprint("e", w.generation))
	if err != nil {
		w.transient(err)
		return
	}
	shard, err := jobs.Load(0, w.generation, records)
	require.NoError(w.t, err)
	got := normal(shard.List())
	if w.doubt == nil || !slices.EqualFunc(got, w.doubt, sameJob) {
		require.Equal(w.t, normal(w.durable), got, "the loaded state differs from the durable one")
	}
	w.durable, w.doubt = got, nil
	for id := range w.accepted {
		_, err := shard.Get(id)
		require.NoError(w.t, err, "an accepted job is lost")
	}
	w.fence = w.generation
	o := &owner{shard: shard, log: log, waiting: map[structs.TaskID]structs.Token{}}
	w.owners = append(w.owners, o)
	w.perform(o, shard.Resume(w.now))
	w.perform(o, shard.Outstanding(""))
}

func (w *world) transient(err error) {
	require.True(w.t, errors.Is(err, kv.ErrUncertain) || errors.Is(err, kv.ErrUnavailable), "%v", err)
}

func sameJob(a, b structs.Job) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// current returns one of the last two owners, so that a stale one keeps acting.
func (w *world) pick() *owner {
	n := len(w.owners)
	if n == 0 {
		w.t.Skip("no owner")
	}
	return w.owners[max(0, n-1-rapid.IntRange(0, 1).Draw(w.t, "owner"))]
}

// commit writes the next batch; crash ends the owner between write and actions.
func (w *world) commit(o *owner, crash bool) {
	if o.batch == nil {
		b := o.shard.Take(o.log.NeedsSnapshot)
		if b.Empty() {
			return
		}
		o.batch, o.view = &b, normal(o.shard.List())
		require.NoError(w.t, o.log.Stage(shardlog.Batch{Records: b.Records, Snapshot: b.Snapshot}))
	}
	err := o.log.Flush(context.Background())
	last := o.shard.Generation() >= w.fence
	switch {
	case errors.Is(err, shardlog.ErrFenced):
		require.Less(w.t, o.shard.Generation(), w.generation, "fenced without a successor")
		w.owners = slices.DeleteFunc(w.owners, func(x *owner) bool { return x == o })
		return
	case err != nil:
		w.transient(err)
		if last {
			w.doubt = o.view
		}
		return
	}
	if len(o.batch.Records) > 0 {
		require.True(w.t, last, "a stale owner's batch became durable")
		w.durable, w.doubt = o.view, nil
	}
	b := *o.batch
	o.batch = nil
	if crash {
		w.owners = slices.DeleteFunc(w.owners, func(x *owner) bool { return x == o })
		return
	}
	w.perform(o, o.shard.Release(b, w.now))
}

func (w *world) perform(o *owner, actions []jobs.Action) {
	for _, a := range actions {
		switch a.Kind {
		case jobs.Accepted:
			w.accepted[a.Task.Job] = true
		case jobs.Queued:
			o.waiting[a.Task] = a.Token
		case jobs.Unqueued:
			delete(o.waiting, a.Task)
		case jobs.Finished:
			w.done[a.Task] = w.done[a.Task] || a.State == structs.TaskDone
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
				w.saved[ev.Task] = max(w.saved[ev.Task], ev.ProgressMs)
			}
		}
	}
}

func (w *world) vm(id string) *vm {
	return w.vms[slices.IndexFunc(w.vms, func(v *vm) bool { return v.id == id })]
}

func (w *world) send(v *vm, ev jobs.Event) {
	w.ref++
	ev.Ref, ev.Worker = w.ref, v.id
	v.outbox[ev.Ref] = ev
}

func (w *world) start(v *vm, a jobs.Action) {
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
func (w *world) run(v *vm, a jobs.Action) {
	for _, other := range w.vms {
		if r := other.attempts[a.Task]; r != nil {
			require.NotNil(w.t, r.event, "two attempts of %v are active", a.Task)
		}
	}
	require.Less(w.t, w.started[a.Task], a.Token.Attempt, "an attempt of %v started twice", a.Task)
	require.NotContains(w.t, w.cancelled, a.Task.Job, "%v started after its job was cancelled", a.Task)
	require.False(w.t, w.done[a.Task], "%v started after it was done", a.Task)
	require.GreaterOrEqual(w.t, a.ProgressMs, w.saved[a.Task], "%v lost an acknowledged checkpoint", a.Task)
	w.started[a.Task] = a.Token.Attempt
	v.attempts[a.Task] = &attempt{token: a.Token, progress: a.ProgressMs, checkpoint: a.Checkpoint}
	w.send(v, jobs.Event{Kind: jobs.StartAcked, Task: a.Task, Token: a.Token})
}

func (w *world) tombstone(v *vm, a jobs.Action, ev jobs.Event) {
	v.attempts[a.Task] = &attempt{token: a.Token, event: &ev}
	w.send(v, ev)
}

func (w *world) stop(v *vm, a jobs.Action, kind jobs.EventKind) {
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
func (w *world) end(v *vm, id structs.TaskID, kind jobs.EventKind, how worker.State) {
	r := v.attempts[id]
	r.event = &jobs.Event{Kind: kind, Task: id, Token: r.token, End: how, ProgressMs: r.progress, Checkpoint: fmt.Sprint(id.Job, "@", r.progress)}
	w.send(v, *r.event)
}

// running calls f for the running attempts in a fixed order.
func (w *world) running(f func(v *vm, id structs.TaskID, r *attempt)) {
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
