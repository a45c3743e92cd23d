// Package interference prefers VMs on which the task and the tasks beside it slow each
// other down little, as predicted from learned pairwise slowdowns.
package interference

import (
	"math"

	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
)

// Weight scales the logarithmic slowdown: a slowdown of 10% counts as much as half of
// the range of the fragmentation score.
const Weight = 5.0

// UrgentFactor is the weight of the slowdown of an urgent task relative to that of a
// batch task.
const UrgentFactor = 4.0

// Model predicts slowdowns. Pair returns the logarithm of the factor by which one task
// of template b slows down a task of template a.
type Model interface {
	Pair(a, b string) float64
}

// Plugin is a Filter and a Score. It caches the pairs of the model in a matrix: after
// the model has changed, call Reset and then Invalidate of the scheduler.
type Plugin struct {
	model        Model
	limit        float64       // highest logarithmic slowdown of an urgent task; no limit if not above 0
	matrix       [][]float64   // Pair by template indexes; NaN: not cached yet
	marginCaches []marginCache // by Node.Index
}

// marginCache caches the margins of the urgent templates on one version of a VM.
type marginCache struct {
	version uint32
	node    *scheduler.Node
	urgent  []margin
}

// margin is the logarithmic slowdown by which an urgent template on a VM may still be
// slowed down before it reaches the limit.
type margin struct {
	victim    scheduler.TemplateCount
	remaining float64
}

// New returns a plugin for a model. limit is the highest predicted logarithmic
// slowdown that batch tasks may cause to an urgent task; there is no limit if it is not
// above 0.
func New(model Model, limit float64) *Plugin { return &Plugin{model: model, limit: limit} }

// Reset discards everything that was computed from the model.
func (p *Plugin) Reset() { p.matrix, p.marginCaches = nil, nil }

// Name implements scheduler.Filter.
func (*Plugin) Name() string { return "interference" }

// Filter excludes batch tasks from VMs that are closed to them, and keeps batch and
// urgent tasks apart if an urgent task would be slowed down by more than the limit. A
// task with Held set is exempt from the limit.
func (p *Plugin) Filter(n *scheduler.Node, t *scheduler.Task) bool {
	if t.QoS == structs.Batch && n.Closed {
		return false
	}
	if p.limit <= 0 || t.Held {
		return true
	}
	self := scheduler.TemplateCount{Template: t.Template, TemplateIndex: t.TemplateIndex}
	if t.QoS == structs.LatencyCritical {
		return p.batchSlowdown(n, self) <= p.limit
	}
	for _, m := range p.margins(n) {
		if p.pair(m.victim, self) > m.remaining {
			return false
		}
	}
	return true
}

// margins returns the margins of the urgent templates on the VM.
func (p *Plugin) margins(n *scheduler.Node) []margin {
	for len(p.marginCaches) <= n.Index {
		p.marginCaches = append(p.marginCaches, marginCache{})
	}
	r := &p.marginCaches[n.Index]
	if r.node == n && r.version == n.Version() && n.Version() != 0 {
		return r.urgent
	}
	*r = marginCache{version: n.Version(), node: n, urgent: r.urgent[:0]}
	for _, m := range n.Mix {
		if m.QoS == structs.LatencyCritical {
			r.urgent = append(r.urgent, margin{m, p.limit - p.batchSlowdown(n, m)})
		}
	}
	return r.urgent
}

// batchSlowdown returns the predicted logarithmic slowdown of template a by the
// batch tasks on the VM.
func (p *Plugin) batchSlowdown(n *scheduler.Node, a scheduler.TemplateCount) float64 {
	sum := 0.0
	for _, m := range n.Mix {
		if m.QoS == structs.Batch {
			sum += float64(m.Count) * p.pair(a, m)
		}
	}
	return sum
}

// Score returns the negative weighted sum of the slowdown that the task would suffer
// and the slowdown that it would cause.
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

// pair returns the cached value of Model.Pair.
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
