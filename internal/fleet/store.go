package fleet

import (
	"context"
	"errors"
	"time"
)

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change
	Created  uint64 // revision that created the key
	AsOf     uint64 // revision of the store at the read; set by Get
}

// Change is one event of a watch.
type Change struct {
	Item
	Removed bool
}

// Condition requires a key to be at a revision; 0: the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a key. Lease 0 attaches it to none.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is applied whole if all conditions hold, else not at all.
type Txn struct {
	If     []Condition
	Put    []Write
	Delete []string
}

// ConflictError reports a transaction whose conditions did not hold. Current
// holds the keys of the conditions that exist.
type ConflictError struct{ Current []Item }

// Error implements error.
func (*ConflictError) Error() string { return "store: a condition of the transaction does not hold" }

// Store is an external linearizable key-value store. Errors match one of
// kv.ErrNotFound, kv.ErrUnavailable (nothing was done), kv.ErrUncertain (it may
// have been done, also later), ErrCompacted or *ConflictError.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the items with a prefix and the revision from which a watch
	// misses none of the later changes.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch returns the changes after a revision and the revision to continue
	// from, as soon as there is one or when wait is over.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit applies a transaction of at most MaxTxn entries and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepLease(ctx context.Context, lease uint64) error
	EndLease(ctx context.Context, lease uint64) error
}

// MaxTxn is the largest number of conditions, writes and deletions of a Txn.
const MaxTxn = 32

// Keys of the store. Watched holds what the leader must learn of at once.
const (
	LeaderKey    = "vanillalock/leader"
	HandoverKey  = "vanillalock/handover" // of a leader that has stepped down; the next one voids it
	WatchedBase  = "vanillalock/w/"
	JobBase      = WatchedBase + "job/"
	CancelBase   = WatchedBase + "cancel/"
	NodeBase     = WatchedBase + "node/"
	ProgressBase = "vanillalock/progress/"
	EntryBase    = "vanillalock/entry/"
	LearnedKey   = "vanillalock/learned"
)

// ErrCompacted means that the store no longer has the changes that a watch asks
// for.
var ErrCompacted = errors.New("store: history compacted")
