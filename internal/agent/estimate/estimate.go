// Package estimate computes what a VM can still take, from reservations and from
// usage measurements that arrive late. The package is pure.
package estimate

import (
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// PeakAge is how long a measured peak counts: a task may return to it.
const PeakAge = 5 * time.Minute

type usage struct {
	reserved structs.Resources
	started  time.Time
	peak     structs.Resources
	peakAt   time.Time
}

// Estimator tracks the tasks of one VM. It is not safe for concurrent use.
type Estimator struct {
	capacity structs.Resources
	tasks    map[structs.TaskID]*usage
}

// New returns an estimator for a VM without tasks.
func New(capacity structs.Resources) *Estimator {
	return &Estimator{capacity: capacity, tasks: map[structs.TaskID]*usage{}}
}

// Start adds a task with its reservation.
func (e *Estimator) Start(id structs.TaskID, reserved structs.Resources, now time.Time) {
	e.tasks[id] = &usage{reserved: reserved, started: now}
}

// End removes a task. Its room counts as free at once: the worker confirmed the end.
func (e *Estimator) End(id structs.TaskID) { delete(e.tasks, id) }

// Observe takes a measurement taken at at. Measurements of an earlier attempt,
// from before the start, are ignored.
func (e *Estimator) Observe(id structs.TaskID, used structs.Resources, at time.Time) {
	u := e.tasks[id]
	if u == nil || at.Before(u.started) {
		return
	}
	if at.Sub(u.peakAt) > PeakAge {
		u.peak = structs.Resources{}
	}
	if at.After(u.peakAt) {
		u.peakAt = at
	}
	u.peak = larger(u.peak, used)
}

// Committed is what the tasks may use: for each the larger of its reservation and
// its recent peak. A task that uses less than reserved may still grow to its
// reservation, so a low or late measurement frees nothing.
func (e *Estimator) Committed(now time.Time) structs.Resources {
	var sum structs.Resources
	for _, u := range e.tasks {
		c := u.reserved
		if now.Sub(u.peakAt) <= PeakAge {
			c = larger(c, u.peak)
		}
		sum = sum.Add(c)
	}
	return sum
}

// Room is what the VM can still take; a dimension in excess counts as 0.
func (e *Estimator) Room(now time.Time) structs.Resources {
	r := e.capacity.Sub(e.Committed(now))
	return larger(r, structs.Resources{})
}

func larger(a, b structs.Resources) structs.Resources {
	return structs.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}
