package agent

import (
	"context"
	"encoding/json"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/propagation"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
	"vanillalock.example/vanillalock/internal/worker"
)

// adoptTasks asks the worker for its tasks, which may run since before a restart of
// the agent, and adopts them. Until the worker answers, the agent starts no task
// and confirms no tombstone.
func (c *control) adoptTasks() {
	client := c.agent.opts.Worker
	if client == nil {
		c.tasks.holder.Adopted()
		c.tasks.adopted = true
		return
	}
	c.agent.wg.Go(func() {
		for c.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(c.ctx, workerTimeout)
			listed := c.tasks.now()
			statuses, err := client.List(ctx)
			cancel()
			if err == nil {
				c.agent.postEvent(c.ctx, func(c *control) { c.tasks.adopt(listed, statuses) })
				return
			}
			select {
			case <-time.After(workerRetryInterval):
			case <-c.ctx.Done():
			}
		}
	})
}

// adopt takes over the attempts that the worker lists and answers the queries that
// arrived before. listed is the time before the worker was asked.
func (t *taskTable) adopt(listed lease.Instant, statuses []worker.Status) {
	for _, s := range statuses {
		a := t.attemptOf(s)
		t.attempts[a.key] = a
		if s.State != worker.Running {
			a.endedAt = time.Now()
			a.state = endStateOf(s.State)
			t.emit(a, rescode.OK)
			continue
		}
		a.state, a.runningAt = StateRunning, time.Now()
		if !t.ledger.Adopt(s.Spec.Task, s.Spec.Token, s.Spec.Resources) {
			t.control.agent.opts.Log.Warn("Worker runs more than its capacity.", "task", a.key.Task)
		}
		t.holder.Adopt(listed, lease.Attempt{Key: a.key, Shard: s.Spec.Shard, Generation: s.Spec.Token.Generation})
		t.emit(a, rescode.OK)
	}
	t.holder.Adopted()
	t.adopted = true
	for _, q := range t.pendingQueries {
		t.handleQuery(q)
	}
	t.pendingQueries = nil
	t.control.sendHeartbeats()
}

func (t *taskTable) attemptOf(s worker.Status) *attempt {
	ref := &pb.TaskRef{
		Job: s.Spec.Task.Job, Index: uint32(s.Spec.Task.Index), Attempt: s.Spec.Token.Attempt,
		Generation: s.Spec.Token.Generation, Shard: s.Spec.Shard,
	}
	return &attempt{key: keyOf(ref), ref: ref, spec: s.Spec, progressMs: s.ProgressMs, checkpoint: s.Checkpoint, reason: s.Reason}
}

// templateKind is the kind of configuration objects that are templates.
const templateKind = "template"

// checkpointDueAttempts requests a checkpoint of each running attempt whose template
// sets a checkpoint interval, once that interval has elapsed. The loss of the VM then
// costs at most one interval of work.
func (t *taskTable) checkpointDueAttempts(now time.Time) {
	for _, a := range t.attempts {
		if a.state != StateRunning || a.stopping || !a.endedAt.IsZero() {
			continue
		}
		last := a.checkpointedAt
		if last.IsZero() {
			last = a.runningAt
		}
		if every := t.control.checkpointInterval(a.spec.Template); every > 0 && now.Sub(last) >= every {
			a.checkpointedAt = now
			t.requestCheckpoint(a)
		}
	}
}

// checkpointInterval returns the checkpoint interval of a template in its current
// version, or 0 if it sets none.
func (c *control) checkpointInterval(template string) time.Duration {
	o, ok := c.config.Get(propagation.Key{Kind: templateKind, Name: template})
	var t structs.Template
	if !ok || o.Deleted || json.Unmarshal(o.Data, &t) != nil {
		return 0
	}
	return time.Duration(t.CheckpointMillis) * time.Millisecond
}

// poll reads the worker's task list and usage, unless the last poll still runs or
// no attempt is active.
func (t *taskTable) poll() {
	t.forgetEnded()
	t.checkpointDueAttempts(time.Now())
	client := t.control.agent.opts.Worker
	if t.pollInFlight || !t.adopted || client == nil || t.activeAttempts() == 0 {
		return
	}
	t.pollInFlight = true
	asked := time.Now()
	t.callWorker(func(ctx context.Context) {
		statuses, err := client.List(ctx)
		usages, _ := client.Usage(ctx)
		t.control.agent.postEvent(t.control.ctx, func(*control) {
			t.pollInFlight = false
			if err == nil {
				t.usages = usages
				t.reconcile(asked, statuses)
			}
		})
	})
}

