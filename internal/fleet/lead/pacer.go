package lead

import "time"

// Limits of the delay between two plans.
const (
	// planShare is the largest share of the time that plans take. The rest is left
	// for reports, leases and commits, which keep the fleet alive.
	planShare    = 0.3
	minPlanDelay = 4 * time.Millisecond // lets the reports of many VMs share a plan
	maxPlanDelay = 100 * time.Millisecond
)

// pacer spaces out plans when they are requested faster than the processor can make
// them. The plans of a quiet fleet follow each event at once.
type pacer struct {
	next  time.Time
	timer *time.Timer // fires at next after due has put off a plan
}

func newPacer() *pacer {
	p := &pacer{timer: time.NewTimer(time.Hour)}
	p.timer.Stop()
	return p
}

// due reports whether a plan may be made now. If not, the timer fires once it may.
func (p *pacer) due(now time.Time) bool {
	if wait := p.next.Sub(now); wait > 0 {
		p.timer.Reset(wait)
		return false
	}
	return true
}

// done records that a plan took from begin to end.
func (p *pacer) done(begin, end time.Time) {
	p.next = end.Add(min(maxPlanDelay, max(minPlanDelay, planDelay(end.Sub(begin)))))
}

// planDelay returns the pause after a plan that took the given time, so that plans
// take planShare of the time.
func planDelay(took time.Duration) time.Duration {
	return time.Duration(float64(took) * (1 - planShare) / planShare)
}
