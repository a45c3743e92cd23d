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

// missingAfter is how long a VM may be without a session before its attempts
// need a proof that they have ended.
const missingAfter = 10 * time.Second

// restartKey names the attempts of one shard on one VM. They end together, when
// the permits of the shard end there.
type restartKey struct {
	vm    string
	shard uint32
}

// reportedEpoch is the member list epoch that an agent incarnation last reported.
type reportedEpoch struct {
	incarnation, epoch uint64
}

// restart gathers the proof that the attempts on a missing VM have ended.
type restart struct {
	proof  *lease.Restart
	since  time.Time
	asking bool
}

// ended are the attempts of one restartKey that were proven to have ended
// without their agent. Their starts may still be on the way to it, so the shard
// stays withheld from that agent until it has tombstoned each of them.
type ended map[structs.TaskID]structs.Token

// attached reconciles the attempts of a VM whose agent has (re)connected.
func (j *jobControl) attached(a *agentState, announce *pb.Announce) {
	j.sched.SetNode(a.node)
	j.policy.nodeChanged(a)
	for key := range j.restarts {
		if key.vm == a.node.ID {
			delete(j.restarts, key)
			j.release(key)
		}
	}
	for _, s := range j.owned {
		if s.state != nil {
			j.reconcile(s, a.node.ID)
		}
	}
}

// release renews the permits of a shard at an agent again, unless attempts
// there were restarted without the agent's confirmation.
func (j *jobControl) release(key restartKey) {
	if len(j.ended[key]) == 0 {
		delete(j.ended, key)
		j.c.verifier.Release(key.vm, key.shard)
	}
}

// confirmed records that the agent does not run an attempt and never will.
func (j *jobControl) confirmed(a *agentState, s *ownedShard, id structs.TaskID, token structs.Token) {
	key := restartKey{a.node.ID, s.id}
	if have, ok := j.ended[key][id]; ok && have.Attempt == token.Attempt {
		delete(j.ended[key], id)
		j.release(key)
	}
}

// reconcile repeats the calls that wait for an event of the VM's agent and asks
// about every attempt that is thought to run there. An agent that does not know
// an attempt tombstones it, which proves that it has ended.
func (j *jobControl) reconcile(s *ownedShard, vm string) {
	a := j.c.agents[vm]
	if a == nil {
		return
	}
	for id, token := range j.ended[restartKey{vm, s.id}] {
		j.query(a, s, id, token)
	}
	j.perform(s, s.state.Outstanding(vm))
	s.state.Active(func(id structs.TaskID, _ *structs.Job, t structs.Task) {
		if t.Worker != vm || t.State == structs.TaskPlaced && t.Incarnation == a.node.Incarnation {
			return
		}
		j.query(a, s, id, structs.Token{Generation: t.Generation, Attempt: t.Attempt})
	})
}

// query asks about an attempt; an agent that does not know it tombstones it.
func (j *jobControl) query(a *agentState, s *ownedShard, id structs.TaskID, token structs.Token) {
	j.c.post(a, &pb.Frame{Body: &pb.Frame_TaskQuery{TaskQuery: &pb.TaskQuery{
		Task: taskRef(s, id, token), Tombstone: true,
	}}})
}

// agentRemoved takes the VM out of the scheduler. Its attempts wait for a proof.
func (j *jobControl) agentRemoved(a *agentState) {
	j.sched.RemoveNode(a.node.ID)
}

// trackMissing starts to gather proofs for the attempts on VMs without a session.
func (j *jobControl) trackMissing(now time.Time) {
	for _, s := range j.owned {
		if s.state == nil || j.c.entry.now()-s.ownedAt < missingAfter {
			continue
		}
		s.state.Active(func(_ structs.TaskID, _ *structs.Job, t structs.Task) {
			if a := j.c.agents[t.Worker]; a == nil {
				j.track(s, t, now)
			}
		})
	}
}

func (j *jobControl) track(s *ownedShard, t structs.Task, now time.Time) {
	key := restartKey{t.Worker, s.id}
	if j.restarts[key] != nil {
		return
	}
	// The lowest epoch of the attempts there serves for all of them.
	epoch := j.floorOf(t)
	s.state.Active(func(_ structs.TaskID, _ *structs.Job, other structs.Task) {
		if other.Worker == t.Worker {
			epoch = min(epoch, j.floorOf(other))
		}
	})
	proof := lease.NewRestart(j.c.entry.opts.Lease, s.ownedAt, epoch)
	if renewed, ok := j.c.verifier.Withhold(t.Worker, s.id); ok {
		proof.Renewed(renewed)
	}
	j.restarts[key] = &restart{proof: proof, since: now}
	j.c.entry.opts.Log.Info("VM missing. Waiting for its permits to end.", "vm", t.Worker, "shard", s.id)
}

