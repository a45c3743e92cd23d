// Package outlier ejects upstreams whose requests fail too often.
//
// An upstream that fails every request immediately looks like the fastest one to
// a latency-based policy and would draw all traffic. The Detector counts outcomes
// per upstream and ejects an upstream with a high failure ratio. After the
// ejection the upstream is on probation and gets a few probes before it returns.
// Each further ejection takes twice as long. At most a third of the upstreams are
// withheld (ejected or on probation) at once. A Detector is not safe for
// concurrent use.
package outlier

import (
	"maps"
	"slices"
	"time"
)

// State of an upstream.
type State uint8

// States of an upstream.
const (
	// Healthy upstreams receive traffic without restriction.
	Healthy State = iota
	// Ejected upstreams receive no traffic.
	Ejected
	// Probation allows one probe at a time.
	Probation
)

// Config holds the parameters of a Detector.
type Config struct {
	// Window is the length of the two counting intervals; a decision uses the
	// current and the previous one.
	Window time.Duration
	// MinRequests is the number of outcomes below which the failure ratio is not
	// used.
	MinRequests int
	// FailureRatio is the ratio of failures from which on an upstream is ejected.
	FailureRatio float64
	// Consecutive is the number of consecutive failures after which an upstream is
	// ejected regardless of the ratio.
	Consecutive int
	// BaseEjection is the length of the first ejection, MaxEjection the longest one.
	BaseEjection, MaxEjection time.Duration
	// Probes is the number of consecutive successes that end a probation.
	Probes int
	// ProbeTimeout is the time after which another probe may start although the
	// outcome of the last one has not arrived.
	ProbeTimeout time.Duration
}

// DefaultConfig returns the parameters used by the entry.
func DefaultConfig() Config {
	return Config{
		Window:       5 * time.Second,
		MinRequests:  10,
		FailureRatio: 0.5,
		Consecutive:  5,
		BaseEjection: 5 * time.Second,
		MaxEjection:  5 * time.Minute,
		Probes:       3,
		ProbeTimeout: 10 * time.Second,
	}
}

// Change is a state transition of an upstream.
type Change struct {
	ID    string
	State State
}

// counts holds the outcomes of one window.
type counts struct{ ok, failed int }

type upstream struct {
	state          State
	current        counts
	previous       counts
	windowEnd      time.Time     // end of the current window
	consecutive    int           // failures since the last success
	ejectedUntil   time.Time     // end of the ejection
	lastEjection   time.Duration // length of the last ejection, 0: none
	healthySince   time.Time     // when it last became healthy again
	probeSince     time.Time     // zero: no probe outstanding
	probeSuccesses int           // successful probes of this probation
}

// Detector detects failing upstreams in a set. Create it with New.
type Detector struct {
	cfg       Config
	upstreams map[string]*upstream
	withheld  int // ejected or on probation
}

// New returns a Detector without upstreams.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, upstreams: make(map[string]*upstream)}
}

// Add adds a healthy upstream. Adding a known one has no effect.
func (d *Detector) Add(id string) {
	if d.upstreams[id] == nil {
		d.upstreams[id] = &upstream{}
	}
}

// Remove removes an upstream. More than a third of the remaining ones may then be
// withheld; Advance makes the surplus healthy.
func (d *Detector) Remove(id string) {
	if u := d.upstreams[id]; u != nil {
		if u.state != Healthy {
			d.withheld--
		}
		delete(d.upstreams, id)
	}
}

// State returns the state of an upstream; an unknown one is Healthy.
func (d *Detector) State(id string) State {
	if u := d.upstreams[id]; u != nil {
		return u.state
	}
	return Healthy
}

// Withheld returns the number of upstreams that are ejected or on probation.
func (d *Detector) Withheld() int { return d.withheld }

// Allow reports whether a request may go to the upstream. On probation it
// reserves the single probe; the next Observe of the upstream ends the probe.
func (d *Detector) Allow(now time.Time, id string) bool {
	u := d.upstreams[id]
	if u == nil || u.state == Healthy {
		return true
	}
	if u.state == Ejected {
		return false
	}
	if !u.probeSince.IsZero() && now.Sub(u.probeSince) < d.cfg.ProbeTimeout {
		return false
	}
	u.probeSince = now
	return true
}

