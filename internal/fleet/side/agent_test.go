package side

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// executorCall is a call to a scriptedExecutor that waits for its answer.
type executorCall struct {
	hold     bool
	deadline time.Duration
	only     fleet.InstanceCheck
	seen     uint64              // number of the last acknowledged end
	answer   chan fleet.RunLists // closed without a value: the call fails
}

// scriptedExecutor passes hold and start calls to the test, which answers them.
type scriptedExecutor struct {
	calls chan executorCall
	mu    sync.Mutex
	stops []ledger.RunRef
}

// stopped returns the runs that were ordered to stop.
func (s *scriptedExecutor) stopped() []ledger.RunRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.stops)
}

func (s *scriptedExecutor) awaitAnswer(c executorCall) (fleet.RunLists, error) {
	c.answer = make(chan fleet.RunLists)
	s.calls <- c
	lists, ok := <-c.answer
	if !ok {
		return lists, errors.New("no answer")
	}
	return lists, nil
}

func (s *scriptedExecutor) Hold(_ context.Context, _ fleet.Executor, only fleet.InstanceCheck, _ uint64, deadline time.Duration, seen uint64, _ time.Duration) (fleet.RunLists, error) {
	return s.awaitAnswer(executorCall{hold: true, only: only, deadline: deadline, seen: seen})
}

func (s *scriptedExecutor) Start(_ context.Context, _ fleet.Executor, only fleet.InstanceCheck, _ uint64, o fleet.StartOrder) (fleet.OrderResult, error) {
	_, err := s.awaitAnswer(executorCall{only: only, deadline: o.Deadline})
	return fleet.OrderDone, err
}

func (s *scriptedExecutor) Stop(_ context.Context, _ fleet.Executor, _ fleet.InstanceCheck, _ uint64, task fleet.TaskID, run int) (fleet.OrderResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, ledger.RunRef{Task: task, Run: run})
	return fleet.OrderDone, nil
}

func (s *scriptedExecutor) Pace(context.Context, fleet.Executor, fleet.InstanceCheck, uint64, fleet.TaskID, int, int) (fleet.OrderResult, error) {
	return fleet.OrderDone, nil
}

const firstBorn, secondBorn = 1, 2

// newTestAgent returns an agent with its loop running. It follows a leader that has
// granted a lease and acknowledged the ends up to number 5.
func newTestAgent(t *testing.T) (*Agent, *scriptedExecutor) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x := &scriptedExecutor{calls: make(chan executorCall, 8)}
	a := New(Options{Executors: x, MaxLease: 10 * time.Second, Log: log.New(io.Discard)})
	a.executor = &fleet.Executor{Instance: "x@1", Born: firstBorn}
	a.session = &session{outbox: make(chan *pb.Frame, outboxSize), ctx: ctx, cancel: cancel, specs: link.NewSpecs()}
	a.ackedEnd, a.lease.deadline = 5, time.Hour
	go handleEvents(ctx, a)
	return a, x
}

// handleEvents handles the events of an agent until ctx ends.
func handleEvents(ctx context.Context, a *Agent) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.events:
			f()
		}
	}
}

// Guards against a lease and an acknowledgement meant for the earlier instance that
// reach a new instance of the executor, whose numbers of ends start anew: it would
// forget ends that nobody has read, and keep its tasks for longer than the leader
// expects.
func TestUnansweredHoldIsFollowedByPlainHold(t *testing.T) {
	a, x := newTestAgent(t)
	a.post(context.Background(), func() { a.hold(0) })
	first := <-x.calls
	require.Equal(t, uint64(5), first.seen)
	require.Equal(t, time.Hour, first.deadline)
	close(first.answer)
	second := <-x.calls
	require.Zero(t, second.seen)
	require.Zero(t, second.deadline)
	second.answer <- fleet.RunLists{Born: secondBorn, Clock: time.Second}
	third := <-x.calls
	require.Zero(t, third.seen, "a new instance answers before its announcement")
	third.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
	next := <-x.calls
	require.Equal(t, uint64(5), next.seen, "the known instance has answered")
}

// Guards against a start that a new instance of the executor carries out because
// the agent repeats it without a hold in between.
func TestUnansweredStartIsRepeatedAfterHold(t *testing.T) {
	a, x := newTestAgent(t)
	order := fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1}
	a.post(context.Background(), func() { a.startRun(a.session, order) })
	start := <-x.calls
	require.False(t, start.hold)
	close(start.answer)
	second := <-x.calls
	require.True(t, second.hold)
	require.Zero(t, second.seen)
	second.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
	for next := range x.calls {
		if !next.hold {
			break // the start is repeated
		}
	}
}

