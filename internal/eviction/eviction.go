// Package eviction selects batch tasks to evict and limits the rate of evictions. The
// package is pure: it has no goroutines and takes the time as an argument.
package eviction

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// Overhead is the work that each eviction costs: checkpoint, transfer, restart.
	Overhead = 5 * time.Second
	// NearlyDone is the remaining run time below which the cost of a task rises, as it
	// is better to wait for its end.
	NearlyDone = 10 * time.Second
	// maxExactCandidates is the highest number of candidates for the exact search,
	// which visits at most 2^14 sets.
	maxExactCandidates = 14
)

// Candidate is a running task that could be evicted.
type Candidate struct {
	ID        structs.TaskID
	QoS       structs.QoS
	Size      structs.Resources
	Unsaved   time.Duration // work since the last checkpoint
	CanSave   bool          // a checkpoint before the eviction is possible
	Remaining time.Duration // expected run time left; 0 if unknown
	Evictions int           // number of evictions of the task so far
}

// Cost returns the work lost by the eviction of c. It is multiplied for a task that was
// evicted before, so that evictions do not hit the same tasks again and again.
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

// Select returns the cheapest set of batch candidates whose sizes cover need, or nil if
// there is none. Urgent candidates are never selected. With up to 14 batch candidates
// the set is optimal. With more, Select searches only the 14 that free the most for
// their cost; if these do not suffice, it takes candidates in that order and drops the
// superfluous ones.
func Select(candidates []Candidate, need structs.Resources) []Candidate {
	if need.Fits(structs.Resources{}) {
		return nil
	}
	pool := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.QoS != structs.Batch })
	slices.SortFunc(pool, func(a, b Candidate) int {
		if c := cmp.Compare(coveredPart(b, need)/float64(Cost(b)), coveredPart(a, need)/float64(Cost(a))); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	if len(pool) > maxExactCandidates {
		if !covers(pool[:maxExactCandidates], need) {
			return greedy(pool, need)
		}
		pool = pool[:maxExactCandidates]
	}
	s := search{pool: pool, bestCost: time.Duration(math.MaxInt64)}
	s.visit(0, 0, 0, need)
	var out []Candidate
	for i, c := range pool {
		if s.bestSet&(1<<i) != 0 {
			out = append(out, c)
		}
	}
	return out
}

// coveredPart returns the part of need that c covers, summed over all dimensions.
func coveredPart(c Candidate, need structs.Resources) float64 {
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

// greedy takes candidates in order until they cover need, then drops those that are not
// needed, the last ones first. It returns nil if all together do not cover need.
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

// search is a branch-and-bound search for the cheapest subset of pool.
type search struct {
	pool     []Candidate
	bestSet  uint32        // cheapest subset so far, as a bit mask of indexes
	bestCost time.Duration // its cost
}

// visit extends set, whose candidates have indexes below i and leave need uncovered.
func (s *search) visit(i int, set uint32, cost time.Duration, need structs.Resources) {
	if cost >= s.bestCost {
		return
	}
	if need.Fits(structs.Resources{}) {
		s.bestSet, s.bestCost = set, cost
		return
	}
	if i == len(s.pool) {
		return
	}
	c := s.pool[i]
	s.visit(i+1, set|1<<i, cost+Cost(c), need.Sub(c.Size))
	s.visit(i+1, set, cost, need)
}

// Limits are the limits of a Budget.
type Limits struct {
	PerSecond float64       // average rate over all tasks; default 5
	Burst     float64       // evictions that may occur at once; default 10
	PerTask   int           // evictions of one task, over all its attempts; default 3
	Cooldown  time.Duration // minimum time between evictions of one task; default 10 min
}

// Budget enforces Limits with a token bucket and a history per task. It is not safe for
// concurrent use.
type Budget struct {
	limits     Limits
	tokens     float64   // evictions left in the bucket
	refilledAt time.Time // when the bucket was last refilled
	histories  map[structs.TaskID]taskHistory
}

// taskHistory holds the evictions of one task.
type taskHistory struct {
	count int
	last  time.Time // last eviction
}

// NewBudget returns a budget with a full bucket. Zero limits mean the defaults.
func NewBudget(l Limits) *Budget {
	l.PerSecond, l.Burst = cmp.Or(l.PerSecond, 5), cmp.Or(l.Burst, 10)
	l.PerTask, l.Cooldown = cmp.Or(l.PerTask, 3), cmp.Or(l.Cooldown, 10*time.Minute)
	return &Budget{limits: l, tokens: l.Burst, histories: map[structs.TaskID]taskHistory{}}
}

// Allowed reports whether PerTask and Cooldown permit to evict the task now.
func (b *Budget) Allowed(id structs.TaskID, now time.Time) bool {
	h := b.histories[id]
	return h.count < b.limits.PerTask && (h.count == 0 || now.Sub(h.last) >= b.limits.Cooldown)
}

// Take charges the evictions of all ids to the budget and returns true, or charges none
// and returns false if a limit forbids one of them.
func (b *Budget) Take(ids []structs.TaskID, now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.limits.Burst, b.tokens+b.limits.PerSecond*max(0, now.Sub(b.refilledAt).Seconds()))
	}
	b.refilledAt = now
	if float64(len(ids)) > b.tokens {
		return false
	}
	for _, id := range ids {
		if !b.Allowed(id, now) {
			return false
		}
	}
	b.tokens -= float64(len(ids))
	for _, id := range ids {
		b.histories[id] = taskHistory{b.histories[id].count + 1, now}
	}
	return true
}

// Forget drops the history of a finished task.
func (b *Budget) Forget(id structs.TaskID) { delete(b.histories, id) }
