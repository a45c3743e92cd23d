package worker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// FuzzCalls guards against a body that makes the worker panic, send a response that
// is not JSON, or reserve more than its capacity.
func FuzzCalls(f *testing.F) {
	paths := []string{api.PathRun, api.PathRenew, api.PathCheckpoint, api.PathThrottle, api.PathStop, api.PathList, api.PathUsage}
	f.Add(uint8(0), []byte(`{"spec":{"task":{"job":"j"},"resources":{"milli_cpu":-1}},"lease_ns":9223372036854775807}`))
	f.Add(uint8(0), []byte(`{"spec":{"checkpoint":"checkpoint:9223372036854775807","duration_ms":9223372036854775807},"lease_ns":1}`))
	f.Add(uint8(0), []byte(`{"spec":{"task":{"job":"k"},"resources":{"milli_cpu":9223372036854775807}},"lease_ns":1}`))
	f.Add(uint8(3), []byte(`{"task":{"job":"j"},"share":1e-300}`))
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		s := New(Options{Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}})
		defer s.Close()
		running := spec(0, 1, 1000)
		if err := s.Run(ctx, running, time.Hour); err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body)))
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("status %d, answer %q", w.Code, w.Body)
		}
		r := s.Records()
		for _, e := range r.Events {
			if !e.Reserved.Fits(r.Capacity) || e.Reserved.Negative() || e.ProgressMs < 0 {
				t.Fatalf("%+v beyond capacity %+v", e, r.Capacity)
			}
		}
	})
}
