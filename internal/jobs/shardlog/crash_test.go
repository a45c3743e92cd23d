package shardlog_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/kv"
)

// failingStore is unavailable after writesLeft writes. If loseAnswer is set, it
// applies one more write and loses its answer.
type failingStore struct {
	*kv.Memory
	writesLeft int
	loseAnswer bool
}

func (s *failingStore) CompareAndSwap(ctx context.Context, key string, v uint64, value []byte, id kv.LeaseID) (kv.Entry, error) {
	s.writesLeft--
	if s.writesLeft < 0 && !(s.writesLeft == -1 && s.loseAnswer) {
		return kv.Entry{}, kv.ErrUnavailable
	}
	e, err := s.Memory.CompareAndSwap(ctx, key, v, value, id)
	if err == nil && s.writesLeft < 0 {
		return kv.Entry{}, kv.ErrUncertain
	}
	return e, err
}

func (s *failingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.writesLeft < 0 {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

// appendBatches appends batches until one fails. It returns the records known to
// be durable.
func appendBatches(t *testing.T, l *shardlog.Log, state []string, batches int) []string {
	for b := range batches {
		var batch shardlog.Batch
		all := state
		for k := range 2 {
			r := fmt.Sprintf("%012000d", len(state)+k+100*b)
			batch.Records = append(batch.Records, []byte(r))
			all = append(all[:len(all):len(all)], r)
		}
		if l.NeedsSnapshot(24_002) {
			for _, r := range all {
				batch.Snapshot = append(batch.Snapshot, []byte(r))
			}
		}
		require.NoError(t, l.Stage(batch))
		if l.Flush(context.Background()) != nil {
			return state
		}
		state = all
	}
	return state
}

// TestCrashAtEveryWrite guards against a crash, at any write of a page or of a part
// of a snapshot, that loses durable records or leaves a log that cannot be opened,
// and against an owner that goes on writing after a takeover.
func TestCrashAtEveryWrite(t *testing.T) {
	ctx := context.Background()
	for crash := 1; ; crash++ {
		for _, lost := range []bool{false, true} {
			store := &failingStore{Memory: newStore(), writesLeft: crash, loseAnswer: lost}
			old, _, err := shardlog.Open(ctx, store, 0, 1, "e1")
			require.NoError(t, err)
			durable := appendBatches(t, old, nil, 45)
			if store.writesLeft >= 0 {
				require.Greater(t, crash, 60, "the run wrote too little to test snapshots")
				return
			}
			store.writesLeft = 1 << 30
			next, records, err := shardlog.Open(ctx, store, 0, 2, "e2")
			require.NoError(t, err)
			got := bodies(records)
			require.GreaterOrEqual(t, len(got), len(durable), "crash at write %d", crash)
			require.Equal(t, durable, append([]string(nil), got[:len(durable)]...), "crash at write %d", crash)
			if old.Flush(ctx) == nil {
				_ = old.Stage(shardlog.Batch{Records: [][]byte{[]byte("stale")}})
				require.ErrorIs(t, old.Flush(ctx), shardlog.ErrFenced)
			}
			durable = appendBatches(t, next, got, 20)
			_, records, err = shardlog.Open(ctx, store, 0, 3, "e3")
			require.NoError(t, err)
			require.Equal(t, durable, bodies(records), "crash at write %d", crash)
			_, _, err = shardlog.Open(ctx, store, 0, 2, "e2")
			require.ErrorIs(t, err, shardlog.ErrFenced, "an older owner opens again")
		}
	}
}
