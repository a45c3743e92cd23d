package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	"vanillalock.example/vanillalock/internal/structs"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261204)) }

// fixedModel is a fixed interference model: a template slows itself down by 0.04,
// and the slowdown between two templates follows from the last characters of their
// names.
type fixedModel struct{}

func (fixedModel) Pair(a, b string) float64 {
	if a == b {
		return 0.04
	}
	return float64((int(a[len(a)-1])*7+int(b[len(b)-1])*3)%5) * 0.02
}

func defaultPlugins() scheduler.Plugins {
	p, _ := plugins.Default(fixedModel{})
	return p
}

var epoch = time.Unix(1_800_000_000, 0)

// referenceScheduler is a reference scheduler without caches, queues or indexes: it
// evaluates every plugin on every VM for each decision.
type referenceScheduler struct {
	plugins scheduler.Plugins
	nodes   []*scheduler.Node // by index, nil if removed
	waiting []scheduler.Task
	teams   map[string]structs.Resources
	quota   structs.Resources
	total   structs.Resources
}

func (v *referenceScheduler) share(team string) float64 {
	u := v.teams[team]
	return max(float64(u.MilliCPU)/float64(v.total.MilliCPU), float64(u.MemoryMB)/float64(v.total.MemoryMB),
		float64(u.Accelerators)/float64(max(1, v.total.Accelerators)))
}

