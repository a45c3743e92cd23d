// Package capacity admits a task only where its planned size fits.
package capacity

import (
	"slices"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
)

// Headroom is the share of a VM with urgent tasks that batch tasks leave free. New
// urgent tasks then start without evictions; measurements-batch.md has the figures.
const Headroom = 0.10

// Plugin is a Filter and a Reserve. Headroom is the share of a VM with urgent tasks
// that batch tasks leave free.
type Plugin struct {
	Headroom float64
}

// Name implements scheduler.Filter.
func (Plugin) Name() string { return "capacity" }

// Filter admits the VM if the size fits in what is free. Room held for a waiting
// task is not free for other batch tasks.
func (p Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	free := n.Free()
	if p.Headroom > 0 && t.QoS == structs.Batch && !t.Held && hosts(n, structs.LatencyCritical) {
		free.MilliCPU -= int64(p.Headroom * float64(n.Capacity.MilliCPU))
		free.MemoryMB -= int64(p.Headroom * float64(n.Capacity.MemoryMB))
	}
	if h := n.Holder(); h != nil && t.QoS == structs.Batch {
		free = free.Sub(h.Size)
	}
	return fits(t.Size, free)
}

func hosts(n *scheduler.Node, q structs.QoS) bool {
	return slices.ContainsFunc(n.Mix, func(m scheduler.TemplateCount) bool { return m.QoS == q })
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
