package scheduler

import (
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// SetNode adds a VM or updates its announced properties.
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
		s.cacheEpoch++ // a reused index must not keep the scores of the old VM
	}
	n.Node = v
	n.RackIndex, n.DomainIndex = indexOf(s.rackIndexes, v.Rack), indexOf(s.domainIndexes, v.FailureDomain)
	s.vmTypes[v.Capacity] = true
	s.markChanged(n, true)
	s.updateTotal()
}

// indexOf returns the index of a name and assigns the next one to a new name.
func indexOf(m map[string]int, name string) int {
	i, ok := m[name]
	if !ok {
		i = len(m)
		m[name] = i
	}
	return i
}

// RemoveNode removes a VM and returns the tasks that were placed on it. Their teams
// are no longer charged for them. The caller may start a task elsewhere only once it
// has proof that the attempt on the VM has ended.
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
	if n.heldFor != nil {
		s.dropHold(n.heldFor.ID)
	}
	s.nodes[n.Index] = nil
	delete(s.byID, id)
	s.updateTotal()
	return out
}

// SetFlags sets the conditions of a VM.
func (s *Scheduler) SetFlags(id string, f Flags) {
	if n := s.byID[id]; n != nil && n.Flags != f {
		n.Flags = f
		s.markChanged(n, true)
	}
}

// SetReported sets the resources that the agent of a VM reports as reserved. What
// exceeds the placements of this scheduler is attributed to other entries.
func (s *Scheduler) SetReported(id string, reserved structs.Resources) {
	n := s.byID[id]
	if n == nil {
		return
	}
	d := reserved.Sub(n.Used)
	foreign := structs.Resources{MilliCPU: max(0, d.MilliCPU), MemoryMB: max(0, d.MemoryMB), Accelerators: max(0, d.Accelerators)}
	if foreign != n.ReservedByOthers {
		n.ReservedByOthers = foreign
		s.markChanged(n, true)
	}
}

// SetInventoryComplete states that all VMs of the region have had time to announce
// themselves. Until then no task is rejected for fitting no VM type.
func (s *Scheduler) SetInventoryComplete() {
	s.inventoryComplete = true
	s.capacityVersion++ // makes Next reconsider waiting tasks
}

// updateTotal recomputes the capacity of all VMs, which is the base of the teams'
// shares.
func (s *Scheduler) updateTotal() {
	var sum structs.Resources
	for _, n := range s.byID {
		sum = sum.Add(n.Capacity)
	}
	s.quota.SetTotal(sum)
}

// endBackoffs ends the backoffs that have expired.
func (s *Scheduler) endBackoffs(now time.Time) {
	for _, n := range s.nodes {
		if n != nil && n.BackingOff() && !now.Before(n.backoffUntil) {
			n.backoffUntil = time.Time{}
			s.markChanged(n, true)
		}
	}
}
