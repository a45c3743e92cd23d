package kv

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/httpjson"
)

// operations makes every call of a Store and returns the errors by name.
func operations(s Store) (reads, writes map[string]error) {
	ctx := context.Background()
	_, get := s.Get(ctx, "a")
	_, _, list := s.List(ctx, "a")
	_, _, watch := s.Watch(ctx, "a", 0)
	_, swap := s.CompareAndSwap(ctx, "a", 0, []byte("v"), 0)
	_, grant := s.GrantLease(ctx, time.Second)
	return map[string]error{"get": get, "list": list, "watch": watch},
		map[string]error{"swap": swap, "grant": grant, "delete": s.Delete(ctx, "a", 1),
			"keepalive": s.KeepAlive(ctx, 1), "revoke": s.Revoke(ctx, 1)}
}

// TestTransportFailures guards against a write that may have been applied being
// reported as not applied, after which two owners could act on it.
func TestTransportFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	answer := func(h http.HandlerFunc) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return server.URL
	}
	for name, c := range map[string]struct {
		url   string
		write error
	}{
		"refused":      {"http://" + closed.Addr().String(), ErrUnavailable},
		"silent":       {"http://" + silent.Addr().String(), ErrUncertain},
		"broken":       {answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), ErrUncertain},
		"stated":       {answer(func(w http.ResponseWriter, _ *http.Request) { httpjson.WriteError(w, 503, CodeUnavailable, "") }), ErrUnavailable},
		"without code": {answer(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) }), ErrUncertain},
		"wrong path":   {answer(http.NotFound), ErrUncertain},
	} {
		timeout := time.Minute
		if name == "silent" {
			timeout = 300 * time.Millisecond
		}
		client, err := NewClient(c.url, ClientOptions{Timeout: timeout, WatchWait: time.Millisecond})
		require.NoError(t, err)
		reads, writes := operations(client)
		for op, err := range reads {
			require.ErrorIs(t, err, ErrUnavailable, "%s: %s", name, op)
		}
		for op, err := range writes {
			require.ErrorIs(t, err, c.write, "%s: %s", name, op)
			require.Len(t, matchingErrors(err), 1, "%s: %s", name, op)
		}
	}
}

// matchingErrors returns the errors of this package that err matches.
func matchingErrors(err error) []error {
	var out []error
	for _, e := range []error{ErrConflict, ErrNotFound, ErrUnavailable, ErrUncertain, ErrTooLarge} {
		if errors.Is(err, e) {
			out = append(out, e)
		}
	}
	return out
}
