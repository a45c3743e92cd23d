// Package queue orders the steps that wait for VMs. It has no I/O and no clock.
//
// It answers a fleet whose capacity is short for a while, such as after a tenth of its
// VMs have left, or after a burst of filling jobs. With the oldest job first, lasting
// tasks keep what they get for minutes and short tasks wait behind them, and after a
// burst each job waits until it is late. Instead, what frees up goes to the tasks that
// can still be in time, then to lasting tasks, then to late tasks, and last to those
// whose outcome comes too late to be of use. Of filling jobs, those that are nearly through
// come first, then the newest: if all are begun, all are late. What has waited for long comes
// before all of these, so that each job ends.
package queue

import (
	"cmp"
	"time"
)

// Item describes a waiting step of a job.
type Item struct {
	Priority  int           `json:"priority"` // of the job's queue; 0 is the highest
	Lasting   bool          `json:"lasting,omitempty"`
	Fills     bool          `json:"fills,omitempty"`
	Accepted  time.Time     `json:"accepted"`            // when the job was accepted
	Objective time.Duration `json:"objective,omitempty"` // from then on in which the job has to end; 0: none
	// Remaining is the estimated time of the longest chain of dependent steps from this one on.
	Remaining time.Duration `json:"remaining,omitempty"`
	WorkLeft  float64       `json:"work_left"` // share of the work of the job's occurrence that is left, from 0 to 1
}

// usefulObjectives is the number of objectives after which the outcome of a job is of no
// use to its caller.
const usefulObjectives = 3

// Ages from which on a job comes before newer ones of its priority, so that each job ends.
// Filling jobs are longer, and after a burst all of them are that old.
const (
	maxDemotion        = 30 * time.Second
	maxFillingDemotion = 2 * time.Minute
)

// Rank orders the items of one priority.
type Rank uint8

// Ranks, first to last.
const (
	old Rank = iota
	inTime
	lasting
	late
	tooLate
)

// String returns the name of the rank.
func (r Rank) String() string {
	return [...]string{"old", "in time", "lasting", "late", "too late"}[r]
}

// Rank returns the rank of an item.
func (i Item) Rank(now time.Time) Rank {
	age := now.Sub(i.Accepted)
	ends := age + i.Remaining
	putOff := maxDemotion
	if i.Fills {
		putOff = maxFillingDemotion
	}
	switch {
	case i.Lasting:
		return lasting
	case age >= putOff:
		return old
	case i.Objective <= 0 || ends <= i.Objective:
		return inTime
	case ends <= usefulObjectives*i.Objective:
		return late
	default:
		return tooLate
	}
}

// Compare orders two items: by priority and rank, and then by age. Filling tasks come after
// the others of their rank, by the share of their work that is left, and of jobs of the same
// share the newest comes first: the oldest would use up the capacity and be late all the
// same. Neither favours a size.
func Compare(a, b Item, now time.Time) int {
	rank := a.Rank(now)
	if c := cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(rank, b.Rank(now))); c != 0 {
		return c
	}
	switch {
	case rank == old || !a.Fills && !b.Fills:
		return a.Accepted.Compare(b.Accepted)
	case a.Fills && b.Fills:
		return cmp.Or(cmp.Compare(a.WorkLeft, b.WorkLeft), b.Accepted.Compare(a.Accepted))
	case a.Fills:
		return 1
	default:
		return -1
	}
}
