package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/api/apitest"
	"vanillalock.example/vanillalock/internal/api/client"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against input that is altered between client and service, and against
// outcomes other than done that reach the caller as errors without an answer.
func TestRequestThroughServer(t *testing.T) {
	fake := apitest.New()
	server := httptest.NewServer(api.NewHandler(fake, api.Limits{MaxBodyBytes: 1 << 20, MaxTimeout: time.Minute}, obs.DiscardLogger()))
	defer server.Close()
	refused := httptest.NewServer(nil)
	refused.Close()
	c, err := client.New([]string{refused.URL, server.URL}, nil)
	require.NoError(t, err)
	in := api.RequestInput{IdempotencyKey: "k", Template: "t", Customer: "c", Timeout: time.Second}
	answer, err := c.SubmitRequest(context.Background(), in)
	require.NoError(t, err)
	assert.JSONEq(t, `{"sum":3}`, string(answer.Body))
	assert.Equal(t, []api.RequestInput{in}, fake.Requests)

	fake.Answer = structs.Answer{RequestID: "r1", Outcome: rescode.Unknown, Code: rescode.AgentLost}
	answer, err = c.SubmitRequest(context.Background(), in)
	require.NoError(t, err)
	assert.Equal(t, "unknown", answer.Outcome)
	_, err = c.GetJob(context.Background(), "none")
	assert.Equal(t, rescode.NotFound, rescode.Of(err))
}

// Guards against a call that is sent to a second entry after the first may
// have executed it.
func TestNoSecondSend(t *testing.T) {
	var calls atomic.Int32
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	c, err := client.New([]string{broken.URL, broken.URL}, nil)
	require.NoError(t, err)
	_, err = c.SubmitJob(context.Background(), api.JobInput{Template: "t"})
	assert.Equal(t, rescode.Unknown, rescode.Of(err).Outcome())
	assert.EqualValues(t, 1, calls.Load())
}
