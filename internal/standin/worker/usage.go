package worker

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// lag is the age of the measurements.
func (s *Server) lag() time.Duration {
	return s.options.UsageLag + time.Duration(s.faults.UsageLagMs)*time.Millisecond
}

// actual is the use of an attempt at a share of its processors. Accelerators
// are used as declared.
func (s *Server) actual(spec api.Spec, share float64) structs.Resources {
	factor := 1.0
	if !s.options.ExactUse {
		factor = UseFactor(spec.Template)
	}
	return structs.Resources{
		MilliCPU:     int64(float64(spec.Resources.MilliCPU) * factor * share),
		MemoryMB:     int64(float64(spec.Resources.MemoryMB) * factor),
		Accelerators: spec.Resources.Accelerators,
	}
}

// used is the actual use of all running attempts.
func (s *Server) used() structs.Resources {
	var sum structs.Resources
	for _, t := range s.vm.runningTasks() {
		sum = sum.Add(s.actual(t.spec, t.share))
	}
	return sum
}

// Usage implements worker.Client. It reports the running attempts as they were
// one lag ago; an attempt younger than the lag has no measurement yet.
func (s *Server) Usage(context.Context) ([]api.Usage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	at := s.vm.at - s.lag()
	out := []api.Usage{}
	for _, t := range s.vm.runningTasks() {
		m, ok := t.sampleAt(at)
		if !ok {
			continue
		}
		used := s.actual(t.spec, m.share)
		used.MilliCPU = int64(float64(used.MilliCPU) * s.noise())
		used.MemoryMB = int64(float64(used.MemoryMB) * s.noise())
		out = append(out, api.Usage{Task: t.spec.Task, Used: used, Slowdown: m.slowdown * s.noise(), At: s.started.Add(at)})
	}
	return out, nil
}

func (t *attempt) sampleAt(at time.Duration) (sample, bool) {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].from <= at {
			return t.history[i], true
		}
	}
	return sample{}, false
}

func (s *Server) noise() float64 {
	return 1 + s.options.UsageNoise*(2*s.random.Float64()-1)
}
