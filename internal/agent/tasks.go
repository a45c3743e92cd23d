package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/internal/agent/enforce"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
	"vanillalock.example/vanillalock/internal/worker"
)

const (
	// taskPollInterval is the time between two reads of the worker's task list.
	taskPollInterval = 500 * time.Millisecond
	// workerTimeout bounds one call to the worker.
	workerTimeout = 2 * time.Second
	// workerRetryInterval is the time between two tries of a stop or list call
	// while the worker does not answer.
	workerRetryInterval = 500 * time.Millisecond
	// endedRetention is how long an ended attempt is kept, to answer repeated
	// starts and queries.
	endedRetention = 10 * time.Minute
	// maxPendingQueries bounds the queries kept until the worker's tasks are
	// adopted; the tasks of a VM and of its predecessor are far fewer.
	maxPendingQueries = 1024
	// suspendThreshold is how far the wall clock has to run ahead of the monotonic
	// clock to show that the VM was suspended, as the monotonic clock stands still
	// meanwhile.
	suspendThreshold = 2 * time.Second
)

// States of an attempt, as sent to entries.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
	StateStopped = "stopped" // ended by a stop; may carry a checkpoint
	StateEvicted = "evicted" // ended by an eviction, after a checkpoint
	StateLapsed  = "lapsed"  // ended because the permit or the worker's lease expired
	StateRefused = "refused" // not started, and never will be
	StateGone    = "gone"    // tombstoned; does not run
)

// attempt is an attempt of a task that this agent incarnation knows.
type attempt struct {
	key            lease.Key
	ref            *pb.TaskRef
	spec           worker.Spec
	state          string
	starting       bool   // the worker has not answered the start yet
	stopping       bool   // a stop is not confirmed yet
	endState       string // state to report once the stop is confirmed
	reason         string
	progressMs     int64
	checkpoint     string
	runningAt      time.Time // when the worker confirmed the start
	checkpointedAt time.Time // when the last periodic checkpoint was requested
	endedAt        time.Time
}

// taskTable holds the attempts on the worker and their permits. The control
// goroutine owns it.
type taskTable struct {
	control        *control
	cfg            lease.Config
	holder         *lease.Holder
	attempts       map[lease.Key]*attempt
	events         map[lease.Key]*pb.TaskEvent // latest event of each attempt, until acknowledged
	eventSeq       uint64
	ledger         *enforce.Ledger
	usages         []worker.Usage
	pollInFlight   bool
	adopted        bool
	pendingQueries []*pb.TaskQuery // received before the worker's tasks were adopted
	lastWall       time.Time
	lastMono       lease.Instant
}

func newTaskTable(c *control, cfg lease.Config) *taskTable {
	return &taskTable{
		control: c, cfg: cfg, holder: lease.NewHolder(cfg, c.agent.opts.Node.Incarnation),
		ledger: enforce.New(c.agent.opts.Node.Capacity), attempts: map[lease.Key]*attempt{}, events: map[lease.Key]*pb.TaskEvent{},
		lastWall: time.Now().Round(0),
	}
}

// now returns the agent's monotonic clock, which starts with the agent.
func (t *taskTable) now() lease.Instant { return time.Since(t.control.agent.started) }

// expirePermits ends the permits that have expired. After a suspension of the VM,
// during which the monotonic clock stood still, it ends all of them.
func (t *taskTable) expirePermits() {
	now, wall := t.now(), time.Now().Round(0)
	if wall.Sub(t.lastWall)-(now-t.lastMono) > suspendThreshold {
		t.control.agent.opts.Log.Warn("Clock jumped. Ending all permits.")
		t.applyActions(t.holder.RevokeAll(now))
	}
	t.lastWall, t.lastMono = wall, now
	t.applyActions(t.holder.Expire(now))
}

func (t *taskTable) heartbeatSent() uint64 { return t.holder.HeartbeatSent(t.now()) }

func (t *taskTable) handleAck(ack lease.Ack) { t.applyActions(t.holder.Ack(t.now(), ack)) }

// applyActions carries out the actions that the permit holder returned.
func (t *taskTable) applyActions(actions []lease.Action) {
	for _, action := range actions {
		a := t.attempts[action.Attempt.Key]
		if a == nil {
			continue
		}
		switch action.Kind {
		case lease.ExtendWorker:
			t.extendWorkerLease(a, action.Until)
		case lease.Stop:
			if action.Reason != lease.Tombstoned {
				t.control.agent.metrics.permitExpiries.Add(1)
			}
			t.stopAttempt(a, StateLapsed, string(action.Reason), true)
		}
	}
}

