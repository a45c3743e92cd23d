package lead

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// forgetfulStore is a store that has dropped its history before the first watch.
type forgetfulStore struct {
	fleet.Store
	watches int
}

func (s *forgetfulStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if s.watches++; s.watches == 1 {
		return nil, after, fleet.ErrCompacted
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// missChanges lets a loaded leader miss some changes of the store, as their history is
// dropped, and then read the keys again.
func missChanges(t *testing.T, l *Leader, s *slowStore, change func()) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	revision, err := l.load(ctx)
	require.NoError(t, err)
	change()
	s.Store = &forgetfulStore{Store: s.Store}
	go l.watch(ctx, revision)
	l.handle(<-l.events)
}

func jobRecord(id string) fleet.Write {
	return fleet.Write{Key: fleet.JobBase + id, Value: fmt.Appendf(nil, `{"id":%q,"steps":[{"count":1}]}`, id)}
}

// Guards against a job that runs on after it was accepted and cancelled while the
// history was dropped.
func TestJobCancelledWhileHistoryIsDroppedStaysCancelled(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 0)
	missChanges(t, l, s, func() {
		for _, w := range []fleet.Write{jobRecord("cancelled"), {Key: fleet.CancelBase + "cancelled"}, jobRecord("wanted")} {
			_, err := s.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{w}})
			require.NoError(t, err)
		}
	})
	require.Equal(t, ledger.Cancelled, l.ledger.Jobs["cancelled"].Final)
	require.Equal(t, ledger.Queued, l.ledger.Jobs["wanted"].VisibleState())
	l.ledger.Tick(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	ready := l.ledger.Ready(time.Now())
	require.Len(t, ready, 1)
	require.Equal(t, "wanted", ready[0].ID.Job)
}

// Guards against a job that runs on after the notice of its cancellation came to the
// leader before the job.
func TestNoticeOfACancellationBeforeItsJob(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	job := jobRecord("cancelled")
	l.reply(&pb.FleetAsk{Kind: link.AskCancelled, Id: "cancelled"})
	l.reply(&pb.FleetAsk{Kind: link.AskAccepted, Id: "cancelled", Job: job.Value, Revision: l.term + 1})
	require.Equal(t, ledger.Cancelled, l.ledger.Jobs["cancelled"].Final)
}

// Guards against a job that ends and is forgotten, and then runs again because its
// records were still there when the keys were read again.
func TestForgottenJobDoesNotRunAgainAfterDroppedHistory(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 1)
	id := fmt.Sprintf("%016x", 0)
	missChanges(t, l, s, func() {
		l.ledger.Cancel(id, time.Now())
		records, err := l.ledger.Dirty(1)
		require.NoError(t, err)
		revision, err := s.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: fleet.ProgressBase + id, Value: records[0].Value}}})
		require.NoError(t, err)
		l.ledger.Stored(records, revision)
		ids, _ := l.ledger.Forget(0, time.Now().Add(time.Second))
		require.Equal(t, []string{id}, ids)
		_, err = s.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{jobRecord("new")}})
		require.NoError(t, err)
	})
	l.ledger.Tick(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	ready := l.ledger.Ready(time.Now())
	require.Len(t, ready, 1)
	require.Equal(t, "new", ready[0].ID.Job)
}

// Guards against a VM that is kept forever, and dialled again and again, because its
// registration was removed while the history was dropped.
func TestVMRemovedWhileHistoryIsDroppedIsForgotten(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 0)
	for _, vm := range []string{"gone", "stays"} {
		_, err := s.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: fleet.NodeBase + vm, Value: []byte(`{"address":"127.0.0.1:1"}`)}}})
		require.NoError(t, err)
	}
	missChanges(t, l, s, func() {
		_, err := s.Commit(context.Background(), fleet.Txn{Delete: []string{fleet.NodeBase + "gone"}})
		require.NoError(t, err)
	})
	require.NotContains(t, l.links, "gone")
	require.Contains(t, l.links, "stays")
	now := time.Now()
	l.ledger.Tick(now, now) // the leases of earlier leaders have ended
	require.NotContains(t, l.ledger.Nodes, "gone")
	require.Contains(t, l.ledger.Nodes, "stays")
}

// lossyStore is a store that answers every other page only.
type lossyStore struct {
	fleet.Store
	pages int
}

func (s *lossyStore) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	if s.pages++; s.pages%2 == 0 {
		return fleet.Page{}, kv.ErrUncertain
	}
	return s.Store.Page(ctx, prefix, after)
}

// Guards against a state that is never read again after the history was dropped, because
// each lost page has it read from its beginning.
func TestStateIsReadAgainFromALossyStore(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 1100)
	lossy := &lossyStore{Store: s.Store}
	s.Store = lossy
	_, err := l.reload(context.Background(), 0)
	require.NoError(t, err)
	l.handle(<-l.events)
	require.Len(t, l.ledger.Jobs, 1100)
	require.Equal(t, 7, lossy.pages, "3 pages of jobs and one of progress, all but the first twice")
}