// reconcile updates the attempts from the worker's list, which was requested at
// asked. Attempts that ended on the worker end here too; one that the worker had
// confirmed before and no longer lists is stopped.
func (t *taskTable) reconcile(asked time.Time, statuses []worker.Status) {
	listed := make(map[lease.Key]bool, len(statuses))
	for _, s := range statuses {
		key := t.attemptOf(s).key
		listed[key] = true
		a := t.attempts[key]
		switch {
		case a == nil || !a.endedAt.IsZero() || a.stopping || a.starting:
		case s.State == worker.Running:
			before := a.checkpoint
			a.updateProgress(s)
			if a.checkpoint != before {
				t.emit(a, rescode.OK)
			}
		default:
			a.updateProgress(s)
			t.endAttempt(a, endStateOf(s.State), rescode.OK)
		}
	}
	for key, a := range t.attempts {
		confirmed := !a.runningAt.IsZero() && a.runningAt.Before(asked)
		if a.endedAt.IsZero() && !a.stopping && confirmed && !listed[key] {
			t.stopAttempt(a, StateStopped, "the worker no longer knows the attempt", false)
		}
	}
}

func endStateOf(s worker.State) string {
	switch s {
	case worker.Done:
		return StateDone
	case worker.Failed:
		return StateFailed
	case worker.Lapsed:
		return StateLapsed
	default:
		return StateStopped
	}
}

// handleStop handles a TaskStop message, sent for an eviction or cancellation. An
// attempt that is not known here is tombstoned.
func (t *taskTable) handleStop(s *pb.TaskStop) {
	a := t.attempts[keyOf(s.Task)]
	if a == nil {
		t.handleQuery(&pb.TaskQuery{Task: s.Task, Tombstone: true})
		return
	}
	if !a.endedAt.IsZero() {
		t.resendStatus(a)
		return
	}
	state := StateStopped
	if s.Checkpoint {
		state = StateEvicted
	}
	t.stopAttempt(a, state, s.Reason, s.Checkpoint)
}

// evictAll checkpoints and stops every task, for a planned shutdown.
func (t *taskTable) evictAll(reason string) {
	for _, a := range t.attempts {
		if a.endedAt.IsZero() {
			t.stopAttempt(a, StateEvicted, reason, true)
		}
	}
}

func (t *taskTable) handleCheckpoint(m *pb.TaskCheckpoint) {
	a := t.attempts[keyOf(m.Task)]
	if a == nil || a.state != StateRunning || a.stopping {
		return
	}
	t.requestCheckpoint(a)
}

// requestCheckpoint asks the worker for a checkpoint and reports it to the entries.
func (t *taskTable) requestCheckpoint(a *attempt) {
	client := t.control.agent.opts.Worker
	t.callWorker(func(ctx context.Context) {
		status, err := client.Checkpoint(ctx, a.spec.Task, a.spec.Token)
		if err != nil {
			return
		}
		t.control.agent.postEvent(t.control.ctx, func(*control) {
			a.updateProgress(status)
			t.emit(a, rescode.OK)
		})
	})
}

func (t *taskTable) handleThrottle(m *pb.TaskThrottle) {
	a := t.attempts[keyOf(m.Task)]
	if a == nil || a.state != StateRunning || a.stopping {
		return
	}
	client, share := t.control.agent.opts.Worker, float64(m.Share)
	t.callWorker(func(ctx context.Context) {
		if err := client.Throttle(ctx, a.spec.Task, a.spec.Token, share); err != nil {
			t.control.agent.opts.Log.Debug("Task not throttled.", "task", a.key.Task, "err", err)
		}
	})
}

