// Package measure simulates placement policies and the shard log in virtual time with
// fake workers. It runs the real scheduler packages in a small event loop. Its figures
// are meant to be compared within one run and do not predict those of a deployment.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/agent/enforce"
	"vanillalock.example/vanillalock/internal/eviction"
	"vanillalock.example/vanillalock/internal/interference"
	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/capacity"
	inter "vanillalock.example/vanillalock/internal/scheduler/plugins/interference"
	"vanillalock.example/vanillalock/internal/scheduler/sizes"
	"vanillalock.example/vanillalock/internal/structs"
)

// policy combines a placement with a reaction to slow urgent work.
type policy struct {
	name      string
	graduated bool // react by the levels of interference.Controller; else evict at once
	sizes     bool // correct declared sizes by observed ones
	place     func(m inter.Model) (scheduler.Plugins, *inter.Plugin)
}

// scoreFunc is a Score plugin of a baseline policy.
type scoreFunc func(n *scheduler.Node, t *scheduler.Task) float64

func (scoreFunc) Name() string                                         { return "baseline" }
func (s scoreFunc) Score(n *scheduler.Node, t *scheduler.Task) float64 { return s(n, t) }

// separateClasses is a Filter that keeps urgent and batch tasks on separate VMs.
type separateClasses struct{}

func (separateClasses) Name() string { return "apart" }
func (separateClasses) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	return !slices.ContainsFunc(n.Mix, func(m scheduler.TemplateCount) bool { return m.QoS != t.QoS })
}

// freeShare is higher the larger the free share of the VM.
func freeShare(n *scheduler.Node, _ *scheduler.Task) float64 {
	return float64(n.Free().MilliCPU)/float64(n.Capacity.MilliCPU) + float64(n.Free().MemoryMB)/float64(n.Capacity.MemoryMB)
}

// negativeFreeShare is higher the smaller the free share of the VM.
func negativeFreeShare(n *scheduler.Node, t *scheduler.Task) float64 { return -freeShare(n, t) }

// baseline returns the plugins of a policy with one score and the given filters,
// without the interference plugin.
func baseline(s scoreFunc, f ...scheduler.Filter) func(inter.Model) (scheduler.Plugins, *inter.Plugin) {
	return func(inter.Model) (scheduler.Plugins, *inter.Plugin) {
		return scheduler.Plugins{Filters: append(f, capacity.Plugin{}), Scores: []scheduler.Score{s}, Reserves: []scheduler.Reserve{capacity.Plugin{}}}, nil
	}
}

var policies = []policy{
	{"vanillalock", true, true, plugins.Default},
	{"best fit", false, false, baseline(negativeFreeShare)},
	{"least loaded", false, false, baseline(freeShare)},
	{"never colocate", false, false, baseline(negativeFreeShare, separateClasses{})},
	{"least loaded, same reaction", true, false, baseline(freeShare)},
}

// workload is a template with its actual behavior, which only the fake workers know.
type workload struct {
	name              string
	qos               structs.QoS
	declared          structs.Resources
	cpu, mem          float64 // actual use as a share of the declared size
	seconds, slowdown float64 // run time; logarithmic slowdown that a task causes to urgent tasks
}

func size(cpu, mem int64) structs.Resources { return structs.Resources{MilliCPU: cpu, MemoryMB: mem} }

var workloads = []workload{
	{"service", structs.LatencyCritical, size(2000, 4000), 0.8, 0.8, 1e9, 0},
	{"urgent", structs.LatencyCritical, size(1000, 2000), 0.9, 0.9, 120, 0},
	{"render", structs.Batch, size(2000, 6000), 0.7, 0.6, 300, 0.02},
	{"encode", structs.Batch, size(3000, 4000), 0.6, 0.7, 200, 0.14},
	{"train", structs.Batch, size(2000, 12000), 0.8, 0.5, 500, 0.03},
	{"shuffle", structs.Batch, size(1000, 6000), 1.2, 0.8, 150, 0.16},
	{"roster", structs.Batch, size(1000, 3000), 0.9, 0.9, 90, 0.01},
}

const (
	vms             = 66
	services        = 150
	backlog         = 60   // minimum number of waiting batch tasks, so that VMs stay in demand
	runSeconds      = 2400 // length of a run; the first quarter is not measured
	checkpointEvery = 60   // seconds between the workers' own checkpoints
	reportEvery     = 5    // seconds between usage reports
)

type task struct {
	workload  int     // index in workloads
	done      float64 // seconds of work
	saved     float64 // value of done at the last checkpoint
	size      structs.Resources
	queuedAt  int
	counted   bool    // an urgent task whose start is measured
	evictions int     // number of evictions
	share     float64 // share of its processors, below 1 if throttled
	attempt   uint32
}

