package side

import (
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// maxListsAge is the age of the last reported lists from which on unchanged lists
// are reported again. The leader answers such a report with a further lease.
const maxListsAge = holdWait * 3 / 4

// reportedLists records which lists the leader has received in a session. While
// ends wait to be stored, the executor returns the same lists to each hold; reports
// of all of them would delay the leader, which stores the ends, further.
type reportedLists struct {
	at   time.Time // of the last report
	end  uint64    // highest number of a reported end
	runs map[ledger.RunRef]struct{}
}

// update takes over the lists of an executor. It returns the ends that the leader
// has not received, and whether the lists have to be reported.
func (r *reportedLists) update(lists fleet.RunLists, now time.Time) (ended []fleet.End, news bool) {
	last := r.end
	for _, e := range lists.Ended {
		if e.Number > last {
			ended = append(ended, e)
			r.end = max(r.end, e.Number)
		}
	}
	runs := make(map[ledger.RunRef]struct{}, len(lists.Running))
	added := false
	for _, run := range lists.Running {
		ref := ledger.RunRef{Task: run.Task, Run: run.Run}
		runs[ref] = struct{}{}
		if _, known := r.runs[ref]; !known {
			added = true
		}
	}
	news = added || len(ended) > 0 || len(runs) != len(r.runs) || now.Sub(r.at) >= maxListsAge
	r.runs = runs
	return ended, news
}
