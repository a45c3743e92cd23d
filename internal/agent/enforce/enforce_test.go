package enforce_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/agent/enforce"
	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261204, "steps=100")) }

// naiveLedger is the reference model: it keeps every attempt that was ever refused
// or ended, and computes the sum of the sizes each time.
type naiveLedger struct {
	running    map[structs.TaskID]reservation
	tombstoned map[string]bool
}

type reservation struct {
	token structs.Token
	size  structs.Resources
}

func (v *naiveLedger) sum() (out structs.Resources) {
	for _, r := range v.running {
		out = out.Add(r.size)
	}
	return out
}

// TestReserveAgainstNaive guards against overcommitment, a second attempt of a task,
// and a start after a tombstone, with tokens in any order.
func TestReserveAgainstNaive(t *testing.T) {
	capacity := structs.Resources{MilliCPU: 10, MemoryMB: 10, Accelerators: 2}
	rapid.Check(t, func(t *rapid.T) {
		l, v, now := enforce.New(capacity), &naiveLedger{map[structs.TaskID]reservation{}, map[string]bool{}}, time.Unix(0, 0)
		draw := func(t *rapid.T) (structs.TaskID, structs.Token) {
			return structs.TaskID{Job: "j", Index: rapid.IntRange(0, 3).Draw(t, "task")}, structs.Token{Generation: 1, Attempt: uint32(rapid.IntRange(1, 4).Draw(t, "attempt"))}
		}
		// tombstone marks the attempt and all earlier ones.
		tombstone := func(id structs.TaskID, token structs.Token) {
			for a := uint32(0); a <= token.Attempt; a++ {
				v.tombstoned[fmt.Sprint(id, a)] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				id, token := draw(t)
				size := structs.Resources{MilliCPU: int64(rapid.IntRange(0, 6).Draw(t, "cpu")), MemoryMB: int64(rapid.IntRange(0, 6).Draw(t, "mem")), Accelerators: int64(rapid.IntRange(0, 1).Draw(t, "acc"))}
				r, running := v.running[id]
				verdict, err := l.Reserve(id, token, size, nil, now)
				switch {
				case v.tombstoned[fmt.Sprint(id, token.Attempt)]:
					require.Equal(t, rescode.Tombstoned, rescode.Of(err))
				case running && r.token == token:
					require.Equal(t, enforce.Repeated, verdict)
				case running && r.token.Attempt > token.Attempt:
					require.Equal(t, rescode.StaleGeneration, rescode.Of(err))
				case running || !size.Fits(capacity.Sub(v.sum())):
					require.Equal(t, rescode.CapacityExceeded, rescode.Of(err))
					tombstone(id, token)
				default:
					require.Equal(t, enforce.Admitted, verdict)
					v.running[id] = reservation{token, size}
				}
			},
			"release": func(t *rapid.T) {
				id, token := draw(t)
				r, running := v.running[id]
				require.Equal(t, running && r.token == token, l.Release(id, token, now))
				if running && r.token == token {
					delete(v.running, id)
				}
				tombstone(id, token)
			},
			"tombstone": func(t *rapid.T) {
				id, token := draw(t)
				r, running := v.running[id]
				proof := l.Tombstone(id, token, now)
				require.Equal(t, !running || r.token.Attempt > token.Attempt, proof)
				if proof {
					tombstone(id, token)
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, v.sum(), l.Used())
				require.True(t, l.Used().Fits(capacity))
			},
		})
	})
}

// TestTombstonesAreBounded guards against memory that grows with the task rate, and
// against dropping a tombstone that was renewed.
func TestTombstonesAreBounded(t *testing.T) {
	l, now := enforce.New(structs.Resources{MilliCPU: 1}), time.Unix(0, 0)
	one := structs.Token{Attempt: 1}
	id := structs.TaskID{Job: "first"}
	require.True(t, l.Tombstone(id, one, now))
	now = now.Add(enforce.TombstoneAge)
	require.True(t, l.Tombstone(id, structs.Token{Attempt: 2}, now))
	l.Expire(now.Add(time.Second))
	_, err := l.Reserve(id, one, structs.Resources{}, nil, now)
	require.Equal(t, rescode.Tombstoned, rescode.Of(err))
	for i := range enforce.MaxTombstones {
		l.Tombstone(structs.TaskID{Job: "x", Index: i}, one, now)
	}
	verdict, err := l.Reserve(id, one, structs.Resources{}, nil, now)
	require.NoError(t, err)
	require.Equal(t, enforce.Admitted, verdict)
}
