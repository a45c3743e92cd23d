package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/rescode"
)

// Guards against two dispatches of one key: many entries and repeated calls of
// one entry race, and exactly one may be told that it created the claim.
func TestOneCreatorPerKey(t *testing.T) {
	store := kv.NewMemory(nil)
	stores := []*Store{New(store, "e1", time.Now), New(store, "e2", time.Now)}
	var created atomic.Int32
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			_, ok, err := stores[i%2].Create(context.Background(), "c", "k", Claim{RequestID: "r", Agent: "vm"})
			if err == nil && ok {
				created.Add(1)
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, created.Load())
}

// Guards against treating a write that succeeded, but whose answer was lost, as
// a conflict with another entry: the request would stay undispatched although
// its claim exists.
func TestLostAnswerIsRecognizedAsOurs(t *testing.T) {
	store := kv.NewMemory(nil)
	s := New(store, "e1", time.Now)
	_, err := s.currentLease(context.Background())
	require.NoError(t, err)
	store.SetFaults(kv.Faults{LoseAnswers: 1})
	_, created, err := s.Create(context.Background(), "c", "k", Claim{RequestID: "r", Agent: "vm"})
	require.NoError(t, err)
	require.True(t, created)
	_, created, err = s.Create(context.Background(), "c", "k", Claim{RequestID: "r", Agent: "vm"})
	require.NoError(t, err)
	require.False(t, created)
}

// Guards against two entries moving one claim to two agents.
func TestOnlyOneMoveWins(t *testing.T) {
	ctx := context.Background()
	store := kv.NewMemory(nil)
	s1, s2 := New(store, "e1", time.Now), New(store, "e2", time.Now)
	first, _, err := s1.Create(ctx, "c", "k", Claim{RequestID: "r", Agent: "vm-1", Incarnation: 1})
	require.NoError(t, err)
	seen, err := s2.Get(ctx, "c", "k")
	require.NoError(t, err)
	moved, err := s1.Move(ctx, "c", "k", first, Claim{RequestID: "r", Agent: "vm-2"})
	require.NoError(t, err)
	require.Equal(t, "vm-2", moved.Agent)
	current, err := s2.Move(ctx, "c", "k", seen, Claim{RequestID: "r", Agent: "vm-3"})
	require.Equal(t, rescode.VersionConflict, rescode.Of(err))
	require.Equal(t, "vm-2", current.Agent)
}

// Guards against reporting a claim as absent while the key-value service is
// unavailable.
func TestOutageIsNotAbsence(t *testing.T) {
	store := kv.NewMemory(nil)
	s := New(store, "e1", time.Now)
	store.SetFaults(kv.Faults{Down: true})
	_, err := s.Get(context.Background(), "c", "k")
	require.Equal(t, rescode.StoreUnavailable, rescode.Of(err))
}
