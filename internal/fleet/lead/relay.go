package lead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Times of relayed calls.
const (
	// directTimeout is how long a call waits for the store before another entry
	// is asked. A slow store answers in a quarter of a second, later when it is
	// also busy.
	directTimeout = 650 * time.Millisecond
	// avoidDirect is how long the store is not called after a call without an
	// answer, while another entry reaches it.
	avoidDirect  = 1 * time.Second
	relayTimeout = 800 * time.Millisecond
	// downAfter is how many calls in a row without an answer show that the store
	// is out of reach: one alone may be lost.
	downAfter = 2
)

// relayStore calls the store, and has another entry call it while the store
// turns this entry away. A call that was made twice is safe: every transaction
// of an entry is conditional or writes the same value again.
type relayStore struct {
	fleet.Store
	relay func(ctx context.Context, call storeCall) (storeReply, error)
	avoid atomic.Int64 // until then, in ns of the process's own clock, the store is not called directly
	lost  atomic.Int64 // calls in a row that got no answer on any way
	since atomic.Int64 // when the first of them ended, in ns of the process's own clock; 0: there is none
}

// isDown reports whether the store is out of reach.
func (r *relayStore) isDown() bool { return r.lost.Load() >= downAfter }

// outage returns for how long the store has been out of reach, or 0.
func (r *relayStore) outage() time.Duration {
	since := r.since.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(sinceStart() - since)
}

// storeCall is a call to the store in the form in which it is relayed.
type storeCall struct {
	Get    string        `json:"get,omitempty"`
	Range  string        `json:"range,omitempty"`
	Commit *fleet.Txn    `json:"commit,omitempty"`
	Grant  time.Duration `json:"grant,omitempty"`
	Keep   uint64        `json:"keep,omitempty"`
	End    uint64        `json:"end,omitempty"`
}

// storeReply is the store's answer. Problem names the error.
type storeReply struct {
	Item     fleet.Item   `json:"item,omitzero"`
	Items    []fleet.Item `json:"items,omitempty"` // of a range, or the current ones of a conflict
	Revision uint64       `json:"revision,omitempty"`
	Lease    uint64       `json:"lease,omitempty"`
	Problem  string       `json:"problem,omitempty"`
	Detail   string       `json:"detail,omitempty"`
}

// Problems of a relayed call.
const (
	problemNotFound    = "not found"
	problemConflict    = "conflict"
	problemUnavailable = "unavailable"
	problemUncertain   = "uncertain"
)

var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

// call makes a call directly, else through another entry, and takes note of
// whether the store is within reach.
func (r *relayStore) call(ctx context.Context, c storeCall) (storeReply, error) {
	reply, err := r.try(ctx, c)
	switch {
	case !isOutage(err):
		r.lost.Store(0)
		r.since.Store(0)
	case ctx.Err() == nil:
		r.lost.Add(1)
		r.since.CompareAndSwap(0, sinceStart())
	}
	return reply, err
}

func (r *relayStore) try(ctx context.Context, c storeCall) (storeReply, error) {
	var failed error
	if sinceStart() >= r.avoid.Load() {
		direct, cancel := context.WithTimeout(ctx, directTimeout)
		reply, err := c.make(direct, r.Store)
		cancel()
		if !isOutage(err) {
			return reply, err
		}
		failed = err
	}
	reply, err := r.relay(ctx, c)
	if err == nil {
		err = reply.err()
	}
	if failed != nil && !isOutage(err) {
		r.avoid.Store(sinceStart() + int64(avoidDirect))
	}
	if !isOutage(err) {
		return reply, err
	}
	if failed == nil {
		// The store has not been tried; it may be back.
		r.avoid.Store(0)
		reply, failed = c.make(ctx, r.Store)
		if !isOutage(failed) {
			return reply, failed
		}
	}
	return reply, worse(failed, err)
}

