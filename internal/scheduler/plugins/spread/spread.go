// Package spread distributes the tasks of a job over failure domains and racks, so
// that the loss of one stops only a part of the job.
package spread

import "vanillalock.example/vanillalock/internal/scheduler"

const (
	// DomainWeight is the penalty per share of the job in the same failure domain.
	DomainWeight = 3.0
	// RackWeight is the penalty per share of the job in the same rack.
	RackWeight = 1.0
)

// Plugin is a job-dependent Score and a Reserve that counts the placements.
type Plugin struct {
	jobs map[string]*counts

	lastJob string // of the last Applies; its counts save a lookup per VM
	last    *counts
}

type counts struct {
	total   int
	racks   []int32
	domains []int32
}

// New returns a plugin without placements.
func New() *Plugin { return &Plugin{jobs: map[string]*counts{}} }

// Name implements scheduler.Score.
func (*Plugin) Name() string { return "spread" }

// Applies implements scheduler.JobDependent.
func (p *Plugin) Applies(t *scheduler.Task) bool {
	p.lastJob, p.last = t.ID.Job, p.jobs[t.ID.Job]
	return p.last != nil
}

// Score is lower the more of the job is in the failure domain and rack of the VM.
func (p *Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	c := p.last
	if t.ID.Job != p.lastJob {
		c = p.jobs[t.ID.Job]
	}
	if c == nil {
		return 0
	}
	total := float64(c.total)
	return -(DomainWeight*float64(at(c.domains, n.DomainIndex)) + RackWeight*float64(at(c.racks, n.RackIndex))) / total
}

// Reserve implements scheduler.Reserve.
func (p *Plugin) Reserve(n *scheduler.Node, t *scheduler.Task) error {
	c := p.jobs[t.ID.Job]
	if c == nil {
		c = &counts{}
		p.jobs[t.ID.Job] = c
		p.lastJob = ""
	}
	c.total++
	c.racks, c.domains = add(c.racks, n.RackIndex, 1), add(c.domains, n.DomainIndex, 1)
	return nil
}

// Release implements scheduler.Reserve.
func (p *Plugin) Release(n *scheduler.Node, t *scheduler.Task) {
	c := p.jobs[t.ID.Job]
	if c == nil {
		return
	}
	if c.total--; c.total == 0 {
		delete(p.jobs, t.ID.Job)
		p.lastJob = ""
		return
	}
	c.racks, c.domains = add(c.racks, n.RackIndex, -1), add(c.domains, n.DomainIndex, -1)
}

func at(s []int32, i int) int32 {
	if i < len(s) {
		return s[i]
	}
	return 0
}

func add(s []int32, i int, d int32) []int32 {
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += d
	return s
}
