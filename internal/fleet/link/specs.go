package link

import (
	"vanillalock.example/vanillalock/internal/fleet"
)

// maxKeptSpecs is the number of jobs whose specs an agent keeps in a session. A spec
// has 4,000 bytes at most.
const maxKeptSpecs = 128

// Specs holds the specs of the jobs that were latest in the start orders of a session.
// Both ends of the session pass each order through their own Specs, so both hold the
// same ones, and a spec is sent once to an agent that starts several tasks of a job.
type Specs struct {
	byJob map[string]string
	order []string // jobs, oldest first
}

// NewSpecs returns an empty Specs.
func NewSpecs() *Specs { return &Specs{byJob: map[string]string{}} }

// Holds reports whether the spec of a job need not be sent.
func (s *Specs) Holds(job string) bool {
	_, held := s.byJob[job]
	return held
}

// omit clears the spec of an order that the agent has already.
func (s *Specs) omit(o *fleet.StartOrder) {
	if s.Holds(o.Task.Job) {
		o.Spec = ""
		return
	}
	s.add(o.Task.Job, o.Spec)
}

// restore sets the spec of an order of which it was omitted.
func (s *Specs) restore(o *fleet.StartOrder) {
	if o.Spec != "" {
		s.add(o.Task.Job, o.Spec)
		return
	}
	o.Spec = s.byJob[o.Task.Job]
}

func (s *Specs) add(job, spec string) {
	if spec == "" || s.Holds(job) {
		return
	}
	if len(s.order) == maxKeptSpecs {
		delete(s.byJob, s.order[0])
		s.order = s.order[1:]
	}
	s.byJob[job] = spec
	s.order = append(s.order, job)
}
