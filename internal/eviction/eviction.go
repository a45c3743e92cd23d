// Package eviction chooses which batch tasks give their room away, and bounds how
// many do. The package is pure.
package eviction

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// Overhead is the work of one eviction itself: checkpoint, transfer, restart.
	Overhead = 5 * time.Second
	// NearlyDone tasks are worth waiting for instead of evicting.
	NearlyDone = 10 * time.Second
	// maxExact bounds the candidates of the exact search: 2^14 sets at most.
	maxExact = 14
)

// Candidate is a running task that could be evicted.
type Candidate struct {
	ID        structs.TaskID
	QoS       structs.QoS
	Size      structs.Resources
	Unsaved   time.Duration // work since the last checkpoint
	CanSave   bool          // a checkpoint before the eviction is possible
	Remaining time.Duration // expected; 0 if unknown
	Evictions int           // of the task so far
}

// Cost is the work that the eviction of c costs. A task that was evicted before
// costs more, so that evictions do not fall on the same tasks.
func Cost(c Candidate) time.Duration {
	cost := Overhead
	if !c.CanSave {
		cost += c.Unsaved
	}
	if c.Remaining > 0 && c.Remaining < NearlyDone {
		cost += NearlyDone - c.Remaining
	}
	return cost * time.Duration(1+c.Evictions)
}

// Select returns the cheapest set of candidates whose sizes cover need, or nil if
// there is none. Urgent tasks are never victims. With up to 14 candidates the set
// is optimal; of more, only the 14 that give the most room for their cost are
// considered, and if they do not suffice, the larger ones are taken first.
func Select(candidates []Candidate, need structs.Resources) []Candidate {
	if need.Fits(structs.Resources{}) {
		return nil
	}
	pool := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.QoS != structs.Batch })
	slices.SortFunc(pool, func(a, b Candidate) int {
		if c := cmp.Compare(gain(b, need)/float64(Cost(b)), gain(a, need)/float64(Cost(a))); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	if len(pool) > maxExact {
		if !covers(pool[:maxExact], need) {
			return greedy(pool, need)
		}
		pool = pool[:maxExact]
	}
	s := search{pool: pool, best: time.Duration(math.MaxInt64)}
	s.visit(0, 0, 0, need)
	var out []Candidate
	for i, c := range pool {
		if s.set&(1<<i) != 0 {
			out = append(out, c)
		}
	}
	return out
}

// gain is the part of the need that c covers, over all dimensions.
func gain(c Candidate, need structs.Resources) float64 {
	part := func(have, need int64) float64 {
		if need <= 0 {
			return 0
		}
		return min(1, float64(have)/float64(need))
	}
	return part(c.Size.MilliCPU, need.MilliCPU) + part(c.Size.MemoryMB, need.MemoryMB) +
		part(c.Size.Accelerators, need.Accelerators)
}

func covers(set []Candidate, need structs.Resources) bool {
	var sum structs.Resources
	for _, c := range set {
		sum = sum.Add(c.Size)
	}
	return need.Fits(sum)
}

// greedy takes candidates in order and then drops those that are not needed.
func greedy(pool []Candidate, need structs.Resources) []Candidate {
	if !covers(pool, need) {
		return nil
	}
	var set []Candidate
	for i := 0; !covers(set, need); i++ {
		set = append(set, pool[i])
	}
	for i := len(set) - 1; i >= 0; i-- {
		if rest := slices.Delete(slices.Clone(set), i, i+1); covers(rest, need) {
			set = rest
		}
	}
	return set
}

// search is a branch and bound over the sets of pool.
type search struct {
	pool []Candidate
	set  uint32
	best time.Duration
}

func (s *search) visit(i int, set uint32, cost time.Duration, need structs.Resources) {
	if cost >= s.best {
		return
	}
	if need.Fits(structs.Resources{}) {
		s.set, s.best = set, cost
		return
	}
	if i == len(s.pool) {
		return
	}
	c := s.pool[i]
	s.visit(i+1, set|1<<i, cost+Cost(c), need.Sub(c.Size))
	s.visit(i+1, set, cost, need)
}

// Limits bound evictions.
type Limits struct {
	PerSecond float64       // over all tasks; default 5
	Burst     float64       // default 10
	PerTask   int           // in the life of a task; default 3
	Cooldown  time.Duration // between evictions of one task; default 10 min
}

// Budget applies Limits. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	level  float64
	last   time.Time
	tasks  map[structs.TaskID]history
}

type history struct {
	count int
	last  time.Time
}

// NewBudget returns a full budget; zero limits mean the defaults.
func NewBudget(l Limits) *Budget {
	l.PerSecond, l.Burst = cmp.Or(l.PerSecond, 5), cmp.Or(l.Burst, 10)
	l.PerTask, l.Cooldown = cmp.Or(l.PerTask, 3), cmp.Or(l.Cooldown, 10*time.Minute)
	return &Budget{limits: l, level: l.Burst, tasks: map[structs.TaskID]history{}}
}

// Allowed reports whether the task itself may be evicted now.
func (b *Budget) Allowed(id structs.TaskID, now time.Time) bool {
	h := b.tasks[id]
	return h.count < b.limits.PerTask && (h.count == 0 || now.Sub(h.last) >= b.limits.Cooldown)
}

// Take takes the evictions of all ids, or none of them.
func (b *Budget) Take(ids []structs.TaskID, now time.Time) bool {
	if !b.last.IsZero() {
		b.level = min(b.limits.Burst, b.level+b.limits.PerSecond*max(0, now.Sub(b.last).Seconds()))
	}
	b.last = now
	if float64(len(ids)) > b.level {
		return false
	}
	for _, id := range ids {
		if !b.Allowed(id, now) {
			return false
		}
	}
	b.level -= float64(len(ids))
	for _, id := range ids {
		b.tasks[id] = history{b.tasks[id].count + 1, now}
	}
	return true
}

// Forget drops the history of a finished task.
func (b *Budget) Forget(id structs.TaskID) { delete(b.tasks, id) }
