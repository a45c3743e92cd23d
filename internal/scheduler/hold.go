package scheduler

import (
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// noKnownEnd is the expected remaining time of a task without a known end.
const noKnownEnd = time.Duration(math.MaxInt64)

// maxUrgentPerTick is the number of urgent tasks of one shape that a Tick considers
// for a hold. It exceeds the peak of 48 starts/s.
const maxUrgentPerTick = 64

// Tick ends backoffs, lets rejected tasks wait again and holds capacity for tasks that have waited long. A hold is
// capacity on one VM that no other batch task gets; without it, smaller tasks would
// take up fragmented capacity as it becomes free. Tick returns EvictionNeeded requests
// for urgent tasks, and for batch tasks with a hold on a VM that is not expected to
// become free in time. Each Tick repeats a request until the task has its capacity;
// the caller evicts for it once. Call Tick about once a second.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.endBackoffs(now)
	s.requeueRejected()
	s.queue.prune()
	var out []Decision
	for c := range s.queue.classes {
		for _, tq := range s.queue.classes[c] {
			for _, sq := range tq.shapes {
				out = append(out, s.holdForShape(sq, now)...)
			}
		}
	}
	return out
}

// holdForShape holds capacity for the tasks of one shape that have waited long
// enough: for the oldest batch task, or for up to maxUrgentPerTick urgent tasks.
func (s *Scheduler) holdForShape(sq *shapeQueue, now time.Time) []Decision {
	if s.queue.first(sq) == nil {
		return nil
	}
	if sq.key.QoS != structs.LatencyCritical {
		return s.holdForBatch(s.queue.first(sq), now)
	}
	var out []Decision
	for _, t := range sq.tasks[sq.head:min(len(sq.tasks), sq.head+maxUrgentPerTick)] {
		if s.queue.byID[t.ID] == t {
			out = append(out, s.holdForUrgent(t, now)...)
		}
	}
	return out
}

// holdForUrgent holds capacity for an urgent task that has waited for
// UrgentEvictionAfter. It takes the best VM on which the task fits once Task.Held lifts
// the limits that are preferences, else the VM on which the fewest resources have
// to be evicted.
func (s *Scheduler) holdForUrgent(t *Task, now time.Time) []Decision {
	if now.Sub(t.Enqueued) < s.cfg.UrgentEvictionAfter || s.cannotRunReason(t) != "" || !s.quota.Fits(t.Team, t.Size) {
		return nil
	}
	if n := s.heldNode(t); n != nil {
		return s.evictionDecision(t, n)
	}
	t.Held = true
	n := s.bestWithoutHold(t)
	if n == nil {
		n = s.leastShortNode(t)
	}
	if n == nil {
		return nil
	}
	s.setHold(t, n)
	return s.evictionDecision(t, n)
}

// bestWithoutHold returns the VM with the highest score among those without a hold
// on which the task fits now, or nil.
func (s *Scheduler) bestWithoutHold(t *Task) *Node {
	var best *Node
	bestScore := math.Inf(-1)
	for _, n := range s.nodes {
		if n == nil || n.heldFor != nil {
			continue
		}
		if v := s.evaluate(n, t); v > bestScore {
			best, bestScore = n, v
		}
	}
	return best
}

// holdForBatch holds capacity for a batch task that has waited for HoldAfter, and
// requests evictions after twice that time if the capacity is expected to take
// longer than the task has waited so far.
func (s *Scheduler) holdForBatch(t *Task, now time.Time) []Decision {
	waited := now.Sub(t.Enqueued)
	if waited < s.cfg.HoldAfter || s.cannotRunReason(t) != "" || !s.quota.Fits(t.Team, t.Size) || s.bestNode(t) != nil {
		return nil
	}
	n := s.heldNode(t)
	if n == nil && len(s.heldNodes) < max(1, int(s.cfg.MaxHeldShare*float64(len(s.byID)))) {
		n = s.holdEarliest(t, now)
	}
	if n == nil || waited < 2*s.cfg.HoldAfter || expectedWait(n, t, now) <= waited {
		return nil
	}
	return s.evictionDecision(t, n)
}

// holdEarliest holds capacity on the VM on which the task is expected to fit first.
// It returns nil if no VM is eligible.
func (s *Scheduler) holdEarliest(t *Task, now time.Time) *Node {
	var best *Node
	bestWait := noKnownEnd
	for _, n := range s.nodes {
		if n == nil || n.heldFor != nil || n.Quarantined || n.Leaving || n.Closed || !t.Size.Fits(n.Capacity) {
			continue
		}
		if w := expectedWait(n, t, now); best == nil || w < bestWait {
			best, bestWait = n, w
		}
	}
	if best != nil {
		s.setHold(t, best)
	}
	return best
}

