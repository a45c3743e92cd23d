package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/upstream"
)

// post sends a request in process; aborted reports a connection closed without an
// answer.
func post(ctx context.Context, s *Server, req structs.Request) (status int, result api.Result, aborted bool) {
	body, _ := json.Marshal(req)
	r := httptest.NewRequest(http.MethodPost, api.PathExecute, bytes.NewReader(body)).WithContext(ctx)
	w := httptest.NewRecorder()
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	s.ServeHTTP(w, r)
	_ = json.Unmarshal(w.Body.Bytes(), &result)
	return w.Code, result, false
}

func request(id, runMs string) structs.Request {
	return structs.Request{ID: id, Customer: "c", Template: "clip", IdempotencyKey: "k", Parameters: map[string]string{"run_ms": runMs}}
}

// TestSlots guards against executions beyond the slots, and against a violation
// counted for a slot whose caller has just disconnected.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ID: "u", Slots: 2})
		ctx, cancel := context.WithCancel(t.Context())
		go post(ctx, s, request("a", "1000"))
		synctest.Wait()
		go post(t.Context(), s, request("b", "1000"))
		synctest.Wait()
		status, _, _ := post(t.Context(), s, request("over", "0"))
		require.Equal(t, http.StatusServiceUnavailable, status)
		time.AfterFunc(disconnectGrace/2, cancel)
		status, _, _ = post(t.Context(), s, request("next", "0"))
		require.Equal(t, http.StatusOK, status)
		time.Sleep(time.Second)
		r := s.Records()
		require.Equal(t, []int{1, 2, 3}, []int{r.SlotViolations, r.PeakSlots, r.ByKey["k"]})
		require.True(t, r.Executions[0].Disconnected)
		require.Equal(t, time.Second.Nanoseconds(), r.Executions[1].EndUnixNs-r.Executions[1].StartUnixNs)
	})
}

// TestFaults guards against faults without effect and executions that are not
// recorded.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ID: "u", RunMs: map[string]int64{"clip": 200}, StragglerShare: 1, StragglerFactor: 3})
		began := time.Now()
		require.NoError(t, s.SetFaults(Faults{SlowFactor: 2, LoseAnswers: 1}))
		_, _, aborted := post(t.Context(), s, request("lost", ""))
		require.True(t, aborted)
		require.Equal(t, 1200*time.Millisecond, time.Since(began))
		require.NoError(t, s.SetFaults(Faults{FailAll: true}))
		_, result, _ := post(t.Context(), s, request("failed", ""))
		require.True(t, result.Failed)
		r := s.Records()
		require.True(t, r.Executions[0].AnswerLost)
		require.True(t, r.Executions[1].Failed)
		require.Equal(t, 2, r.ByKey["k"])
	})
}

// TestEcho guards against a check that accepts a truncated answer or the answer to
// another request.
func TestEcho(t *testing.T) {
	s := New(Options{ID: "u"})
	req := request("a", "0")
	req.Parameters[ParameterBodyBytes] = "10"
	_, result, _ := post(t.Context(), s, req)
	p := map[string]string{"run_ms": "0"}
	require.NoError(t, CheckEcho(result.Body, "a", "clip", "c", p))
	require.Error(t, CheckEcho(result.Body, "b", "clip", "c", p))
	require.Error(t, CheckEcho(result.Body, "a", "clip", "d", p))
	require.Error(t, CheckEcho(result.Body, "a", "clip", "c", map[string]string{"run_ms": "1"}))
	require.Error(t, CheckEcho(result.Body[:len(result.Body)-1], "a", "clip", "c", p))
	require.Error(t, CheckEcho(bytes.Replace(result.Body, []byte("xx"), []byte("x"), 1), "a", "clip", "c", p))
}

// TestConnections guards against connections beyond the limit that are not
// counted as violations.
func TestConnections(t *testing.T) {
	s := New(Options{ID: "u", Connections: 1})
	server := httptest.NewUnstartedServer(s)
	s.Configure(server.Config)
	server.Start()
	defer server.Close()
	for i, want := range []error{nil, api.ErrUncertain} {
		c, err := api.NewHTTPClient(server.URL, api.HTTPOptions{Timeout: time.Minute})
		require.NoError(t, err)
		_, err = c.Do(t.Context(), request("a", "0"))
		require.ErrorIs(t, err, want, i)
	}
	require.Equal(t, 1, s.Records().ConnectionViolations)
	require.Len(t, s.Records().Executions, 1)
}
