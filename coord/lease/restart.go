package lease

import "slices"

// Proof is the reason why an attempt can no longer run.
type Proof int

// Proofs of EndProof.Decide.
const (
	// NoProof means the attempt may still run.
	NoProof Proof = iota
	// Confirmed (P1): the agent tombstoned the attempt and it does not run.
	Confirmed
	// PermitEnded (P2): Config.Wait has passed without a renewal by an owner,
	// and in each epoch a majority of the members did not attest during a common
	// period of that length (the witness rule).
	PermitEnded
	// HoldEnded (P3): Config.HoldWait has passed.
	HoldEnded
)

// Answer is a member's statement about its attestations.
type Answer struct {
	Member string
	// Sent and Received are the asking entry's clock before the question was
	// sent and after the answer arrived.
	Sent, Received Instant
	// Unattested is the member's Verifier.Unattested when it answered.
	Unattested Instant
}

// EndProof gathers the proof that one attempt of a task has ended.
type EndProof struct {
	cfg       Config
	base      Instant // start of the wait: no verified renewal is based on a later instant
	minEpoch  uint64
	confirmed bool
	answers   map[string][]Answer
	lists     []MemberList
	readAt    Instant
	read      bool
}

// NewEndProof starts the wait for an attempt. owned is the clock when the entry
// learned that it owns the shard: from the response to the takeover's
// compare-and-swap, or to the read that first showed it. epoch is the epoch
// recorded with the attempt, or a later one that the same incarnation of its
// agent reported in a heartbeat.
func NewEndProof(cfg Config, owned Instant, epoch uint64) *EndProof {
	return &EndProof{cfg: cfg, base: owned, minEpoch: epoch, answers: map[string][]Answer{}}
}

// Renewed records that this entry itself renewed the permit at the given clock
// (the result of Verifier.Withhold). The wait starts again from there.
func (r *EndProof) Renewed(at Instant) {
	if !r.cfg.faults.ForgetOwnAcks {
		r.base = max(r.base, at)
	}
}

// Confirm records the proof Confirmed.
func (r *EndProof) Confirm() { r.confirmed = true }

// AskFrom returns the clock from which members are asked. Earlier answers prove
// nothing.
func (r *EndProof) AskFrom() Instant {
	if r.cfg.faults.EarlyAnswers {
		return r.base
	}
	return r.base + r.cfg.Wait()
}

// maxAnswersPerMember is the number of answers kept per member. The newest one
// normally decides; the others cover answers that arrive out of order.
const maxAnswersPerMember = 4

// Answer records a member's statement.
func (r *EndProof) Answer(a Answer) {
	list := append(r.answers[a.Member], a)
	if len(list) > maxAnswersPerMember {
		list = list[1:]
	}
	r.answers[a.Member] = list
}

// Lists records the member lists from the attempt's epoch to the current one.
// started is the clock before they were read from the store.
func (r *EndProof) Lists(started Instant, lists []MemberList) {
	if r.read && started < r.readAt {
		return
	}
	r.read, r.readAt = true, started
	r.lists = slices.Clone(lists)
}

// Ask returns the members whose answers are needed, ordered and without
// duplicates.
func (r *EndProof) Ask() []string {
	var out []string
	for _, l := range r.lists {
		if l.Epoch >= r.minEpoch {
			out = append(out, l.Members...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Decide returns the proof that the attempt has ended, or NoProof.
func (r *EndProof) Decide(now Instant) Proof {
	switch {
	case r.confirmed:
		return Confirmed
	case r.cfg.faults.NoWait:
		return PermitEnded
	case now >= r.base+r.cfg.Wait() && r.witnessed():
		return PermitEnded
	case now >= r.base+r.cfg.HoldWait():
		return HoldEnded
	}
	return NoProof
}

// witnessed applies the witness rule: there is one instant end, after the wait
// and before the lists were read, such that in every epoch a majority did not
// attest during the whole wait before end. A common instant is needed because a
// member may attest again after it answered.
func (r *EndProof) witnessed() bool {
	if r.cfg.faults.IgnoreAttestation {
		return true
	}
	lists, ok := r.contiguousLists()
	if !ok {
		return false
	}
	if r.cfg.faults.MixRounds {
		return r.silentIn(lists, 0, true)
	}
	for _, answers := range r.answers {
		for _, a := range answers {
			end := a.Sent
			fresh := end <= r.readAt || r.cfg.faults.StaleList
			if end >= r.AskFrom() && fresh && r.silentIn(lists, end, false) {
				return true
			}
		}
	}
	return false
}

// contiguousLists returns the lists from minEpoch to the current epoch; ok is
// false if one is missing.
func (r *EndProof) contiguousLists() ([]MemberList, bool) {
	lists := slices.Clone(r.lists)
	slices.SortFunc(lists, func(a, b MemberList) int { return int(a.Epoch) - int(b.Epoch) })
	lists = slices.DeleteFunc(lists, func(l MemberList) bool { return l.Epoch < r.minEpoch })
	if len(lists) == 0 {
		return nil, false
	}
	if r.cfg.faults.CurrentEpochOnly {
		return lists[len(lists)-1:], true
	}
	for i, l := range lists {
		if l.Epoch != r.minEpoch+uint64(i) {
			return nil, false
		}
	}
	return lists, true
}

// silentIn reports whether in each of the lists a majority is known not to have
// attested during the wait before end. With anyEnd (Faults.MixRounds) each
// answer is judged at its own Sent instead of the common end.
func (r *EndProof) silentIn(lists []MemberList, end Instant, anyEnd bool) bool {
	for _, l := range lists {
		silent := 0
		for _, m := range l.Members {
			if r.silent(m, end, anyEnd) {
				silent++
			}
		}
		if silent < l.Majority() {
			return false
		}
	}
	return true
}

// silent reports whether the member is known not to have attested during the
// wait before end.
func (r *EndProof) silent(member string, end Instant, anyEnd bool) bool {
	for _, a := range r.answers[member] {
		if anyEnd {
			end = a.Sent
		}
		if a.Sent >= end && a.Received-a.Unattested <= end-r.cfg.Wait() {
			return true
		}
	}
	return false
}
