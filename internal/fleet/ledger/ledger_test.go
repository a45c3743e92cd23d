package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

var start = time.Unix(1_800_000_000, 0)

const maxLease = 10 * time.Second

// roomy is the capacity of executors that hold all tasks of a test.
var roomy = structs.Resources{MilliCPU: 8000, MemoryMB: 8000}

// fixture is a ledger whose nodes send the reports that a test builds.
type fixture struct {
	t      *testing.T
	ledger *Ledger
	now    time.Time
	ends   map[string]uint64
}

func newFixture(t *testing.T, nodes ...string) *fixture {
	w := &fixture{t: t, now: start, ends: map[string]uint64{}}
	w.ledger = New(Options{Takeover: start, MaxLease: maxLease, LongestLease: maxLease, Attempts: func(*Job) int { return 2 }, Log: func(Event) {}})
	for _, n := range nodes {
		w.ledger.AddNode(n)
	}
	return w
}

func (w *fixture) node(name string) *Node { return w.ledger.Nodes[name] }

// list reports complete lists of a node.
func (w *fixture) list(name string, running []fleet.Running, ended ...fleet.End) {
	e := &fleet.Executor{Instance: name + "@1", Pool: "pool", Capacity: roomy}
	w.ledger.Report(w.node(name), Report{Executor: e, Listed: true, Running: running, Ended: ended}, w.now)
	w.ledger.Tick(w.now, w.now)
}

func (w *fixture) end(node string, task fleet.TaskID, run int, reason fleet.EndReason) fleet.End {
	w.ends[node]++
	return fleet.End{Number: w.ends[node], Task: task, Run: run, Reason: reason}
}

func (w *fixture) add(id string, inherited bool, steps ...fleet.Step) *Job {
	return w.ledger.AddJob(fleet.Job{ID: id, Queue: "queue", Steps: steps}, inherited, w.now)
}

func (w *fixture) ready() []fleet.TaskID {
	var ids []fleet.TaskID
	for _, t := range w.ledger.Ready(w.now) {
		ids = append(ids, t.ID)
	}
	return ids
}

func (w *fixture) store() {
	records, err := w.ledger.Dirty(100)
	require.NoError(w.t, err)
	w.ledger.Stored(records, 7)
}

// stored returns the number up to which the ends of a node are acknowledged.
func (w *fixture) stored(node string) uint64 {
	o, _ := w.node(node).TakeOrders()
	return o.Stored
}

// start orders a run of the first ready task.
func (w *fixture) start(node string) {
	w.ledger.Start(w.ledger.Ready(w.now)[0], w.node(node), "", w.now)
}

func one() fleet.Step {
	return fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 1000, MemoryMB: 100}}
}

func taskOf(job string) fleet.TaskID { return fleet.TaskID{Job: job} }

func runningOf(id fleet.TaskID, run int) []fleet.Running {
	return []fleet.Running{{Task: id, Run: run}}
}

// Guards against two runs of a task when an executor lists a run, which an earlier
// leader started, before the new leader knows the job.
func TestRunListedBeforeItsJobIsKnown(t *testing.T) {
	w := newFixture(t, "a", "b")
	id := taskOf("late")
	w.list("a", runningOf(id, 1))
	w.list("b", nil)
	w.add("late", true, one())
	require.Empty(t, w.ready(), "the run of the earlier leader has not ended")
	w.list("a", nil, w.end("a", id, 1, fleet.EndStopped))
	require.Equal(t, []fleet.TaskID{id}, w.ready())
}

// Guards against a task that runs again after it was done under an earlier leader, because
// the end was listed, and acknowledged, before the new leader knew the job.
func TestEndListedBeforeItsJobIsKnown(t *testing.T) {
	w := newFixture(t, "a", "b")
	id := taskOf("late")
	w.list("a", nil, w.end("a", id, 1, fleet.EndDone))
	w.list("b", nil)
	require.Zero(t, w.stored("a"), "the next leader would not hear of the end")
	job := w.add("late", true, one())
	require.Empty(t, w.ready(), "the task is done")
	require.Equal(t, Done, job.Final)
	require.Zero(t, w.stored("a"), "the end is not stored")
	w.store()
	require.EqualValues(t, 1, w.stored("a"))
}

// Guards against more runs than attempts when failed ends are listed before their job is
// known.
func TestFailuresListedBeforeTheirJobIsKnownCount(t *testing.T) {
	w := newFixture(t, "a", "b")
	id := taskOf("late")
	w.list("a", nil, w.end("a", id, 1, fleet.EndFailed))
	w.list("b", nil, w.end("b", id, 2, fleet.EndFailed))
	job := w.add("late", true, one())
	require.Equal(t, Failed, job.Final)
}