// Guards against a start that is repeated although its run is listed: a later
// instance of the executor would carry it out once more.
func TestListedRunEndsItsOrder(t *testing.T) {
	a, x := newTestAgent(t)
	task := fleet.TaskID{Job: "job"}
	a.post(context.Background(), func() { a.startRun(a.session, fleet.StartOrder{Task: task, Run: 1}) })
	<-x.calls
	results := make(chan []ledger.Result)
	a.post(context.Background(), func() {
		results <- a.completeListedStarts(fleet.RunLists{Running: []fleet.Running{{Task: task, Run: 1}}})
	})
	require.Equal(t, []ledger.Result{{Task: task, Run: 1, Result: fleet.OrderDone}}, <-results)
	a.post(context.Background(), func() { results <- a.completeListedStarts(fleet.RunLists{Ended: []fleet.End{{Task: task, Run: 1}}}) })
	require.Empty(t, <-results)
}

// Guards against the lists of an earlier hold that arrive last and falsely prove the
// absence of a run that has started meanwhile. A hold that waits for an end may be
// overtaken by one more hold, and no other; its lists are dropped.
func TestOneHoldAtATime(t *testing.T) {
	a, x := newTestAgent(t)
	a.post(context.Background(), func() { a.hold(holdWait) })
	pending := <-x.calls
	const starts = 3
	for i := range starts {
		order := fleet.StartOrder{Task: fleet.TaskID{Job: "job", Index: i}, Run: 1}
		a.post(context.Background(), func() { a.startRun(a.session, order) })
	}
	var second executorCall
	for failed := 0; failed < starts || second.answer == nil; {
		c := <-x.calls
		if c.hold {
			require.Nil(t, second.answer, "a third hold")
			require.Zero(t, c.seen, "a start has failed, so the instance is uncertain")
			second = c
			continue
		}
		failed++
		close(c.answer)
	}
	requested := make(chan struct{})
	a.post(context.Background(), func() {
		a.hold(0)
		a.holdAtOnce()
		close(requested)
	})
	<-requested
	select {
	case c := <-x.calls:
		require.False(t, c.hold, "a third hold")
	case <-time.After(3 * orderRetryDelay):
	}
	began := fleet.Running{Task: fleet.TaskID{Job: "job"}, Run: 1}
	second.answer <- fleet.RunLists{Born: firstBorn, Clock: 2 * time.Second, Running: []fleet.Running{began}}
	pending.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
	next := <-x.calls
	for !next.hold { // the starts that are not listed are repeated
		close(next.answer)
		next = <-x.calls
	}
	next.answer <- fleet.RunLists{Born: firstBorn, Clock: 3 * time.Second, Running: []fleet.Running{began}}
	for reported := false; !reported; {
		report := (<-a.session.outbox).GetNodeReport()
		if reported = report.GetListed(); reported {
			require.Len(t, report.GetRunning(), 1, "the lists of the earlier hold")
		}
	}
}

// Guards against a start that the leader has given up: an agent that has reported
// the expiry of the lease must not extend it by an answer to an older report, which
// carries orders from before the leader knew of the expiry.
func TestGrantFromBeforeTheLapseIsIgnored(t *testing.T) {
	x := &scriptedExecutor{calls: make(chan executorCall, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := New(Options{Executors: x, MaxLease: 10 * time.Second, Log: log.New(io.Discard)})
	a.executor = &fleet.Executor{Instance: "x@1", Born: firstBorn}
	a.session = &session{outbox: make(chan *pb.Frame, outboxSize), ctx: ctx, cancel: cancel, specs: link.NewSpecs(), lastReceived: time.Now()}
	a.lease = lease{latest: clockReading{clock: 0, at: time.Now().Add(-20 * time.Second)}, maxDeadline: 4 * time.Second, deadline: 4 * time.Second, hasReading: true}
	a.sentReports[7] = sentReport{a.lease.latest, time.Now().Add(-time.Second)}
	a.tick(ctx)
	require.True(t, a.lapsed)
	a.handleOrders(a.session, &pb.Orders{Instance: "x@1", Report: 7, LeaseMs: 4000})
	require.Equal(t, 4*time.Second, a.lease.deadline)
	require.True(t, a.lease.expired(time.Now()))
}

// Guards against a task that starts on an executor seconds after the agent has
// acknowledged that it leaves: an order without an answer is repeated, and an order
// may arrive that the leader gave before it knew.
func TestLeavingExecutorIsNotOrderedToStart(t *testing.T) {
	a, x := newTestAgent(t)
	leaving := fleet.Executor{Instance: "x@1", Born: firstBorn, Seq: 1, Draining: true}
	first := fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1}
	a.post(context.Background(), func() { a.startRun(a.session, first) })
	start := <-x.calls
	require.False(t, start.hold)
	a.Announce(leaving)
	close(start.answer)
	results := map[int]fleet.OrderResult{}
	for index := 1; len(results) < 2; {
		select {
		case c := <-x.calls:
			require.True(t, c.hold, "a start after the leave was announced")
			c.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
			if index == 1 {
				a.post(context.Background(), func() {
					a.startRun(a.session, fleet.StartOrder{Task: fleet.TaskID{Job: "job", Index: 1}, Run: 1})
				})
				index++
			}
		case frame := <-a.session.outbox:
			for _, r := range frame.GetNodeReport().GetResults() {
				id, err := fleet.ParseTaskID(r.GetTask())
				require.NoError(t, err)
				results[id.Index] = fleet.OrderResult(r.GetResult())
			}
		}
	}
	require.Equal(t, map[int]fleet.OrderResult{0: fleet.OrderRevoked, 1: fleet.OrderBusy}, results)
}

// Guards against a start that the executor carries out seconds after its capacity has
// shrunk, as an order without an answer is repeated, and against a leader that learns
// of the capacity only with the next lists.
func TestStartIsNotRepeatedOnceTheCapacityHasShrunk(t *testing.T) {
	a, x := newTestAgent(t)
	a.executor.Capacity = structs.Resources{MilliCPU: 16000, MemoryMB: 64000}
	shrunk := fleet.Executor{Instance: "x@1", Born: firstBorn, Seq: 1, Capacity: structs.Resources{MilliCPU: 16000, MemoryMB: 32000}}
	a.post(context.Background(), func() { a.startRun(a.session, fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1}) })
	start := <-x.calls
	require.False(t, start.hold)
	a.Announce(shrunk)
	report := (<-a.session.outbox).GetNodeReport()
	require.Equal(t, int64(32000), report.GetExecutor().GetCapacity().GetMemoryMb())
	close(start.answer)
	for {
		select {
		case c := <-x.calls:
			require.True(t, c.hold, "a start that was ordered for a larger capacity")
			c.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
		case frame := <-a.session.outbox:
			results := frame.GetNodeReport().GetResults()
			if len(results) == 0 {
				continue
			}
			require.Equal(t, uint32(fleet.OrderRevoked), results[0].GetResult())
			grown := shrunk
			grown.Seq, grown.Capacity.MemoryMB = 2, 64000
			a.Announce(grown)
			a.post(context.Background(), func() { a.startRun(a.session, fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 2}) })
			for c := range x.calls {
				if !c.hold {
					close(c.answer)
					return
				}
				c.answer <- fleet.RunLists{Born: firstBorn, Clock: time.Second}
			}
		}
	}
}

