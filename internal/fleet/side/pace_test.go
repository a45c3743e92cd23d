package side

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// pacedExecutor carries out pace calls. It does not answer the first ones, and carries out
// the very first one late.
type pacedExecutor struct {
	scriptedExecutor
	unanswered int           // calls without an answer
	late       time.Duration // until the first call is carried out
	mu         sync.Mutex
	calls      int
	pace       int
}

func (x *pacedExecutor) Pace(_ context.Context, _ fleet.Executor, _ fleet.InstanceCheck, _ uint64, _ fleet.TaskID, _, percent int) (fleet.OrderResult, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.calls++; x.calls == 1 && x.late > 0 {
		time.AfterFunc(x.late, func() { x.set(percent) })
	}
	if x.calls <= x.unanswered {
		return fleet.OrderUnknown, errors.New("no answer")
	}
	x.pace = percent
	return fleet.OrderDone, nil
}

func (x *pacedExecutor) set(percent int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pace = percent
}

// order has an agent on the executor set paces one after another, each after a delay and,
// if asked for, in a session of its own. It returns the pace in force long after.
func (x *pacedExecutor) order(t *testing.T, sessions bool, percents ...int) int {
	a, _ := newTestAgent(t)
	a.opts.Executors = x
	ctx, end := context.WithCancel(t.Context())
	for _, percent := range percents {
		if sessions {
			end()
			time.Sleep(300 * time.Millisecond)
			ctx, end = context.WithCancel(t.Context())
		}
		sessionCtx := ctx
		a.post(t.Context(), func() {
			a.session = &session{ctx: sessionCtx}
			a.setPace(a.session, ledger.PaceOrder{RunRef: ledger.RunRef{Task: fleet.TaskID{Job: "job"}, Run: 1}, Percent: percent})
		})
		time.Sleep(500 * time.Millisecond)
	}
	defer end()
	time.Sleep(time.Minute)
	left := make(chan int)
	a.post(t.Context(), func() { left <- len(a.paces) })
	require.Zero(t, <-left)
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.pace
}

// Guards against a filling task that works on at full pace because the order to slow it
// down got no answer a few times.
func TestPaceIsRepeatedUntilItIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &pacedExecutor{unanswered: 10, pace: 100}
		require.Equal(t, 20, x.order(t, false, 20))
	})
}

// Guards against a pace that is carried out late and stays in force in place of a newer one.
func TestLatePaceDoesNotReplaceANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &pacedExecutor{unanswered: 1, late: 6 * time.Second, pace: 100}
		require.Equal(t, 20, x.order(t, false, 100, 20))
		require.Less(t, x.calls, 20)
	})
}

// Guards against a pace of an earlier session that is carried out late and stays in force.
func TestLatePaceOfAnEarlierSessionDoesNotStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &pacedExecutor{unanswered: 1, late: 6 * time.Second, pace: 100}
		require.Equal(t, 20, x.order(t, true, 100, 20))
	})
}

// Guards against an executor that is called without a pause while it does not answer.
func TestPaceWithoutAnAnswerIsRepeatedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &pacedExecutor{unanswered: 40}
		x.order(t, false, 20)
		require.Less(t, x.calls, 60)
	})
}