// heldNode returns the VM on which capacity is held for the task, or nil. It drops a
// hold on a VM that no longer takes tasks.
func (s *Scheduler) heldNode(t *Task) *Node {
	n := s.heldNodes[t.ID]
	if n != nil && (n.Quarantined || n.Leaving) {
		s.dropHold(t.ID)
		return nil
	}
	return n
}

// setHold holds capacity for the task on the VM.
func (s *Scheduler) setHold(t *Task, n *Node) {
	n.heldFor, t.Held = t, true
	s.heldNodes[t.ID] = n
	s.heldTasks = append(s.heldTasks, t)
	s.heldTriedAt = 0
	s.markChanged(n, false)
}

// dropHold ends the hold of a task, if it has one.
func (s *Scheduler) dropHold(id structs.TaskID) {
	if n := s.heldNodes[id]; n != nil {
		n.heldFor = nil
		delete(s.heldNodes, id)
		s.heldTasks = slices.DeleteFunc(s.heldTasks, func(t *Task) bool { return t.ID == id })
		s.markChanged(n, true)
	}
}

// placeHeldTask places the first task that now fits on the VM where capacity is held
// for it.
func (s *Scheduler) placeHeldTask(now time.Time) (Decision, bool) {
	if s.heldTriedAt == s.capacityVersion {
		return Decision{}, false
	}
	for _, t := range s.heldTasks {
		n := s.heldNodes[t.ID]
		n.heldFor = nil // the hold must not exclude its own task
		ok := s.quota.Fits(t.Team, t.Size) && !math.IsInf(s.evaluate(n, t), -1)
		n.heldFor = t
		if ok {
			if d, ok := s.commit(n, t, now); ok {
				return d, true
			}
		}
	}
	s.heldTriedAt = s.capacityVersion
	return Decision{}, false
}

// expectedWait estimates the time until the task fits on the VM from the expected
// run times of the tasks there. It returns noKnownEnd if tasks without a known end
// are in the way.
func expectedWait(n *Node, t *Task, now time.Time) time.Duration {
	free := n.Free()
	if t.Size.Fits(free) {
		return 0
	}
	running := make([]*Task, 0, len(n.Tasks))
	for _, r := range n.Tasks {
		running = append(running, r)
	}
	slices.SortFunc(running, func(a, b *Task) int { return int(min(1, max(-1, a.remaining(now)-b.remaining(now)))) })
	for _, r := range running {
		free = free.Add(r.Size)
		if t.Size.Fits(free) {
			return r.remaining(now)
		}
	}
	return noKnownEnd
}

// remaining returns the expected remaining run time, or noKnownEnd if it is
// unknown. A task that exceeds its expected run time is assumed to need as long
// again as it has exceeded it so far.
func (t *Task) remaining(now time.Time) time.Duration {
	if t.LongRunning || t.Expected == 0 {
		return noKnownEnd
	}
	if d := t.Expected - now.Sub(t.Started); d > 0 {
		return d
	} else {
		return -d
	}
}

// evictionDecision returns an EvictionNeeded decision for the resources that the VM
// lacks for the task, or none if the task fits.
func (s *Scheduler) evictionDecision(t *Task, n *Node) []Decision {
	short := t.Size.Sub(n.Free())
	short = structs.Resources{MilliCPU: max(0, short.MilliCPU), MemoryMB: max(0, short.MemoryMB), Accelerators: max(0, short.Accelerators)}
	if short == (structs.Resources{}) {
		return nil
	}
	return []Decision{{Kind: EvictionNeeded, Task: t, Node: n, Short: short}}
}

// leastShortNode returns the VM that lacks the smallest share of its capacity for the
// task, among those on which the task would fit without batch tasks, or nil.
func (s *Scheduler) leastShortNode(t *Task) *Node {
	var best *Node
	bestShort := math.Inf(1)
	for _, n := range s.nodes {
		if n == nil || n.heldFor != nil || n.Quarantined || n.Leaving || n.BackingOff() {
			continue
		}
		free, evictable := n.Free(), n.Free()
		for _, r := range n.Tasks {
			if r.QoS == structs.Batch {
				evictable = evictable.Add(r.Size)
			}
		}
		if !t.Size.Fits(evictable) {
			continue
		}
		if short := dominantShare(t.Size.Sub(free), n.Capacity); short < bestShort {
			best, bestShort = n, short
		}
	}
	return best
}
