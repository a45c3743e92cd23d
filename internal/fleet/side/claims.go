package side

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Another writer may announce the instance at work under its ID and start, with any
// description and any number. Three properties of the executor's own announcements tell them
// apart: they come at a regular interval, they count up, and they never change what stays
// the same for the life of an instance.
const (
	// defaultAnnounceInterval applies if the settings state no interval.
	defaultAnnounceInterval = 1500 * time.Millisecond
	// maxSkipped and maxSkippedPerSecond bound how many numbers two successive announcements
	// of an executor leave out: calls that got no answer are numbered as well.
	maxSkipped          = 16
	maxSkippedPerSecond = 8
	// maxRivals bounds the series that contradict the description in use.
	maxRivals = 8
	// staleIntervals is the number of intervals without an announcement after which a
	// description gives way to the next one with a higher number, whichever it is.
	staleIntervals = 4
)

// claims decides which announcements describe an instance. A description holds until an
// announcement continues it, which replaces it at once, or until a rival series has lasted
// for so long that the executor would have announced itself meanwhile. So no announcement
// is decisive for longer than the executor takes to announce itself a few times.
//
// It answers to announcements that come once per interval from the executor, and at any
// time from others. The zero value is ready for use.
type claims struct {
	interval time.Duration // between the executor's announcements; 0: defaultAnnounceInterval
	at       time.Time     // arrival of the announcement in use
	// regular is set if the announcement in use had the number that follows the one before.
	regular bool
	rivals  []series
}

// series is a run of announcements that continue each other.
type series struct {
	latest fleet.Executor
	began  time.Time // arrival of the first announcement
	at     time.Time // arrival of the latest one
}

// newClaims returns the claims to an instance of which the first announcement has come.
func newClaims(interval time.Duration, at time.Time) claims {
	return claims{interval: interval, at: at}
}

// observe returns the description in use after an announcement that comes at the given time,
// and whether it is that of the announcement.
func (c *claims) observe(current, e fleet.Executor, at time.Time) (fleet.Executor, bool) {
	if e.Seq >= current.Seq && continues(current, e, at.Sub(c.at)) {
		c.use(at, e.Seq-current.Seq <= 1)
		return e, true
	}
	if e.Seq > current.Seq && isSameExecutor(current, e) && at.Sub(c.at) > staleIntervals*c.announceInterval() {
		c.use(at, false)
		return e, true
	}
	i := slices.IndexFunc(c.rivals, func(r series) bool {
		return e.Seq > r.latest.Seq && continues(r.latest, e, at.Sub(r.at))
	})
	if i < 0 {
		c.addRival(series{e, at, at})
		return current, false
	}
	r := &c.rivals[i]
	r.latest, r.at = e, at
	if r.at.Sub(r.began) < c.displacedAfter() {
		return current, false
	}
	c.use(at, true)
	return e, true
}

// use records that the announcement which has come at the given time is in use.
func (c *claims) use(at time.Time, regular bool) {
	c.at, c.regular, c.rivals = at, regular, nil
}

// displacedAfter returns how long a rival series has to last, without an announcement that
// continues the description in use, to take its place. An executor that has counted up
// regularly would have announced itself within that time. Delayed announcements of the
// executor itself arrive together, so they don't last.
func (c *claims) displacedAfter() time.Duration {
	if c.regular {
		return c.announceInterval() * 3 / 2
	}
	return c.announceInterval() / 2
}

func (c *claims) announceInterval() time.Duration {
	if c.interval <= 0 {
		return defaultAnnounceInterval
	}
	return c.interval
}

// addRival adds a series in place of the one that has paused for longest, if there are many.
func (c *claims) addRival(s series) {
	if len(c.rivals) >= maxRivals {
		oldest := 0
		for i := range c.rivals {
			if c.rivals[i].at.Before(c.rivals[oldest].at) {
				oldest = i
			}
		}
		c.rivals = slices.Delete(c.rivals, oldest, oldest+1)
	}
	c.rivals = append(c.rivals, s)
}

// continues reports whether an executor that has announced itself as before may announce
// itself as e after the elapsed time. The number of e is not lower.
func continues(before, e fleet.Executor, elapsed time.Duration) bool {
	skipped := float64(e.Seq-before.Seq) - 1
	return isSameExecutor(before, e) && skipped <= maxSkipped+maxSkippedPerSecond*elapsed.Seconds()
}

// isSameExecutor reports whether two descriptions of an instance agree in what stays the same
// for its life. Its state and capacity may change.
func isSameExecutor(a, b fleet.Executor) bool {
	return a.Pool == b.Pool && a.FailureDomain == b.FailureDomain && a.Address == b.Address && slices.Equal(a.Labels, b.Labels)
}