// Guards against ends that are kept for good because their job was removed: an executor
// lists a limited number of them.
func TestEndOfARemovedJobIsAcknowledged(t *testing.T) {
	w := newFixture(t, "a")
	known := taskOf("known")
	w.add("known", true, one())
	w.list("a", nil, w.end("a", taskOf("removed"), 1, fleet.EndDone), w.end("a", known, 1, fleet.EndDone))
	w.store()
	w.ledger.JobsKnown(w.now)
	require.Zero(t, w.stored("a"), "the job may have been stored just before the list")
	w.ledger.JobsKnown(w.now.Add(time.Nanosecond))
	require.EqualValues(t, 2, w.stored("a"))
}

// Guards against ends of a new instance that are acknowledged before they are stored,
// because the one before had listed more of them.
func TestEndOfAnEarlierInstanceListedBeforeItsJobIsKnown(t *testing.T) {
	w := newFixture(t, "a")
	id := taskOf("late")
	w.ends["a"] = 8
	w.listInstance("a", 1, nil, w.end("a", id, 1, fleet.EndDone))
	w.ends["a"] = 0
	w.listInstance("a", 2, nil, w.end("a", taskOf("other"), 1, fleet.EndDone))
	job := w.add("late", true, one())
	require.Equal(t, Done, job.Final)
	w.store()
	require.Zero(t, w.stored("a"))
	w.add("other", true, one())
	w.store()
	require.EqualValues(t, 1, w.stored("a"))
}

// Guards against a run after the last attempt when a new leader reads the failed
// ends of two runs in the order of the nodes instead of the runs.
func TestFailuresReadOutOfOrderCountBoth(t *testing.T) {
	w := newFixture(t, "a", "b")
	id := taskOf("poison")
	job := w.add("poison", true, one())
	w.list("b", nil, w.end("b", id, 2, fleet.EndFailed))
	w.list("a", nil, w.end("a", id, 1, fleet.EndFailed))
	require.Empty(t, w.ready())
	require.Equal(t, Failed, job.Final)
}

// Guards against a failure that is counted twice: a new leader restores it from
// the store, and the executor lists its end again.
func TestStoredFailureIsNotCountedAgain(t *testing.T) {
	w := newFixture(t, "a")
	id := taskOf("job")
	w.add("job", false, one())
	w.list("a", nil)
	w.start("a")
	failed := w.end("a", id, 1, fleet.EndFailed)
	w.list("a", nil, failed)
	records, err := w.ledger.Dirty(10)
	require.NoError(t, err)
	require.Len(t, records, 1)

	next := newFixture(t, "a")
	job := next.add("job", true, one())
	require.NoError(t, next.ledger.Restore("job", records[0].Value, 9, next.now))
	next.list("a", nil, failed)
	require.Empty(t, job.Final)
	require.Equal(t, []fleet.TaskID{id}, next.ready())
}

// Guards against the same of a run that ended beside another one of its number, by a leader
// that did not know of it.
func TestStoredLateFailureIsNotCountedAgain(t *testing.T) {
	w := newFixture(t, "a", "b")
	id := taskOf("job")
	w.add("job", false, one())
	w.list("a", nil)
	w.start("a")
	failed := w.end("b", id, 1, fleet.EndFailed)
	w.list("b", nil, failed)
	records, err := w.ledger.Dirty(10)
	require.NoError(t, err)
	require.Len(t, records, 1)

	next := newFixture(t, "a", "b")
	job := next.add("job", true, one())
	require.NoError(t, next.ledger.Restore("job", records[0].Value, 9, next.now))
	next.list("b", nil, failed)
	require.Empty(t, job.Final)
	next.list("a", nil, next.end("a", id, 1, fleet.EndFailed))
	require.Equal(t, Failed, job.Final, "the other run failed too")
}

// Guards against a start elsewhere while an executor that does not answer may
// still run the task for an earlier leader.
func TestInheritedTaskWaitsForUnknownExecutors(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("old", true, one())
	w.list("a", nil)
	require.Empty(t, w.ready())
	w.now = start.Add(maxLease + time.Millisecond)
	w.ledger.Tick(w.now, w.now)
	require.Len(t, w.ready(), 1, "every lease of the earlier leader has expired")
}

// Guards against a job that waits for the takeover to settle although no earlier
// leader can have started it.
func TestNewJobStartsBeforeTheTakeoverSettles(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("new", false, one())
	w.list("a", nil)
	require.Len(t, w.ready(), 1)
}

// Guards against a second run while the lease of the first may not have expired.
func TestTaskOfSilentNodeWaitsForItsLease(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").LeaseUntil = start.Add(4 * time.Second)
	w.ledger.Disconnected(w.node("a"))
	w.now = start.Add(3900 * time.Millisecond)
	w.ledger.Tick(w.now, w.now)
	require.Empty(t, w.ready())
	w.now = start.Add(4100 * time.Millisecond)
	w.ledger.Tick(w.now, w.now)
	require.Len(t, w.ready(), 1)
}

