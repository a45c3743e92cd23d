package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/rescode"
)

func value(n int) json.RawMessage { return json.RawMessage(fmt.Sprintf(`{"n":%d}`, n)) }

// TestRacingEditsConflict guards against a lost update: of two operators that saw the
// same version, one gets a conflict with the current object.
func TestRacingEditsConflict(t *testing.T) {
	ctx := context.Background()
	mem := kv.NewMemory(nil)
	a, b := New(mem, "a"), New(mem, "b")
	first, err := a.Put(ctx, Template, "clip", value(1), 0)
	require.NoError(t, err)
	_, err = a.Put(ctx, Template, "clip", value(2), first.Version)
	require.NoError(t, err)
	current, err := b.Put(ctx, Template, "clip", value(3), first.Version)
	require.True(t, IsConflict(err))
	require.JSONEq(t, `{"n":2}`, string(current.JSON))
}

// TestLostAnswerOfOwnEditIsSuccess guards against reporting an applied edit as a
// conflict when its answer is lost.
func TestLostAnswerOfOwnEditIsSuccess(t *testing.T) {
	ctx := context.Background()
	mem := kv.NewMemory(nil)
	s := New(mem, "a")
	mem.SetFaults(kv.Faults{LoseAnswers: 1})
	o, err := s.Put(ctx, Customer, "desk", value(1), 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, o.Version)
}

// TestVersionsRiseAcrossDeletion guards against versions that restart after a
// deletion: a cache would then refuse the new object as old.
func TestVersionsRiseAcrossDeletion(t *testing.T) {
	ctx := context.Background()
	s := New(kv.NewMemory(nil), "a")
	o, err := s.Put(ctx, Template, "clip", value(1), 0)
	require.NoError(t, err)
	gone, err := s.Delete(ctx, Template, "clip", o.Version)
	require.NoError(t, err)
	require.True(t, gone.Deleted)
	again, err := s.Put(ctx, Template, "clip", value(2), 0)
	require.NoError(t, err)
	require.Greater(t, again.Version, gone.Version)
}

// TestOutageRefusesEdit guards against accepting an edit while the key-value service
// cannot store it.
func TestOutageRefusesEdit(t *testing.T) {
	mem := kv.NewMemory(nil)
	mem.SetFaults(kv.Faults{Down: true})
	_, err := New(mem, "a").Put(context.Background(), Template, "clip", value(1), 0)
	require.Equal(t, rescode.StoreUnavailable, rescode.Of(err))
	require.Equal(t, rescode.NotRun, rescode.Of(err).Outcome())
}
