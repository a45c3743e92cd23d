package httpjson

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type message struct {
	Text string `json:"text"`
}

// refusedURL returns a loopback URL whose port refuses connections.
func refusedURL(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// TestSentIsReported guards against a failed call whose request may have
// reached the server being reported as not sent.
func TestSentIsReported(t *testing.T) {
	var calls atomic.Int64
	handlers := map[string]http.HandlerFunc{
		"silent": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		},
		"aborted": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"text":"x"`))
		},
		"oversized": func(w http.ResponseWriter, _ *http.Request) { Write(w, 200, message{string(make([]byte, 300))}) },
		"not JSON":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			calls.Store(0)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				handler(w, r)
			}))
			defer server.Close()
			timeout := time.Minute
			if name == "silent" {
				timeout = 500 * time.Millisecond
			}
			c, err := NewCaller(server.URL, Options{Timeout: timeout, MaxBody: 200})
			require.NoError(t, err)
			var out message
			var transport *TransportError
			require.ErrorAs(t, c.Call(context.Background(), "/x", message{"a"}, &out), &transport)
			require.True(t, transport.Sent)
			require.EqualValues(t, 1, calls.Load(), "a call is never sent twice")
		})
	}
}

// TestNotSent guards against calls that were never sent being reported as possibly
// sent.
func TestNotSent(t *testing.T) {
	busy := make(chan struct{})
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(busy)
		<-release
		Write(w, 200, message{})
	}))
	defer server.Close()
	pool, err := NewCaller(server.URL, Options{Timeout: time.Minute, MaxConnections: 1})
	require.NoError(t, err)
	first := make(chan error, 1)
	go func() { first <- pool.Call(context.Background(), "/x", message{}, &message{}) }()
	<-busy
	refused, err := NewCaller(refusedURL(t), Options{})
	require.NoError(t, err)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	short, cancelShort := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancelShort()
	for name, err := range map[string]error{
		"refused":           refused.Call(context.Background(), "/x", message{}, &message{}),
		"cancelled":         refused.Call(cancelled, "/x", message{}, &message{}),
		"no connection":     pool.Call(short, "/x", message{}, &message{}),
		"cannot be encoded": pool.Call(context.Background(), "/x", make(chan int), &message{}),
	} {
		var transport *TransportError
		require.ErrorAs(t, err, &transport, name)
		require.False(t, transport.Sent, name)
	}
	close(release)
	require.NoError(t, <-first)
}

// TestStatusIsNotFollowed guards against following a redirect, which would send the
// body again, and against error responses losing their code.
func TestStatusIsNotFollowed(t *testing.T) {
	mux := http.NewServeMux()
	var reached atomic.Bool
	mux.HandleFunc("/redirect", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/target", http.StatusTemporaryRedirect)
	})
	mux.HandleFunc("/target", func(http.ResponseWriter, *http.Request) { reached.Store(true) })
	mux.HandleFunc("/coded", func(w http.ResponseWriter, _ *http.Request) { WriteError(w, 409, "conflict", "version 3") })
	server := httptest.NewServer(mux)
	defer server.Close()
	c, err := NewCaller(server.URL, Options{Timeout: time.Minute})
	require.NoError(t, err)
	var status *StatusError
	require.ErrorAs(t, c.Call(context.Background(), "/redirect", message{}, &message{}), &status)
	require.Equal(t, 307, status.Status)
	require.False(t, reached.Load())
	require.ErrorAs(t, c.Call(context.Background(), "/coded", message{}, &message{}), &status)
	require.Equal(t, StatusError{409, "conflict", "version 3"}, *status)
	require.EqualValues(t, 2, c.Stats().Calls)
	require.EqualValues(t, 1, c.Stats().Dials)
}

// TestDecodeBounds guards against unbounded and ambiguous request bodies.
func TestDecodeBounds(t *testing.T) {
	decode := func(body string) error {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		return Decode(r, 20, &message{})
	}
	require.NoError(t, decode(`{"text":"a"}`))
	require.ErrorIs(t, decode(`{"text":"aaaaaaaaaaaaaaaaaaaaaaaaa"}`), ErrBodyTooLarge)
	require.Error(t, decode(`{"text":"a"}{}`))
	require.Error(t, decode(`{"other":1}`))
	_, err := NewCaller("not a url", Options{})
	require.Error(t, err)
}
