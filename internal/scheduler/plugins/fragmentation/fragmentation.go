// Package fragmentation prefers VMs on which the task leaves few resources that other
// tasks cannot use.
package fragmentation

import "vanillalock.example/vanillalock/internal/scheduler"

// Plugin is a Score.
type Plugin struct{}

// Name implements scheduler.Score.
func (Plugin) Name() string { return "fragmentation" }

// Score is higher the less remains free, and lower the more the shares of free
// processors and free memory differ, since one cannot be used without the other.
// Urgent tasks are packed too, so that VMs without urgent tasks remain for batch tasks
// that would slow them down. The result is in [-1, 0].
func (Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	left := n.Free().Sub(t.Size)
	cpu, mem := share(left.MilliCPU, n.Capacity.MilliCPU), share(left.MemoryMB, n.Capacity.MemoryMB)
	uneven := max(cpu, mem) - min(cpu, mem)
	return -(0.5*(cpu+mem)/2 + 0.5*uneven)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