// handleQuery handles a TaskQuery message. A known attempt is reported in its
// current state. An unknown one is tombstoned if the query asks for it, which
// proves to the owner of the shard that it does not run here and never will.
func (t *taskTable) handleQuery(q *pb.TaskQuery) {
	if !t.adopted {
		// Nothing can be proven before the worker's tasks are known. The query is
		// kept, because the entry sends it only once per session.
		if len(t.pendingQueries) < maxPendingQueries {
			t.pendingQueries = append(t.pendingQueries, q)
		}
		return
	}
	key := keyOf(q.Task)
	if a := t.attempts[key]; a != nil {
		t.resendStatus(a)
		return
	}
	if !q.Tombstone {
		return
	}
	id := structs.TaskID{Job: q.Task.Job, Index: int(q.Task.Index)}
	token := structs.Token{Generation: q.Task.Generation, Attempt: q.Task.Attempt}
	actions, gone := t.holder.Tombstone(t.now(), key)
	t.applyActions(actions)
	if gone && t.ledger.Tombstone(id, token, time.Now()) {
		a := &attempt{key: key, ref: q.Task, state: StateGone, endedAt: time.Now()}
		t.attempts[key] = a
		t.emit(a, rescode.OK)
	}
}

// emit sends the state of an attempt as an event to the entry that owns its shard.
// Until an entry acknowledges the event, it is repeated with each heartbeat.
func (t *taskTable) emit(a *attempt, code rescode.Code) {
	t.eventSeq++
	event := &pb.TaskEvent{Seq: t.eventSeq, Status: statusOf(a), Code: uint32(code)}
	t.events[a.key] = event
	frame := &pb.Frame{Body: &pb.Frame_TaskEvent{TaskEvent: event}}
	for _, s := range t.control.sessions {
		if s.connected && s.shards[a.ref.Shard] {
			t.control.queueFrame(s, frame)
		}
	}
}

// resendStatus sends the current state of an attempt again, if it has one.
func (t *taskTable) resendStatus(a *attempt) {
	if a.state == "" {
		return
	}
	t.emit(a, rescode.OK)
}

func (t *taskTable) handleEventAck(seq uint64) {
	for key, event := range t.events {
		if event.Seq == seq {
			delete(t.events, key)
		}
	}
}

// pendingEvents returns the unacknowledged events of the shards that an entry owns.
func (t *taskTable) pendingEvents(s *entrySession) []*pb.Frame {
	var frames []*pb.Frame
	for _, event := range t.events {
		if s.shards[event.Status.Task.Shard] {
			frames = append(frames, &pb.Frame{Body: &pb.Frame_TaskEvent{TaskEvent: event}})
		}
	}
	return frames
}

func statusOf(a *attempt) *pb.AttemptStatus {
	return &pb.AttemptStatus{Task: a.ref, State: a.state, ProgressMs: a.progressMs, Checkpoint: a.checkpoint, Reason: a.reason}
}

// statuses returns the running attempts, for an announcement.
func (t *taskTable) statuses() []*pb.AttemptStatus {
	var out []*pb.AttemptStatus
	for _, a := range t.attempts {
		if a.endedAt.IsZero() && a.state == StateRunning {
			out = append(out, statusOf(a))
		}
	}
	return out
}

// usage returns the latest measurements of the running tasks.
func (t *taskTable) usage() []*pb.TaskUsage {
	running := make(map[structs.TaskID]*attempt, len(t.attempts))
	for _, a := range t.attempts {
		if a.endedAt.IsZero() {
			running[a.spec.Task] = a
		}
	}
	var out []*pb.TaskUsage
	for _, u := range t.usages {
		a := running[u.Task]
		if a == nil {
			continue
		}
		out = append(out, &pb.TaskUsage{
			Job: u.Task.Job, Index: uint32(u.Task.Index), Slowdown: float32(u.Slowdown),
			Used:  &pb.Resources{MilliCpu: u.Used.MilliCPU, MemoryMb: u.Used.MemoryMB, Accelerators: u.Used.Accelerators},
			AgeMs: uint32(time.Since(u.At).Milliseconds()), Template: a.spec.Template, Batch: a.spec.QoS == structs.Batch,
		})
	}
	return out
}

// activeAttempts returns the number of attempts that have not ended.
func (t *taskTable) activeAttempts() int {
	n := 0
	for _, a := range t.attempts {
		if a.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// idle reports whether no attempt is active and every event is acknowledged.
func (t *taskTable) idle() bool { return t.activeAttempts() == 0 && len(t.events) == 0 }

// forgetEnded drops attempts that ended more than endedRetention ago and whose end
// is acknowledged, and expired tombstones.
func (t *taskTable) forgetEnded() {
	t.ledger.Expire(time.Now())
	for key, a := range t.attempts {
		if !a.endedAt.IsZero() && time.Since(a.endedAt) > endedRetention && t.events[key] == nil {
			delete(t.attempts, key)
		}
	}
}
