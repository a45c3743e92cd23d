package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/wire"
)

// Guards against reporting a lost answer for a request that arrived after the
// entry had stopped: the request has not run, and only that outcome lets the
// caller try another entry.
func TestStoppedEntryRefusesAsNotRun(t *testing.T) {
	session, err := wire.Listen("127.0.0.1:0", nil)
	require.NoError(t, err)
	e, err := New(Options{
		ID: "entry-0", Session: session, Advertise: session.Addr().String(), Store: kv.NewMemory(nil),
		Log: obs.Logger("entry"), Tracer: noop.NewTracerProvider().Tracer(""), Drain: time.Second,
	})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- e.Run(t.Context()) }()
	<-e.ready
	e.Leave()
	require.NoError(t, <-ended)
	for range 100 { // no goroutine takes events any more, but the queue may still have space for one
		answer, err := e.SubmitRequest(context.Background(), api.RequestInput{ID: "r", Template: "slot-check", Customer: "stewards"})
		require.NoError(t, err)
		require.Equal(t, rescode.Leaving, answer.Code)
		require.Equal(t, rescode.NotRun, answer.Outcome)

		answer, err = e.SubmitRequest(context.Background(), api.RequestInput{ID: "r", Template: "slot-check", Customer: "stewards", Repeat: true})
		require.NoError(t, err)
		require.Equal(t, rescode.Unknown, answer.Outcome, "an earlier call may have run")
	}
}
