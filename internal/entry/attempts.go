package entry

import (
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/internal/agent"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
	"vanillalock.example/vanillalock/internal/worker"
)

// missingVMTimeout is how long an entry that has become the owner of a shard
// waits for the agents of its attempts to connect. After that it regards a VM
// without a known agent as missing and collects proofs that the attempts there
// have ended.
const missingVMTimeout = 10 * time.Second

// vmShard identifies the attempts of one shard on one VM. They end together,
// when the permits of the shard end on that VM.
type vmShard struct {
	vm    string
	shard uint32
}

// reportedEpoch is the member list epoch last reported by an agent incarnation.
type reportedEpoch struct {
	incarnation, epoch uint64
}

// pendingRestart collects the proof that the attempts of a shard on a missing
// VM have ended, so that they may be restarted elsewhere.
type pendingRestart struct {
	proof    *lease.EndProof
	since    time.Time
	querying bool // a round of queries to the members is in progress
}

// endedAttempts holds the attempts of one vmShard that were proven to have
// ended without a confirmation of their agent. Their start commands may still
// be in transit to the agent, so the shard's permits are withheld from it until
// it has tombstoned each of them.
type endedAttempts map[structs.TaskID]structs.Token

// onAgentAttached reconciles the attempts on a VM whose agent has connected or
// reconnected.
func (j *jobControl) onAgentAttached(a *agentState, announce *pb.Announce) {
	j.sched.SetNode(a.node)
	j.policy.updateFlags(a)
	for key := range j.pendingRestarts {
		if key.vm == a.node.ID {
			delete(j.pendingRestarts, key)
			j.releasePermits(key)
		}
	}
	for _, s := range j.owned {
		if s.state != nil {
			j.reconcile(s, a.node.ID)
		}
	}
}

// releasePermits lets the permits of a shard be renewed for an agent again,
// unless attempts there were restarted without the agent's confirmation.
func (j *jobControl) releasePermits(key vmShard) {
	if len(j.unconfirmedEnds[key]) == 0 {
		delete(j.unconfirmedEnds, key)
		j.c.verifier.Release(key.vm, key.shard)
	}
}

// confirmEnded records the agent's confirmation that it does not run an attempt
// and never will.
func (j *jobControl) confirmEnded(a *agentState, s *ownedShard, id structs.TaskID, token structs.Token) {
	key := vmShard{a.node.ID, s.id}
	if have, ok := j.unconfirmedEnds[key][id]; ok && have.Attempt == token.Attempt {
		delete(j.unconfirmedEnds[key], id)
		j.releasePermits(key)
	}
}

// reconcile resends the commands that wait for an event of the VM's agent and
// queries the agent for every attempt that is recorded as running there. An
// agent that does not know an attempt tombstones it, which proves that it has
// ended.
func (j *jobControl) reconcile(s *ownedShard, vm string) {
	a := j.c.agents[vm]
	if a == nil {
		return
	}
	for id, token := range j.unconfirmedEnds[vmShard{vm, s.id}] {
		j.queryAttempt(a, s, id, token)
	}
	j.performActions(s, s.state.Outstanding(vm))
	s.state.Active(func(id structs.TaskID, _ *structs.Job, t structs.Task) {
		if t.Worker != vm || t.State == structs.TaskPlaced && t.Incarnation == a.node.Incarnation {
			return
		}
		j.queryAttempt(a, s, id, structs.Token{Generation: t.Generation, Attempt: t.Attempt})
	})
}

// queryAttempt asks an agent for the state of an attempt. An agent that does
// not know the attempt tombstones it.
func (j *jobControl) queryAttempt(a *agentState, s *ownedShard, id structs.TaskID, token structs.Token) {
	j.c.postFrame(a, &pb.Frame{Body: &pb.Frame_TaskQuery{TaskQuery: &pb.TaskQuery{
		Task: taskRef(s, id, token), Tombstone: true,
	}}})
}

// onAgentRemoved removes the VM from the scheduler. Its attempts stay recorded
// as running until there is a proof that they have ended.
func (j *jobControl) onAgentRemoved(a *agentState) {
	j.sched.RemoveNode(a.node.ID)
}