func (v *referenceScheduler) best(t *scheduler.Task) *scheduler.Node {
	var best *scheduler.Node
	bestScore := math.Inf(-1)
next:
	for _, n := range v.nodes {
		if n == nil {
			continue
		}
		for _, f := range v.plugins.Filters {
			if !f.Filter(n, t) {
				continue next
			}
		}
		score := 0.0
		for _, p := range v.plugins.Scores {
			score += p.Score(n, t)
		}
		if score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// next removes and returns the first of the waiting tasks that fit somewhere, in the
// order of before, with its VM.
func (v *referenceScheduler) next() (*scheduler.Task, *scheduler.Node) {
	pick, place := -1, (*scheduler.Node)(nil)
	for i := range v.waiting {
		t := &v.waiting[i]
		if sum := v.teams[t.Team].Add(t.Size); sum.MilliCPU > v.quota.MilliCPU {
			continue
		}
		n := v.best(t)
		if n != nil && (pick < 0 || v.before(t, &v.waiting[pick])) {
			pick, place = i, n
		}
	}
	if pick < 0 {
		return nil, nil
	}
	t := v.waiting[pick]
	v.waiting = append(v.waiting[:pick], v.waiting[pick+1:]...)
	return &t, place
}

// before orders tasks: urgent ones first, then by the team's share, then by the
// team's name, then the oldest first.
func (v *referenceScheduler) before(a, b *scheduler.Task) bool {
	if a.QoS != b.QoS {
		return a.QoS == structs.LatencyCritical
	}
	if x, y := v.share(a.Team), v.share(b.Team); x != y {
		return x < y
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Enqueued.Before(b.Enqueued)
}

// apply places the task on the VM, or removes it from there if sign is -1.
func (v *referenceScheduler) apply(t *scheduler.Task, n *scheduler.Node, sign int64) {
	size := structs.Resources{MilliCPU: sign * t.Size.MilliCPU, MemoryMB: sign * t.Size.MemoryMB, Accelerators: sign * t.Size.Accelerators}
	n.Used, v.teams[t.Team] = n.Used.Add(size), v.teams[t.Team].Add(size)
	if sign > 0 {
		n.Tasks[t.ID] = t
	} else {
		delete(n.Tasks, t.ID)
	}
	counts := map[scheduler.TemplateCount]int{}
	for _, r := range n.Tasks {
		counts[scheduler.TemplateCount{Template: r.Template, QoS: r.QoS}]++
	}
	n.Mix = nil
	for i, name := range []string{"t0", "t1", "t2", "t3", "t4"} {
		for _, q := range []structs.QoS{structs.LatencyCritical, structs.Batch} {
			if c := counts[scheduler.TemplateCount{Template: name, QoS: q}]; c > 0 {
				n.Mix = append(n.Mix, scheduler.TemplateCount{Template: name, TemplateIndex: i, QoS: q, Count: c})
			}
		}
	}
	for _, r := range v.plugins.Reserves {
		if sign > 0 {
			_ = r.Reserve(n, t)
		} else {
			r.Release(n, t)
		}
	}
}

func vm(i int) structs.Node {
	c := structs.Resources{MilliCPU: 16000, MemoryMB: 64000}
	if i%3 == 0 {
		c = structs.Resources{MilliCPU: 32000, MemoryMB: 128000, Accelerators: 4}
	}
	return structs.Node{ID: fmt.Sprintf("vm%d", i), Rack: fmt.Sprintf("rack%d", i/3), FailureDomain: fmt.Sprintf("fd%d", i%4), Capacity: c}
}

// TestPlacementAgainstNaive compares each decision with the reference scheduler. It
// guards against stale cached scores, tasks that are skipped or overtaken, and
// placements that exceed the capacity or quota.
func TestPlacementAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := structs.Resources{MilliCPU: 60000}
		ledger := quota.New()
		s := scheduler.New(scheduler.Config{}, defaultPlugins(), ledger)
		v := &referenceScheduler{plugins: defaultPlugins(), teams: map[string]structs.Resources{}, quota: limit}
		for i := range 3 {
			ledger.SetTeam(fmt.Sprintf("team%d", i), limit, 1)
		}
		now, jobs, vms := epoch, 0, 0
		placed := map[structs.TaskID]bool{}
		addVM := func() {
			n := &scheduler.Node{Node: vm(vms), Index: vms, RackIndex: vms / 3, DomainIndex: vms % 4, Tasks: map[structs.TaskID]*scheduler.Task{}}
			v.nodes = append(v.nodes, n)
			v.total = v.total.Add(n.Capacity)
			s.SetNode(vm(vms))
			vms++
		}
		for range 6 {
			addVM()
		}
		release := func(t *rapid.T) {
			for _, n := range v.nodes {
				for id, task := range n.Tasks {
					if (task.Enqueued.UnixNano()/1e6+int64(jobs))%3 == 0 {
						v.apply(task, n, -1)
						s.Release(id)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"vm": func(t *rapid.T) {
				if vms < 12 {
					addVM()
				}
			},
			"flags": func(t *rapid.T) {
				i := rapid.IntRange(0, vms-1).Draw(t, "vm")
				f := scheduler.Flags{Quarantined: rapid.IntRange(0, 3).Draw(t, "q") == 0, Closed: rapid.Bool().Draw(t, "c")}
				s.SetFlags(vm(i).ID, f)
				v.nodes[i].Flags = f
			},
			"submit": func(t *rapid.T) {
				jobs++
				shape := scheduler.Shape{Template: fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "template")),
					QoS:  rapid.SampledFrom([]structs.QoS{structs.LatencyCritical, structs.Batch}).Draw(t, "qos"),
					Size: structs.Resources{MilliCPU: int64(rapid.IntRange(1, 8).Draw(t, "cpu")) * 1000, MemoryMB: int64(rapid.IntRange(1, 30).Draw(t, "mem")) * 1000, Accelerators: int64(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "acc"))}}
				for i := range rapid.IntRange(1, 5).Draw(t, "count") {
					now = now.Add(time.Millisecond)
					task := scheduler.Task{Shape: shape, ID: structs.TaskID{Job: fmt.Sprint(jobs), Index: i}, Team: fmt.Sprintf("team%d", jobs%3)}
					s.Add(task, now)
					task.Enqueued, task.TemplateIndex = now, int(shape.Template[1]-'0')
					v.waiting = append(v.waiting, task)
				}
			},
			"release": release,
			"decide": func(t *rapid.T) {
				for {
					task, n := v.next()
					d, ok := s.Next(now)
					require.Equal(t, task != nil, ok)
					if !ok {
						return
					}
					require.Equal(t, task.ID, d.Task.ID)
					require.Equal(t, n.ID, d.Node.ID)
					require.False(t, placed[task.ID], "placed twice")
					placed[task.ID] = true
					v.apply(task, n, 1)
					require.False(t, d.Node.Free().Negative(), "above capacity")
				}
			},
		})
	})
}

