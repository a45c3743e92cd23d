package lead

import (
	"time"

	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// Parameters of the detection of runs that stand still. It answers VMs on which
// tasks start and then stop to progress while the executor goes on to report.
const (
	minStall = 1200 * time.Millisecond
	// stallFactor is the ratio to the usual time for one percent of progress from
	// which on a run counts as stalled. A VM that is short of CPU slows a task by less.
	stallFactor = 10
	// longRunFactor is the ratio of the longest run time to the estimate that a task
	// without progress may have.
	longRunFactor = 10
	// minPaceSample is the progress in percent from which on a run's own speed counts.
	minPaceSample = 5
	fullPace      = 100 // percent
)

// isStalled reports whether a run has made no progress for far longer than its speed,
// or else its estimate, explains.
func isStalled(r *ledger.Run, now time.Time) bool {
	if r.Task == nil || r.State != ledger.Running || r.Task.Step.Spec.Lasting || r.PaceNow() < fullPace {
		return false
	}
	quiet := now.Sub(maxTime(r.ProgressedAt, maxTime(r.PaceSince, r.Since)))
	usual := r.Task.Step.Spec.Estimate * longRunFactor / 100
	if r.Percent >= minPaceSample {
		usual = r.ProgressedAt.Sub(r.Since) / time.Duration(r.Percent)
	}
	return quiet > max(minStall, stallFactor*usual)
}
