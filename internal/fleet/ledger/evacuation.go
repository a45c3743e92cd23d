package ledger

import (
	"maps"
	"time"
)

// No run is started in an evacuated failure domain: withdrawStarts has the rule.

const (
	// maxDomains bounds the failure domains that are noted of an instance. Only announcements
	// of other writers name more than one.
	maxDomains = 16
	// domainMemory is how long a failure domain counts after the last report that states it.
	domainMemory = 10 * time.Second
)

// SetEvacuated replaces the failure domains that are evacuated, and withdraws the
// unconfirmed starts in these.
func (l *Ledger) SetEvacuated(domains map[string]struct{}) {
	l.evacuated = domains
	for _, n := range l.Nodes {
		l.withdrawStarts(n)
	}
}

// IsEvacuated reports whether the executor of a node is in an evacuated failure domain.
// Announcements of one instance may differ, as other writers can make them. Then each of the
// failure domains that were reported lately counts: a start in an evacuated one is worse than
// none elsewhere.
func (l *Ledger) IsEvacuated(n *Node) bool {
	for domain := range n.domains {
		if _, evacuated := l.evacuated[domain]; evacuated {
			return true
		}
	}
	return false
}

// noteDomain records the failure domain of a report, and forgets those that were not reported
// lately.
func (n *Node) noteDomain(now time.Time) {
	maps.DeleteFunc(n.domains, func(_ string, last time.Time) bool { return now.Sub(last) > domainMemory })
	d := n.Executor.FailureDomain
	if _, known := n.domains[d]; !known && len(n.domains) >= maxDomains {
		return
	}
	if n.domains == nil {
		n.domains = map[string]time.Time{}
	}
	n.domains[d] = now
}