// Observe records the outcome of a request and returns the resulting change, if
// any. Outcomes of requests that were sent before an ejection are ignored while
// the upstream is ejected. The caller does not report refusals, which are not
// failures of the upstream.
func (d *Detector) Observe(now time.Time, id string, failed bool) (Change, bool) {
	u := d.upstreams[id]
	if u == nil || u.state == Ejected {
		return Change{}, false
	}
	if u.state == Probation {
		return d.observeProbe(now, id, u, failed)
	}
	d.rollWindow(now, u)
	if !failed {
		u.current.ok++
		u.consecutive = 0
		return Change{}, false
	}
	u.current.failed++
	u.consecutive++
	if !d.shouldEject(u) || !d.mayWithhold() {
		return Change{}, false
	}
	d.withheld++
	d.eject(now, u)
	return Change{id, Ejected}, true
}

// observeProbe records an outcome of an upstream on probation.
func (d *Detector) observeProbe(now time.Time, id string, u *upstream, failed bool) (Change, bool) {
	if u.probeSince.IsZero() {
		return Change{}, false // outcome of a request from before the ejection
	}
	u.probeSince = time.Time{}
	if failed {
		d.eject(now, u)
		return Change{id, Ejected}, true
	}
	u.probeSuccesses++
	if u.probeSuccesses < d.cfg.Probes {
		return Change{}, false
	}
	d.restore(now, u)
	return Change{id, Healthy}, true
}

// Advance ends ejections that have elapsed and returns the changes in order of
// id. The caller calls it about once a second and after Remove.
func (d *Detector) Advance(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		u := d.upstreams[id]
		switch {
		case u.state != Healthy && d.withheld > len(d.upstreams)/3:
			d.restore(now, u)
			changes = append(changes, Change{id, Healthy})
		case u.state == Ejected && !now.Before(u.ejectedUntil):
			u.state, u.probeSuccesses, u.probeSince = Probation, 0, time.Time{}
			changes = append(changes, Change{id, Probation})
		}
	}
	return changes
}

// restore makes a withheld upstream healthy.
func (d *Detector) restore(now time.Time, u *upstream) {
	u.state = Healthy
	u.healthySince = now
	u.current, u.previous, u.consecutive = counts{}, counts{}, 0
	d.withheld--
}

// eject ejects an upstream for twice the length of its last ejection, halved once
// for each period of that last length for which the upstream has been healthy
// since.
func (d *Detector) eject(now time.Time, u *upstream) {
	length := u.lastEjection * 2
	if u.state == Healthy && u.lastEjection > 0 {
		for good := now.Sub(u.healthySince); good >= u.lastEjection && length > d.cfg.BaseEjection; good -= u.lastEjection {
			length /= 2
		}
	}
	length = min(max(length, d.cfg.BaseEjection), d.cfg.MaxEjection)
	u.state, u.lastEjection, u.ejectedUntil = Ejected, length, now.Add(length)
	u.current, u.previous, u.consecutive = counts{}, counts{}, 0
}

// rollWindow starts a new window if the current one has ended.
func (d *Detector) rollWindow(now time.Time, u *upstream) {
	if now.Before(u.windowEnd) {
		return
	}
	u.previous = u.current
	if now.Sub(u.windowEnd) >= d.cfg.Window {
		u.previous = counts{}
	}
	u.current = counts{}
	u.windowEnd = now.Add(d.cfg.Window)
}

// shouldEject reports whether the outcomes of an upstream justify its ejection.
func (d *Detector) shouldEject(u *upstream) bool {
	if u.consecutive >= d.cfg.Consecutive {
		return true
	}
	failed := u.current.failed + u.previous.failed
	total := failed + u.current.ok + u.previous.ok
	return total >= d.cfg.MinRequests && float64(failed) >= d.cfg.FailureRatio*float64(total)
}

// mayWithhold reports whether one more upstream may be withheld.
func (d *Detector) mayWithhold() bool { return d.withheld+1 <= len(d.upstreams)/3 }
