package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// kindA is the executor that the task of requirementsFixture is placed on.
func kindA(instance string) fleet.Executor {
	return fleet.Executor{
		Instance: instance, Pool: "pool", Labels: []string{"a"}, FailureDomain: "west",
		Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 1},
	}
}

// requirementsFixture is a node with a task, which has requirements of all kinds, and the
// routes of the queues.
type requirementsFixture struct {
	*fixture
	routes map[string]string // pools by queue
	job    *Job
	stops  []RunRef // ordered and not answered
}

func newRequirementsFixture(t *testing.T) *requirementsFixture {
	w := &requirementsFixture{fixture: newFixture(t, "a"), routes: map[string]string{"queue": "pool"}}
	w.ledger.pool = func(j *Job) string { return w.routes[j.Queue] }
	w.report(kindA("a@1"))
	step := fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}, Label: "a", MaxPerVM: 1}
	w.job = w.add("job", false, step)
	return w
}

// report reports complete lists of an executor.
func (w *requirementsFixture) report(e fleet.Executor, running ...fleet.Running) {
	w.ledger.Report(w.node("a"), Report{Executor: &e, Listed: true, Running: running}, w.now)
}

// take takes the orders for the node and returns the starts.
func (w *requirementsFixture) take() []fleet.StartOrder {
	orders, _ := w.node("a").TakeOrders()
	w.stops = append(w.stops, orders.Stops...)
	return orders.Starts
}

// requireNoStart checks that no start of the first task is ordered, and that it is ready again
// once the executor is known not to run it.
func (w *requirementsFixture) requireNoStart(e fleet.Executor, running ...fleet.Running) {
	id := fleet.TaskID{Job: "job"}
	for range 4 {
		require.Empty(w.t, w.take())
		var results []Result
		for _, s := range w.stops {
			results = append(results, Result{Task: s.Task, Run: s.Run, Stop: true, Result: fleet.OrderDone})
		}
		w.stops, w.now = nil, w.now.Add(retryDelay)
		w.ledger.Report(w.node("a"), Report{Executor: &e, Listed: true, Running: running, Results: results}, w.now)
	}
	w.now = w.now.Add(retryDelay)
	require.Contains(w.t, w.ready(), id)
}

// Guards against a start on an executor that does not meet the requirements of the task (any
// more): each way to the order of a start, beside each change since the VM was chosen.
func TestEveryStartMeetsTheRequirements(t *testing.T) {
	second := fleet.TaskID{Job: "job", Index: 1}
	changes := map[string]func(w *requirementsFixture, e *fleet.Executor) []fleet.Running{
		"label":  func(_ *requirementsFixture, e *fleet.Executor) []fleet.Running { e.Labels = []string{"b"}; return nil },
		"pool":   func(_ *requirementsFixture, e *fleet.Executor) []fleet.Running { e.Pool = "other"; return nil },
		"cpu":    func(_ *requirementsFixture, e *fleet.Executor) []fleet.Running { e.Capacity.MilliCPU = 900; return nil },
		"memory": func(_ *requirementsFixture, e *fleet.Executor) []fleet.Running { e.Capacity.MemoryMB = 900; return nil },
		"accelerators": func(_ *requirementsFixture, e *fleet.Executor) []fleet.Running {
			e.Capacity.Accelerators = 0
			return nil
		},
		"route": func(w *requirementsFixture, _ *fleet.Executor) []fleet.Running {
			w.routes["queue"] = "other"
			return nil
		},
		"evacuated": func(w *requirementsFixture, _ *fleet.Executor) []fleet.Running {
			w.ledger.SetEvacuated(evacuated("west"))
			return nil
		},
		"limit per VM": func(*requirementsFixture, *fleet.Executor) []fleet.Running { // by a run that is carried out late
			return runningOf(second, 1)
		},
		"room of a run that is not known": func(*requirementsFixture, *fleet.Executor) []fleet.Running {
			return runningOf(taskOf("unknown"), 1)
		},
	}
	ways := map[string]func(w *requirementsFixture, change func(instance string)){
		"first order": func(w *requirementsFixture, change func(string)) {
			w.start("a")
			change("a@1")
		},
		"held until the term is confirmed": func(w *requirementsFixture, change func(string)) {
			w.ledger.HoldStarts(w.node("a"))
			w.start("a")
			w.take()
			change("a@1")
			w.take()
			w.ledger.ReleaseStarts(w.node("a"))
		},
		"next session": func(w *requirementsFixture, change func(string)) {
			w.start("a")
			w.take()
			w.ledger.Disconnected(w.node("a"))
			change("a@1")
		},
		"next instance": func(w *requirementsFixture, change func(string)) {
			w.start("a")
			w.take()
			change("a@2")
			w.store() // the crash
		},
		"next instance, the first has answered": func(w *requirementsFixture, change func(string)) {
			w.start("a")
			w.take()
			w.ledger.applyResult(w.node("a"), Result{Task: taskOf("job"), Run: 1, Result: fleet.OrderDone}, w.now)
			change("a@2")
			w.store()
		},
		"once the crash is stored": func(w *requirementsFixture, change func(string)) {
			w.start("a")
			w.take()
			w.report(kindA("a@2"))
			require.NotEmpty(w.t, w.job.deferred)
			change("a@2")
			w.store()
		},
	}
	for way, order := range ways {
		for change, apply := range changes {
			t.Run(way+", "+change, func(t *testing.T) {
				w := newRequirementsFixture(t)
				var e fleet.Executor
				var running []fleet.Running
				order(w, func(instance string) {
					e = kindA(instance)
					running = apply(w, &e)
					w.report(e, running...)
				})
				w.requireNoStart(e, running...)
			})
		}
		t.Run(way+", nothing", func(t *testing.T) {
			w := newRequirementsFixture(t)
			order(w, func(instance string) { w.report(kindA(instance)) })
			require.Len(t, w.take(), 1, "the executor is as it was")
		})
	}
}

// Guards against more than an executor holds that is back with less capacity, and against starts
// that are withdrawn although there is room for all.
func TestStartsAreRepeatedIfAllFit(t *testing.T) {
	for capacity, starts := range map[int64]int{8000: 4, 7000: 0} {
		w := newFixture(t, "a")
		w.list("a", nil)
		w.add("job", false, fleet.Step{Count: 4, Need: structs.Resources{MilliCPU: 2000, MemoryMB: 100}})
		for range 4 {
			w.start("a")
		}
		w.node("a").TakeOrders()
		w.ledger.Disconnected(w.node("a"))
		e := w.node("a").Executor
		e.Capacity.MilliCPU = capacity
		w.ledger.Report(w.node("a"), Report{Executor: &e, Listed: true}, w.now)
		orders, _ := w.node("a").TakeOrders()
		require.Len(t, orders.Starts, starts)
		require.Len(t, orders.Stops, 4-starts, "each may have been carried out")
	}
}

// Guards against the stop of a run that has been at work while its agent was out of reach, because
// the first report of the next session comes without lists.
func TestRunThatTheFirstListsConfirmGoesOn(t *testing.T) {
	w := newRequirementsFixture(t)
	w.start("a")
	w.take()
	w.ledger.Disconnected(w.node("a"))
	w.ledger.SetEvacuated(evacuated("west"))
	e := kindA("a@1")
	w.ledger.Report(w.node("a"), Report{Executor: &e}, w.now)
	w.report(e, runningOf(fleet.TaskID{Job: "job"}, 1)...)
	require.Empty(t, w.take())
	require.Empty(t, w.stops)
	require.Equal(t, Running, w.node("a").Runs[fleet.TaskID{Job: "job"}].State)
}
