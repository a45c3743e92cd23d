package scheduler

import (
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// never ends: the expected end of a long-running task.
const unending = time.Duration(math.MaxInt64)

// maxAged bounds the urgent tasks of one shape for which room is sought per Tick:
// more than the 48 starts/s at the peak.
const maxAged = 64

// Tick ends backoffs and lets tasks that have waited long for fragmented room age
// into a hold: room on one VM that no other batch task gets. It returns requests
// to make room for urgent tasks, and for held batch tasks whose VM does not become
// free by itself. A request is repeated by each Tick until the task has its room; the
// caller evicts for it once. Call it about once a second.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.endBackoffs(now)
	s.queue.prune()
	var out []Decision
	for c := range s.queue.class {
		for _, tq := range s.queue.class[c] {
			for _, sq := range tq.shapes {
				out = append(out, s.age(sq, now)...)
			}
		}
	}
	return out
}

func (s *Scheduler) age(sq *shapeQueue, now time.Time) []Decision {
	if s.queue.first(sq) == nil {
		return nil
	}
	if sq.key.QoS != structs.LatencyCritical {
		return s.ageBatch(s.queue.first(sq), now)
	}
	var out []Decision
	for _, t := range sq.tasks[sq.head:min(len(sq.tasks), sq.head+maxAged)] {
		if s.queue.byID[t.ID] == t {
			out = append(out, s.ageUrgent(t, now)...)
		}
	}
	return out
}

// ageUrgent holds room for an urgent task that has waited: on the best VM with
// room if limits that are preferences are dropped, else where batch tasks can
// make it.
func (s *Scheduler) ageUrgent(t *Task, now time.Time) []Decision {
	if now.Sub(t.Enqueued) < s.cfg.UrgentRoomAfter || s.never(t) != "" || !s.quota.Fits(t.Team, t.Size) {
		return nil
	}
	if n := s.heldFor(t); n != nil {
		return s.makeRoom(t, n)
	}
	t.Held = true
	n := s.bestNow(t)
	if n == nil {
		n = s.cheapest(t)
	}
	if n == nil {
		return nil
	}
	s.holdOn(t, n)
	return s.makeRoom(t, n)
}

// bestNow returns the best VM without a hold on which the task fits now.
func (s *Scheduler) bestNow(t *Task) *Node {
	var best *Node
	bestScore := math.Inf(-1)
	for _, n := range s.nodes {
		if n == nil || n.holder != nil {
			continue
		}
		if v := s.evaluate(n, t); v > bestScore {
			best, bestScore = n, v
		}
	}
	return best
}

func (s *Scheduler) ageBatch(t *Task, now time.Time) []Decision {
	waited := now.Sub(t.Enqueued)
	if waited < s.cfg.HoldAfter || s.never(t) != "" || !s.quota.Fits(t.Team, t.Size) || s.place(t) != nil {
		return nil
	}
	n := s.heldFor(t)
	if n == nil && len(s.held) < max(1, int(s.cfg.MaxHeldShare*float64(len(s.byID)))) {
		n = s.hold(t, now)
	}
	if n == nil || waited < 2*s.cfg.HoldAfter || wait(n, t, now) <= waited {
		return nil
	}
	return s.makeRoom(t, n)
}

// hold reserves the VM on which the task fits earliest.
func (s *Scheduler) hold(t *Task, now time.Time) *Node {
	var best *Node
	bestWait := unending
	for _, n := range s.nodes {
		if n == nil || n.holder != nil || n.Quarantined || n.Leaving || n.Closed || !t.Size.Fits(n.Capacity) {
			continue
		}
		if w := wait(n, t, now); best == nil || w < bestWait {
			best, bestWait = n, w
		}
	}
	if best != nil {
		s.holdOn(t, best)
	}
	return best
}

// heldFor returns the VM held for the task. A hold on a VM that takes no tasks any
// more ends.
func (s *Scheduler) heldFor(t *Task) *Node {
	n := s.held[t.ID]
	if n != nil && (n.Quarantined || n.Leaving) {
		s.dropHold(t.ID)
		return nil
	}
	return n
}

func (s *Scheduler) holdOn(t *Task, n *Node) {
	n.holder, t.Held = t, true
	s.held[t.ID] = n
	s.holders = append(s.holders, t)
	s.tried = 0
	s.touch(n, false)
}

func (s *Scheduler) dropHold(id structs.TaskID) {
	if n := s.held[id]; n != nil {
		n.holder = nil
		delete(s.held, id)
		s.holders = slices.DeleteFunc(s.holders, func(t *Task) bool { return t.ID == id })
		s.touch(n, true)
	}
}

// placeHolder places a task on the VM that is held for it, if it fits now.
func (s *Scheduler) placeHolder(now time.Time) (Decision, bool) {
	if s.tried == s.freed {
		return Decision{}, false
	}
	for _, t := range s.holders {
		n := s.held[t.ID]
		n.holder = nil
		ok := s.quota.Fits(t.Team, t.Size) && !math.IsInf(s.evaluate(n, t), -1)
		n.holder = t
		if ok {
			if d, ok := s.commit(n, t, now); ok {
				return d, true
			}
		}
	}
	s.tried = s.freed
	return Decision{}, false
}

// wait estimates how long it takes until the task fits on the VM, from the
// expected run times of the tasks there.
func wait(n *Node, t *Task, now time.Time) time.Duration {
	free := n.Free()
	if t.Size.Fits(free) {
		return 0
	}
	running := make([]*Task, 0, len(n.Tasks))
	for _, r := range n.Tasks {
		running = append(running, r)
	}
	slices.SortFunc(running, func(a, b *Task) int { return int(min(1, max(-1, a.left(now)-b.left(now)))) })
	for _, r := range running {
		free = free.Add(r.Size)
		if t.Size.Fits(free) {
			return r.left(now)
		}
	}
	return unending
}

// left is the expected time to the end. A task over its expected time is taken to
// need as long again as it has run over.
func (t *Task) left(now time.Time) time.Duration {
	if t.LongRunning || t.Expected == 0 {
		return unending
	}
	if d := t.Expected - now.Sub(t.Started); d > 0 {
		return d
	} else {
		return -d
	}
}

// makeRoom states what the VM lacks for the task, if anything.
func (s *Scheduler) makeRoom(t *Task, n *Node) []Decision {
	short := t.Size.Sub(n.Free())
	short = structs.Resources{MilliCPU: max(0, short.MilliCPU), MemoryMB: max(0, short.MemoryMB), Accelerators: max(0, short.Accelerators)}
	if short == (structs.Resources{}) {
		return nil
	}
	return []Decision{{Kind: MakeRoom, Task: t, Node: n, Short: short}}
}

// cheapest returns the VM that lacks least for the task and whose batch tasks
// could provide it.
func (s *Scheduler) cheapest(t *Task) *Node {
	var best *Node
	bestShort := math.Inf(1)
	for _, n := range s.nodes {
		if n == nil || n.holder != nil || n.Quarantined || n.Leaving || n.BackingOff() {
			continue
		}
		free, movable := n.Free(), n.Free()
		for _, r := range n.Tasks {
			if r.QoS == structs.Batch {
				movable = movable.Add(r.Size)
			}
		}
		if !t.Size.Fits(movable) {
			continue
		}
		if short := dominantPart(t.Size.Sub(free), n.Capacity); short < bestShort {
			best, bestShort = n, short
		}
	}
	return best
}
