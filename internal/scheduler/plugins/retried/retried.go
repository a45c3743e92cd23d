// Package retried steers a task away from the VM on which its last attempt failed, so
// that one faulty worker does not use up all attempts of the task.
package retried

import "vanillalock.example/vanillalock/internal/scheduler"

// Penalty exceeds the sum of all other scores, so that the VM is chosen only if no
// other one fits.
const Penalty = 1000.0

// Plugin is a job-dependent Score.
type Plugin struct{}

// Name implements scheduler.Score.
func (Plugin) Name() string { return "retried" }

// Applies implements scheduler.JobDependent.
func (Plugin) Applies(t *scheduler.Task) bool { return t.FailedOn != "" }

// Score returns -Penalty for the VM on which the last attempt failed.
func (Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	if n.ID == t.FailedOn {
		return -Penalty
	}
	return 0
}