// Guards against a second run when a start was sent twice, the first try was
// carried out without an answer, and the second was refused.
func TestRevokedStartWaitsForItsEnd(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	w.start("a")
	id := taskOf("job")
	e := w.node("a").Executor
	w.ledger.Report(w.node("a"), Report{Executor: &e, Results: []Result{{Task: id, Run: 1, Result: fleet.OrderRevoked}}}, w.now)
	require.Empty(t, w.ready())
	w.list("a", runningOf(id, 1))
	w.list("a", runningOf(id, 1))
	w.list("a", runningOf(id, 1))
	require.Empty(t, w.ready(), "it is being stopped")
	w.list("a", nil, w.end("a", id, 1, fleet.EndStopped))
	require.Len(t, w.ready(), 1)
}

// Guards against a task that waits for ever after a start that was refused as old
// although the executor lists no end.
func TestRefusedStartIsGivenUpAfterTwoLists(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	e := w.node("a").Executor
	w.ledger.Report(w.node("a"), Report{Executor: &e, Results: []Result{{Task: taskOf("job"), Run: 1, Result: fleet.OrderOld}}}, w.now)
	w.list("a", nil)
	require.Empty(t, w.ready(), "the first lists may be older than the refusal")
	w.list("a", nil)
	w.now = w.now.Add(time.Second)
	require.Len(t, w.ready(), 1)
}

// Guards against an end that is acknowledged, or a final state that is shown,
// before it is stored.
func TestNothingIsShownBeforeItIsStored(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	job := w.add("job", false, one())
	w.start("a")
	w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndDone))
	orders, _ := w.node("a").TakeOrders()
	require.Zero(t, orders.Stored)
	require.Equal(t, Active, job.VisibleState())
	w.store()
	orders, _ = w.node("a").TakeOrders()
	require.EqualValues(t, 1, orders.Stored)
	require.Equal(t, Done, job.VisibleState())
}

// Guards against a job that an earlier leader shows as cancelled and the next one as done.
func TestCancelledIsShownOnceItIsStored(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	job := w.add("job", false, one())
	w.start("a")
	w.list("a", runningOf(taskOf("job"), 1))
	w.store()
	require.True(t, w.ledger.Cancel("job", w.now))
	require.Equal(t, Active, job.VisibleState())
	w.store()
	require.Equal(t, Cancelled, job.VisibleState())
}

// Guards against a step that starts before the steps that it depends on are done.
func TestStepWaitsForTheStepsBefore(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	after := one()
	after.After = []int{0}
	two := one()
	two.Count = 2
	w.add("job", false, two, after)
	for _, task := range w.ledger.Ready(w.now) {
		w.ledger.Start(task, w.node("a"), "", w.now)
	}
	last := fleet.TaskID{Job: "job", Step: 1}
	w.list("a", nil, w.end("a", fleet.TaskID{Job: "job", Index: 0}, 1, fleet.EndDone))
	require.NotContains(t, w.ready(), last)
	w.list("a", nil, w.end("a", fleet.TaskID{Job: "job", Index: 1}, 1, fleet.EndDone))
	require.Equal(t, []fleet.TaskID{last}, w.ready())
}

// Guards against a lasting task that is not restarted after some kind of end.
func TestLastingTaskIsRestartedHoweverItEnds(t *testing.T) {
	for _, reason := range []fleet.EndReason{fleet.EndDone, fleet.EndFailed, fleet.EndStopped, fleet.EndLapsed} {
		w := newFixture(t, "a")
		w.list("a", nil)
		lasting := one()
		lasting.Lasting = true
		w.add("feed", false, lasting)
		for run := 1; run <= 4; run++ {
			ready := w.ledger.Ready(w.now)
			require.Len(t, ready, 1, reason)
			w.ledger.Start(ready[0], w.node("a"), "", w.now)
			w.list("a", nil, w.end("a", taskOf("feed"), run, reason))
		}
	}
}

// Guards against runs of a cancelled job that go on, including those that an
// executor starts only after the cancellation.
func TestCancelledJobIsStoppedAlsoWhereItStartsLate(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	job := w.add("job", false, one())
	w.start("a")
	w.node("a").TakeOrders()
	require.True(t, w.ledger.Cancel("job", w.now))
	require.Equal(t, Cancelled, job.Final)
	orders, _ := w.node("a").TakeOrders()
	require.Equal(t, []RunRef{{taskOf("job"), 1}}, orders.Stops)
	w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndStopped))
	w.list("a", runningOf(taskOf("job"), 2))
	orders, _ = w.node("a").TakeOrders()
	require.Equal(t, []RunRef{{taskOf("job"), 2}}, orders.Stops)
}

// Guards against a job that runs although its cancellation reached the ledger first.
func TestJobCancelledBeforeItIsKnownDoesNotRun(t *testing.T) {
	w := newFixture(t, "a")
	require.False(t, w.ledger.Cancel("job", w.now))
	job := w.add("job", false, one())
	require.Equal(t, Cancelled, job.Final)
	require.Empty(t, w.ready())
}

