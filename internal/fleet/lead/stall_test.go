package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against a job that waits for a task which stands still on a VM whose executor
// reports as ever, and against stops of tasks that are only slow.
func TestRunThatStandsStillStartsElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		estimate time.Duration
		speed    float64 // percent per second
		until    float64 // percent at which it stands still
		stopped  bool
	}{
		"never starts to work": {540 * time.Millisecond, 0, 0, true},
		"halfway":              {540 * time.Millisecond, 100, 50, true},
		"slow":                 {2300 * time.Millisecond, 2, 100, false},
		"very slow":            {2300 * time.Millisecond, 0.7, 100, false},
		"fast":                 {540 * time.Millisecond, 200, 100, false},
	} {
		l := newPlanFixture(2)
		l.submit("job", fleet.Step{Count: 1, Estimate: c.estimate, Need: structs.Resources{MilliCPU: 1000, MemoryMB: 100}})
		l.plan.plan(l.now)
		var first *ledger.Run
		for _, n := range l.ledger.Nodes {
			for _, r := range n.Runs {
				first = r
			}
		}
		began := l.now
		for range 10 {
			l.now = l.now.Add(400 * time.Millisecond)
			percent := min(c.until, c.speed*l.now.Sub(began).Seconds())
			if percent >= 100 {
				break
			}
			n := first.Node
			l.ledger.Report(n, ledger.Report{Executor: &n.Executor, Listed: true, Running: []fleet.Running{{Task: first.ID, Run: 1, Percent: int(percent)}}}, l.now)
			l.plan.applyReport(n, l.now)
		}
		require.Equal(t, c.stopped, first.State == ledger.Stopping, name)
		if !c.stopped {
			continue
		}
		n := first.Node
		l.ledger.Report(n, ledger.Report{Executor: &n.Executor, Listed: true, Ended: []fleet.End{{Number: 1, Task: first.ID, Run: 1, Reason: fleet.EndStopped}}}, l.now)
		l.list()
		l.plan.plan(l.now)
		require.Equal(t, 2, first.Task.Current.Number, name)
		require.NotSame(t, n, first.Task.Current.Node, name)
	}
}
