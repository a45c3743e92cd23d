package entry

import (
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/jobs/shardlog"
	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// defaultLogFlushInterval is the default time between two writes of one
	// shard's log.
	defaultLogFlushInterval = 250 * time.Millisecond
	// maxDecisionsPerTick limits the scheduling decisions of one tick, so that
	// a burst of submissions or cancellations does not delay other events. 200
	// per tick of 50 ms are far above the peak load of 48 starts/s.
	maxDecisionsPerTick = 200
	// repeatInterval is the time after which commands that still wait for an
	// event of an agent are sent again. A command is lost if the outbox of a
	// slow session is full; agents recognize repeated commands by their token.
	repeatInterval = 5 * time.Second
	// inventoryDelay is how long after its start an entry waits for agents to
	// connect before it may decide that no VM can ever run a task.
	inventoryDelay = 10 * time.Second
)

// ownedShard is a job shard that this entry owns.
type ownedShard struct {
	id           uint32
	generation   uint64
	ownedAt      lease.Instant // when the read or write that showed this entry as owner returned
	state        *jobs.Shard   // nil until the log is open
	log          *shardlog.Log
	writing      bool      // a batch is being written
	flushedAt    time.Time // start of the last write
	writeFailing bool      // the current write has failed and is being retried
}

// jobControl is the part of the control state that concerns jobs: the owned
// shards, the scheduler and the attempts at the agents.
type jobControl struct {
	c             *control
	planner       *shard.Planner
	handover      *shard.Handover
	owned         map[uint32]*ownedShard
	table         shard.Table        // ownership of all shards, as last read or written
	memberLists   []lease.MemberList // all epochs that the store holds
	membersReadAt lease.Instant      // start of the read that returned memberLists

	ledger *quota.Ledger
	sched  *scheduler.Scheduler
	policy *policy

	repeatedAt      time.Time                 // when outstanding commands were last repeated
	submitters      map[string][]chan<- error // calls that wait for a job to become durable, by job id
	pendingRestarts map[vmShard]*pendingRestart
	unconfirmedEnds map[vmShard]endedAttempts
	reportedEpochs  map[string]reportedEpoch // by VM, kept after the VM is removed
	leaving         bool
}

func newJobControl(c *control) *jobControl {
	e := c.entry
	j := &jobControl{
		c:               c,
		planner:         shard.NewPlanner(e.opts.Ownership, e.incarnation, 0),
		handover:        shard.NewHandover(),
		owned:           map[uint32]*ownedShard{},
		table:           shard.NewTable(e.opts.Shards),
		ledger:          quota.New(),
		submitters:      map[string][]chan<- error{},
		pendingRestarts: map[vmShard]*pendingRestart{},
		unconfirmedEnds: map[vmShard]endedAttempts{},
		reportedEpochs:  map[string]reportedEpoch{},
	}
	j.policy, j.sched = newPolicy(j)
	return j
}

// tick writes the changes of owned shards and makes placements.
func (j *jobControl) tick() {
	now := time.Now()
	for _, s := range j.owned {
		j.flush(s, now)
	}
	if j.leaving {
		return
	}
	j.sched.Run(now, maxDecisionsPerTick, j)
}

// everySecond runs the periodic work on jobs: expiry, evictions for waiting
// tasks, repeated commands and restarts.
func (j *jobControl) everySecond(now time.Time) {
	if j.c.entry.now() > inventoryDelay {
		j.sched.SetInventoryComplete()
	}
	for _, s := range j.owned {
		if s.state != nil {
			s.state.Expire(now)
		}
	}
	if j.leaving {
		return
	}
	for _, d := range j.sched.Tick(now) {
		j.evictFor(d)
	}
	if now.Sub(j.repeatedAt) >= repeatInterval {
		j.repeatedAt = now
		j.repeatCommands()
	}
	j.trackMissing(now)
	j.advanceRestarts()
	j.policy.everySecond(now)
}

// repeatCommands resends the commands that still wait for an event of an agent.
func (j *jobControl) repeatCommands() {
	for _, s := range j.owned {
		if s.state != nil {
			j.performActions(s, s.state.Outstanding(""))
		}
	}
}

