package tail

import "time"

// Figures of the pace.
const (
	slowPace = 20 // percent; of a filling task that disturbs
	easyPace = 40 // percent; of one that disturbs a task with little load
	// Shares of the target above which a task is disturbed, and below which it
	// has little load.
	slowAbove = 0.8
	easyBelow = 0.45
)

// Escalation for a task that stays over its target: all filling tasks of the VM
// are slowed, then stand still. The platform allows 4 s.
const (
	slowAllAfter = 1200 * time.Millisecond
	haltAllAfter = 2 * time.Second
)

// Advice is what to do with a filling task.
type Advice struct {
	Pace int  // percent
	Move bool // it disturbs a task that serves: another VM is better
}

// Advise returns what to do with each filling task beside the tasks that serve.
func (b *Book) Advise(filling []Filling, serving []Serving) []Advice {
	out := make([]Advice, len(filling))
	for i := range out {
		out[i].Pace = 100
	}
	for _, s := range serving {
		b.advise(out, filling, s)
	}
	return out
}

func (b *Book) advise(out []Advice, filling []Filling, s Serving) {
	t := b.tasks[s.ID]
	tooHigh := s.level() > slowAbove || t != nil && t.raised
	for i, f := range filling {
		if !b.Disturbs(s.Image, f.Image) {
			continue
		}
		out[i].Move = true
		switch {
		case tooHigh:
			out[i].Pace = 0
		case s.level() > easyBelow:
			out[i].Pace = min(out[i].Pace, slowPace)
		default:
			out[i].Pace = min(out[i].Pace, easyPace)
		}
	}
	if t == nil || t.falling || !tooHigh {
		return
	}
	if suspect := b.suspect(filling, s); suspect >= 0 {
		for i, f := range filling {
			if f.Image == filling[suspect].Image {
				out[i].Pace = min(out[i].Pace, slowPace)
			}
		}
	}
	switch over := b.overFor(t); {
	case over >= haltAllAfter:
		limit(out, 0)
	case over >= slowAllAfter:
		limit(out, slowPace)
	}
}

// overFor returns for how long a task has been over its target.
func (b *Book) overFor(t *served) time.Duration {
	if t.over.IsZero() {
		return 0
	}
	return b.now.Sub(t.over)
}

func limit(advice []Advice, most int) {
	for i := range advice {
		advice[i].Pace = min(advice[i].Pace, most)
	}
}

// suspect returns the index of the filling task that most likely disturbs s.
func (b *Book) suspect(filling []Filling, s Serving) int {
	best, highest := -1, 0.0
	for i, f := range filling {
		if p := b.Suspicion(s.Image, f.Image) * notice(f.amount()); p > highest {
			best, highest = i, p
		}
	}
	return best
}
