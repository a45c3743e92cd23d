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

// react applies the level of a VM. Policies without graduated levels evict a task as
// soon as the level rises, and start over at Normal.
func (sim *simulation) react(n *scheduler.Node, level interference.Level, changed bool) {
	if !sim.policy.graduated {
		if changed && level > interference.Normal {
			sim.evictOne(n, false)
			*sim.controllers[n.ID] = interference.Controller{}
		}
		return
	}
	share := 1.0
	if level >= interference.Throttle {
		share = interference.ThrottleShare
	}
	for id, t := range n.Tasks {
		if t.QoS == structs.Batch {
			sim.tasks[id].share = share
		}
	}
	sim.s.SetFlags(n.ID, scheduler.Flags{Closed: level >= interference.StopAdding})
	if changed && level >= interference.Move {
		sim.evictOne(n, true)
	}
}

// evictOne evicts one batch task: with save the one that is predicted to slow down
// urgent tasks most, else, or if none is, the largest.
func (sim *simulation) evictOne(n *scheduler.Node, save bool) {
	var suspects []interference.Suspect[structs.TaskID]
	for _, id := range onNode(n) {
		if k := workloads[sim.tasks[id].workload]; k.qos == structs.Batch && sim.budget.Allowed(id, sim.now()) {
			suspects = append(suspects, interference.Suspect[structs.TaskID]{ID: id, Template: k.name})
		}
	}
	if len(suspects) == 0 {
		return
	}
	i := interference.MostInterfering(sim.model, []interference.Neighbor{{Template: "service", Count: 1}}, suspects)
	if !save || i < 0 {
		i = 0
		for k := range suspects {
			if sim.tasks[suspects[k].ID].size.MilliCPU > sim.tasks[suspects[i].ID].size.MilliCPU {
				i = k
			}
		}
	}
	if sim.budget.Take([]structs.TaskID{suspects[i].ID}, sim.now()) {
		sim.evict(suspects[i].ID, save)
	}
}

// evictFor evicts batch tasks for a waiting task. All policies select them in the same
// way; only graduated ones make checkpoints first.
func (sim *simulation) evictFor(d scheduler.Decision) {
	var candidates []eviction.Candidate
	for _, id := range onNode(d.Node) {
		t := sim.tasks[id]
		if k := workloads[t.workload]; k.qos == structs.Batch && sim.budget.Allowed(id, sim.now()) {
			candidates = append(candidates, eviction.Candidate{ID: id, QoS: k.qos, Size: t.size, Unsaved: time.Duration(t.done-t.saved) * time.Second,
				CanSave: sim.policy.graduated, Remaining: time.Duration(k.seconds-t.done) * time.Second, Evictions: t.evictions})
		}
	}
	var ids []structs.TaskID
	for _, c := range eviction.Select(candidates, d.Short) {
		ids = append(ids, c.ID)
	}
	if len(ids) > 0 && sim.budget.Take(ids, sim.now()) {
		for _, id := range ids {
			sim.evict(id, sim.policy.graduated)
		}
	}
}

// run simulates the whole run, second by second.
func (sim *simulation) run() result {
	for ; sim.clock < runSeconds; sim.clock++ {
		if sim.clock%2 == 0 {
			sim.submit(1)
		}
		for sim.waiting < backlog {
			sim.submit(2 + sim.rng.IntN(len(workloads)-2))
		}
		if sim.clock%30 == 0 {
			sim.burstUntil[sim.s.Nodes()[sim.rng.IntN(vms)].ID] = sim.clock + 20
		}
		for _, d := range sim.s.Tick(sim.now()) {
			if d.Kind == scheduler.EvictionNeeded {
				sim.evictFor(d)
			}
		}
		sim.s.Run(sim.now(), 1000, sim)
		for _, n := range sim.s.Nodes() {
			sim.step(n)
		}
		for _, r := range sim.reports[sim.clock] {
			sim.model.Observe(r.vm, r.template, r.slowdown, r.at, sim.now())
			c := sim.controllers[r.vm]
			was := c.Level()
			sim.react(sim.s.Lookup(r.vm), c.Observe(r.slowdown, r.at, sim.now()), c.Level() != was)
		}
		if sim.plugin != nil && sim.clock%10 == 0 {
			sim.plugin.Reset()
			sim.s.Invalidate()
		}
	}
	slices.Sort(sim.urgentSlowdowns)
	sim.res.urgentP99 = sim.urgentSlowdowns[len(sim.urgentSlowdowns)*99/100]
	sim.res.startsIn9s = sim.urgentStarts[0] / sim.urgentStarts[1]
	sim.res.evictions *= 1000 / sim.res.finished
	return sim.res
}

// Row holds the figures of one policy: medians over the seeds, unless stated otherwise.
type Row struct {
	Policy         string
	Evictions      float64 // per 1,000 finished batch tasks
	LostSeconds    float64 // work lost by evictions, in task-seconds
	BatchSeconds   float64 // batch work done, in task-seconds
	UrgentP99      float64 // slowdown of urgent tasks
	StartsIn9s     float64 // share of urgent tasks started within 9 s
	OverCapacity   int     // VM-seconds above capacity, sum over the seeds
	MinStartsIn9s  float64 // StartsIn9s of the worst seed
	FinishedPerRun float64 // finished batch tasks
}

// Policies measures all policies with the seeds 1 to seeds, up to four runs in
// parallel.
func Policies(seeds int) []Row {
	rows := make([]Row, len(policies))
	var group errgroup.Group
	group.SetLimit(4) // leaves processors to other processes
	all := make([][]result, len(policies))
	for i, p := range policies {
		all[i] = make([]result, seeds)
		for k := range seeds {
			group.Go(func() error {
				all[i][k] = newSimulation(p, uint64(k+1)).run()
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

// row summarizes the runs of one policy.
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
		LostSeconds:    median(func(r result) float64 { return r.lostSeconds }),
		BatchSeconds:   median(func(r result) float64 { return r.batchSeconds }),
		UrgentP99:      median(func(r result) float64 { return r.urgentP99 }),
		StartsIn9s:     median(func(r result) float64 { return r.startsIn9s }),
		FinishedPerRun: median(func(r result) float64 { return r.finished })}
	for _, r := range all {
		out.OverCapacity += r.overCapacity
		out.MinStartsIn9s = min(out.MinStartsIn9s, r.startsIn9s)
	}
	return out
}
