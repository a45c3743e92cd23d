package lead_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/standin/proxy"
)

// pair names a process and another one to which it opens sessions.
type pair struct{ from, to string }

// cutNet is the network of a fleet: each pair of processes has a proxy of its own.
type cutNet struct {
	mu      sync.Mutex
	owners  map[string]string // process by address of its listener
	proxies map[pair]*proxy.Proxy
	faults  map[pair]proxy.Faults
}

func newCutNet() *cutNet {
	return &cutNet{owners: map[string]string{}, proxies: map[pair]*proxy.Proxy{}, faults: map[pair]proxy.Faults{}}
}

func (n *cutNet) add(process string, listener net.Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[listener.Addr().String()] = process
}

// route returns the address at which a process reaches the owner of an address. One that
// was routed for another process, which relayed a call to the store, stays as it is.
func (n *cutNet) route(from, address string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.owners[address]
	if !ok || to == from {
		return address, nil
	}
	p := pair{from, to}
	if n.proxies[p] == nil {
		opened, err := proxy.New(address)
		if err != nil {
			return "", err
		}
		opened.Set(n.faults[p])
		n.proxies[p] = opened
	}
	return n.proxies[p].Address(), nil
}

// set replaces the faults between a process and another one to which it opens sessions.
func (n *cutNet) set(from, to string, cut linkCut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{from, to}
	n.faults[p] = cut.faults()
	if opened := n.proxies[p]; opened != nil {
		opened.Set(n.faults[p])
		if cut == cutSilent {
			opened.Silence()
		}
	}
}

func (n *cutNet) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.Close()
	}
}

// linkCut is a way to cut a process from another one.
type linkCut int

const (
	cutNone      linkCut = iota
	cutBoth              // no bytes arrive
	cutTo                // none arrive at the process to which sessions are opened
	cutFrom              // none arrive from it
	cutNewOnly           // new connections are refused, open ones go on
	cutSilent            // open connections are silent for good, new ones are refused
	linkCutKinds         // number of kinds
)

func (c linkCut) String() string {
	return [...]string{"none", "both ways", "to", "from", "new refused", "silent"}[c]
}

// reverse returns the same cut for sessions that are opened the other way.
func (c linkCut) reverse() linkCut {
	switch c {
	case cutTo:
		return cutFrom
	case cutFrom:
		return cutTo
	}
	return c
}

func (c linkCut) faults() proxy.Faults {
	switch c {
	case cutBoth:
		return proxy.Faults{Hold: [2]bool{true, true}}
	case cutTo:
		return proxy.Faults{Hold: [2]bool{proxy.Up: true}}
	case cutFrom:
		return proxy.Faults{Hold: [2]bool{proxy.Down: true}}
	case cutNewOnly, cutSilent:
		return proxy.Faults{Refuse: true}
	}
	return proxy.Faults{}
}

// storeCut is a way to cut a process from the store.
type storeCut int32

const (
	storeOpen    storeCut = iota
	storeRefused          // calls fail at once and have no effect
	storeSilent           // calls have no answer and no effect
	storeLost             // calls take effect, their answers are lost
	storeLate             // calls have no answer and take effect lateEffect later
	storeCutKinds
)

const lateEffect = 1500 * time.Millisecond

func (c storeCut) String() string {
	return [...]string{"open", "refused", "silent", "answers lost", "late effect"}[c]
}

// cutStore is the store as one process reaches it: the addresses in records are those of
// its proxies, and it can be cut.
type cutStore struct {
	*standin.Store
	net     *cutNet
	process string
	cut     atomic.Int32
	check   *cutChecker

	late         atomic.Pointer[lateWrites]    // nil: all writes are answered
	watchDelay   atomic.Int64                  // of the answers to watches
	frozen       atomic.Pointer[chan struct{}] // while set, nothing passes until it is closed
	freezeOnKeep atomic.Pointer[chan struct{}] // becomes frozen once a renewal is answered
}

// awaitThaw waits while the process stands still.
func (s *cutStore) awaitThaw() {
	for thaw := s.frozen.Load(); thaw != nil; thaw = s.frozen.Load() {
		<-*thaw
	}
}

var _ fleet.Store = (*cutStore)(nil)

// callStore makes a call by way of the cut.
func callStore[T any](ctx context.Context, s *cutStore, call func() (T, error)) (T, error) {
	var none T
	s.awaitThaw()
	defer s.awaitThaw()
	if ctx.Err() != nil {
		return none, fmt.Errorf("%w: %w", kv.ErrUnavailable, ctx.Err()) // not sent
	}
	switch storeCut(s.cut.Load()) {
	case storeRefused:
		return none, fmt.Errorf("%w: refused by the test", kv.ErrUnavailable)
	case storeLost:
		_, _ = call() // only its effect counts
	case storeLate:
		time.AfterFunc(lateEffect, func() { _, _ = call() }) // only its effect counts
	case storeOpen:
		result, err := call()
		if storeCut(s.cut.Load()) == storeOpen {
			return result, err
		}
	}
	fleet.Sleep(ctx, silence)
	return none, fmt.Errorf("%w: without an answer by the test", kv.ErrUncertain)
}

