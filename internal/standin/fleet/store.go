// Package fleet provides in-memory stand-ins for the store and the executors
// that a fleet depends on. They implement the documented behavior, inject faults
// and record what happened, so that tests can check the fleet's guarantees.
package fleet

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
)

// StoreFaults are the faults of a Store. The zero value injects none.
type StoreFaults struct {
	Down        bool // every call fails and has no effect
	LoseAnswers int  // the next n commits are applied, their callers get ErrUncertain
	Compacted   bool // every watch fails with fleet.ErrCompacted
	Deaf        bool // watches return no changes; their revision does not advance
}

// Store is an in-memory fleet.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]fleet.Item
	leases   map[uint64]storeLease
	leaseOf  map[string]uint64
	events   []fleet.Change
	revision uint64
	oldest   uint64 // watches after an earlier revision fail with fleet.ErrCompacted
	changed  chan struct{}
	faults   StoreFaults
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

var _ fleet.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]fleet.Item{}, leases: map[uint64]storeLease{}, leaseOf: map[string]uint64{},
		revision: 1, changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops all changes up to now. Watches after an earlier revision, also
// those that wait, fail with fleet.ErrCompacted.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldest = nil, s.revision
	s.notifyLocked()
}

// Remove deletes a key without ending its lease.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// lockForCall locks the store, removes the keys of expired leases and returns an
// error if the store is down. The caller has to unlock the store in every case.
func (s *Store) lockForCall() error {
	s.mu.Lock()
	now := time.Now()
	for key, lease := range s.leaseOf {
		if l, ok := s.leases[lease]; !ok || now.After(l.expires) {
			s.remove(key)
		}
	}
	if s.faults.Down {
		return fmt.Errorf("%w: injected", kv.ErrUnavailable)
	}
	return nil
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	delete(s.leaseOf, key)
	s.publish(fleet.Change{Item: fleet.Item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *Store) publish(c fleet.Change) {
	s.events = append(s.events, c)
	s.notifyLocked()
}

// notifyLocked wakes the watches that wait. The caller holds mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements fleet.Store.
func (s *Store) Get(_ context.Context, key string) (fleet.Item, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return fleet.Item{}, err
	}
	item, ok := s.items[key]
	if !ok {
		return fleet.Item{}, kv.ErrNotFound
	}
	item.AsOf = s.revision
	return item, nil
}

// pageItems is the number of items in a page.
const pageItems = 500

// Page implements fleet.Store.
func (s *Store) Page(_ context.Context, prefix, after string) (fleet.Page, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return fleet.Page{}, err
	}
	var out []fleet.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > pageItems
	return fleet.Page{Items: out[:min(len(out), pageItems)], AsOf: s.revision, More: more}, nil
}

// Watch implements fleet.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, revision, changed, err := s.changesSince(prefix, after)
		if err != nil || len(found) > 0 {
			return found, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", kv.ErrUncertain, ctx.Err())
		}
	}
}

// changesSince returns the changes of a prefix after a revision, the current
// revision, and a channel that is closed at the next change.
func (s *Store) changesSince(prefix string, after uint64) ([]fleet.Change, uint64, <-chan struct{}, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return nil, after, nil, err
	}
	if s.faults.Compacted || after < s.oldest {
		return nil, after, nil, fleet.ErrCompacted
	}
	if s.faults.Deaf {
		return nil, after, s.changed, nil
	}
	var found []fleet.Change
	for _, c := range s.events {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			found = append(found, c)
		}
	}
	return found, s.revision, s.changed, nil
}

// Commit implements fleet.Store.
func (s *Store) Commit(_ context.Context, txn fleet.Txn) (uint64, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return 0, err
	}
	if n := len(txn.If) + len(txn.Put) + len(txn.Delete); n > fleet.MaxTxn {
		return 0, fmt.Errorf("%w: %d entries", kv.ErrUnavailable, n)
	}
	conflict := &fleet.ConflictError{}
	holds := true
	for _, c := range txn.If {
		item, ok := s.items[c.Key]
		if ok {
			conflict.Current = append(conflict.Current, item)
		}
		holds = holds && item.Revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	s.apply(txn)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, fmt.Errorf("%w: injected", kv.ErrUncertain)
	}
	return s.revision, nil
}

func (s *Store) apply(txn fleet.Txn) {
	s.revision++
	revision := s.revision
	for _, w := range txn.Put {
		created := revision
		if old, ok := s.items[w.Key]; ok {
			created = old.Created
		}
		item := fleet.Item{Key: w.Key, Value: w.Value, Revision: revision, Created: created}
		s.items[w.Key] = item
		if w.Lease > 0 {
			s.leaseOf[w.Key] = w.Lease
		}
		s.publish(fleet.Change{Item: item})
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
}

// GrantLease implements fleet.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return 0, err
	}
	s.revision++
	s.leases[s.revision] = storeLease{ttl, time.Now().Add(ttl)}
	return s.revision, nil
}

// KeepLease implements fleet.Store.
func (s *Store) KeepLease(_ context.Context, lease uint64) error {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return err
	}
	l, ok := s.leases[lease]
	if !ok || time.Now().After(l.expires) {
		return kv.ErrNotFound
	}
	s.leases[lease] = storeLease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// EndLease implements fleet.Store.
func (s *Store) EndLease(_ context.Context, lease uint64) error {
	defer s.mu.Unlock()
	if err := s.lockForCall(); err != nil {
		return err
	}
	delete(s.leases, lease)
	for key, of := range s.leaseOf {
		if of == lease {
			s.remove(key)
		}
	}
	return nil
}
