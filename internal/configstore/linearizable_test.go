package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/rescode"
)

// edit is an operator's call and what it was told.
type edit struct {
	expected uint64
	value    string
}

type told struct {
	code    rescode.Code
	version uint64
}

// stored is the state of the sequential model: one versioned object.
type stored struct {
	version uint64
	value   string
}

// versioned is a register that accepts an edit of the present version only. An
// edit with an uncertain outcome may or may not have been applied.
var versioned = porcupine.NondeterministicModel{
	Init: func() []any { return []any{stored{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(stored), input.(edit), output.(told)
		next := stored{s.version + 1, in.value}
		switch out.code {
		case rescode.OK:
			if s.version == in.expected && out.version == next.version {
				return []any{next}
			}
			return nil
		case rescode.VersionConflict:
			if s.version != in.expected {
				return []any{s}
			}
			return nil
		case rescode.StoreUnavailable:
			return []any{s}
		default:
			if s.version == in.expected {
				return []any{s, next}
			}
			return []any{s}
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v %+v", input, output)
	},
}

// Guards against an accepted edit that reverts or that is accepted twice, and
// against a refused one that takes effect: the history of racing operators with
// lost answers must be that of one versioned register.
func TestRacingEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		mem := kv.NewMemory(nil)
		history := raceOperators(t, mem, seed)
		result := porcupine.CheckOperationsTimeout(versioned.ToModel(), history, time.Minute)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
}

func raceOperators(t *testing.T, mem *kv.Memory, seed uint64) []porcupine.Operation {
	t.Helper()
	const operators, edits = 4, 12
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	var wg sync.WaitGroup
	for op := range operators {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(op)))
			s := New(mem, fmt.Sprintf("operator-%d", op))
			version := uint64(0)
			for n := range edits {
				if rng.IntN(4) == 0 {
					mem.SetFaults(kv.Faults{LoseAnswers: 1})
				}
				in := edit{expected: version, value: fmt.Sprintf("%d-%d", op, n)}
				call := time.Since(started).Nanoseconds()
				o, err := s.Put(context.Background(), Template, "clip", json.RawMessage(fmt.Sprintf("%q", in.value)), in.expected)
				end := time.Since(started).Nanoseconds()
				if o.Version > 0 {
					version = o.Version
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: op, Input: in, Output: told{rescode.Of(err), o.Version}, Call: call, Return: end,
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}