// newLargeScheduler returns a scheduler at the largest planned scale: 650 VMs and
// 15,100 running tasks of 36 teams and 40 templates.
func newLargeScheduler(tb testing.TB) (*scheduler.Scheduler, []structs.TaskID, *rand.Rand) {
	s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
	for i := range 650 {
		s.SetNode(vm(i))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var running []structs.TaskID
	for i := 0; len(running) < 15_100; i++ {
		id := structs.TaskID{Job: fmt.Sprint(i)}
		s.Add(randomTask(rng, id), epoch)
		if d, ok := s.Next(epoch); ok && d.Kind == scheduler.Placed {
			running = append(running, d.Task.ID)
		} else {
			require.Less(tb, i, 20_000, "the tasks do not fit")
		}
	}
	return s, running, rng
}

func randomTask(rng *rand.Rand, id structs.TaskID) scheduler.Task {
	t := scheduler.Task{ID: id, Team: fmt.Sprintf("team%d", rng.IntN(36))}
	k := rng.IntN(40)
	t.Template, t.QoS = fmt.Sprintf("template%d", k), structs.Batch
	if k < 11 {
		t.QoS = structs.LatencyCritical
	}
	t.Size = structs.Resources{MilliCPU: int64(200 + 50*(k%5)), MemoryMB: int64(500 + 200*(k%7))}
	if k == 39 {
		t.Size.Accelerators = 1
	}
	return t
}

// BenchmarkDecision measures the end of one attempt followed by one placement
// decision, with 650 VMs and 15,100 running tasks. Target: at most 50 µs.
func BenchmarkDecision(b *testing.B) {
	s, running, rng := newLargeScheduler(b)
	b.ResetTimer()
	for i := range b.N {
		k := rng.IntN(len(running))
		s.Release(running[k])
		id := structs.TaskID{Job: fmt.Sprint("b", i)}
		s.Add(randomTask(rng, id), epoch)
		d, ok := s.Next(epoch)
		if !ok {
			b.Fatal("no decision")
		}
		running[k] = d.Task.ID
	}
}

// planner is a Planner with a fixed answer.
type planner struct{ err error }

func (p *planner) Submit(scheduler.Decision) error { return p.err }

// Guards against an accepted task that is never started although VMs have room: the
// planner could not carry out its placement for a moment, and the task had left the queue.
func TestRejectedPlacementWaitsAgain(t *testing.T) {
	size := structs.Resources{MilliCPU: 500, MemoryMB: 500}
	newScheduler := func() (*scheduler.Scheduler, structs.TaskID) {
		s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
		s.SetNode(structs.Node{ID: "vm", Rack: "r", Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 4000}})
		task := scheduler.Task{ID: structs.TaskID{Job: "job"}, Team: "team"}
		task.Size = size
		require.True(t, s.Add(task, epoch))
		require.Equal(t, 1, s.Run(epoch, 10, &planner{fmt.Errorf("%w: no member list", scheduler.ErrNotNow)}))
		require.Zero(t, s.Run(epoch, 10, &planner{}), "it is tried again at once")
		return s, task.ID
	}
	s, id := newScheduler()
	s.Tick(epoch.Add(time.Second))
	require.Equal(t, 1, s.Run(epoch.Add(time.Second), 10, &planner{}))
	require.NotNil(t, s.Placed(id))

	s, id = newScheduler()
	s.Withdraw(id) // cancelled
	s.Tick(epoch.Add(time.Second))
	require.Zero(t, s.Waiting())

	s, id = newScheduler()
	require.True(t, s.Add(scheduler.Task{ID: id, Team: "team", Shape: scheduler.Shape{Size: size}}, epoch))
	s.Tick(epoch.Add(time.Second))
	require.Equal(t, 1, s.Run(epoch.Add(time.Second), 10, &planner{}))
	require.Zero(t, s.Waiting())
}
