package lease

import "slices"

// Key names one attempt of a task.
type Key struct {
	Task    string
	Attempt uint64
}

// Attempt is one attempt with the authority under which it was started.
type Attempt struct {
	Key
	Shard uint32
	// Generation of the shard's owner that started the attempt.
	Generation uint64
	// Epoch is the member list epoch recorded with the attempt before its
	// start. Attestations of a lower epoch do not renew the attempt's permit.
	Epoch uint64
}

// ShardGeneration is a shard with the generation under which it is owned.
type ShardGeneration struct {
	Shard      uint32
	Generation uint64
}

// MemberList is the region's member list of one epoch. A member is an entry
// incarnation, so a restarted entry is another member.
type MemberList struct {
	Epoch   uint64
	Members []string
}

// Majority returns the smallest number of members that is more than half.
func (l MemberList) Majority() int { return len(l.Members)/2 + 1 }

// Has reports whether the list contains the member.
func (l MemberList) Has(member string) bool { return slices.Contains(l.Members, member) }

// Ack is an entry's answer to a heartbeat.
type Ack struct {
	// Seq is the sequence number of the heartbeat that is answered.
	Seq uint64
	// Entry is the incarnation of the answering entry.
	Entry string
	// Verified reports whether VerifiedAge and Shards are valid.
	Verified bool
	// VerifiedAge is the time since the start of the last successful read that
	// named the entry as owner of Shards, taken when the answer is sent.
	VerifiedAge Instant
	// Shards is the full list that the read confirmed, without the shards
	// withheld from this agent. A partial list would let an agent that missed
	// a change renew permits of a shard that the entry has lost.
	Shards []ShardGeneration
	// NoContact attests that the entry had no contact with the store for
	// Config.Silence.
	NoContact bool
	// Epoch is the epoch of the entry's member list.
	Epoch uint64
	// Members is the list itself, when the agent reported a lower epoch.
	Members *MemberList
}

// ActionKind tells what the agent has to do with an attempt.
type ActionKind int

// Actions of a Holder.
const (
	// ExtendWorker extends the worker's own lease, at most to Until.
	ExtendWorker ActionKind = iota + 1
	// Stop checkpoints and stops the attempt. It is tombstoned already.
	Stop
)

// Action is an instruction to the agent.
type Action struct {
	Kind    ActionKind
	Attempt Attempt
	// Until is the end of the permit on the agent's clock.
	Until Instant
	// Reason is set on Stop.
	Reason StopReason
}

// StopReason is the reason why an attempt is stopped.
type StopReason string

// Reasons of Stop.
const (
	Expired    StopReason = "permit expired"
	Tombstoned StopReason = "tombstoned by owner"
	Revoked    StopReason = "clock jumped"
)
