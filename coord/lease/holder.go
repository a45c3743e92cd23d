package lease

import (
	"cmp"
	"errors"
	"slices"
)

// Errors of Holder.Start. Each proves that the attempt was not started.
var (
	// ErrExists means the attempt runs already.
	ErrExists = errors.New("lease: attempt runs already")
	// ErrTombstoned means the attempt has ended or was refused for good.
	ErrTombstoned = errors.New("lease: attempt is tombstoned")
	// ErrNotVerified means no live verification of the shard's generation is known.
	ErrNotVerified = errors.New("lease: ownership is not verified")
	// ErrIncarnation means the start was meant for another incarnation of the agent.
	ErrIncarnation = errors.New("lease: another agent incarnation")
	// ErrNotReady means the worker's tasks have not been adopted yet.
	ErrNotReady = errors.New("lease: worker tasks are not adopted yet")
	// ErrConcurrent means another attempt of the task runs on this agent.
	ErrConcurrent = errors.New("lease: another attempt of the task runs")
)

type phase uint8

const (
	running phase = iota + 1
	stopping
)

// permit is the right of an attempt to run until an instant.
type permit struct {
	attempt  Attempt
	until    Instant
	verified Instant // basis of the last verified renewal
	adopted  bool
	phase    phase
}

// verification is the latest verified ownership of a shard.
type verification struct {
	generation uint64
	basis      Instant // t_sent - verified age, the latest known
}

// Holder is the agent's side of the permit rule. It holds the permits of one
// agent incarnation.
type Holder struct {
	cfg         Config
	incarnation uint64
	ready       bool
	seq         uint64
	sent        map[uint64]Instant
	shards      map[uint32]verification
	list        MemberList
	attestedAt  map[string]Instant // t_sent of the latest attested heartbeat
	permits     map[Key]*permit
	tombstones  map[Key]Instant
}

// NewHolder returns the holder of a new agent incarnation. It accepts no start
// and confirms no tombstone before Adopted.
func NewHolder(cfg Config, incarnation uint64) *Holder {
	return &Holder{
		cfg: cfg, incarnation: incarnation,
		sent: map[uint64]Instant{}, shards: map[uint32]verification{},
		attestedAt: map[string]Instant{}, permits: map[Key]*permit{},
		tombstones: map[Key]Instant{},
	}
}

// Adopt takes over an attempt that the worker lists as running. listed is the
// clock before the worker was asked. The end of the attempt's permit is unknown,
// so the permit is renewed only by verification and not by attestation. If the
// lease that the worker still has expires, the worker refuses to extend it.
func (h *Holder) Adopt(listed Instant, a Attempt) {
	verified := listed - h.cfg.Hold
	if h.cfg.faults.AdoptAttested {
		verified = listed
	}
	h.permits[a.Key] = &permit{attempt: a, until: listed + h.cfg.Duration, verified: verified, adopted: true, phase: running}
}

// Adopted marks the end of adoption: all running tasks of the worker are known.
func (h *Holder) Adopted() { h.ready = true }

// HeartbeatSent records the clock before a heartbeat is sent to the entries and
// returns its sequence number.
func (h *Holder) HeartbeatSent(now Instant) uint64 {
	h.seq++
	h.sent[h.seq] = now
	for seq, t := range h.sent {
		if t+h.cfg.Duration <= now {
			delete(h.sent, seq)
		}
	}
	return h.seq
}

// Epoch returns the epoch of the agent's member list. It never decreases and is
// reported in heartbeats.
func (h *Holder) Epoch() uint64 { return h.list.Epoch }

// Ack processes an entry's answer to a heartbeat. Expiry comes first: after a
// pause no renewal revives an ended permit.
func (h *Holder) Ack(now Instant, a Ack) []Action {
	actions := h.Expire(now)
	sent, known := h.sent[a.Seq]
	if h.cfg.faults.FromReceive {
		sent, known = now, true
	}
	if a.Members != nil && a.Members.Epoch > h.list.Epoch {
		h.list = MemberList{Epoch: a.Members.Epoch, Members: slices.Clone(a.Members.Members)}
		clear(h.attestedAt)
	}
	if !known {
		return actions
	}
	before := h.permitEnds()
	if a.Verified {
		h.renewVerified(sent-a.VerifiedAge, a.Shards)
	}
	h.renewAttested(sent, a)
	return append(actions, h.extensions(now, before)...)
}

