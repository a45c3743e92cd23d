// Package quota keeps the use of each team against its quota and orders teams by
// dominant share, so that the team that has least of what it needs most is next.
package quota

import (
	"cmp"

	"vanillalock.example/vanillalock/internal/structs"
)

// Ledger is the use of the teams. It is not safe for concurrent use.
type Ledger struct {
	total structs.Resources
	teams map[string]*team
}

type team struct {
	used, remote, limit structs.Resources
	weight              float64
	share               float64
	stale               bool
}

// New returns an empty ledger. Teams without a quota are limited only by the VMs.
func New() *Ledger { return &Ledger{teams: map[string]*team{}} }

// SetTotal sets the capacity of all VMs, against which shares are measured.
func (l *Ledger) SetTotal(total structs.Resources) {
	l.total = total
	for _, t := range l.teams {
		t.stale = true
	}
}

// SetTeam sets the quota of a team; a dimension of zero has no limit. A weight of
// 2 entitles a team to twice the share of one with weight 1; 0 means 1.
func (l *Ledger) SetTeam(name string, limit structs.Resources, weight float64) {
	t := l.team(name)
	t.limit, t.weight, t.stale = limit, weight, true
}

// SetRemote sets what the team uses through the other entries.
func (l *Ledger) SetRemote(name string, used structs.Resources) {
	t := l.team(name)
	t.remote, t.stale = used, true
}

// Charge adds size to the use of the team.
func (l *Ledger) Charge(name string, size structs.Resources) {
	t := l.team(name)
	t.used, t.stale = t.used.Add(size), true
}

// Refund takes size off the use of the team.
func (l *Ledger) Refund(name string, size structs.Resources) {
	t := l.team(name)
	t.used, t.stale = t.used.Sub(size), true
}

// Used returns the use of the team through this entry.
func (l *Ledger) Used(name string) structs.Resources { return l.team(name).used }

// Fits reports whether the team may use size more.
func (l *Ledger) Fits(name string, size structs.Resources) bool {
	t := l.team(name)
	return within(t.used.Add(t.remote).Add(size), size, t.limit)
}

// EverFits reports whether the quota admits size when nothing else runs.
func (l *Ledger) EverFits(name string, size structs.Resources) bool {
	return within(size, size, l.team(name).limit)
}

// within compares only the dimensions that the task uses and the quota limits.
func within(sum, size, limit structs.Resources) bool {
	ok := func(sum, size, limit int64) bool { return size == 0 || limit == 0 || sum <= limit }
	return ok(sum.MilliCPU, size.MilliCPU, limit.MilliCPU) &&
		ok(sum.MemoryMB, size.MemoryMB, limit.MemoryMB) &&
		ok(sum.Accelerators, size.Accelerators, limit.Accelerators)
}

// Share returns the dominant share of the team divided by its weight.
func (l *Ledger) Share(name string) float64 {
	t := l.team(name)
	if t.stale {
		t.share, t.stale = dominant(t.used.Add(t.remote), l.total)/cmp.Or(t.weight, 1), false
	}
	return t.share
}

func dominant(used, total structs.Resources) float64 {
	part := func(u, t int64) float64 {
		if t == 0 {
			return 0
		}
		return float64(u) / float64(t)
	}
	return max(part(used.MilliCPU, total.MilliCPU), part(used.MemoryMB, total.MemoryMB),
		part(used.Accelerators, total.Accelerators))
}

func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{}
		l.teams[name] = t
	}
	return t
}
