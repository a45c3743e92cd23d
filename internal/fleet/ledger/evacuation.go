package ledger

import (
	"slices"
)

// No run is started in an evacuated failure domain. Runs that are confirmed go on. A start
// that is not confirmed may still be carried out late or repeated, so its run is stopped:
// an executor does not start a run that was stopped. The task is ready again once the end
// of the run, or its absence, is known.

// maxDomains bounds the failure domains that are noted of an instance. Only announcements
// of other writers name more than one.
const maxDomains = 16

// SetEvacuated replaces the failure domains that are evacuated, and withdraws the
// unconfirmed starts in these.
func (l *Ledger) SetEvacuated(domains map[string]struct{}) {
	l.evacuated = domains
	for _, n := range l.Nodes {
		l.withdrawStarts(n)
	}
}

// IsEvacuated reports whether the executor of a node is in an evacuated failure domain.
// Announcements of one instance may differ, as other writers can make them. Then each of
// the failure domains counts: a start in an evacuated one is worse than none elsewhere.
func (l *Ledger) IsEvacuated(n *Node) bool {
	return slices.ContainsFunc(n.domains, func(domain string) bool {
		_, evacuated := l.evacuated[domain]
		return evacuated
	})
}

// noteDomain records the failure domain in which the executor of a node is announced.
func (n *Node) noteDomain() {
	if d := n.Executor.FailureDomain; len(n.domains) < maxDomains && !slices.Contains(n.domains, d) {
		n.domains = append(n.domains, d)
	}
}

// withdrawStarts stops the runs of a node that are not confirmed if it is evacuated.
func (l *Ledger) withdrawStarts(n *Node) {
	if !l.IsEvacuated(n) {
		return
	}
	for _, r := range n.Runs {
		if r.State == Starting {
			l.Stop(r, "failure domain evacuated")
			l.log(Event{What: "start withdrawn", Task: r.ID, Run: r.Number, Node: n.Name, Reason: "failure domain evacuated"})
		}
	}
}