// Guards against a final state that is lost, or written on the wrong revision, when a
// new leader reads the cancellation of a job before its progress.
func TestCancellationReadBeforeTheProgressIsStored(t *testing.T) {
	w := newFixture(t, "a")
	w.ledger.Cancel("job", w.now)
	w.add("job", true, fleet.Step{Count: 2})
	require.NoError(t, w.ledger.Restore("job", []byte(`{"tasks":[{"r":1,"d":true}]}`), 5, w.now))
	require.Equal(t, Cancelled, w.ledger.Jobs["job"].Final)
	records, err := w.ledger.Dirty(1)
	require.NoError(t, err)
	require.Len(t, records, 1)
	require.EqualValues(t, 5, records[0].Revision)
	require.JSONEq(t, `{"final":"cancelled"}`, string(records[0].Value))
}

// Guards against memory that grows with cancellations of jobs that are gone.
func TestCancellationOfAJobThatNeverComesIsDropped(t *testing.T) {
	w := newFixture(t)
	w.ledger.Cancel("gone", w.now)
	w.ledger.Forget(time.Minute, w.now.Add(time.Minute))
	require.Len(t, w.ledger.cancelledEarly, 1)
	w.ledger.Forget(time.Minute, w.now.Add(time.Minute+1))
	require.Empty(t, w.ledger.cancelledEarly)
}

// Guards against tasks that never start again after their executor is replaced by
// a new instance.
func TestNewInstanceOfAnExecutorFreesItsTasks(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	w.ledger.Report(w.node("a"), Report{Executor: &w.node("a").Executor, Results: []Result{{Task: taskOf("job"), Run: 1, Result: fleet.OrderDone}}}, w.now)
	w.list("a", runningOf(taskOf("job"), 1))
	w.ledger.Report(w.node("a"), Report{Executor: &fleet.Executor{Instance: "a@2", Capacity: roomy}, Listed: true}, w.now)
	w.store()
	require.Len(t, w.ready(), 1)
	require.Empty(t, w.node("a").Runs)
}

// Guards against a second run of a task when the agent still repeats its order
// while a new instance of the executor starts under the same id and carries it out.
func TestUnlistedRunIsOrderedFromTheNewInstance(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").TakeOrders()
	e := &fleet.Executor{Instance: "a@2", Capacity: roomy}
	w.ledger.Report(w.node("a"), Report{Executor: e}, w.now)
	require.Empty(t, w.ready(), "the order may have started the run")
	w.ledger.Report(w.node("a"), Report{Executor: e, Listed: true}, w.now)
	require.Empty(t, w.ready())
	w.store()
	orders, _ := w.node("a").TakeOrders()
	require.Len(t, orders.Starts, 1)
	require.Equal(t, 1, orders.Starts[0].Run)
	w.ledger.Report(w.node("a"), Report{Executor: e, Listed: true, Running: runningOf(taskOf("job"), 1)}, w.now)
	require.Equal(t, Running, w.node("a").Runs[taskOf("job")].State)
}

// Guards against orders that are lost with the session that carried them and are
// not sent again.
func TestOrdersAreRepeatedAfterAReconnection(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").TakeOrders()
	w.ledger.Disconnected(w.node("a"))
	w.list("a", nil)
	orders, _ := w.node("a").TakeOrders()
	require.Len(t, orders.Starts, 1)
	require.Equal(t, 1, orders.Starts[0].Run)
}

// Guards against a run that goes on after its job was cancelled because its stop order
// was lost with the session, while the executor lists it.
func TestStopOfAListedRunIsRepeatedAfterAReconnection(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	w.list("a", runningOf(taskOf("job"), 1))
	require.True(t, w.ledger.Cancel("job", w.now))
	w.node("a").TakeOrders()
	w.ledger.Disconnected(w.node("a"))
	w.list("a", runningOf(taskOf("job"), 1))
	orders, _ := w.node("a").TakeOrders()
	require.Equal(t, []RunRef{{taskOf("job"), 1}}, orders.Stops)
	w.list("a", runningOf(taskOf("job"), 1))
	orders, _ = w.node("a").TakeOrders()
	require.Empty(t, orders.Stops, "the agent repeats it within the session")
}

// Guards against a cancelled job that runs on in a session in which its stop was refused
// or had no effect.
func TestStopWithoutEffectIsRepeated(t *testing.T) {
	for _, answer := range []fleet.OrderResult{fleet.OrderDone, fleet.OrderFenced, fleet.OrderGone, fleet.OrderRejected} {
		w := newFixture(t, "a")
		w.list("a", nil)
		w.add("job", false, one())
		w.start("a")
		ref := RunRef{taskOf("job"), 1}
		w.list("a", runningOf(ref.Task, ref.Run))
		require.True(t, w.ledger.Cancel("job", w.now))
		w.node("a").TakeOrders()
		w.ledger.Report(w.node("a"), Report{Executor: &w.node("a").Executor, Results: []Result{{Task: ref.Task, Run: ref.Run, Stop: true, Result: answer}}}, w.now)
		repeated := 0
		for end := w.now.Add(4 * time.Second); w.now.Before(end); w.now = w.now.Add(300 * time.Millisecond) {
			w.list("a", runningOf(ref.Task, ref.Run))
			orders, _ := w.node("a").TakeOrders()
			repeated += len(orders.Stops)
		}
		require.Equal(t, 2, repeated, "answer %d", answer)
	}
}

