package kv

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// historyLimit is the number of recent events that are kept at least for watches. A
// watch from an older revision receives the current entries instead.
const historyLimit = 4096

// Calls counts the calls that a Memory served, by kind.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
}

// Faults are the faults that a Memory injects. The zero value injects none.
type Faults struct {
	Down        bool          `json:"down,omitempty"`         // every call returns ErrUnavailable
	Delay       time.Duration `json:"delay,omitempty"`        // added to every call
	LoseAnswers int           `json:"lose_answers,omitempty"` // the next n writes are applied but return ErrUncertain
}

// Memory is an in-memory Store. It is safe for concurrent use.
type Memory struct {
	now func() time.Time

	mu       sync.Mutex
	entries  map[string]Entry
	leases   map[LeaseID]*lease
	nextID   LeaseID
	revision uint64
	history  []Event
	changed  chan struct{}
	faults   Faults
	calls    Calls
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store. now is the clock of leases; nil means time.Now.
func NewMemory(now func() time.Time) *Memory {
	if now == nil {
		now = time.Now
	}
	return &Memory{now: now, entries: map[string]Entry{}, leases: map[LeaseID]*lease{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Faults returns the injected faults, less the answers lost so far.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Calls returns the calls served so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.enter(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return Entry{}, err
	}
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return Entry{}, ErrNotFound
	}
	return clone(e), nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	if err := m.enter(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	return m.list(prefix), m.revision, nil
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, id LeaseID) (Entry, error) {
	if err := m.enter(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return Entry{}, err
	}
	defer m.mu.Unlock()
	switch {
	case len(value) > MaxValueBytes:
		return Entry{}, ErrTooLarge
	case m.entries[key].Version != expected:
		return Entry{}, ErrConflict
	case id != 0 && m.leases[id] == nil:
		return Entry{}, ErrNotFound
	}
	m.revision++
	e := Entry{Key: key, Value: bytes.Clone(value), Version: expected + 1, Revision: m.revision, Lease: id}
	m.entries[key] = e
	m.publish(Event{Entry: e})
	if m.takeLostAnswer() {
		return Entry{}, ErrUncertain
	}
	return clone(e), nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expected uint64) error {
	if err := m.enter(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return err
	}
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return ErrNotFound
	}
	if e.Version != expected {
		return ErrConflict
	}
	m.remove(key)
	if m.takeLostAnswer() {
		return ErrUncertain
	}
	return nil
}

// GrantLease implements Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := m.enter(ctx, func(c *Calls) { c.Leases++ }); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	m.nextID++
	m.leases[m.nextID] = &lease{ttl: ttl, expires: m.now().Add(ttl)}
	if m.takeLostAnswer() {
		return 0, ErrUncertain
	}
	return m.nextID, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := m.enter(ctx, func(c *Calls) { c.Leases++ }); err != nil {
		return err
	}
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return ErrNotFound
	}
	l.expires = m.now().Add(l.ttl)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(ctx context.Context, id LeaseID) error {
	if err := m.enter(ctx, func(c *Calls) { c.Leases++ }); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if m.leases[id] == nil {
		return ErrNotFound
	}
	m.endLease(id)
	return nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	if err := m.enter(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return nil, after, err
	}
	for {
		events, revision := m.eventsAfter(prefix, after), m.revision
		changed := m.changed
		m.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, nil
		case <-changed:
		}
		m.mu.Lock()
		if m.faults.Down {
			m.mu.Unlock()
			return nil, after, ErrUnavailable
		}
	}
}

// Expire ends the leases that have expired. Every call does this too; a server also
// calls it periodically so that waiting watches see the deletions.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

// enter applies the faults, counts the call and locks the store. On error the
// store is not locked.
func (m *Memory) enter(ctx context.Context, count func(*Calls)) error {
	m.mu.Lock()
	delay := m.faults.Delay
	m.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-time.After(delay):
		}
	}
	m.mu.Lock()
	if m.faults.Down || ctx.Err() != nil {
		m.mu.Unlock()
		return ErrUnavailable
	}
	count(&m.calls)
	m.expire()
	return nil
}

func (m *Memory) expire() {
	now := m.now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.endLease(id)
		}
	}
}

func (m *Memory) endLease(id LeaseID) {
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id {
			m.remove(key)
		}
	}
}

// remove deletes a key and publishes the deletion.
func (m *Memory) remove(key string) {
	m.revision++
	e := m.entries[key]
	delete(m.entries, key)
	m.publish(Event{Entry: Entry{Key: key, Version: e.Version, Revision: m.revision}, Deleted: true})
}

// publish appends an event to the history and wakes the waiting watches.
func (m *Memory) publish(ev Event) {
	m.history = append(m.history, ev)
	if len(m.history) > 2*historyLimit {
		m.history = append([]Event(nil), m.history[len(m.history)-historyLimit:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// eventsAfter returns the events under prefix with a higher revision than after, or
// the current entries as events if the history no longer reaches back that far.
func (m *Memory) eventsAfter(prefix string, after uint64) []Event {
	if len(m.history) > 0 && m.history[0].Entry.Revision > after+1 {
		return m.currentEvents(prefix)
	}
	first := sort.Search(len(m.history), func(i int) bool { return m.history[i].Entry.Revision > after })
	var out []Event
	for _, ev := range m.history[first:] {
		if strings.HasPrefix(ev.Entry.Key, prefix) {
			out = append(out, ev)
		}
	}
	return out
}

// currentEvents returns the current entries under prefix as events.
func (m *Memory) currentEvents(prefix string) []Event {
	var out []Event
	for _, e := range m.list(prefix) {
		out = append(out, Event{Entry: e})
	}
	return out
}

func (m *Memory) list(prefix string) []Entry {
	var out []Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, clone(e))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// takeLostAnswer reports whether the answer of the current write is to be lost, and
// counts it as lost.
func (m *Memory) takeLostAnswer() bool {
	if m.faults.LoseAnswers == 0 {
		return false
	}
	m.faults.LoseAnswers--
	return true
}

func clone(e Entry) Entry {
	e.Value = bytes.Clone(e.Value)
	return e
}
