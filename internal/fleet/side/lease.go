package side

import (
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// clockReading is a reading of the executor's clock: it showed at least clock when
// the agent's own clock showed at.
type clockReading struct {
	clock time.Duration
	at    time.Time
}

// lowerBound returns the earliest time that the executor's clock can show when the
// agent's clock shows at. The executor's clock may be as slow as fleet.ClockRate.
func (s clockReading) lowerBound(at time.Time) time.Duration {
	return s.clock + time.Duration(fleet.ClockRate*float64(at.Sub(s.at)))
}

// latestTimeOf returns the latest time on the agent's clock at which the executor's
// clock reaches the given time.
func (s clockReading) latestTimeOf(clock time.Duration) time.Time {
	return s.at.Add(time.Duration(float64(clock-s.clock) / fleet.ClockRate))
}

// lease holds the clock of the current instance of the executor and the deadlines granted
// to it, which are times on that clock. Another instance under the same ID would read them by
// a clock of its own, so calls that carry one are made with check.
type lease struct {
	latest      clockReading  // latest reading
	maxDeadline time.Duration // no lease lasts longer, also one given by an earlier agent
	deadline    time.Duration // latest granted deadline, sent with holds; 0: none
	hasReading  bool          // latest and maxDeadline are set
}

// addReading records a reading of the executor's clock. An earlier agent may have
// extended leases up to maxLease after the first reading.
func (l *lease) addReading(s clockReading, maxLease time.Duration) {
	if !l.hasReading {
		l.hasReading = true
		l.maxDeadline = s.clock + maxLease
	}
	if s.clock >= l.latest.clock {
		l.latest = s
	}
}

// clockResolution is the resolution in which executors state their clock.
const clockResolution = time.Millisecond

// check returns the check that lists are of the instance of the lease, which has stated the
// given start in Unix ms (0: none). Starts are compared only for being equal, as they are
// readings of a clock that may be set. Two instances that state the same one are told apart
// by their clock, which never goes back. Without a start it has to have advanced as well.
func (l *lease) check(born int64) fleet.InstanceCheck {
	latest, known := l.latest, l.hasReading
	return func(lists fleet.RunLists, asked time.Time) error {
		stated := born != 0 && lists.Born != 0
		if stated && lists.Born != born {
			return fmt.Errorf("%w: it has started at %d ms, not at %d ms", fleet.ErrOtherInstance, lists.Born, born)
		}
		if !known {
			return nil
		}
		earliest := latest.clock
		if !stated {
			earliest = max(earliest, latest.lowerBound(asked)-clockResolution)
		}
		if lists.Clock < earliest {
			return fmt.Errorf("%w: its clock shows %v, less than %v", fleet.ErrOtherInstance, lists.Clock, earliest)
		}
		return nil
	}
}

// extend extends the lease to ttl after the sending of the report that the grant
// answers. reading is the latest one before that report was sent at sentAt.
func (l *lease) extend(reading clockReading, sentAt time.Time, ttl time.Duration) {
	l.deadline = max(l.deadline, reading.lowerBound(sentAt)+ttl)
	l.maxDeadline = max(l.maxDeadline, l.deadline)
}

// expired reports whether every lease has certainly expired.
func (l *lease) expired(now time.Time) bool {
	return l.hasReading && now.After(l.latest.latestTimeOf(l.maxDeadline))
}