// report is a measured slowdown of an urgent task.
type report struct {
	vm, template string
	slowdown     float64
	at           time.Time
}

// result holds the figures of one run, see Row.
type result struct {
	evictions, finished, lostSeconds, batchSeconds, urgentP99, startsIn9s float64
	overCapacity                                                          int
}

// simulation is one simulated run of a policy.
type simulation struct {
	policy          policy
	rng             *rand.Rand
	s               *scheduler.Scheduler
	plugin          *inter.Plugin
	model           *interference.Model
	sizes           *sizes.Estimator
	budget          *eviction.Budget
	ledgers         map[string]*enforce.Ledger
	controllers     map[string]*interference.Controller
	tasks           map[structs.TaskID]*task
	reports         [][]report     // by second of arrival
	burstUntil      map[string]int // second until which outside work slows down urgent tasks, by VM
	clock           int            // seconds since the start
	submitted       int            // tasks submitted so far
	waiting         int            // batch tasks
	urgentSlowdowns []float64      // slowdowns of urgent tasks
	urgentStarts    [2]float64     // measured urgent tasks: started within 9 s, submitted
	res             result
}

func newSimulation(p policy, seed uint64) *simulation {
	sim := &simulation{policy: p, rng: rand.New(rand.NewPCG(seed, 7)), model: interference.NewModel(), sizes: sizes.New(),
		budget: eviction.NewBudget(eviction.Limits{PerTask: 10, Cooldown: time.Minute}), ledgers: map[string]*enforce.Ledger{},
		controllers: map[string]*interference.Controller{}, tasks: map[structs.TaskID]*task{}, reports: make([][]report, runSeconds+60), burstUntil: map[string]int{}}
	pl, plugin := p.place(sim.model)
	sim.plugin = plugin
	sim.s = scheduler.New(scheduler.Config{}, pl, quota.New())
	for i := range vms {
		n := structs.Node{ID: fmt.Sprintf("vm%02d", i), Rack: fmt.Sprint(i / 3), FailureDomain: fmt.Sprint(i % 4), Capacity: size(16000, 64000)}
		sim.s.SetNode(n)
		sim.ledgers[n.ID], sim.controllers[n.ID] = enforce.New(n.Capacity), &interference.Controller{}
	}
	sim.s.SetInventoryComplete()
	for range services {
		sim.submit(0)
	}
	return sim
}

func (sim *simulation) now() time.Time { return time.Unix(1_800_000_000+int64(sim.clock), 0) }
func (sim *simulation) measured() bool { return sim.clock >= runSeconds/4 }

func (sim *simulation) submit(workload int) {
	sim.submitted++
	id := structs.TaskID{Job: fmt.Sprint(sim.submitted)}
	// Tasks of the last 10 s are left out, so that each counted task that has not
	// started by the end of the run has missed the 9 s.
	counted := workload == 1 && sim.measured() && sim.clock < runSeconds-10
	if counted {
		sim.urgentStarts[1]++
	}
	sim.tasks[id] = &task{workload: workload, queuedAt: sim.clock, share: 1, counted: counted}
	sim.queue(id)
}

func (sim *simulation) queue(id structs.TaskID) {
	t := sim.tasks[id]
	k := workloads[t.workload]
	t.size = k.declared
	if sim.policy.sizes {
		t.size = sim.sizes.Plan(k.name, k.declared)
	}
	if k.qos == structs.Batch {
		sim.waiting++
	}
	sim.s.Add(scheduler.Task{Shape: scheduler.Shape{Template: k.name, QoS: k.qos, Size: t.size}, ID: id, Attempt: t.attempt, Team: id.Job[len(id.Job)-1:],
		Expected: time.Duration(k.seconds-t.done) * time.Second, LongRunning: t.workload == 0}, sim.now())
}

// Submit implements scheduler.Planner: the ledger of the VM's agent accepts or refuses
// the task.
func (sim *simulation) Submit(d scheduler.Decision) error {
	t := sim.tasks[d.Task.ID]
	t.attempt++
	if workloads[t.workload].qos == structs.Batch {
		sim.waiting--
	}
	if _, err := sim.ledgers[d.Node.ID].Reserve(d.Task.ID, structs.Token{Attempt: t.attempt}, t.size, nil, sim.now()); err != nil {
		sim.s.Refused(d.Task.ID, sim.now())
		sim.queue(d.Task.ID)
		return nil
	}
	if t.counted && t.attempt == 1 && sim.clock-t.queuedAt <= 9 {
		sim.urgentStarts[0]++
	}
	sim.reportMix(d.Node)
	return nil
}

