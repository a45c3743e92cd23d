package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Next returns the next decision, or false if no waiting task can be placed or
// rejected now. Tasks with held capacity come first, then urgent tasks, then batch
// tasks.
func (s *Scheduler) Next(now time.Time) (Decision, bool) {
	s.recoveryBucket.refill(now, s.cfg.RecoveryShare)
	if d, ok := s.placeHeldTask(now); ok {
		return d, true
	}
	for c := range s.queue.classes {
		var skip map[*shapeQueue]bool
		for {
			t, sq := s.candidate(c, skip, s.recoveryBucket.available())
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

// decide rejects the task if it can never run, else tries to place it.
func (s *Scheduler) decide(t *Task, now time.Time) (Decision, bool) {
	if reason := s.cannotRunReason(t); reason != "" {
		s.Withdraw(t.ID)
		return Decision{Kind: CannotRun, Task: t, Reason: reason}, true
	}
	n := s.bestNode(t)
	if n == nil {
		return Decision{}, false
	}
	return s.commit(n, t, now)
}

// commit places the task on the VM and removes it from the queue.
func (s *Scheduler) commit(n *Node, t *Task, now time.Time) (Decision, bool) {
	if s.reserve(n, t, now) != nil {
		return Decision{}, false
	}
	s.Withdraw(t.ID)
	if t.Recovered {
		s.recoveryBucket.spend(dominantShare(t.Size, s.freeCapacity()))
	}
	return Decision{Kind: Placed, Task: t, Node: n}, true
}

// cannotRunReason returns the reason why the task can never run, or "" if it may
// run once there is capacity.
func (s *Scheduler) cannotRunReason(t *Task) string {
	if !s.quota.EverFits(t.Team, t.Size) {
		return fmt.Sprintf("a task of %s exceeds the quota of team %s", formatResources(t.Size), t.Team)
	}
	cache := s.cacheFor(t.Shape)
	if !s.inventoryComplete || len(s.vmTypes) == 0 || cache.typesChecked == len(s.vmTypes) {
		return cache.cannotRun
	}
	cache.typesChecked, cache.cannotRun = len(s.vmTypes), fmt.Sprintf("a task of %s fits no VM type", formatResources(t.Size))
	for capacity := range s.vmTypes {
		if t.Size.Fits(capacity) {
			cache.cannotRun = ""
			break
		}
	}
	return cache.cannotRun
}

func formatResources(r structs.Resources) string {
	return fmt.Sprintf("%d milli-CPU, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// Run makes up to limit decisions and submits them to p. It returns their number,
// including those that p rejected.
func (s *Scheduler) Run(now time.Time, limit int, p Planner) int {
	done := 0
	for ; done < limit; done++ {
		d, ok := s.Next(now)
		if !ok {
			break
		}
		err := p.Submit(d)
		if err != nil && d.Kind == Placed {
			s.Release(d.Task.ID)
		}
		if errors.Is(err, ErrNotNow) {
			s.rejected[d.Task.ID] = d.Task
		}
	}
	return done
}

// requeueRejected lets the tasks of rejected decisions wait again, at their old times.
func (s *Scheduler) requeueRejected() {
	tasks := slices.SortedFunc(maps.Values(s.rejected), func(a, b *Task) int {
		return cmp.Or(a.Enqueued.Compare(b.Enqueued), cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	clear(s.rejected)
	for _, t := range tasks {
		if s.queue.byID[t.ID] == nil && s.placed[t.ID] == nil {
			s.queue.add(t)
		}
	}
}

// freeCapacity returns the free capacity of all VMs.
func (s *Scheduler) freeCapacity() structs.Resources {
	var sum structs.Resources
	for _, n := range s.nodes {
		if n != nil {
			sum = sum.Add(n.Free())
		}
	}
	return sum
}

// tokenBucket is a token bucket that limits restarts of recovered tasks. Its level is a
// share of the free capacity. A restart is allowed while the level is positive and
// may take it below zero, so that a task larger than the bucket can still restart.
type tokenBucket struct {
	level float64
	last  time.Time
}

func (b *tokenBucket) refill(now time.Time, perSecond float64) {
	if b.last.IsZero() {
		b.level = perSecond
	} else {
		b.level = min(perSecond, b.level+perSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
}

func (b *tokenBucket) available() bool     { return b.level > 0 }
func (b *tokenBucket) spend(share float64) { b.level -= share }

// dominantShare returns the largest share of free that size takes in any dimension.
func dominantShare(size, free structs.Resources) float64 {
	part := func(a, b int64) float64 {
		if a == 0 {
			return 0
		}
		return float64(a) / float64(max(b, 1))
	}
	return max(part(size.MilliCPU, free.MilliCPU), part(size.MemoryMB, free.MemoryMB), part(size.Accelerators, free.Accelerators))
}
