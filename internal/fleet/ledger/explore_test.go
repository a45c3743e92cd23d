package ledger

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// The model drives a ledger with executors that receive orders late, twice or
// never, whose answers are lost, whose leases expire and that restart, and with
// leaders that are replaced at any moment and know only what was stored.

const (
	modelLease    = 4 * time.Second
	modelAttempts = 2
	modelTasks    = 3
)

// modelOrder is an order in flight to an executor, or an earlier try of one that
// may still be carried out.
type modelOrder struct {
	term     int
	instance string
	stop     bool
	start    fleet.StartOrder // of a stop: Task and Run only
	deadline time.Time
	repeat   bool // the agent tries again until there is an answer
	// The fields below are of the model with several leaders.
	uncertain bool          // a call before may have started the run
	revoke    bool          // a stop after a refusal, which is reported as revoked
	lease     time.Duration // deadline by the clock of the instance
	until     time.Duration // last deadline of a call that may start the run; 0: not known
}

// modelExecutor follows the platform's rules for runs.
type modelExecutor struct {
	name           string
	instanceNumber int // number of the instance
	agentInstance  int // instance that the agent knows
	fence          int // highest term seen
	deadline       time.Time
	running        map[fleet.TaskID]int // run numbers
	closed         map[fleet.TaskID]int // run numbers up to which no run starts any more
	ended          []fleet.End
	lapsedEnds     map[uint64]bool // ends that were not acknowledged when the lease expired
	endedAfter     map[uint64]int  // number of starts in the model before an end
	number         uint64          // of the last end
	inFlight       []modelOrder
	born           time.Time // start of the instance
	connected      bool
	// The fields below are of the model with several leaders.
	rate   float64 // of the clock
	silent bool    // it answers no calls
	deaf   bool    // it answers no orders
}

func (x *modelExecutor) instance() string { return fmt.Sprintf("%s@%d", x.name, x.instanceNumber) }

func (x *modelExecutor) instanceOfAgent() string {
	return fmt.Sprintf("%s@%d", x.name, x.agentInstance)
}

// announce reports the present instance to the agent, which gives up the orders
// for earlier ones.
func (x *modelExecutor) announce() {
	x.agentInstance = x.instanceNumber
	x.inFlight = slices.DeleteFunc(x.inFlight, func(o modelOrder) bool { return o.instance != x.instance() })
}

// modelVMs are the executors. They record what was acknowledged to them, to check later
// starts against it.
type modelVMs struct {
	t         *rapid.T
	now       time.Time
	executors []*modelExecutor
	done      map[fleet.TaskID]bool // an EndDone was acknowledged
	failures  map[fleet.TaskID]int  // number of acknowledged EndFailed
	starts    int
	lastStart map[fleet.TaskID]int // value of starts at the last start of a task
}

func newModelVMs(t *rapid.T, nodes int) *modelVMs {
	m := &modelVMs{t: t, now: start, done: map[fleet.TaskID]bool{}, failures: map[fleet.TaskID]int{}, lastStart: map[fleet.TaskID]int{}}
	for i := range nodes {
		x := &modelExecutor{name: fmt.Sprintf("vm-%d", i), connected: true}
		m.restart(x)
		m.executors = append(m.executors, x)
	}
	return m
}

// model is a ledger, its executors and what was stored.
type model struct {
	*modelVMs
	term   int
	ledger *Ledger
	jobs   []fleet.Job
	stored map[string][]byte
}

func newModel(t *rapid.T, nodes int) *model {
	m := &model{modelVMs: newModelVMs(t, nodes), stored: map[string][]byte{}, jobs: []fleet.Job{modelJob("job")}}
	m.elect()
	return m
}

func modelJob(id string) fleet.Job {
	step := fleet.Step{Count: modelTasks, Need: structs.Resources{MilliCPU: 1}}
	return fleet.Job{ID: id, Steps: []fleet.Step{step, {Count: 1, After: []int{0}}}}
}

// elect starts a new term, whose leader knows only what is stored.
func (m *model) elect() {
	m.term++
	m.ledger = New(Options{
		Takeover: m.now, MaxLease: modelLease, LongestLease: modelLease, Attempts: func(*Job) int { return modelAttempts }, Log: func(Event) {},
	})
	for _, x := range m.executors {
		m.ledger.AddNode(x.name)
	}
	for _, job := range m.jobs {
		m.ledger.AddJob(job, true, m.now)
		if value, ok := m.stored[job.ID]; ok {
			require.NoError(m.t, m.ledger.Restore(job.ID, value, 1, m.now))
		}
	}
}

func (m *modelVMs) pick() *modelExecutor {
	return m.executors[rapid.IntRange(0, len(m.executors)-1).Draw(m.t, "executor")]
}

func (m *model) node(x *modelExecutor) *Node { return m.ledger.Nodes[x.name] }