// Guards against a filling task that stays paused because the order to work at full pace
// was lost with a session.
func TestFullPaceIsOrderedAgainAfterAReconnection(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	w.list("a", runningOf(taskOf("job"), 1))
	run := w.node("a").Runs[taskOf("job")]
	w.ledger.Pace(run, 0, w.now)
	w.ledger.Pace(run, 100, w.now)
	w.node("a").TakeOrders()
	w.ledger.Disconnected(w.node("a"))
	w.list("a", runningOf(taskOf("job"), 1))
	w.ledger.Pace(run, 100, w.now)
	orders, _ := w.node("a").TakeOrders()
	require.Equal(t, []PaceOrder{{RunRef{taskOf("job"), 1}, 100}}, orders.Paces)
}

// Guards against an end that is listed again and acknowledged before it is stored.
func TestEndWithoutEffectWaitsForTheProgress(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one(), one())
	w.start("a")
	end := w.end("a", taskOf("job"), 1, fleet.EndDone)
	w.list("a", runningOf(taskOf("job"), 1))
	w.list("a", nil, end)
	w.ledger.RemoveNode("a")
	w.ledger.AddNode("a")
	w.list("a", nil, end)
	orders, _ := w.node("a").TakeOrders()
	require.Zero(t, orders.Stored)
	w.store()
	orders, _ = w.node("a").TakeOrders()
	require.Equal(t, end.Number, orders.Stored)
}

// Guards against progress that a new leader reads differently from what the
// earlier one stored.
func TestProgressSurvivesALeader(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	steps := []fleet.Step{{Count: 3, Need: one().Need}, {Count: 1, Need: one().Need, After: []int{0}}}
	w.add("job", false, steps...)
	for _, task := range w.ledger.Ready(w.now) {
		w.ledger.Start(task, w.node("a"), "", w.now)
	}
	checkpointed := w.end("a", fleet.TaskID{Job: "job", Index: 1}, 1, fleet.EndStopped)
	checkpointed.Checkpoint = "saved"
	w.list("a", nil, w.end("a", fleet.TaskID{Job: "job"}, 1, fleet.EndDone), checkpointed)
	records, err := w.ledger.Dirty(10)
	require.NoError(t, err)
	require.Len(t, records, 1)

	next := newFixture(t, "a")
	next.add("job", true, steps...)
	require.NoError(t, next.ledger.Restore("job", records[0].Value, 9, next.now))
	next.list("a", nil)
	require.Equal(t, []fleet.TaskID{{Job: "job", Index: 1}, {Job: "job", Index: 2}}, next.ready())
	task := next.ledger.taskByID(fleet.TaskID{Job: "job", Index: 1})
	require.Equal(t, "saved", task.Checkpoint)
	require.Equal(t, 1, task.LastRun)
}

// Guards against a run after the last attempt when a new leader adopts a later
// run of the task before it reads the failed end of an earlier one elsewhere.
func TestFailureReadBesideALaterRunCounts(t *testing.T) {
	w := newFixture(t, "a", "b")
	id := taskOf("poison")
	job := w.add("poison", true, one())
	w.list("b", runningOf(id, 2))
	w.list("a", nil, w.end("a", id, 1, fleet.EndFailed))
	require.Empty(t, job.Final)

	records, err := w.ledger.Dirty(10)
	require.NoError(t, err)
	require.Len(t, records, 1, "the failure is stored before it is acknowledged")
	next := newFixture(t, "b")
	again := next.add("poison", true, one())
	require.NoError(t, next.ledger.Restore("poison", records[0].Value, 9, next.now))
	next.list("b", nil, fleet.End{Number: 1, Task: id, Run: 2, Reason: fleet.EndFailed})
	require.Equal(t, Failed, again.Final)

	w.list("b", nil, w.end("b", id, 2, fleet.EndFailed))
	require.Equal(t, Failed, job.Final)
	require.Empty(t, w.ready())
}

// Guards against a task that is run again after it was done: two runs on different
// VMs have the same number, and the end of the one that lapsed is read first.
func TestDoneEndReadAfterALapsedOneOfItsNumberCounts(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("job", true, one())
	w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndLapsed))
	w.list("b", nil, w.end("b", taskOf("job"), 1, fleet.EndDone))
	require.Empty(t, w.ready())
	require.Equal(t, Done, w.ledger.Jobs["job"].Final)
}

