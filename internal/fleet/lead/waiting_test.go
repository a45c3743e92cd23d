package lead

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against tasks that stay without a VM, and orders that stay without an outcome,
// of which no line tells why, and against a flood of such lines.
func TestLongWaitsAreLogged(t *testing.T) {
	const idle, after = 100, 5
	l := newPlanFixture(3)
	var out bytes.Buffer
	l.plan.waits = newWaits(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}), NewMetrics("waits-test"))
	metrics := l.plan.waits.metrics
	l.submit("stuck", serving(0))
	l.plan.plan(l.now) // the starts are never answered
	l.ledger.Nodes["vm-001"].Executor.Draining = true
	l.ledger.HoldStarts(l.ledger.Nodes["vm-002"])
	for i := range idle {
		l.submit(fmt.Sprintf("large-%d", i), fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 33000}})
	}
	play := func(span time.Duration) {
		for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
			for _, n := range l.ledger.Nodes {
				l.ledger.Report(n, ledger.Report{Executor: &n.Executor, Listed: true}, l.now)
			}
			l.plan.plan(l.now)
		}
	}
	play(longWait)
	require.Empty(t, out.String())
	require.Zero(t, metrics.LongWaits.Value())
	play(2 * time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Contains(t, lines[0], "fits=0 pool=0 closed=0 trouble=0 label=0 per_vm=0 cpu=1 memory=0 interference=0 other=0 silent=0 draining=1 held=1")
	require.LessOrEqual(t, len(lines), 3*waitLines)
	require.GreaterOrEqual(t, metrics.LongWaits.Value(), int64(idle))
	for i := range idle {
		l.ledger.Cancel(fmt.Sprintf("large-%d", i), l.now)
	}
	out.Reset()
	play(after * time.Second)
	require.Contains(t, out.String(), "Order without an outcome.")
	require.Contains(t, out.String(), "order=start")
	require.Contains(t, out.String(), "task=stuck.0.0.")
}

// Guards against inherited tasks that wait for a VM of which no line tells.
func TestLongTakeoversAreLogged(t *testing.T) {
	l := newPlanFixture(2)
	var out bytes.Buffer
	l.plan.waits = newWaits(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}), NewMetrics("takeovers-test"))
	l.ledger.AddNode("vm-silent")
	l.ledger.Settled = false
	job := fleet.Job{ID: "inherited", Queue: "q", Policy: fleet.Policy{Pool: "pool"}, Steps: []fleet.Step{{Count: 3, Need: structs.Resources{MilliCPU: 100}}}}
	l.ledger.AddJob(job, true, l.now)
	play := func(span time.Duration) {
		for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
			l.plan.plan(l.now)
		}
	}
	play(longTakeover)
	require.Empty(t, out.String())
	play(2 * waitLineEvery)
	require.Contains(t, out.String(), "tasks=3 vms=[vm-silent] silent=1")
	require.Equal(t, int64(strings.Count(out.String(), "Inherited tasks wait for VMs.")), l.plan.waits.metrics.LongTakeovers.Value())
	out.Reset()
	l.ledger.Settled = true
	play(2 * waitLineEvery)
	require.NotContains(t, out.String(), "Inherited tasks wait for VMs.")
}
