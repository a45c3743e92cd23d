package side

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
)

// Guards against reports and holds that grow denser the longer the leader takes to
// store ends: the executor answers each hold at once with the same lists until the
// ends are acknowledged. An overloaded leader would get most reports of all.
func TestUnacknowledgedEndIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, x := newTestAgent(t)
		lists := fleet.RunLists{
			Born: firstBorn, Clock: time.Second,
			Running: []fleet.Running{{Task: fleet.TaskID{Job: "going"}, Run: 1}},
			Ended:   []fleet.End{{Number: 6, Task: fleet.TaskID{Job: "ended"}, Run: 1, Reason: fleet.EndDone}},
		}
		a.post(context.Background(), func() { a.hold(0) })
		begin, holds, reports, withEnd := time.Now(), 0, 0, 0
		for time.Since(begin) < 2*time.Second {
			select {
			case c := <-x.calls:
				require.True(t, c.hold)
				holds++
				c.answer <- lists
			case frame := <-a.session.outbox:
				reports++
				require.Len(t, frame.GetNodeReport().GetRunning(), 1)
				withEnd += len(frame.GetNodeReport().GetEnded())
			case <-time.After(time.Second):
				t.Fatal("no hold for a second")
			}
		}
		require.Equal(t, 1, withEnd)
		// The leader answers a report with a lease, so they go on every 0.4 s.
		require.LessOrEqual(t, reports, int(2*time.Second/maxListsAge)+1)
		require.LessOrEqual(t, holds, 16)
		a.post(context.Background(), func() { a.session.cancel() })
		for c := range drained(x.calls) {
			close(c.answer)
		}
		time.Sleep(time.Second)
	})
}

// drained returns the calls that are waiting.
func drained(calls chan executorCall) func(func(executorCall) bool) {
	return func(yield func(executorCall) bool) {
		for {
			select {
			case c := <-calls:
				if !yield(c) {
					return
				}
			case <-time.After(500 * time.Millisecond):
				return
			}
		}
	}
}

// Guards against lists that are withheld although they are new, and against ends
// that are lost with a session or an instance of the executor.
func TestReportedLists(t *testing.T) {
	now := time.Now()
	running := func(runs ...int) (out []fleet.Running) {
		for _, n := range runs {
			out = append(out, fleet.Running{Task: fleet.TaskID{Job: "job", Index: n}, Run: 1})
		}
		return out
	}
	end := fleet.End{Number: 3, Task: fleet.TaskID{Job: "job", Index: 9}, Run: 1}
	var r reportedLists
	step := func(what string, lists fleet.RunLists, after time.Duration, ends int, want bool) {
		t.Helper()
		now = now.Add(after)
		ended, news := r.update(lists, now)
		require.Len(t, ended, ends, what)
		require.Equal(t, want, news, what)
		if news {
			r.at = now
		}
	}
	step("first lists", fleet.RunLists{Running: running(1), Ended: []fleet.End{end}}, 0, 1, true)
	step("the same", fleet.RunLists{Running: running(1), Ended: []fleet.End{end}}, time.Millisecond, 0, false)
	step("a run more", fleet.RunLists{Running: running(1, 2), Ended: []fleet.End{end}}, time.Millisecond, 0, true)
	step("another run instead", fleet.RunLists{Running: running(1, 3)}, time.Millisecond, 0, true)
	step("a run less", fleet.RunLists{Running: running(3)}, time.Millisecond, 0, true)
	step("unchanged for long", fleet.RunLists{Running: running(3)}, maxListsAge, 0, true)
	r = reportedLists{}
	step("another session", fleet.RunLists{Running: running(3), Ended: []fleet.End{end}}, time.Millisecond, 1, true)
}