// Guards against a task that never starts again, or starts again after it was
// done, because its run has the number of an ended run on another VM.
func TestRunWithTheNumberOfAnEndedOneGoesOn(t *testing.T) {
	for reason, ready := range map[fleet.EndReason]int{fleet.EndDone: 0, fleet.EndStopped: 1} {
		w := newFixture(t, "a", "b")
		w.add("job", true, one())
		w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndLapsed))
		w.list("b", runningOf(taskOf("job"), 1))
		require.Empty(t, w.ready())
		require.Equal(t, Running, w.node("b").Runs[taskOf("job")].State)
		w.list("b", nil, w.end("b", taskOf("job"), 1, reason))
		require.Len(t, w.ready(), ready, reason)
	}
}

// Guards against a task that never starts again because its run was on a VM whose
// registration was removed, whether or not the VM comes back.
func TestRunOnARemovedVM(t *testing.T) {
	for _, back := range []bool{false, true} {
		w := newFixture(t, "a")
		w.list("a", nil)
		w.add("job", false, one())
		w.start("a")
		w.ledger.RemoveNode("a")
		require.Empty(t, w.ready(), "it may run")
		if back {
			w.ledger.AddNode("a")
			w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndStopped))
			require.Len(t, w.ready(), 1)
			continue
		}
		w.now = w.now.Add(maxLease + time.Second)
		w.ledger.Tick(w.now, w.now)
		require.Len(t, w.ready(), 1)
		require.Nil(t, w.node("a"))
	}
}

// Guards against a job that does not count as waiting although its orders have
// reached no executor, because the chosen VMs are out of reach.
func TestJobWaitsUntilARunIsConfirmed(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	for _, id := range []string{"answered", "listed"} {
		w.add(id, false, one())
	}
	for i, task := range w.ledger.Ready(w.now) {
		w.ledger.Start(task, w.node([]string{"a", "b"}[i]), "", w.now)
	}
	require.Equal(t, 2, w.ledger.Waiting("queue"))
	require.Equal(t, Queued, w.ledger.Jobs["listed"].VisibleState())
	w.ledger.Report(w.node("a"), Report{Executor: &w.node("a").Executor, Results: []Result{{Task: taskOf("answered"), Run: 1, Result: fleet.OrderDone}}}, w.now)
	require.Equal(t, 1, w.ledger.Waiting("queue"))
	w.list("b", runningOf(taskOf("listed"), 1))
	require.Zero(t, w.ledger.Waiting("queue"))
}

// Guards against tasks that wait for the longest lease although the agent of an
// executor that does not answer reports that its lease has expired.
func TestLapsedExecutorSettlesTheTakeover(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("old", true, one())
	w.list("a", nil)
	b := w.node("b")
	w.ledger.Report(b, Report{Executor: &fleet.Executor{Instance: "b@1", Pool: "pool", Capacity: roomy}, Lapsed: true}, w.now)
	w.ledger.Tick(w.now, w.now)
	require.Len(t, w.ready(), 1)
}

// Guards against trust in an expired lease that was reported in an earlier session.
func TestLapseIsForgottenWithTheSession(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("old", true, one())
	w.list("a", nil)
	b := w.node("b")
	w.ledger.Report(b, Report{Executor: &fleet.Executor{Instance: "b@1", Pool: "pool", Capacity: roomy}, Lapsed: true}, w.now)
	w.ledger.Disconnected(b)
	w.ledger.Tick(w.now, w.now)
	require.Empty(t, w.ready())
}

// Guards against a task that counts twice as done, so that its step ends while other
// tasks have not: a second run of it, started by an earlier leader, also ends as done.
func TestSecondDoneEndOfATaskHasNoEffect(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := New(Options{Takeover: now, Attempts: func(*Job) int { return 3 }, Log: func(Event) {}})
	job := l.AddJob(fleet.Job{ID: "job", Steps: []fleet.Step{{Count: 2}, {Count: 1, After: []int{0}}}}, true, now)
	for i, name := range []string{"vm-1", "vm-2"} {
		n := l.AddNode(name)
		e := &fleet.Executor{Instance: name}
		l.Report(n, Report{Executor: e, Listed: true, Ended: []fleet.End{{Number: 1, Task: fleet.TaskID{Job: "job"}, Run: 1 + i, Reason: fleet.EndDone}}}, now)
	}
	require.Equal(t, 1, job.Occurrences[0].Steps[0].Left)
	require.Len(t, l.Ready(now.Add(time.Minute)), 0, "the job is inherited and not settled")
	l.Tick(now, now)
	for _, task := range l.Ready(now) {
		require.Equal(t, 0, task.ID.Step)
	}
}

