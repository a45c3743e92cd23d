package interference

import (
	"slices"
	"time"
)

// Level is how strongly a VM reacts to slow urgent work. Each level includes the
// ones below it.
type Level uint8

// Levels, in the order in which they are reached.
const (
	Normal     Level = iota
	Throttle         // batch tasks get a part of their processors
	StopAdding       // no new batch task
	Move             // batch tasks are checkpointed and moved, one at a time
	Evict            // batch tasks are evicted, one at a time
)

const (
	// HighSlowdown is the median slowdown of urgent work above which a VM reacts.
	HighSlowdown = 1.30
	// LowSlowdown is the median below which the reaction is taken back. Between
	// both nothing changes.
	LowSlowdown = 1.12
	// window is the number of measurements in the median: a burst of up to two
	// noisy values does not move it.
	window = 5
	// riseAfter is the least time between two steps up: twice the lag of usage
	// reports, so that the effect of a step is seen before the next.
	riseAfter = 6 * time.Second
	// fallAfter is the least time below LowSlowdown before a step down.
	fallAfter = 30 * time.Second
	// ThrottleShare is the share of processors that throttled tasks keep.
	ThrottleShare = 0.5
)

// Controller decides the level of one VM.
type Controller struct {
	level   Level
	values  [window]float64
	seen    int
	changed time.Time
	calm    time.Time // since when the median is low; zero if it is not
}

// Level returns the present level.
func (c *Controller) Level() Level { return c.level }

// Observe takes a measured slowdown of urgent work on the VM, taken at at, and
// returns the level. Measurements from before the last change of level say nothing
// about its effect and are ignored.
func (c *Controller) Observe(slowdown float64, at, now time.Time) Level {
	if at.Before(c.changed) {
		return c.level
	}
	c.values[c.seen%window] = slowdown
	c.seen++
	if c.seen < window {
		return c.level
	}
	m := c.median()
	if m > LowSlowdown {
		c.calm = time.Time{}
	} else if c.calm.IsZero() {
		c.calm = now
	}
	switch {
	case m > HighSlowdown && c.level < Evict && now.Sub(c.changed) >= riseAfter:
		c.step(c.level+1, now)
	case m <= LowSlowdown && c.level > Normal && now.Sub(c.calm) >= fallAfter:
		c.step(c.level-1, now)
	}
	return c.level
}

// NoUrgent tells that no urgent work runs on the VM: the reaction ends.
func (c *Controller) NoUrgent(now time.Time) Level {
	if c.level != Normal {
		c.step(Normal, now)
	}
	return c.level
}

func (c *Controller) step(to Level, now time.Time) {
	c.level, c.changed, c.seen, c.calm = to, now, 0, time.Time{}
}

func (c *Controller) median() float64 {
	v := c.values
	slices.Sort(v[:])
	return v[window/2]
}

// Suspect is a batch task on a VM with slow urgent work.
type Suspect[T any] struct {
	ID       T
	Template string
}

// Worst returns the index of the suspect that slows the urgent templates down
// most, or -1 if no suspect is known to.
func Worst[T any](m *Model, urgent []Neighbor, suspects []Suspect[T]) int {
	best, bestSum := -1, 0.0
	for i, s := range suspects {
		sum := 0.0
		for _, u := range urgent {
			sum += float64(u.Count) * m.Pair(u.Template, s.Template)
		}
		if sum > bestSum {
			best, bestSum = i, sum
		}
	}
	return best
}