// list reports the lists of an executor to the leader and extends its lease.
func (m *model) list(x *modelExecutor) {
	if !x.connected {
		return
	}
	x.announce()
	x.fence = max(x.fence, m.term)
	var running []fleet.Running
	for _, id := range sortedTasks(x.running) {
		running = append(running, fleet.Running{Task: id, Run: x.running[id]})
	}
	e := &fleet.Executor{Instance: x.instance(), Pool: "pool", Capacity: roomy}
	m.ledger.Report(m.node(x), Report{Executor: e, Listed: true, Running: running, Ended: slices.Clone(x.ended), Results: m.answerListed(x)}, m.now)
	until := m.now.Add(modelLease)
	m.node(x).LeaseUntil = until
	if x.deadline.Before(until) {
		x.deadline = until
	}
}

// answerListed answers the start orders whose runs the executor lists. A try of
// them may still be in flight.
func (m *model) answerListed(x *modelExecutor) []Result {
	var results []Result
	for i, o := range x.inFlight {
		id, run := o.start.Task, o.start.Run
		ended := slices.ContainsFunc(x.ended, func(e fleet.End) bool { return e.Task == id && e.Run == run })
		if o.repeat && !o.stop && o.term == m.term && (x.running[id] == run || ended) {
			x.inFlight[i].repeat = false
			results = append(results, Result{Task: id, Run: run, Result: fleet.OrderDone})
		}
	}
	return results
}

// send puts the orders for an executor in flight and acknowledges stored ends.
func (m *model) send(x *modelExecutor) {
	n := m.node(x)
	if !x.connected || !n.Listed {
		return
	}
	orders, _ := n.TakeOrders()
	if orders.Instance != x.instance() {
		return
	}
	m.acknowledge(x, orders.Stored)
	for _, s := range orders.Starts {
		x.inFlight = append(x.inFlight, modelOrder{term: m.term, instance: orders.Instance, start: s, deadline: x.deadline, repeat: true})
	}
	for _, s := range orders.Stops {
		x.inFlight = append(x.inFlight, modelOrder{term: m.term, instance: orders.Instance, stop: true, start: fleet.StartOrder{Task: s.Task, Run: s.Run}, repeat: true})
	}
}

// acknowledge drops the ends up to a number and records them. It checks that no run of a
// task has started since it ended as done.
func (m *modelVMs) acknowledge(x *modelExecutor, upTo uint64) {
	x.ended = slices.DeleteFunc(x.ended, func(e fleet.End) bool {
		if e.Number > upTo {
			return false
		}
		if x.lapsedEnds[e.Number] {
			return true
		}
		switch e.Reason {
		case fleet.EndDone:
			require.LessOrEqual(m.t, m.lastStart[e.Task], x.endedAfter[e.Number], "%s has started since it was done", e.Task)
			m.done[e.Task] = true
		case fleet.EndFailed:
			m.failures[e.Task]++
		}
		return true
	})
}

// arrive carries out an order in flight; its answer may be lost.
func (m *model) arrive(x *modelExecutor) {
	if len(x.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(x.inFlight)-1).Draw(m.t, "order")
	o := x.inFlight[i]
	answered := rapid.Bool().Draw(m.t, "answered")
	live := o.repeat && o.term == m.term && x.connected
	if !live || answered {
		x.inFlight = slices.Delete(x.inFlight, i, i+1)
	}
	if live && answered && rapid.IntRange(0, 3).Draw(m.t, "late try") == 0 {
		late := o
		late.repeat = false
		x.inFlight = append(x.inFlight, late) // an earlier try may be carried out later
	}
	result := m.carryOut(x, o, live)
	if live && answered {
		e := &fleet.Executor{Instance: x.instanceOfAgent(), Pool: "pool", Capacity: roomy}
		m.ledger.Report(m.node(x), Report{Executor: e, Results: []Result{{Task: o.start.Task, Run: o.start.Run, Stop: o.stop, Result: result}}}, m.now)
	}
}

// carryOut carries out an order by the rules of the platform. It checks that a run
// that starts is the only one of its task and may still start. live reports
// whether the agent is waiting for the answer.
func (m *modelVMs) carryOut(x *modelExecutor, o modelOrder, live bool) fleet.OrderResult {
	id, run := o.start.Task, o.start.Run
	switch {
	case o.instance != x.instance() && !live:
		return fleet.OrderGone // a late try reaches only the instance that it was sent to
	case o.term < x.fence:
		return fleet.OrderFenced
	case o.stop:
		if x.running[id] > 0 && x.running[id] <= run {
			m.end(x, id, fleet.EndStopped)
		}
		x.closed[id], x.fence = max(x.closed[id], run), max(x.fence, o.term)
		return fleet.OrderDone
	case x.running[id] == run:
		return fleet.OrderDone
	case run <= x.closed[id] || x.running[id] > 0:
		return fleet.OrderOld
	case o.deadline.Before(m.now):
		return fleet.OrderLate
	}
	for _, other := range m.executors {
		require.Zero(m.t, other.running[id], "%s runs on %s and starts on %s", id, other.name, x.name)
	}
	require.False(m.t, m.done[id], "%s starts after it was done", id)
	require.Less(m.t, m.failures[id], modelAttempts, "%s starts after its last attempt", id)
	x.running[id] = run
	x.fence = max(x.fence, o.term)
	m.starts++
	m.lastStart[id] = m.starts
	modelStarts++
	return fleet.OrderDone
}