// Submit implements scheduler.Planner. It applies a decision to the state of
// the task's shard; a start is sent to the agent once it is durable. It returns
// errNotOwner, as scheduler.ErrNotNow, if the shard or the agent is not available
// and errStaleDecision if the task has changed.
func (j *jobControl) Submit(d scheduler.Decision) error {
	s := j.shardOf(d.Task.ID.Job)
	if s == nil || s.state == nil {
		return errNotNow
	}
	ev := jobs.Event{Task: d.Task.ID, Token: structs.Token{Generation: s.generation, Attempt: d.Task.Attempt}}
	switch d.Kind {
	case scheduler.Placed:
		a := j.c.agents[d.Node.ID]
		// Without a member list, the end of the attempt could be proven only by
		// waiting for lease.Config.Hold, the longest time for which a permit is
		// renewed by attestation alone.
		if a == nil || a.session == nil || j.handover.Draining(s.id) || j.c.verifier.Epoch() == 0 {
			return errNotNow
		}
		ev.Kind, ev.Worker, ev.Incarnation, ev.Epoch = jobs.Place, d.Node.ID, a.node.Incarnation, j.c.verifier.Epoch()
		j.c.entry.metrics.placements.Add(1)
	case scheduler.CannotRun:
		ev.Kind, ev.Reason = jobs.CannotRun, d.Reason
	case scheduler.EvictionNeeded:
		j.evictFor(d)
		return nil
	}
	if !s.state.Apply(ev, time.Now()) {
		return errStaleDecision
	}
	return nil
}

// evictFor evicts batch tasks from a VM for a task that has waited too long.
func (j *jobControl) evictFor(d scheduler.Decision) {
	if d.Kind != scheduler.EvictionNeeded {
		return
	}
	for _, id := range j.policy.selectVictims(d) {
		j.evict(id, "room for "+string(d.Task.QoS)+" work")
	}
}

// evict requests that the current attempt of a task is checkpointed and
// stopped. It returns false if the task has no attempt that can be evicted.
func (j *jobControl) evict(id structs.TaskID, reason string) bool {
	s := j.shardOf(id.Job)
	if s == nil || s.state == nil || j.handover.Draining(s.id) {
		return false
	}
	_, token, ok := s.state.Attempt(id)
	if !ok || !s.state.Apply(jobs.Event{Kind: jobs.EvictRequest, Task: id, Token: token, Reason: reason}, time.Now()) {
		return false
	}
	j.c.entry.metrics.evictions.Add(1)
	return true
}

// shardOf returns the shard of a job, or nil if this entry does not own it.
func (j *jobControl) shardOf(job string) *ownedShard {
	return j.owned[jobs.ShardOf(job, j.c.entry.opts.Shards)]
}

// performActions carries out the actions of state changes that have become
// durable.
func (j *jobControl) performActions(s *ownedShard, actions []jobs.Action) {
	now := time.Now()
	for _, a := range actions {
		switch a.Kind {
		case jobs.Accepted:
			j.answerSubmitters(a.Task.Job, nil)
		case jobs.Queued:
			j.enqueue(s, a, now)
		case jobs.Withdrawn:
			j.sched.Withdraw(a.Task)
		case jobs.Start:
			j.sendStart(s, a)
		case jobs.CheckpointStop:
			j.sendStop(s, a, true)
		case jobs.Stop:
			j.sendStop(s, a, false)
		case jobs.Freed:
			j.sched.Release(a.Task)
			j.policy.forgetAttempt(a.Task)
		case jobs.Finished:
			j.sched.Release(a.Task)
			j.policy.forgetTask(a.Task)
		case jobs.Ack:
			if agent := j.c.agents[a.Worker]; agent != nil {
				j.c.postFrame(agent, &pb.Frame{Body: &pb.Frame_TaskEventAck{TaskEventAck: &pb.TaskEventAck{Seq: a.Ref}}})
			}
		}
	}
}

// answerSubmitters reports the result of a submission to the calls that wait
// for it.
func (j *jobControl) answerSubmitters(job string, err error) {
	for _, submitter := range j.submitters[job] {
		submitter <- err
	}
	delete(j.submitters, job)
}

// enqueue adds a waiting task to the scheduler.
func (j *jobControl) enqueue(s *ownedShard, a jobs.Action, now time.Time) {
	job, err := s.state.Get(a.Task.Job)
	if err != nil {
		return
	}
	j.sched.Add(j.schedulerTask(job, job.Tasks[a.Task.Index], now), now)
}

