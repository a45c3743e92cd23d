package worker

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/standin/control"
	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

var ctx = context.Background()

func spec(index int, attempt uint32, ms int64) api.Spec {
	return api.Spec{
		Task: structs.TaskID{Job: "j", Index: index}, Token: structs.Token{Generation: 1, Attempt: attempt},
		Template: "render", Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}, DurationMs: ms,
	}
}

// virtual runs f in virtual time with a worker of two cores, on which two tasks of
// the template render slow each other down by a factor of 1.5.
func virtual(t *testing.T, o Options, f func(t *testing.T, s *Server)) {
	synctest.Test(t, func(t *testing.T) {
		o.ID, o.Capacity = "w", structs.Resources{MilliCPU: 2000, MemoryMB: 4000}
		o.Slowdown = SlowdownTable{"render": {"render": 1.5}}
		s := New(o)
		defer s.Close()
		f(t, s)
	})
}

func states(t *testing.T, s *Server) map[int]api.State {
	statuses, err := s.List(ctx)
	require.NoError(t, err)
	out := map[int]api.State{}
	for _, st := range statuses {
		out[st.Spec.Task.Index] = st.State
	}
	return out
}

// TestProgress guards against progress that ignores other tasks on the VM,
// throttling or pauses.
func TestProgress(t *testing.T) {
	virtual(t, Options{}, func(t *testing.T, s *Server) {
		require.NoError(t, s.Run(ctx, spec(0, 1, 1000), time.Minute))
		require.NoError(t, s.Run(ctx, spec(1, 1, 3000), time.Minute))
		require.NoError(t, s.Throttle(ctx, spec(1, 1, 0).Task, spec(1, 1, 0).Token, 0.5))
		time.Sleep(1249 * time.Millisecond)
		require.Equal(t, map[int]api.State{0: api.Running, 1: api.Running}, states(t, s))
		time.Sleep(2 * time.Millisecond) // 1 s of work at a speed of 1/1.25, as the other task has half its share
		require.Equal(t, map[int]api.State{0: api.Done, 1: api.Running}, states(t, s))
		require.NoError(t, s.SetFaults(Faults{Paused: true}))
		time.Sleep(10 * time.Second)
		require.NoError(t, s.SetFaults(Faults{}))
		time.Sleep(5160 * time.Millisecond) // 2,583 ms of work are left, at a speed of 1/2
		require.Equal(t, api.Running, states(t, s)[1])
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, api.Done, states(t, s)[1])
		require.Equal(t, structs.Resources{MilliCPU: 2000, MemoryMB: 2000}, s.Records().PeakReserved)
	})
}

// TestLease guards against a task that runs beyond its lease, also while the
// worker is paused, and against a lapsed attempt that starts again.
func TestLease(t *testing.T) {
	for _, paused := range []bool{false, true} {
		virtual(t, Options{}, func(t *testing.T, s *Server) {
			begin := time.Now()
			require.NoError(t, s.Run(ctx, spec(0, 1, 0), time.Second))
			time.Sleep(900 * time.Millisecond)
			require.NoError(t, s.Renew(ctx, spec(0, 1, 0).Task, spec(0, 1, 0).Token, time.Second))
			require.NoError(t, s.SetFaults(Faults{Paused: paused}))
			time.Sleep(10 * time.Second)
			require.NoError(t, s.SetFaults(Faults{}))
			events := s.Records().Events
			require.Equal(t, EventLapse, events[len(events)-1].Kind)
			require.Equal(t, begin.Add(1900*time.Millisecond).UnixNano(), events[len(events)-1].AtUnixNs)
			require.ErrorIs(t, s.Run(ctx, spec(0, 1, 0), time.Second), api.ErrStaleToken)
			require.ErrorIs(t, s.Renew(ctx, spec(0, 1, 0).Task, spec(0, 1, 0).Token, time.Second), api.ErrNotRunning)
		})
	}
}

// TestTokens guards against a superseded or stopped attempt that runs again.
func TestTokens(t *testing.T) {
	virtual(t, Options{}, func(t *testing.T, s *Server) {
		one, two, three := spec(0, 1, 0), spec(0, 2, 0), spec(0, 3, 0)
		_, err := s.Stop(ctx, one.Task, one.Token)
		require.NoError(t, err, "a stop before the start")
		require.ErrorIs(t, s.Run(ctx, one, time.Minute), api.ErrStaleToken)
		require.NoError(t, s.Run(ctx, two, time.Minute))
		require.NoError(t, s.Run(ctx, two, time.Minute), "a repeated run")
		require.NoError(t, s.Run(ctx, three, time.Minute))
		require.ErrorIs(t, s.Renew(ctx, two.Task, two.Token, time.Minute), api.ErrStaleToken)
		_, err = s.Stop(ctx, two.Task, two.Token)
		require.ErrorIs(t, err, api.ErrStaleToken)
		status, err := s.Stop(ctx, three.Task, three.Token)
		require.NoError(t, err)
		require.Equal(t, api.Stopped, status.State)
		require.ErrorIs(t, s.Run(ctx, three, time.Minute), api.ErrStaleToken)
		var kinds []EventKind
		for _, e := range s.Records().Events {
			kinds = append(kinds, e.Kind)
		}
		require.Equal(t, []EventKind{EventStart, EventStop, EventStart, EventStop}, kinds)
	})
}