// reportMix reports the task mix of a VM to the model.
func (sim *simulation) reportMix(n *scheduler.Node) {
	var out []interference.Neighbor
	for _, m := range n.Mix {
		out = append(out, interference.Neighbor{Template: m.Template, Count: m.Count})
	}
	sim.model.SetMix(n.ID, out, sim.now())
}

// release releases the resources of a task.
func (sim *simulation) release(id structs.TaskID) {
	n := sim.s.Placed(id).Node()
	sim.ledgers[n.ID].Release(id, structs.Token{Attempt: sim.tasks[id].attempt}, sim.now())
	sim.s.Release(id)
	sim.reportMix(n)
}

// evict stops a task and queues it again. With save the worker makes a checkpoint
// first.
func (sim *simulation) evict(id structs.TaskID, save bool) {
	t := sim.tasks[id]
	if sim.measured() {
		sim.res.evictions++
		if !save {
			sim.res.lostSeconds += t.done - t.saved
		}
		sim.res.lostSeconds += eviction.Overhead.Seconds()
	}
	if save {
		t.saved = t.done
	}
	t.done, t.share = max(0, t.saved-eviction.Overhead.Seconds()), 1
	t.evictions++
	sim.release(id)
	sim.queue(id)
}

// onNode returns the tasks on a VM in a fixed order.
func onNode(n *scheduler.Node) []structs.TaskID {
	var out []structs.TaskID
	for id := range n.Tasks {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b structs.TaskID) int {
		if len(a.Job) != len(b.Job) {
			return len(a.Job) - len(b.Job)
		}
		return slices.Compare([]byte(a.Job), []byte(b.Job))
	})
	return out
}

// slowdown returns the actual slowdown of urgent and of batch tasks on a VM, as
// factors.
func (sim *simulation) slowdown(ids []structs.TaskID, vm string) (urgent, batch float64) {
	log, used := 0.0, 0.0
	swing := 1 + 0.3*math.Sin(float64(sim.clock)/200)
	for _, id := range ids {
		t := sim.tasks[id]
		k := workloads[t.workload]
		log += k.slowdown * t.share
		u := float64(k.declared.MilliCPU) * k.cpu * t.share
		if k.qos == structs.LatencyCritical {
			u *= swing
		}
		used += u
	}
	contention := max(1, used/16000)
	if sim.clock < sim.burstUntil[vm] {
		log += 0.1
	}
	return math.Exp(log) * math.Sqrt(contention), contention
}

// step advances the fake worker of one VM by one second.
func (sim *simulation) step(n *scheduler.Node) {
	ids := onNode(n)
	urgent, batch := sim.slowdown(ids, n.ID)
	mem, hasUrgent := 0.0, false
	for _, id := range ids {
		t := sim.tasks[id]
		k := workloads[t.workload]
		mem += float64(k.declared.MemoryMB) * k.mem
		rate := t.share / batch
		if k.qos == structs.LatencyCritical {
			hasUrgent, rate = true, 1
			if sim.measured() && sim.clock%reportEvery == 0 {
				sim.urgentSlowdowns = append(sim.urgentSlowdowns, urgent)
			}
			if sim.clock%reportEvery == 0 {
				at := sim.clock + 3 + sim.rng.IntN(8)
				sim.reports[at] = append(sim.reports[at], report{n.ID, k.name, urgent * math.Exp(sim.rng.NormFloat64()*0.08), sim.now()})
			}
		} else if sim.measured() {
			sim.res.batchSeconds += rate
		}
		if t.done += rate; int(t.done)%checkpointEvery == 0 {
			t.saved = t.done
		}
		if t.done >= k.seconds {
			sim.finish(id)
		}
	}
	if u := sim.ledgers[n.ID].Used(); !u.Fits(n.Capacity) || mem > float64(n.Capacity.MemoryMB) {
		sim.res.overCapacity++
	}
	if !hasUrgent {
		sim.react(n, sim.controllers[n.ID].ResetLevel(sim.now()), false)
	}
}

func (sim *simulation) finish(id structs.TaskID) {
	k := workloads[sim.tasks[id].workload]
	sim.sizes.Observe(k.name, structs.Resources{MilliCPU: int64(float64(k.declared.MilliCPU) * k.cpu), MemoryMB: int64(float64(k.declared.MemoryMB) * k.mem * (0.97 + 0.03*sim.rng.Float64()))})
	sim.release(id)
	delete(sim.tasks, id)
	if sim.measured() && k.qos == structs.Batch {
		sim.res.finished++
	}
}