// renewWorkerLeases renews the worker's leases up to the ends of the permits, also
// while no permit is renewed.
func (t *taskTable) renewWorkerLeases() { t.applyActions(t.holder.Running()) }

// extendWorkerLease renews the worker's lease of a running attempt.
func (t *taskTable) extendWorkerLease(a *attempt, until lease.Instant) {
	duration := t.cfg.WorkerLease(t.now(), until)
	if a.starting || a.stopping || duration <= 0 {
		return
	}
	client, log := t.control.agent.opts.Worker, t.control.agent.opts.Log
	t.callWorker(func(ctx context.Context) {
		if err := client.Renew(ctx, a.spec.Task, a.spec.Token, duration); err != nil {
			log.Debug("Worker lease not renewed.", "task", a.key.Task, "err", err)
		}
	})
}

// handleStart handles a TaskStart message. A repeated one is answered with the
// current state of the attempt.
func (t *taskTable) handleStart(s *pb.TaskStart) {
	ref := &pb.TaskRef{Job: s.Job, Index: s.Index, Attempt: s.Attempt, Generation: s.Generation, Shard: s.Shard}
	key := keyOf(ref)
	if a := t.attempts[key]; a != nil {
		t.resendStatus(a)
		return
	}
	spec := specOf(s)
	if code := t.admit(spec, s, key); code != rescode.OK {
		t.refuse(key, ref, code)
		return
	}
	a := &attempt{key: key, ref: ref, spec: spec, starting: true, checkpoint: s.Checkpoint}
	t.attempts[key] = a
	t.runOnWorker(a)
}

// admit decides whether a start is carried out: it reserves the resources and
// obtains a permit.
func (t *taskTable) admit(spec worker.Spec, s *pb.TaskStart, key lease.Key) rescode.Code {
	opts := t.control.agent.opts
	switch {
	case opts.Worker == nil:
		return rescode.CapacityExceeded
	case t.control.leaving:
		return rescode.Leaving
	}
	verdict, err := t.ledger.Reserve(spec.Task, spec.Token, spec.Resources, nil, time.Now())
	if verdict != enforce.Admitted {
		t.control.agent.opts.Log.Debug("Start refused.", "task", key.Task, "err", err)
		return rescode.CapacityExceeded
	}
	actions, err := t.holder.Start(t.now(), s.Incarnation, lease.Attempt{
		Key: key, Shard: s.Shard, Generation: s.Generation, Epoch: s.Epoch,
	})
	if err != nil {
		t.ledger.Release(spec.Task, spec.Token, time.Now())
	}
	for _, action := range actions {
		if action.Attempt.Key != key {
			t.applyActions([]lease.Action{action})
		}
	}
	return startCode(err)
}

// startCode returns the result code for an error of lease.Holder.Start.
func startCode(err error) rescode.Code {
	switch {
	case err == nil:
		return rescode.OK
	case errors.Is(err, lease.ErrTombstoned), errors.Is(err, lease.ErrIncarnation):
		return rescode.Tombstoned
	default:
		return rescode.PermitUnavailable
	}
}

// refuse tombstones an attempt that was not started and reports the refusal.
// Without the tombstone a delayed copy of the start could still take effect. Before
// the worker's tasks are adopted nothing is reported, and the entry repeats its
// start.
func (t *taskTable) refuse(key lease.Key, ref *pb.TaskRef, code rescode.Code) {
	actions, gone := t.holder.Tombstone(t.now(), key)
	t.applyActions(actions)
	if !gone {
		return
	}
	a := &attempt{key: key, ref: ref, state: StateRefused, reason: code.String(), endedAt: time.Now()}
	t.attempts[key] = a
	t.emit(a, code)
}

// runOnWorker starts an attempt on the worker, with a lease within its permit.
func (t *taskTable) runOnWorker(a *attempt) {
	until := t.permitEnd(a.key)
	duration := t.cfg.WorkerLease(t.now(), until)
	client := t.control.agent.opts.Worker
	t.control.agent.metrics.taskStarts.Add(1)
	t.callWorker(func(ctx context.Context) {
		err := client.Run(ctx, a.spec, duration)
		t.control.agent.postEvent(t.control.ctx, func(*control) { t.handleStartResult(a, err) })
	})
}

// permitEnd returns the end of a running attempt's permit, or 0 if there is none.
func (t *taskTable) permitEnd(key lease.Key) lease.Instant {
	for _, action := range t.holder.Running() {
		if action.Attempt.Key == key {
			return action.Until
		}
	}
	return 0
}

