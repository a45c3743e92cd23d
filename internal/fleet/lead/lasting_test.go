package lead

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
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

// Guards against a lasting task at work that is moved to a VM on which runs fail.
func TestLastingTaskIsNotMovedToAVMWithManyFailures(t *testing.T) {
	l := newPlanFixture(3)
	l.reportFailures(1, 30)
	l.submit("feed", fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 20000, MemoryMB: 13000}, Lasting: true})
	l.plan.plan(l.now)
	l.list()
	require.Empty(t, l.ledger.Nodes["vm-000"].Runs)
	l.now = l.now.Add(5 * time.Second)
	l.list()
	vms, nodes := l.plan.eligibleVMs(l.now)
	for _, vm := range vms {
		vm.FillingOnly = vm.Name == "vm-001"
	}
	l.plan.clearFillingOnly(vms, nodes, l.now)
	require.Len(t, l.ledger.Nodes["vm-001"].Runs, 1)
	for _, r := range l.ledger.Nodes["vm-001"].Runs {
		require.Equal(t, ledger.Running, r.State)
	}
}

// Guards against lasting tasks that stay without a run beside room while the starts of
// short tasks in time, which go first, use up what the leader's link carries.
func TestLastingTaskStartsThoughShortTasksFillTheLink(t *testing.T) {
	const (
		link   = 1_250_000 // bytes per second: 10 Mbit/s
		jobs   = 4         // each 0.1 s, of 10 tasks: 1.2 MB a second with their specs
		warmUp = 2 * time.Second
		limit  = 8 * time.Second
	)
	spec := strings.Repeat("x", 3000)
	short := fleet.Step{Count: 10, Estimate: 500 * time.Millisecond, Need: structs.Resources{MilliCPU: 300, MemoryMB: 100}}
	l := newPlanFixture(30)
	l.plan.budget = newStartBudget(link)
	l.plan.policy = func(*ledger.Job) fleet.Policy {
		return fleet.Policy{Pool: "pool", MaxAttempts: 2, Stretch: 2, Objective: 2 * time.Second}
	}
	number := uint64(0)
	feed := fleet.TaskID{Job: "feed"}
	var waited time.Duration
	for at := time.Duration(0); waited < limit; at += tickInterval {
		l.now = startTime.Add(at)
		for i := range jobs {
			id := fmt.Sprintf("short-%d-%d", at.Milliseconds(), i)
			l.ledger.AddJob(fleet.Job{ID: id, Spec: spec, Steps: []fleet.Step{short}, Accepted: l.now}, false, l.now)
		}
		if at == warmUp {
			l.submit(feed.Job, serving(0))
		}
		for _, n := range l.ledger.Nodes {
			report := ledger.Report{Executor: &n.Executor, Listed: true}
			for id, r := range n.Runs {
				if id.Job != feed.Job && l.now.Sub(r.Since) >= 500*time.Millisecond {
					number++
					report.Ended = append(report.Ended, fleet.End{Number: number, Task: id, Run: r.Number, Reason: fleet.EndDone})
				} else {
					report.Running = append(report.Running, fleet.Running{Task: id, Run: r.Number, Percent: 100})
				}
			}
			l.ledger.Report(n, report, l.now)
		}
		l.plan.plan(l.now)
		if at < warmUp {
			continue
		}
		if l.ledger.Jobs[feed.Job].Occurrences[0].Steps[0].Tasks[0].Current != nil {
			break
		}
		waited = at - warmUp
		vms, _ := l.plan.eligibleVMs(l.now)
		twice := place.Task{Pool: "pool", Need: structs.Resources{MilliCPU: 2 * 6400, MemoryMB: 2 * 13000}}
		require.Len(t, vms, 30)
		require.Equal(t, 30, place.Explain(&twice, vms, nil).Fits, "each VM has room for it twice over")
	}
	require.Less(t, waited, time.Second, "wait beside room")
}

// Guards against a lasting task that waits for the memory of filling tasks because steps of
// short tasks that fit nowhere, and gain nothing by a search, use up the searches of each plan.
func TestLastingTaskPreemptsBesideManyShortSteps(t *testing.T) {
	l := newPlanFixture(1)
	l.plan.policy = func(j *ledger.Job) fleet.Policy {
		if j.ID == "render" {
			return fleet.Policy{Pool: "pool", MaxAttempts: 2, Priority: 1}
		}
		return fleet.Policy{Pool: "pool", MaxAttempts: 2}
	}
	l.submit("render", fleet.Step{Count: 8, Need: structs.Resources{MilliCPU: 1000, MemoryMB: 16000}, Fills: true})
	l.plan.plan(l.now)
	l.list()
	for i := range maxPreemptSearches {
		l.submit(fmt.Sprint("large-", i), fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 33000, MemoryMB: 100}})
	}
	l.submit("feed", fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 6400, MemoryMB: 13000}, Lasting: true})
	l.plan.plan(l.now)
	stopping := 0
	for _, r := range l.ledger.Nodes["vm-000"].Runs {
		if r.State == ledger.Stopping {
			stopping++
		}
	}
	require.Equal(t, 1, stopping, "a filling task makes room")
}
