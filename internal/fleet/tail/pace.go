package tail

import "time"

// Paces of filling tasks that are expected to disturb a serving task, by the
// level (tail latency as a share of the target) of that task.
const (
	slowPace = 20 // percent; up to disturbedLevel, above it they stand still
	easyPace = 40 // percent; up to lowLoadLevel

	disturbedLevel = 0.8
	lowLoadLevel   = 0.45
)

// Times over its target after which a serving task has all filling tasks of its
// VM slowed to slowPace, then halted. The platform allows 4 s over the target.
const (
	slowAllAfter = 1200 * time.Millisecond
	haltAllAfter = 2 * time.Second
)

// Advice is the recommendation for one filling task.
type Advice struct {
	Pace int  // highest pace in percent
	Move bool // it disturbs a serving task and should move to another VM
}

// Advise returns the advice for each filling task of a VM, in the order of
// filling, given the serving tasks of the VM.
func (est *Estimator) Advise(filling []Filling, serving []Serving) []Advice {
	out := make([]Advice, len(filling))
	for i := range out {
		out[i].Pace = 100
	}
	for _, s := range serving {
		est.advise(out, filling, s)
	}
	return out
}

// advise lowers the paces in out as the serving task s requires.
func (est *Estimator) advise(out []Advice, filling []Filling, s Serving) {
	t := est.tasks[s.ID]
	tooHigh := s.level() > disturbedLevel || t != nil && t.raised
	for i, f := range filling {
		if !est.Disturbs(s.Image, f.Image) {
			continue
		}
		out[i].Move = true
		switch {
		case tooHigh:
			out[i].Pace = 0
		case s.level() > lowLoadLevel:
			out[i].Pace = min(out[i].Pace, slowPace)
		default:
			out[i].Pace = min(out[i].Pace, easyPace)
		}
	}
	if t == nil || !tooHigh {
		return
	}
	if cause := est.likeliestCause(filling, s); cause >= 0 && !t.recovering {
		for i, f := range filling {
			if f.Image == filling[cause].Image {
				out[i].Pace = min(out[i].Pace, slowPace)
			}
		}
	}
	switch over := est.timeOverTarget(t); {
	case over >= haltAllAfter:
		limitPace(out, 0)
	case over >= slowAllAfter:
		limitPace(out, slowPace)
	}
}

// timeOverTarget returns for how long a task has been over its target.
func (est *Estimator) timeOverTarget(t *servingState) time.Duration {
	if t.overSince.IsZero() {
		return 0
	}
	return est.now.Sub(t.overSince)
}

// limitPace lowers every pace above most to most.
func limitPace(advice []Advice, most int) {
	for i := range advice {
		advice[i].Pace = min(advice[i].Pace, most)
	}
}

// likeliestCause returns the index of the filling task that most likely disturbs
// s, or -1 if none does.
func (est *Estimator) likeliestCause(filling []Filling, s Serving) int {
	best, highest := -1, 0.0
	for i, f := range filling {
		if p := est.DisturbanceProbability(s.Image, f.Image) * noticeProbability(f.amount()); p > highest {
			best, highest = i, p
		}
	}
	return best
}