// floorOf is the lowest member list epoch under which an attempt can still be
// renewed by attestation: that of its placement, or a later one that the same
// agent incarnation has reported.
func (j *jobControl) floorOf(t structs.Task) uint64 {
	if last, ok := j.epochs[t.Worker]; ok && last.incarnation == t.Incarnation {
		return max(t.Epoch, last.epoch)
	}
	return t.Epoch
}

// driveRestarts asks members for their statements and restarts attempts that
// are proven to have ended.
func (j *jobControl) driveRestarts() {
	now := j.c.entry.now()
	for key, r := range j.restarts {
		s := j.owned[key.shard]
		if s == nil || s.state == nil {
			delete(j.restarts, key)
			continue
		}
		r.proof.Lists(j.readAt, j.members)
		if now >= r.proof.AskFrom() && !r.asking {
			r.asking = true
			peers := j.peersOf(r.proof.Ask())
			j.c.entry.wg.Go(func() { j.c.entry.askUnattested(key, peers) })
		}
		if r.proof.Decide(now) == lease.NoProof {
			continue
		}
		j.c.entry.opts.Log.Info("Permits ended. Restarting tasks.", "vm", key.vm, "shard", key.shard)
		j.gone(s, key)
		delete(j.restarts, key)
	}
}

func (j *jobControl) peersOf(members []string) []peerRecord {
	var out []peerRecord
	for _, m := range members {
		if p, ok := j.c.peers[m]; ok {
			out = append(out, p)
		}
	}
	return out
}

// askUnattested asks members how long ago they last attested. This entry's own
// statement counts too.
func (e *Entry) askUnattested(key restartKey, peers []peerRecord) {
	for _, peer := range peers {
		sent := e.now()
		status := e.peerStatusOf(peer)
		if status == nil {
			continue
		}
		received := e.now()
		e.do(e.ctx, func(c *control) {
			if r := c.jobs.restarts[key]; r != nil {
				r.proof.Answer(lease.Answer{
					Member: status.Entry, Sent: sent, Received: received,
					Unattested: lease.Instant(time.Duration(status.UnattestedUs) * time.Microsecond),
				})
			}
		})
	}
	e.do(e.ctx, func(c *control) {
		if r := c.jobs.restarts[key]; r != nil {
			r.asking = false
		}
	})
}

func (e *Entry) peerStatusOf(peer peerRecord) *pb.PeerStatus {
	if peer.Incarnation == e.incarnation {
		status, _ := ask(e.ctx, e, func(c *control) *pb.PeerStatus { return c.peerStatus(&pb.PeerQuery{}) })
		return status
	}
	reply, err := e.callPeer(e.ctx, peer, &pb.Frame{Body: &pb.Frame_PeerQuery{PeerQuery: &pb.PeerQuery{Entry: e.incarnation}}}, peerTimeout)
	if err != nil {
		return nil
	}
	return reply.GetPeerStatus()
}

// gone restarts every attempt of a shard on a VM.
func (j *jobControl) gone(s *ownedShard, key restartKey) {
	var events []jobs.Event
	vm := key.vm
	if j.ended[key] == nil {
		j.ended[key] = ended{}
	}
	s.state.Active(func(id structs.TaskID, _ *structs.Job, t structs.Task) {
		if t.Worker == vm {
			j.ended[key][id] = structs.Token{Generation: t.Generation, Attempt: t.Attempt}
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

// onTaskEvent applies an agent's report. It is acknowledged when its effect is
// durable; entries that do not own the shard leave it to the owner.
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
		j.confirmed(a, s, id, ev.Token)
	}
	switch status.State {
	case agent.StateRunning:
		j.policy.saved(id, now)
		ack := ev
		ack.Kind, ack.Ref = jobs.StartAcked, 0
		s.state.Apply(ack, now)
		ev.Kind = jobs.Progress
	case agent.StateEvicted:
		ev.Kind = jobs.CheckpointAcked
		if stateOf(s, id) != structs.TaskCheckpointing {
			// The agent evicts by itself when it leaves.
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
		j.policy.ended(a, id, &ev)
	}
	s.state.Apply(ev, now)
}

// onHeartbeat feeds the agent's reservations and measurements to the scheduler
// and the policy.
func (j *jobControl) onHeartbeat(a *agentState, h *pb.Heartbeat) {
	j.epochs[a.node.ID] = reportedEpoch{a.node.Incarnation, h.MembersEpoch}
	if a.load != nil {
		j.sched.SetReported(a.node.ID, resourcesOf(a.load.Reserved))
	}
	j.policy.nodeChanged(a)
	if h.UsageReported {
		j.policy.onUsage(a, h.Usage, time.Now())
	}
}

func stateOf(s *ownedShard, id structs.TaskID) structs.TaskState {
	job, err := s.state.Get(id.Job)
	if err != nil || id.Index < 0 || id.Index >= len(job.Tasks) {
		return ""
	}
	return job.Tasks[id.Index].State
}
