package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/internal/agent/enforce"
	"vanillalock.example/vanillalock/internal/eviction"
	"vanillalock.example/vanillalock/internal/interference"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/worker"
)

const (
	shards    = 16
	tickMs    = 250 // log flush interval
	runMs     = 600_000
	warmupMs  = 400_000           // start of the measured part
	urgentSec = 60                // run time of an urgent task
	batchSec  = 270               // run time of a batch task
	epochMs   = 1_800_000_000_000 // Unix time at which the run starts
)

// dueEvent is a scheduled event of a fake worker.
type dueEvent struct {
	shard uint32
	ev    jobs.Event
}

// scaleRun is a run at the largest planned scale: 650 VMs, 4,100 services, 48 starts/s.
type scaleRun struct {
	err          error // first error, ends the run
	s            *scheduler.Scheduler
	shards       []*jobs.Shard
	logs         []*shardlog.Log
	ledgers      map[string]*enforce.Ledger
	budget       *eviction.Budget
	due          [][]dueEvent // by tick
	tick         int
	jobs         int                     // submitted so far
	finished     int                     // tasks finished in the measured part
	urgentStarts [2]int                  // measured urgent tasks: started within 9 s, submitted
	evictedFor   map[structs.TaskID]bool // tasks for which others were evicted
}

func newScaleRun(store kv.Store) *scaleRun {
	pl, _ := plugins.Default(interference.NewModel())
	c := &scaleRun{s: scheduler.New(scheduler.Config{}, pl, quota.New()), ledgers: map[string]*enforce.Ledger{},
		budget: eviction.NewBudget(eviction.Limits{}), due: make([][]dueEvent, runMs/tickMs+100_000), evictedFor: map[structs.TaskID]bool{}}
	for i := range 650 {
		n := structs.Node{ID: fmt.Sprintf("vm%03d", i), Rack: fmt.Sprint(i / 3), FailureDomain: fmt.Sprint(i % 4), Capacity: size(16000, 64000)}
		c.s.SetNode(n)
		c.ledgers[n.ID] = enforce.New(n.Capacity)
	}
	c.s.SetInventoryComplete()
	for i := range uint32(shards) {
		l, _, err := shardlog.Open(context.Background(), store, i, 1, "e1")
		c.check(err)
		c.shards, c.logs = append(c.shards, jobs.NewShard(i, 1)), append(c.logs, l)
	}
	return c
}

func (c *scaleRun) now() time.Time { return time.UnixMilli(epochMs + int64(c.tick*tickMs)) }

func (c *scaleRun) submit(template string, q structs.QoS, size structs.Resources, seconds int, long bool) {
	c.jobs++
	id := fmt.Sprintf("j%07d", c.jobs)
	_, _, err := c.shards[jobs.ShardOf(id, shards)].Submit(structs.Job{ID: id, Template: template, QoS: q, Resources: size, Count: 1, MaxAttempts: 3,
		Customer: "c", Team: fmt.Sprint("team", c.jobs%36), ExpectedMillis: int64(seconds) * 1000, LongRunning: long}, c.now())
	c.check(err)
	if template == "urgent" && c.counted(c.now().UnixMilli()) {
		c.urgentStarts[1]++
	}
}

// counted reports whether the start of a task submitted at ms is measured. Tasks of the
// last 10 s are left out, so that each counted task that has not started by the end of
// the run has missed the 9 s.
func (c *scaleRun) counted(ms int64) bool {
	ms -= epochMs
	return ms >= warmupMs && ms < runMs-10_000
}

// Submit implements scheduler.Planner.
func (c *scaleRun) Submit(d scheduler.Decision) error {
	sh := c.shards[jobs.ShardOf(d.Task.ID.Job, shards)]
	if !sh.Apply(jobs.Event{Kind: jobs.Place, Task: d.Task.ID, Token: structs.Token{Generation: 1, Attempt: d.Task.Attempt}, Worker: d.Node.ID}, c.now()) {
		return fmt.Errorf("task %v is not queued", d.Task.ID)
	}
	return nil
}

// schedule schedules an event in ms milliseconds, but not before the next tick.
func (c *scaleRun) schedule(ms int, shard uint32, ev jobs.Event) {
	k := c.tick + max(1, ms/tickMs)
	if k < len(c.due) {
		c.due[k] = append(c.due[k], dueEvent{shard, ev})
	}
}

// perform carries out an action of a shard as the entry and a fake worker would.
func (c *scaleRun) perform(sh *jobs.Shard, a jobs.Action) {
	j, err := sh.Get(a.Task.Job)
	c.check(err)
	ev := jobs.Event{Task: a.Task, Token: a.Token, Worker: a.Worker}
	switch a.Kind {
	case jobs.Queued:
		c.s.Add(scheduler.Task{Shape: scheduler.Shape{Template: j.Template, QoS: j.QoS, Size: j.Resources}, ID: a.Task, Attempt: a.Token.Attempt, Team: j.Team,
			Expected: time.Duration(j.ExpectedMillis) * time.Millisecond, LongRunning: j.LongRunning}, c.now())
	case jobs.Start:
		ev.Kind = jobs.StartAcked
		if _, err := c.ledgers[a.Worker].Reserve(a.Task, a.Token, j.Resources, nil, c.now()); err != nil {
			ev.Kind = jobs.StartRefused
		} else if !j.LongRunning {
			for ms := 60_000; ms < int(j.ExpectedMillis-a.ProgressMs); ms += 60_000 {
				c.schedule(ms, sh.ID(), jobs.Event{Kind: jobs.Progress, Task: a.Task, Token: a.Token, Worker: a.Worker, ProgressMs: a.ProgressMs + int64(ms), Checkpoint: fmt.Sprint("ckpt/", a.Task.Job, "/", ms)})
			}
			c.schedule(int(j.ExpectedMillis-a.ProgressMs), sh.ID(), jobs.Event{Kind: jobs.Ended, Task: a.Task, Token: a.Token, Worker: a.Worker, End: worker.Done})
		}
		c.schedule(50, sh.ID(), ev)
		if j.Template == "urgent" && c.counted(j.SubmittedUnixMs) && a.Token.Attempt == 1 && c.now().UnixMilli()+50-j.SubmittedUnixMs <= 9000 {
			c.urgentStarts[0]++
		}
	case jobs.CheckpointStop:
		ev.Kind, ev.Checkpoint, ev.ProgressMs = jobs.CheckpointAcked, "ckpt/"+a.Task.Job, j.Tasks[0].ProgressMs+1
		c.schedule(500, sh.ID(), ev)
	case jobs.Freed:
		c.s.Release(a.Task)
	case jobs.Finished:
		if c.tick*tickMs > warmupMs {
			c.finished++
		}
	}
}

