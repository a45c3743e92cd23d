package jobs_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/worker"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261204, "checks=400", "steps=60")) }

func spec(id string, count int) structs.Job {
	return structs.Job{ID: id, Template: "render", Customer: "c", Team: "t", Count: count, MaxAttempts: 2}
}

func (w *simulation) submit() {
	w.submissions++
	_, existing, err := w.pick().shard.Submit(spec(fmt.Sprint("j", w.submissions/2), rapid.IntRange(1, 3).Draw(w.t, "count")), w.now)
	if err != nil {
		require.Equal(w.t, rescode.KeyReused, rescode.Of(err))
	}
	_ = existing
}

// place lets an owner place its waiting tasks or find that they cannot run.
func (w *simulation) place() {
	o := w.pick()
	for _, id := range slices.SortedFunc(maps.Keys(o.waiting), func(a, b structs.TaskID) int { return a.Index - b.Index }) {
		v := w.vms[rapid.IntRange(0, 2).Draw(w.t, "vm")]
		token := o.waiting[id]
		token.Generation = o.shard.Generation()
		delete(o.waiting, id)
		if rapid.IntRange(0, 9).Draw(w.t, "never") == 0 {
			o.shard.Apply(jobs.Event{Kind: jobs.CannotRun, Task: id, Token: token, Reason: "too large"}, w.now)
			continue
		}
		o.shard.Apply(jobs.Event{Kind: jobs.Place, Task: id, Token: token, Worker: v.id, Incarnation: 1}, w.now)
	}
}

// advance lets the running attempts progress, report and end.
func (w *simulation) advance() {
	w.now = w.now.Add(250 * time.Millisecond)
	w.running(func(v *fakeVM, id structs.TaskID, r *fakeAttempt) {
		r.progress += 10
		switch rapid.IntRange(0, 5).Draw(w.t, "end") {
		case 0:
			w.end(v, id, jobs.Ended, worker.Done)
		case 1:
			w.end(v, id, jobs.Ended, rapid.SampledFrom([]worker.State{worker.Failed, worker.Lapsed}).Draw(w.t, "how"))
		case 2:
			w.send(v, jobs.Event{Kind: jobs.Progress, Task: id, Token: r.token, ProgressMs: r.progress, Checkpoint: fmt.Sprint(id.Job, "@", r.progress)})
		}
	})
}

// deliver applies events at an owner, in any order and any number of times.
func (w *simulation) deliver() {
	o := w.pick()
	for _, v := range w.vms {
		for _, ref := range slices.Sorted(maps.Keys(v.outbox)) {
			if rapid.Bool().Draw(w.t, "deliver") {
				o.shard.Apply(v.outbox[ref], w.now)
			}
		}
	}
}

// reportRunning reports all running attempts to an owner.
func (w *simulation) reportRunning() {
	o := w.pick()
	w.running(func(v *fakeVM, id structs.TaskID, r *fakeAttempt) {
		o.shard.Apply(jobs.Event{Kind: jobs.Adopt, Task: id, Token: r.token, Worker: v.id}, w.now)
	})
}

func (w *simulation) evict() {
	o := w.pick()
	o.shard.Active(func(id structs.TaskID, _ *structs.Job, t structs.Task) {
		if rapid.Bool().Draw(w.t, "evict") {
			o.shard.Apply(jobs.Event{Kind: jobs.EvictRequest, Task: id, Token: structs.Token{Generation: t.Generation, Attempt: t.Attempt}, Reason: "room"}, w.now)
		}
	})
}

// finishAll ends all faults and lets the last owner finish every job.
func (w *simulation) finishAll() {
	w.store.SetFaults(kv.Faults{})
	w.takeOver()
	w.owners = w.owners[len(w.owners)-1:]
	o := w.owners[0]
	if w.submissions > 0 && o.shard.Cancel("j0", w.now) == nil {
		w.commit(o, false)
		w.cancelledJobs["j0"] = true
	}
	for range 200 {
		w.commit(o, false)
		w.place()
		w.commit(o, false)
		w.perform(o, o.shard.Outstanding(""))
		w.advance()
		w.deliver()
	}
	for _, j := range o.shard.List() {
		for _, t := range j.Tasks {
			require.True(w.t, t.State.Final(), "%s/%d is %s", j.ID, t.Index, t.State)
		}
	}
}

