package lease

import "slices"

// Verifier is the entry's side of the permit rule. It knows when the entry last
// verified its ownership, whether it attests, and when it last did.
type Verifier struct {
	cfg      Config
	id       string
	contact  Instant // last answer of the store
	attested Instant // last attestation, or the start of the incarnation
	readAt   Instant // start of the last read that confirmed owned
	read     bool
	owned    []ShardGeneration
	list     MemberList
	withheld map[hold]bool
	acked    map[hold]Instant
	lost     bool // the owner of some shard is lost
}

type hold struct {
	agent string
	shard uint32
}

// NewVerifier returns the verifier of a new entry incarnation.
func NewVerifier(cfg Config, id string, now Instant) *Verifier {
	return &Verifier{cfg: cfg, id: id, contact: now, attested: now, withheld: map[hold]bool{}, acked: map[hold]Instant{}}
}

// Contact records any answer of the store, also a conflict.
func (v *Verifier) Contact(now Instant) { v.contact = max(v.contact, now) }

// Owned records a successful read of the ownership table, or a successful
// write of it: started is the clock before the call, owned the shards that the
// table gives this entry incarnation. A result older than the last is ignored.
func (v *Verifier) Owned(started, now Instant, owned []ShardGeneration) {
	v.Contact(now)
	if v.read && started < v.readAt {
		return
	}
	for h := range v.withheld {
		// A start of an earlier generation is refused at the agent already.
		if generation(owned, h.shard) != generation(v.owned, h.shard) {
			delete(v.withheld, h)
		}
	}
	v.read, v.readAt = true, started
	v.owned = slices.Clone(owned)
}

func generation(owned []ShardGeneration, shard uint32) uint64 {
	for _, s := range owned {
		if s.Shard == shard {
			return s.Generation
		}
	}
	return 0
}

// OwnerLost sets whether the owner of some shard is dead or out of reach and
// nobody has taken the shard over. The entry then attests although the store
// answers: a dead owner's lease lasts as long as a permit, so that permits
// would end before the takeover. A proof that permits have ended rests on the
// members' statements when they attested and never on why they did.
func (v *Verifier) OwnerLost(lost bool) { v.lost = lost }

// Members records the member list as read from the store. It never goes back.
func (v *Verifier) Members(list MemberList) {
	if list.Epoch > v.list.Epoch {
		v.list = MemberList{Epoch: list.Epoch, Members: slices.Clone(list.Members)}
	}
}

// Epoch is the epoch of the entry's member list.
func (v *Verifier) Epoch() uint64 { return v.list.Epoch }

// Ack is the answer to heartbeat seq of an agent that reported agentEpoch. It
// records what it states, so the caller sends it or drops it, but never
// repeats it later.
func (v *Verifier) Ack(now Instant, agent string, seq, agentEpoch uint64) Ack {
	a := Ack{Seq: seq, Entry: v.id, Epoch: v.list.Epoch}
	if age := now - v.readAt; v.read && age < v.cfg.Duration {
		a.Verified, a.VerifiedAge = true, age
		for _, s := range v.owned {
			h := hold{agent, s.Shard}
			if v.withheld[h] {
				continue
			}
			a.Shards = append(a.Shards, s)
			v.acked[h] = now
		}
	}
	if (v.lost || now-v.contact >= v.cfg.Silence) && v.list.Has(v.id) {
		a.NoContact = true
		v.attested = now
	}
	if agentEpoch < v.list.Epoch {
		list := MemberList{Epoch: v.list.Epoch, Members: slices.Clone(v.list.Members)}
		a.Members = &list
	}
	return a
}

// Unattested is the time since the last attestation, or since the start of
// this incarnation if there was none.
func (v *Verifier) Unattested(now Instant) Instant { return now - v.attested }

// Withhold stops renewing the permits of a shard at one agent, so that they
// end. It returns the last clock at which this entry renewed them, if it did.
func (v *Verifier) Withhold(agent string, shard uint32) (Instant, bool) {
	h := hold{agent, shard}
	v.withheld[h] = true
	t, ok := v.acked[h]
	return t, ok
}

// Release ends Withhold, after the agent tombstoned the attempts. A proof by
// time (PermitEnded, HoldEnded) is not enough: the start may still be on its
// way, and the agent accepts it as soon as the generation is verified again.
func (v *Verifier) Release(agent string, shard uint32) { delete(v.withheld, hold{agent, shard}) }

// Forget drops the record of an agent that is removed and holds no permit.
func (v *Verifier) Forget(agent string) {
	for h := range v.acked {
		if h.agent == agent {
			delete(v.acked, h)
		}
	}
	for h := range v.withheld {
		if h.agent == agent {
			delete(v.withheld, h)
		}
	}
}