// evictFor evicts batch tasks for a waiting urgent task, once.
func (c *scaleRun) evictFor(d scheduler.Decision) {
	var candidates []eviction.Candidate
	for _, id := range onNode(d.Node) {
		if t := d.Node.Tasks[id]; t.QoS == structs.Batch && c.budget.Allowed(id, c.now()) {
			candidates = append(candidates, eviction.Candidate{ID: id, QoS: t.QoS, Size: t.Size, CanSave: true})
		}
	}
	victims := eviction.Select(candidates, d.Short)
	var ids []structs.TaskID
	for _, v := range victims {
		ids = append(ids, v.ID)
	}
	if c.evictedFor[d.Task.ID] || len(ids) == 0 || !c.budget.Take(ids, c.now()) {
		return
	}
	c.evictedFor[d.Task.ID] = true
	for _, id := range ids {
		sh := c.shards[jobs.ShardOf(id.Job, shards)]
		_, token, _ := sh.Attempt(id)
		sh.Apply(jobs.Event{Kind: jobs.EvictRequest, Task: id, Token: token, Reason: "urgent"}, c.now())
	}
}

// advance simulates one tick of tickMs, which ends with a write of each shard's log.
func (c *scaleRun) advance() {
	for _, d := range c.due[c.tick] {
		if d.ev.Kind != jobs.Progress && d.ev.Kind != jobs.StartAcked {
			c.ledgers[d.ev.Worker].Release(d.ev.Task, d.ev.Token, c.now())
		}
		c.shards[d.shard].Apply(d.ev, c.now())
	}
	c.due[c.tick] = nil
	c.s.Run(c.now(), 2000, c)
	if c.tick%4 == 0 {
		for _, d := range c.s.Tick(c.now()) {
			if d.Kind == scheduler.EvictionNeeded && d.Task.QoS == structs.LatencyCritical {
				c.evictFor(d)
			}
		}
	}
	for i, sh := range c.shards {
		b := sh.Take(c.logs[i].NeedsSnapshot)
		c.check(c.logs[i].Stage(shardlog.Batch{Records: b.Records, Snapshot: b.Snapshot}))
		c.check(c.logs[i].Flush(context.Background()))
		for _, a := range sh.Release(b, c.now()) {
			c.perform(sh, a)
		}
		sh.Expire(c.now())
	}
	c.tick++
}

// ScaleResult is the outcome of Scale.
type ScaleResult struct {
	Running         int     // active attempts at the end
	StartsPerSecond float64 // finished tasks per second, equal to starts in a steady state
	WritesPerSecond float64 // KV writes
	WritesPerLife   float64 // KV writes per finished task
	UrgentStarts    int     // measured urgent tasks
	StartsIn9s      float64 // share of them that started within 9 s
	OverCapacity    int     // pairs of tick and VM with reservations above capacity
}

// Scale simulates 10 minutes at the largest planned scale: 650 VMs, 4,100 services and
// 48 starts/s. The last 200 s are measured.
func Scale() (ScaleResult, error) {
	store := kv.NewMemory(func() time.Time { return time.Unix(0, 0) })
	c, rng := newScaleRun(store), rand.New(rand.NewPCG(1, 9))
	for range 4100 {
		c.submit("service", structs.LatencyCritical, size(1000, 2000), 0, true)
	}
	var before uint64
	var out ScaleResult
	for c.tick < runMs/tickMs && c.err == nil {
		if c.tick == warmupMs/tickMs {
			before = store.Calls().Writes
		}
		for range 48 * tickMs / 1000 {
			if rng.IntN(6) == 0 {
				c.submit("urgent", structs.LatencyCritical, size(1000, 2000), urgentSec, false)
			} else {
				c.submit(fmt.Sprint("batch", rng.IntN(20)), structs.Batch, size(int64(400+10*rng.IntN(25)), 1500), batchSec, false)
			}
		}
		c.advance()
		for _, l := range c.ledgers {
			if !l.Used().Fits(l.Capacity()) {
				out.OverCapacity++
			}
		}
	}
	for _, sh := range c.shards {
		sh.Active(func(structs.TaskID, *structs.Job, structs.Task) { out.Running++ })
	}
	writes, secs := float64(store.Calls().Writes-before), float64(runMs-warmupMs)/1000
	out.StartsPerSecond, out.WritesPerSecond, out.WritesPerLife = float64(c.finished)/secs, writes/secs, writes/float64(c.finished)
	out.UrgentStarts, out.StartsIn9s = c.urgentStarts[1], float64(c.urgentStarts[0])/float64(c.urgentStarts[1])
	return out, c.err
}

// check keeps the first error.
func (c *scaleRun) check(err error) {
	if c.err == nil {
		c.err = err
	}
}