// worse returns the error of two tries that says less: a call may have been made
// if one of its tries may have been.
func worse(a, b error) error {
	if errors.Is(b, kv.ErrUncertain) && !errors.Is(a, kv.ErrUncertain) {
		return b
	}
	return a
}

// isOutage reports whether an error says nothing about the state of the store.
func isOutage(err error) bool {
	return err != nil && !errors.Is(err, kv.ErrNotFound) && !errors.As(err, new(*fleet.ConflictError))
}

// make makes the call.
func (c storeCall) make(ctx context.Context, s fleet.Store) (reply storeReply, err error) {
	switch {
	case c.Get != "":
		reply.Item, err = s.Get(ctx, c.Get)
	case c.Range != "":
		reply.Items, reply.Revision, err = s.Range(ctx, c.Range)
	case c.Commit != nil:
		reply.Revision, err = s.Commit(ctx, *c.Commit)
	case c.Grant > 0:
		reply.Lease, err = s.GrantLease(ctx, c.Grant)
	case c.Keep > 0:
		err = s.KeepLease(ctx, c.Keep)
	case c.End > 0:
		err = s.EndLease(ctx, c.End)
	}
	return reply, err
}

// with names an error in a reply, so that it can be sent.
func (r storeReply) with(err error) storeReply {
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		return r
	case errors.As(err, &conflict):
		r.Problem, r.Items = problemConflict, conflict.Current
	case errors.Is(err, kv.ErrNotFound):
		r.Problem = problemNotFound
	case errors.Is(err, kv.ErrUnavailable):
		r.Problem = problemUnavailable
	default:
		r.Problem = problemUncertain
	}
	r.Detail = err.Error()
	return r
}

// err returns the error that a reply names.
func (r storeReply) err() error {
	switch r.Problem {
	case "":
		return nil
	case problemConflict:
		return &fleet.ConflictError{Current: r.Items}
	case problemNotFound:
		return kv.ErrNotFound
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

// Range implements fleet.Store.
func (r *relayStore) Range(ctx context.Context, prefix string) ([]fleet.Item, uint64, error) {
	reply, err := r.call(ctx, storeCall{Range: prefix})
	return reply.Items, reply.Revision, err
}

// Watch implements fleet.Store. It is not relayed: callers read again while it
// fails.
func (r *relayStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if sinceStart() < r.avoid.Load() {
		return nil, after, fmt.Errorf("%w: the store does not answer this entry", kv.ErrUnavailable)
	}
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

// relayCall has another entry make a call.
func (e *Entry) relayCall(ctx context.Context, c storeCall) (storeReply, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return storeReply{}, fmt.Errorf("%w: encode: %w", kv.ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	failed := fmt.Errorf("%w: no other entry is known", kv.ErrUnavailable)
	for _, address := range e.peers.addresses() {
		reply, err := e.peers.ask(ctx, address, &pb.FleetAsk{Kind: link.AskStore, Job: raw})
		if err != nil {
			failed = worse(failed, fmt.Errorf("%w: entry %s: %w", kv.ErrUncertain, address, err))
			continue
		}
		var out storeReply
		if err := json.Unmarshal(reply.GetData(), &out); err != nil {
			return out, fmt.Errorf("%w: reply of entry %s: %w", kv.ErrUncertain, address, err)
		}
		if !isOutage(out.err()) {
			return out, nil
		}
		failed = worse(failed, out.err())
	}
	return storeReply{}, failed
}

// serveStore makes a call on behalf of another entry.
func (e *Entry) serveStore(ctx context.Context, q *pb.FleetAsk) (*pb.FleetReply, error) {
	var call storeCall
	if err := json.Unmarshal(q.GetJob(), &call); err != nil {
		return nil, fmt.Errorf("relayed call: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	reply, err := call.make(ctx, e.direct)
	raw, err := json.Marshal(reply.with(err))
	if err != nil {
		return nil, fmt.Errorf("relayed reply: %w", err)
	}
	return &pb.FleetReply{Data: raw}, nil
}
