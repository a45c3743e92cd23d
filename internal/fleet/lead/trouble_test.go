package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	troubleStep  = 50 * time.Millisecond
	failTime     = 150 * time.Millisecond // until a run fails on a failing VM
	shortRunTime = 850 * time.Millisecond
	// longestWait is how long a job may have nothing running while there is room for it.
	longestWait = 3 * time.Second
)

// troubleWorld plays short tasks on VMs of which some fail all that they start.
type troubleWorld struct {
	*planFixture
	failing   map[string]bool
	ends      map[string]uint64
	runningAt map[string]time.Time // when a run of a job was last listed, by job
	starts    map[string]int       // by VM
	failed    map[fleet.TaskID]int // failed runs
}

func newTroubleWorld(vms int) *troubleWorld {
	return &troubleWorld{
		planFixture: newPlanFixture(vms), failing: map[string]bool{}, ends: map[string]uint64{},
		runningAt: map[string]time.Time{}, starts: map[string]int{}, failed: map[fleet.TaskID]int{},
	}
}

// play plays the world for a time.
func (w *troubleWorld) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(troubleStep)
		for name, n := range w.ledger.Nodes {
			w.report(name, n)
		}
		w.ledger.Tick(w.now, w.now)
		w.plan.plan(w.now)
	}
}

// report reports the lists of one VM, on which the runs that are due have ended.
func (w *troubleWorld) report(name string, n *ledger.Node) {
	orders, _ := n.TakeOrders()
	w.starts[name] += len(orders.Starts)
	r := ledger.Report{Executor: w.executor(name), Listed: true}
	for id, run := range n.Runs {
		worked := w.now.Sub(run.Since)
		end := fleet.End{Task: id, Run: run.Number}
		switch {
		case w.failing[name] && worked >= failTime:
			end.Reason = fleet.EndFailed
			w.failed[id]++
		case worked >= shortRunTime && !run.Task.Step.Spec.Lasting:
			end.Reason = fleet.EndDone
		default:
			r.Running = append(r.Running, fleet.Running{Task: id, Run: run.Number, Percent: 100})
			w.runningAt[id.Job] = w.now
			continue
		}
		w.ends[name]++
		end.Number = w.ends[name]
		r.Ended = append(r.Ended, end)
	}
	w.ledger.Report(n, r, w.now)
}

// requireDone plays until a job is done, and checks that it never has nothing running for
// longestWait.
func (w *troubleWorld) requireDone(t *testing.T, job string, within time.Duration) {
	w.runningAt[job] = w.now
	for end := w.now.Add(within); w.now.Before(end) && w.ledger.Jobs[job].Final == ""; w.play(troubleStep) {
		require.Less(t, w.now.Sub(w.runningAt[job]), longestWait, "nothing of the job is running")
	}
	require.Equal(t, ledger.Done, w.ledger.Jobs[job].Final)
}

// Guards against a job that waits beside VMs that it fits and that are idle and sound again,
// because many runs have failed there, while the VMs without such failures don't meet its
// requirements or have no room.
func TestJobIsStartedOnAVMWithPastFailures(t *testing.T) {
	narrow := func() fleet.Step {
		return fleet.Step{Count: 26, Need: structs.Resources{MilliCPU: 240, MemoryMB: 480}}
	}
	for name, prepare := range map[string]func(w *troubleWorld, s *fleet.Step){
		"only VM with its label": func(w *troubleWorld, s *fleet.Step) {
			s.Label = "b"
			w.labels = map[string][]string{"vm-000": {"b"}}
		},
		"the other VM with its label is full": func(w *troubleWorld, s *fleet.Step) {
			s.Label = "b"
			w.labels = map[string][]string{"vm-000": {"b"}, "vm-001": {"b"}}
			w.submit("lasting", fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 32000, MemoryMB: 1000}, Label: "b", Lasting: true})
			lasting := w.ledger.Ready(w.now)[0]
			w.ledger.Start(lasting, w.ledger.Nodes["vm-001"], "", w.now)
		},
		"only VM with an accelerator": func(w *troubleWorld, s *fleet.Step) {
			s.Need.Accelerators = 1
			w.accelerators = map[string]int64{"vm-000": 26}
		},
		"the others are evacuated": func(w *troubleWorld, _ *fleet.Step) {
			w.domains = map[string]string{}
			for name := range w.ledger.Nodes {
				w.domains[name] = "east"
			}
			w.domains["vm-000"], w.domains["vm-001"], w.domains["vm-002"] = "west", "west", "west"
			w.submit("lasting", fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 32000, MemoryMB: 1000}, Lasting: true})
			for i, task := range w.ledger.Ready(w.now) {
				w.ledger.Start(task, w.ledger.Nodes[[]string{"vm-001", "vm-002"}[i]], "", w.now)
			}
			w.ledger.SetEvacuated(map[string]struct{}{"east": {}})
		},
		"a filling step": func(w *troubleWorld, s *fleet.Step) {
			s.Label, s.Fills, s.Image = "b", true, "render"
			w.labels = map[string][]string{"vm-000": {"b"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTroubleWorld(12)
			step := narrow()
			prepare(w, &step)
			w.play(troubleStep)
			w.failing["vm-000"] = true
			w.submit("job", step)
			w.play(700 * time.Millisecond)
			require.NotEmpty(t, w.failed)
			w.failing["vm-000"] = false
			w.requireDone(t, "job", 20*time.Second)
		})
	}
}

// Guards against attempts that are used up within a second on the only VM that a job fits,
// because its runs are started there all at once as soon as they have failed.
func TestFewTasksTryAVMOnWhichAllFails(t *testing.T) {
	const fails = 6500 * time.Millisecond
	w := newTroubleWorld(12)
	w.attempts = 3
	w.labels = map[string][]string{"vm-000": {"b"}}
	w.failing["vm-000"] = true
	w.play(troubleStep)
	w.submit("job", fleet.Step{Count: 26, Need: structs.Resources{MilliCPU: 240, MemoryMB: 480}, Label: "b"})
	w.play(fails)
	require.Empty(t, w.ledger.Jobs["job"].Final, "the executor may recover")
	require.LessOrEqual(t, w.starts["vm-000"], 2*26, "starts while everything fails")
	w.failing["vm-000"] = false
	w.requireDone(t, "job", 20*time.Second)
}
