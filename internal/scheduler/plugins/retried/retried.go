// Package retried keeps a task away from the VM on which its last attempt failed,
// so that one bad worker does not use up the attempts of a task.
package retried

import "vanillalock.example/vanillalock/internal/scheduler"

// Penalty is above what all other scores together can give: the VM is taken
// only if no other one fits.
const Penalty = 1000.0

// Plugin is a job-dependent Score.
type Plugin struct{}

// Name implements scheduler.Score.
func (Plugin) Name() string { return "retried" }

// Applies implements scheduler.JobDependent.
func (Plugin) Applies(t *scheduler.Task) bool { return t.FailedOn != "" }

// Score is the penalty on the VM where the task failed.
func (Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	if n.ID == t.FailedOn {
		return -Penalty
	}
	return 0
}
