package lead

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/queue"
)

// sortReady sorts steps into the order in which they get VMs.
func (p *planner) sortReady(ready []ledger.ReadyStep, now time.Time) {
	items := make(map[*ledger.Step]queue.Item, len(ready))
	for _, r := range ready {
		items[r.Step] = p.itemOf(r.Step)
	}
	slices.SortStableFunc(ready, func(a, b ledger.ReadyStep) int {
		return queue.Compare(items[a.Step], items[b.Step], now)
	})
}

// itemOf describes a step of the ledger for the queue.
func (p *planner) itemOf(s *ledger.Step) queue.Item {
	return newItem(&s.Job.Job, p.policy(s.Job), s.Index, workLeft(s.Occurrence))
}

// newItem describes a step of a job for the queue.
func newItem(job *fleet.Job, policy fleet.Policy, step int, workLeft float64) queue.Item {
	s := &job.Steps[step]
	chains := chainsOf(job.Steps, func(s *fleet.Step) time.Duration { return s.Estimate })
	return queue.Item{
		Priority: policy.Priority, Lasting: s.Lasting, Fills: s.Fills, Accepted: job.Accepted,
		Objective: objectiveOf(job, policy, slices.Max(chains)), Remaining: chains[step], WorkLeft: workLeft,
	}
}

// objectiveOf returns the time from its acceptance in which a job is expected to end, by
// its estimated longest chain of steps, with an allowance for estimates that are too short;
// 0: none is known.
func objectiveOf(job *fleet.Job, policy fleet.Policy, chain time.Duration) time.Duration {
	const allowance = 1.5
	if chain == 0 || job.Repeats > 0 {
		return 0
	}
	return time.Duration(allowance*policy.Stretch*float64(chain)) + policy.Objective
}

// chainsOf returns for each step the expected time of the longest chain of dependent steps
// that begins with it.
func chainsOf(steps []fleet.Step, expect expectation) []time.Duration {
	out := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- { // a step comes after those that it depends on
		out[i] += expect(&steps[i])
		for _, before := range steps[i].After {
			out[before] = max(out[before], out[i])
		}
	}
	return out
}

// workLeft returns the share of the estimated work of an occurrence that is left, in
// core-seconds, or 1 if there are no estimates.
func workLeft(o *ledger.Occurrence) float64 {
	return workShare(o.Steps[0].Job.Steps, func(i int) int { return o.Steps[i].Left })
}

// workShare returns the share of the estimated work of some steps that is left, by the
// number of tasks that are left of each step.
func workShare(steps []fleet.Step, tasksLeft func(step int) int) float64 {
	left, all := 0.0, 0.0
	for i := range steps {
		each := float64(steps[i].Need.MilliCPU) * steps[i].Estimate.Seconds()
		left += each * float64(tasksLeft(i))
		all += each * float64(steps[i].Count)
	}
	if all == 0 {
		return 1
	}
	return left / all
}
