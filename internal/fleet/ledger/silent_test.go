package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Guards against tasks that wait for their agent's word although every lease of their
// executor has ended: an agent that has started or has met the executor a moment ago
// cannot know it before the longest lease is over.
func TestTaskOfASilentExecutorWaitsForTheGrantedLeaseOnly(t *testing.T) {
	const lease = 4200 * time.Millisecond
	w := newFixture(t, "a", "b")
	w.ledger.Nodes["a"].LeaseUntil = start // no lease of earlier leaders lasts
	w.list("b", nil)
	w.list("a", nil)
	w.add("job", false, one())
	w.start("a")
	id := taskOf("job")
	w.list("a", runningOf(id, 1))
	w.node("a").LeaseUntil = w.now.Add(lease)
	e := w.node("a").Executor
	for w.now.Before(start.Add(lease)) { // the agent goes on to report, without lists
		w.now = w.now.Add(100 * time.Millisecond)
		w.ledger.Report(w.node("a"), Report{Executor: &e}, w.now)
		w.ledger.Tick(w.now, w.now)
		if !w.now.After(start.Add(lease)) {
			require.Empty(t, w.ready(), "the lease lasts")
		}
	}
	w.now = w.now.Add(100 * time.Millisecond)
	require.True(t, w.ledger.Tick(w.now, start.Add(lease)), "a confirmation would show it")
	require.Empty(t, w.ready(), "a later leader may have extended the lease")
	w.ledger.Tick(w.now, w.now)
	require.Equal(t, []fleet.TaskID{id}, w.ready())
	require.Equal(t, w.now, w.ledger.Ready(w.now)[0].ReadySince, "it waits since then, not since it was accepted")
}
