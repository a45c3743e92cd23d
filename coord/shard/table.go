package shard

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrInvalid is wrapped by every error of decoding a value and of Table.Apply.
var ErrInvalid = errors.New("shard: invalid value")

// Stamp identifies the write that produced a value. Every value in the store
// that has more than one writer carries it.
type Stamp struct {
	// Writer is the entry incarnation that wrote the value.
	Writer string `json:"writer"`
	// Seq is the number of the write within that incarnation, from 1.
	Seq uint64 `json:"seq"`
}

// Ownership is the owner of one shard and the generation of its ownership.
type Ownership struct {
	// Owner is an entry incarnation, empty before the first takeover.
	Owner string `json:"owner"`
	// Generation increases by one with each change of owner.
	Generation uint64 `json:"generation"`
}

// Table is the ownership table of a region, indexed by shard.
type Table struct {
	Stamp
	Shards []Ownership `json:"shards"`
}

// NewTable returns a table of count shards without owners.
func NewTable(count int) Table { return Table{Shards: make([]Ownership, count)} }

// Encode returns the table as JSON.
func (t Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("shard: encode table: %w", err)
	}
	return b, nil
}

// DecodeTable decodes a table of count shards. Its errors wrap ErrInvalid.
func DecodeTable(b []byte, count int) (Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return Table{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(t.Shards) != count {
		return Table{}, fmt.Errorf("%w: table has %d shards, want %d", ErrInvalid, len(t.Shards), count)
	}
	return t, nil
}

// Owned returns the shards that the entry incarnation owns, in ascending order.
func (t Table) Owned(entry string) []uint32 {
	var out []uint32
	for s, o := range t.Shards {
		if o.Owner == entry {
			out = append(out, uint32(s))
		}
	}
	return out
}

// Change transfers the ownership of a shard.
type Change struct {
	Shard    uint32
	From, To string
	// Generation is the shard's generation after the change.
	Generation uint64
	Kind       ChangeKind
}

// ChangeKind is the reason for a change of owner.
type ChangeKind string

// Kinds of changes.
const (
	// TakeOver takes a shard whose owner is not live.
	TakeOver ChangeKind = "take over"
	// Move hands a shard over to the live entry that it is assigned to.
	Move ChangeKind = "move"
	// Leave hands over a shard on graceful shutdown.
	Leave ChangeKind = "leave"
)

// Apply returns a copy of the table with the changes and the writer's stamp. It
// fails with ErrInvalid if the owner or generation of a changed shard is not
// the one that the change was planned for.
func (t Table) Apply(stamp Stamp, changes []Change) (Table, error) {
	out := Table{Stamp: stamp, Shards: slices.Clone(t.Shards)}
	for _, c := range changes {
		if int(c.Shard) >= len(out.Shards) {
			return Table{}, fmt.Errorf("%w: no shard %d in a table of %d shards", ErrInvalid, c.Shard, len(out.Shards))
		}
		o := &out.Shards[c.Shard]
		if o.Owner != c.From || o.Generation+1 != c.Generation {
			return Table{}, fmt.Errorf("%w: shard %d has owner %q at generation %d", ErrInvalid, c.Shard, o.Owner, o.Generation)
		}
		o.Owner, o.Generation = c.To, c.Generation
	}
	return out, nil
}

// Outcome is the state of a write whose answer was lost, as found by reading
// the value back.
type Outcome int

// Outcomes of Resolve.
const (
	// Pending means that the value is still the one the write was based on. The
	// write may yet arrive, so the writer repeats it unchanged, with the same
	// stamp.
	Pending Outcome = iota + 1
	// Applied means that the write took effect and is the latest one.
	Applied
	// Lost means that another write came before or after this one, so it is
	// unknown whether this one took effect. The writer plans again from the
	// value that it read.
	Lost
)

// Resolve returns the outcome of the write with the stamp mine, based on the
// version expected, given the stamp and version that were read back.
func Resolve(read Stamp, version uint64, mine Stamp, expected uint64) Outcome {
	switch {
	case read == mine:
		return Applied
	case version == expected:
		return Pending
	default:
		return Lost
	}
}
