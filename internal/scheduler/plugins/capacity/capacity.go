// Package capacity admits a task only where its planned size fits.
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

// Filter admits the VM if the size fits in what is free. Room held for a waiting
// task is not free for other batch tasks.
func (Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	free := n.Free()
	if h := n.Holder(); h != nil && t.QoS == structs.Batch {
		free = free.Sub(h.Size)
	}
	return fits(t.Size, free)
}

// fits ignores the dimensions that the task does not use: room held for another
// task may make them negative.
func fits(size, free structs.Resources) bool {
	return (size.MilliCPU == 0 || size.MilliCPU <= free.MilliCPU) &&
		(size.MemoryMB == 0 || size.MemoryMB <= free.MemoryMB) &&
		(size.Accelerators == 0 || size.Accelerators <= free.Accelerators)
}

// Reserve refuses a task that exceeds the capacity.
func (Plugin) Reserve(n *scheduler.Node, t *scheduler.Task) error {
	if !fits(t.Size, n.Free()) {
		return rescode.Errorf(rescode.CapacityExceeded, "vm %s: task %s/%d does not fit", n.ID, t.ID.Job, t.ID.Index)
	}
	return nil
}

// Release implements scheduler.Reserve.
func (Plugin) Release(*scheduler.Node, *scheduler.Task) {}