// Get implements fleet.Store.
func (s *cutStore) Get(ctx context.Context, key string) (fleet.Item, error) {
	sent := time.Now()
	item, err := callStore(ctx, s, func() (fleet.Item, error) { return s.Store.Get(ctx, key) })
	if err != nil {
		return fleet.Item{}, err
	}
	if key == fleet.LeaderKey {
		var record link.LeaderRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return fleet.Item{}, fmt.Errorf("record of the leader: %w", err)
		}
		if record.Node == s.process {
			s.check.confirm(item.Revision, sent)
		}
	}
	return s.routed(item)
}

// Page implements fleet.Store.
func (s *cutStore) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	page, err := callStore(ctx, s, func() (fleet.Page, error) { return s.Store.Page(ctx, prefix, after) })
	if err != nil {
		return fleet.Page{}, err
	}
	for i := range page.Items {
		if page.Items[i], err = s.routed(page.Items[i]); err != nil {
			return fleet.Page{}, err
		}
	}
	return page, nil
}

// Watch implements fleet.Store.
func (s *cutStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	type answer struct {
		changes []fleet.Change
		next    uint64
	}
	got, err := callStore(ctx, s, func() (answer, error) {
		changes, next, err := s.Store.Watch(ctx, prefix, after, wait)
		fleet.Sleep(ctx, time.Duration(s.watchDelay.Load()))
		return answer{changes, next}, err
	})
	if err != nil {
		return nil, after, err
	}
	for i := range got.changes {
		if got.changes[i].Item, err = s.routed(got.changes[i].Item); err != nil {
			return nil, after, err
		}
	}
	return got.changes, got.next, nil
}

// Commit implements fleet.Store.
func (s *cutStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	sent := time.Now()
	revision, err := writeStore(ctx, s, func() (uint64, error) { return s.Store.Commit(ctx, txn) })
	var conflict *fleet.ConflictError
	if errors.As(err, &conflict) {
		routed := &fleet.ConflictError{}
		for _, item := range conflict.Current {
			if item, err = s.routed(item); err != nil {
				return 0, err
			}
			routed.Current = append(routed.Current, item)
		}
		return 0, routed
	}
	if err != nil {
		return 0, err
	}
	for _, c := range txn.If {
		if c.Key == fleet.LeaderKey && c.Revision != 0 {
			s.check.confirm(c.Revision, sent)
		}
	}
	for _, w := range txn.Put {
		if w.Key == fleet.LeaderKey {
			s.check.confirm(revision, sent)
		}
	}
	return revision, nil
}

// GrantLease implements fleet.Store.
func (s *cutStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return writeStore(ctx, s, func() (uint64, error) { return s.Store.GrantLease(ctx, ttl) })
}

// KeepLease implements fleet.Store.
func (s *cutStore) KeepLease(ctx context.Context, lease uint64) error {
	_, err := writeStore(ctx, s, func() (struct{}, error) {
		err := s.Store.KeepLease(ctx, lease)
		if thaw := s.freezeOnKeep.Load(); thaw != nil {
			s.frozen.CompareAndSwap(nil, thaw)
		}
		return struct{}{}, err
	})
	return err
}

// EndLease implements fleet.Store.
func (s *cutStore) EndLease(ctx context.Context, lease uint64) error {
	_, err := writeStore(ctx, s, func() (struct{}, error) { return struct{}{}, s.Store.EndLease(ctx, lease) })
	return err
}

// routed returns an item with the address by which the process reaches its owner.
func (s *cutStore) routed(item fleet.Item) (fleet.Item, error) {
	if item.Key != fleet.LeaderKey && item.Key != fleet.TermKey && !strings.HasPrefix(item.Key, fleet.EntryBase) && !strings.HasPrefix(item.Key, fleet.NodeBase) || len(item.Value) == 0 {
		return item, nil
	}
	var record map[string]any
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return item, fmt.Errorf("record of %s: %w", item.Key, err)
	}
	address, ok := record["address"].(string)
	if !ok {
		return item, fmt.Errorf("record of %s has no address", item.Key)
	}
	routed, err := s.net.route(s.process, address)
	if err != nil || routed == address {
		return item, err
	}
	record["address"] = routed
	item.Value, err = json.Marshal(record)
	return item, err
}
