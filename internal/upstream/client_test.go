package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/httpjson"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestErrors guards against reporting a request that reached the upstream as not
// sent: its retry would run it twice.
func TestErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	refused, err := NewHTTPClient("http://"+l.Addr().String(), HTTPOptions{})
	require.NoError(t, err)
	_, err = refused.Do(context.Background(), structs.Request{ID: "a"})
	require.ErrorIs(t, err, ErrNotSent)
	for name, handler := range map[string]http.HandlerFunc{
		"broken":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"overloaded": func(w http.ResponseWriter, _ *http.Request) { httpjson.WriteError(w, 503, "slots", "") },
	} {
		server := httptest.NewServer(handler)
		defer server.Close()
		client, err := NewHTTPClient(server.URL, HTTPOptions{Timeout: time.Minute})
		require.NoError(t, err)
		_, err = client.Do(context.Background(), structs.Request{ID: "a"})
		require.ErrorIs(t, err, ErrUncertain, name)
		require.NotErrorIs(t, err, ErrNotSent, name)
	}
}
