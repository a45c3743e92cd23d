// Package measure is a tool that measures placement policies and the shard log in
// virtual time with fake workers. It drives the real packages by a compact event
// loop; its figures are ratios within one run, not forecasts for a deployment.
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

// policy is a placement with its reaction to slow urgent work.
type policy struct {
	name   string
	ladder bool // throttle, stop adding, move, evict; else evict at once
	sizes  bool // correct declared sizes
	place  func(m inter.Model) (scheduler.Plugins, *inter.Plugin)
}

type score func(n *scheduler.Node, t *scheduler.Task) float64

func (score) Name() string                                         { return "baseline" }
func (s score) Score(n *scheduler.Node, t *scheduler.Task) float64 { return s(n, t) }

type apart struct{}

func (apart) Name() string { return "apart" }
func (apart) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	return !slices.ContainsFunc(n.Mix, func(m scheduler.TemplateCount) bool { return m.QoS != t.QoS })
}

func free(n *scheduler.Node, _ *scheduler.Task) float64 {
	return float64(n.Free().MilliCPU)/float64(n.Capacity.MilliCPU) + float64(n.Free().MemoryMB)/float64(n.Capacity.MemoryMB)
}
func full(n *scheduler.Node, t *scheduler.Task) float64 { return -free(n, t) }

func baseline(s score, f ...scheduler.Filter) func(inter.Model) (scheduler.Plugins, *inter.Plugin) {
	return func(inter.Model) (scheduler.Plugins, *inter.Plugin) {
		return scheduler.Plugins{Filters: append(f, capacity.Plugin{}), Scores: []scheduler.Score{s}, Reserves: []scheduler.Reserve{capacity.Plugin{}}}, nil
	}
}

var policies = []policy{
	{"vanillalock", true, true, plugins.Default},
	{"best fit", false, false, baseline(full)},
	{"least loaded", false, false, baseline(free)},
	{"never colocate", false, false, baseline(full, apart{})},
	{"least loaded, same reaction", true, false, baseline(free)},
}

// kind is a template with its truth, which only the fake workers know.
type kind struct {
	name           string
	qos            structs.QoS
	declared       structs.Resources
	cpu, mem       float64 // actual use over declared
	seconds, noise float64 // run time; log slowdown it causes to urgent tasks
}

func size(cpu, mem int64) structs.Resources { return structs.Resources{MilliCPU: cpu, MemoryMB: mem} }

var kinds = []kind{
	{"service", structs.LatencyCritical, size(2000, 4000), 0.8, 0.8, 1e9, 0},
	{"urgent", structs.LatencyCritical, size(1000, 2000), 0.9, 0.9, 120, 0},
	{"render", structs.Batch, size(2000, 6000), 0.7, 0.6, 300, 0.02},
	{"encode", structs.Batch, size(3000, 4000), 0.6, 0.7, 200, 0.14},
	{"train", structs.Batch, size(2000, 12000), 0.8, 0.5, 500, 0.03},
	{"shuffle", structs.Batch, size(1000, 6000), 1.2, 0.8, 150, 0.16},
	{"roster", structs.Batch, size(1000, 3000), 0.9, 0.9, 90, 0.01},
}

const (
	vms         = 66
	services    = 150
	backlog     = 60   // waiting batch tasks: the VMs are always wanted
	seconds     = 2400 // of a run; the first quarter is not measured
	checkpoint  = 60   // seconds between the workers' own checkpoints
	reportEvery = 5    // seconds between usage reports
)

type task struct {
	kind     int
	done     float64 // seconds of work
	saved    float64
	size     structs.Resources
	queuedAt int
	counted  bool // an urgent task whose start is measured
	evicted  int
	share    float64
	attempt  uint32
}

type report struct {
	vm, template string
	slowdown     float64
	at           time.Time
}

type result struct {
	evictions, finished, lost, throughput, p99, startShare float64
	over                                                   int
}

type world struct {
	policy  policy
	rng     *rand.Rand
	s       *scheduler.Scheduler
	plugin  *inter.Plugin
	model   *interference.Model
	sizes   *sizes.Estimator
	budget  *eviction.Budget
	ledgers map[string]*enforce.Ledger
	control map[string]*interference.Controller
	tasks   map[structs.TaskID]*task
	reports [][]report // by second of arrival
	burst   map[string]int
	clock   int
	ids     int
	waiting int
	slow    []float64
	starts  [2]float64 // within 9 s, submitted
	res     result
}

func newWorld(p policy, seed uint64) *world {
	w := &world{policy: p, rng: rand.New(rand.NewPCG(seed, 7)), model: interference.NewModel(), sizes: sizes.New(),
		budget: eviction.NewBudget(eviction.Limits{PerTask: 10, Cooldown: time.Minute}), ledgers: map[string]*enforce.Ledger{},
		control: map[string]*interference.Controller{}, tasks: map[structs.TaskID]*task{}, reports: make([][]report, seconds+60), burst: map[string]int{}}
	pl, plugin := p.place(w.model)
	w.plugin = plugin
	w.s = scheduler.New(scheduler.Config{}, pl, quota.New())
	for i := range vms {
		n := structs.Node{ID: fmt.Sprintf("vm%02d", i), Rack: fmt.Sprint(i / 3), FailureDomain: fmt.Sprint(i % 4), Capacity: size(16000, 64000)}
		w.s.SetNode(n)
		w.ledgers[n.ID], w.control[n.ID] = enforce.New(n.Capacity), &interference.Controller{}
	}
	w.s.Settle()
	for range services {
		w.submit(0)
	}
	return w
}

func (w *world) now() time.Time { return time.Unix(1_800_000_000+int64(w.clock), 0) }
func (w *world) measured() bool { return w.clock >= seconds/4 }

