package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/wire"
)

// Guards against an entry that is not ready, or works by an earlier configuration, until
// the next full read, because the one that it has read was dropped by a busy loop.
func TestConfigurationWaitsForABusyLoop(t *testing.T) {
	session, err := wire.Listen("127.0.0.1:0", nil)
	require.NoError(t, err)
	defer func() { _ = session.Close() }()
	const callTimeout = 20 * time.Millisecond
	e, err := New(Options{
		ID: "entry-0", Session: session, Advertise: session.Addr().String(), Store: kv.NewMemory(nil),
		Log: obs.Logger("entry"), Tracer: noop.NewTracerProvider().Tracer(""), StoreTimes: StoreTimes{CallTimeout: callTimeout},
	})
	require.NoError(t, err)
	e.ctx = t.Context()
	close(e.ready)
	for range cap(e.events) {
		e.events <- func(*control) {}
	}
	go func() { _, _ = e.listConfig(t.Context()) }()
	time.Sleep(5 * callTimeout)
	for range cap(e.events) {
		<-e.events
	}
	c := newControl(e)
	select {
	case event := <-e.events:
		event(c)
	case <-time.After(time.Second):
	}
	require.True(t, c.configLoaded)
}
