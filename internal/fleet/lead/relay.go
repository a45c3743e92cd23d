package lead

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Limits of direct and relayed calls to the store.
const (
	// directTimeout is how long a call waits for the store before it is relayed
	// through another entry. A slow store answers in a quarter of a second, and
	// takes longer when it is also busy.
	directTimeout = 650 * time.Millisecond
	// directBackoff is how long direct calls are skipped after one got no answer
	// while the call relayed through another entry did.
	directBackoff = 1 * time.Second
	relayTimeout  = 800 * time.Millisecond
	// maxRelayedCalls bounds the calls that an entry makes for others at a time. Beyond
	// it others ask another entry, instead of all the one that answered them last.
	maxRelayedCalls = 24
	// downThreshold is the number of consecutive calls without an answer after which
	// the store counts as unreachable. A single call may be lost.
	downThreshold = 2
	// relayedTimeout is how long an entry waits for the store on a call for another one.
	// It has to reply before deadSilence, or its session is given up.
	relayedTimeout = 500 * time.Millisecond
	// relayedWatchTimeout is how long an entry waits for the store on a watch for
	// another one. Two entries can be asked within relayTimeout: an entry that is
	// silent for longer loses its session, and with it the other calls.
	relayedWatchTimeout = 350 * time.Millisecond
	relayedWatchWait    = 50 * time.Millisecond
	relayedWatchPause   = 300 * time.Millisecond // before a relayed watch
	probeInterval       = 500 * time.Millisecond // between calls that find out whether an outage has ended
)

// relayStore is a store client that relays calls through another entry while this
// one cannot reach the store. A call may be made twice. That is safe, as every
// transaction of an entry is conditional or writes the same value again.
type relayStore struct {
	fleet.Store
	relay            func(ctx context.Context, call storeCall) (storeReply, error)
	avoidDirectUntil atomic.Int64 // end of the time without direct calls, as of sinceStart; 0: the last direct call got an answer
	failures         atomic.Int64 // consecutive calls that got no answer, direct or relayed
	downSince        atomic.Int64 // when the first of them ended, as of sinceStart; 0: there is none
	answeredAt       atomic.Int64 // latest answer of the store, as of sinceStart; 0: there was none

	mu      sync.Mutex
	watches map[context.Context]context.CancelFunc // direct ones, which wait for changes
}

// storeCall is the wire form of a relayed call to the store. Exactly one field is set.
type storeCall struct {
	Get    string        `json:"get,omitempty"`
	Page   *pageCall     `json:"page,omitempty"`
	Commit *fleet.Txn    `json:"commit,omitempty"`
	Grant  time.Duration `json:"grant,omitempty"`
	Keep   uint64        `json:"keep,omitempty"`
	End    uint64        `json:"end,omitempty"`
	Watch  *watchCall    `json:"watch,omitempty"`
	Config *configCall   `json:"config,omitempty"`
}

// pageCall asks for the items whose keys have a prefix and come after a key.
type pageCall struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
}

// watchCall asks for the changes of the keys with a prefix after a revision.
type watchCall struct {
	Prefix string        `json:"prefix"`
	After  uint64        `json:"after"`
	Wait   time.Duration `json:"wait"`
}

