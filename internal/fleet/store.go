package fleet

import (
	"context"
	"errors"
	"slices"
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

// Change is an event of a watch: a key was set or, with Removed, deleted.
type Change struct {
	Item
	Removed bool
}

// Condition requires a key to have a revision. Revision 0 requires that the key
// does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a key. The key is deleted when its lease ends; 0: it has no lease.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a transaction: it is applied as a whole if all conditions hold, else not
// at all.
type Txn struct {
	If     []Condition
	Put    []Write
	Delete []string
}

// ConflictError reports that a condition of a transaction did not hold. Current
// holds the existing items among the keys of the conditions.
type ConflictError struct{ Current []Item }

// Error implements error.
func (*ConflictError) Error() string { return "store: a condition of the transaction does not hold" }

// Has reports whether one of the keys of the conditions exists.
func (e *ConflictError) Has(key string) bool {
	return slices.ContainsFunc(e.Current, func(i Item) bool { return i.Key == key })
}

// Store is an external linearizable key-value store. Errors match one of
// kv.ErrNotFound, kv.ErrUnavailable (the call was not carried out), kv.ErrUncertain
// (it may have been carried out, or may still be), ErrCompacted or *ConflictError.
type Store interface {
	// Get returns the item of a key.
	Get(ctx context.Context, key string) (Item, error)
	// Page returns the items whose keys have a prefix and come after a key, in the
	// order of their keys: as many as the store puts into one answer. An empty key
	// stands for the beginning.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision, and the revision to continue
	// from. It returns once there is a change or wait has passed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit applies a transaction of at most MaxTxn entries and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepLease renews a lease for its full duration.
	KeepLease(ctx context.Context, lease uint64) error
	// EndLease ends a lease.
	EndLease(ctx context.Context, lease uint64) error
}

// Page is a part of the items whose keys have a prefix.
type Page struct {
	Items []Item
	AsOf  uint64 // revision of the store at the read; a watch after it misses no later change
	More  bool   // there are items after the last one
}

// ReadAll returns the items whose keys have a prefix, and the revision after which a
// watch misses no later change. The pages are not one snapshot, so it is that of the
// first one.
func ReadAll(ctx context.Context, s Store, prefix string) ([]Item, uint64, error) {
	var items []Item
	var first uint64
	for page := (Page{More: true}); page.More; {
		after := ""
		if len(items) > 0 {
			after = items[len(items)-1].Key
		}
		var err error
		if page, err = s.Page(ctx, prefix, after); err != nil {
			return nil, 0, err
		}
		if after == "" {
			first = page.AsOf
		}
		items = append(items, page.Items...)
		page.More = page.More && len(page.Items) > 0
	}
	return items, first, nil
}

// MaxTxn is the largest number of conditions, writes and deletions of a Txn.
const MaxTxn = 32

// Keys of the store, and prefixes of keys (Base), which an ID or name follows. The
// leader watches WatchedBase.
const (
	LeaderKey    = "vanillalock/leader"   // its revision is the leader's term
	HandoverKey  = "vanillalock/handover" // left by a leader that stepped down; the next one invalidates it
	TermKey      = "vanillalock/term"     // who leads the term of the handover record; valid while both keys have one revision
	WatchedBase  = "vanillalock/w/"
	JobBase      = WatchedBase + "job/"    // Job, by ID
	CancelBase   = WatchedBase + "cancel/" // exists if the cancellation of a job was requested, also of one that is not stored
	NodeBase     = WatchedBase + "node/"   // registration of an agent, by VM
	ProgressBase = "vanillalock/progress/" // progress of a job
	EntryBase    = "vanillalock/entry/"    // address of an entry, by VM
	LearnedKey   = "vanillalock/learned"   // which images disturb each other, from package tail
)

// ErrCompacted reports that the store no longer has the changes that a watch asks
// for.
var ErrCompacted = errors.New("store: history compacted")
