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

// editCall is the input of an operator's edit.
type editCall struct {
	expected uint64
	value    string
}

// editResult is the answer to an operator's edit.
type editResult struct {
	code    rescode.Code
	version uint64
}

// registerState is the state of the sequential model, one versioned object.
type registerState struct {
	version uint64
	value   string
}

// registerModel is a register that accepts only edits of its current version. An
// edit with an uncertain outcome may or may not have been applied.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(editCall), output.(editResult)
		next := registerState{s.version + 1, in.value}
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

// TestRacingEditsAreLinearizable guards against an accepted edit that is reverted or
// applied twice, and against a refused edit that takes effect. The history of racing
// operators with lost answers must be linearizable as one versioned register.
func TestRacingEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		mem := kv.NewMemory(nil)
		history := raceOperators(t, mem, seed)
		result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
}

// raceOperators runs concurrent operators and returns the history of their edits.
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
				in := editCall{expected: version, value: fmt.Sprintf("%d-%d", op, n)}
				call := time.Since(started).Nanoseconds()
				o, err := s.Put(context.Background(), Template, "clip", json.RawMessage(fmt.Sprintf("%q", in.value)), in.expected)
				end := time.Since(started).Nanoseconds()
				if o.Version > 0 {
					version = o.Version
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: op, Input: in, Output: editResult{rescode.Of(err), o.Version}, Call: call, Return: end,
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}
