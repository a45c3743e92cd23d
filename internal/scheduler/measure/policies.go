package measure

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

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

// Row is the median over the seeds of one policy. Over is the sum.
type Row struct {
	Policy         string
	Evictions      float64 // per 1,000 finished batch tasks
	LostSeconds    float64 // work lost by evictions, in task-seconds
	BatchSeconds   float64 // batch work done, in task-seconds
	UrgentP99      float64 // slowdown of urgent tasks
	StartsIn9s     float64 // share of urgent tasks started within 9 s
	OverCapacity   int     // seconds in which a VM was above its capacity
	MinStartsIn9s  float64 // worst seed
	FinishedPerRun float64
}

// Policies measures all policies with seeds 1 to seeds, in parallel.
func Policies(seeds int) []Row {
	rows := make([]Row, len(policies))
	var group errgroup.Group
	group.SetLimit(4) // the machine is shared
	all := make([][]result, len(policies))
	for i, p := range policies {
		all[i] = make([]result, seeds)
		for k := range seeds {
			group.Go(func() error {
				all[i][k] = newWorld(p, uint64(k+1)).run()
				return nil
			})
		}
	}
	_ = group.Wait() // no run returns an error
	for i, p := range policies {
		rows[i] = row(p.name, all[i])
	}
	return rows
}

func row(name string, all []result) Row {
	median := func(f func(result) float64) float64 {
		var v []float64
		for _, r := range all {
			v = append(v, f(r))
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	out := Row{Policy: name, MinStartsIn9s: 1,
		Evictions:      median(func(r result) float64 { return r.evictions }),
		LostSeconds:    median(func(r result) float64 { return r.lost }),
		BatchSeconds:   median(func(r result) float64 { return r.throughput }),
		UrgentP99:      median(func(r result) float64 { return r.p99 }),
		StartsIn9s:     median(func(r result) float64 { return r.startShare }),
		FinishedPerRun: median(func(r result) float64 { return r.finished })}
	for _, r := range all {
		out.OverCapacity += r.over
		out.MinStartsIn9s = min(out.MinStartsIn9s, r.startShare)
	}
	return out
}
