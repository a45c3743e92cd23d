package lead

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Guards against cancellations of jobs that were never stored that are kept for good, and
// against the removal of the cancellation of a job that is stored and not known yet: it would
// run for good.
func TestOnlyCancellationsOfJobsThatWereNeverStoredAreRemoved(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 0)
	put := func(w ...fleet.Write) {
		_, err := s.Commit(t.Context(), fleet.Txn{Put: w})
		require.NoError(t, err)
	}
	for _, id := range []string{"never", "later", "never again"} {
		put(fleet.Write{Key: fleet.CancelBase + id, Value: []byte("{}")})
	}
	_, err := l.load(t.Context())
	require.NoError(t, err)
	put(jobRecord("later"))
	began := time.Now()
	cancels := func(at time.Duration) (ids []string) {
		l.forget(time.Minute, began.Add(at))
		for range 3 {
			l.commitAfter = time.Time{}
			l.commit(t.Context(), time.Now())
			for l.commits > 0 {
				l.handle(<-l.events)
			}
		}
		items, _, err := fleet.ReadAll(context.Background(), s, fleet.CancelBase)
		require.NoError(t, err)
		for _, item := range items {
			ids = append(ids, item.Key[len(fleet.CancelBase):])
		}
		return ids
	}
	require.Len(t, cancels(50*time.Second), 3)
	require.Equal(t, []string{"later"}, cancels(2*time.Minute))
}

// Guards against a cancelled job that runs again because the entry that stored it notifies a
// later leader of it once its records have been removed.
func TestLateNoticeOfARemovedJob(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	_, err := l.load(t.Context())
	require.NoError(t, err)
	require.NotZero(t, l.watched)
	job := jobRecord("removed")
	l.reply(&pb.FleetAsk{Kind: link.AskAccepted, Id: "removed", Job: job.Value, Revision: l.watched})
	require.Empty(t, l.ledger.Jobs)
	l.reply(&pb.FleetAsk{Kind: link.AskAccepted, Id: "removed", Job: job.Value, Revision: l.watched + 1})
	require.Len(t, l.ledger.Jobs, 1)
}

// Guards against a flood of cancellations of jobs that do not exist that takes the writes of the
// store from submissions, and fills it.
func TestCancellationsOfJobsThatDoNotExistAreBounded(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 0)
	e := NewEntry(Options{Store: s, Log: l.opts.Log, Metrics: l.opts.Metrics}, nil, ConfigSource{})
	results := map[fleet.Result]int{}
	for i := range 2 * earlyCancelBurst {
		results[e.Cancel(t.Context(), string(rune('a'+i%26))).Result]++
	}
	require.Less(t, results[fleet.ResultNoSuchJob], 2*earlyCancelBurst)
	require.Positive(t, results[fleet.ResultNotRun], "refused at once, with a time to come back")
	_, err := s.Get(t.Context(), fleet.CancelBase+"a")
	require.NotErrorIs(t, err, kv.ErrNotFound)
}
