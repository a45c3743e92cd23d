package place

import "slices"

// Exclusions counts VMs by the first filter of Fits that keeps a task off them.
type Exclusions struct {
	Pool         int
	Closed       int
	Trouble      int
	Label        int
	PerVM        int // MaxPerVM
	CPU          int
	Memory       int
	Interference int // with serving tasks, of filling tasks only
	Other        int // accelerators, or a filter that Explain does not tell apart
	Fits         int // VMs that may run the task
}

// Explain counts the VMs by why they may not run a task. It is for log lines: Fits alone
// decides.
func Explain(t *Task, vms []*VM, interference Interference) Exclusions {
	var e Exclusions
	for _, vm := range vms {
		with := ReservedWith(t, vm.Reserved)
		switch {
		case Fits(t, vm, interference):
			e.Fits++
		case vm.Pool != t.Pool:
			e.Pool++
		case vm.Closed:
			e.Closed++
		case vm.isExcluded() && !t.Forced:
			e.Trouble++
		case t.Label != "" && !slices.Contains(vm.Labels, t.Label):
			e.Label++
		case t.MaxPerVM > 0 && vm.Steps[t.Key] >= t.MaxPerVM:
			e.PerVM++
		case with.MilliCPU > vm.Capacity.MilliCPU:
			e.CPU++
		case with.MemoryMB > vm.Capacity.MemoryMB:
			e.Memory++
		case t.Fills && !hasIdleCPU(t, vm):
			e.CPU++
		case t.Fills && !isTolerable(t, vm, interference):
			e.Interference++
		default:
			e.Other++
		}
	}
	return e
}
