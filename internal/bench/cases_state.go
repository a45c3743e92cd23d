package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/request/answers"
	"vanillalock.example/vanillalock/internal/request/dedup"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	"vanillalock.example/vanillalock/internal/structs"
)

// Sizes of the future scale that the cases reach.
const (
	scaleTasks   = 15_100
	scaleWorkers = 650
	scaleTeams   = 36
	regionShards = 16
)

// bodyBytes is the size of a retained response body.
const bodyBytes = 256

// heldMemory returns the heap and stack bytes that the result of build holds.
func heldMemory(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return after - before
}

// records varies the number of retained records, retained answers and running tasks
// and measures the memory that they hold in an agent and an entry.
func (b *bench) records(ctx context.Context) error {
	for _, n := range []int{2000, 4000, 8000} {
		for repeat := range repeats {
			if err := ctx.Err(); err != nil {
				return err
			}
			x := float64(n)
			b.add("memory.record", "B of an agent's outcome records", "records", x, repeat, heldMemory(func() any { return outcomeRecords(n) }))
			b.add("memory.answer", "B of an entry's retained answers", "answers", x, repeat, heldMemory(func() any { return retainedAnswers(n) }))
			b.add("memory.shard_task", "B of an entry's job state", "running tasks", x, repeat, heldMemory(func() any { return runningShards(n) }))
			b.add("memory.sched_task", "B of an entry's scheduler with 325 VMs", "running tasks", x, repeat, heldMemory(func() any { return b.loadedScheduler(scaleWorkers/2, n) }))
		}
	}
	return nil
}

func outcomeRecords(n int) *dedup.Record {
	r, now := dedup.New(dedup.DefaultConfig(), time.Unix(0, 0)), time.Unix(1000, 0)
	for i := range n {
		id := fmt.Sprintf("request-%020d", i)
		r.Arrive(now, id, now, 1)
		r.Start(id)
		r.Finish(now, structs.Answer{RequestID: id, Body: []byte(strings.Repeat("x", bodyBytes))})
	}
	return r
}

func retainedAnswers(n int) *answers.Table {
	t, now := answers.New(answers.DefaultConfig()), time.Unix(1000, 0)
	for i := range n {
		id := fmt.Sprintf("request-%020d", i)
		t.Open(now, id, 1)
		t.Complete(now, structs.Answer{RequestID: id, Body: []byte(strings.Repeat("x", bodyBytes))})
	}
	return t
}

func sampleJob(i int) structs.Job {
	return structs.Job{
		ID: fmt.Sprintf("job-%016d", i), Template: "clip-batch", TemplateVersion: 3, Customer: customerName, CustomerVersion: 2,
		Team: fmt.Sprintf("team-%02d", i%scaleTeams), Count: 1, QoS: structs.Batch, MaxAttempts: 5, ExpectedMillis: 800,
		Resources: structs.Resources{MilliCPU: 500, MemoryMB: 1000}, Parameters: map[string]string{"clip": "opening"},
	}
}

// runningShards returns the shards of one region with n jobs of one running task.
func runningShards(n int) []*jobs.Shard {
	now := time.Unix(1_800_000_000, 0)
	shards := make([]*jobs.Shard, regionShards)
	for i := range shards {
		shards[i] = jobs.NewShard(uint32(i), 1)
	}
	for i := range n {
		job := sampleJob(i)
		s := shards[jobs.ShardOf(job.ID, regionShards)]
		_, _, _ = s.Submit(job, now)
	}
	for _, s := range shards {
		s.Release(s.Take(nil), now)
		startAllTasks(s, now)
		s.Release(s.Take(nil), now)
	}
	return shards
}

// startAllTasks places the task of every job and acknowledges its start.
func startAllTasks(s *jobs.Shard, now time.Time) {
	for _, job := range s.List() {
		id := structs.TaskID{Job: job.ID}
		s.Apply(jobs.Event{Kind: jobs.Place, Task: id, Worker: "vm-001", Incarnation: 1, Epoch: 1,
			Token: structs.Token{Generation: s.Generation()}}, now)
		s.Apply(jobs.Event{Kind: jobs.StartAcked, Task: id, Worker: "vm-001", Incarnation: 1,
			Token: structs.Token{Generation: s.Generation(), Attempt: 1}}, now)
	}
}

// pairModel gives every pair of templates a small slowdown, so that the
// interference plugin has work to do.
type pairModel struct{}

func (pairModel) Pair(a, b string) float64 { return 0.001 * float64((len(a)+2*len(b))%5) }