// storeReply is the wire form of the store's answer. Problem is the kind of error,
// empty for none, and Detail its text.
type storeReply struct {
	Item     fleet.Item     `json:"item,omitzero"`
	Items    []fleet.Item   `json:"items,omitempty"` // of a page, or the current items of a conflict
	More     bool           `json:"more,omitempty"`  // of a page: there are further items
	Changes  []fleet.Change `json:"changes,omitempty"`
	Revision uint64         `json:"revision,omitempty"`
	Lease    uint64         `json:"lease,omitempty"`
	Config   *configPiece   `json:"config,omitempty"`
	Problem  string         `json:"problem,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// Values of storeReply.Problem.
const (
	problemNotFound    = "not found"
	problemConflict    = "conflict"
	problemUnavailable = "unavailable"
	problemUncertain   = "uncertain"
	problemCompacted   = "compacted"
)

var processStart = time.Now()

// sinceStart returns the monotonic time since the process started, in nanoseconds.
func sinceStart() int64 { return int64(time.Since(processStart)) }

// try makes a call directly unless direct calls are avoided, then through another
// entry, and at last directly if that was avoided at first.
func (r *relayStore) try(ctx context.Context, c storeCall) (storeReply, error) {
	reply, failed, err := r.tryBoth(ctx, c)
	if !isOutage(err) {
		return reply, err
	}
	if failed == nil {
		// The store has not been called directly; it may be reachable again.
		r.avoidDirectUntil.Store(0)
		reply, failed = c.execute(ctx, r.Store)
		if !isOutage(failed) {
			return reply, failed
		}
	}
	return reply, leastCertain(failed, err)
}

// tryBoth makes a call directly unless direct calls are avoided, then through another
// entry. failed is the error of the direct call that got no answer, or nil.
func (r *relayStore) tryBoth(ctx context.Context, c storeCall) (reply storeReply, failed, err error) {
	if until := r.avoidDirectUntil.Load(); until == 0 || sinceStart() >= until {
		reply, err = c.executeDirect(ctx, r.Store)
		if !isOutage(err) {
			r.avoidDirectUntil.CompareAndSwap(until, 0)
			return reply, nil, err
		}
		failed = err
	}
	reply, err = r.relay(ctx, c)
	if err == nil {
		err = c.errorIn(reply)
	}
	if failed != nil && !isOutage(err) {
		r.avoidDirect()
	}
	return reply, failed, err
}

// avoidDirect skips direct calls for directBackoff, and ends the direct watches: they
// would wait for an answer that does not come.
func (r *relayStore) avoidDirect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidDirectUntil.Store(sinceStart() + int64(directBackoff))
	for _, end := range r.watches {
		end()
	}
}

// leastCertain returns the error for a call whose two attempts have failed: it is
// uncertain if either is, as the store may have applied that attempt.
func leastCertain(a, b error) error {
	if errors.Is(b, kv.ErrUncertain) && !errors.Is(a, kv.ErrUncertain) {
		return b
	}
	return a
}

// isOutage reports whether an error means that the store gave no answer. Not found,
// a conflict and dropped history are answers.
func isOutage(err error) bool {
	return err != nil && !errors.Is(err, kv.ErrNotFound) && !errors.Is(err, fleet.ErrCompacted) && !errors.As(err, new(*fleet.ConflictError))
}

// executeDirect makes the call on the store within directTimeout. A page has no time
// limit but the silence that the client of the store allows: relayed, it would take
// longer still.
func (c storeCall) executeDirect(ctx context.Context, s fleet.Store) (storeReply, error) {
	if c.Page == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, directTimeout)
		defer cancel()
	}
	return c.execute(ctx, s)
}

// execute makes the call on a store.
func (c storeCall) execute(ctx context.Context, s fleet.Store) (reply storeReply, err error) {
	switch {
	case c.Get != "":
		reply.Item, err = s.Get(ctx, c.Get)
	case c.Page != nil:
		var page fleet.Page
		page, err = s.Page(ctx, c.Page.Prefix, c.Page.After)
		reply.Items, reply.More, reply.Revision = page.Items, page.More, page.AsOf
	case c.Commit != nil:
		reply.Revision, err = s.Commit(ctx, *c.Commit)
	case c.Grant > 0:
		reply.Lease, err = s.GrantLease(ctx, c.Grant)
	case c.Keep > 0:
		err = s.KeepLease(ctx, c.Keep)
	case c.End > 0:
		err = s.EndLease(ctx, c.End)
	case c.Watch != nil:
		reply.Changes, reply.Revision, err = s.Watch(ctx, c.Watch.Prefix, c.Watch.After, min(c.Watch.Wait, relayedWatchWait))
	default: // of another version
		err = fmt.Errorf("%w: unknown call", kv.ErrUnavailable)
	}
	return reply, err
}

// errorIn returns the error that a relayed reply to the call carries, or nil. An entry
// of an earlier version answers a call that it does not know with nothing.
func (c storeCall) errorIn(reply storeReply) error {
	if err := reply.err(); err != nil {
		return err
	}
	if c.Watch != nil && reply.Revision < max(c.Watch.After, 1) {
		return fmt.Errorf("%w: a watch without a revision", kv.ErrUnavailable)
	}
	return nil
}

// maxRelayedBytes is the size of the values of a relayed page. Over a link of
// 2 Mbit/s they take a quarter of a second.
const maxRelayedBytes = 64 << 10

// shorten drops the last items of a page, or changes of a watch, so that the reply fits
// into a frame and arrives in time. It keeps one item at least.
func (r *storeReply) shorten() {
	r.shortenChanges()
	size := 0
	for i, item := range r.Items {
		if size += len(item.Key) + len(item.Value); size > maxRelayedBytes && i > 0 {
			r.Items, r.More = r.Items[:i], true
			return
		}
	}
}

// shortenChanges drops the last changes of a watch, which then continues from the last
// one that is left. Changes of one transaction share a revision and stay together; those
// of the first one always stay.
func (r *storeReply) shortenChanges() {
	slices.SortStableFunc(r.Changes, func(a, b fleet.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	size, end := 0, 0 // end of the last transaction that fits
	for i, c := range r.Changes {
		if i > 0 && c.Revision != r.Changes[i-1].Revision {
			end = i
		}
		if size += len(c.Key) + len(c.Value); size > maxRelayedBytes && end > 0 {
			r.Changes, r.Revision = r.Changes[:end], r.Changes[end-1].Revision
			return
		}
	}
}

// withError returns the reply with an error in its wire form.
func (r storeReply) withError(err error) storeReply {
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		return r
	case errors.As(err, &conflict):
		r.Problem, r.Items = problemConflict, conflict.Current
	case errors.Is(err, kv.ErrNotFound):
		r.Problem = problemNotFound
	case errors.Is(err, fleet.ErrCompacted):
		r.Problem = problemCompacted
	case errors.Is(err, kv.ErrUnavailable):
		r.Problem = problemUnavailable
	default:
		r.Problem = problemUncertain
	}
	r.Detail = err.Error()
	return r
}

// err returns the error that the reply carries, or nil.
func (r storeReply) err() error {
	switch r.Problem {
	case "":
		return nil
	case problemConflict:
		return &fleet.ConflictError{Current: r.Items}
	case problemNotFound:
		return kv.ErrNotFound
	case problemCompacted:
		return fleet.ErrCompacted
	case problemUnavailable:
		return fmt.Errorf("%w: relayed: %s", kv.ErrUnavailable, r.Detail)
	default:
		return fmt.Errorf("%w: relayed: %s", kv.ErrUncertain, r.Detail)
	}
}

// Get implements fleet.Store.
func (r *relayStore) Get(ctx context.Context, key string) (fleet.Item, error) {
	reply, err := r.call(ctx, storeCall{Get: key})
	return reply.Item, err
}

// Page implements fleet.Store.
func (r *relayStore) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	reply, err := r.call(ctx, storeCall{Page: &pageCall{prefix, after}})
	if err == nil && reply.Revision == 0 {
		// An entry of an earlier version answers a call that it does not know with
		// nothing.
		err = fmt.Errorf("%w: a page without a revision", kv.ErrUnavailable)
	}
	return fleet.Page{Items: reply.Items, More: reply.More, AsOf: reply.Revision}, err
}

// Watch implements fleet.Store. While direct calls get no answer it makes short watches
// through another entry. Its outcome says nothing about an outage of the store, as a
// waiting watch may be cut at any time.
func (r *relayStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	deadline := time.Now().Add(wait)
	for {
		if r.avoidDirectUntil.Load() == 0 {
			changes, next, err := r.watchDirect(ctx, prefix, after, time.Until(deadline))
			if !isOutage(err) || ctx.Err() != nil || r.avoidDirectUntil.Load() == 0 {
				return changes, next, err
			}
		} else {
			fleet.Sleep(ctx, relayedWatchPause)
		}
		reply, _, err := r.tryBoth(ctx, storeCall{Watch: &watchCall{prefix, after, relayedWatchWait}})
		if err != nil {
			return nil, after, err
		}
		after = reply.Revision
		if len(reply.Changes) > 0 || !time.Now().Before(deadline) {
			return reply.Changes, after, nil
		}
	}
}

// watchDirect watches directly until direct calls are avoided.
func (r *relayStore) watchDirect(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	r.mu.Lock()
	if r.watches == nil {
		r.watches = map[context.Context]context.CancelFunc{}
	}
	r.watches[ctx] = end
	if r.avoidDirectUntil.Load() != 0 {
		end()
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watches, ctx)
	}()
	return r.Store.Watch(ctx, prefix, after, wait)
}

// Commit implements fleet.Store.
func (r *relayStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	reply, err := r.call(ctx, storeCall{Commit: &txn})
	return reply.Revision, err
}

// GrantLease implements fleet.Store.
func (r *relayStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	reply, err := r.call(ctx, storeCall{Grant: ttl})
	return reply.Lease, err
}

// KeepLease implements fleet.Store.
func (r *relayStore) KeepLease(ctx context.Context, lease uint64) error {
	_, err := r.call(ctx, storeCall{Keep: lease})
	return err
}

// EndLease implements fleet.Store.
func (r *relayStore) EndLease(ctx context.Context, lease uint64) error {
	_, err := r.call(ctx, storeCall{End: lease})
	return err
}

// relayCall makes a call through the other entries, one after another until the store
// answers one of them.
func (e *Entry) relayCall(ctx context.Context, c storeCall) (storeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	failed := fmt.Errorf("%w: no other entry is known", kv.ErrUnavailable)
	for _, address := range e.peers.addresses() {
		if ctx.Err() != nil {
			break // each further entry would still call the store
		}
		reply, err := e.askStore(ctx, address, c)
		if err == nil {
			err = c.errorIn(reply)
		}
		if isOutage(err) {
			failed = leastCertain(failed, err)
			continue
		}
		e.peers.prefer(address)
		return reply, nil
	}
	return storeReply{}, failed
}

// askStore makes a call through another entry. Its error is that of the way to the entry;
// the reply may carry another one.
func (e *Entry) askStore(ctx context.Context, address string, c storeCall) (storeReply, error) {
	var out storeReply
	raw, err := json.Marshal(c)
	if err != nil {
		return out, fmt.Errorf("%w: encode: %w", kv.ErrUnavailable, err)
	}
	reply, err := e.askPeer(ctx, address, &pb.FleetAsk{Kind: link.AskStore, Job: raw})
	if err != nil {
		return out, fmt.Errorf("%w: entry %s: %w", kv.ErrUncertain, address, err)
	}
	if err := json.Unmarshal(reply.GetData(), &out); err != nil {
		return out, fmt.Errorf("%w: reply of entry %s: %w", kv.ErrUncertain, address, err)
	}
	return out, nil
}

// serveStore makes a call to the store on behalf of another entry.
func (e *Entry) serveStore(ctx context.Context, q *pb.FleetAsk) (*pb.FleetReply, error) {
	var call storeCall
	if err := json.Unmarshal(q.GetJob(), &call); err != nil {
		return nil, fmt.Errorf("decode relayed call: %w", err)
	}
	timeout := relayedTimeout
	if call.Watch != nil {
		timeout = relayedWatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, held, err := e.configReply(call)
	if !held {
		reply, err = call.execute(ctx, e.direct)
	}
	reply.shorten()
	raw, err := json.Marshal(reply.withError(err))
	if err != nil {
		return nil, fmt.Errorf("encode relayed reply: %w", err)
	}
	return &pb.FleetReply{Data: raw}, nil
}
