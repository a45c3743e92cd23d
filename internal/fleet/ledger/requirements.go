package ledger

import (
	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/place"
)

// What a task requires of the executor that starts it (place.UnmetRequirement, and no evacuation)
// is asked whenever a start may be ordered, whichever way it came about: ordered for the first
// time, held back, repeated in a session or to a new instance, or deferred. The executor, the
// other runs on it and the route of the queue may have changed since the VM was chosen. A start
// that is not confirmed may still be carried out late, so its run is stopped if a requirement is
// not met any more: an executor does not start a run that was stopped. The task is ready again
// once the end of the run, or its absence, is known. Runs that are confirmed go on.

// evacuatedDomain is why starts are withdrawn in an evacuated failure domain.
const evacuatedDomain = "failure domain evacuated"

// StepKeyOf returns the key of the step of a task for placement.
func StepKeyOf(id fleet.TaskID) place.StepKey {
	return place.StepKey{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}

// Describe returns the executor of the node as a VM without tasks.
func (n *Node) Describe() place.VM {
	e := &n.Executor
	return place.VM{Name: n.Name, Pool: e.Pool, Labels: e.Labels, Capacity: e.Capacity, Steps: map[place.StepKey]int{}, Jobs: map[string]int{}}
}

// withdrawStarts stops the runs of a node that are not confirmed and whose requirements it does
// not meet beside all its other runs. Those that are withdrawn with them count too, as they may
// have been carried out. Without lists of the present session it does nothing: no orders are
// taken before, and the lists may confirm runs, which then go on.
func (l *Ledger) withdrawStarts(n *Node) {
	if !n.Listed || !n.isStarting() {
		return
	}
	vm := n.Describe()
	for _, r := range n.Runs {
		l.occupy(&vm, r)
	}
	for _, r := range n.Runs {
		if r.State != Starting || r.Task == nil {
			continue
		}
		if why := l.unmetRequirement(r, vm); why != "" {
			l.stop(r, why)
			l.log(Event{What: "start withdrawn", Task: r.ID, Run: r.Number, Node: n.Name, Reason: why})
		}
	}
}

// isStarting reports whether a run of the node is not confirmed.
func (n *Node) isStarting() bool {
	for _, r := range n.Runs {
		if r.State == Starting {
			return true
		}
	}
	return false
}

// unmetRequirement returns why a run may not be started on its node, or "" if it may. vm has all
// runs of the node, also this one.
func (l *Ledger) unmetRequirement(r *Run, vm place.VM) string {
	if l.IsEvacuated(r.Node) {
		return evacuatedDomain
	}
	t := l.requirementsOf(r)
	vm.Release(&t, 0)
	if t.MaxPerVM > 0 {
		t.MaxPerVM++ // Steps counts the run itself
	}
	return place.UnmetRequirement(&t, &vm)
}

// requirementsOf describes the task of a run, as far as its requirements go.
func (l *Ledger) requirementsOf(r *Run) place.Task {
	s, pool := r.Task.Step.Spec, r.Node.Executor.Pool
	if l.pool != nil {
		pool = l.pool(r.Task.Step.Job)
	}
	return place.Task{Key: StepKeyOf(r.ID), Pool: pool, Need: s.Need, Fills: s.Fills, Label: s.Label, MaxPerVM: s.MaxPerVM}
}

// occupy adds a run to the tasks of a VM. The resources of a run without a task are not known, so
// that the VM counts as full.
func (l *Ledger) occupy(vm *place.VM, r *Run) {
	if r.Task == nil {
		vm.Reserved = vm.Reserved.Add(vm.Capacity)
		return
	}
	t := l.requirementsOf(r)
	vm.Take(&t, 0)
}
