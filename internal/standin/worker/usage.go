package worker

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// usageLag returns the age of the measurements that Usage reports.
func (s *Server) usageLag() time.Duration {
	return s.options.UsageLag + time.Duration(s.faults.UsageLagMs)*time.Millisecond
}

// actualUse returns the resources that an attempt uses when it is throttled to a
// share of its processors. Accelerators are used as declared.
func (s *Server) actualUse(spec api.Spec, share float64) structs.Resources {
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

// totalUse returns the actual use of all running attempts.
func (s *Server) totalUse() structs.Resources {
	var sum structs.Resources
	for _, t := range s.vm.runningTasks() {
		sum = sum.Add(s.actualUse(t.spec, t.share))
	}
	return sum
}

// Usage implements worker.Client. It reports the running attempts as they were
// before the usage lag; an attempt younger than the lag has no measurement yet.
func (s *Server) Usage(context.Context) ([]api.Usage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	at := s.vm.advancedTo - s.usageLag()
	out := []api.Usage{}
	for _, t := range s.vm.runningTasks() {
		m, ok := t.sampleAt(at)
		if !ok {
			continue
		}
		used := s.actualUse(t.spec, m.share)
		used.MilliCPU = int64(float64(used.MilliCPU) * s.noise())
		used.MemoryMB = int64(float64(used.MemoryMB) * s.noise())
		out = append(out, api.Usage{Task: t.spec.Task, Used: used, Slowdown: m.slowdown * s.noise(), At: s.started.Add(at)})
	}
	return out, nil
}

// sampleAt returns the sample that was valid at the given time.
func (t *attempt) sampleAt(at time.Duration) (sample, bool) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].from <= at {
			return t.samples[i], true
		}
	}
	return sample{}, false
}

// noise returns a random factor within UsageNoise of 1.
func (s *Server) noise() float64 {
	return 1 + s.options.UsageNoise*(2*s.random.Float64()-1)
}
