package shard

import "slices"

// Handover orders the steps of a planned change of owner at the previous
// owner: it stops writing to the shard's log, waits until the last write is
// resolved, and only then writes the table. Otherwise a write whose answer is
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

// Begin adds planned changes and returns the shards that now accept no write.
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

// Draining tells whether the shard accepts no write.
func (h *Handover) Draining(s uint32) bool { _, ok := h.pending[s]; return ok }

// Flushed records that no write to the shard's log is outstanding.
func (h *Handover) Flushed(s uint32) {
	if h.Draining(s) {
		h.flushed[s] = true
	}
}

// Ready returns the changes to write to the table, ordered by shard.
func (h *Handover) Ready() []Change {
	var out []Change
	for s := range h.flushed {
		out = append(out, h.pending[s])
	}
	slices.SortFunc(out, func(a, b Change) int { return int(a.Shard) - int(b.Shard) })
	return out
}

// Seen compares with a table that was read or written. A shard that changed
// its owner is handed over; the others stay.
func (h *Handover) Seen(t Table) {
	for s, c := range h.pending {
		if int(s) < len(t.Shards) && t.Shards[s].Generation >= c.Generation {
			h.drop(s)
		}
	}
}

// Cancel resumes writing to a shard whose change was not written, for example
// because its new owner is gone. The caller cancels only when no write of the
// table is outstanding.
func (h *Handover) Cancel(s uint32) { h.drop(s) }

func (h *Handover) drop(s uint32) {
	delete(h.pending, s)
	delete(h.flushed, s)
}
