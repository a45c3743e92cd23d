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
	tickMs    = 250 // group commit interval
	runMs     = 600_000
	warmMs    = 400_000
	urgentSec = 60
	batchSec  = 270
	epochMs   = 1_800_000_000_000
)

// due is an event of a fake worker at a time.
type due struct {
	shard uint32
	ev    jobs.Event
}

// scale runs the future scale: 650 VMs, 4,100 services, 48 starts/s.
type scale struct {
	err     error // the first one
	s       *scheduler.Scheduler
	shards  []*jobs.Shard
	logs    []*shardlog.Log
	ledgers map[string]*enforce.Ledger
	budget  *eviction.Budget
	due     [][]due // by tick
	tick    int
	jobs    int
	lives   int
	within  [2]int // urgent starts within 9 s, urgent tasks submitted
	asked   map[structs.TaskID]bool
}

func newScale(store kv.Store) *scale {
	pl, _ := plugins.Default(interference.NewModel())
	c := &scale{s: scheduler.New(scheduler.Config{}, pl, quota.New()), ledgers: map[string]*enforce.Ledger{},
		budget: eviction.NewBudget(eviction.Limits{}), due: make([][]due, runMs/tickMs+100_000), asked: map[structs.TaskID]bool{}}
	for i := range 650 {
		n := structs.Node{ID: fmt.Sprintf("vm%03d", i), Rack: fmt.Sprint(i / 3), FailureDomain: fmt.Sprint(i % 4), Capacity: size(16000, 64000)}
		c.s.SetNode(n)
		c.ledgers[n.ID] = enforce.New(n.Capacity)
	}
	c.s.Settle()
	for i := range uint32(shards) {
		l, _, err := shardlog.Open(context.Background(), store, i, 1, "e1")
		c.check(err)
		c.shards, c.logs = append(c.shards, jobs.NewShard(i, 1)), append(c.logs, l)
	}
	return c
}

func (c *scale) now() time.Time { return time.UnixMilli(epochMs + int64(c.tick*tickMs)) }

func (c *scale) submit(template string, q structs.QoS, size structs.Resources, seconds int, long bool) {
	c.jobs++
	id := fmt.Sprintf("j%07d", c.jobs)
	_, _, err := c.shards[jobs.ShardOf(id, shards)].Submit(structs.Job{ID: id, Template: template, QoS: q, Resources: size, Count: 1, MaxAttempts: 3,
		Customer: "c", Team: fmt.Sprint("team", c.jobs%36), ExpectedMillis: int64(seconds) * 1000, LongRunning: long}, c.now())
	c.check(err)
	if template == "urgent" && c.counted(c.now().UnixMilli()) {
		c.within[1]++
	}
}

// counted reports whether the start of a task submitted at ms is measured. Tasks of
// the last seconds are left out, so that a task that never starts counts.
func (c *scale) counted(ms int64) bool {
	ms -= epochMs
	return ms >= warmMs && ms < runMs-10_000
}

// Submit implements scheduler.Planner.
func (c *scale) Submit(d scheduler.Decision) error {
	sh := c.shards[jobs.ShardOf(d.Task.ID.Job, shards)]
	if !sh.Apply(jobs.Event{Kind: jobs.Place, Task: d.Task.ID, Token: structs.Token{Generation: 1, Attempt: d.Task.Attempt}, Worker: d.Node.ID}, c.now()) {
		return fmt.Errorf("task %v is not queued", d.Task.ID)
	}
	return nil
}

func (c *scale) at(ms int, shard uint32, ev jobs.Event) {
	k := c.tick + max(1, ms/tickMs)
	if k < len(c.due) {
		c.due[k] = append(c.due[k], due{shard, ev})
	}
}

func (c *scale) perform(sh *jobs.Shard, a jobs.Action) {
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
				c.at(ms, sh.ID(), jobs.Event{Kind: jobs.Progress, Task: a.Task, Token: a.Token, Worker: a.Worker, ProgressMs: a.ProgressMs + int64(ms), Checkpoint: fmt.Sprint("ckpt/", a.Task.Job, "/", ms)})
			}
			c.at(int(j.ExpectedMillis-a.ProgressMs), sh.ID(), jobs.Event{Kind: jobs.Ended, Task: a.Task, Token: a.Token, Worker: a.Worker, End: worker.Done})
		}
		c.at(50, sh.ID(), ev)
		if j.Template == "urgent" && c.counted(j.SubmittedUnixMs) && a.Token.Attempt == 1 && c.now().UnixMilli()+50-j.SubmittedUnixMs <= 9000 {
			c.within[0]++
		}
	case jobs.CheckpointStop:
		ev.Kind, ev.Checkpoint, ev.ProgressMs = jobs.CheckpointAcked, "ckpt/"+a.Task.Job, j.Tasks[0].ProgressMs+1
		c.at(500, sh.ID(), ev)
	case jobs.Freed:
		c.s.Release(a.Task)
	case jobs.Finished:
		if c.tick*tickMs > warmMs {
			c.lives++
		}
	}
}

func (c *scale) makeRoom(d scheduler.Decision) {
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
	if c.asked[d.Task.ID] || len(ids) == 0 || !c.budget.Take(ids, c.now()) {
		return
	}
	c.asked[d.Task.ID] = true
	for _, id := range ids {
		sh := c.shards[jobs.ShardOf(id.Job, shards)]
		_, token, _ := sh.Attempt(id)
		sh.Apply(jobs.Event{Kind: jobs.EvictRequest, Task: id, Token: token, Reason: "urgent"}, c.now())
	}
}

// advance runs one group commit interval.
func (c *scale) advance() {
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
			if d.Kind == scheduler.MakeRoom && d.Task.QoS == structs.LatencyCritical {
				c.makeRoom(d)
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
	Running         int     // attempts at the end
	StartsPerSecond float64 // finished tasks per second, equal to the starts
	WritesPerSecond float64 // KV writes
	WritesPerLife   float64 // KV writes per finished task
	UrgentStarts    int
	StartsIn9s      float64 // share of them within 9 s
	OverCapacity    int     // moments in which a VM had reserved more than it has
}

// Scale runs the future scale for 10 virtual minutes: 650 VMs, 4,100 services and
// 48 starts/s. The last 200 s are measured.
func Scale() (ScaleResult, error) {
	store := kv.NewMemory(func() time.Time { return time.Unix(0, 0) })
	c, rng := newScale(store), rand.New(rand.NewPCG(1, 9))
	for range 4100 {
		c.submit("service", structs.LatencyCritical, size(1000, 2000), 0, true)
	}
	var before uint64
	var out ScaleResult
	for c.tick < runMs/tickMs && c.err == nil {
		if c.tick == warmMs/tickMs {
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
	writes, secs := float64(store.Calls().Writes-before), float64(runMs-warmMs)/1000
	out.StartsPerSecond, out.WritesPerSecond, out.WritesPerLife = float64(c.lives)/secs, writes/secs, writes/float64(c.lives)
	out.UrgentStarts, out.StartsIn9s = c.within[1], float64(c.within[0])/float64(c.within[1])
	return out, c.err
}

func (c *scale) check(err error) {
	if c.err == nil {
		c.err = err
	}
}
