package lease

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

// horizon is the age beyond which a fingerprint no longer tells two instants
// apart: every comparison of the rule has been decided by then.
func (c Config) horizon() Instant { return c.HoldWait() + c.Wait() }

// AppendInstant appends an instant relative to now, clamped to the horizon of
// the configuration.
func (c Config) AppendInstant(b []byte, now, t Instant) []byte {
	h := c.horizon()
	return binary.AppendVarint(b, int64(min(max(t-now, -h), h)))
}

// Clone returns an independent copy.
func (h *Holder) Clone() *Holder {
	c := *h
	c.sent, c.shards = maps.Clone(h.sent), maps.Clone(h.shards)
	c.attestedAt, c.tombstones = maps.Clone(h.attestedAt), maps.Clone(h.tombstones)
	c.permits = make(map[Key]*permit, len(h.permits))
	for k, p := range h.permits {
		copied := *p
		c.permits[k] = &copied
	}
	return &c
}

// Sent returns the clock at which the heartbeat was sent; ok is false if it is
// too old to renew a permit.
func (h *Holder) Sent(seq uint64) (t Instant, ok bool) { t, ok = h.sent[seq]; return t, ok }

// Fingerprint appends the state relative to now. Two holders with the same
// fingerprint behave the same from now on, apart from the heartbeats in flight,
// which the caller adds with Sent.
func (h *Holder) Fingerprint(b []byte, now Instant) []byte {
	b = binary.AppendUvarint(b, h.incarnation)
	b = binary.AppendUvarint(b, h.list.Epoch)
	for _, s := range slices.Sorted(maps.Keys(h.shards)) {
		v := h.shards[s]
		b = binary.AppendUvarint(b, v.generation)
		b = h.cfg.AppendInstant(b, now, max(v.basis, now-h.cfg.Duration))
	}
	b = append(b, '|')
	for _, m := range slices.Sorted(maps.Keys(h.attestedAt)) {
		b = append(b, m...)
		b = h.cfg.AppendInstant(b, now, max(h.attestedAt[m], now-h.cfg.Duration))
	}
	b = append(b, '|')
	for _, k := range slices.SortedFunc(maps.Keys(h.permits), compareKeys) {
		p := h.permits[k]
		b = append(b, k.Task...)
		b = binary.AppendUvarint(b, k.Attempt)
		b = h.cfg.AppendInstant(b, now, p.until)
		b = h.cfg.AppendInstant(b, now, p.verified)
		b = append(b, byte(p.phase), flag(p.adopted))
	}
	b = append(b, '|')
	for _, k := range slices.SortedFunc(maps.Keys(h.tombstones), compareKeys) {
		b = append(b, k.Task...)
		b = binary.AppendUvarint(b, k.Attempt)
	}
	return append(b, flag(h.ready))
}

func compareKeys(x, y Key) int {
	return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Attempt, y.Attempt))
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// Clone returns an independent copy.
func (v *Verifier) Clone() *Verifier {
	c := *v
	c.owned = slices.Clone(v.owned)
	c.withheld, c.renewedAt = maps.Clone(v.withheld), maps.Clone(v.renewedAt)
	return &c
}

// Fingerprint appends the state relative to now.
func (v *Verifier) Fingerprint(b []byte, now Instant) []byte {
	b = append(b, v.id...)
	b = v.cfg.AppendInstant(b, now, max(v.contactAt, now-v.cfg.Silence))
	b = v.cfg.AppendInstant(b, now, max(v.attestedAt, now-2*v.cfg.Wait()))
	if v.read && now-v.readAt < v.cfg.Duration {
		b = v.cfg.AppendInstant(b, now, v.readAt)
		for _, s := range v.owned {
			b = binary.AppendUvarint(b, s.Generation)
		}
	}
	b = binary.AppendUvarint(append(b, '|'), v.list.Epoch)
	for _, h := range slices.SortedFunc(maps.Keys(v.renewedAt), compareAgentShards) {
		b = append(b, h.agent...)
		b = v.cfg.AppendInstant(b, now, v.renewedAt[h])
		b = append(b, flag(v.withheld[h]))
	}
	return append(b, '|')
}

func compareAgentShards(x, y agentShard) int {
	return cmp.Or(cmp.Compare(x.agent, y.agent), cmp.Compare(x.shard, y.shard))
}

// Clone returns an independent copy.
func (r *EndProof) Clone() *EndProof {
	c := *r
	c.lists = slices.Clone(r.lists)
	c.answers = make(map[string][]Answer, len(r.answers))
	for m, a := range r.answers {
		c.answers[m] = slices.Clone(a)
	}
	return &c
}

// Fingerprint appends the state relative to now.
func (r *EndProof) Fingerprint(b []byte, now Instant) []byte {
	b = r.cfg.AppendInstant(b, now, r.base)
	b = r.cfg.AppendInstant(b, now, r.readAt)
	b = binary.AppendUvarint(b, r.minEpoch)
	b = append(b, flag(r.confirmed), byte(len(r.lists)))
	for _, m := range slices.Sorted(maps.Keys(r.answers)) {
		b = append(b, m...)
		for _, a := range r.answers[m] {
			b = r.cfg.AppendInstant(b, now, a.Sent)
			b = r.cfg.AppendInstant(b, now, a.Received-a.Unattested)
		}
	}
	return append(b, '|')
}
