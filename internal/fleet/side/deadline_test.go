package side

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// unresponsiveExecutor returns its lists, half a second of its clock after the last ones, and
// answers no start and no stop in a way that settles it.
type unresponsiveExecutor struct {
	result fleet.OrderResult // of orders, but for the first; OrderUnknown: they get no answer
	mu     sync.Mutex
	clock  time.Duration
	starts int
}

func (x *unresponsiveExecutor) now() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.clock
}

func (x *unresponsiveExecutor) Hold(ctx context.Context, _ fleet.Executor, _ fleet.InstanceCheck, _ uint64, _ time.Duration, _ uint64, _ time.Duration) (fleet.RunLists, error) {
	fleet.Sleep(ctx, 5*time.Millisecond)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.clock += 500 * time.Millisecond
	return fleet.RunLists{Born: firstBorn, Clock: x.clock}, nil
}

func (x *unresponsiveExecutor) answer() (fleet.OrderResult, error) {
	if x.result == fleet.OrderUnknown {
		return x.result, errors.New("no answer")
	}
	return x.result, nil
}

func (x *unresponsiveExecutor) Start(context.Context, fleet.Executor, fleet.InstanceCheck, uint64, fleet.StartOrder) (fleet.OrderResult, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.starts++; x.starts == 1 {
		return fleet.OrderUnknown, errors.New("no answer")
	}
	return x.answer()
}

func (x *unresponsiveExecutor) Stop(context.Context, fleet.Executor, fleet.InstanceCheck, uint64, fleet.TaskID, int) (fleet.OrderResult, error) {
	return x.answer()
}

func (x *unresponsiveExecutor) Pace(context.Context, fleet.Executor, fleet.InstanceCheck, uint64, fleet.TaskID, int, int) (fleet.OrderResult, error) {
	return fleet.OrderDone, nil
}

// Guards against a task that waits for as long as an executor answers no order, or refuses
// each as unhealthy, although it goes on to list its runs: the start was called once
// without an answer, so it may only end by its deadline.
func TestOrderWithoutAnAnswerEndsAtItsDeadline(t *testing.T) {
	const deadline, limit = 4 * time.Second, 30 * time.Second
	for name, c := range map[string]struct {
		result fleet.OrderResult
		stop   bool // the run is ordered to stop meanwhile
		before bool // an earlier process of the agent was ordered to start it
		want   fleet.OrderResult
	}{
		"start without an answer":  {want: fleet.OrderRevoked},
		"start and stop refused":   {result: fleet.OrderBusy, want: fleet.OrderRevoked},
		"stop without an answer":   {stop: true, want: fleet.OrderDone},
		"stop refused":             {result: fleet.OrderBusy, stop: true, want: fleet.OrderDone},
		"stop of an earlier start": {result: fleet.OrderBusy, stop: true, before: true, want: fleet.OrderDone},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAgent(t)
			x := &unresponsiveExecutor{result: c.result}
			s := newTestSession(t, 0)
			ref := ledger.RunRef{Task: fleet.TaskID{Job: "job"}, Run: 1}
			a.post(t.Context(), func() {
				a.opts.Executors, a.session, a.lease.deadline = x, s, deadline
				a.lease.maxDeadline = deadline
				if !c.before {
					a.startRun(s, fleet.StartOrder{Task: ref.Task, Run: ref.Run})
				}
				if c.stop {
					a.stopRun(s, ref)
				}
				a.hold(0)
			})
			for {
				select {
				case frame := <-s.outbox:
					results := frame.GetNodeReport().GetResults()
					if len(results) == 0 {
						continue
					}
					require.Equal(t, c.want, fleet.OrderResult(results[0].GetResult()))
					require.Equal(t, c.stop, results[0].GetStop())
					require.Greater(t, x.now(), deadline, "a call may still start the run")
					return
				case <-time.After(50 * time.Millisecond):
					require.Less(t, x.now(), limit, "the order has no outcome")
				}
			}
		})
	}
}

// Guards against a start that counts as ended although a call of an earlier session or
// process of the agent, with a later deadline, may still be carried out.
func TestDeadlineOfARepeatedStartCoversEarlierCalls(t *testing.T) {
	a, _ := newTestAgent(t)
	ref := ledger.RunRef{Task: fleet.TaskID{Job: "job"}, Run: 1}
	s := newTestSession(t, 0)
	deadlines := make(chan time.Duration, 3)
	a.post(t.Context(), func() {
		a.lease.maxDeadline = 10 * time.Second
		deadlines <- a.lastDeadline(s, ref, 4*time.Second)
		a.unanswered[ref] = 6 * time.Second
		deadlines <- a.lastDeadline(s, ref, 4*time.Second)
		s.first, s.began = true, time.Now()
		deadlines <- a.lastDeadline(s, ref, 4*time.Second)
	})
	require.Equal(t, 4*time.Second, <-deadlines)
	require.Equal(t, 6*time.Second, <-deadlines)
	require.Equal(t, 10*time.Second, <-deadlines)
}