// trackMissing starts to collect proofs for the attempts on missing VMs, whose
// agent has not connected to this entry or was removed from the membership.
func (j *jobControl) trackMissing(now time.Time) {
	for _, s := range j.owned {
		if s.state == nil || j.c.entry.now()-s.ownedAt < missingVMTimeout {
			continue
		}
		s.state.Active(func(_ structs.TaskID, _ *structs.Job, t structs.Task) {
			if a := j.c.agents[t.Worker]; a == nil {
				j.trackVM(s, t, now)
			}
		})
	}
}

// trackVM starts to collect the proof that the attempts of a shard on the VM of
// t have ended, and withholds their permits from its agent.
func (j *jobControl) trackVM(s *ownedShard, t structs.Task, now time.Time) {
	key := vmShard{t.Worker, s.id}
	if j.pendingRestarts[key] != nil {
		return
	}
	// One proof covers all attempts there, so it starts from their lowest
	// epoch.
	epoch := j.minRenewableEpoch(t)
	s.state.Active(func(_ structs.TaskID, _ *structs.Job, other structs.Task) {
		if other.Worker == t.Worker {
			epoch = min(epoch, j.minRenewableEpoch(other))
		}
	})
	proof := lease.NewEndProof(j.c.entry.opts.Lease, s.ownedAt, epoch)
	if renewed, ok := j.c.verifier.Withhold(t.Worker, s.id); ok {
		proof.Renewed(renewed)
	}
	j.pendingRestarts[key] = &pendingRestart{proof: proof, since: now}
	j.c.entry.opts.Log.Info("VM missing. Waiting for its permits to end.", "vm", t.Worker, "shard", s.id)
}

// minRenewableEpoch returns the lowest member list epoch under which the permit
// of an attempt can still be renewed by attestation: the epoch of its
// placement, or a later one that the same agent incarnation has reported.
func (j *jobControl) minRenewableEpoch(t structs.Task) uint64 {
	if last, ok := j.reportedEpochs[t.Worker]; ok && last.incarnation == t.Incarnation {
		return max(t.Epoch, last.epoch)
	}
	return t.Epoch
}

// advanceRestarts queries the members whose statements the pending restarts
// need and restarts attempts that are proven to have ended.
func (j *jobControl) advanceRestarts() {
	now := j.c.entry.now()
	for key, r := range j.pendingRestarts {
		s := j.owned[key.shard]
		if s == nil || s.state == nil {
			delete(j.pendingRestarts, key)
			continue
		}
		r.proof.Lists(j.membersReadAt, j.memberLists)
		if now >= r.proof.AskFrom() && !r.querying {
			r.querying = true
			peers := j.peerRecords(r.proof.Ask())
			j.c.entry.wg.Go(func() { j.c.entry.queryUnattested(key, peers) })
		}
		if r.proof.Decide(now) == lease.NoProof {
			continue
		}
		j.c.entry.opts.Log.Info("Permits ended. Restarting tasks.", "vm", key.vm, "shard", key.shard)
		j.restartAttempts(s, key)
		delete(j.pendingRestarts, key)
	}
}

// peerRecords returns the records of those members that are live.
func (j *jobControl) peerRecords(members []string) []peerRecord {
	var out []peerRecord
	for _, m := range members {
		if p, ok := j.c.peers[m]; ok {
			out = append(out, p)
		}
	}
	return out
}

// queryUnattested queries members for the time since they last attested. The
// members may include this entry.
func (e *Entry) queryUnattested(key vmShard, peers []peerRecord) {
	for _, peer := range peers {
		sent := e.now()
		status := e.queryPeerStatus(peer)
		if status == nil {
			continue
		}
		received := e.now()
		e.postEvent(e.ctx, func(c *control) {
			if r := c.jobs.pendingRestarts[key]; r != nil {
				r.proof.Answer(lease.Answer{
					Member: status.Entry, Sent: sent, Received: received,
					Unattested: lease.Instant(time.Duration(status.UnattestedUs) * time.Microsecond),
				})
			}
		})
	}
	e.postEvent(e.ctx, func(c *control) {
		if r := c.jobs.pendingRestarts[key]; r != nil {
			r.querying = false
		}
	})
}

