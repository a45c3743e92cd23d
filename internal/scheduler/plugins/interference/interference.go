// Package interference prefers VMs on which the task is slowed down little and
// slows others down little, as predicted from learned pairwise slowdowns.
package interference

import (
	"math"

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

// Plugin is a Filter and a Score. It copies the pairs of the model into a matrix;
// call Reset, and then Invalidate of the scheduler, after the model has changed.
type Plugin struct {
	model  Model
	limit  float64
	matrix [][]float64 // by template index; NaN: not copied yet
	rooms  []room      // by VM index
}

// room caches, for one version of a VM, the urgent templates on it and how much
// more slowdown each of them may suffer.
type room struct {
	version uint32
	node    *scheduler.Node
	urgent  []margin
}

type margin struct {
	entry scheduler.TemplateCount
	left  float64
}

// New returns a plugin for a model. Limit, if above 0, is the highest predicted
// logarithmic slowdown of an urgent task that batch tasks may cause.
func New(model Model, limit float64) *Plugin { return &Plugin{model: model, limit: limit} }

// Reset discards the copied pairs.
func (p *Plugin) Reset() { p.matrix, p.rooms = nil, nil }

// Name implements scheduler.Filter.
func (*Plugin) Name() string { return "interference" }

// Filter keeps batch tasks off VMs that are closed to them, and away from urgent
// tasks that they would slow down by more than the limit. A task that has waited
// until room is held for it is exempt from the limit.
func (p *Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	if t.QoS == structs.Batch && n.Closed {
		return false
	}
	if p.limit <= 0 || t.Held {
		return true
	}
	self := scheduler.TemplateCount{Template: t.Template, TemplateIndex: t.TemplateIndex}
	if t.QoS == structs.LatencyCritical {
		return p.load(n, self) <= p.limit
	}
	for _, m := range p.margins(n) {
		if p.pair(m.entry, self) > m.left {
			return false
		}
	}
	return true
}

func (p *Plugin) margins(n *scheduler.Node) []margin {
	for len(p.rooms) <= n.Index {
		p.rooms = append(p.rooms, room{})
	}
	r := &p.rooms[n.Index]
	if r.node == n && r.version == n.Version() && n.Version() != 0 {
		return r.urgent
	}
	*r = room{version: n.Version(), node: n, urgent: r.urgent[:0]}
	for _, m := range n.Mix {
		if m.QoS == structs.LatencyCritical {
			r.urgent = append(r.urgent, margin{m, p.limit - p.load(n, m)})
		}
	}
	return r.urgent
}

// load is the predicted slowdown of a template on the VM by its batch tasks.
func (p *Plugin) load(n *scheduler.Node, a scheduler.TemplateCount) float64 {
	sum := 0.0
	for _, m := range n.Mix {
		if m.QoS == structs.Batch {
			sum += float64(m.Count) * p.pair(a, m)
		}
	}
	return sum
}

// Score is the negative sum of the slowdown suffered and caused.
func (p *Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	self := scheduler.TemplateCount{Template: t.Template, TemplateIndex: t.TemplateIndex}
	suffered, caused := 0.0, 0.0
	for _, m := range n.Mix {
		count := float64(m.Count)
		suffered += count * p.pair(self, m)
		caused += count * weight(m.QoS) * p.pair(m, self)
	}
	return -Weight * (weight(t.QoS)*suffered + caused)
}

func (p *Plugin) pair(a, b scheduler.TemplateCount) float64 {
	i, j := a.TemplateIndex, b.TemplateIndex
	if i < len(p.matrix) && j < len(p.matrix[i]) {
		if v := p.matrix[i][j]; !math.IsNaN(v) {
			return v
		}
	}
	for len(p.matrix) <= i {
		p.matrix = append(p.matrix, nil)
	}
	for len(p.matrix[i]) <= j {
		p.matrix[i] = append(p.matrix[i], math.NaN())
	}
	p.matrix[i][j] = p.model.Pair(a.Template, b.Template)
	return p.matrix[i][j]
}

func weight(q structs.QoS) float64 {
	if q == structs.LatencyCritical {
		return UrgentFactor
	}
	return 1
}