// Guards against an end that is acknowledged before the final state of its job is
// stored: the next leader would start the task again. And against tasks and records of
// ended jobs that fill the leader and the store.
func TestEndOfAFinalJobWaitsForItsState(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := New(Options{Takeover: now, Attempts: func(*Job) int { return 1 }, Log: func(Event) {}})
	n := l.AddNode("vm")
	e := &fleet.Executor{Instance: "vm"}
	l.Report(n, Report{Executor: e, Listed: true}, now)
	job := l.AddJob(fleet.Job{ID: "job", Spec: "spec", Steps: []fleet.Step{{Count: 2}}}, false, now)
	for _, task := range l.Ready(now) {
		l.Start(task, n, "", now)
	}
	end := func(index int, reason fleet.EndReason) fleet.End {
		return fleet.End{Number: uint64(index + 1), Task: fleet.TaskID{Job: "job", Index: index}, Run: 1, Reason: reason}
	}
	l.Report(n, Report{Executor: e, Listed: true, Ended: []fleet.End{end(0, fleet.EndFailed)}}, now)
	require.Equal(t, Failed, job.Final)
	l.Report(n, Report{Executor: e, Listed: true, Ended: []fleet.End{end(1, fleet.EndDone)}}, now)
	orders, _ := n.TakeOrders()
	require.Zero(t, orders.Stored)
	records, err := l.Dirty(10)
	require.NoError(t, err)
	require.Len(t, records, 1)
	l.Stored(records, 7)
	orders, some := n.TakeOrders()
	require.True(t, some)
	require.EqualValues(t, 2, orders.Stored)
	require.Zero(t, l.Unstored(), "the second end changes no record")
	require.Empty(t, job.Occurrences)
	require.Equal(t, Failed, job.VisibleState())
}

// Guards against a second run of a task whose VM follows a later leader, which has
// extended the lease that this leader takes for expired.
func TestLapseIsNoProofForATermThatIsNotConfirmedSince(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").LeaseUntil = start.Add(4 * time.Second)
	w.ledger.Disconnected(w.node("a"))
	w.now = start.Add(4100 * time.Millisecond)
	require.True(t, w.ledger.Tick(w.now, start.Add(3900*time.Millisecond)), "a confirmation is waited for")
	require.Empty(t, w.ready())
	require.False(t, w.ledger.Tick(w.now, w.now))
	require.Len(t, w.ready(), 1)
}

// Guards against a takeover that settles by leases of an earlier leader which a later one
// may have extended.
func TestTakeoverDoesNotSettleByLeasesForATermThatIsNotConfirmedSince(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("old", true, one())
	w.list("a", nil)
	w.now = start.Add(maxLease + time.Second)
	require.True(t, w.ledger.Tick(w.now, start.Add(maxLease-time.Second)))
	require.Empty(t, w.ready())
	require.False(t, w.ledger.Tick(w.now, w.now))
	require.Len(t, w.ready(), 1)
}

// Guards against a second run of a task whose start an agent refuses that was started anew:
// the process before it may have called the executor, which carries the call out late.
func TestRefusalOfARepeatedStartProvesNothing(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	id := taskOf("job")
	w.start("a")
	w.node("a").TakeOrders()
	w.ledger.Disconnected(w.node("a"))
	w.list("a", nil)
	orders, _ := w.node("a").TakeOrders()
	require.Len(t, orders.Starts, 1, "repeated")
	e := w.node("a").Executor
	w.ledger.Report(w.node("a"), Report{Executor: &e, Results: []Result{{Task: id, Run: 1, Result: fleet.OrderBusy}}}, w.now)
	w.now = w.now.Add(time.Second)
	require.Empty(t, w.ready())
	orders, _ = w.node("a").TakeOrders()
	require.Equal(t, []RunRef{{id, 1}}, orders.Stops)
	w.list("a", nil)
	w.list("a", nil)
	require.Empty(t, w.ready(), "the stop has no answer yet")
	w.ledger.Report(w.node("a"), Report{Executor: &e, Results: []Result{{Task: id, Run: 1, Stop: true, Result: fleet.OrderDone}}}, w.now)
	w.list("a", nil)
	w.list("a", nil)
	w.now = w.now.Add(time.Second)
	require.Equal(t, []fleet.TaskID{id}, w.ready())
}

// Guards against a task of a cancelled job that runs on, and one that runs twice: a start
// that waits for a confirmation is ordered after the run was stopped or closed.
func TestNoStartIsOrderedOfARunThatWasStopped(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").TakeOrders()
	w.ledger.Disconnected(w.node("a"))
	w.ledger.HoldStarts(w.node("a"))
	w.list("a", nil) // repeats the start
	w.ledger.Cancel("job", w.now)
	orders, _ := w.node("a").TakeOrders()
	require.Empty(t, orders.Starts)
	require.Len(t, orders.Stops, 1)
	w.ledger.ReleaseStarts(w.node("a"))
	orders, _ = w.node("a").TakeOrders()
	require.Empty(t, orders.Starts, "its run is being stopped")
}

