package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against lasting tasks that stay without a run beside the free room of a VM on
// which many tasks have failed at once, for the time in which its Trouble decays.
func TestLastingTaskStartsOnAVMWithManyFailures(t *testing.T) {
	l := newPlanFixture(3)
	l.reportFailures(1, 300)
	require.LessOrEqual(t, l.ledger.Nodes["vm-000"].TroubleAt(l.now.Add(18*time.Second)), 3.0, "the VM recovers")
	whole := fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 32000, MemoryMB: 13000}, Lasting: true}
	l.submit("first", whole) // takes the other VMs
	l.plan.plan(l.now)
	l.list()
	require.Empty(t, l.ledger.Nodes["vm-000"].Runs, "tasks prefer the other VMs")
	l.submit("feed", fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 6400, MemoryMB: 13000}, Lasting: true})
	began := l.now
	for len(l.ledger.Ready(l.now)) > 0 && l.now.Sub(began) < 20*time.Second {
		l.now = l.now.Add(100 * time.Millisecond)
		l.list()
		l.plan.plan(l.now)
	}
	require.Less(t, l.now.Sub(began), 6*time.Second, "wait beside room")
}
