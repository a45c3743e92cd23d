package lead

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/kv"
)

// refusingStore refuses the transactions that write a key.
type refusingStore struct {
	fleet.Store
	key string
}

func (s *refusingStore) Commit(ctx context.Context, txn fleet.Txn) (uint64, error) {
	if slices.ContainsFunc(txn.Put, func(w fleet.Write) bool { return w.Key == s.key }) {
		return 0, kv.ErrUnavailable
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against a record that the store refuses, as it is too large, and that keeps the
// records beside it from being stored: ends would not be acknowledged, nor suspects started.
func TestRefusedRecordHoldsBackNoOthers(t *testing.T) {
	const jobs, rounds = 12, 30
	s := &slowStore{}
	l := newLoadingLeader(t, s, jobs)
	_, err := l.load(t.Context())
	require.NoError(t, err)
	refused := slices.Sorted(maps.Keys(l.ledger.Jobs))[jobs/2]
	s.Store = &refusingStore{s.Store, fleet.ProgressBase + refused}
	for id := range l.ledger.Jobs {
		l.ledger.Cancel(id, time.Now())
	}
	for range rounds {
		l.commitAfter = time.Time{}
		l.commit(t.Context(), time.Now())
		for l.commits > 0 {
			l.handle(<-l.events)
		}
	}
	for id, job := range l.ledger.Jobs {
		require.Equal(t, id != refused, job.VisibleState() == ledger.Cancelled, id)
	}
}
