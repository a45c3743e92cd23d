// Package quarantine keeps tasks away from VMs that fail what they start, that
// leave, or whose agent refused a task a moment ago.
package quarantine

import (
	"time"

	"vanillalock.example/vanillalock/internal/scheduler"
)

// Plugin is a Filter.
type Plugin struct{}

// Name implements scheduler.Filter.
func (Plugin) Name() string { return "quarantine" }

// Filter implements scheduler.Filter.
func (Plugin) Filter(n *scheduler.Node, _ *scheduler.Task) bool {
	return !n.Quarantined && !n.Leaving && !n.BackingOff()
}

const (
	// failuresInRow quarantines a VM when they come from at least jobsInRow jobs:
	// the failures of one job say more about the job.
	failuresInRow = 4
	jobsInRow     = 2
	// firstTerm is the first quarantine; it doubles with each relapse.
	firstTerm = time.Minute
	maxTerm   = 30 * time.Minute
	// maxShare bounds the VMs in quarantine: more failing VMs mean that the fault
	// lies elsewhere.
	maxShare = 1.0 / 3
)

// Tracker decides from the ends of attempts which VMs are in quarantine.
type Tracker struct {
	vms map[string]*record
}

type record struct {
	row       int
	jobs      map[string]bool
	until     time.Time
	term      time.Duration
	probation bool
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker { return &Tracker{vms: map[string]*record{}} }

// Ended records the end of an attempt and reports whether the VM is in quarantine
// now. VMs is the number of VMs known.
func (t *Tracker) Ended(vm, job string, failed bool, vms int, now time.Time) bool {
	r := t.vms[vm]
	if !failed {
		delete(t.vms, vm)
		return false
	}
	if r == nil {
		r = &record{jobs: map[string]bool{}}
		t.vms[vm] = r
	}
	r.row++
	r.jobs[job] = true
	if now.Before(r.until) {
		return true
	}
	if (r.probation || (r.row >= failuresInRow && len(r.jobs) >= jobsInRow)) && t.inside(now)+1 <= max(1, int(maxShare*float64(vms))) {
		r.term = min(maxTerm, max(firstTerm, 2*r.term))
		r.until, r.probation = now.Add(r.term), true
		return true
	}
	return false
}

// Quarantined reports whether the VM is in quarantine. After its term it is on
// probation: the next failure brings it back for twice as long.
func (t *Tracker) Quarantined(vm string, now time.Time) bool {
	r := t.vms[vm]
	return r != nil && now.Before(r.until)
}

// Forget drops the record of a VM that is gone.
func (t *Tracker) Forget(vm string) { delete(t.vms, vm) }

func (t *Tracker) inside(now time.Time) int {
	n := 0
	for _, r := range t.vms {
		if now.Before(r.until) {
			n++
		}
	}
	return n
}