// Guards against a start order that is lost: the agent cancels it when the lease of the
// executor has expired, and the leader, which is not told, takes it for under way.
func TestExpiryThatCancelsOrdersIsReported(t *testing.T) {
	a, x := newTestAgent(t)
	outbox, ended := a.session.outbox, a.session.ctx.Done()
	a.post(context.Background(), func() {
		a.session.lastReceived = time.Now()
		a.startRun(a.session, fleet.StartOrder{Task: fleet.TaskID{Job: "job"}, Run: 1})
	})
	start := <-x.calls
	require.False(t, start.hold)
	a.post(context.Background(), func() {
		now := time.Now()
		a.lease.addReading(clockReading{0, now.Add(-11 * time.Second)}, 10*time.Second)
		a.lease.addReading(clockReading{11 * time.Second, now}, 10*time.Second)
		a.tick(context.Background())
	})
	hold := <-x.calls
	require.True(t, hold.hold)
	hold.answer <- fleet.RunLists{Born: firstBorn, Clock: 11 * time.Second}
	select {
	case frame := <-outbox:
		require.True(t, frame.GetNodeReport().GetLapsed(), "the lists are reported before the expiry")
	case <-ended: // the leader repeats the order in the next session
	}
	start.answer <- fleet.RunLists{}
}

// Guards against a wait of the next leader that is too short, as an agent states a time before
// a frame of an earlier leader, or leaves the frames of an earlier process out.
func TestAgentStatesWhenItHeardFromAnEarlierLeader(t *testing.T) {
	a := New(Options{Executors: &scriptedExecutor{}, Log: log.New(io.Discard)})
	started := a.earlierHeardAt
	report := func(s *session) *pb.NodeReport { return (<-s.outbox).GetNodeReport() }
	follow := func(term uint64) *session {
		ctx, cancel := context.WithCancel(t.Context())
		s := &session{term: term, outbox: make(chan *pb.Frame, outboxSize), ctx: ctx, cancel: cancel, specs: link.NewSpecs()}
		a.follow(s, "entry")
		return s
	}
	first := follow(3)
	require.Equal(t, started, a.earlierHeardAt, "a process before may have heard from one")
	require.NotZero(t, report(first).GetProcess())
	time.Sleep(2 * time.Millisecond)
	a.handleOrders(first, &pb.Orders{Report: 7})
	heard := a.heardAt
	require.True(t, heard.After(started))
	a.report(ledger.Report{})
	second := report(first)
	require.Equal(t, uint64(7), second.GetAnswered())
	require.Zero(t, second.GetProcess(), "stated once in a session")

	a.sessionLost(first)
	require.Equal(t, started, a.earlierHeardAt)
	again := follow(3)
	require.Equal(t, started, a.earlierHeardAt)
	a.handleOrders(first, &pb.Orders{Report: 9})
	require.Zero(t, again.answered, "a frame of the session before")
	time.Sleep(2 * time.Millisecond)
	next := follow(5)
	require.Equal(t, again.began, a.earlierHeardAt)
	require.Positive(t, report(next).GetEarlierLeaderMs())
}
