// Package kv defines the interface to the platform's key-value service, with an
// HTTP client and an in-memory implementation for tests and stand-ins.
package kv

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Errors of a Store. Every error of a Store call matches exactly one of them.
var (
	// ErrConflict means the expected version did not match; nothing changed.
	ErrConflict = errors.New("kv: version conflict")
	// ErrNotFound means the key or lease does not exist.
	ErrNotFound = errors.New("kv: not found")
	// ErrUnavailable means the call was not applied.
	ErrUnavailable = errors.New("kv: unavailable")
	// ErrUncertain means the call may have been applied.
	ErrUncertain = errors.New("kv: outcome uncertain")
	// ErrTooLarge means the value exceeds MaxValueBytes; nothing changed.
	ErrTooLarge = errors.New("kv: value too large")
)

// LeaseID names a lease of the service. 0 is no lease.
type LeaseID uint64

// Entry is a key with its value. Version starts at 1 and increases by one with
// each write of the key; Revision is the store-wide revision of that write.
// A key that is deleted and created again starts at version 1.
type Entry struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Version  uint64  `json:"version"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, ordered by key,
	// and the store-wide revision at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's version is expected; 0 means
	// that the key must not exist. The key is attached to lease unless it is 0.
	// It returns the entry written.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (Entry, error)
	// Delete removes the key if its version is expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// GrantLease creates a lease. Its keys are deleted when it has not been kept
	// alive for ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its ttl, or returns ErrNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits for changes under prefix after the given revision and returns
	// them with the revision to continue from. It returns no event when ctx or
	// the service's wait limit ends first. A waiting watch counts as a call.
	Watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error)
}