// schedulerTask returns the scheduler's description of a task.
func (j *jobControl) schedulerTask(job structs.Job, t structs.Task, now time.Time) scheduler.Task {
	failedOn := ""
	if t.Failures > 0 {
		failedOn = t.Worker
	}
	return scheduler.Task{
		FailedOn: failedOn,
		Shape:    scheduler.Shape{Template: job.Template, QoS: job.QoS, Size: j.policy.plannedSize(job)},
		ID:       structs.TaskID{Job: job.ID, Index: t.Index}, Attempt: t.Attempt, Team: job.Team,
		Expected: time.Duration(job.ExpectedMillis) * time.Millisecond, LongRunning: job.LongRunning,
		Recovered: t.Attempt > 0 && t.Evictions == 0, Enqueued: now,
	}
}

// sendStart sends the start of an attempt to its agent. The resources are those
// reserved at placement, if the scheduler knows them.
func (j *jobControl) sendStart(s *ownedShard, a jobs.Action) {
	job, err := s.state.Get(a.Task.Job)
	agent := j.c.agents[a.Worker]
	if err != nil || agent == nil {
		return
	}
	t := job.Tasks[a.Task.Index]
	size := job.Resources
	if placed := j.sched.Placed(a.Task); placed != nil {
		size = placed.Size
	}
	j.c.postFrame(agent, &pb.Frame{Body: &pb.Frame_TaskStart{TaskStart: &pb.TaskStart{
		Job: job.ID, Index: uint32(t.Index), Attempt: a.Token.Attempt, Shard: s.id, Generation: a.Token.Generation,
		Template: job.Template, TemplateVersion: job.TemplateVersion, Parameters: job.Parameters, Qos: string(job.QoS),
		Resources:  &pb.Resources{MilliCpu: size.MilliCPU, MemoryMb: size.MemoryMB, Accelerators: size.Accelerators},
		Checkpoint: a.Checkpoint, DurationMs: expectedDurationMs(job), Epoch: t.Epoch, Incarnation: t.Incarnation,
	}}})
}

// expectedDurationMs returns the expected run time of a task in ms, 0 for a
// long-running service.
func expectedDurationMs(job structs.Job) int64 {
	if job.LongRunning {
		return 0
	}
	return job.ExpectedMillis
}

// sendStop sends the stop of an attempt to its agent, with or without a
// checkpoint.
func (j *jobControl) sendStop(s *ownedShard, a jobs.Action, checkpoint bool) {
	agent := j.c.agents[a.Worker]
	if agent == nil {
		return
	}
	j.c.postFrame(agent, &pb.Frame{Body: &pb.Frame_TaskStop{TaskStop: &pb.TaskStop{
		Task: taskRef(s, a.Task, a.Token), Checkpoint: checkpoint, Reason: a.Reason,
	}}})
}

func taskRef(s *ownedShard, id structs.TaskID, token structs.Token) *pb.TaskRef {
	return &pb.TaskRef{Job: id.Job, Index: uint32(id.Index), Attempt: token.Attempt, Generation: token.Generation, Shard: s.id}
}

// customerChanged updates the quota of the customer's team. Customers of the
// same team are expected to state the same quota; the last edit applies.
func (j *jobControl) customerChanged(name string) {
	customer, ok := j.c.customers[name]
	if ok && customer.Team != "" {
		j.ledger.SetTeam(customer.Team, customer.Quota, 1)
	}
}

// teamUsage returns the resources that each team uses through this entry.
func (j *jobControl) teamUsage() map[string]structs.Resources {
	usage := map[string]structs.Resources{}
	for _, customer := range j.c.customers {
		if used := j.ledger.Used(customer.Team); customer.Team != "" && used != (structs.Resources{}) {
			usage[customer.Team] = used
		}
	}
	return usage
}

// updateRemoteUsage updates the resources that the teams use through the other
// entries.
func (j *jobControl) updateRemoteUsage(peers map[string]peerRecord) {
	remote := map[string]structs.Resources{}
	for id, peer := range peers {
		if id == j.c.entry.incarnation {
			continue
		}
		for team, used := range peer.TeamUse {
			remote[team] = remote[team].Add(used)
		}
	}
	for _, customer := range j.c.customers {
		if customer.Team != "" {
			j.ledger.SetRemote(customer.Team, remote[customer.Team])
		}
	}
}