// handleStartResult handles the worker's answer to a start.
func (t *taskTable) handleStartResult(a *attempt, err error) {
	a.starting = false
	switch {
	case err == nil:
		a.state, a.runningAt = StateRunning, time.Now()
		if a.stopping {
			return
		}
		t.emit(a, rescode.OK)
		t.extendWorkerLease(a, t.permitEnd(a.key))
	case errors.Is(err, worker.ErrCapacity), errors.Is(err, worker.ErrStaleToken):
		a.reason = err.Error()
		t.endAttempt(a, StateRefused, rescode.CapacityExceeded)
	default:
		// The worker may or may not run it: stop it until that is confirmed.
		t.stopAttempt(a, StateStopped, "start not confirmed", false)
	}
}

// stopAttempt stops an attempt, after a checkpoint if asked for, and repeats the
// call until the worker confirms it.
func (t *taskTable) stopAttempt(a *attempt, endState, reason string, checkpoint bool) {
	if a.stopping || !a.endedAt.IsZero() {
		return
	}
	a.stopping, a.endState, a.reason = true, endState, reason
	client := t.control.agent.opts.Worker
	t.control.agent.wg.Go(func() {
		if checkpoint {
			ctx, cancel := context.WithTimeout(t.control.ctx, workerTimeout)
			if status, err := client.Checkpoint(ctx, a.spec.Task, a.spec.Token); err == nil {
				t.control.agent.postEvent(ctx, func(*control) { a.updateProgress(status) })
			}
			cancel()
		}
		t.stopUntilConfirmed(a, client)
	})
}

func (t *taskTable) stopUntilConfirmed(a *attempt, client worker.Client) {
	for t.control.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.control.ctx, workerTimeout)
		status, err := client.Stop(ctx, a.spec.Task, a.spec.Token)
		cancel()
		if err == nil || errors.Is(err, worker.ErrStaleToken) {
			t.control.agent.postEvent(t.control.ctx, func(*control) {
				if err == nil {
					a.updateProgress(status)
				}
				t.handleStopped(a, status, err)
			})
			return
		}
		select {
		case <-time.After(workerRetryInterval):
		case <-t.control.ctx.Done():
		}
	}
}

// handleStopped ends an attempt after a confirmed stop. One that was done before the
// stop is reported as done.
func (t *taskTable) handleStopped(a *attempt, status worker.Status, err error) {
	state := a.endState
	if err == nil && status.State == worker.Done {
		state = StateDone
	}
	t.endAttempt(a, state, rescode.OK)
}

// endAttempt ends an attempt: its permit ends, its resources are released, and the
// end is reported until an entry acknowledges it.
func (t *taskTable) endAttempt(a *attempt, state string, code rescode.Code) {
	if !a.endedAt.IsZero() {
		return
	}
	t.holder.Stopped(t.now(), a.key)
	a.state, a.endedAt = state, time.Now()
	t.ledger.Release(a.spec.Task, a.spec.Token, time.Now())
	t.emit(a, code)
}

// updateProgress takes the progress, checkpoint and reason from a worker's status.
// Progress never decreases, and the first reason is kept.
func (a *attempt) updateProgress(status worker.Status) {
	if status.ProgressMs >= a.progressMs && status.Checkpoint != "" {
		a.progressMs, a.checkpoint = status.ProgressMs, status.Checkpoint
	}
	if status.Reason != "" && a.reason == "" {
		a.reason = status.Reason
	}
}

// callWorker runs a call to the worker in a goroutine of its own, with a timeout.
func (t *taskTable) callWorker(call func(context.Context)) {
	t.control.agent.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.control.ctx, workerTimeout)
		defer cancel()
		call(ctx)
	})
}

func (t *taskTable) reserved() structs.Resources { return t.ledger.Used() }

func keyOf(ref *pb.TaskRef) lease.Key {
	return lease.Key{Task: fmt.Sprintf("%s/%d", ref.Job, ref.Index), Attempt: uint64(ref.Attempt)}
}

func specOf(s *pb.TaskStart) worker.Spec {
	spec := worker.Spec{
		Task:  structs.TaskID{Job: s.Job, Index: int(s.Index)},
		Token: structs.Token{Generation: s.Generation, Attempt: s.Attempt}, Shard: s.Shard,
		Template: s.Template, TemplateVersion: s.TemplateVersion, Parameters: s.Parameters,
		QoS: structs.QoS(s.Qos), Checkpoint: s.Checkpoint, DurationMs: s.DurationMs,
	}
	if r := s.Resources; r != nil {
		spec.Resources = structs.Resources{MilliCPU: r.MilliCpu, MemoryMB: r.MemoryMb, Accelerators: r.Accelerators}
	}
	return spec
}