// renewVerified renews the permits of the shards whose ownership was verified at
// basis.
func (h *Holder) renewVerified(basis Instant, shards []ShardGeneration) {
	for _, s := range shards {
		cur := h.shards[s.Shard]
		if s.Generation < cur.generation {
			continue
		}
		if s.Generation > cur.generation {
			cur = verification{generation: s.Generation, basis: basis}
		}
		cur.basis = max(cur.basis, basis)
		h.shards[s.Shard] = cur
		for _, p := range h.permits {
			if p.attempt.Shard != s.Shard || p.attempt.Generation > s.Generation || p.phase != running {
				continue
			}
			p.verified = max(p.verified, basis)
			p.until = max(p.until, basis+h.cfg.Duration)
		}
	}
}

// renewAttested records a member's attestation. If a majority has attested, it
// renews the permits until Duration after the k-th latest attested heartbeat, k
// being the majority, but no longer than the hold limit.
func (h *Holder) renewAttested(sent Instant, a Ack) {
	if !a.NoContact || !h.list.Has(a.Entry) {
		return
	}
	if a.Epoch != h.list.Epoch && !h.cfg.faults.AnyEpoch {
		return
	}
	if old, ok := h.attestedAt[a.Entry]; !ok || sent > old {
		h.attestedAt[a.Entry] = sent
	}
	k := h.list.Majority()
	if len(h.attestedAt) < k {
		return
	}
	times := make([]Instant, 0, len(h.attestedAt))
	for _, t := range h.attestedAt {
		times = append(times, t)
	}
	slices.SortFunc(times, func(x, y Instant) int { return cmp.Compare(y, x) })
	end := times[k-1] + h.cfg.Duration
	for _, p := range h.permits {
		if p.phase != running || p.attempt.Epoch > h.list.Epoch && !h.cfg.faults.AnyEpoch {
			continue
		}
		if p.adopted && !h.cfg.faults.AdoptAttested {
			continue
		}
		p.until = max(p.until, min(end, p.verified+h.cfg.Hold))
	}
}

// Start accepts an attempt if it can be given a verified permit, and returns
// the action for the worker. target is the agent incarnation of the session on
// which the start arrived.
func (h *Holder) Start(now Instant, target uint64, a Attempt) ([]Action, error) {
	actions := h.Expire(now)
	if err := h.checkStart(now, target, a); err != nil {
		return actions, err
	}
	basis := h.shards[a.Shard].basis
	if h.cfg.faults.StartUnverified {
		basis = now
	}
	p := &permit{attempt: a, until: basis + h.cfg.Duration, verified: basis, phase: running}
	h.permits[a.Key] = p
	return append(actions, Action{Kind: ExtendWorker, Attempt: a, Until: p.until}), nil
}

func (h *Holder) checkStart(now Instant, target uint64, a Attempt) error {
	if target != h.incarnation {
		return ErrIncarnation
	}
	if !h.ready {
		return ErrNotReady
	}
	if _, ok := h.tombstones[a.Key]; ok {
		return ErrTombstoned
	}
	if p, ok := h.permits[a.Key]; ok {
		if p.phase == stopping {
			return ErrTombstoned
		}
		return ErrExists
	}
	for k := range h.permits {
		if k.Task == a.Task {
			return ErrConcurrent
		}
	}
	v := h.shards[a.Shard]
	short := h.cfg.WorkerLease(now, v.basis+h.cfg.Duration) <= 0
	if (v.generation != a.Generation || short) && !h.cfg.faults.StartUnverified {
		return ErrNotVerified
	}
	return nil
}