func (w *world) submit(kind int) {
	w.ids++
	id := structs.TaskID{Job: fmt.Sprint(w.ids)}
	// Tasks of the last seconds are left out: a task that never starts must count.
	counted := kind == 1 && w.measured() && w.clock < seconds-10
	if counted {
		w.starts[1]++
	}
	w.tasks[id] = &task{kind: kind, queuedAt: w.clock, share: 1, counted: counted}
	w.queue(id)
}

func (w *world) queue(id structs.TaskID) {
	t := w.tasks[id]
	k := kinds[t.kind]
	t.size = k.declared
	if w.policy.sizes {
		t.size = w.sizes.Plan(k.name, k.declared)
	}
	if k.qos == structs.Batch {
		w.waiting++
	}
	w.s.Add(scheduler.Task{Shape: scheduler.Shape{Template: k.name, QoS: k.qos, Size: t.size}, ID: id, Attempt: t.attempt, Team: id.Job[len(id.Job)-1:],
		Expected: time.Duration(k.seconds-t.done) * time.Second, LongRunning: t.kind == 0}, w.now())
}

// Submit implements scheduler.Planner: the agent of the VM admits or refuses.
func (w *world) Submit(d scheduler.Decision) error {
	t := w.tasks[d.Task.ID]
	t.attempt++
	if kinds[t.kind].qos == structs.Batch {
		w.waiting--
	}
	if _, err := w.ledgers[d.Node.ID].Reserve(d.Task.ID, structs.Token{Attempt: t.attempt}, t.size, nil, w.now()); err != nil {
		w.s.Refused(d.Task.ID, w.now())
		w.queue(d.Task.ID)
		return nil
	}
	if t.counted && t.attempt == 1 && w.clock-t.queuedAt <= 9 {
		w.starts[0]++
	}
	w.mix(d.Node)
	return nil
}

func (w *world) mix(n *scheduler.Node) {
	var out []interference.Neighbor
	for _, m := range n.Mix {
		out = append(out, interference.Neighbor{Template: m.Template, Count: m.Count})
	}
	w.model.Mix(n.ID, out, w.now())
}

func (w *world) leave(id structs.TaskID) {
	n := w.s.Placed(id).Node()
	w.ledgers[n.ID].Release(id, structs.Token{Attempt: w.tasks[id].attempt}, w.now())
	w.s.Release(id)
	w.mix(n)
}

// evict gives the room of a task away. With save the worker makes a checkpoint first.
func (w *world) evict(id structs.TaskID, save bool) {
	t := w.tasks[id]
	if w.measured() {
		w.res.evictions++
		if !save {
			w.res.lost += t.done - t.saved
		}
		w.res.lost += eviction.Overhead.Seconds()
	}
	if save {
		t.saved = t.done
	}
	t.done, t.share = max(0, t.saved-eviction.Overhead.Seconds()), 1
	t.evicted++
	w.leave(id)
	w.queue(id)
}

// ids returns the tasks on a VM in a fixed order.
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

// slowdown is the truth at the fake worker.
func (w *world) slowdown(ids []structs.TaskID, vm string) (urgent, batch float64) {
	log, used := 0.0, 0.0
	swing := 1 + 0.3*math.Sin(float64(w.clock)/200)
	for _, id := range ids {
		t := w.tasks[id]
		k := kinds[t.kind]
		log += k.noise * t.share
		u := float64(k.declared.MilliCPU) * k.cpu * t.share
		if k.qos == structs.LatencyCritical {
			u *= swing
		}
		used += u
	}
	contention := max(1, used/16000)
	if w.clock < w.burst[vm] {
		log += 0.1
	}
	return math.Exp(log) * math.Sqrt(contention), contention
}

// step advances the fake worker of one VM by one second.
func (w *world) step(n *scheduler.Node) {
	ids := onNode(n)
	urgent, batch := w.slowdown(ids, n.ID)
	mem, hasUrgent := 0.0, false
	for _, id := range ids {
		t := w.tasks[id]
		k := kinds[t.kind]
		mem += float64(k.declared.MemoryMB) * k.mem
		rate := t.share / batch
		if k.qos == structs.LatencyCritical {
			hasUrgent, rate = true, 1
			if w.measured() && w.clock%reportEvery == 0 {
				w.slow = append(w.slow, urgent)
			}
			if w.clock%reportEvery == 0 {
				at := w.clock + 3 + w.rng.IntN(8)
				w.reports[at] = append(w.reports[at], report{n.ID, k.name, urgent * math.Exp(w.rng.NormFloat64()*0.08), w.now()})
			}
		} else if w.measured() {
			w.res.throughput += rate
		}
		if t.done += rate; int(t.done)%checkpoint == 0 {
			t.saved = t.done
		}
		if t.done >= k.seconds {
			w.finish(id)
		}
	}
	if u := w.ledgers[n.ID].Used(); !u.Fits(n.Capacity) || mem > float64(n.Capacity.MemoryMB) {
		w.res.over++
	}
	if !hasUrgent {
		w.react(n, w.control[n.ID].NoUrgent(w.now()), false)
	}
}

func (w *world) finish(id structs.TaskID) {
	k := kinds[w.tasks[id].kind]
	w.sizes.Observe(k.name, structs.Resources{MilliCPU: int64(float64(k.declared.MilliCPU) * k.cpu), MemoryMB: int64(float64(k.declared.MemoryMB) * k.mem * (0.97 + 0.03*w.rng.Float64()))})
	w.leave(id)
	delete(w.tasks, id)
	if w.measured() && k.qos == structs.Batch {
		w.res.finished++
	}
}
