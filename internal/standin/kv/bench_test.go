package kv

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/httpjson"
	store "vanillalock.example/vanillalock/internal/kv"
)

// BenchmarkClient reports calls, dials and bytes on the wire per operation of the
// client. It omits the time per operation: what limits a deployment are the call
// rates of the service and the control traffic per node.
func BenchmarkClient(b *testing.B) {
	value := make([]byte, 1024)
	for name, op := range map[string]func(c *store.Client, i int) error{
		"get": func(c *store.Client, _ int) error { _, err := c.Get(ctx, "page/0"); return err },
		"swap-1KiB": func(c *store.Client, i int) error {
			_, err := c.CompareAndSwap(ctx, "new/"+strconv.Itoa(i), 0, value, 0)
			return err
		},
		"keepalive":  func(c *store.Client, _ int) error { return c.KeepAlive(ctx, 1) },
		"list-16KiB": func(c *store.Client, _ int) error { _, _, err := c.List(ctx, "page"); return err },
	} {
		b.Run(name, func(b *testing.B) { countTraffic(b, op) })
	}
}

func countTraffic(b *testing.B, op func(c *store.Client, i int) error) {
	s := New(Options{})
	server := httptest.NewServer(s)
	defer server.Close()
	c, err := store.NewClient(server.URL, store.ClientOptions{Timeout: time.Minute})
	if err != nil {
		b.Fatal(err)
	}
	for i := range 16 {
		if _, err := s.Store().CompareAndSwap(ctx, "page/"+strconv.Itoa(i), 0, make([]byte, 1024), 0); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := s.Store().GrantLease(ctx, time.Hour); err != nil {
		b.Fatal(err)
	}
	n := 0
	for b.Loop() {
		if err := op(c, n); err != nil {
			b.Fatal(err)
		}
		n++
	}
	stats := c.Stats()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(stats.Calls)/float64(n), "calls/op")
	b.ReportMetric(float64(stats.Dials), "dials")
	b.ReportMetric(float64(stats.BytesSent)/float64(n), "sent-B/op")
	b.ReportMetric(float64(stats.BytesReceived)/float64(n), "received-B/op")
}

// FuzzCalls guards against a body that makes the stand-in panic, send a response
// that is not JSON, or accept a malformed call or a value beyond the limit.
func FuzzCalls(f *testing.F) {
	paths := []string{store.PathGet, store.PathList, store.PathSwap, store.PathDelete, store.PathGrant, store.PathKeepAlive, store.PathRevoke}
	f.Add(uint8(2), []byte(`{"key":"a","value":"dg=="}`))
	f.Add(uint8(4), []byte(`{"ttl_ms":-9223372036854775808}`))
	f.Add(uint8(1), []byte(`{"prefix":"`))
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		w := httptest.NewRecorder()
		New(Options{}).ServeHTTP(w, httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body)))
		var call store.Call
		err := httpjson.Unmarshal(body, &call)
		if !json.Valid(w.Body.Bytes()) || (err != nil) != (w.Code == http.StatusBadRequest) {
			t.Fatalf("status %d, answer %q, decode error %v", w.Code, w.Body, err)
		}
	})
}
