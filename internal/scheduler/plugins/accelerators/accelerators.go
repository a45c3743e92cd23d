// Package accelerators keeps VMs with accelerators for the tasks that use them.
package accelerators

import "vanillalock.example/vanillalock/internal/scheduler"

// Weight is the penalty for a task without accelerators on a VM with free ones:
// more than any difference in fragmentation, less than a failure domain's spread.
const Weight = 2.0

// Plugin is a Filter and a Score.
type Plugin struct{}

// Name implements scheduler.Filter.
func (Plugin) Name() string { return "accelerators" }

// Filter admits tasks that use accelerators only to VMs with enough of them.
func (Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	return t.Size.Accelerators == 0 || t.Size.Accelerators <= n.Free().Accelerators
}

// Score prefers VMs without free accelerators for tasks that use none.
func (Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	if t.Size.Accelerators > 0 || n.Capacity.Accelerators == 0 {
		return 0
	}
	return -Weight * float64(max(0, n.Free().Accelerators)) / float64(n.Capacity.Accelerators)
}
