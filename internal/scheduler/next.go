package scheduler

import (
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Next returns the next decision, or false if nothing can be done now. Urgent
// tasks go before batch tasks.
func (s *Scheduler) Next(now time.Time) (Decision, bool) {
	s.restart.refill(now, s.cfg.RecoveryShare)
	if d, ok := s.placeHolder(now); ok {
		return d, true
	}
	for c := range s.queue.class {
		var skip map[*shapeQueue]bool
		for {
			t, sq := s.candidate(c, skip, s.restart.open())
			if t == nil {
				break
			}
			if d, ok := s.decide(t, now); ok {
				return d, true
			}
			if skip == nil {
				skip = map[*shapeQueue]bool{}
			}
			skip[sq] = true
		}
	}
	return Decision{}, false
}

func (s *Scheduler) decide(t *Task, now time.Time) (Decision, bool) {
	if reason := s.never(t); reason != "" {
		s.Withdraw(t.ID)
		return Decision{Kind: CannotRun, Task: t, Reason: reason}, true
	}
	n := s.place(t)
	if n == nil {
		return Decision{}, false
	}
	return s.commit(n, t, now)
}

func (s *Scheduler) commit(n *Node, t *Task, now time.Time) (Decision, bool) {
	if s.assign(n, t, now) != nil {
		return Decision{}, false
	}
	s.Withdraw(t.ID)
	if t.Recovered {
		s.restart.spend(dominantPart(t.Size, s.free()))
	}
	return Decision{Kind: Placed, Task: t, Node: n}, true
}

// never returns why the task can never run, or "".
func (s *Scheduler) never(t *Task) string {
	if !s.quota.EverFits(t.Team, t.Size) {
		return fmt.Sprintf("a task of %s exceeds the quota of team %s", show(t.Size), t.Team)
	}
	sh := s.shape(t.Shape)
	if !s.settled || len(s.types) == 0 || sh.types == len(s.types) {
		return sh.never
	}
	sh.types, sh.never = len(s.types), fmt.Sprintf("a task of %s fits no VM type", show(t.Size))
	for capacity := range s.types {
		if t.Size.Fits(capacity) {
			sh.never = ""
			break
		}
	}
	return sh.never
}

func show(r structs.Resources) string {
	return fmt.Sprintf("%d milli-CPU, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// Run makes up to limit decisions and submits them. It returns their number.
func (s *Scheduler) Run(now time.Time, limit int, p Planner) int {
	done := 0
	for ; done < limit; done++ {
		d, ok := s.Next(now)
		if !ok {
			break
		}
		if err := p.Submit(d); err != nil && d.Kind == Placed {
			s.Release(d.Task.ID)
		}
	}
	return done
}

// free returns the free capacity of all VMs.
func (s *Scheduler) free() structs.Resources {
	var sum structs.Resources
	for _, n := range s.nodes {
		if n != nil {
			sum = sum.Add(n.Free())
		}
	}
	return sum
}

// bucket bounds restarts after a loss. Its level is a share of the free capacity;
// one restart may take it below zero so that large tasks are not held up for good.
type bucket struct {
	level float64
	last  time.Time
}

func (b *bucket) refill(now time.Time, perSecond float64) {
	if b.last.IsZero() {
		b.level = perSecond
	} else {
		b.level = min(perSecond, b.level+perSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
}

func (b *bucket) open() bool          { return b.level > 0 }
func (b *bucket) spend(share float64) { b.level -= share }

func dominantPart(size, free structs.Resources) float64 {
	part := func(a, b int64) float64 {
		if a == 0 {
			return 0
		}
		return float64(a) / float64(max(b, 1))
	}
	return max(part(size.MilliCPU, free.MilliCPU), part(size.MemoryMB, free.MemoryMB), part(size.Accelerators, free.Accelerators))
}
