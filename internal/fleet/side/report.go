package side

import (
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
)

// reportLists reports the lists of the executor, unless the session has brought
// them to the leader already, with the results of orders. Ends are reported once in a
// session.
func (a *Agent) reportLists(lists fleet.RunLists, results []ledger.Result) {
	results = append(results, a.completeListedStarts(lists)...)
	now := time.Now()
	ended, news := a.session.reported.update(lists, now)
	if len(ended) > 0 {
		a.unackedDelay = minUnackedHoldDelay
	}
	if news || len(results) > 0 {
		a.session.reported.at = now
		a.report(ledger.Report{Listed: true, Partial: lists.Partial, Running: lists.Running, Ended: ended, Results: results})
	}
}

// report adds the executor's description to r and sends it to the leader. A
// leader that doesn't read its reports loses the session.
func (a *Agent) report(r ledger.Report) {
	if a.session == nil {
		return
	}
	r.Executor, r.Lapsed, r.Leaving = a.executor, a.lapsed, a.leaveSilent
	a.addCrash(&r)
	a.reportNumber++
	if a.lease.hasReading {
		a.sentReports[a.reportNumber] = sentReport{a.lease.latest, time.Now()}
		delete(a.sentReports, a.reportNumber-maxSentReports)
	}
	select {
	case a.session.outbox <- link.Report(a.reportNumber, r, a.session.answered, a.introduce()):
	default:
		a.opts.Log.Warn("Leader does not read its reports, session closed.", "term", a.session.term)
		a.session.cancel()
	}
}

// introduce returns what the next report of the session states of the process.
func (a *Agent) introduce() link.Introduction {
	if a.session.introduced {
		return link.Introduction{}
	}
	a.session.introduced = true
	return link.Introduction{Process: a.process, EarlierLeader: time.Since(a.earlierHeardAt)}
}