// TestCapacityAndFailAll guards against assignments beyond the capacity that are
// not recorded, and against tasks that keep running under Faults.FailAll.
func TestCapacityAndFailAll(t *testing.T) {
	virtual(t, Options{}, func(t *testing.T, s *Server) {
		require.NoError(t, s.Run(ctx, spec(0, 1, 0), time.Minute))
		require.NoError(t, s.Run(ctx, spec(1, 1, 0), time.Minute))
		require.ErrorIs(t, s.Run(ctx, spec(2, 1, 0), time.Minute), api.ErrCapacity)
		require.NoError(t, s.SetFaults(Faults{FailAll: true}))
		require.NoError(t, s.Run(ctx, spec(3, 1, 0), time.Minute))
		require.Equal(t, map[int]api.State{0: api.Failed, 1: api.Failed, 3: api.Failed}, states(t, s))
		require.Equal(t, 1, s.Records().OverCapacity)
	})
}

// TestCheckpointAndUsage guards against progress that is lost when an attempt
// resumes on another worker, and against measurements newer than the usage lag.
func TestCheckpointAndUsage(t *testing.T) {
	virtual(t, Options{UsageLag: time.Second}, func(t *testing.T, s *Server) {
		sp := spec(0, 1, 5000)
		require.NoError(t, s.Run(ctx, sp, time.Minute))
		time.Sleep(999 * time.Millisecond)
		usage, err := s.Usage(ctx)
		require.NoError(t, err)
		require.Empty(t, usage)
		time.Sleep(1001 * time.Millisecond)
		usage, err = s.Usage(ctx)
		require.NoError(t, err)
		require.Len(t, usage, 1)
		require.Equal(t, int64(1000*UseFactor("render")), usage[0].Used.MilliCPU)
		require.Equal(t, time.Second, time.Since(usage[0].At))
		status, err := s.Checkpoint(ctx, sp.Task, sp.Token)
		require.NoError(t, err)
		other := New(Options{ID: "v", Capacity: sp.Resources})
		defer other.Close()
		sp.Checkpoint, sp.Token.Attempt = status.Checkpoint, 2
		require.NoError(t, other.Run(ctx, sp, time.Minute))
		time.Sleep(3001 * time.Millisecond)
		require.Equal(t, api.Done, states(t, other)[0])
		require.Equal(t, status.Checkpoint, other.Records().Events[0].ResumedFrom)
	})
}

// TestOverHTTP guards against error codes, lost answers or expired calls that the
// client and the stand-in treat differently.
func TestOverHTTP(t *testing.T) {
	s := New(Options{ID: "w", Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}})
	defer s.Close()
	server := httptest.NewUnstartedServer(s)
	s.Configure(server.Config)
	server.Start()
	defer server.Close()
	c, err := api.NewHTTPClient(server.URL, api.HTTPOptions{Timeout: time.Minute})
	require.NoError(t, err)
	sp := spec(0, 2, 0)
	require.NoError(t, s.SetFaults(Faults{LoseAnswers: 1}))
	require.ErrorIs(t, c.Run(ctx, sp, time.Hour), api.ErrUnavailable)
	statuses, err := c.List(ctx)
	require.NoError(t, err)
	require.Equal(t, []api.Status{{Spec: sp, State: api.Running}}, []api.Status{{Spec: statuses[0].Spec, State: statuses[0].State}})
	require.ErrorIs(t, c.Run(ctx, spec(0, 1, 0), time.Hour), api.ErrStaleToken)
	require.ErrorIs(t, c.Run(ctx, spec(1, 1, 0), time.Hour), api.ErrCapacity)
	require.ErrorIs(t, c.Renew(ctx, spec(1, 1, 0).Task, sp.Token, time.Hour), api.ErrNotRunning)
	require.ErrorIs(t, c.Renew(ctx, sp.Task, sp.Token, -1), api.ErrUnavailable)
	require.NoError(t, c.Throttle(ctx, sp.Task, sp.Token, 0.5))
	checkpoint, err := c.Checkpoint(ctx, sp.Task, sp.Token)
	require.NoError(t, err)
	require.NotEmpty(t, checkpoint.Checkpoint)
	usage, err := c.Usage(ctx)
	require.NoError(t, err)
	require.Len(t, usage, 1)
	require.NoError(t, s.SetFaults(Faults{Silent: control.SilenceEstablished}))
	short, err := api.NewHTTPClient(server.URL, api.HTTPOptions{Timeout: time.Minute})
	require.NoError(t, err)
	stopped, err := short.Stop(ctx, sp.Task, sp.Token)
	require.NoError(t, err, "a new connection works")
	require.Equal(t, api.Stopped, stopped.State)
}

// TestLateCall guards against a call that extends the lease beyond the permit
// because it waited in a buffer.
func TestLateCall(t *testing.T) {
	now := time.Unix(100, 0)
	late := api.Call{LeaseNs: int64(10 * time.Second), SentUnixNs: now.Add(-4 * time.Second).UnixNano()}
	require.Equal(t, 6*time.Second, remaining(late, now))
	ahead := api.Call{LeaseNs: int64(time.Second), SentUnixNs: now.Add(time.Hour).UnixNano()}
	require.Equal(t, time.Second, remaining(ahead, now))
}
