package shard

import "slices"

// Handover tracks the planned changes of owner at the previous owner, which
// stops writing to the shard's log, waits until the outcome of the last write
// is known, and only then writes the table. Otherwise a write whose answer is
// lost could reach the log after the new owner read it and be refused there,
// although the caller was told that it is in progress.
type Handover struct {
	pending map[uint32]Change
	flushed map[uint32]bool
}

// NewHandover returns a handover without changes.
func NewHandover() *Handover {
	return &Handover{pending: map[uint32]Change{}, flushed: map[uint32]bool{}}
}

// Begin adds planned changes and returns the shards that stop accepting writes
// by this call. Takeovers are skipped: the previous owner is not live.
func (h *Handover) Begin(changes []Change) []uint32 {
	var out []uint32
	for _, c := range changes {
		if c.Kind == TakeOver {
			continue
		}
		if _, ok := h.pending[c.Shard]; !ok {
			out = append(out, c.Shard)
		}
		h.pending[c.Shard] = c
	}
	return out
}

// Draining reports whether the shard has a pending change and so accepts no
// write.
func (h *Handover) Draining(s uint32) bool { _, ok := h.pending[s]; return ok }

// Flushed records that no write to the shard's log is outstanding.
func (h *Handover) Flushed(s uint32) {
	if h.Draining(s) {
		h.flushed[s] = true
	}
}

// Ready returns the changes whose logs are flushed, ordered by shard. They can
// be written to the table.
func (h *Handover) Ready() []Change {
	var out []Change
	for s := range h.flushed {
		out = append(out, h.pending[s])
	}
	slices.SortFunc(out, func(a, b Change) int { return int(a.Shard) - int(b.Shard) })
	return out
}

// Reconcile drops the pending changes that have taken effect, or have been
// superseded, in a table that was read or written.
func (h *Handover) Reconcile(t Table) {
	for s, c := range h.pending {
		if int(s) < len(t.Shards) && t.Shards[s].Generation >= c.Generation {
			h.forget(s)
		}
	}
}

// Cancel drops the pending change of a shard, for example because the new owner
// is gone, and so allows writes again. It must not be called while a write of
// the table is outstanding.
func (h *Handover) Cancel(s uint32) { h.forget(s) }

func (h *Handover) forget(s uint32) {
	delete(h.pending, s)
	delete(h.flushed, s)
}
