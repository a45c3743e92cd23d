// Package quarantine excludes VMs on which tasks keep failing, VMs that leave, and VMs
// whose agent has just refused a task.
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
	// A VM is quarantined after minFailures consecutive failures from at least
	// minFailedJobs jobs: repeated failures of a single job are probably its own fault.
	minFailures   = 4
	minFailedJobs = 2
	// firstTerm is the length of the first quarantine of a VM. Each following one is
	// twice as long, up to maxTerm.
	firstTerm = time.Minute
	maxTerm   = 30 * time.Minute
	// maxQuarantinedShare is the highest share of VMs in quarantine. If more VMs
	// fail, the fault probably lies elsewhere. At least one VM may be in
	// quarantine.
	maxQuarantinedShare = 1.0 / 3
)

// Tracker decides from the ends of attempts which VMs are in quarantine. It is not
// safe for concurrent use.
type Tracker struct {
	vms map[string]*record // only VMs whose last attempt failed
}

// record is the failure history of a VM since its last success.
type record struct {
	failures   int             // consecutive failures
	failedJobs map[string]bool // jobs that failed
	until      time.Time       // end of the last quarantine
	term       time.Duration   // length of the last quarantine
	probation  bool            // the VM has been in quarantine
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker { return &Tracker{vms: map[string]*record{}} }

// RecordEnd records the end of an attempt and reports whether the VM is now in
// quarantine. A success clears the record of the VM. vms is the number of known VMs.
func (t *Tracker) RecordEnd(vm, job string, failed bool, vms int, now time.Time) bool {
	r := t.vms[vm]
	if !failed {
		delete(t.vms, vm)
		return false
	}
	if r == nil {
		r = &record{failedJobs: map[string]bool{}}
		t.vms[vm] = r
	}
	r.failures++
	r.failedJobs[job] = true
	if now.Before(r.until) {
		return true
	}
	if (r.probation || (r.failures >= minFailures && len(r.failedJobs) >= minFailedJobs)) && t.countQuarantined(now)+1 <= max(1, int(maxQuarantinedShare*float64(vms))) {
		r.term = min(maxTerm, max(firstTerm, 2*r.term))
		r.until, r.probation = now.Add(r.term), true
		return true
	}
	return false
}

// Quarantined reports whether the VM is in quarantine. Afterwards the VM is on
// probation: if its next attempt fails, it is quarantined again for twice as long.
func (t *Tracker) Quarantined(vm string, now time.Time) bool {
	r := t.vms[vm]
	return r != nil && now.Before(r.until)
}

// Forget drops the record of a removed VM.
func (t *Tracker) Forget(vm string) { delete(t.vms, vm) }

// countQuarantined returns the number of VMs in quarantine.
func (t *Tracker) countQuarantined(now time.Time) int {
	n := 0
	for _, r := range t.vms {
		if now.Before(r.until) {
			n++
		}
	}
	return n
}
