// Package capacity admits a task only to VMs with enough free resources for its
// planned size.
package capacity

import (
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
)

// Plugin is a Filter and a Reserve.
type Plugin struct{}

// Name implements scheduler.Filter.
func (Plugin) Name() string { return "capacity" }

// Filter admits the task if its size fits the free resources of the VM. Capacity
// held for a waiting task is not free for batch tasks.
func (Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	free := n.Free()
	if h := n.HeldFor(); h != nil && t.QoS == structs.Batch {
		free = free.Sub(h.Size)
	}
	return fits(t.Size, free)
}

// fits reports whether size fits free. It ignores the dimensions that the task does
// not use, since capacity held for another task can make free negative there.
func fits(size, free structs.Resources) bool {
	return (size.MilliCPU == 0 || size.MilliCPU <= free.MilliCPU) &&
		(size.MemoryMB == 0 || size.MemoryMB <= free.MemoryMB) &&
		(size.Accelerators == 0 || size.Accelerators <= free.Accelerators)
}

// Reserve rejects a task that exceeds the free resources of the VM.
func (Plugin) Reserve(n *scheduler.Node, t *scheduler.Task) error {
	if !fits(t.Size, n.Free()) {
		return rescode.Errorf(rescode.CapacityExceeded, "vm %s: task %s/%d does not fit", n.ID, t.ID.Job, t.ID.Index)
	}
	return nil
}

// Release implements scheduler.Reserve. It does nothing, as the scheduler itself
// keeps Node.Used.
func (Plugin) Release(*scheduler.Node, *scheduler.Task) {}
