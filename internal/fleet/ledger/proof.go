package ledger

import (
	"math"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
)

// proof states why a run has ended of which the executor lists no end. Only the functions
// below return one. A silence, a lost session, an announcement or a registration that is
// gone proves nothing: the run stays in place and keeps its room until one of them holds.
type proof struct {
	kind proofKind
	at   time.Time // when what proves the end was true
}

// everyLapse is later than each lapse that a node counts.
const everyLapse = math.MaxUint64

// proofKind is a kind of proof.
type proofKind uint8

const (
	leaseCounted  proofKind = iota + 1 // the last lease has ended by the leader's clock
	leaseReported                      // the last lease has ended by the executor's clock
	replaced                           // the next instance of the executor has answered
	notListed                          // complete lists made since the order was answered lack it
	refused                            // the executor has refused the only call to start it
)

// String returns the kind as it appears in log lines.
func (k proofKind) String() string {
	return [...]string{"no proof", "lease expired by count", "lease expired", "executor ended", "not listed", "refused"}[k]
}

// lapsedByGrants returns the proof that every lease that this or an earlier leader granted
// to a node has ended. Only a term that was confirmed by a call sent after the end of the
// last one has it: before, a later leader may have extended the lease.
func lapsedByGrants(n *Node, confirmed time.Time) (proof, bool) {
	return proof{leaseCounted, n.LeaseEnd()}, confirmed.After(n.LeaseEnd())
}

// lapsedByReport returns the proof that every lease of the instance has ended, which its
// agent states. An agent reports to the leader with the highest term only, and extends no
// lease by an answer to an earlier report. It holds for the runs that were ordered or listed
// before the first report of a series that states it (Node.lapse): the answer to that one may
// grant a lease and order starts which the agent does not have yet when it makes the next.
func lapsedByReport(r Report, now time.Time) (proof, bool) {
	return proof{leaseReported, now}, r.Lapsed
}

// replacedBy returns the proof that a run has ended with its instance, now that the agent
// reports the next one. Without a listing after its answer, the order may still reach the
// new instance, which has the same ID.
func replacedBy(r *Run, now time.Time) (proof, bool) {
	return proof{replaced, now}, r.inInstance
}

// absentFrom returns the proof that a run does not exist, as a listing of its node does not
// contain it. Partial ones may leave out its end.
func absentFrom(r *Run, listing Report, now time.Time) (proof, bool) {
	absent := r.absentFrom > 0 && r.Node.completeListings >= r.absentFrom && r.lastListing != r.Node.listings
	return proof{notListed, now}, absent && !listing.Partial
}

// refusedOnce returns the proof that a run was never started. The agent reports a refusal
// as such only if none of its own calls may have started the run; an order that was sent
// in several sessions may have been called by an agent that was started anew since.
func refusedOnce(r *Run, result fleet.OrderResult, now time.Time) (proof, bool) {
	switch result {
	case fleet.OrderLate, fleet.OrderNoCapacity, fleet.OrderNoTicket, fleet.OrderBusy, fleet.OrderRejected:
		return proof{refused, now}, !r.repeated
	default:
		return proof{}, false
	}
}
