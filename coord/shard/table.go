package shard

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrTable is matched by every decoding error of this package.
var ErrTable = errors.New("shard: invalid value")

// Stamp tells which write produced a value. Every value in the store that has
// more than one writer carries it.
type Stamp struct {
	// Writer is the entry incarnation that wrote the value.
	Writer string `json:"writer"`
	// Seq counts the writes of that incarnation, from 1.
	Seq uint64 `json:"seq"`
}

// Ownership is the owner of one shard.
type Ownership struct {
	// Owner is an entry incarnation, empty before the first take-over.
	Owner string `json:"owner"`
	// Generation rises by one with each change of the owner.
	Generation uint64 `json:"generation"`
}

// Table is the ownership table of a region.
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

// DecodeTable reads a table of count shards. Its errors match ErrTable.
func DecodeTable(b []byte, count int) (Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return Table{}, fmt.Errorf("%w: %w", ErrTable, err)
	}
	if len(t.Shards) != count {
		return Table{}, fmt.Errorf("%w: %d shards instead of %d", ErrTable, len(t.Shards), count)
	}
	return t, nil
}

// Owned lists the shards of an entry incarnation in order.
func (t Table) Owned(entry string) []uint32 {
	var out []uint32
	for s, o := range t.Shards {
		if o.Owner == entry {
			out = append(out, uint32(s))
		}
	}
	return out
}

// Change gives a shard to another owner.
type Change struct {
	Shard    uint32
	From, To string
	// Generation is the new generation.
	Generation uint64
	Kind       ChangeKind
}

// ChangeKind tells why a shard changes its owner.
type ChangeKind string

// Kinds of changes.
const (
	// TakeOver takes a shard whose owner is not live.
	TakeOver ChangeKind = "take over"
	// Move hands a shard to a live entry that it is assigned to.
	Move ChangeKind = "move"
	// Leave hands over a shard on graceful shutdown.
	Leave ChangeKind = "leave"
)

// Apply returns the table with the changes and the writer's stamp. A change
// whose shard is no longer as planned is an error that matches ErrTable.
func (t Table) Apply(stamp Stamp, changes []Change) (Table, error) {
	out := Table{Stamp: stamp, Shards: slices.Clone(t.Shards)}
	for _, c := range changes {
		if int(c.Shard) >= len(out.Shards) {
			return Table{}, fmt.Errorf("%w: shard %d of %d", ErrTable, c.Shard, len(out.Shards))
		}
		o := &out.Shards[c.Shard]
		if o.Owner != c.From || o.Generation+1 != c.Generation {
			return Table{}, fmt.Errorf("%w: shard %d has owner %q generation %d", ErrTable, c.Shard, o.Owner, o.Generation)
		}
		o.Owner, o.Generation = c.To, c.Generation
	}
	return out, nil
}

// Outcome is what a read-back tells about a write whose answer was lost.
type Outcome int

// Outcomes of Resolve.
const (
	// Pending: the value is still the one the write was based on. The write may
	// yet arrive, so the writer repeats it unchanged, with the same stamp.
	Pending Outcome = iota + 1
	// Applied: the change took effect.
	Applied
	// Lost: another write came first, or came after. The writer plans anew from
	// the value it read, whose content decides.
	Lost
)

// Resolve compares a value read back with the write: expected is the version
// on which the write was based.
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
