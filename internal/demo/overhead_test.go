package demo

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/rescode"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/upstream"
)

// BenchmarkOverhead compares a request through entry and agent with a direct
// call to the same stand-in upstream, alternating in one run. It reports the
// p50 and p99 of both and their differences in microseconds.
func BenchmarkOverhead(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	s := benchSystem(b, ctx)
	client, err := upstream.NewHTTPClient(s.upstreamURLs[0], upstream.HTTPOptions{})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	var throughTimes, directTimes []time.Duration
	for i := range b.N {
		started := time.Now()
		_, err := client.Do(ctx, structs.Request{ID: fmt.Sprintf("d%d", i), Template: "slot-check", Customer: "hue-temple-desk", Idempotent: true})
		if err != nil {
			b.Fatal(err)
		}
		directTimes = append(directTimes, time.Since(started))
		started = time.Now()
		answer, err := s.Entries[0].Entry.SubmitRequest(ctx, api.RequestInput{Template: "slot-check", Customer: "hue-temple-desk"})
		if err != nil || answer.Code != rescode.OK {
			b.Fatal(answer, err)
		}
		throughTimes = append(throughTimes, time.Since(started))
	}
	report(b, directTimes, "direct")
	report(b, throughTimes, "through")
	b.ReportMetric(micros(quantile(throughTimes, 0.5)-quantile(directTimes, 0.5)), "added-p50-us")
	b.ReportMetric(micros(quantile(throughTimes, 0.99)-quantile(directTimes, 0.99)), "added-p99-us")
}

// BenchmarkThroughput sends requests through one entry from many callers.
func BenchmarkThroughput(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	s := benchSystem(b, ctx)
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			answer, err := s.Entries[0].Entry.SubmitRequest(ctx, api.RequestInput{Template: "slot-check", Customer: "hue-temple-desk"})
			if err != nil || answer.Code.Outcome() != rescode.Done {
				b.Error(answer, err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// benchSystem starts a system with one entry and without slow upstreams.
func benchSystem(b *testing.B, ctx context.Context) *System {
	b.Helper()
	d, err := Find(LienHoa)
	if err != nil {
		b.Fatal(err)
	}
	d.RunMs = map[string]int64{"slot-check": 1}
	s, err := Start(ctx, d, SystemOptions{Entries: 1, Upstream: func(_ int, o *standinupstream.Options) { o.StragglerShare = 0 }})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Kill)
	if err := s.Configure(ctx); err != nil {
		b.Fatal(err)
	}
	if err := s.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	return s
}

// report adds the p50 and p99 of samples to the results of the benchmark.
func report(b *testing.B, samples []time.Duration, name string) {
	b.ReportMetric(micros(quantile(samples, 0.5)), name+"-p50-us")
	b.ReportMetric(micros(quantile(samples, 0.99)), name+"-p99-us")
}

func quantile(samples []time.Duration, q float64) time.Duration {
	sorted := append([]time.Duration(nil), samples...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

func micros(d time.Duration) float64 { return float64(d.Microseconds()) }
