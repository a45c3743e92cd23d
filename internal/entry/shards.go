package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// openRetryInterval and flushRetryInterval are the delays between attempts
	// to open and to write a shard's log while the key-value service is
	// unavailable.
	openRetryInterval  = time.Second
	flushRetryInterval = 500 * time.Millisecond
)

var (
	errNotOwner      = rescode.Errorf(rescode.NotOwner, "the shard is not owned or not open here")
	errNotNow        = fmt.Errorf("%w: %w", scheduler.ErrNotNow, errNotOwner)
	errStaleDecision = errors.New("the task has changed since the decision")
)

// planOwnership returns the ownership changes to write now. Takeovers are
// written at once. A shard that this entry gives up first drains: its changes
// are flushed to the log before its new owner is written.
func (j *jobControl) planOwnership(now lease.Instant, table shard.Table) []shard.Change {
	j.handover.Reconcile(table)
	var takeOvers []shard.Change
	planned := j.planner.Plan(now, table)
	for _, change := range planned {
		if change.Kind == shard.TakeOver {
			takeOvers = append(takeOvers, change)
		}
	}
	j.handover.Begin(planned)
	for id, s := range j.owned {
		if j.handover.Draining(id) && s.state != nil && !s.writing {
			if batch := s.state.Take(nil); batch.Empty() {
				j.handover.Flushed(id)
			} else {
				j.startWrite(s, batch)
			}
		}
	}
	return append(takeOvers, j.handover.Ready()...)
}

// updateMemberLists keeps the member lists, which determine the entries whose
// statements a pending restart needs.
func (j *jobControl) updateMemberLists(r regionSnapshot) {
	j.membersReadAt = r.requestedAt
	j.memberLists = j.memberLists[:0]
	for _, l := range r.members.Lists {
		j.memberLists = append(j.memberLists, lease.MemberList{Epoch: l.Epoch, Members: l.Members})
	}
}

// updateOwned opens shards that this entry has come to own and drops those that
// it no longer owns.
func (j *jobControl) updateOwned(r regionSnapshot, owned []lease.ShardGeneration) {
	j.table = r.table
	now := make(map[uint32]uint64, len(owned))
	for _, o := range owned {
		now[o.Shard] = o.Generation
	}
	for id, s := range j.owned {
		if now[id] != s.generation {
			j.dropShard(s)
		}
	}
	for id, generation := range now {
		if j.owned[id] == nil {
			s := &ownedShard{id: id, generation: generation, ownedAt: r.receivedAt}
			j.owned[id] = s
			j.c.entry.metrics.takeovers.Add(1)
			j.c.entry.wg.Go(func() { j.c.entry.openShard(s) })
		}
	}
}

// dropShard releases all state of a shard that this entry no longer owns.
func (j *jobControl) dropShard(s *ownedShard) {
	delete(j.owned, s.id)
	for key := range j.pendingRestarts {
		if key.shard == s.id {
			j.c.verifier.Release(key.vm, s.id)
			delete(j.pendingRestarts, key)
		}
	}
	for key := range j.unconfirmedEnds {
		if key.shard == s.id {
			j.c.verifier.Release(key.vm, s.id)
			delete(j.unconfirmedEnds, key)
		}
	}
	if s.state == nil {
		return
	}
	for _, job := range s.state.List() {
		j.answerSubmitters(job.ID, rescode.Errorf(rescode.StoreUncertain, "the shard of the job moved to another entry"))
		for _, t := range job.Tasks {
			id := structs.TaskID{Job: job.ID, Index: t.Index}
			j.sched.Withdraw(id)
			j.sched.Release(id)
			j.policy.forgetTask(id)
		}
	}
}

// openShard fences the log of a shard against its former owner and reads it. It
// retries until it succeeds, the shard is lost or the entry stops.
func (e *Entry) openShard(s *ownedShard) {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, 10*e.opts.StoreTimes.CallTimeout)
		log, records, err := shardlog.Open(ctx, e.opts.Store, s.id, s.generation, e.incarnation)
		cancel()
		if err == nil {
			state, loadErr := jobs.Load(s.id, s.generation, records)
			if loadErr == nil {
				e.postEvent(e.ctx, func(c *control) { c.jobs.onShardOpened(s, log, state) })
				return
			}
			err = loadErr
		}
		if errors.Is(err, shardlog.ErrFenced) {
			return
		}
		e.opts.Log.Warn("Shard not opened.", "shard", s.id, "err", err)
		if !e.sleep(openRetryInterval + e.recoveryDelay(e.now()-s.ownedAt)) {
			return
		}
	}
}

