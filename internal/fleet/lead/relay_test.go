package lead

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
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
