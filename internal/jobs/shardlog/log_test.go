package shardlog_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/kv"
)

func newStore() *kv.Memory { return kv.NewMemory(func() time.Time { return time.Unix(0, 0) }) }

// owner is one entry's log with the model of what it knows to be durable.
type owner struct {
	log     *shardlog.Log
	state   []string // records that this owner has loaded or made durable
	staged  []string
	pending bool
	fenced  bool
}

func bodies(records [][]byte) []string {
	var out []string
	for _, r := range records {
		out = append(out, string(r))
	}
	return out
}

// TestLogAgainstModel guards against lost, reordered or invented records and
// against a stale owner whose write is accepted. The model of the log is one
// slice; owners race, pause with a write in doubt, and lose answers.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, store := context.Background(), newStore()
		var truth []string // acknowledged records, in order
		var owners []*owner
		next, generation := 0, uint64(0)
		open := func(t *rapid.T) {
			generation++
			l, records, err := shardlog.Open(ctx, store, 3, generation, fmt.Sprintf("e%d", generation))
			if err != nil {
				require.ErrorIs(t, err, kv.ErrUncertain)
				return
			}
			got := bodies(records)
			// Everything acknowledged is there; a write in doubt may follow it.
			require.GreaterOrEqual(t, len(got), len(truth))
			require.Equal(t, truth, append([]string(nil), got[:len(truth)]...))
			truth = got
			owners = append(owners, &owner{log: l, state: got})
		}
		pick := func(t *rapid.T) *owner {
			if len(owners) == 0 {
				t.Skip("no owner")
			}
			// Mostly the last two owners, so that stale ones race with the new one.
			return owners[max(0, len(owners)-1-rapid.IntRange(0, 1).Draw(t, "age"))]
		}
		flush := func(t *rapid.T, o *owner) {
			err := o.log.Flush(ctx)
			switch {
			case err == nil:
				require.Same(t, owners[len(owners)-1], o, "a stale owner's write was accepted")
				o.state = append(o.state, o.staged...)
				truth, o.pending = append([]string(nil), o.state...), false
			case errors.Is(err, shardlog.ErrFenced):
				require.NotSame(t, owners[len(owners)-1], o, "the owner was fenced without a successor")
				o.fenced = true
			default:
				require.ErrorIs(t, err, kv.ErrUncertain)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": open,
			"append": func(t *rapid.T) {
				o := pick(t)
				if o.pending || o.fenced {
					t.Skip("busy")
				}
				var records [][]byte
				size := rapid.SampledFrom([]int{10, 3000, 20000}).Draw(t, "size")
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					next++
					records = append(records, fmt.Appendf(nil, "%0*d", size, next))
				}
				b := shardlog.Batch{Records: records}
				if o.log.NeedsSnapshot(len(records) * (size + 1)) {
					for _, r := range append(append([]string(nil), o.state...), bodies(records)...) {
						b.Snapshot = append(b.Snapshot, []byte(r))
					}
				}
				o.staged, o.pending = bodies(records), true
				require.NoError(t, o.log.Stage(b))
				flush(t, o)
			},
			"retry": func(t *rapid.T) {
				if o := pick(t); o.pending && !o.fenced {
					flush(t, o)
				}
			},
			"lose answers": func(t *rapid.T) {
				store.SetFaults(kv.Faults{LoseAnswers: rapid.IntRange(1, 3).Draw(t, "n")})
			},
		})
	})
}

// lateStore applies one write only after the caller has given up on it.
type lateStore struct {
	*kv.Memory
	late    func()
	holdOne bool
}

func (s *lateStore) CompareAndSwap(ctx context.Context, key string, v uint64, value []byte, id kv.LeaseID) (kv.Entry, error) {
	if s.holdOne {
		s.holdOne = false
		s.late = func() { _, _ = s.Memory.CompareAndSwap(ctx, key, v, value, id) }
		return kv.Entry{}, kv.ErrUncertain
	}
	if s.late != nil {
		s.late()
		s.late = nil
	}
	return s.Memory.CompareAndSwap(ctx, key, v, value, id)
}

// TestLateWrite guards against taking the own write, applied late, for another
// owner's, and against applying it twice.
func TestLateWrite(t *testing.T) {
	ctx, store := context.Background(), &lateStore{Memory: newStore()}
	l, _, err := shardlog.Open(ctx, store, 1, 1, "e1")
	require.NoError(t, err)
	store.holdOne = true
	require.NoError(t, l.Stage(shardlog.Batch{Records: [][]byte{[]byte("a")}}))
	require.NoError(t, l.Flush(ctx))
	_, records, err := shardlog.Open(ctx, store, 1, 2, "e2")
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, bodies(records))
}

// TestStaleOwnerAfterRingReuse guards against a stale owner that creates its next
// page after the pages of the new owner have been compacted away.
func TestStaleOwnerAfterRingReuse(t *testing.T) {
	ctx, store := context.Background(), newStore()
	stale, _, err := shardlog.Open(ctx, store, 1, 1, "e1")
	require.NoError(t, err)
	l, _, err := shardlog.Open(ctx, store, 1, 2, "e2")
	require.NoError(t, err)
	record := make([]byte, 30000)
	for i := range record {
		record[i] = 'x'
	}
	for range 5 * shardlog.RingPages {
		b := shardlog.Batch{Records: [][]byte{record}}
		if l.NeedsSnapshot(len(record)) {
			b.Snapshot = [][]byte{[]byte("all")}
		}
		require.NoError(t, l.Stage(b))
		require.NoError(t, l.Flush(ctx))
	}
	require.NoError(t, stale.Stage(shardlog.Batch{Records: [][]byte{[]byte("stale")}}))
	require.ErrorIs(t, stale.Flush(ctx), shardlog.ErrFenced)
}

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
