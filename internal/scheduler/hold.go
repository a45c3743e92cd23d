package scheduler

import (
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// never ends: the expected end of a long-running task.
const unending = time.Duration(math.MaxInt64)

// Tick ends backoffs and lets tasks that have waited long for fragmented room age
// into a hold: room on one VM that no other batch task gets. It returns requests
// to make room for urgent tasks, and for held batch tasks whose VM does not become
// free by itself. Call it about once a second.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.endBackoffs(now)
	s.queue.prune()
	var out []Decision
	for c := range s.queue.class {
		for _, tq := range s.queue.class[c] {
			for _, sq := range tq.shapes {
				if d, ok := s.age(sq, now); ok {
					out = append(out, d)
				}
			}
		}
	}
	return out
}

func (s *Scheduler) age(sq *shapeQueue, now time.Time) (Decision, bool) {
	t := s.queue.first(sq)
	if t == nil || s.never(t) != "" || !s.quota.Fits(t.Team, t.Size) {
		return Decision{}, false
	}
	waited := now.Sub(t.Enqueued)
	if t.QoS == structs.LatencyCritical {
		if waited < s.cfg.UrgentRoomAfter || s.place(t) != nil {
			return Decision{}, false
		}
		return s.makeRoom(t, s.held[t.ID], now)
	}
	if waited < s.cfg.HoldAfter || s.place(t) != nil {
		return Decision{}, false
	}
	n := s.held[t.ID]
	if n == nil && len(s.held) < max(1, int(s.cfg.MaxHeldShare*float64(len(s.byID)))) {
		n = s.hold(t, now)
	}
	if n == nil || waited < 2*s.cfg.HoldAfter || wait(n, t, now) <= waited {
		return Decision{}, false
	}
	return s.makeRoom(t, n, now)
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
		best.holder = t
		s.held[t.ID] = best
		s.holders = append(s.holders, t)
		s.touch(best, false)
	}
	return best
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

// makeRoom names the VM on which the least batch work is in the way of the task.
func (s *Scheduler) makeRoom(t *Task, n *Node, now time.Time) (Decision, bool) {
	if n == nil {
		n = s.cheapest(t)
	}
	if n == nil {
		return Decision{}, false
	}
	short := t.Size.Sub(n.Free())
	short = structs.Resources{MilliCPU: max(0, short.MilliCPU), MemoryMB: max(0, short.MemoryMB), Accelerators: max(0, short.Accelerators)}
	return Decision{Kind: MakeRoom, Task: t, Node: n, Short: short}, true
}

// cheapest returns the VM that lacks least for the task and whose batch tasks
// could provide it.
func (s *Scheduler) cheapest(t *Task) *Node {
	var best *Node
	bestShort := math.Inf(1)
	for _, n := range s.nodes {
		if n == nil || n.Quarantined || n.Leaving {
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
