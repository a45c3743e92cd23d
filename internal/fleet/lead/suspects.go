package lead

import (
	"time"

	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
)

const (
	// One of probationOneIn VMs may have suspected tasks on probation at a time.
	probationOneIn = 4
	// suspectGroup is the largest number of suspected tasks that start together.
	suspectGroup = 4
)

// startSuspects starts ready tasks that may crash their executors, on VMs with few
// others, which take no further tasks until the executor has survived the start. Tasks
// under which one executor has crashed start in groups, others alone.
func (p *planner) startSuspects(ready []ledger.ReadyStep, vms []*place.VM, nodes []*ledger.Node, failed place.Failed, now time.Time) {
	left := max(1, len(vms)/probationOneIn)
	for _, vm := range vms {
		if vm.Closed {
			left--
		}
	}
	group, room := -1, 0
	for _, r := range ready {
		for _, t := range r.Tasks {
			if !t.Suspect() {
				continue
			}
			if !p.budget.open(now) {
				return
			}
			task := p.describeTask(t, now)
			task.Isolated = true
			i := -1
			if room > 0 && !t.StartsAlone() {
				vms[group].Closed = false
				if place.Fits(&task, vms[group], p.estimator.DisturbanceProbability) {
					i = group
					room--
				}
				vms[group].Closed = true
			}
			if i < 0 {
				if left <= 0 || failed.Covers(&task) {
					continue
				}
				if i = place.Choose(&task, vms, p.estimator.DisturbanceProbability); i < 0 {
					failed.Add(&task)
					if !task.Fills {
						p.preempt(&task, r.Step, vms, nodes, now)
					}
					continue
				}
				left--
				if !t.StartsAlone() {
					group, room = i, suspectGroup-1
				}
			}
			vms[i].Take(&task, expectedUse(r.Step.Spec))
			vms[i].Closed = true
			p.budget.spend(now, p.payload(t, nodes[i].Name))
			p.ledger.Start(t, nodes[i], "", now)
		}
	}
}