// onShardOpened puts a shard into service. Its attempts continue to run: their
// agents are queried, and an attempt is restarted only after a proof that it
// has ended.
func (j *jobControl) onShardOpened(s *ownedShard, log *shardlog.Log, state *jobs.Shard) {
	if j.owned[s.id] != s {
		return
	}
	s.log, s.state = log, state
	now := time.Now()
	state.Active(func(id structs.TaskID, spec *structs.Job, t structs.Task) {
		j.sched.Restore(j.schedulerTask(*spec, t, now), t.Worker, now)
	})
	j.performActions(s, state.Resume(now))
	for vm, a := range j.c.agents {
		if a.session != nil {
			j.reconcile(s, vm)
		}
	}
	j.c.entry.opts.Log.Info("Shard opened.", "shard", s.id, "generation", s.generation)
}

// flush starts to write the pending changes of a shard, unless a write is in
// progress, the last one is too recent or the shard is being handed over.
func (j *jobControl) flush(s *ownedShard, now time.Time) {
	if s.state == nil || s.writing || now.Sub(s.flushedAt) < j.c.entry.opts.StoreTimes.LogFlushInterval || j.handover.Draining(s.id) {
		return
	}
	if batch := s.state.Take(s.log.NeedsSnapshot); !batch.Empty() {
		j.startWrite(s, batch)
	}
}

// startWrite writes a batch to the log in a goroutine of its own; when it is
// durable, the control goroutine performs its actions.
func (j *jobControl) startWrite(s *ownedShard, batch jobs.Batch) {
	s.writing, s.flushedAt = true, time.Now()
	e := j.c.entry
	e.wg.Go(func() {
		err := e.writeBatch(s, batch)
		e.postEvent(e.ctx, func(c *control) { c.jobs.onWritten(s, batch, err) })
	})
}

// writeBatch retries the write of a batch until it is durable, the shard is
// lost or the entry stops.
func (e *Entry) writeBatch(s *ownedShard, batch jobs.Batch) error {
	before := s.log.Writes()
	defer func() { e.metrics.logWrites.Add(int64(s.log.Writes() - before)) }()
	if err := s.log.Stage(shardlog.Batch{Records: batch.Records, Snapshot: batch.Snapshot}); err != nil {
		return err
	}
	for {
		ctx, cancel := context.WithTimeout(e.ctx, 3*e.opts.StoreTimes.CallTimeout)
		err := s.log.Flush(ctx)
		cancel()
		if err == nil || errors.Is(err, shardlog.ErrFenced) || e.ctx.Err() != nil {
			return err
		}
		e.postEvent(e.ctx, func(*control) { s.writeFailing = true })
		e.sleep(flushRetryInterval)
	}
}

// onWritten handles the end of a write. On an error the shard is dropped.
func (j *jobControl) onWritten(s *ownedShard, batch jobs.Batch, err error) {
	s.writing = false
	if j.owned[s.id] != s {
		return
	}
	if err != nil {
		j.c.entry.opts.Log.Warn("Shard lost.", "shard", s.id, "err", err)
		j.dropShard(s)
		return
	}
	s.writeFailing = false
	j.performActions(s, s.state.Release(batch, time.Now()))
}

func (j *jobControl) startLeaving() {
	j.leaving = true
	j.planner.Shutdown()
}

// idle reports whether every shard has been handed over. If there is no other
// live entry, it is enough that no write is in progress: the shards stay owned
// by this incarnation, and an entry that starts later takes them over.
func (j *jobControl) idle() bool {
	if len(j.c.otherEntries()) > 0 {
		return len(j.owned) == 0
	}
	for _, s := range j.owned {
		if s.writing {
			return false
		}
	}
	return true
}
