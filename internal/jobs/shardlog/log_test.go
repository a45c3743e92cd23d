package shardlog_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/kv"
)

func newStore() *kv.Memory { return kv.NewMemory(func() time.Time { return time.Unix(0, 0) }) }

// owner is the log of one entry with a model of the records it knows to be durable.
type owner struct {
	log        *shardlog.Log
	generation uint64
	state      []string // records that this owner has loaded or made durable
	staged     []string
	pending    bool
	fenced     bool
}

func requireTransient(t *rapid.T, err error) {
	require.True(t, errors.Is(err, kv.ErrUncertain) || errors.Is(err, kv.ErrUnavailable), "%v", err)
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
// slice. Owners race, pause while the outcome of a write is unknown, and lose
// answers.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, store := context.Background(), &faultyStore{Memory: newStore()}
		var acknowledged []string // acknowledged records, in order
		var owners []*owner
		next, generation := 0, uint64(0)
		open := func(t *rapid.T) {
			generation++
			l, records, err := shardlog.Open(ctx, store, 3, generation, fmt.Sprintf("e%d", generation))
			if err != nil {
				requireTransient(t, err)
				return
			}
			got := bodies(records)
			// All acknowledged records are there. Those of a write with an unknown
			// outcome may follow.
			require.GreaterOrEqual(t, len(got), len(acknowledged))
			require.Equal(t, acknowledged, append([]string(nil), got[:len(acknowledged)]...))
			acknowledged = got
			owners = append(owners, &owner{log: l, generation: generation, state: got})
		}
		pick := func(t *rapid.T) *owner {
			if len(owners) == 0 {
				t.Skip("no owner")
			}
			// One of the last two owners, so that a stale one races with the new one.
			return owners[max(0, len(owners)-1-rapid.IntRange(0, 1).Draw(t, "age"))]
		}
		flush := func(t *rapid.T, o *owner) {
			err := o.log.Flush(ctx)
			switch {
			case err == nil:
				require.Same(t, owners[len(owners)-1], o, "a stale owner's write was accepted")
				o.state = append(o.state, o.staged...)
				acknowledged, o.pending = append([]string(nil), o.state...), false
			case errors.Is(err, shardlog.ErrFenced):
				require.Less(t, o.generation, generation, "the owner was fenced without a successor")
				o.fenced = true
			default:
				requireTransient(t, err)
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
			"faults": func(t *rapid.T) {
				store.faults = rapid.SliceOfN(rapid.SampledFrom([]writeFault{noFault, refused, appliedAnswerLost, droppedAnswerLost, appliedLate}), 1, 8).Draw(t, "faults")
			},
		})
	})
}

// writeFault is the outcome of one write.
type writeFault int

const (
	noFault           writeFault = iota
	refused                      // ErrUnavailable: not applied
	appliedAnswerLost            // applied, ErrUncertain
	droppedAnswerLost            // not applied, ErrUncertain
	appliedLate                  // applied before the next call, ErrUncertain
)

// faultyStore injects one fault per write, in the order of faults.
type faultyStore struct {
	*kv.Memory
	faults    []writeFault
	lateWrite func() // write to apply before the next call
}

// applyLate applies the delayed write, if any.
func (s *faultyStore) applyLate() {
	if f := s.lateWrite; f != nil {
		s.lateWrite = nil
		f()
	}
}

func (s *faultyStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	defer s.applyLate() // the read does not see the late write
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	defer s.applyLate()
	return s.Memory.List(ctx, prefix)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, v uint64, value []byte, id kv.LeaseID) (kv.Entry, error) {
	s.applyLate()
	f := noFault
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	apply := func() (kv.Entry, error) { return s.Memory.CompareAndSwap(ctx, key, v, value, id) }
	switch f {
	case refused:
		return kv.Entry{}, kv.ErrUnavailable
	case appliedAnswerLost:
		if _, err := apply(); err != nil {
			return kv.Entry{}, err
		}
		return kv.Entry{}, kv.ErrUncertain
	case droppedAnswerLost:
		return kv.Entry{}, kv.ErrUncertain
	case appliedLate:
		s.lateWrite = func() { _, _ = apply() }
		return kv.Entry{}, kv.ErrUncertain
	}
	return apply()
}

// TestLateWrite guards against an owner that mistakes its own write, applied late,
// for another owner's, and against applying the write twice.
func TestLateWrite(t *testing.T) {
	ctx, store := context.Background(), &faultyStore{Memory: newStore()}
	l, _, err := shardlog.Open(ctx, store, 1, 1, "e1")
	require.NoError(t, err)
	store.faults = []writeFault{appliedLate}
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

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261204)) }
