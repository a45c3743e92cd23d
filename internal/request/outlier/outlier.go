// Package outlier ejects upstreams by the outcome of their requests.
//
// An upstream that fails everything at once looks like the fastest one to a
// latency-based policy and would draw all traffic. The Detector counts outcomes
// per upstream, ejects an upstream with a high failure ratio, returns it through
// a probation with few probes, and doubles the time of each further ejection. At
// most a third of the upstreams are withheld (ejected or on probation) at once.
// A Detector is not safe for concurrent use.
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
	// MinRequests is the number of outcomes below which the ratio is not judged.
	MinRequests int
	// FailureRatio ejects from this ratio on.
	FailureRatio float64
	// Consecutive failures eject regardless of the ratio.
	Consecutive int
	// BaseEjection is the time of the first ejection, MaxEjection the cap.
	BaseEjection, MaxEjection time.Duration
	// Probes is the number of consecutive successes that end a probation.
	Probes int
	// ProbeTimeout frees the probe of a request whose outcome never arrives.
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

// Change is a state transition for the router.
type Change struct {
	ID    string
	State State
}

type counts struct{ ok, failed int }

type upstream struct {
	state       State
	current     counts
	previous    counts
	windowEnd   time.Time
	consecutive int
	until       time.Time     // end of the ejection
	lastTime    time.Duration // length of the last ejection, 0: none
	healthyFrom time.Time
	probeSince  time.Time // zero: no probe outstanding
	probesOK    int
}

// Detector judges a set of upstreams. Create it with New.
type Detector struct {
	cfg       Config
	upstreams map[string]*upstream
	withheld  int // ejected or on probation
}

// New returns a Detector without upstreams.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, upstreams: make(map[string]*upstream)}
}

// Add starts to judge an upstream. Adding a known one has no effect.
func (d *Detector) Add(id string) {
	if d.upstreams[id] == nil {
		d.upstreams[id] = &upstream{}
	}
}

// Remove forgets an upstream. The remaining set may then exceed the share of
// withheld upstreams; Advance releases the surplus.
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
// reserves the single probe, which the next Observe of the upstream returns.
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
// the upstream is ejected. A refusal is not a failure of the upstream; the
// caller does not report it.
func (d *Detector) Observe(now time.Time, id string, failed bool) (Change, bool) {
	u := d.upstreams[id]
	if u == nil || u.state == Ejected {
		return Change{}, false
	}
	if u.state == Probation {
		return d.observeProbe(now, id, u, failed)
	}
	d.roll(now, u)
	if !failed {
		u.current.ok++
		u.consecutive = 0
		return Change{}, false
	}
	u.current.failed++
	u.consecutive++
	if !d.failing(u) || !d.roomToWithhold() {
		return Change{}, false
	}
	d.withheld++
	d.eject(now, u)
	return Change{id, Ejected}, true
}

func (d *Detector) observeProbe(now time.Time, id string, u *upstream, failed bool) (Change, bool) {
	if u.probeSince.IsZero() {
		return Change{}, false // outcome of a request from before the ejection
	}
	u.probeSince = time.Time{}
	if failed {
		d.eject(now, u)
		return Change{id, Ejected}, true
	}
	u.probesOK++
	if u.probesOK < d.cfg.Probes {
		return Change{}, false
	}
	d.release(now, u)
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
			d.release(now, u)
			changes = append(changes, Change{id, Healthy})
		case u.state == Ejected && !now.Before(u.until):
			u.state, u.probesOK, u.probeSince = Probation, 0, time.Time{}
			changes = append(changes, Change{id, Probation})
		}
	}
	return changes
}

func (d *Detector) release(now time.Time, u *upstream) {
	u.state = Healthy
	u.healthyFrom = now
	u.current, u.previous, u.consecutive = counts{}, counts{}, 0
	d.withheld--
}

// eject doubles the time of the last ejection, and halves it first for each
// time of that length the upstream has been healthy since.
func (d *Detector) eject(now time.Time, u *upstream) {
	length := u.lastTime * 2
	if u.state == Healthy && u.lastTime > 0 {
		for good := now.Sub(u.healthyFrom); good >= u.lastTime && length > d.cfg.BaseEjection; good -= u.lastTime {
			length /= 2
		}
	}
	length = min(max(length, d.cfg.BaseEjection), d.cfg.MaxEjection)
	u.state, u.lastTime, u.until = Ejected, length, now.Add(length)
	u.current, u.previous, u.consecutive = counts{}, counts{}, 0
}

func (d *Detector) roll(now time.Time, u *upstream) {
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

func (d *Detector) failing(u *upstream) bool {
	if u.consecutive >= d.cfg.Consecutive {
		return true
	}
	failed := u.current.failed + u.previous.failed
	total := failed + u.current.ok + u.previous.ok
	return total >= d.cfg.MinRequests && float64(failed) >= d.cfg.FailureRatio*float64(total)
}

func (d *Detector) roomToWithhold() bool { return d.withheld+1 <= len(d.upstreams)/3 }
