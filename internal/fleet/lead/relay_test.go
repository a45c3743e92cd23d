package lead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// failingStore is a store whose commits all fail with the same error.
type failingStore struct {
	fleet.Store
	err   error
	calls int
}

func (f *failingStore) Commit(context.Context, fleet.Txn) (uint64, error) {
	f.calls++
	return 4, f.err
}

// Guards against the answer "not run" for a job that one of two attempts may have
// stored: if either the direct or the relayed attempt is uncertain, so is the call.
func TestUncertainTryMakesTheCallUncertain(t *testing.T) {
	certain, uncertain := fmt.Errorf("%w: x", kv.ErrUnavailable), fmt.Errorf("%w: x", kv.ErrUncertain)
	for _, c := range []struct {
		direct, relayed, want error
		avoided               bool
	}{
		{certain, certain, kv.ErrUnavailable, false}, {certain, uncertain, kv.ErrUncertain, false},
		{uncertain, certain, kv.ErrUncertain, false}, {uncertain, uncertain, kv.ErrUncertain, false},
		{certain, certain, kv.ErrUnavailable, true}, {certain, uncertain, kv.ErrUncertain, true},
		{uncertain, certain, kv.ErrUncertain, true},
	} {
		s := &failingStore{err: c.direct}
		r := &relayStore{Store: s, relay: func(context.Context, storeCall) (storeReply, error) {
			return storeReply{}.withError(c.relayed), nil
		}}
		if c.avoided {
			r.avoidDirectUntil.Store(1 << 60)
		}
		_, err := r.Commit(context.Background(), fleet.Txn{})
		require.ErrorIs(t, err, c.want, "%+v", c)
		require.Equal(t, 1, s.calls)
		require.False(t, r.isDown(), "a single failed call may be lost")
		_, err = r.Commit(context.Background(), fleet.Txn{})
		require.Error(t, err)
		require.True(t, r.isDown())
	}
}

// Guards against a relayed conflict that loses its type or its items.
func TestRelayedAnswers(t *testing.T) {
	conflict := &fleet.ConflictError{Current: []fleet.Item{{Key: "k", Value: []byte("v"), Revision: 3}}}
	r := &relayStore{Store: &failingStore{err: kv.ErrUnavailable}, relay: func(context.Context, storeCall) (storeReply, error) {
		return storeReply{}.withError(conflict), nil
	}}
	_, err := r.Commit(context.Background(), fleet.Txn{})
	var got *fleet.ConflictError
	require.ErrorAs(t, err, &got)
	require.Equal(t, conflict.Current, got.Current)
	require.False(t, r.isDown())
	require.NotZero(t, r.avoidDirectUntil.Load(), "the next call must be relayed at once")
}

// silentStore is a store whose calls get no answer.
type silentStore struct {
	fleet.Store
	watches atomic.Int64
	limit   atomic.Int64 // time limit of the last watch
}

func (s *silentStore) Get(ctx context.Context, _ string) (fleet.Item, error) {
	<-ctx.Done()
	return fleet.Item{}, kv.ErrUncertain
}

func (s *silentStore) Commit(context.Context, fleet.Txn) (uint64, error) {
	return 0, kv.ErrUnavailable
}

func (s *silentStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]fleet.Change, uint64, error) {
	if deadline, ok := ctx.Deadline(); ok {
		s.limit.Store(int64(time.Until(deadline)))
	}
	s.watches.Add(1)
	<-ctx.Done()
	return nil, after, kv.ErrUncertain
}

// relayTo returns a relay to an entry that reaches the store. Calls and replies take
// their wire forms; inspect sees each reply.
func relayTo(store fleet.Store, inspect func(storeReply)) func(context.Context, storeCall) (storeReply, error) {
	e := &Entry{direct: store}
	return func(ctx context.Context, c storeCall) (storeReply, error) {
		raw, err := json.Marshal(c)
		if err != nil {
			return storeReply{}, err
		}
		reply, err := e.serveStore(ctx, &pb.FleetAsk{Job: raw})
		if err != nil {
			return storeReply{}, err
		}
		var out storeReply
		err = json.Unmarshal(reply.GetData(), &out)
		if inspect != nil {
			inspect(out)
		}
		return out, err
	}
}

