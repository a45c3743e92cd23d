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
	// commitInterval is the time between two writes of one shard's log.
	commitInterval = 250 * time.Millisecond
	// decisionsPerTick bounds the placements of one tick, so that a wave of
	// submissions or cancellations does not hold up other events: 200 per 50 ms
	// are far above the peak of 48 starts/s.
	decisionsPerTick = 200
	// repeatInterval is the time between two repetitions of the calls that wait
	// for an event of an agent. A call is lost when it does not fit the outbox of
	// a slow session; agents recognize repetitions by their token.
	repeatInterval = 5 * time.Second
	// settleTime is how long after its start an entry waits for agents before it
	// says that a task can never run.
	settleTime = 10 * time.Second
)

// ownedShard is a job shard that this entry owns.
type ownedShard struct {
	id         uint32
	generation uint64
	ownedAt    lease.Instant // response to the read or write that made it ours
	state      *jobs.Shard   // nil until the log is open
	log        *shardlog.Log
	busy       bool // a batch is being written
	flushed    time.Time
	failing    bool // the last write has not succeeded yet
}

// jobControl is the part of the control state that concerns jobs.
type jobControl struct {
	c        *control
	planner  *shard.Planner
	handover *shard.Handover
	owned    map[uint32]*ownedShard
	table    shard.Table
	members  []lease.MemberList
	readAt   lease.Instant // start of the read that returned members

	ledger *quota.Ledger
	sched  *scheduler.Scheduler
	policy *policy

	repeated   time.Time // when outstanding calls were last repeated
	submitters map[string][]chan<- error
	restarts   map[restartKey]*restart
	ended      map[restartKey]ended
	epochs     map[string]reportedEpoch // by VM, kept after its removal
	leaving    bool
}

func newJobControl(c *control) *jobControl {
	e := c.entry
	j := &jobControl{
		c:          c,
		planner:    shard.NewPlanner(e.opts.Ownership, e.incarnation, 0),
		handover:   shard.NewHandover(),
		owned:      map[uint32]*ownedShard{},
		table:      shard.NewTable(e.opts.Shards),
		ledger:     quota.New(),
		submitters: map[string][]chan<- error{},
		restarts:   map[restartKey]*restart{},
		ended:      map[restartKey]ended{},
		epochs:     map[string]reportedEpoch{},
	}
	j.policy, j.sched = newPolicy(j)
	return j
}

// tick writes dirty shards and makes placements.
func (j *jobControl) tick() {
	now := time.Now()
	for _, s := range j.owned {
		j.flush(s, now)
	}
	if j.leaving {
		return
	}
	j.sched.Run(now, decisionsPerTick, j)
}

func (j *jobControl) everySecond(now time.Time) {
	if j.c.entry.now() > settleTime {
		j.sched.Settle()
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
		j.makeRoom(d)
	}
	if now.Sub(j.repeated) >= repeatInterval {
		j.repeated = now
		j.repeatCalls()
	}
	j.trackMissing(now)
	j.driveRestarts()
	j.policy.everySecond(now)
}

// repeatCalls sends the calls again that still wait for an agent's event.
func (j *jobControl) repeatCalls() {
	for _, s := range j.owned {
		if s.state != nil {
			j.perform(s, s.state.Outstanding(""))
		}
	}
}

// Submit implements scheduler.Planner: it makes a decision part of the task's
// life. The start is sent when it is durable.
func (j *jobControl) Submit(d scheduler.Decision) error {
	s := j.shardOf(d.Task.ID.Job)
	if s == nil || s.state == nil {
		return errNotOwner
	}
	ev := jobs.Event{Task: d.Task.ID, Token: structs.Token{Generation: s.generation, Attempt: d.Task.Attempt}}
	switch d.Kind {
	case scheduler.Placed:
		a := j.c.agents[d.Node.ID]
		// Without a member list the end of the attempt could only be proven by
		// the hold limit.
		if a == nil || a.session == nil || j.handover.Draining(s.id) || j.c.verifier.Epoch() == 0 {
			return errNotOwner
		}
		ev.Kind, ev.Worker, ev.Incarnation, ev.Epoch = jobs.Place, d.Node.ID, a.node.Incarnation, j.c.verifier.Epoch()
		j.c.entry.metrics.placements.Add(1)
	case scheduler.CannotRun:
		ev.Kind, ev.Reason = jobs.CannotRun, d.Reason
	case scheduler.MakeRoom:
		j.makeRoom(d)
		return nil
	}
	if !s.state.Apply(ev, time.Now()) {
		return errStaleDecision
	}
	return nil
}

// makeRoom evicts batch tasks from a VM for a task that waits too long.
func (j *jobControl) makeRoom(d scheduler.Decision) {
	if d.Kind != scheduler.MakeRoom {
		return
	}
	for _, id := range j.policy.victims(d) {
		j.evict(id, "room for "+string(d.Task.QoS)+" work")
	}
}

