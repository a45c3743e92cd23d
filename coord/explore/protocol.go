package explore

import (
	"slices"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
)

type messageKind uint8

const (
	// From an entry to an agent.
	ackMessage messageKind = iota + 1
	// From the store to an entry.
	readResult
	// From an entry to an agent.
	startMessage
	// From an agent to its worker.
	workerMessage
)

// message is a delayed message in flight.
type message struct {
	kind        messageKind
	from, to    int
	ack         lease.Ack
	attempt     lease.Attempt
	target      uint64        // agent incarnation of the session
	workerLease time.Duration // duration of the lease in a worker call
	// Result of a table read:
	reader     string
	readAt     lease.Instant
	generation uint64 // 0: not owner
	members    lease.MemberList
}

// cutOff reports whether the current partition separates agent or entry i from
// the store. The partitions cut off:
//
//	1: entry 0 and agent 0
//	2: entries 0 and 1 and agent 0
//	3: agent 0
//	4: entries 0 and 1 and agent 1
func (w *World) cutOff(isAgent bool, i int) bool {
	switch w.partition {
	case 1:
		return i == 0
	case 2:
		return i == 0 || !isAgent && i == 1
	case 4:
		return isAgent && i == 1 || !isAgent && i < 2
	case 3:
		return isAgent && i == 0
	}
	return false
}

// reachesStore reports whether entry i can call the store.
func (w *World) reachesStore(i int) bool {
	return w.store.up && !w.entries[i].paused && !w.cutOff(false, i)
}

// connected reports whether agent j and entry i can exchange messages now.
func (w *World) connected(j, i int) bool {
	return !w.agents[j].paused && !w.entries[i].paused && w.cutOff(true, j) == w.cutOff(false, i)
}

// advanceSeconds advances the time in steps of one second. After each, the agents
// that are not paused expire permits and extend the worker leases.
func (w *World) advanceSeconds(seconds int) {
	for range seconds {
		w.now += time.Second
		for j, a := range w.agents {
			for k, r := range a.running {
				if r.until <= w.now {
					delete(a.running, k)
				}
			}
			if a.paused {
				continue
			}
			w.applyActions(j, a.holder.Expire(w.agentClock()))
			for _, p := range a.holder.Running() {
				w.extendWorkerLease(j, p)
			}
		}
	}
}

// applyActions performs the actions of agent j's holder at its worker.
func (w *World) applyActions(j int, actions []lease.Action) {
	a := w.agents[j]
	for _, x := range actions {
		if x.Kind == lease.Stop {
			delete(a.running, x.Attempt.Key)
			a.holder.Stopped(w.agentClock(), x.Attempt.Key)
			continue
		}
		w.extendWorkerLease(j, x)
	}
}

// extendWorkerLease renews the lease of an attempt at agent j's worker. The worker
// refuses if the lease has expired.
func (w *World) extendWorkerLease(j int, p lease.Action) {
	a := w.agents[j]
	if _, ok := a.running[p.Attempt.Key]; !ok {
		a.holder.Stopped(w.agentClock(), p.Attempt.Key)
		return
	}
	if d := w.opts.Lease.WorkerLease(w.agentClock(), p.Until); d > 0 {
		a.running[p.Attempt.Key] = workerRun{p.Attempt, w.now + w.trueDuration(d)}
	}
}

// trueDuration converts a duration on a worker's clock to global time.
func (w *World) trueDuration(d time.Duration) time.Duration {
	if w.opts.SlowAgents {
		return time.Duration(float64(d) * (1 + w.opts.Lease.Drift))
	}
	return d
}

// heartbeatAll sends a heartbeat from every agent to the entries connected to it.
func (w *World) heartbeatAll() {
	for j, a := range w.agents {
		if a.paused {
			continue
		}
		seq := a.holder.HeartbeatSent(w.agentClock())
		for i := range w.entries {
			if w.connected(j, i) {
				w.answerHeartbeat(j, i, seq, false)
			}
		}
	}
}

// answerHeartbeat lets entry i answer heartbeat seq of agent j. A delayed answer
// stays in flight.
func (w *World) answerHeartbeat(j, i int, seq uint64, delayed bool) {
	w.tombstonePending(i)
	h := w.agents[j].holder
	w.entries[i].verifier.SetOwnerLost(w.suspected)
	ack := w.entries[i].verifier.Ack(w.now, agentName(j), seq, h.Epoch())
	if delayed {
		w.inFlight = append(slices.Clip(w.inFlight), message{kind: ackMessage, from: i, to: j, ack: ack})
		return
	}
	w.applyActions(j, h.Ack(w.agentClock(), ack))
}

// memberList returns the current member list of the store.
func (w *World) memberList() lease.MemberList {
	l := w.store.members.Current()
	return lease.MemberList{Epoch: l.Epoch, Members: l.Members}
}