// cutOff returns the store of an entry that the store does not answer, and that has
// found out.
func cutOff(relay func(context.Context, storeCall) (storeReply, error)) *relayStore {
	r := &relayStore{Store: &silentStore{}, relay: relay}
	r.avoidDirectUntil.Store(1 << 60)
	return r
}

// put writes keys in one transaction.
func put(t *testing.T, s fleet.Store, values map[string]string) uint64 {
	var txn fleet.Txn
	for key, value := range values {
		txn.Put = append(txn.Put, fleet.Write{Key: key, Value: []byte(value)})
	}
	revision, err := s.Commit(context.Background(), txn)
	require.NoError(t, err)
	return revision
}

// Guards against a watch that waits for a store which answers other entries only, until
// its time limit.
func TestWaitingWatchIsRelayedOnceDirectCallsFail(t *testing.T) {
	backend := standin.NewStore()
	own := &silentStore{}
	r := &relayStore{Store: own, relay: relayTo(backend, nil)}
	type result struct {
		changes []fleet.Change
		err     error
	}
	watched := make(chan result, 1)
	go func() {
		changes, _, err := r.Watch(context.Background(), "k", 1, time.Hour)
		watched <- result{changes, err}
	}()
	require.Eventually(t, func() bool { return own.watches.Load() == 1 }, time.Minute, time.Millisecond)
	put(t, backend, map[string]string{"k": "v"})
	_, err := r.Get(context.Background(), "k")
	require.NoError(t, err)
	select {
	case got := <-watched:
		require.NoError(t, got.err)
		require.Len(t, got.changes, 1)
	case <-time.After(time.Minute):
		t.Fatal("the watch still waits for the store")
	}
}

// Guards against a leader that never reads the keys again after the history was dropped,
// as the relayed error has lost its type.
func TestRelayedWatchOfDroppedHistory(t *testing.T) {
	backend := standin.NewStore()
	backend.SetFaults(standin.StoreFaults{Compacted: true})
	r := cutOff(relayTo(backend, nil))
	_, _, err := r.Watch(context.Background(), "k", 1, time.Minute)
	require.ErrorIs(t, err, fleet.ErrCompacted)
}

// Guards against changes that are lost because a reply would not fit into a frame: a
// part of a transaction, or those after one that is too large alone.
func TestShortenedWatchLosesNoChange(t *testing.T) {
	backend := standin.NewStore()
	value := strings.Repeat("x", 3000)
	for i := range 60 {
		put(t, backend, map[string]string{fmt.Sprint("k", i): value, fmt.Sprint("k", i, "b"): value, fmt.Sprint("other", i): value})
	}
	large := map[string]string{}
	for i := range fleet.MaxTxn {
		large[fmt.Sprint("kl", i)] = value
	}
	put(t, backend, large)
	put(t, backend, map[string]string{"klast": value})
	want, last, err := backend.Watch(context.Background(), "k", 1, 0)
	require.NoError(t, err)

	r := cutOff(relayTo(backend, func(reply storeReply) {
		revisions, size := map[uint64]bool{}, 0
		for _, c := range reply.Changes {
			revisions[c.Revision] = true
			size += len(c.Key) + len(c.Value)
		}
		require.True(t, size <= maxRelayedBytes || len(revisions) == 1, "%d bytes of %d transactions", size, len(revisions))
	}))
	var got []fleet.Change
	for after := uint64(1); after < last; {
		changes, next, err := r.Watch(context.Background(), "k", after, time.Minute)
		require.NoError(t, err)
		require.Greater(t, next, after)
		got, after = append(got, changes...), next
	}
	require.Equal(t, want, got)
}

// Guards against an entry of an earlier version whose reply to a watch is taken as a
// store without changes.
func TestWatchRelayedToAnEarlierVersion(t *testing.T) {
	for _, reply := range []storeReply{{}, storeReply{}.withError(fmt.Errorf("%w: unknown call", kv.ErrUnavailable))} {
		r := cutOff(func(context.Context, storeCall) (storeReply, error) { return reply, nil })
		_, next, err := r.Watch(context.Background(), "k", 7, time.Minute)
		require.ErrorIs(t, err, kv.ErrUnavailable)
		require.EqualValues(t, 7, next)
		require.NotZero(t, r.avoidDirectUntil.Load(), "other calls would wait for the store")
	}
}

