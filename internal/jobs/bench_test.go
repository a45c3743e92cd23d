package jobs_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	benchShards   = 16
	benchRunning  = 15_100
	benchFinished = 1000 // per shard, still retained
)

// newFilledStore returns a store with the logs of 16 shards, which hold 15,100
// running tasks and 1000 finished jobs per shard.
func newFilledStore(tb testing.TB) *kv.Memory {
	now := time.UnixMilli(1_800_000_000_000)
	store := kv.NewMemory(func() time.Time { return now })
	for i := range uint32(benchShards) {
		l, _, err := shardlog.Open(context.Background(), store, i, 1, "e1")
		if err != nil {
			tb.Fatal(err)
		}
		s := jobs.NewShard(i, 1)
		commit := func() {
			b := s.Take(l.NeedsSnapshot)
			if err := l.Stage(shardlog.Batch{Records: b.Records, Snapshot: b.Snapshot}); err != nil {
				tb.Fatal(err)
			}
			if err := l.Flush(context.Background()); err != nil {
				tb.Fatal(err)
			}
			s.Release(b, now)
		}
		for k := range benchRunning/benchShards + 1 + benchFinished {
			id := structs.TaskID{Job: fmt.Sprintf("k%02d%020d", i, k)}
			spec := spec(id.Job, 1)
			spec.Parameters = map[string]string{"source": "bucket/object-0000001", "quality": "high"}
			if _, _, err := s.Submit(spec, now); err != nil {
				tb.Fatal(err)
			}
			commit()
			s.Apply(jobs.Event{Kind: jobs.Place, Task: id, Token: structs.Token{Generation: 1}, Worker: fmt.Sprintf("vm-%03d", k%650)}, now)
			commit()
			token := structs.Token{Generation: 1, Attempt: 1}
			s.Apply(jobs.Event{Kind: jobs.StartAcked, Task: id, Token: token}, now)
			s.Apply(jobs.Event{Kind: jobs.Progress, Task: id, Token: token, Checkpoint: "bucket/checkpoint-" + id.Job, ProgressMs: 60_000}, now)
			if k < benchFinished {
				s.Apply(jobs.Event{Kind: jobs.Ended, Task: id, Token: token, End: "done"}, now)
			}
			commit()
		}
	}
	return store
}

// BenchmarkTakeover measures the takeover of all 16 shards with 15,100 running
// tasks: reading, decoding and fencing the logs and listing the commands to repeat.
// Target: at most 2 s. It also reports the memory of the loaded state per task, for
// jobs with one task.
func BenchmarkTakeover(b *testing.B) {
	store := newFilledStore(b)
	var loaded []*jobs.Shard
	var m0, m1 runtime.MemStats
	generation := uint64(1)
	b.ResetTimer()
	for range b.N {
		generation++
		loaded = loaded[:0]
		for i := range uint32(benchShards) {
			_, records, err := shardlog.Open(context.Background(), store, i, generation, "e2")
			if err != nil {
				b.Fatal(err)
			}
			s, err := jobs.Load(i, generation, records)
			if err != nil {
				b.Fatal(err)
			}
			s.Resume(time.UnixMilli(1_800_000_000_000))
			s.Outstanding("")
			loaded = append(loaded, s)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&m1)
	running, tasks := 0, 0
	for _, s := range loaded {
		s.Active(func(structs.TaskID, *structs.Job, structs.Task) { running++ })
		for _, n := range s.Counts() {
			tasks += n
		}
	}
	clear(loaded)
	runtime.GC()
	runtime.ReadMemStats(&m0)
	b.ReportMetric(float64(running), "running")
	b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/float64(tasks), "bytes/task")
}
