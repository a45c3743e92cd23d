// Package interference prefers VMs on which the task is slowed down little and
// slows others down little, as predicted from learned pairwise slowdowns.
package interference

import (
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
)

// Weight makes a slowdown of 10% as bad as half of the fragmentation scale.
const Weight = 5.0

// UrgentFactor weighs the slowdown of an urgent task against that of a batch task.
const UrgentFactor = 4.0

// Model is the learned slowdown: Pair is the logarithm of the factor by which one
// task of template b slows a task of template a.
type Model interface {
	Pair(a, b string) float64
}

// Plugin is a Filter and a Score. Limit, if above 0, is the highest predicted
// logarithmic slowdown of an urgent task that a batch task may cause.
type Plugin struct {
	Model Model
	Limit float64
}

// Name implements scheduler.Filter.
func (*Plugin) Name() string { return "interference" }

// Filter keeps batch tasks off VMs that are closed to them, and away from urgent
// tasks that they would slow down by more than Limit.
func (p *Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	if t.QoS == structs.Batch && n.Closed {
		return false
	}
	if p.Limit <= 0 {
		return true
	}
	if t.QoS == structs.LatencyCritical {
		return p.suffered(n, t) <= p.Limit
	}
	for _, m := range n.Mix {
		if m.QoS == structs.LatencyCritical && p.load(n, m.Template)+p.Model.Pair(m.Template, t.Template) > p.Limit {
			return false
		}
	}
	return true
}

// load is the predicted slowdown of a template on the VM by its batch tasks.
func (p *Plugin) load(n *scheduler.Node, template string) float64 {
	sum := 0.0
	for _, m := range n.Mix {
		if m.QoS == structs.Batch {
			sum += float64(m.Count) * p.Model.Pair(template, m.Template)
		}
	}
	return sum
}

func (p *Plugin) suffered(n *scheduler.Node, t *scheduler.Task) float64 { return p.load(n, t.Template) }

// Score is the negative sum of the slowdown suffered and caused.
func (p *Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	suffered, caused := 0.0, 0.0
	for _, m := range n.Mix {
		count := float64(m.Count)
		suffered += count * p.Model.Pair(t.Template, m.Template)
		caused += count * weight(m.QoS) * p.Model.Pair(m.Template, t.Template)
	}
	return -Weight * (weight(t.QoS)*suffered + caused)
}

func weight(q structs.QoS) float64 {
	if q == structs.LatencyCritical {
		return UrgentFactor
	}
	return 1
}
