package side

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// crashMemory is the time for which the runs of a crashed instance are reported to
// leaders that may not have seen it.
const crashMemory = 30 * time.Second

// givenRun is a run that the present instance of the executor was ordered to start and
// of which it has listed no end. Zero times stand for never.
type givenRun struct {
	ordered, confirmed, listed time.Time // when its start was ordered, first answered or listed, and last listed
}

// givenRuns are the runs that an instance was given.
type givenRuns map[ledger.RunRef]*givenRun

// confirm records that the executor has answered the start of a run or listed it.
func (g givenRuns) confirm(ref ledger.RunRef, now time.Time) *givenRun {
	run := g[ref]
	if run != nil && run.confirmed.IsZero() {
		run.confirmed = now
	}
	return run
}

// update takes over the lists of the executor.
func (g givenRuns) update(lists fleet.RunLists, now time.Time) {
	for _, r := range lists.Running {
		if run := g.confirm(ledger.RunRef{Task: r.Task, Run: r.Run}, now); run != nil {
			run.listed = now
		}
	}
	for _, e := range lists.Ended {
		delete(g, ledger.RunRef{Task: e.Task, Run: e.Run})
	}
}

// suspects returns the runs that may have crashed the executor, which has last returned
// its lists at the given time.
func (g givenRuns) suspects(lists time.Time) []ledger.Result {
	var results []ledger.Result
	for ref, run := range g {
		if phase := ledger.PhaseOfCrash(run.ordered, run.confirmed, run.listed, lists); phase != fleet.OrderUnknown {
			results = append(results, ledger.Result{Task: ref.Task, Run: ref.Run, Result: phase})
		}
	}
	slices.SortFunc(results, func(a, b ledger.Result) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	return results
}

// crash holds the suspects of the latest crash of the executor.
type crash struct {
	at       time.Time
	instance string
	results  []ledger.Result
}

// addCrash adds the suspects of the latest crash to the first report of a session that
// follows it. A leader counts each crash once.
func (a *Agent) addCrash(r *ledger.Report) {
	if a.session.crashReported || time.Since(a.crash.at) > crashMemory {
		return
	}
	a.session.crashReported = true
	r.Crashed = a.crash.instance
	r.Results = append(slices.Clone(a.crash.results), r.Results...)
}
