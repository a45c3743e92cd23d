package lead

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// slowStore is a store whose pages take a time, and of which the first ones fail.
type slowStore struct {
	fleet.Store
	delay    time.Duration
	failures int
	pages    int
}

func (s *slowStore) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	s.pages++
	fleet.Sleep(ctx, s.delay)
	if ctx.Err() != nil {
		return fleet.Page{}, fmt.Errorf("%w: %w", kv.ErrUncertain, ctx.Err())
	}
	if s.failures > 0 {
		s.failures--
		return fleet.Page{}, kv.ErrUncertain
	}
	return s.Store.Page(ctx, prefix, after)
}

// newLoadingLeader returns a leader on a store with the given number of jobs.
func newLoadingLeader(t *testing.T, s *slowStore, jobs int) *Leader {
	backend := standin.NewStore()
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		_, err := backend.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: fleet.JobBase + id, Value: fmt.Appendf(nil, `{"id":%q,"steps":[{"count":1}]}`, id)}}})
		require.NoError(t, err)
	}
	s.Store = backend
	term, err := backend.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: fleet.LeaderKey}, {Key: fleet.TermKey}, {Key: fleet.HandoverKey}}})
	require.NoError(t, err)
	store := &relayStore{Store: s, relay: func(context.Context, storeCall) (storeReply, error) {
		return storeReply{}, kv.ErrUncertain
	}}
	o := Options{Store: store, MaxLease: 10 * time.Second, Config: func() *fleet.Config { return nil }, Log: log.New(io.Discard), Metrics: NewMetrics(t.Name())}
	return newLeader(o, term, 1, time.Now(), predecessor{})
}

// Guards against a fleet that never gets a leader again because its state takes longer
// to read than a time limit, or because one page gets no answer.
func TestLoadTakesAsLongAsItNeeds(t *testing.T) {
	s := &slowStore{delay: directTimeout + 100*time.Millisecond, failures: 1}
	l := newLoadingLeader(t, s, 1100)
	_, err := l.load(context.Background())
	require.NoError(t, err)
	require.Len(t, l.ledger.Jobs, 1100)
	require.Equal(t, 5, s.pages, "3 pages of jobs, one of them twice, and one of progress")
}

// Guards against a load that goes on after another leader has been elected, or after
// the time in which the store has to confirm the term.
func TestLoadEndsWithTheTerm(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{failures: 1 << 30}, 0)
	l.post(context.Background(), func() { l.depose(errDeposed) })
	_, err := l.load(context.Background())
	require.ErrorIs(t, err, errDeposed)

	l = newLoadingLeader(t, &slowStore{failures: 1 << 30}, 0)
	l.verifiedAt = time.Now().Add(-l.opts.termGrace())
	_, err = l.load(context.Background())
	require.ErrorIs(t, err, errDeposed)
}

// Guards against one stored record that cannot be read and keeps every entry from
// leading.
func TestUnreadableProgressSuspendsItsJobOnly(t *testing.T) {
	s := &slowStore{}
	l := newLoadingLeader(t, s, 3)
	for id, value := range map[string]string{fmt.Sprintf("%016x", 0): "{", fmt.Sprintf("%016x", 1): `{"tasks":[{"i":-1,"d":true}]}`} {
		_, err := s.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: fleet.ProgressBase + id, Value: []byte(value)}}})
		require.NoError(t, err)
	}
	_, err := l.load(context.Background())
	require.NoError(t, err)
	l.ledger.Tick(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	ready := l.ledger.Ready(time.Now())
	require.Len(t, ready, 1)
	require.Equal(t, fmt.Sprintf("%016x", 2), ready[0].ID.Job)
}

// Guards against relayed pages larger than a frame, and against items that are left
// out for good.
func TestRelayedPageIsShort(t *testing.T) {
	var reply storeReply
	for i := range 100 {
		reply.Items = append(reply.Items, fleet.Item{Key: fmt.Sprint(i), Value: make([]byte, 3000)})
	}
	reply.shorten()
	require.True(t, reply.More)
	require.Len(t, reply.Items, maxRelayedBytes/3000)
	large := storeReply{Items: []fleet.Item{{Value: make([]byte, 2*maxRelayedBytes)}}}
	large.shorten()
	require.Len(t, large.Items, 1)
	require.False(t, large.More)
}

// Guards against requests that are handled while the state is still being read: the
// count of waiting jobs would be too low, and a cancellation of a job that is not known
// yet would be lost, so that the job is shown as running after it was cancelled.
func TestRequestsWaitForTheLoad(t *testing.T) {
	l := newLoadingLeader(t, &slowStore{delay: 50 * time.Millisecond}, 3)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan error, 1)
	go func() {
		_, err := l.answer(ctx, &pb.FleetAsk{Kind: link.AskCancelled, Id: fmt.Sprintf("%016x", 0)})
		cancelled <- err
	}()
	time.Sleep(10 * time.Millisecond) // the request comes before the load
	ended := make(chan error, 1)
	go func() { ended <- l.run(ctx) }()
	require.NoError(t, <-cancelled)
	reply, err := l.answer(ctx, &pb.FleetAsk{Kind: link.AskWaiting})
	require.NoError(t, err)
	require.EqualValues(t, 2, reply.GetWaiting())
	cancel()
	<-ended
}
