package lease

import "slices"

// Verifier is the entry's side of the permit rule. It knows when the entry last
// verified its ownership, whether it attests, and when it last did.
type Verifier struct {
	cfg        Config
	id         string
	contactAt  Instant // last answer of the store
	attestedAt Instant // last attestation, or the start of the incarnation
	readAt     Instant // start of the last read that confirmed owned
	read       bool
	owned      []ShardGeneration
	list       MemberList
	withheld   map[agentShard]bool
	renewedAt  map[agentShard]Instant
	ownerLost  bool // set by SetOwnerLost
}

// agentShard is a shard whose permits are held at an agent.
type agentShard struct {
	agent string
	shard uint32
}

// NewVerifier returns the verifier of a new entry incarnation.
func NewVerifier(cfg Config, id string, now Instant) *Verifier {
	return &Verifier{cfg: cfg, id: id, contactAt: now, attestedAt: now, withheld: map[agentShard]bool{}, renewedAt: map[agentShard]Instant{}}
}

// RecordStoreContact records any answer of the store, including a conflict.
func (v *Verifier) RecordStoreContact(now Instant) { v.contactAt = max(v.contactAt, now) }

// SetOwned records a successful read or write of the ownership table. started is
// the clock before the call, owned the shards that this entry incarnation owns
// in the table. A result older than the last is ignored.
func (v *Verifier) SetOwned(started, now Instant, owned []ShardGeneration) {
	v.RecordStoreContact(now)
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

// SetOwnerLost sets whether the owner of some shard is dead or out of reach and
// no entry has taken the shard over. The entry then attests although the store
// answers: a dead owner's lease lasts as long as a permit, so permits would end
// before the takeover. This is safe because the proof that a permit has ended
// depends only on when members attested, not on why.
func (v *Verifier) SetOwnerLost(lost bool) { v.ownerLost = lost }

// SetMembers records the member list as read from the store. A list of a lower
// epoch is ignored.
func (v *Verifier) SetMembers(list MemberList) {
	if list.Epoch > v.list.Epoch {
		v.list = MemberList{Epoch: list.Epoch, Members: slices.Clone(list.Members)}
	}
}

// Epoch returns the epoch of the entry's member list.
func (v *Verifier) Epoch() uint64 { return v.list.Epoch }

// Ack returns the answer to heartbeat seq of an agent that reported agentEpoch.
// The verifier records what the answer states, so the caller sends it at once or
// drops it, but doesn't repeat it later.
func (v *Verifier) Ack(now Instant, agent string, seq, agentEpoch uint64) Ack {
	a := Ack{Seq: seq, Entry: v.id, Epoch: v.list.Epoch}
	if age := now - v.readAt; v.read && age < v.cfg.Duration {
		a.Verified, a.VerifiedAge = true, age
		for _, s := range v.owned {
			h := agentShard{agent, s.Shard}
			if v.withheld[h] {
				continue
			}
			a.Shards = append(a.Shards, s)
			v.renewedAt[h] = now
		}
	}
	if (v.ownerLost || now-v.contactAt >= v.cfg.Silence) && v.list.Has(v.id) {
		a.NoContact = true
		v.attestedAt = now
	}
	if agentEpoch < v.list.Epoch {
		list := MemberList{Epoch: v.list.Epoch, Members: slices.Clone(v.list.Members)}
		a.Members = &list
	}
	return a
}

// Unattested returns the time since the last attestation, or since the start of
// this incarnation if there was none.
func (v *Verifier) Unattested(now Instant) Instant { return now - v.attestedAt }

// Withhold stops renewing the permits of a shard at one agent, so that they
// end. It returns the clock at which this entry last renewed them, if it did.
func (v *Verifier) Withhold(agent string, shard uint32) (Instant, bool) {
	h := agentShard{agent, shard}
	v.withheld[h] = true
	t, ok := v.renewedAt[h]
	return t, ok
}

// Release ends Withhold. The caller must wait until the agent has tombstoned the
// attempts. A proof by time (PermitEnded, HoldEnded) is not enough: the start
// message may still be in flight, and the agent would accept it as soon as the
// generation is verified again.
func (v *Verifier) Release(agent string, shard uint32) { delete(v.withheld, agentShard{agent, shard}) }

// Forget drops the record of an agent that is removed and holds no permit.
func (v *Verifier) Forget(agent string) {
	for h := range v.renewedAt {
		if h.agent == agent {
			delete(v.renewedAt, h)
		}
	}
	for h := range v.withheld {
		if h.agent == agent {
			delete(v.withheld, h)
		}
	}
}
