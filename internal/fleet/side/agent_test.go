package side

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// call is a call to an executor that waits for its answer.
type call struct {
	hold     bool
	deadline time.Duration
	seen     uint64
	answer   chan fleet.RunLists // closed: the call gets no answer
}

// scripted is an executor whose answers the test gives.
type scripted struct{ calls chan call }

func (s *scripted) wait(c call) (fleet.RunLists, error) {
	c.answer = make(chan fleet.RunLists)
	s.calls <- c
	lists, ok := <-c.answer
	if !ok {
		return lists, errors.New("no answer")
	}
	return lists, nil
}

func (s *scripted) Hold(_ context.Context, _ fleet.Executor, _ uint64, deadline time.Duration, seen uint64, _ time.Duration) (fleet.RunLists, error) {
	return s.wait(call{hold: true, deadline: deadline, seen: seen})
}

func (s *scripted) Start(context.Context, fleet.Executor, uint64, fleet.StartOrder) (fleet.OrderResult, error) {
	_, err := s.wait(call{})
	return fleet.OrderDone, err
}

func (s *scripted) Stop(context.Context, fleet.Executor, uint64, fleet.TaskID, int) (fleet.OrderResult, error) {
	return fleet.OrderDone, nil
}

func (s *scripted) Pace(context.Context, fleet.Executor, uint64, fleet.TaskID, int, int) (fleet.OrderResult, error) {
	return fleet.OrderDone, nil
}

const bornFirst, bornSecond = 1, 2

// newScripted returns an agent that follows a leader and has been granted a lease
// and an acknowledgement, with its loop running.
func newScripted(t *testing.T) (*Agent, *scripted) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x := &scripted{calls: make(chan call, 8)}
	a := New(Options{Executors: x, MaxLease: 10 * time.Second, Log: log.New(io.Discard)})
	a.executor = &fleet.Executor{Instance: "x@1", Born: bornFirst}
	a.session = &session{outbox: make(chan *pb.Frame, outboxFrames), ctx: ctx, cancel: cancel}
	a.stored, a.lease.deadline = 5, time.Hour
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-a.events:
				f()
			}
		}
	}()
	return a, x
}

// Guards against a lease and an acknowledgement of the earlier life that reach a
// new life of the executor, which has begun to count anew: it would forget ends
// that nobody has read, and hold its tasks for longer than the leader expects.
func TestUnansweredCallIsFollowedByALook(t *testing.T) {
	a, x := newScripted(t)
	a.post(context.Background(), func() { a.hold(0) })
	first := <-x.calls
	require.Equal(t, uint64(5), first.seen)
	require.Equal(t, time.Hour, first.deadline)
	close(first.answer)
	look := <-x.calls
	require.Zero(t, look.seen)
	require.Zero(t, look.deadline)
	look.answer <- fleet.RunLists{Born: bornSecond, Clock: time.Second}
	again := <-x.calls
	require.Zero(t, again.seen, "a later life answers, its announcement has not come")
	again.answer <- fleet.RunLists{Born: bornFirst, Clock: time.Second}
	next := <-x.calls
	require.Equal(t, uint64(5), next.seen, "the known life has answered")
}

// Guards against a start that a new life of the executor carries out because the
// agent repeats it without a look.
func TestUnansweredStartIsRepeatedAfterALook(t *testing.T) {
	a, x := newScripted(t)
	order := fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1}
	a.post(context.Background(), func() { a.orderStart(a.session, order) })
	start := <-x.calls
	require.False(t, start.hold)
	close(start.answer)
	look := <-x.calls
	require.True(t, look.hold)
	require.Zero(t, look.seen)
	look.answer <- fleet.RunLists{Born: bornFirst, Clock: time.Second}
	for next := range x.calls {
		if !next.hold {
			break // the start is repeated
		}
	}
}

// Guards against a start that is repeated although its run is listed: a later life
// of the executor would carry it out once more.
func TestListedRunEndsItsOrder(t *testing.T) {
	a, x := newScripted(t)
	task := fleet.TaskID{Job: "job"}
	a.post(context.Background(), func() { a.orderStart(a.session, fleet.StartOrder{Task: task, Run: 1}) })
	<-x.calls
	results := make(chan []ledger.Result)
	a.post(context.Background(), func() {
		results <- a.arrived(fleet.RunLists{Running: []fleet.Running{{Task: task, Run: 1}}})
	})
	require.Equal(t, []ledger.Result{{Task: task, Run: 1, Result: fleet.OrderDone}}, <-results)
	a.post(context.Background(), func() { results <- a.arrived(fleet.RunLists{Ended: []fleet.End{{Task: task, Run: 1}}}) })
	require.Empty(t, <-results)
}

// Guards against two looks at a time: the lists of the first one could come last
// and prove the absence of a run that has begun meanwhile.
func TestOneLookAtATime(t *testing.T) {
	a, x := newScripted(t)
	a.post(context.Background(), func() { a.hold(holdWait) })
	look := <-x.calls
	const starts = 3
	for i := range starts {
		order := fleet.StartOrder{Task: fleet.TaskID{Job: "job", Index: i}, Run: 1}
		a.post(context.Background(), func() { a.orderStart(a.session, order) })
		start := <-x.calls
		require.False(t, start.hold)
		close(start.answer)
	}
	looked := make(chan struct{})
	a.post(context.Background(), func() {
		a.hold(0)
		close(looked)
	})
	<-looked
	select {
	case c := <-x.calls:
		require.False(t, c.hold, "a second look")
	case <-time.After(3 * retryOrder):
	}
	look.answer <- fleet.RunLists{Born: bornFirst, Clock: time.Second}
	next := <-x.calls
	require.True(t, next.hold)
	require.Zero(t, next.seen, "the look was sent before the starts got no answer")
}

// Guards against a start that the leader has given up: an agent that has said
// that the lease has expired must not extend it by an answer to an older report,
// which comes with orders from before the leader heard of it.
func TestGrantFromBeforeTheLapseIsIgnored(t *testing.T) {
	x := &scripted{calls: make(chan call, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := New(Options{Executors: x, MaxLease: 10 * time.Second, Log: log.New(io.Discard)})
	a.executor = &fleet.Executor{Instance: "x@1", Born: bornFirst}
	a.session = &session{outbox: make(chan *pb.Frame, outboxFrames), ctx: ctx, cancel: cancel, heard: time.Now()}
	a.lease = lease{now: sample{clock: 0, at: time.Now().Add(-20 * time.Second)}, bound: 4 * time.Second, deadline: 4 * time.Second, known: true}
	a.sent[7] = sentReport{a.lease.now, time.Now().Add(-time.Second)}
	a.tick(ctx)
	require.True(t, a.lapsed)
	a.take(a.session, &pb.Orders{Instance: "x@1", Report: 7, LeaseMs: 4000})
	require.Equal(t, 4*time.Second, a.lease.deadline)
	require.True(t, a.lease.expired(time.Now()))
}