// TestTaskLife guards three invariants: at most one attempt of a task runs, a
// checkpoint is resumed once, and no accepted job or acknowledged checkpoint is
// lost. Owners race, answers are lost, owners crash between the durable write and
// its actions, and events are late, repeated and out of order. Each takeover
// compares the loaded state with the last durable one.
func TestTaskLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(*rapid.T) { w.submit() },
			"place":    func(*rapid.T) { w.place() },
			"work":     func(*rapid.T) { w.advance() },
			"deliver":  func(*rapid.T) { w.deliver() },
			"announce": func(*rapid.T) { w.reportRunning() },
			"evict":    func(*rapid.T) { w.evict() },
			"commit":   func(*rapid.T) { w.commit(w.pick(), false) },
			"commit 2": func(*rapid.T) { w.commit(w.pick(), false) },
			"crash":    func(*rapid.T) { w.commit(w.pick(), true) },
			"takeover": func(*rapid.T) { w.takeOver() },
			"cancel": func(t *rapid.T) {
				_ = w.pick().shard.Cancel(fmt.Sprint("j", rapid.IntRange(0, w.submissions/2+1).Draw(t, "job")), w.now)
			},
			"outage":       func(*rapid.T) { w.store.SetFaults(kv.Faults{Down: true}) },
			"recovery":     func(*rapid.T) { w.store.SetFaults(kv.Faults{}) },
			"lose answers": func(t *rapid.T) { w.store.SetFaults(kv.Faults{LoseAnswers: rapid.IntRange(1, 4).Draw(t, "n")}) },
		})
		w.finishAll()
	})
}

// TestResumeOnce guards against a second resumption from one checkpoint and against
// freeing the capacity before the checkpoint is durable.
func TestResumeOnce(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := jobs.NewShard(0, 1)
	id := structs.TaskID{Job: "j"}
	_, _, err := s.Submit(spec("j", 1), now)
	require.NoError(t, err)
	s.Release(s.Take(nil), now)
	apply := func(ev jobs.Event) bool { ev.Task = id; return s.Apply(ev, now) }
	one := structs.Token{Generation: 1, Attempt: 1}
	require.True(t, apply(jobs.Event{Kind: jobs.Place, Token: structs.Token{Generation: 1}, Worker: "vm"}))
	require.True(t, apply(jobs.Event{Kind: jobs.StartAcked, Token: one}))
	require.True(t, apply(jobs.Event{Kind: jobs.EvictRequest, Token: one}))
	s.Release(s.Take(nil), now)
	ack := jobs.Event{Kind: jobs.CheckpointAcked, Token: one, Checkpoint: "c7", ProgressMs: 7}
	require.True(t, apply(ack))
	require.False(t, apply(ack), "a repeated acknowledgement has no effect")
	require.False(t, apply(jobs.Event{Kind: jobs.Place, Token: one, Worker: "vm"}), "the checkpoint is not durable yet")
	var kinds []jobs.ActionKind
	for _, a := range s.Release(s.Take(nil), now) {
		kinds = append(kinds, a.Kind)
	}
	require.Equal(t, []jobs.ActionKind{jobs.Freed, jobs.Queued}, kinds)
	require.True(t, apply(jobs.Event{Kind: jobs.Place, Token: one, Worker: "vm2"}))
	require.False(t, apply(jobs.Event{Kind: jobs.Place, Token: one, Worker: "vm3"}), "a stale plan has no effect")
	start := s.Release(s.Take(nil), now)
	require.Equal(t, "c7", start[0].Checkpoint)
	require.False(t, apply(ack), "a late acknowledgement has no effect")
}

// TestRetention guards against unbounded growth and against dropping jobs too early.
func TestRetention(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := jobs.NewShard(0, 1)
	for i := range jobs.MaxFinishedJobs + 10 {
		name := fmt.Sprintf("j%05d", i)
		_, _, err := s.Submit(spec(name, 1), now)
		require.NoError(t, err)
		if i > 0 {
			require.NoError(t, s.Cancel(name, now))
		}
	}
	s.Release(s.Take(nil), now)
	require.Equal(t, 9, s.Expire(now), "the bound drops the oldest")
	require.Zero(t, s.Expire(now.Add(jobs.Retention-time.Second)))
	require.Equal(t, jobs.MaxFinishedJobs, s.Expire(now.Add(jobs.Retention)))
	require.Len(t, s.List(), 1, "an unfinished job is kept")
}
