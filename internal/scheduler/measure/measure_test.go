package measure_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/eviction"
	"vanillalock.example/vanillalock/internal/interference"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
)

// react applies the level of a VM. Baselines evict at the first sign.
func (w *world) react(n *scheduler.Node, level interference.Level, changed bool) {
	if !w.policy.ladder {
		if changed && level > interference.Normal {
			w.evictOne(n, false)
			*w.control[n.ID] = interference.Controller{}
		}
		return
	}
	share := 1.0
	if level >= interference.Throttle {
		share = interference.ThrottleShare
	}
	for id, t := range n.Tasks {
		if t.QoS == structs.Batch {
			w.tasks[id].share = share
		}
	}
	w.s.SetFlags(n.ID, scheduler.Flags{Closed: level >= interference.StopAdding})
	if changed && level >= interference.Move {
		w.evictOne(n, true)
	}
}

// evictOne evicts the task that disturbs most, or, without a ladder, the largest.
func (w *world) evictOne(n *scheduler.Node, save bool) {
	var suspects []interference.Suspect[structs.TaskID]
	for _, id := range onNode(n) {
		if k := kinds[w.tasks[id].kind]; k.qos == structs.Batch && w.budget.Allowed(id, w.now()) {
			suspects = append(suspects, interference.Suspect[structs.TaskID]{ID: id, Template: k.name})
		}
	}
	if len(suspects) == 0 {
		return
	}
	i := interference.Worst(w.model, []interference.Neighbor{{Template: "service", Count: 1}}, suspects)
	if !save || i < 0 {
		i = 0
		for k := range suspects {
			if w.tasks[suspects[k].ID].size.MilliCPU > w.tasks[suspects[i].ID].size.MilliCPU {
				i = k
			}
		}
	}
	if w.budget.Take([]structs.TaskID{suspects[i].ID}, w.now()) {
		w.evict(suspects[i].ID, save)
	}
}

// makeRoom evicts batch tasks for an urgent task, under every policy alike.
func (w *world) makeRoom(d scheduler.Decision) {
	var candidates []eviction.Candidate
	for _, id := range onNode(d.Node) {
		t := w.tasks[id]
		if k := kinds[t.kind]; k.qos == structs.Batch && w.budget.Allowed(id, w.now()) {
			candidates = append(candidates, eviction.Candidate{ID: id, QoS: k.qos, Size: t.size, Unsaved: time.Duration(t.done-t.saved) * time.Second,
				CanSave: w.policy.ladder, Remaining: time.Duration(k.seconds-t.done) * time.Second, Evictions: t.evicted})
		}
	}
	var ids []structs.TaskID
	for _, c := range eviction.Select(candidates, d.Short) {
		ids = append(ids, c.ID)
	}
	if len(ids) > 0 && w.budget.Take(ids, w.now()) {
		for _, id := range ids {
			w.evict(id, w.policy.ladder)
		}
	}
}

func (w *world) run() result {
	for ; w.clock < seconds; w.clock++ {
		if w.clock%2 == 0 {
			w.submit(1)
		}
		for w.waiting < backlog {
			w.submit(2 + w.rng.IntN(len(kinds)-2))
		}
		if w.clock%30 == 0 {
			w.burst[w.s.Nodes()[w.rng.IntN(vms)].ID] = w.clock + 20
		}
		for _, d := range w.s.Tick(w.now()) {
			if d.Kind == scheduler.MakeRoom {
				w.makeRoom(d)
			}
		}
		w.s.Run(w.now(), 1000, w)
		for _, n := range w.s.Nodes() {
			w.step(n)
		}
		for _, r := range w.reports[w.clock] {
			w.model.Observe(r.vm, r.template, r.slowdown, r.at, w.now())
			c := w.control[r.vm]
			was := c.Level()
			w.react(w.s.Lookup(r.vm), c.Observe(r.slowdown, r.at, w.now()), c.Level() != was)
		}
		if w.plugin != nil && w.clock%10 == 0 {
			w.plugin.Reset()
			w.s.Invalidate()
		}
	}
	slices.Sort(w.slow)
	w.res.p99 = w.slow[len(w.slow)*99/100]
	w.res.startShare = w.starts[0] / w.starts[1]
	w.res.evictions *= 1000 / w.res.finished
	return w.res
}

func median(all []result, f func(result) float64) float64 {
	var v []float64
	for _, r := range all {
		v = append(v, f(r))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// TestPolicies checks the targets against the baselines in the same run: at least
// 5 times fewer evictions than least loaded at no lower batch throughput and no
// worse urgent p99, no moment above capacity, urgent starts within 9 s.
func TestPolicies(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about a minute")
	}
	all := make([][]result, len(policies))
	t.Run("runs", func(t *testing.T) {
		for i, p := range policies {
			all[i] = make([]result, 5)
			for seed := range 5 {
				t.Run(p.name, func(t *testing.T) {
					t.Parallel()
					all[i][seed] = newWorld(p, uint64(seed+1)).run()
				})
			}
		}
	})
	evictions := func(r result) float64 { return r.evictions }
	throughput := func(r result) float64 { return r.throughput }
	p99 := func(r result) float64 { return r.p99 }
	start := func(r result) float64 { return r.startShare }
	for i, p := range policies {
		over := 0
		for _, r := range all[i] {
			over += r.over
		}
		t.Logf("%-28s evictions/1000 %7.1f  lost %8.0f s  throughput %9.0f s  urgent p99 %.3f  starts in 9 s %.4f  over %d", p.name,
			median(all[i], evictions), median(all[i], func(r result) float64 { return r.lost }), median(all[i], throughput), median(all[i], p99), median(all[i], start), over)
	}
	ours, least := all[0], all[2]
	require.LessOrEqual(t, 5*median(ours, evictions), median(least, evictions), "evictions")
	require.GreaterOrEqual(t, median(ours, throughput), median(least, throughput), "batch throughput")
	require.LessOrEqual(t, median(ours, p99), median(least, p99), "urgent p99")
	for _, r := range ours {
		require.Zero(t, r.over, "moments above capacity")
		require.InDelta(t, 1, r.startShare, 0, "urgent starts within 9 s")
	}
}
