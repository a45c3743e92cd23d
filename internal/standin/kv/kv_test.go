package kv

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	store "vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/standin/control"
)

var ctx = context.Background()

func serve(t *testing.T) (*Server, *store.Client) {
	s := New(Options{})
	server := httptest.NewUnstartedServer(s)
	s.Configure(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return s, client(t, server.URL, time.Minute)
}

func client(t *testing.T, url string, timeout time.Duration) *store.Client {
	c, err := store.NewClient(url, store.ClientOptions{Timeout: timeout})
	require.NoError(t, err)
	return c
}

// TestSameAsMemory guards against results or errors of client and stand-in that
// differ from those of the in-memory store.
func TestSameAsMemory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New(Options{})
		server := httptest.NewServer(s)
		defer server.Close()
		remote := client(t, server.URL, time.Minute)
		reference := store.NewMemory(nil)
		for range rapid.IntRange(1, 12).Draw(r, "calls") {
			key := rapid.SampledFrom([]string{"a", "a/b", "c?&\"é"}).Draw(r, "key")
			version := rapid.Uint64Range(0, 3).Draw(r, "version")
			value := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(r, "value")
			lease := store.LeaseID(rapid.Uint64Range(0, 2).Draw(r, "lease"))
			op := rapid.IntRange(0, 6).Draw(r, "op")
			want, wantErr := apply(reference, op, key, version, value, lease)
			got, gotErr := apply(remote, op, key, version, value, lease)
			require.Equal(t, want, got)
			require.ErrorIs(t, gotErr, wantErr)
		}
	})
}

func apply(s store.Store, op int, key string, version uint64, value []byte, lease store.LeaseID) (any, error) {
	switch op {
	case 0:
		e, err := s.Get(ctx, key)
		return normalize(e), err
	case 1:
		e, err := s.CompareAndSwap(ctx, key, version, value, lease)
		return normalize(e), err
	case 2:
		return nil, s.Delete(ctx, key, version)
	case 3:
		id, err := s.GrantLease(ctx, time.Hour)
		return id, err
	case 4:
		return nil, s.Revoke(ctx, lease)
	case 5:
		return nil, s.KeepAlive(ctx, lease)
	}
	entries, revision, err := s.List(ctx, key)
	for i := range entries {
		entries[i] = normalize(entries[i])
	}
	return [2]any{len(entries), revision}, err
}

// normalize replaces an empty value by nil, as JSON does not distinguish them.
func normalize(e store.Entry) store.Entry {
	if len(e.Value) == 0 {
		e.Value = nil
	}
	return e
}

// TestLostAnswer guards against a write that is reported as not applied when it
// was applied and only its answer was lost.
func TestLostAnswer(t *testing.T) {
	s, c := serve(t)
	require.NoError(t, s.SetFaults(Faults{LoseAnswers: 1}))
	_, err := c.CompareAndSwap(ctx, "a", 0, []byte("v"), 0)
	require.ErrorIs(t, err, store.ErrUncertain)
	e, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "v", string(e.Value))
	require.EqualValues(t, 1, s.Records().AnswersLost)
}

// TestOutage guards against calls that succeed during an outage, watches that do
// not notice it, and delayed writes that are dropped when their caller times out.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, began, w := New(Options{}), time.Now(), httptest.NewRecorder()
		send := func(ctx context.Context, w *httptest.ResponseRecorder, path, body string) {
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)).WithContext(ctx))
		}
		go send(ctx, w, store.PathWatch, `{"prefix":"a","wait_ms":30000}`)
		synctest.Wait()
		require.NoError(t, s.SetFaults(Faults{Down: true}))
		synctest.Wait()
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		w = httptest.NewRecorder()
		send(ctx, w, store.PathSwap, `{"key":"a"}`)
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Zero(t, time.Since(began))
		require.NoError(t, s.SetFaults(Faults{DelayMs: 1000}))
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		send(short, httptest.NewRecorder(), store.PathSwap, `{"key":"a"}`)
		e, err := s.Store().Get(ctx, "a")
		require.NoError(t, err)
		require.EqualValues(t, 1, e.Revision)
		require.Equal(t, Counts{Writes: 2, Watches: 1}, s.Records().Calls)
	})
}

// TestSilentEstablished guards against a client that keeps using connections that
// receive no answer any more although new ones work.
func TestSilentEstablished(t *testing.T) {
	s, c := serve(t)
	watched := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, "a", 0)
		watched <- err
	}()
	require.Eventually(t, func() bool { return s.Records().Calls.Watches == 1 }, time.Minute, time.Millisecond)
	_, err := c.CompareAndSwap(ctx, "a", 0, []byte("v"), 0)
	require.NoError(t, err)
	require.NoError(t, <-watched, "two connections are pooled")
	require.NoError(t, s.SetFaults(Faults{Silent: control.SilenceEstablished}))
	short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	_, err = c.CompareAndSwap(short, "a", 1, []byte("w"), 0)
	require.ErrorIs(t, err, store.ErrUncertain)
	e, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "v", string(e.Value))
}

// TestLeaseExpiryWakesWatch guards against a watch that misses the deletion of a
// key whose lease has lapsed.
func TestLeaseExpiryWakesWatch(t *testing.T) {
	var passed atomic.Int64
	began := time.Now()
	s := New(Options{Now: func() time.Time { return began.Add(time.Duration(passed.Load())) }})
	server := httptest.NewServer(s)
	defer server.Close()
	c := client(t, server.URL, time.Minute)
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.Run(run)
	id, err := c.GrantLease(ctx, time.Second)
	require.NoError(t, err)
	e, err := c.CompareAndSwap(ctx, "a", 0, []byte("v"), id)
	require.NoError(t, err)
	passed.Store(int64(time.Second))
	events, _, err := c.Watch(ctx, "a", e.Revision)
	require.NoError(t, err)
	require.True(t, events[0].Deleted)
}
