package ledger

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// An executor may list an end before its job is known: an earlier leader, which still
// started tasks, has heard of the job sooner. The end is kept, and not acknowledged, until
// the job is known or it is certain that it was removed.

// earlyEnd is an end that an executor listed before its job was known.
type earlyEnd struct {
	node     *Node
	instance string // that listed it
	end      fleet.End
	at       time.Time // when the list was read
}

// keepEnd keeps an end of a job that is not known.
func (l *Ledger) keepEnd(n *Node, e fleet.End, now time.Time) {
	l.log(Event{What: "end of a job that is not known", Task: e.Task, Run: e.Run, Node: n.Name, Reason: e.Reason.String()})
	l.early[e.Task.Job] = append(l.early[e.Task.Job], earlyEnd{n, n.Executor.Instance, e, now})
	n.unstoredEnds = append(n.unstoredEnds, unstoredEnd{number: e.Number})
}

// applyEarlyEnds applies the ends that were listed before a job was known.
func (l *Ledger) applyEarlyEnds(job *Job, now time.Time) {
	early := l.early[job.ID]
	delete(l.early, job.ID)
	for _, e := range early {
		l.releaseEnd(e)
		if e.node.Executor.Instance != e.instance {
			e.end.Number = 0
		}
		l.applyKnownEnd(e.node, e.end, now)
	}
}

// releaseEnd lets an early end be acknowledged unless something else keeps it.
func (l *Ledger) releaseEnd(e earlyEnd) {
	if e.node.Executor.Instance != e.instance {
		return
	}
	e.node.unstoredEnds = slices.DeleteFunc(e.node.unstoredEnds, func(u unstoredEnd) bool { return u.job == nil && u.number == e.end.Number })
	l.pending[e.node] = struct{}{}
}

// JobsKnown records that every job that was stored before a time is known, unless it was
// removed. The ends that were listed before and whose jobs are not known are dropped.
func (l *Ledger) JobsKnown(before time.Time) {
	for id, early := range l.early {
		left := slices.DeleteFunc(early, func(e earlyEnd) bool {
			removed := e.at.Before(before)
			if removed {
				l.releaseEnd(e)
				l.log(Event{What: "end of a removed job", Task: e.end.Task, Run: e.end.Run, Node: e.node.Name, Reason: e.end.Reason.String()})
			}
			return removed
		})
		if l.early[id] = left; len(left) == 0 {
			delete(l.early, id)
		}
	}
}

// AwaitsJobs reports whether ends of jobs that are not known wait for JobsKnown.
func (l *Ledger) AwaitsJobs() bool { return len(l.early) > 0 }