// queryPeerStatus returns the status of an entry, or nil if it does not answer.
func (e *Entry) queryPeerStatus(peer peerRecord) *pb.PeerStatus {
	if peer.Incarnation == e.incarnation {
		status, _ := queryControl(e.ctx, e, func(c *control) *pb.PeerStatus { return c.peerStatus(&pb.PeerQuery{}) })
		return status
	}
	reply, err := e.callPeer(e.ctx, peer, &pb.Frame{Body: &pb.Frame_PeerQuery{PeerQuery: &pb.PeerQuery{Entry: e.incarnation}}}, peerTimeout)
	if err != nil {
		return nil
	}
	return reply.GetPeerStatus()
}

// restartAttempts restarts every attempt of a shard on a VM that is proven to
// have ended.
func (j *jobControl) restartAttempts(s *ownedShard, key vmShard) {
	var events []jobs.Event
	vm := key.vm
	if j.unconfirmedEnds[key] == nil {
		j.unconfirmedEnds[key] = endedAttempts{}
	}
	s.state.Active(func(id structs.TaskID, _ *structs.Job, t structs.Task) {
		if t.Worker == vm {
			j.unconfirmedEnds[key][id] = structs.Token{Generation: t.Generation, Attempt: t.Attempt}
			events = append(events, jobs.Event{
				Kind: jobs.Gone, Task: id, Token: structs.Token{Generation: t.Generation, Attempt: t.Attempt},
				Worker: vm, Reason: "the VM is lost",
			})
		}
	})
	for _, ev := range events {
		s.state.Apply(ev, time.Now())
	}
}

// onTaskEvent applies an agent's report on an attempt. The report is
// acknowledged when its effect is durable. An entry that does not own the shard
// ignores it, and the owner handles it.
func (j *jobControl) onTaskEvent(a *agentState, te *pb.TaskEvent) {
	status := te.Status
	if status == nil || status.Task == nil {
		return
	}
	s := j.owned[status.Task.Shard]
	if s == nil || s.state == nil || j.handover.Draining(s.id) {
		return
	}
	id := structs.TaskID{Job: status.Task.Job, Index: int(status.Task.Index)}
	ev := jobs.Event{
		Task: id, Token: structs.Token{Generation: status.Task.Generation, Attempt: status.Task.Attempt},
		Worker: a.node.ID, Incarnation: a.node.Incarnation, Checkpoint: status.Checkpoint, ProgressMs: status.ProgressMs,
		Reason: status.Reason, Ref: te.Seq,
	}
	now := time.Now()
	if status.State != agent.StateRunning {
		j.confirmEnded(a, s, id, ev.Token)
	}
	switch status.State {
	case agent.StateRunning:
		j.policy.recordCheckpoint(id, now)
		ack := ev
		ack.Kind, ack.Ref = jobs.StartAcked, 0
		s.state.Apply(ack, now)
		ev.Kind = jobs.Progress
	case agent.StateEvicted:
		ev.Kind = jobs.CheckpointAcked
		if taskState(s, id) != structs.TaskCheckpointing {
			// A leaving agent evicts tasks without a request from an entry.
			ev.Kind, ev.End = jobs.Ended, worker.Stopped
		}
	case agent.StateRefused:
		ev.Kind = jobs.StartRefused
		j.c.entry.metrics.refusedStarts.Add(1)
		j.sched.Refused(id, now)
	case agent.StateGone:
		ev.Kind = jobs.Gone
	default:
		ev.Kind, ev.End = jobs.Ended, worker.State(status.State)
		j.policy.recordEnd(a, id, &ev)
	}
	s.state.Apply(ev, now)
}

// onHeartbeat passes the agent's reservations and measurements on to the
// scheduler and the policy.
func (j *jobControl) onHeartbeat(a *agentState, h *pb.Heartbeat) {
	j.reportedEpochs[a.node.ID] = reportedEpoch{a.node.Incarnation, h.MembersEpoch}
	if a.load != nil {
		j.sched.SetReported(a.node.ID, resourcesOf(a.load.Reserved))
	}
	j.policy.updateFlags(a)
	if h.UsageReported {
		j.policy.onUsage(a, h.Usage, time.Now())
	}
}

// taskState returns the state of a task, or "" if it does not exist.
func taskState(s *ownedShard, id structs.TaskID) structs.TaskState {
	job, err := s.state.Get(id.Job)
	if err != nil || id.Index < 0 || id.Index >= len(job.Tasks) {
		return ""
	}
	return job.Tasks[id.Index].State
}
