package ledger

import (
	"fmt"
	"slices"
	"time"
)

// A new leader knows the jobs and what is stored of their progress, but not which runs earlier
// leaders have ordered. Until these are known or have ended, the takeover is not settled.

// HasForeignLease reports whether an executor may have a lease that was granted to the instance
// before it. It lasts as long as the longest one, whoever is in contact with agents.
func (l *Ledger) HasForeignLease(now time.Time) bool {
	for _, n := range l.Nodes {
		if n.foreignLeaseUntil.After(now) {
			return true
		}
	}
	return false
}

// EarlierLeasesEnd returns when the leases of earlier leaders have expired.
func (l *Ledger) EarlierLeasesEnd() time.Time { return l.earlierUntil }

// EndEarlierLeases records that the leases of earlier leaders have expired at a time, which
// takes effect if that is earlier than what is known.
func (l *Ledger) EndEarlierLeases(at time.Time) {
	if !at.Before(l.earlierUntil) {
		return
	}
	for _, n := range l.Nodes {
		if n.LeaseUntil.Equal(l.earlierUntil) {
			n.LeaseUntil = at
		}
		if n.grantedUntil.After(n.LeaseUntil) {
			n.LeaseUntil = n.grantedUntil
		}
	}
	l.earlierUntil = at
	l.log(Event{What: "earlier leases bounded", Reason: fmt.Sprintf("until %v after the takeover", at.Sub(l.takeover).Round(time.Millisecond))})
}

// surveyRuns records that complete lists have shown every run of earlier terms on the instance,
// if the present session has brought some. While starts are held, the agent and the executor
// may have been started anew since they followed a later leader, and show nothing of what that
// one knows.
func (n *Node) surveyRuns() { n.surveyed = n.surveyed || n.complete && !n.startsHeld }

// runsKnown reports whether every run of earlier terms is known or has ended. Lists count also
// once the session has ended: the executor refuses the calls of earlier terms since, and an
// earlier leader orders no starts in a session that began after the election of this one.
func (n *Node) runsKnown() bool { return n.surveyed || n.lapsed && !n.startsHeld }

// Replaces reports whether a report is of another instance of the executor than the one known.
func (n *Node) Replaces(r Report) bool {
	return r.Executor != nil && n.Executor.Instance != "" && r.Executor.Instance != n.Executor.Instance
}

// Takeover is what a takeover that is not settled waits for.
type Takeover struct {
	Held   int       // tasks that are ready but may run by the order of an earlier leader
	Silent []string  // names of the VMs whose runs of earlier terms are not known
	Until  time.Time // when the last lease of an executor of these has expired
}

// Takeover returns what the ledger waits for until it is Settled.
func (l *Ledger) Takeover(now time.Time) Takeover {
	var t Takeover
	if l.Settled {
		return t
	}
	for name, n := range l.Nodes {
		if n.runsKnown() {
			continue
		}
		t.Silent = append(t.Silent, name)
		if n.LeaseEnd().After(t.Until) {
			t.Until = n.LeaseEnd()
		}
	}
	slices.Sort(t.Silent)
	for s := range l.openSteps {
		if !s.Job.Inherited {
			continue
		}
		for _, task := range s.Tasks {
			if task.isReady(now) && !l.isLocated(task) {
				t.Held++
			}
		}
	}
	return t
}

// settledBy describes by what the takeover has settled: its duration, and the nodes of which
// no lists have come.
func (l *Ledger) settledBy(now time.Time) string {
	var silent []string
	for name, n := range l.Nodes {
		if !n.surveyed {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return fmt.Sprintf("after %v, %d VMs, by expired leases %d %v", now.Sub(l.takeover).Round(time.Millisecond), len(l.Nodes), len(silent), silent[:min(MaxNames, len(silent))])
}

// isLocated reports whether no earlier leader has started or will start a task that has no run.
func (l *Ledger) isLocated(t *Task) bool { return t.located && !l.earlierVersions }