// read reads the ownership table and the member list at entry i. A delayed result
// stays in flight.
func (w *World) read(i int, delayed bool) {
	m := message{kind: readResult, to: i, readAt: w.now, members: w.memberList(), reader: w.entries[i].id}
	if o := w.store.table.Shards[shard0]; o.Owner == w.entries[i].id {
		m.generation = o.Generation
	}
	if delayed {
		w.inFlight = append(slices.Clip(w.inFlight), m)
		return
	}
	w.applyRead(i, m)
}

// applyRead updates entry i with the result of a read of the table, or of its own
// write.
func (w *World) applyRead(i int, m message) {
	e := w.entries[i]
	e.verifier.SetMembers(m.members)
	var owned []lease.ShardGeneration
	if m.generation > 0 {
		owned = []lease.ShardGeneration{{Shard: shard0, Generation: m.generation}}
	}
	e.verifier.SetOwned(m.readAt, w.now, owned)
	switch {
	case m.readAt < e.readAt:
	case m.generation == 0:
		e.owner, e.endProof, e.unresolved, e.pendingTombstones = false, nil, nil, nil
	case !e.owner || e.generation != m.generation:
		e.owner, e.generation, e.ownedAt = true, m.generation, w.now
		e.fenced, e.endProof, e.unresolved, e.pendingTombstones = false, nil, nil, nil
	}
	e.readAt = max(e.readAt, m.readAt)
}

// takeOver makes entry i the owner by a compare-and-swap of the table. Unless the
// answer is lost, the entry then fences and reads the log.
func (w *World) takeOver(i int, answerLost bool) {
	e, o := w.entries[i], w.store.table.Shards[shard0]
	e.seq++
	c := shard.Change{Shard: shard0, From: o.Owner, To: e.id, Generation: o.Generation + 1, Kind: shard.TakeOver}
	t, err := w.store.table.Apply(shard.Stamp{Writer: e.id, Seq: e.seq}, []shard.Change{c})
	if err != nil {
		w.failure = err
		return
	}
	w.store.table, w.store.version = t, w.store.version+1
	if !answerLost {
		w.read(i, false)
		w.fence(i)
	}
}

// fence appends entry i's generation to the log, so that writes of earlier owners
// fail, and reads the log.
func (w *World) fence(i int) {
	e, p := w.entries[i], &w.store.page
	if p.fence > e.generation {
		e.owner = false
		return
	}
	e.seq++
	p.fence, p.version, p.stamp = e.generation, p.version+1, shard.Stamp{Writer: e.id, Seq: e.seq}
	e.log, e.fenced = *p, true
}

// resolve performs entry i's next step towards a proof that the latest attempt has
// ended.
func (w *World) resolve(i int) {
	e := w.entries[i]
	if !e.fenced {
		w.fence(i)
		return
	}
	if e.unresolved != nil {
		w.readBack(i)
		return
	}
	rec := e.log.records[len(e.log.records)-1]
	if e.endProof == nil {
		e.endProof = lease.NewEndProof(w.opts.Lease, e.ownedAt, rec.Epoch)
		if at, ok := e.verifier.Withhold(agentName(rec.agent), shard0); ok {
			e.endProof.Renewed(at)
		}
	}
	if w.connected(rec.agent, i) {
		w.tombstone(rec, e.endProof)
		return
	}
	w.askMembers(i, rec.Epoch)
}

// tombstone asks the agent to tombstone the attempt and records its confirmation.
func (w *World) tombstone(rec attemptRecord, r *lease.EndProof) {
	h := w.agents[rec.agent].holder
	actions, ok := h.Tombstone(w.agentClock(), rec.Key)
	w.applyActions(rec.agent, actions)
	if !ok {
		_, ok = h.Tombstone(w.agentClock(), rec.Key)
	}
	if ok {
		r.Confirm()
	}
}

// askMembers asks the reachable members about their attestations and reads the
// member lists from floor again.
func (w *World) askMembers(i int, floor uint64) {
	r := w.entries[i].endProof
	for m, other := range w.entries {
		if m != i && (other.paused || w.cutOff(false, m) != w.cutOff(false, i)) {
			continue
		}
		r.Answer(lease.Answer{Member: other.id, Sent: w.now, Received: w.now, Unattested: other.verifier.Unattested(w.now)})
	}
	if w.opts.ReadListsOnce && len(r.Ask()) > 0 {
		return
	}
	kept, _ := w.store.members.Since(floor)
	var lists []lease.MemberList
	for _, l := range kept {
		lists = append(lists, lease.MemberList{Epoch: l.Epoch, Members: l.Members})
	}
	r.Lists(w.now, lists)
}

// readBack resolves a log write whose answer was lost.
func (w *World) readBack(i int) {
	e := w.entries[i]
	rec := *e.unresolved
	mine := shard.Stamp{Writer: e.id, Seq: e.seq}
	if shard.Resolve(w.store.page.stamp, w.store.page.version, mine, e.log.version) != shard.Applied {
		e.owner, e.unresolved = false, nil
		return
	}
	e.log, e.unresolved = w.store.page, nil
	w.sendStart(i, rec, false)
}

