package interference

import (
	"slices"
	"time"
)

// Level states which measures are taken against batch tasks on a VM with slow urgent
// work. Each level includes the measures of the ones below it.
type Level uint8

// Levels, in the order in which a Controller raises them.
const (
	Normal     Level = iota
	Throttle         // batch tasks are limited to ThrottleShare of their processors
	StopAdding       // the VM gets no new batch tasks
	Move             // batch tasks are checkpointed and moved, one at a time
	Evict            // batch tasks are evicted, one at a time
)

const (
	// HighSlowdown is the median slowdown of urgent work, as a factor, above which the
	// level rises.
	HighSlowdown = 1.30
	// LowSlowdown is the median slowdown up to which the level falls. Between
	// LowSlowdown and HighSlowdown the level stays.
	LowSlowdown = 1.12
	// window is the number of measurements in the median, so that up to two outliers do
	// not distort it.
	window = 5
	// minRiseInterval is the minimum time between a change of level and a step up:
	// twice the lag of usage reports, so that the effect of a step is seen before
	// the next.
	minRiseInterval = 6 * time.Second
	// minLowDuration is the minimum time for which the median must be low before a step
	// down.
	minLowDuration = 30 * time.Second
	// ThrottleShare is the share of their processors that throttled tasks keep.
	ThrottleShare = 0.5
)

// Controller decides the level of one VM. The zero value is ready for use. It is not
// safe for concurrent use.
type Controller struct {
	level     Level
	values    [window]float64 // the latest measurements, as a ring
	count     int             // measurements since the last change of level
	changedAt time.Time       // when the level last changed
	lowSince  time.Time       // since when the median is low; zero if it is not
}

// Level returns the current level.
func (c *Controller) Level() Level { return c.level }

// Observe records a slowdown of urgent work on the VM, measured at the time at, and
// returns the resulting level. Measurements from before the last change of level are
// ignored, as they do not show its effect.
func (c *Controller) Observe(slowdown float64, at, now time.Time) Level {
	if at.Before(c.changedAt) {
		return c.level
	}
	c.values[c.count%window] = slowdown
	c.count++
	if c.count < window {
		return c.level
	}
	m := c.median()
	if m > LowSlowdown {
		c.lowSince = time.Time{}
	} else if c.lowSince.IsZero() {
		c.lowSince = now
	}
	switch {
	case m > HighSlowdown && c.level < Evict && now.Sub(c.changedAt) >= minRiseInterval:
		c.setLevel(c.level+1, now)
	case m <= LowSlowdown && c.level > Normal && now.Sub(c.lowSince) >= minLowDuration:
		c.setLevel(c.level-1, now)
	}
	return c.level
}

// ResetLevel returns the level to Normal, as no urgent work runs on the VM. Measurements
// taken at Normal are kept.
func (c *Controller) ResetLevel(now time.Time) Level {
	if c.level != Normal {
		c.setLevel(Normal, now)
	}
	return c.level
}

func (c *Controller) setLevel(to Level, now time.Time) {
	c.level, c.changedAt, c.count, c.lowSince = to, now, 0, time.Time{}
}

func (c *Controller) median() float64 {
	v := c.values
	slices.Sort(v[:])
	return v[window/2]
}

// Suspect is a batch task on a VM with slow urgent work, which it may cause.
type Suspect[T any] struct {
	ID       T
	Template string
}

// MostInterfering returns the index of the suspect with the highest predicted slowdown
// of the urgent tasks, or -1 if none is predicted to slow them down.
func MostInterfering[T any](m *Model, urgent []Neighbor, suspects []Suspect[T]) int {
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
