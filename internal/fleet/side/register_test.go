package side

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
)

// lateStore gives no answer to deletions, and carries them out later.
type lateStore struct {
	fleet.Store
	revision uint64 // of the record; 0: none
	last     uint64
	late     []fleet.Txn
}

func (s *lateStore) Commit(_ context.Context, txn fleet.Txn) (uint64, error) {
	if len(txn.Delete) > 0 {
		s.late = append(s.late, txn)
		return 0, kv.ErrUncertain
	}
	if txn.If[0].Revision != s.revision {
		return 0, &fleet.ConflictError{Current: []fleet.Item{{Key: txn.If[0].Key, Revision: s.revision, Value: []byte("v")}}}
	}
	s.last++
	s.revision = s.last
	return s.revision, nil
}

func (s *lateStore) carryOut() {
	for _, txn := range s.late {
		if txn.If[0].Revision == s.revision {
			s.revision = 0
		}
	}
}

// Guards against a VM at work that the next leader does not know of, so that it starts the
// VM's tasks elsewhere: the deletion of its registration for the executor before, or by an
// earlier process of the agent, is carried out late.
func TestLateDeletionOfARegistrationThatIsWrittenAgain(t *testing.T) {
	s := &lateStore{}
	a := New(Options{Store: s, Log: newAnnouncedAgent(t, &instanceOnly{}).opts.Log})
	r := registration{key: "k", value: []byte("v")}
	require.True(t, a.writeRegistration(t.Context(), &r))
	require.False(t, a.removeRegistration(t.Context(), &r))
	require.False(t, r.written, "it is written again for the next executor")
	require.True(t, a.writeRegistration(t.Context(), &r))
	s.carryOut()
	require.NotZero(t, s.revision)

	require.False(t, a.removeRegistration(t.Context(), &r))
	next := registration{key: "k", value: []byte("v")}
	require.True(t, a.writeRegistration(t.Context(), &next))
	s.carryOut()
	require.NotZero(t, s.revision, "the deletion of an earlier process")
}

// Guards against a takeover that knows nothing of a VM at work, and starts its tasks elsewhere:
// its agent was started anew beside an executor that answers no agent without a term.
func TestRegistrationStaysWhileTheExecutorCannotBeConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{}
		a := newAnnouncedAgent(t, &instanceOnly{id: "i-1", born: 1000, fence: 7})
		a.opts.Store = s
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			a.maintainRegistration(ctx)
			close(ended)
		}()
		for range 4 { // announcements that come at intervals longer than confirmTimeout
			a.Announce(announcementOf("i-1@1000", "i-1", 1000))
			time.Sleep(2 * confirmTimeout)
		}
		cancel()
		<-ended
		require.NotZero(t, s.revision, "it is never written")
		require.Empty(t, s.late, "it is removed, though nothing shows that the executor has left")
	})
}