// modelStarts counts the starts of all explorations, so that a model that no
// longer starts runs fails the test.
var modelStarts int

const minModelStarts = 12000

func (m *modelVMs) end(x *modelExecutor, id fleet.TaskID, reason fleet.EndReason) {
	run := x.running[id]
	delete(x.running, id)
	x.number++
	x.closed[id], x.endedAfter[x.number] = max(x.closed[id], run), m.starts
	x.ended = append(x.ended, fleet.End{Number: x.number, Task: id, Run: run, Reason: reason})
}

// finish ends a run through its own fault or as done.
func (m *modelVMs) finish(x *modelExecutor) {
	ids := sortedTasks(x.running)
	if len(ids) == 0 {
		return
	}
	reason := rapid.SampledFrom([]fleet.EndReason{fleet.EndDone, fleet.EndDone, fleet.EndFailed}).Draw(m.t, "reason")
	m.end(x, ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "ended")], reason)
}

// advance advances the clock and ends the runs whose lease expires by then.
func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{50, 300, 1500, 4500}).Draw(m.t, "ms")) * time.Millisecond)
	m.expireLeases()
	m.ledger.Tick(m.now, m.now)
}

// expireLeases ends the runs whose lease has expired.
func (m *modelVMs) expireLeases() {
	for _, x := range m.executors {
		if !x.deadline.Before(m.now) {
			continue
		}
		for _, id := range sortedTasks(x.running) {
			m.end(x, id, fleet.EndLapsed)
		}
		for _, e := range x.ended {
			x.lapsedEnds[e.Number] = true
		}
	}
}

// plan starts ready tasks on executors chosen at random.
func (m *model) plan() {
	m.ledger.Tick(m.now, m.now)
	for _, task := range m.ledger.Ready(m.now) {
		x := m.pick()
		if x.connected && m.node(x).Listed && m.node(x).Runs[task.ID] == nil {
			m.ledger.Start(task, m.node(x), "", m.now)
		}
	}
}

// cycle is the usual sequence: lists, a plan, orders and their arrival.
func (m *model) cycle(x *modelExecutor) {
	m.list(x)
	m.plan()
	m.send(x)
	for range len(x.inFlight) {
		m.arrive(x)
	}
}

// store stores all progress.
func (m *model) store() {
	records, err := m.ledger.Dirty(10)
	require.NoError(m.t, err)
	for _, r := range records {
		m.stored[r.Job] = r.Value
	}
	m.ledger.Stored(records, 1)
}

// restart restarts an executor as a new instance.
func (m *modelVMs) restart(x *modelExecutor) {
	x.instanceNumber++
	x.fence, x.number, x.deadline, x.born, x.endedAfter = 0, 0, time.Time{}, m.now, map[uint64]int{}
	x.rate = 1
	x.running, x.closed, x.ended, x.lapsedEnds = map[fleet.TaskID]int{}, map[fleet.TaskID]int{}, nil, map[uint64]bool{}
}

func sortedTasks(tasks map[fleet.TaskID]int) []fleet.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b fleet.TaskID) int {
		return slices.Compare([]int{a.Step, a.Index}, []int{b.Step, b.Index})
	})
}

// Guards against two runs of a task at the same time, a start of a task that is
// done, and a start after its last attempt, in random interleavings of all steps of
// the model.
func TestExploreRunsOfATask(t *testing.T) {
	modelStarts = 0
	defer func() { require.Greater(t, modelStarts, minModelStarts) }()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 3).Draw(t, "executors"))
		steps := []struct {
			weight int
			run    func()
		}{
			{6, func() { m.cycle(m.pick()) }}, {3, func() { m.list(m.pick()) }}, {4, func() { m.arrive(m.pick()) }},
			{2, m.plan}, {2, func() { m.send(m.pick()) }}, {2, m.store}, {3, func() { m.finish(m.pick()) }}, {2, m.advance},
			{1, m.elect}, {1, func() { m.restart(m.pick()) }}, {2, func() { m.pick().connected = true }},
			{1, func() {
				x := m.pick()
				x.connected = false
				for i := range x.inFlight {
					x.inFlight[i].repeat = false // the agent gives up its orders
				}
				m.ledger.Disconnected(m.node(x))
			}},
		}
		var draw []func()
		for _, s := range steps {
			for range s.weight {
				draw = append(draw, s.run)
			}
		}
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			draw[rapid.IntRange(0, len(draw)-1).Draw(t, "step")]()
		}
	})
}