// end cancels a job, stores its final state and forgets it.
func end(t *testing.T, l *Leader, id string) {
	l.ledger.Cancel(id, time.Now())
	records, err := l.ledger.Dirty(1)
	require.NoError(t, err)
	l.ledger.Stored(records, 1)
	l.forget(0, time.Now().Add(time.Second))
	require.Empty(t, l.ledger.Jobs)
}

func requireNothingReady(t *testing.T, l *Leader) {
	l.ledger.Tick(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	require.Empty(t, l.ledger.Ready(time.Now()))
}

// Guards against a job that was notified, has ended and is gone, and runs again because
// the watch stood still and shows it only now.
func TestForgottenJobDoesNotRunAgainAfterALateWatch(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	revision, err := l.load(ctx)
	require.NoError(t, err)
	job := jobRecord("ended")
	created, err := s.Commit(ctx, fleet.Txn{Put: []fleet.Write{job}})
	require.NoError(t, err)
	l.addJob(job.Value, created, time.Now())
	end(t, l, "ended")
	_, err = s.Commit(ctx, fleet.Txn{Delete: []string{job.Key}})
	require.NoError(t, err)
	go l.watch(ctx, revision)
	l.handle(<-l.events)
	requireNothingReady(t, l)
	require.Empty(t, l.forgotten, "its removal has been seen")

	_, err = s.Commit(ctx, fleet.Txn{Put: []fleet.Write{job}})
	require.NoError(t, err)
	l.handle(<-l.events)
	require.Contains(t, l.ledger.Jobs, "ended", "a job that is submitted anew")
}

// Guards against a job that ends while the state is read again, and runs again by its
// progress before the end.
func TestJobThatEndsWhileTheStateIsReadAgain(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 1)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	state, err := readState(context.Background(), s)
	require.NoError(t, err)
	end(t, l, fmt.Sprintf("%016x", 0))
	l.restore(context.Background(), state, false, time.Now())
	l.removeForgotten(state)
	requireNothingReady(t, l)
	l.removeForgotten(storedState{})
	require.Empty(t, l.forgotten)
}

// severedStore is a store of which the connection of the first watch has gone silent: it
// fails only once its time is over.
type severedStore struct {
	fleet.Store
	severed bool
}

// silenceOfWatch is how long beyond its wait the client of the store gives a watch.
const silenceOfWatch = 700 * time.Millisecond

func (s *severedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if s.severed {
		return s.Store.Watch(ctx, prefix, after, wait)
	}
	s.severed = true
	fleet.Sleep(ctx, wait+silenceOfWatch)
	return nil, after, kv.ErrUncertain
}

// Guards against tasks of a cancelled job that are started seconds after the cancellation
// was acknowledged: the connection of the leader's watch has gone silent, and the entry
// that stored the cancellation has ended before it notified the leader. The platform
// allows 3 s.
func TestCancellationIsHeardOfThoughTheWatchHasGoneSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{}
		l := newLoadingLeader(t, s, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		revision, err := l.load(ctx)
		require.NoError(t, err)
		for _, w := range []fleet.Write{jobRecord("job"), {Key: fleet.CancelBase + "job"}} {
			_, err := s.Commit(ctx, fleet.Txn{Put: []fleet.Write{w}})
			require.NoError(t, err)
		}
		s.Store = &severedStore{Store: s.Store}
		began := time.Now()
		go l.watch(ctx, revision)
		l.handle(<-l.events)
		require.Equal(t, ledger.Cancelled, l.ledger.Jobs["job"].Final)
		require.Less(t, time.Since(began), 3*time.Second)
	})
}

// Guards against the end of a job that is acknowledged before the leader can know whether
// it has been removed, and against one that is never acknowledged.
func TestEndOfAnUnknownJobWaitsForTheWatch(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{}, 0)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	node := l.ledger.AddNode("vm")
	acknowledged := func() uint64 {
		orders, _ := node.TakeOrders()
		return orders.Stored
	}
	end := fleet.End{Number: 1, Task: fleet.TaskID{Job: "unknown"}, Run: 1, Reason: fleet.EndDone}
	before := time.Now()
	l.ledger.Report(node, ledger.Report{Executor: &fleet.Executor{Instance: "vm"}, Listed: true, Ended: []fleet.End{end}}, before.Add(time.Millisecond))
	current := l.watched + 10
	l.handleVerify(before, fleet.Item{Revision: l.term, AsOf: current}, nil)
	l.setWatched(current)
	require.Zero(t, acknowledged(), "the job may have been stored after the call")
	l.handleVerify(before.Add(time.Second), fleet.Item{Revision: l.term, AsOf: current + 1}, nil)
	l.setWatched(current)
	require.Zero(t, acknowledged(), "the watch may not have got to the job")
	l.setWatched(current + 1)
	require.EqualValues(t, 1, acknowledged())
}
