package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

// listPartly reports lists of a node that leave ends out.
func (w *fixture) listPartly(name string, ended ...fleet.End) {
	e := w.node(name).Executor
	e.Instance = name + "@1"
	w.ledger.Report(w.node(name), Report{Executor: &e, Listed: true, Partial: true, Ended: ended}, w.now)
	w.ledger.Tick(w.now, w.now)
}

// Guards against tasks that are started again after they have ended as done: more ends
// than the executor lists at a time wait while the store is down, and the runs beyond
// them count as absent (review/1).
func TestPartialListsProveNoRunAbsent(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").TakeOrders()
	w.list("a", runningOf(taskOf("job"), 1))
	for range 2 * absenceListings {
		w.listPartly("a")
	}
	require.NotNil(t, w.node("a").Runs[taskOf("job")])
	w.ledger.Disconnected(w.node("a"))
	for range 2 * absenceListings {
		w.listPartly("a")
	}
	require.Empty(t, w.ready())
	w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndDone))
	require.Equal(t, Done, w.ledger.Jobs["job"].Final)
}

// Guards against a new leader that starts tasks again whose ends it has not been told of,
// as the first lists of their executor leave them out.
func TestPartialListsDoNotSettle(t *testing.T) {
	w := newFixture(t, "a")
	w.add("job", true, one())
	w.listPartly("a")
	require.False(t, w.ledger.Settled)
	require.Empty(t, w.ready())
	w.list("a", nil, w.end("a", taskOf("job"), 1, fleet.EndDone))
	require.True(t, w.ledger.Settled)
	require.Empty(t, w.ready())
	require.Equal(t, Done, w.ledger.Jobs["job"].Final)
}

// Guards against two runs of a task: a start that has ended without effect is ordered
// again in the next session, before complete lists have shown that it is absent, and lists
// from before the repeated order took effect count for both.
func TestRepeatedStartIsNotAbsentByAnEarlierOrder(t *testing.T) {
	w := newFixture(t, "a")
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	w.node("a").TakeOrders()
	id := taskOf("job")
	e := w.node("a").Executor
	// Its deadline has passed, which is no proof against a call with a later one.
	w.ledger.Report(w.node("a"), Report{Executor: &e, Listed: true, Partial: true, Results: []Result{{Task: id, Run: 1, Result: fleet.OrderRevoked}}}, w.now)
	w.ledger.Disconnected(w.node("a"))
	w.listPartly("a")
	orders, _ := w.node("a").TakeOrders()
	require.Len(t, orders.Starts, 1, "the start is repeated")
	for range 2 * absenceListings {
		w.list("a", nil)
	}
	require.NotNil(t, w.node("a").Runs[id], "the repeated start has no answer")
	w.ledger.Report(w.node("a"), Report{Executor: &e, Results: []Result{{Task: id, Run: 1, Result: fleet.OrderOld}}}, w.now)
	for range absenceListings {
		w.list("a", nil)
	}
	w.now = w.now.Add(retryDelay)
	require.Equal(t, []fleet.TaskID{id}, w.ready())
}