// Guards against submissions that are refused because watches fail, or that wait for a
// store out of reach because a watch was answered.
func TestWatchDoesNotCountForAnOutage(t *testing.T) {
	backend := standin.NewStore()
	put(t, backend, map[string]string{"k": "v"})
	reachable := relayTo(backend, nil)
	unreachable := func(context.Context, storeCall) (storeReply, error) { return storeReply{}, kv.ErrUncertain }
	r := cutOff(unreachable)
	for range 2 * downThreshold {
		_, _, err := r.Watch(context.Background(), "k", 1, time.Minute)
		require.Error(t, err)
	}
	require.False(t, r.isDown())
	for range downThreshold {
		_, err := r.Commit(context.Background(), fleet.Txn{})
		require.Error(t, err)
	}
	require.True(t, r.isDown())
	r.relay = reachable
	r.avoidDirectUntil.Store(1 << 60)
	changes, _, err := r.Watch(context.Background(), "k", 1, time.Minute)
	require.NoError(t, err)
	require.Len(t, changes, 1)
	require.True(t, r.isDown())
}

// Guards against watches that load the other entries for as long as a cut lasts, and
// against callers that take a short relayed watch for one that waited without progress
// and read their keys again.
func TestRelayedWatchIsPaced(t *testing.T) {
	backend := standin.NewStore()
	calls := 0
	r := cutOff(relayTo(backend, func(storeReply) { calls++ }))
	const wait = 1500 * time.Millisecond
	began := time.Now()
	changes, next, err := r.Watch(context.Background(), "k", 1, wait)
	require.NoError(t, err)
	require.Empty(t, changes)
	require.EqualValues(t, 1, next)
	require.GreaterOrEqual(t, time.Since(began), wait)
	require.LessOrEqual(t, calls, 5)

	began, calls = time.Now(), 0
	for after := next; calls < 5; {
		put(t, backend, map[string]string{"k": "v"})
		changes, after, err = r.Watch(context.Background(), "k", after, time.Minute)
		require.NoError(t, err)
		require.Len(t, changes, 1)
	}
	require.GreaterOrEqual(t, time.Since(began), wait)
}

// Guards against relayed watches that the store leaves without an answer and that cost
// the sessions between the entries, and with them submissions on their way.
func TestRelayedWatchIsAnsweredBeforeTheSessionIsGivenUp(t *testing.T) {
	own := &silentStore{}
	reply, err := relayTo(own, nil)(context.Background(), storeCall{Watch: &watchCall{Prefix: "k", After: 1, Wait: time.Hour}})
	require.NoError(t, err)
	require.ErrorIs(t, reply.err(), kv.ErrUncertain)
	require.LessOrEqual(t, time.Duration(own.limit.Load()), relayedWatchTimeout)
	require.Less(t, relayedWatchTimeout, askTimeout)
	require.Less(t, 2*relayedWatchTimeout, relayTimeout, "a second entry is asked as well")
}

// Guards against an entry that relays its watches for good after a short cut.
func TestWatchIsDirectAgainAfterACut(t *testing.T) {
	backend := standin.NewStore()
	put(t, backend, map[string]string{"k": "v"})
	r := &relayStore{Store: backend, relay: func(context.Context, storeCall) (storeReply, error) {
		t.Error("the store answers, but a call was relayed")
		return storeReply{}, kv.ErrUncertain
	}}
	r.avoidDirectUntil.Store(1) // in the past
	changes, next, err := r.Watch(context.Background(), "k", 1, time.Minute)
	require.NoError(t, err)
	require.Len(t, changes, 1)
	require.Zero(t, r.avoidDirectUntil.Load())
	_, _, err = r.Watch(context.Background(), "k", next, 10*time.Millisecond)
	require.NoError(t, err)
}

// listeningEntry returns the address of an entry that serves relayed calls from a store.
func listeningEntry(t *testing.T, ctx context.Context, store fleet.Store) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := NewEntry(Options{Store: store}, listener, ConfigSource{})
	go e.accept(ctx)
	return listener.Addr().String()
}