// evict asks for a checkpoint and then the end of an attempt.
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

func (j *jobControl) shardOf(job string) *ownedShard {
	return j.owned[jobs.ShardOf(job, j.c.entry.opts.Shards)]
}

// perform carries out what has become durable.
func (j *jobControl) perform(s *ownedShard, actions []jobs.Action) {
	now := time.Now()
	for _, a := range actions {
		switch a.Kind {
		case jobs.Accepted:
			j.accepted(a.Task.Job, nil)
		case jobs.Queued:
			j.enqueue(s, a, now)
		case jobs.Unqueued:
			j.sched.Withdraw(a.Task)
		case jobs.Start:
			j.sendStart(s, a)
		case jobs.CheckpointStop:
			j.sendStop(s, a, true)
		case jobs.Stop:
			j.sendStop(s, a, false)
		case jobs.Freed:
			j.sched.Release(a.Task)
			j.policy.released(a.Task)
		case jobs.Finished:
			j.sched.Release(a.Task)
			j.policy.finished(a.Task)
		case jobs.Ack:
			if agent := j.c.agents[a.Worker]; agent != nil {
				j.c.post(agent, &pb.Frame{Body: &pb.Frame_TaskEventAck{TaskEventAck: &pb.TaskEventAck{Seq: a.Ref}}})
			}
		}
	}
}

// accepted answers the submitters of a job.
func (j *jobControl) accepted(job string, err error) {
	for _, submitter := range j.submitters[job] {
		submitter <- err
	}
	delete(j.submitters, job)
}

// enqueue hands a waiting task to the scheduler.
func (j *jobControl) enqueue(s *ownedShard, a jobs.Action, now time.Time) {
	job, err := s.state.Get(a.Task.Job)
	if err != nil {
		return
	}
	j.sched.Add(j.taskOf(job, job.Tasks[a.Task.Index], now), now)
}

func (j *jobControl) taskOf(job structs.Job, t structs.Task, now time.Time) scheduler.Task {
	failedOn := ""
	if t.Failures > 0 {
		failedOn = t.Worker
	}
	return scheduler.Task{
		FailedOn: failedOn,
		Shape:    scheduler.Shape{Template: job.Template, QoS: job.QoS, Size: j.policy.size(job)},
		ID:       structs.TaskID{Job: job.ID, Index: t.Index}, Attempt: t.Attempt, Team: job.Team,
		Expected: time.Duration(job.ExpectedMillis) * time.Millisecond, LongRunning: job.LongRunning,
		Recovered: t.Attempt > 0 && t.Evictions == 0, Enqueued: now,
	}
}

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
	j.c.post(agent, &pb.Frame{Body: &pb.Frame_TaskStart{TaskStart: &pb.TaskStart{
		Job: job.ID, Index: uint32(t.Index), Attempt: a.Token.Attempt, Shard: s.id, Generation: a.Token.Generation,
		Template: job.Template, TemplateVersion: job.TemplateVersion, Parameters: job.Parameters, Qos: string(job.QoS),
		Resources:  &pb.Resources{MilliCpu: size.MilliCPU, MemoryMb: size.MemoryMB, Accelerators: size.Accelerators},
		Checkpoint: a.Checkpoint, DurationMs: durationOf(job), Epoch: t.Epoch, Incarnation: t.Incarnation,
	}}})
}

func durationOf(job structs.Job) int64 {
	if job.LongRunning {
		return 0
	}
	return job.ExpectedMillis
}

func (j *jobControl) sendStop(s *ownedShard, a jobs.Action, checkpoint bool) {
	agent := j.c.agents[a.Worker]
	if agent == nil {
		return
	}
	j.c.post(agent, &pb.Frame{Body: &pb.Frame_TaskStop{TaskStop: &pb.TaskStop{
		Task: taskRef(s, a.Task, a.Token), Checkpoint: checkpoint, Reason: a.Reason,
	}}})
}

func taskRef(s *ownedShard, id structs.TaskID, token structs.Token) *pb.TaskRef {
	return &pb.TaskRef{Job: id.Job, Index: uint32(id.Index), Attempt: token.Attempt, Generation: token.Generation, Shard: s.id}
}

// customerChanged refreshes the quota of the customer's team. Several customers
// of a team state the same quota; the last edit holds.
func (j *jobControl) customerChanged(name string) {
	customer, ok := j.c.customers[name]
	if ok && customer.Team != "" {
		j.ledger.SetTeam(customer.Team, customer.Quota, 1)
	}
}

// teamUse returns what each team uses through this entry.
func (j *jobControl) teamUse() map[string]structs.Resources {
	use := map[string]structs.Resources{}
	for _, customer := range j.c.customers {
		if used := j.ledger.Used(customer.Team); customer.Team != "" && used != (structs.Resources{}) {
			use[customer.Team] = used
		}
	}
	return use
}

// onPeers takes over what the teams use through the other entries.
func (j *jobControl) onPeers(peers map[string]peerRecord) {
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
