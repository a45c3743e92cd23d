package entry

import (
	"context"
	"errors"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// openRetry and flushRetry are the times between attempts while the
	// key-value service is down.
	openRetry  = time.Second
	flushRetry = 500 * time.Millisecond
)

var (
	errNotOwner      = rescode.Errorf(rescode.NotOwner, "the shard is not owned or not open here")
	errStaleDecision = errors.New("the task has changed since the decision")
)

// plan returns the changes of ownership to write now.
func (j *jobControl) plan(now lease.Instant, table shard.Table) []shard.Change {
	j.handover.Seen(table)
	var direct []shard.Change
	planned := j.planner.Plan(now, table)
	for _, change := range planned {
		if change.Kind == shard.TakeOver {
			direct = append(direct, change)
		}
	}
	j.handover.Begin(planned)
	for id, s := range j.owned {
		if j.handover.Draining(id) && s.state != nil && !s.busy {
			if batch := s.state.Take(nil); batch.Empty() {
				j.handover.Flushed(id)
			} else {
				j.write(s, batch)
			}
		}
	}
	return append(direct, j.handover.Ready()...)
}

// onMembers keeps the member lists for the witness rule.
func (j *jobControl) onMembers(r region) {
	j.readAt = r.started
	j.members = j.members[:0]
	for _, l := range r.members.Lists {
		j.members = append(j.members, lease.MemberList{Epoch: l.Epoch, Members: l.Members})
	}
}

// onOwned opens shards that have become ours and drops those that have not
// stayed so.
func (j *jobControl) onOwned(r region, owned []lease.ShardGeneration) {
	j.table = r.table
	now := make(map[uint32]uint64, len(owned))
	for _, o := range owned {
		now[o.Shard] = o.Generation
	}
	for id, s := range j.owned {
		if now[id] != s.generation {
			j.drop(s)
		}
	}
	for id, generation := range now {
		if j.owned[id] == nil {
			s := &ownedShard{id: id, generation: generation, ownedAt: r.read}
			j.owned[id] = s
			j.c.entry.metrics.takeovers.Add(1)
			j.c.entry.wg.Go(func() { j.c.entry.openShard(s) })
		}
	}
}

// drop gives up a shard that another entry owns now.
func (j *jobControl) drop(s *ownedShard) {
	delete(j.owned, s.id)
	for key := range j.restarts {
		if key.shard == s.id {
			j.c.verifier.Release(key.vm, s.id)
			delete(j.restarts, key)
		}
	}
	for key := range j.ended {
		if key.shard == s.id {
			j.c.verifier.Release(key.vm, s.id)
			delete(j.ended, key)
		}
	}
	if s.state == nil {
		return
	}
	for _, job := range s.state.List() {
		j.accepted(job.ID, rescode.Errorf(rescode.StoreUncertain, "the shard of the job moved to another entry"))
		for _, t := range job.Tasks {
			id := structs.TaskID{Job: job.ID, Index: t.Index}
			j.sched.Withdraw(id)
			j.sched.Release(id)
			j.policy.finished(id)
		}
	}
}

// openShard fences and reads the log of a shard, however long the key-value
// service takes.
func (e *Entry) openShard(s *ownedShard) {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, 10*e.opts.StoreTimes.Call)
		log, records, err := shardlog.Open(ctx, e.opts.Store, s.id, s.generation, e.incarnation)
		cancel()
		if err == nil {
			state, loadErr := jobs.Load(s.id, s.generation, records)
			if loadErr == nil {
				e.do(e.ctx, func(c *control) { c.jobs.opened(s, log, state) })
				return
			}
			err = loadErr
		}
		if errors.Is(err, shardlog.ErrFenced) {
			return
		}
		e.opts.Log.Warn("Shard not opened.", "shard", s.id, "err", err)
		if !e.sleep(openRetry + e.spread(e.now()-s.ownedAt)) {
			return
		}
	}
}

// opened takes a shard into service. Running attempts are kept: their agents
// are asked, and only a proof that an attempt has ended restarts it.
func (j *jobControl) opened(s *ownedShard, log *shardlog.Log, state *jobs.Shard) {
	if j.owned[s.id] != s {
		return
	}
	s.log, s.state = log, state
	now := time.Now()
	state.Active(func(id structs.TaskID, spec *structs.Job, t structs.Task) {
		j.sched.Restore(j.taskOf(*spec, t, now), t.Worker, now)
	})
	j.perform(s, state.Resume(now))
	for vm, a := range j.c.agents {
		if a.session != nil {
			j.reconcile(s, vm)
		}
	}
	j.c.entry.opts.Log.Info("Shard opened.", "shard", s.id, "generation", s.generation)
}

// flush starts the write of a shard's changes if none is under way.
func (j *jobControl) flush(s *ownedShard, now time.Time) {
	if s.state == nil || s.busy || now.Sub(s.flushed) < j.c.entry.opts.StoreTimes.Commit || j.handover.Draining(s.id) {
		return
	}
	if batch := s.state.Take(s.log.NeedsSnapshot); !batch.Empty() {
		j.write(s, batch)
	}
}

// write makes a batch durable outside the control goroutine and then performs
// its actions.
func (j *jobControl) write(s *ownedShard, batch jobs.Batch) {
	s.busy, s.flushed = true, time.Now()
	e := j.c.entry
	e.wg.Go(func() {
		err := e.writeBatch(s, batch)
		e.do(e.ctx, func(c *control) { c.jobs.written(s, batch, err) })
	})
}

// writeBatch repeats the write until it is durable, the shard is lost or the
// entry ends.
func (e *Entry) writeBatch(s *ownedShard, batch jobs.Batch) error {
	before := s.log.Writes()
	defer func() { e.metrics.logWrites.Add(int64(s.log.Writes() - before)) }()
	if err := s.log.Stage(shardlog.Batch{Records: batch.Records, Snapshot: batch.Snapshot}); err != nil {
		return err
	}
	for {
		ctx, cancel := context.WithTimeout(e.ctx, 3*e.opts.StoreTimes.Call)
		err := s.log.Flush(ctx)
		cancel()
		if err == nil || errors.Is(err, shardlog.ErrFenced) || e.ctx.Err() != nil {
			return err
		}
		e.do(e.ctx, func(*control) { s.failing = true })
		e.sleep(flushRetry)
	}
}

func (j *jobControl) written(s *ownedShard, batch jobs.Batch, err error) {
	s.busy = false
	if j.owned[s.id] != s {
		return
	}
	if err != nil {
		j.c.entry.opts.Log.Warn("Shard lost.", "shard", s.id, "err", err)
		j.drop(s)
		return
	}
	s.failing = false
	j.perform(s, s.state.Release(batch, time.Now()))
}

func (j *jobControl) startLeaving() {
	j.leaving = true
	j.planner.Shutdown()
}

// idle reports whether every shard has been handed over. Without another live
// entry the shards stay, written but owned, for the next entry to take.
func (j *jobControl) idle() bool {
	if len(j.c.otherEntries()) > 0 {
		return len(j.owned) == 0
	}
	for _, s := range j.owned {
		if s.busy {
			return false
		}
	}
	return true
}