// Guards against calls that are relayed to an entry which does not reach the store
// either, such as a leader that has just answered a notice, and so time out.
func TestRelayPrefersAnEntryThatReachesTheStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	backend := standin.NewStore()
	put(t, backend, map[string]string{"k": "v"})
	down := standin.NewStore()
	down.SetFaults(standin.StoreFaults{Down: true})
	cut, reaching := listeningEntry(t, ctx, down), listeningEntry(t, ctx, backend)
	e := NewEntry(Options{Store: down}, nil, ConfigSource{})
	e.peers.set([]string{cut, reaching})

	reply, err := e.relayCall(ctx, storeCall{Get: "k"})
	require.NoError(t, err)
	require.Equal(t, "v", string(reply.Item.Value))
	require.Equal(t, []string{reaching, cut}, e.peers.addresses())
	_, err = e.peers.ask(ctx, cut, &pb.FleetAsk{Kind: link.AskStore, Job: []byte(`{"get":"k"}`)})
	require.NoError(t, err)
	require.Equal(t, []string{reaching, cut}, e.peers.addresses())
}

// Guards against a call that asks all other entries once its time is over: each of them
// calls a store that is out of reach, for a reply that nobody waits for.
func TestRelayedCallEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEntry(Options{Store: &silentStore{}}, nil, ConfigSource{})
		addresses := make([]string, 50)
		for i := range addresses {
			addresses[i] = fmt.Sprint("entry-", i)
		}
		e.peers.set(addresses)
		asked := 0
		e.askPeer = func(ctx context.Context, _ string, _ *pb.FleetAsk) (*pb.FleetReply, error) {
			asked++
			fleet.Sleep(ctx, askTimeout)
			return nil, kv.ErrUncertain
		}
		_, err := e.relayCall(t.Context(), storeCall{Get: "key"})
		require.ErrorIs(t, err, kv.ErrUncertain)
		require.Equal(t, 2, asked)
	})
}

// slowGets is a store whose reads wait until release is closed.
type slowGets struct {
	fleet.Store
	begun   chan struct{}
	release chan struct{}
}

func (s *slowGets) Get(context.Context, string) (fleet.Item, error) {
	s.begun <- struct{}{}
	<-s.release
	return fleet.Item{}, kv.ErrNotFound
}

// Guards against an entry that makes any number of calls for others, which then all come
// late, and against bounds that are never given back.
func TestRelayedCallsAreBounded(t *testing.T) {
	store := &slowGets{begun: make(chan struct{}, maxRelayedCalls), release: make(chan struct{})}
	address := listeningEntry(t, t.Context(), store)
	many, one := NewEntry(Options{Store: standin.NewStore()}, nil, ConfigSource{}), NewEntry(Options{Store: standin.NewStore()}, nil, ConfigSource{})
	ask := func(e *Entry) error {
		reply, err := e.askStore(t.Context(), address, storeCall{Get: "key"})
		if err != nil {
			return err
		}
		return reply.err()
	}
	var wg sync.WaitGroup
	for range maxRelayedCalls {
		wg.Go(func() { _ = ask(many) })
	}
	for range maxRelayedCalls {
		<-store.begun
	}
	require.ErrorIs(t, ask(one), kv.ErrUnavailable)
	close(store.release)
	wg.Wait()
	require.Eventually(t, func() bool { return errors.Is(ask(one), kv.ErrNotFound) }, time.Minute, time.Millisecond)
}

// lateStore is a store whose commits get no answer until they are ended, and which answers
// all else.
type lateStore struct {
	fleet.Store
	end chan struct{}
}

func (s *lateStore) Commit(context.Context, fleet.Txn) (uint64, error) {
	<-s.end
	return 0, kv.ErrUncertain
}

func (s *lateStore) Get(context.Context, string) (fleet.Item, error) { return fleet.Item{}, nil }

// Guards against an entry that refuses all jobs for long after an outage, as calls of the outage
// fail after the store has answered again, and no other call follows.
func TestCallsOfAnEndedOutageDoNotCloseTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{end: make(chan struct{})}
		r := &relayStore{Store: s, relay: func(context.Context, storeCall) (storeReply, error) { return storeReply{}, kv.ErrUncertain }}
		var calls sync.WaitGroup
		commit := func() {
			for range downThreshold {
				calls.Go(func() { _, _ = r.Commit(t.Context(), fleet.Txn{}) })
			}
			time.Sleep(time.Millisecond)
		}
		commit()
		_, err := r.Get(t.Context(), "key")
		require.NoError(t, err)
		close(s.end)
		calls.Wait()
		require.False(t, r.isDown(), "the store has answered since")

		s.end = make(chan struct{})
		commit()
		close(s.end)
		calls.Wait()
		require.True(t, r.isDown())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.probe(ctx)
		time.Sleep(2 * probeInterval)
		require.False(t, r.isDown(), "nobody else calls the store")
	})
}
