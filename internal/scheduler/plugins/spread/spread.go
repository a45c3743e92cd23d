// Package spread distributes the tasks of a job over failure domains and racks, so
// that the loss of one stops only part of the job.
package spread

import "vanillalock.example/vanillalock/internal/scheduler"

const (
	// DomainWeight is the penalty if the whole job is in the same failure domain. It
	// is proportional to the part of the job there.
	DomainWeight = 3.0
	// RackWeight is the penalty if the whole job is in the same rack. It is
	// proportional to the part of the job there.
	RackWeight = 1.0
)

// Plugin is a job-dependent Score and a Reserve that counts the placements.
type Plugin struct {
	jobs map[string]*jobCounts

	lastJob string     // job of the last call of Applies
	last    *jobCounts // counts of lastJob; saves a map lookup per VM in Score
}

// jobCounts holds the number of placed tasks of a job.
type jobCounts struct {
	total   int
	racks   []int32 // by Node.RackIndex
	domains []int32 // by Node.DomainIndex
}

// New returns a plugin without placements.
func New() *Plugin { return &Plugin{jobs: map[string]*jobCounts{}} }

// Name implements scheduler.Score.
func (*Plugin) Name() string { return "spread" }

// Applies implements scheduler.JobDependent.
func (p *Plugin) Applies(t *scheduler.Task) bool {
	p.lastJob, p.last = t.ID.Job, p.jobs[t.ID.Job]
	return p.last != nil
}

// Score is lower the larger the part of the job in the failure domain and rack of the
// VM.
func (p *Plugin) Score(n *scheduler.Node, t *scheduler.Task) float64 {
	c := p.last
	if t.ID.Job != p.lastJob {
		c = p.jobs[t.ID.Job]
	}
	if c == nil {
		return 0
	}
	total := float64(c.total)
	return -(DomainWeight*float64(countAt(c.domains, n.DomainIndex)) + RackWeight*float64(countAt(c.racks, n.RackIndex))) / total
}

// Reserve counts the placement. It returns no error.
func (p *Plugin) Reserve(n *scheduler.Node, t *scheduler.Task) error {
	c := p.jobs[t.ID.Job]
	if c == nil {
		c = &jobCounts{}
		p.jobs[t.ID.Job] = c
		p.lastJob = ""
	}
	c.total++
	c.racks, c.domains = addCount(c.racks, n.RackIndex, 1), addCount(c.domains, n.DomainIndex, 1)
	return nil
}

// Release undoes Reserve.
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
	c.racks, c.domains = addCount(c.racks, n.RackIndex, -1), addCount(c.domains, n.DomainIndex, -1)
}

func countAt(s []int32, i int) int32 {
	if i < len(s) {
		return s[i]
	}
	return 0
}

func addCount(s []int32, i int, d int32) []int32 {
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += d
	return s
}
