package ledger

import "time"

// The system stops a run that may be at work by Displace and Evict only, so that no more tasks
// of a step are away by its own decision than the step may miss, whatever the others are away
// for. Other stops end what nobody wants or what has not been confirmed.

const (
	// StartedUpPercent is the percent that a lasting task reports once it has started up.
	StartedUpPercent = 100
	// MaxListAge is the maximum age of the lists of an executor that is taken to work as
	// listed. Agents send the lists every 0.4 s.
	MaxListAge = 1200 * time.Millisecond
)

// Displace stops a run for the sake of others, unless too many tasks of its step would be away.
// It reports whether it has.
func (l *Ledger) Displace(r *Run, reason string, now time.Time) bool {
	if len(l.Displaceable([]*Run{r}, now)) == 0 {
		return false
	}
	l.stop(r, reason)
	return true
}

// Displaceable returns those of some runs, in their order, that Displace stops if it is called for
// one after the other now.
func (l *Ledger) Displaceable(runs []*Run, now time.Time) []*Run {
	left := map[*Step]int{} // how many more tasks may be away
	var out []*Run
	for _, r := range runs {
		if r.Task == nil || r.State == Stopping {
			continue
		}
		s := r.Task.Step
		if s.Spec.MaxUnavailable == 0 {
			out = append(out, r)
			continue
		}
		if _, known := left[s]; !known {
			left[s] = s.Spec.MaxUnavailable - s.away(now)
		}
		own := 0
		if !r.Task.atWork(now) {
			own = 1 // counts already, but may have begun to work since it was listed
		}
		if left[s]+own <= 0 {
			continue
		}
		left[s] -= 1 - own
		out = append(out, r)
	}
	return out
}

// away returns the number of tasks of the step that are not known to be at work.
func (s *Step) away(now time.Time) int {
	away := 0
	for _, t := range s.Tasks {
		if !t.atWork(now) {
			away++
		}
	}
	return away
}

// atWork reports whether the task is known to be at work.
func (t *Task) atWork(now time.Time) bool {
	r := t.Current
	return r != nil && r.State == Running && r.Percent >= StartedUpPercent && r.Node.Listed && now.Sub(r.Node.ListedAt) <= MaxListAge
}

// Evict stops a run on an executor that drains. It ends there with the executor in any case, and
// starts elsewhere the sooner.
func (l *Ledger) Evict(r *Run) {
	if r.Node.Executor.Draining {
		l.stop(r, "executor leaves")
	}
}
