// Package quota accounts for the resource use of each team. It checks the use
// against the team's quota and computes the dominant share by which the scheduler
// orders teams (dominant resource fairness): the largest share that a team has of
// any resource.
package quota

import (
	"cmp"

	"vanillalock.example/vanillalock/internal/structs"
)

// Ledger holds the quota and use of each team. It is not safe for concurrent use.
type Ledger struct {
	total structs.Resources
	teams map[string]*team
}

type team struct {
	used, usedRemotely, limit structs.Resources // usedRemotely is the use through other entries
	weight                    float64           // 0 means 1
	share                     float64           // cached result of Share
	shareStale                bool              // share must be recomputed
}

// New returns an empty ledger. The use of teams without a quota is not limited.
func New() *Ledger { return &Ledger{teams: map[string]*team{}} }

// SetTotal sets the capacity of all VMs, of which Share computes shares.
func (l *Ledger) SetTotal(total structs.Resources) {
	l.total = total
	for _, t := range l.teams {
		t.shareStale = true
	}
}

// SetTeam sets the quota and weight of a team. A dimension of zero has no limit. A team
// of weight 2 is entitled to twice the share of one of weight 1; a weight of 0 means 1.
func (l *Ledger) SetTeam(name string, limit structs.Resources, weight float64) {
	t := l.team(name)
	t.limit, t.weight, t.shareStale = limit, weight, true
}

// SetRemote sets the use of the team through other entries.
func (l *Ledger) SetRemote(name string, used structs.Resources) {
	t := l.team(name)
	t.usedRemotely, t.shareStale = used, true
}

// Charge adds size to the use of the team.
func (l *Ledger) Charge(name string, size structs.Resources) {
	t := l.team(name)
	t.used, t.shareStale = t.used.Add(size), true
}

// Refund subtracts size from the use of the team.
func (l *Ledger) Refund(name string, size structs.Resources) {
	t := l.team(name)
	t.used, t.shareStale = t.used.Sub(size), true
}

// Used returns the use of the team through this entry.
func (l *Ledger) Used(name string) structs.Resources { return l.team(name).used }

// Fits reports whether the quota admits size in addition to the current use.
func (l *Ledger) Fits(name string, size structs.Resources) bool {
	t := l.team(name)
	return withinLimit(t.used.Add(t.usedRemotely).Add(size), size, t.limit)
}

// EverFits reports whether the quota admits size when the team uses nothing else.
func (l *Ledger) EverFits(name string, size structs.Resources) bool {
	return withinLimit(size, size, l.team(name).limit)
}

// withinLimit reports whether sum is within limit in the dimensions that size uses
// and the quota limits.
func withinLimit(sum, size, limit structs.Resources) bool {
	ok := func(sum, size, limit int64) bool { return size == 0 || limit == 0 || sum <= limit }
	return ok(sum.MilliCPU, size.MilliCPU, limit.MilliCPU) &&
		ok(sum.MemoryMB, size.MemoryMB, limit.MemoryMB) &&
		ok(sum.Accelerators, size.Accelerators, limit.Accelerators)
}

// Share returns the dominant share of the team divided by its weight.
func (l *Ledger) Share(name string) float64 {
	t := l.team(name)
	if t.shareStale {
		t.share, t.shareStale = dominantShare(t.used.Add(t.usedRemotely), l.total)/cmp.Or(t.weight, 1), false
	}
	return t.share
}

// dominantShare returns the largest share of total that used takes in any dimension.
func dominantShare(used, total structs.Resources) float64 {
	part := func(u, t int64) float64 {
		if t == 0 {
			return 0
		}
		return float64(u) / float64(t)
	}
	return max(part(used.MilliCPU, total.MilliCPU), part(used.MemoryMB, total.MemoryMB),
		part(used.Accelerators, total.Accelerators))
}

// team returns the account of a team and creates it if there is none.
func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{}
		l.teams[name] = t
	}
	return t
}
