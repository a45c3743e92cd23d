// Package accelerators admits tasks that use accelerators only to VMs with enough
// free ones, and steers other tasks away from these VMs.
package accelerators

import "vanillalock.example/vanillalock/internal/scheduler"

// Weight is the penalty for a task without accelerators on a VM whose accelerators
// are all free. It exceeds any difference in the fragmentation score and is below the
// spread penalty of a failure domain.
const Weight = 2.0

// Plugin is a Filter and a Score.
type Plugin struct{}

// Name implements scheduler.Filter.
func (Plugin) Name() string { return "accelerators" }

// Filter admits a task that uses accelerators only to VMs with enough free ones.
func (Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	return t.Size.Accelerators == 0 || t.Size.Accelerators <= n.Free().Accelerators
}

// Score is lower the larger the share of free accelerators on the VM, for tasks that
// use none.
func (Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	if t.Size.Accelerators > 0 || n.Capacity.Accelerators == 0 {
		return 0
	}
	return -Weight * float64(max(0, n.Free().Accelerators)) / float64(n.Capacity.Accelerators)
}