// Guards against a takeover that settles without a VM whose registration is removed before
// its lists have come: an earlier leader may have started tasks on it.
func TestRemovedRegistrationDoesNotSettle(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.add("old", true, one())
	w.ledger.RemoveNode("b")
	w.list("a", nil)
	require.Empty(t, w.ready())
	w.now = start.Add(maxLease + time.Millisecond)
	w.ledger.Tick(w.now, w.now)
	require.Len(t, w.ready(), 1)
	w.ledger.Tick(w.now, w.now)
	require.Nil(t, w.node("b"))
}

// Guards against a second run of a task beside one whose start was called with a deadline by
// the clock of the instance before: the new one under the same ID, whose clock starts anew,
// shortens it to the longest lease that it accepts.
func TestLeaseOfANewInstanceMayBeTheLongest(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	n := w.node("a")
	n.TakeOrders()
	e := n.Executor
	e.Instance = "a@2"
	w.ledger.Report(n, Report{Executor: &e, Listed: true, Running: runningOf(taskOf("job"), 1)}, w.now)
	n.LeaseUntil = w.now.Add(maxLease / 2) // as the leader counts its grants
	w.ledger.Disconnected(n)
	w.now = w.now.Add(maxLease * 3 / 4)
	w.ledger.Tick(w.now, w.now)
	require.Contains(t, n.Runs, taskOf("job"), "it may go on")
}

// Guards against durations learned from runs that were paused, that began from a
// checkpoint or that another leader has started, as if they had worked at full speed.
func TestDoneRunsReportTheirWork(t *testing.T) {
	w := newFixture(t, "a")
	worked := map[string]time.Duration{}
	w.ledger.done = func(r *Run, d time.Duration) { worked[r.ID.Job] = d }
	w.list("a", nil)
	var running []fleet.Running
	for _, job := range []string{"slowed", "resumed", "failed"} {
		w.add(job, false, one())
		w.ledger.taskByID(taskOf(job)).Checkpoint = map[string]string{"resumed": "c"}[job]
		w.start("a")
		running = append(running, runningOf(taskOf(job), 1)...)
	}
	w.add("adopted", false, one())
	running = append(running, runningOf(taskOf("adopted"), 1)...)
	w.list("a", running)
	w.now = w.now.Add(time.Second)
	w.ledger.Pace(w.node("a").Runs[taskOf("slowed")], 50, w.now)
	w.now = w.now.Add(time.Second)
	w.list("a", nil, w.end("a", taskOf("slowed"), 1, fleet.EndDone), w.end("a", taskOf("resumed"), 1, fleet.EndDone),
		w.end("a", taskOf("failed"), 1, fleet.EndFailed), w.end("a", taskOf("adopted"), 1, fleet.EndDone))
	require.Equal(t, map[string]time.Duration{"slowed": 1500 * time.Millisecond}, worked)
}
func TestStartedRunIsNotClosedByALapseFromBeforeItsLease(t *testing.T) {
	w := newFixture(t, "a", "b")
	w.list("a", nil)
	w.list("b", nil)
	w.add("job", false, one())
	a := w.node("a")
	w.ledger.Report(a, Report{Executor: &a.Executor, Lapsed: true}, w.now)
	w.start("a")
	_, some := a.TakeOrders()
	require.True(t, some)
	w.ledger.Report(a, Report{Executor: &a.Executor, Lapsed: true, Results: []Result{{Task: taskOf("job"), Run: 1, Result: fleet.OrderDone}}}, w.now)
	w.now = w.now.Add(retryDelay)
	require.Empty(t, w.ready(), "run 1 is at work on a")
}

// Guards against a task that is started hundreds of times within a second, whatever its executor
// refuses the starts for, and against one that then waits for long.
func TestStartsThatAreRefusedAgainAndAgainBackOff(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	var starts []time.Duration
	for began := w.now; w.now.Sub(began) < 10*time.Second; w.now = w.now.Add(5 * time.Millisecond) {
		if len(w.ready()) == 0 {
			continue
		}
		w.start("a")
		starts = append(starts, w.now.Sub(began))
		run := w.node("a").Runs[taskOf("job")]
		w.node("a").TakeOrders()
		w.ledger.applyResult(w.node("a"), Result{Task: run.ID, Run: run.Number, Result: fleet.OrderLate}, w.now)
	}
	require.LessOrEqual(t, len(starts), 12)
	for i := 1; i < len(starts); i++ {
		require.LessOrEqual(t, starts[i]-starts[i-1], 3*time.Second, "it may start now")
	}
	w.now = w.now.Add(maxBackoff)
	w.start("a")
	w.list("a", runningOf(taskOf("job"), len(starts)+1))
	w.ledger.closeRun(w.node("a").Runs[taskOf("job")], proof{kind: leaseReported}, w.now, 0)
	require.NotEmpty(t, w.ready(), "a confirmed run ends the delays")
}
