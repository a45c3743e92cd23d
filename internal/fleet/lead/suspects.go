package lead

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/fleet/probation"
)

// suspectGroup is the smallest number of suspects of one crash that start together.
const suspectGroup = probation.SmallestGroup

// suspect is a ready task that may crash its executor.
type suspect struct {
	task *ledger.Task
	step *ledger.Step
}

// startedGroup is a number of suspects that were started together.
type startedGroup struct {
	first   *ledger.Task
	run     int // of the first
	crashes int // of the first before its start
	tasks   int
}

// startSuspects starts ready tasks that may crash their executors, in groups, on VMs with
// few others, which take no further tasks until the executor has survived the start.
func (p *planner) startSuspects(ready []ledger.ReadyStep, vms []*place.VM, nodes []*ledger.Node, failed place.Failed, now time.Time) {
	p.recordSuspectGroups()
	var once, repeated []suspect
	for _, r := range ready {
		for _, t := range r.Tasks {
			if t.StartsAlone() {
				repeated = append(repeated, suspect{t, r.Step})
			} else if t.Suspect() {
				once = append(once, suspect{t, r.Step})
			}
		}
	}
	most := probation.VMs(len(once), len(repeated), len(vms))
	left := most
	for _, vm := range vms {
		if vm.Closed {
			left--
		}
	}
	for left > 0 && len(once)+len(repeated) > 0 && p.budget.open(now, false) {
		from := &once
		if p.sizes.Next(len(once) > 0, len(repeated) > 0) {
			from = &repeated
		}
		limit := p.sizes.Limit((*from)[0].task.Crashes(), len(*from), most)
		i := p.chooseForSuspect((*from)[0], vms, nodes, failed, now)
		if i >= 0 {
			*from = p.startSuspectGroup(*from, limit, vms[i], nodes[i], now)
			left--
		} else {
			*from = (*from)[1:]
		}
	}
}

// chooseForSuspect returns the index of the VM for a suspect and those that start with it,
// or -1 if it fits on none.
func (p *planner) chooseForSuspect(s suspect, vms []*place.VM, nodes []*ledger.Node, failed place.Failed, now time.Time) int {
	task := p.describeTask(s.task, now)
	task.Isolated = true
	if failed.Covers(&task) {
		return -1
	}
	i := place.Choose(&task, vms, p.estimator.DisturbanceProbability)
	if i < 0 {
		failed.Add(&task)
		if !task.Fills {
			p.preempt(&task, s.step, vms, nodes, now)
		}
	}
	return i
}

// startSuspectGroup starts the first of some suspects on a VM, with up to limit-1 others
// of as many crashes that fit there, and returns the rest.
func (p *planner) startSuspectGroup(from []suspect, limit int, vm *place.VM, n *ledger.Node, now time.Time) []suspect {
	group := startedGroup{first: from[0].task, run: from[0].task.LastRun + 1, crashes: from[0].task.Crashes()}
	rest := slices.DeleteFunc(from, func(s suspect) bool {
		if group.tasks == limit || s.task.Crashes() != group.crashes || !p.budget.open(now, false) {
			return false
		}
		task := p.describeTask(s.task, now)
		if !place.Fits(&task, vm, p.estimator.DisturbanceProbability) {
			return false
		}
		vm.Take(&task, expectedUse(s.step.Spec))
		p.budget.spend(now, p.payload(s.task, n.Name))
		p.ledger.Start(s.task, n, "", now)
		group.tasks++
		return true
	})
	vm.Closed = true
	p.suspectGroups = append(p.suspectGroups, group)
	return rest
}

// recordSuspectGroups records how groups of suspects have ended.
func (p *planner) recordSuspectGroups() {
	p.suspectGroups = slices.DeleteFunc(p.suspectGroups, func(g startedGroup) bool {
		switch {
		case g.first.Crashes() > g.crashes:
			p.sizes.Crashed(g.crashes, g.tasks)
		case !g.first.Suspect():
			p.sizes.Survived(g.crashes, g.tasks)
		default:
			return g.first.Current == nil || g.first.LastRun != g.run
		}
		return true
	})
}
