package httpjson

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/obs"
)

// Guards against a call without the trace context, after which the called service
// could not continue the trace.
func TestCallCarriesTraceContext(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	seen := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Traceparent")
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	caller, err := NewCaller(server.URL, Options{})
	require.NoError(t, err)
	require.NoError(t, caller.Call(obs.WithTraceparent(context.Background(), parent), "/", struct{}{}, &struct{}{}))
	require.Equal(t, parent, <-seen)
}
