// Package queue orders the steps that wait for VMs. It has no I/O and no clock.
//
// It answers a fleet whose capacity is short for a while, such as after a tenth of its
// VMs have left: lasting tasks keep what they get for minutes, and with the oldest job
// first, short tasks wait behind them until all of them are late. Instead, what frees
// up goes to the short tasks that can still be in time, then to lasting tasks, then to
// short tasks that are late anyway.
package queue

import (
	"cmp"
	"time"
)

// Item describes a waiting step of a job.
type Item struct {
	Priority  int // of the job's queue; 0 is the highest
	Lasting   bool
	Fills     bool
	Accepted  time.Time     // when the job was accepted
	Objective time.Duration // from then on in which the job has to end; 0: none
}

// maxDemotion is the age from which on a late job is no longer put behind others of
// its priority, so that each job ends.
const maxDemotion = 30 * time.Second

// Ranks of items of one priority.
const (
	inTime = iota
	lasting
	late
)

// rank returns the rank of an item. Filling tasks, which take what the others leave,
// keep the order of their age.
func (i Item) rank(now time.Time) int {
	age := now.Sub(i.Accepted)
	switch {
	case i.Lasting:
		return lasting
	case !i.Fills && i.Objective > 0 && age > i.Objective && age < maxDemotion:
		return late
	default:
		return inTime
	}
}

// Compare orders two items: by priority, rank and age.
func Compare(a, b Item, now time.Time) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.rank(now), b.rank(now)), a.Accepted.Compare(b.Accepted))
}
