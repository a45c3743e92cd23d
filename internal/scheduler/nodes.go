package scheduler

import (
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// SetNode adds a VM or updates what it announces.
func (s *Scheduler) SetNode(v structs.Node) {
	n := s.byID[v.ID]
	if n == nil {
		n = &Node{Index: len(s.nodes), Tasks: map[structs.TaskID]*Task{}}
		for i, old := range s.nodes {
			if old == nil {
				n.Index = i
				break
			}
		}
		if n.Index == len(s.nodes) {
			s.nodes = append(s.nodes, nil)
		}
		s.nodes[n.Index], s.byID[v.ID] = n, n
		s.epoch++ // a reused index must not keep the scores of the old VM
	}
	n.Node = v
	n.RackIndex, n.DomainIndex = number(s.racks, v.Rack), number(s.domains, v.FailureDomain)
	s.types[v.Capacity] = true
	s.touch(n, true)
	s.total()
}

func number(m map[string]int, name string) int {
	i, ok := m[name]
	if !ok {
		i = len(m)
		m[name] = i
	}
	return i
}

// RemoveNode removes a VM and returns the tasks that were placed on it. They stay
// charged to their teams no longer; whether they may start elsewhere is decided
// by the proof that their attempts are gone.
func (s *Scheduler) RemoveNode(id string) []structs.TaskID {
	n := s.byID[id]
	if n == nil {
		return nil
	}
	var out []structs.TaskID
	for taskID := range n.Tasks {
		out = append(out, taskID)
	}
	for _, taskID := range out {
		s.Release(taskID)
	}
	if n.holder != nil {
		s.dropHold(n.holder.ID)
	}
	s.nodes[n.Index] = nil
	delete(s.byID, id)
	s.total()
	return out
}

// SetFlags sets the conditions of a VM.
func (s *Scheduler) SetFlags(id string, f Flags) {
	if n := s.byID[id]; n != nil && n.Flags != f {
		n.Flags = f
		s.touch(n, true)
	}
}

// SetReported takes the total that the agent of a VM reports as reserved. What
// exceeds the own placements belongs to other entries.
func (s *Scheduler) SetReported(id string, reserved structs.Resources) {
	n := s.byID[id]
	if n == nil {
		return
	}
	d := reserved.Sub(n.Used)
	foreign := structs.Resources{MilliCPU: max(0, d.MilliCPU), MemoryMB: max(0, d.MemoryMB), Accelerators: max(0, d.Accelerators)}
	if foreign != n.Foreign {
		n.Foreign = foreign
		s.touch(n, true)
	}
}

// Settle states that the VMs of the region have had the time to announce
// themselves; before that no task is said to never run.
func (s *Scheduler) Settle() {
	s.settled = true
	s.freed++ // waiting tasks are looked at again
}

// total recomputes the capacity against which shares are measured.
func (s *Scheduler) total() {
	var sum structs.Resources
	for _, n := range s.byID {
		sum = sum.Add(n.Capacity)
	}
	s.quota.SetTotal(sum)
}

// endBackoffs ends the backoff of VMs whose agent refused a task.
func (s *Scheduler) endBackoffs(now time.Time) {
	for _, n := range s.nodes {
		if n != nil && n.BackingOff() && !now.Before(n.backoffUntil) {
			n.backoffUntil = time.Time{}
			s.touch(n, true)
		}
	}
}
