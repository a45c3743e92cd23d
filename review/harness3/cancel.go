package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// The disruption of the case cancel, and the bounds of the rule.
const (
	lostShare    = 0.35 // of the writes
	lostFor      = 4500 * time.Millisecond
	lostFrom     = time.Second // a write without an answer is done that much later at least
	lostUntil    = 6 * time.Second
	submitEvery  = 20 * time.Millisecond
	leaveShare   = 0.4                    // of the clients
	leaveAfter   = 900 * time.Millisecond // they wait no longer for the answer to a submission
	cancelBound  = 3 * time.Second        // cancel_ms
	stopBound    = 900 * time.Millisecond // stop_ms
	contactBound = 3 * time.Second        // contact_ms
)

// discard is the response to a call whose answer is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// loseWrites makes the store do a share of the writes late and without an answer.
func (f *fleetUnderTest) loseWrites() {
	handler := wire.StoreHandler(f.store, func(_ string, value []byte) []byte { return value })
	gate := func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodGet || rand.Float64() >= lostShare {
			return false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(body))
		after := lostFrom + rand.N(lostUntil-lostFrom)
		f.record.line("store: %s %s gets no answer and is done in %v", r.Method, r.URL.Path, after.Round(time.Millisecond))
		time.AfterFunc(after, func() { handler.ServeHTTP(discard{http.Header{}}, late) })
		<-r.Context().Done() // the connection returns nothing further
		panic(http.ErrAbortHandler)
	}
	f.gate.Store(&gate)
	f.record.line("store: writes are lost from here")
}

// cancel has clients hand in jobs. A share of them wait no longer than leaveAfter for the answer,
// leave and cancel what they asked for. It checks that no task of a job whose cancellation was
// acknowledged starts late or runs on.
func cancel(ctx context.Context, r *record, trouble bool) (string, error) {
	behavior := func(_ *vm, o fleet.StartOrder) (time.Duration, fleet.EndReason) {
		if o.Spec == "lasts" {
			return 0, fleet.EndDone
		}
		return 850 * time.Millisecond, fleet.EndDone
	}
	return start(ctx, r, 3, 6, func(int) string { return "a" }, behavior, func(f *fleetUnderTest, ev *events) (string, error) {
		var mu sync.Mutex
		acked := map[string]time.Time{} // cancellations
		var clients sync.WaitGroup
		client := func(i int) {
			id, spec, lasting := newID(), "short", i%4 > 0
			if lasting {
				spec = "lasts"
			}
			job := submission{Spec: spec, Steps: []step{{Count: 2, CPU: 200, MemMB: 200, EstimateMs: 850, Lasting: lasting, Image: "x"}}}
			if rand.Float64() >= leaveShare { // a patient client, which sends its request again
				f.submit(id, submission{Spec: "short", Steps: []step{{Count: 2, CPU: 200, MemMB: 200, EstimateMs: 850}}})
				return
			}
			asked, leave := context.WithTimeout(ctx, leaveAfter)
			defer leave()
			status, _ := f.callWith(asked, f.entries[rand.IntN(len(f.entries))], http.MethodPost, queuePrefix+id, job)
			r.line("POST %s (%s): %d", id, spec, status)
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				return // never runs
			}
			if status == http.StatusOK {
				if !lasting && rand.Float64() >= 0.1 {
					return
				}
				sleep(ctx, rand.N(500*time.Millisecond)) // an accepted job that is cancelled
			}
			for ctx.Err() == nil {
				status, _ := f.call(f.entries[rand.IntN(len(f.entries))], http.MethodDelete, queuePrefix+id, nil)
				r.line("DELETE %s: %d", id, status)
				if status/100 == 2 || status == http.StatusGone {
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
					return
				}
				sleep(ctx, 300*time.Millisecond)
			}
		}
		if trouble {
			f.loseWrites()
		}
		end := time.Now().Add(lostFor)
		for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
			clients.Go(func() { client(i) })
			sleep(ctx, submitEvery)
		}
		f.gate.Store(nil)
		r.line("store: writes are answered again")
		sleep(ctx, lostUntil+contactBound+cancelBound+stopBound+2*time.Second)
		clients.Wait()
		r.line("%d cancellations were acknowledged", len(acked))
		ev.mu.Lock()
		defer ev.mu.Unlock()
		late, on := 0, 0
		for _, s := range ev.starts {
			at, ok := acked[s.Task.Job]
			if !ok {
				continue
			}
			if after := ev.at[[2]any{s.Task, s.Run}].Sub(at); after > cancelBound {
				late++
				r.line("%s run %d started %v after the cancellation was acknowledged", s.Task, s.Run, after.Round(time.Millisecond))
			}
			if f.audit.Running(s.Task) {
				on++
				r.line("%s run %d is at work at the end, %v after the cancellation was acknowledged", s.Task, s.Run, time.Since(at).Round(time.Millisecond))
			}
		}
		if late+on == 0 {
			return "", nil
		}
		return fmt.Sprintf("of jobs whose cancellation was acknowledged, %d runs started more than %v later and %d tasks are at work at the end", late, cancelBound, on), nil
	})
}
