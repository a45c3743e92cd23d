package ledger

import "slices"

// No run is started in an evacuated failure domain: withdrawStarts has the rule.

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
