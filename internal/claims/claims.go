// Package claims binds the idempotency key of a non-idempotent request to one
// agent in the key-value service, so that a retry through any entry finds the
// agent that may have run it.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/rescode"
)

const (
	keyPrefix = "claims/"
	// Retention is the shortest time for which a claim is stored. A request
	// repeated with the same key after its claim has expired is a new request.
	Retention = 24 * time.Hour
	// leaseBucket is the time for which new claims share one lease: one lease
	// call per hour instead of one per claim.
	leaseBucket = time.Hour
)

// Claim is the stored binding of an idempotency key to the agent that may run
// its request.
type Claim struct {
	Writer      string `json:"writer"` // process incarnation that wrote the claim
	Nonce       uint64 `json:"nonce"`  // unique to one call of the writer
	RequestID   string `json:"request_id"`
	IssuedUs    int64  `json:"issued_us"`   // Unix time stamped by the entry that accepted it
	Fingerprint string `json:"fingerprint"` // of template, customer and parameters
	Agent       string `json:"agent"`       // VM id of the agent that may run it
	Incarnation uint64 `json:"incarnation"`
	Moves       int    `json:"moves,omitempty"` // previous agents, each proven not to run it

	version uint64 // of the stored entry, for compare-and-swap
}

// Store creates, moves and reads the claims in the key-value service. It is safe
// for concurrent use.
type Store struct {
	kv     kv.Store
	writer string
	now    func() time.Time

	mu      sync.Mutex
	lease   kv.LeaseID // for new claims; 0: none
	granted time.Time  // of lease
	nonce   uint64
}

// New returns a Store that marks the claims it writes with writer, which must be
// unique to the process incarnation.
func New(store kv.Store, writer string, now func() time.Time) *Store {
	return &Store{kv: store, writer: writer, now: now}
}

// Create claims the key for the agent named in claim. If the key is already
// claimed, created is false and the existing claim is returned. StoreUnavailable
// proves that nothing was claimed; StoreUncertain does not.
func (s *Store) Create(ctx context.Context, customer, key string, claim Claim) (result Claim, created bool, err error) {
	lease, err := s.currentLease(ctx)
	if err != nil {
		return Claim{}, false, err
	}
	claim.Writer, claim.Nonce = s.writer, s.nextNonce()
	value, err := json.Marshal(claim)
	if err != nil {
		return Claim{}, false, rescode.Errorf(rescode.Internal, "encode claim: %w", err)
	}
	path := claimKey(customer, key)
	entry, err := s.kv.CompareAndSwap(ctx, path, 0, value, lease)
	switch {
	case err == nil:
		claim.version = entry.Version
		return claim, true, nil
	case errors.Is(err, kv.ErrConflict):
		stored, _, err := s.readBack(ctx, path, claim)
		return stored, false, err
	case errors.Is(err, kv.ErrUncertain):
		return s.readBack(ctx, path, claim)
	case errors.Is(err, kv.ErrNotFound):
		s.dropLease(lease)
		return Claim{}, false, rescode.Errorf(rescode.StoreUnavailable, "the lease of claims has ended")
	default:
		return Claim{}, false, rescode.Errorf(rescode.StoreUnavailable, "create claim: %w", err)
	}
}

// Move replaces from, a claim that was read or created before, with to. The
// caller must have proof that the agent named in from has not run the request
// and never will. If another entry moved the claim first, Move returns that
// entry's claim and VersionConflict.
func (s *Store) Move(ctx context.Context, customer, key string, from, to Claim) (Claim, error) {
	next := to
	next.Writer, next.Nonce = s.writer, s.nextNonce()
	next.Moves = from.Moves + 1
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, rescode.Errorf(rescode.Internal, "encode claim: %w", err)
	}
	lease, err := s.currentLease(ctx)
	if err != nil {
		return Claim{}, err
	}
	path := claimKey(customer, key)
	entry, err := s.kv.CompareAndSwap(ctx, path, from.version, value, lease)
	if err == nil {
		next.version = entry.Version
		return next, nil
	}
	if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUncertain) {
		return Claim{}, rescode.Errorf(rescode.StoreUnavailable, "move claim: %w", err)
	}
	stored, mine, err := s.readBack(ctx, path, next)
	if err != nil {
		return Claim{}, err
	}
	if !mine {
		return stored, rescode.Errorf(rescode.VersionConflict, "another entry moved the claim")
	}
	return stored, nil
}

// Get returns the claim of a key, or NotFound.
func (s *Store) Get(ctx context.Context, customer, key string) (Claim, error) {
	claim, err := s.read(ctx, claimKey(customer, key))
	if errors.Is(err, kv.ErrNotFound) {
		return Claim{}, rescode.Errorf(rescode.NotFound, "no claim for this key")
	}
	if err != nil {
		return Claim{}, rescode.Errorf(rescode.StoreUnavailable, "read claim: %w", err)
	}
	return claim, nil
}

// readBack reads the stored claim after a write that conflicted or whose result
// is unknown, and reports whether it is the one sent.
func (s *Store) readBack(ctx context.Context, path string, sent Claim) (Claim, bool, error) {
	stored, err := s.read(ctx, path)
	if errors.Is(err, kv.ErrNotFound) {
		return Claim{}, false, rescode.Errorf(rescode.StoreUncertain, "the claim is not visible yet")
	}
	if err != nil {
		return Claim{}, false, rescode.Errorf(rescode.StoreUncertain, "read claim back: %w", err)
	}
	return stored, stored.Writer == sent.Writer && stored.Nonce == sent.Nonce, nil
}

func (s *Store) read(ctx context.Context, path string) (Claim, error) {
	entry, err := s.kv.Get(ctx, path)
	if err != nil {
		return Claim{}, err
	}
	var claim Claim
	if err := json.Unmarshal(entry.Value, &claim); err != nil {
		return Claim{}, err
	}
	claim.version = entry.Version
	return claim, nil
}

// currentLease returns the lease that new claims are attached to. The lease is
// never kept alive: it expires, and its claims with it, Retention after the end
// of the time in which new claims are attached to it.
func (s *Store) currentLease(ctx context.Context) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != 0 && s.now().Sub(s.granted) < leaseBucket {
		return s.lease, nil
	}
	id, err := s.kv.GrantLease(ctx, Retention+leaseBucket)
	if err != nil {
		return 0, rescode.Errorf(rescode.StoreUnavailable, "grant the lease of claims: %w", err)
	}
	s.lease, s.granted = id, s.now()
	return id, nil
}

func (s *Store) nextNonce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonce++
	return s.nonce
}

// dropLease stops the use of a lease that the key-value service no longer knows.
func (s *Store) dropLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == id {
		s.lease = 0
	}
}

// claimKey returns the key of a claim in the key-value service. It has the same
// length for all idempotency keys.
func claimKey(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return keyPrefix + hex.EncodeToString(sum[:16])
}
