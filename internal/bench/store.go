package bench

import (
	"context"
	"strings"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/kv"
)

// storeCounts are the numbers of store calls of all entries, failed ones included.
type storeCounts struct {
	Reads, Writes, Watches, Leases float64
	LogWrites, LogBytes            float64 // writes under jobs/ and their value bytes
	ReadBytes                      float64 // value bytes returned by reads
}

func (a storeCounts) sub(b storeCounts) storeCounts {
	return storeCounts{
		a.Reads - b.Reads, a.Writes - b.Writes, a.Watches - b.Watches, a.Leases - b.Leases,
		a.LogWrites - b.LogWrites, a.LogBytes - b.LogBytes, a.ReadBytes - b.ReadBytes,
	}
}

// countingStore counts the calls that reach the in-memory store.
type countingStore struct {
	kv.Store
	mu     sync.Mutex
	counts storeCounts
}

func newCountingStore() *countingStore { return &countingStore{Store: kv.NewMemory(nil)} }

func (s *countingStore) update(f func(*storeCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

func (s *countingStore) snapshot() storeCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *countingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.update(func(c *storeCounts) { c.Reads++; c.ReadBytes += float64(len(e.Value)) })
	return e, err
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	entries, revision, err := s.Store.List(ctx, prefix)
	s.update(func(c *storeCounts) {
		c.Reads++
		for _, e := range entries {
			c.ReadBytes += float64(len(e.Value))
		}
	})
	return entries, revision, err
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease kv.LeaseID) (kv.Entry, error) {
	s.update(func(c *storeCounts) {
		c.Writes++
		if strings.HasPrefix(key, "jobs/") {
			c.LogWrites++
			c.LogBytes += float64(len(value))
		}
	})
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (s *countingStore) Delete(ctx context.Context, key string, expected uint64) error {
	s.update(func(c *storeCounts) { c.Writes++ })
	return s.Store.Delete(ctx, key, expected)
}

func (s *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.update(func(c *storeCounts) { c.Leases++ })
	return s.Store.GrantLease(ctx, ttl)
}

func (s *countingStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	s.update(func(c *storeCounts) { c.Leases++ })
	return s.Store.KeepAlive(ctx, id)
}

func (s *countingStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	s.update(func(c *storeCounts) { c.Leases++ })
	return s.Store.Revoke(ctx, id)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Event, uint64, error) {
	s.update(func(c *storeCounts) { c.Watches++ })
	return s.Store.Watch(ctx, prefix, after)
}