func schedTask(id string, i int, now time.Time) scheduler.Task {
	qos := structs.Batch
	if i%15 < 4 {
		qos = structs.LatencyCritical
	}
	return scheduler.Task{
		Shape: scheduler.Shape{Template: fmt.Sprintf("template-%d", i%10), QoS: qos, Size: structs.Resources{MilliCPU: 500, MemoryMB: 1000}},
		ID:    structs.TaskID{Job: id}, Team: fmt.Sprintf("team-%02d", i%scaleTeams), Expected: time.Minute, Enqueued: now,
	}
}

// loadedScheduler returns a scheduler with VMs on which tasks run.
func (b *bench) loadedScheduler(vms, running int) *scheduler.Scheduler {
	set, _ := plugins.Default(pairModel{})
	s, now := scheduler.New(scheduler.Config{}, set, quota.New()), time.Unix(1_800_000_000, 0)
	for i := range vms {
		s.SetNode(structs.Node{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: domainOf(i), Rack: fmt.Sprintf("rack-%03d", i/vmsPerRack),
			Capacity: structs.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Accelerators: 2}})
	}
	rng := rand.New(rand.NewPCG(b.options.Seed, uint64(running)))
	for i := range running {
		s.Restore(schedTask(fmt.Sprintf("run-%06d", i), i, now), fmt.Sprintf("vm-%03d", rng.IntN(vms)), now)
	}
	s.SetInventoryComplete()
	return s
}

// acceptAll accepts every decision and counts the placements.
type acceptAll struct{ placed int }

func (a *acceptAll) Submit(d scheduler.Decision) error {
	if d.Kind == scheduler.Placed {
		a.placed++
	}
	return nil
}

// placement varies the VMs, with running tasks in proportion, and measures the
// processor time and allocations of a placement decision.
func (b *bench) placement(ctx context.Context) error {
	const decisions = 2000
	for _, vms := range []int{163, 325, 650} {
		for repeat := range repeats {
			if err := ctx.Err(); err != nil {
				return err
			}
			s, now := b.loadedScheduler(vms, scaleTasks*vms/scaleWorkers), time.Unix(1_800_000_000, 0)
			for i := range decisions {
				s.Add(schedTask(fmt.Sprintf("new-%06d", i), i, now), now)
			}
			taken := &acceptAll{}
			cpu, allocs := cpuSeconds(), mallocs()
			s.Run(now, decisions, taken)
			cpu, allocs = cpuSeconds()-cpu, mallocs()-allocs
			if taken.placed != decisions {
				return fmt.Errorf("%d of %d tasks placed on %d VMs", taken.placed, decisions, vms)
			}
			b.add("placement.cpu", "s of processor per decision", "VMs", float64(vms), repeat, cpu/decisions)
			b.add("placement.allocs", "objects per decision", "VMs", float64(vms), repeat, allocs/decisions)
		}
	}
	return nil
}

// mallocs returns the number of objects that this process has allocated.
func mallocs() float64 {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.Mallocs)
}

// open varies the tasks of a region and measures how long an entry takes to open all
// of its shards.
func (b *bench) open(ctx context.Context) error {
	for _, n := range []int{scaleTasks / 4, scaleTasks / 2, scaleTasks} {
		for repeat := range repeats {
			store := newCountingStore()
			if err := writeShards(ctx, store, runningShards(n)); err != nil {
				return err
			}
			before, cpu, began := store.snapshot(), cpuSeconds(), time.Now()
			for shard := range uint32(regionShards) {
				_, records, err := shardlog.Open(ctx, store, shard, 2, "second")
				if err != nil {
					return err
				}
				if _, err := jobs.Load(shard, 2, records); err != nil {
					return err
				}
			}
			took := time.Since(began).Seconds()
			d, x := store.snapshot().sub(before), float64(n)
			b.add("open.seconds", "s to open 16 shards one after another", "tasks of the region", x, repeat, took)
			b.add("open.cpu", "s of processor to open 16 shards", "tasks of the region", x, repeat, cpuSeconds()-cpu)
			b.add("open.bytes", "value bytes read", "tasks of the region", x, repeat, d.ReadBytes)
			b.add("open.calls", "store calls", "tasks of the region", x, repeat, d.Reads+d.Writes)
		}
	}
	return nil
}

// writeShards stores the state of shards as a first owner would.
func writeShards(ctx context.Context, store *countingStore, shards []*jobs.Shard) error {
	for _, s := range shards {
		l, _, err := shardlog.Open(ctx, store, s.ID(), 1, "first")
		if err != nil {
			return err
		}
		snapshot := s.Snapshot()
		if err := l.Stage(shardlog.Batch{Records: snapshot[:1], Snapshot: snapshot}); err != nil {
			return err
		}
		if err := l.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}
