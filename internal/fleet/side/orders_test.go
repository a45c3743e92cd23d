package side

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// newTestSession returns a session that nothing sends to or reads from.
func newTestSession(t *testing.T, term uint64) *session {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &session{term: term, outbox: make(chan *pb.Frame, outboxSize), ctx: ctx, cancel: cancel, lastReceived: time.Now(), specs: link.NewSpecs()}
}

// awaitResult answers the holds of the executor until the session reports the result of
// an order. A start fails the test.
func awaitResult(t *testing.T, x *scriptedExecutor, s *session) fleet.OrderResult {
	for {
		select {
		case c := <-x.calls:
			require.True(t, c.hold, "a start on an executor that leaves")
			c.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
		case frame := <-s.outbox:
			if results := frame.GetNodeReport().GetResults(); len(results) > 0 {
				return fleet.OrderResult(results[0].GetResult())
			}
		}
	}
}

// Guards against a second run of a task beside a start that is carried out late: its
// call was not answered, the session was lost, the executor leaves, and the agent
// reports the repeated start as refused without a call (review/2).
func TestStartOfALostSessionIsRevokedWhenTheExecutorLeaves(t *testing.T) {
	a, x := newTestAgent(t)
	start := fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1}
	first, second := newTestSession(t, 0), newTestSession(t, 0)
	a.post(context.Background(), func() {
		a.session = first
		a.startRun(first, start)
	})
	call := <-x.calls
	require.False(t, call.hold)
	a.Announce(fleet.Executor{Instance: "x@1", Born: firstBorn, Seq: 1, Draining: true})
	a.post(context.Background(), func() {
		a.sessionLost(first)
		a.session = second
		a.startRun(second, start)
	})
	require.Equal(t, fleet.OrderRevoked, awaitResult(t, x, second))
	require.Equal(t, []ledger.RunRef{{Task: start.Task, Run: 1}}, x.stopped())
	close(call.answer)
	a.post(context.Background(), func() { a.startRun(second, fleet.StartOrder{Task: start.Task, Run: 2}) })
	require.Equal(t, fleet.OrderBusy, awaitResult(t, x, second), "no call of this run")
}

// Guards against the same after a restart of the agent, which does not know what the
// process before has called.
func TestStartRepeatedToARestartedAgentIsRevokedWhenTheExecutorLeaves(t *testing.T) {
	x := &scriptedExecutor{calls: make(chan executorCall, 8)}
	a := New(Options{Executors: x, MaxLease: 10 * time.Second, Log: log.New(io.Discard)})
	go handleEvents(t.Context(), a)
	a.executor = &fleet.Executor{Instance: "x@1", Born: firstBorn, Draining: true}
	s := newTestSession(t, 7)
	a.post(context.Background(), func() {
		a.follow(s, "entry")
		a.startRun(s, fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1})
	})
	require.Equal(t, fleet.OrderRevoked, awaitResult(t, x, s))
	next := newTestSession(t, 7)
	a.post(context.Background(), func() {
		a.follow(next, "entry")
		a.startRun(next, fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 2})
	})
	require.Equal(t, fleet.OrderBusy, awaitResult(t, x, next))
}

// Guards against a task that runs on though its stop was ordered: a start of the same run
// cancels the stop that has no answer yet.
func TestStartDoesNotCancelAStopOfItsRun(t *testing.T) {
	a, _ := newTestAgent(t)
	ref := ledger.RunRef{Task: fleet.TaskID{Job: "job"}, Run: 1}
	cancelled := make(chan bool)
	a.post(t.Context(), func() {
		stop := a.beginOrder(a.session, ref, true)
		a.startRun(a.session, fleet.StartOrder{Task: ref.Task, Run: ref.Run})
		cancelled <- stop.ctx.Err() != nil
	})
	require.False(t, <-cancelled)
}