// Expire stops the attempts whose permits have ended. The caller runs it at
// NextExpiry and, after a pause, before anything else.
func (h *Holder) Expire(now Instant) []Action {
	var actions []Action
	for key, p := range h.permits {
		if p.until > now {
			continue
		}
		if p.phase == stopping {
			// The worker's lease has ended too.
			if p.until+h.cfg.Margin <= now {
				h.end(now, key)
			}
			continue
		}
		if !h.cfg.faults.Revive {
			actions = append(actions, h.stop(p, Expired))
		}
	}
	for key, t := range h.tombstones {
		if t+h.cfg.Retention <= now {
			delete(h.tombstones, key)
		}
	}
	return sortActions(actions)
}

// NextExpiry returns the earliest time at which Expire has something to do, or
// false if there is no permit.
func (h *Holder) NextExpiry() (Instant, bool) {
	var next Instant
	found := false
	for _, p := range h.permits {
		t := p.until
		if p.phase == stopping {
			t += h.cfg.Margin
		}
		if !found || t < next {
			next, found = t, true
		}
	}
	return next, found
}

// RevokeAll ends every permit, for an agent that finds that its clock stood
// still while other clocks advanced.
func (h *Holder) RevokeAll(now Instant) []Action {
	var actions []Action
	for _, p := range h.permits {
		if p.phase == running {
			p.until = min(p.until, now)
			actions = append(actions, h.stop(p, Revoked))
		}
	}
	clear(h.shards)
	clear(h.attestedAt)
	clear(h.sent)
	return sortActions(actions)
}

// Tombstone makes sure that the attempt never starts, and stops it if it runs.
// It returns true if the attempt is proven not to run (Confirmed). Otherwise the
// caller repeats the call after Stopped.
func (h *Holder) Tombstone(now Instant, key Key) ([]Action, bool) {
	actions := h.Expire(now)
	if !h.ready {
		return actions, false
	}
	p, ok := h.permits[key]
	if !ok {
		h.tombstones[key] = now
		return actions, true
	}
	if p.phase == running {
		actions = append(actions, h.stop(p, Tombstoned))
	}
	return actions, false
}

// Stopped records that the worker confirmed the end of the attempt.
func (h *Holder) Stopped(now Instant, key Key) {
	if _, ok := h.permits[key]; ok {
		h.end(now, key)
	}
}

// Running lists the attempts that run, ordered by key, with the ends of their permits.
func (h *Holder) Running() []Action {
	var out []Action
	for _, p := range h.permits {
		if p.phase == running {
			out = append(out, Action{Kind: ExtendWorker, Attempt: p.attempt, Until: p.until})
		}
	}
	return sortActions(out)
}

func (h *Holder) stop(p *permit, reason StopReason) Action {
	p.phase = stopping
	return Action{Kind: Stop, Attempt: p.attempt, Until: p.until, Reason: reason}
}

func (h *Holder) end(now Instant, key Key) {
	delete(h.permits, key)
	h.tombstones[key] = now
}

// permitEnds returns the end of each permit, for extensions to compare with.
func (h *Holder) permitEnds() map[Key]Instant {
	ends := make(map[Key]Instant, len(h.permits))
	for k, p := range h.permits {
		ends[k] = p.until
	}
	return ends
}

// extensions returns the worker extensions for the permits that were renewed.
func (h *Holder) extensions(now Instant, before map[Key]Instant) []Action {
	var actions []Action
	for k, p := range h.permits {
		if p.phase == running && p.until > before[k] && p.until > now {
			actions = append(actions, Action{Kind: ExtendWorker, Attempt: p.attempt, Until: p.until})
		}
	}
	return sortActions(actions)
}

func sortActions(actions []Action) []Action {
	slices.SortFunc(actions, func(x, y Action) int {
		return cmp.Or(cmp.Compare(x.Attempt.Task, y.Attempt.Task),
			cmp.Compare(x.Attempt.Key.Attempt, y.Attempt.Key.Attempt), cmp.Compare(x.Kind, y.Kind))
	})
	return actions
}
