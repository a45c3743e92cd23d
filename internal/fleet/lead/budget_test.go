package lead

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against a wide step that fills the leader's link: leases, confirmations of
// the term and reports wait behind its starts, and every run of the fleet ends. The
// load is a film of 95 tasks with a spec of 4,000 bytes on a link of 2 Mbit/s.
func TestStartsLeaveRoomOnTheLink(t *testing.T) {
	const link, tasks, spec = 2e6 / 8, 95, 4000
	l := newPlanFixture(60)
	l.plan.budget = newStartBudget(link)
	l.ledger.AddJob(fleet.Job{ID: "film", Queue: "q", Spec: strings.Repeat("x", spec), Accepted: l.now, Steps: []fleet.Step{
		{Count: tasks, Need: structs.Resources{MilliCPU: 1000, MemoryMB: 100}},
	}}, false, l.now)
	began := l.now
	sent := 0
	for sent < tasks {
		l.list()
		l.plan.plan(l.now)
		running := 0
		for _, n := range l.ledger.Nodes {
			running += len(n.Runs)
		}
		sent = running
		elapsed := l.now.Sub(began).Seconds()
		require.LessOrEqual(t, float64(sent*spec), minStartBurst+link*startShare*(elapsed+startBurst.Seconds())+spec)
		l.now = l.now.Add(tickInterval)
	}
	require.Less(t, l.now.Sub(began), time.Duration(tasks*(spec+startOverhead)/(link*startShare)*float64(time.Second))+2*tickInterval)
}

// Guards against a start that never fits into the budget.
func TestLargeStartOverASlowLink(t *testing.T) {
	b := newStartBudget(1000)
	now := time.Now()
	b.spend(now, 1<<20)
	for _, lasting := range []bool{false, true} {
		require.False(t, b.open(now, lasting))
		require.True(t, b.open(now.Add(time.Minute), lasting))
		require.True(t, newStartBudget(0).open(now, lasting))
	}
}
