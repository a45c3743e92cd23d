// Package estimate computes what a VM can still take, from reservations and from
// usage measurements that arrive late. It does no I/O and reads no clock.
package estimate

import (
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// PeakAge is how long a measured peak counts, because a task may return to it.
const PeakAge = 5 * time.Minute

// usage is the reservation of a task and its recent peak usage.
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

// New returns an estimator for a VM with the given capacity and no tasks.
func New(capacity structs.Resources) *Estimator {
	return &Estimator{capacity: capacity, tasks: map[structs.TaskID]*usage{}}
}

// Start adds a task with its reservation.
func (e *Estimator) Start(id structs.TaskID, reserved structs.Resources, now time.Time) {
	e.tasks[id] = &usage{reserved: reserved, started: now}
}

// End removes a task whose end the worker has confirmed. Its resources count as free
// at once.
func (e *Estimator) End(id structs.TaskID) { delete(e.tasks, id) }

// Observe records a measurement that was taken at the given time. Measurements from
// before the start of the task, which are of an earlier attempt, are ignored.
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

// Committed returns what the tasks may use: for each task, and in each dimension,
// the larger of its reservation and its recent peak. A task that uses less than
// reserved may still grow to its reservation, so a low or late measurement frees
// nothing.
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

// Available returns what the VM can still take. A dimension that is overcommitted
// counts as 0.
func (e *Estimator) Available(now time.Time) structs.Resources {
	r := e.capacity.Sub(e.Committed(now))
	return larger(r, structs.Resources{})
}

func larger(a, b structs.Resources) structs.Resources {
	return structs.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}