// placeable reports whether entry i may start another attempt.
func (w *World) placeable(i int) bool {
	e := w.entries[i]
	if !e.owner || !e.fenced || e.unresolved != nil {
		return false
	}
	return len(e.log.records) == 0 || e.endProof != nil && e.endProof.Decide(w.now) != lease.NoProof
}

// place writes the log record of the next attempt at agent j and sends the start.
func (w *World) place(i, j int, answerLost, startDelayed bool) {
	e, p := w.entries[i], &w.store.page
	if p.version != e.log.version && !w.opts.NoFence {
		e.owner = false
		return
	}
	rec := attemptRecord{agent: j, target: w.agents[j].incarnation, Attempt: lease.Attempt{
		Key:   lease.Key{Task: task, Attempt: uint64(len(e.log.records) + 1)},
		Shard: shard0, Generation: e.generation, Epoch: e.verifier.Epoch(),
	}}
	if n := len(e.log.records); n > 0 {
		last := e.log.records[n-1]
		e.pendingTombstones = append(slices.Clip(e.pendingTombstones), last)
		if e.endProof.Decide(w.now) == lease.Confirmed || w.opts.ReleaseEarly {
			w.recordTombstoned(e, last)
		}
	}
	e.seq++
	p.records = append(slices.Clip(p.records), rec)
	p.version, p.stamp = p.version+1, shard.Stamp{Writer: e.id, Seq: e.seq}
	e.endProof = nil
	if answerLost {
		e.unresolved = &rec
		return
	}
	e.log = *p
	w.sendStart(i, rec, startDelayed)
}

// tombstonePending tombstones entry i's pending attempts at the reachable agents.
func (w *World) tombstonePending(i int) {
	e := w.entries[i]
	for _, rec := range slices.Clone(e.pendingTombstones) {
		if w.connected(rec.agent, i) {
			w.tombstone(rec, lease.NewEndProof(w.opts.Lease, 0, 0))
			w.recordTombstoned(e, rec)
		}
	}
}

// recordTombstoned removes a pending attempt. If its agent has no other one, the
// shard is no longer withheld from the agent.
func (w *World) recordTombstoned(e *entry, rec attemptRecord) {
	e.pendingTombstones = slices.DeleteFunc(slices.Clone(e.pendingTombstones), func(r attemptRecord) bool { return r.Key == rec.Key })
	if !slices.ContainsFunc(e.pendingTombstones, func(r attemptRecord) bool { return r.agent == rec.agent }) {
		e.verifier.Release(agentName(rec.agent), shard0)
	}
}

// sendStart sends the start of an attempt from entry i. A delayed start stays in
// flight.
func (w *World) sendStart(i int, rec attemptRecord, delayed bool) {
	if w.opts.AnyIncarnation {
		rec.target = w.agents[rec.agent].incarnation
	}
	if delayed {
		w.inFlight = append(slices.Clip(w.inFlight), message{kind: startMessage, from: i, to: rec.agent, attempt: rec.Attempt, target: rec.target})
		return
	}
	if w.connected(rec.agent, i) {
		w.deliverStart(rec.agent, rec.target, rec.Attempt)
	}
}

// deliverStart hands a start to agent j, which starts the attempt at its worker if
// its holder accepts it.
func (w *World) deliverStart(j int, target uint64, a lease.Attempt) {
	ag := w.agents[j]
	actions, err := ag.holder.Start(w.agentClock(), target, a)
	if err == nil {
		p := actions[len(actions)-1]
		actions = actions[:len(actions)-1]
		if d := w.opts.Lease.WorkerLease(w.agentClock(), p.Until); d > 0 {
			w.startCounts[a.Key.Attempt]++
			ag.running[a.Key] = workerRun{a, w.now + w.trueDuration(d)}
		}
	}
	w.applyActions(j, actions)
}

// crashAgent replaces agent j by a new incarnation that adopts the attempts of the
// worker.
func (w *World) crashAgent(j int) {
	a := w.agents[j]
	a.incarnation++
	a.paused = false
	a.holder = lease.NewHolder(w.opts.Lease, a.incarnation)
	for _, r := range a.running {
		a.holder.Adopt(w.agentClock(), r.attempt)
	}
	a.holder.Adopted()
}

// join replaces earlier incarnations of entry i in the member list by the current
// one.
func (w *World) join(i int) {
	e := w.entries[i]
	next := []string{e.id}
	for _, m := range w.store.members.Current().Members {
		if m[:2] != e.id[:2] {
			next = append(next, m)
		}
	}
	e.seq++
	w.store.members, _ = w.store.members.With(shard.Stamp{Writer: e.id, Seq: e.seq}, next, 0)
	w.read(i, false)
}

// trimMembers sets the member list to the entries that reach the store.
func (w *World) trimMembers(i int) {
	var live []string
	for m, e := range w.entries {
		if w.reachesStore(m) {
			live = append(live, e.id)
		}
	}
	e := w.entries[i]
	e.seq++
	w.store.members, _ = w.store.members.With(shard.Stamp{Writer: e.id, Seq: e.seq}, live, 0)
	w.read(i, false)
}
