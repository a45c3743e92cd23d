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
	readMessage
	// From an entry to an agent.
	startMessage
	// From an agent to its worker.
	workerMessage
)

// message is one message in flight.
type message struct {
	kind     messageKind
	from, to int
	ack      lease.Ack
	attempt  lease.Attempt
	target   uint64        // agent incarnation of the session
	lease    time.Duration // worker lease
	// Result of a table read.
	reader     string
	at         lease.Instant
	generation uint64 // 0: not owner
	list       lease.MemberList
}

// left tells which processes the partition in force separates from the store.
func (w *World) left(isAgent bool, i int) bool {
	switch w.cut {
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

func (w *World) reach(i int) bool { return w.kv.up && !w.entries[i].paused && !w.left(false, i) }

func (w *World) link(j, i int) bool {
	return !w.agents[j].paused && !w.entries[i].paused && w.left(true, j) == w.left(false, i)
}

// tick advances the time by whole seconds. Agents that are not paused process
// expiry and extend the worker leases each second.
func (w *World) tick(seconds int) {
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
			w.act(j, a.holder.Expire(w.local()))
			for _, p := range a.holder.Running() {
				w.extend(j, p)
			}
		}
	}
}

func (w *World) act(j int, actions []lease.Action) {
	a := w.agents[j]
	for _, x := range actions {
		if x.Kind == lease.Stop {
			delete(a.running, x.Attempt.Key)
			a.holder.Stopped(w.local(), x.Attempt.Key)
			continue
		}
		w.extend(j, x)
	}
}

// extend renews the worker's lease; the worker refuses once it has lapsed.
func (w *World) extend(j int, p lease.Action) {
	a := w.agents[j]
	if _, ok := a.running[p.Attempt.Key]; !ok {
		a.holder.Stopped(w.local(), p.Attempt.Key)
		return
	}
	if d := w.o.Lease.WorkerLease(w.local(), p.Until); d > 0 {
		a.running[p.Attempt.Key] = run{p.Attempt, w.now + w.slow(d)}
	}
}

// slow is the true length of a span on a worker's clock.
func (w *World) slow(d time.Duration) time.Duration {
	if w.o.SlowAgents {
		return time.Duration(float64(d) * (1 + w.o.Lease.Drift))
	}
	return d
}

func (w *World) beatAll() {
	for j, a := range w.agents {
		if a.paused {
			continue
		}
		seq := a.holder.HeartbeatSent(w.local())
		for i := range w.entries {
			if w.link(j, i) {
				w.answer(j, i, seq, false)
			}
		}
	}
}

func (w *World) answer(j, i int, seq uint64, held bool) {
	w.release(i)
	h := w.agents[j].holder
	w.entries[i].verifier.OwnerLost(w.suspected)
	ack := w.entries[i].verifier.Ack(w.now, vm(j), seq, h.Epoch())
	if held {
		w.net = append(slices.Clip(w.net), message{kind: ackMessage, from: i, to: j, ack: ack})
		return
	}
	w.act(j, h.Ack(w.local(), ack))
}

func (w *World) list() lease.MemberList {
	l := w.kv.members.Current()
	return lease.MemberList{Epoch: l.Epoch, Members: l.Members}
}

// read reads the ownership table and the member list.
func (w *World) read(i int, held bool) {
	m := message{kind: readMessage, to: i, at: w.now, list: w.list(), reader: w.entries[i].id}
	if o := w.kv.table.Shards[shard0]; o.Owner == w.entries[i].id {
		m.generation = o.Generation
	}
	if held {
		w.net = append(slices.Clip(w.net), m)
		return
	}
	w.view(i, m)
}

// view takes over the result of a read or of an own write of the table.
func (w *World) view(i int, m message) {
	e := w.entries[i]
	e.verifier.Members(m.list)
	var owned []lease.ShardGeneration
	if m.generation > 0 {
		owned = []lease.ShardGeneration{{Shard: shard0, Generation: m.generation}}
	}
	e.verifier.Owned(m.at, w.now, owned)
	switch {
	case m.at < e.readAt:
	case m.generation == 0:
		e.owner, e.restart, e.unsure, e.owed = false, nil, nil, nil
	case !e.owner || e.generation != m.generation:
		e.owner, e.generation, e.ownedAt = true, m.generation, w.now
		e.fenced, e.restart, e.unsure, e.owed = false, nil, nil, nil
	}
	e.readAt = max(e.readAt, m.at)
}

// takeOver swaps the table and, if the answer arrives, fences and reads the log.
func (w *World) takeOver(i int, lost bool) {
	e, o := w.entries[i], w.kv.table.Shards[shard0]
	e.seq++
	c := shard.Change{Shard: shard0, From: o.Owner, To: e.id, Generation: o.Generation + 1, Kind: shard.TakeOver}
	t, err := w.kv.table.Apply(shard.Stamp{Writer: e.id, Seq: e.seq}, []shard.Change{c})
	if err != nil {
		w.err = err
		return
	}
	w.kv.table, w.kv.version = t, w.kv.version+1
	if !lost {
		w.read(i, false)
		w.fence(i)
	}
}

// fence writes the generation at the tail of the log and reads the log.
func (w *World) fence(i int) {
	e, p := w.entries[i], &w.kv.page
	if p.fence > e.generation {
		e.owner = false
		return
	}
	e.seq++
	p.fence, p.version, p.stamp = e.generation, p.version+1, shard.Stamp{Writer: e.id, Seq: e.seq}
	e.log, e.fenced = *p, true
}

// resolve gathers proof that the latest attempt has ended.
func (w *World) resolve(i int) {
	e := w.entries[i]
	if !e.fenced {
		w.fence(i)
		return
	}
	if e.unsure != nil {
		w.readBack(i)
		return
	}
	rec := e.log.records[len(e.log.records)-1]
	if e.restart == nil {
		e.restart = lease.NewRestart(w.o.Lease, e.ownedAt, rec.Epoch)
		if at, ok := e.verifier.Withhold(vm(rec.agent), shard0); ok {
			e.restart.Renewed(at)
		}
	}
	if w.link(rec.agent, i) {
		w.confirm(rec, e.restart)
		return
	}
	w.ask(i, rec.Epoch)
}

func (w *World) confirm(rec record, r *lease.Restart) {
	h := w.agents[rec.agent].holder
	actions, ok := h.Tombstone(w.local(), rec.Key)
	w.act(rec.agent, actions)
	if !ok {
		_, ok = h.Tombstone(w.local(), rec.Key)
	}
	if ok {
		r.Confirm()
	}
}

// ask asks the members that are reachable and reads their lists again.
func (w *World) ask(i int, floor uint64) {
	r := w.entries[i].restart
	for m, other := range w.entries {
		if m != i && (other.paused || w.left(false, m) != w.left(false, i)) {
			continue
		}
		r.Answer(lease.Answer{Member: other.id, Sent: w.now, Received: w.now, Unattested: other.verifier.Unattested(w.now)})
	}
	if w.o.ReadListsOnce && len(r.Ask()) > 0 {
		return
	}
	kept, _ := w.kv.members.Since(floor)
	var lists []lease.MemberList
	for _, l := range kept {
		lists = append(lists, lease.MemberList{Epoch: l.Epoch, Members: l.Members})
	}
	r.Lists(w.now, lists)
}

// readBack resolves a log write whose answer was lost.
func (w *World) readBack(i int) {
	e := w.entries[i]
	rec := *e.unsure
	mine := shard.Stamp{Writer: e.id, Seq: e.seq}
	if shard.Resolve(w.kv.page.stamp, w.kv.page.version, mine, e.log.version) != shard.Applied {
		e.owner, e.unsure = false, nil
		return
	}
	e.log, e.unsure = w.kv.page, nil
	w.send(i, rec, false)
}

// placeable tells whether the entry may start another attempt.
func (w *World) placeable(i int) bool {
	e := w.entries[i]
	if !e.owner || !e.fenced || e.unsure != nil {
		return false
	}
	return len(e.log.records) == 0 || e.restart != nil && e.restart.Decide(w.now) != lease.NoProof
}

// place writes the record of the next attempt and sends its start.
func (w *World) place(i, j int, lost, held bool) {
	e, p := w.entries[i], &w.kv.page
	if p.version != e.log.version && !w.o.NoFence {
		e.owner = false
		return
	}
	rec := record{agent: j, target: w.agents[j].incarnation, Attempt: lease.Attempt{
		Key:   lease.Key{Task: task, Attempt: uint64(len(e.log.records) + 1)},
		Shard: shard0, Generation: e.generation, Epoch: e.verifier.Epoch(),
	}}
	if n := len(e.log.records); n > 0 {
		last := e.log.records[n-1]
		e.owed = append(slices.Clip(e.owed), last)
		if e.restart.Decide(w.now) == lease.Confirmed || w.o.ReleaseEarly {
			w.settled(e, last)
		}
	}
	e.seq++
	p.records = append(slices.Clip(p.records), rec)
	p.version, p.stamp = p.version+1, shard.Stamp{Writer: e.id, Seq: e.seq}
	e.restart = nil
	if lost {
		e.unsure = &rec
		return
	}
	e.log = *p
	w.send(i, rec, held)
}

// release tombstones the attempts owed whose agents are reachable.
func (w *World) release(i int) {
	e := w.entries[i]
	for _, rec := range slices.Clone(e.owed) {
		if w.link(rec.agent, i) {
			w.confirm(rec, lease.NewRestart(w.o.Lease, 0, 0))
			w.settled(e, rec)
		}
	}
}

// settled ends the withholding at an agent that tombstoned all attempts owed.
func (w *World) settled(e *entry, rec record) {
	e.owed = slices.DeleteFunc(slices.Clone(e.owed), func(r record) bool { return r.Key == rec.Key })
	if !slices.ContainsFunc(e.owed, func(r record) bool { return r.agent == rec.agent }) {
		e.verifier.Release(vm(rec.agent), shard0)
	}
}

func (w *World) send(i int, rec record, held bool) {
	if w.o.AnyIncarnation {
		rec.target = w.agents[rec.agent].incarnation
	}
	if held {
		w.net = append(slices.Clip(w.net), message{kind: startMessage, from: i, to: rec.agent, attempt: rec.Attempt, target: rec.target})
		return
	}
	if w.link(rec.agent, i) {
		w.start(rec.agent, rec.target, rec.Attempt)
	}
}

func (w *World) start(j int, target uint64, a lease.Attempt) {
	ag := w.agents[j]
	actions, err := ag.holder.Start(w.local(), target, a)
	if err == nil {
		p := actions[len(actions)-1]
		actions = actions[:len(actions)-1]
		if d := w.o.Lease.WorkerLease(w.local(), p.Until); d > 0 {
			w.started[a.Key.Attempt]++
			ag.running[a.Key] = run{a, w.now + w.slow(d)}
		}
	}
	w.act(j, actions)
}

func (w *World) crashAgent(j int) {
	a := w.agents[j]
	a.incarnation++
	a.paused = false
	a.holder = lease.NewHolder(w.o.Lease, a.incarnation)
	for _, r := range a.running {
		a.holder.Adopt(w.local(), r.attempt)
	}
	a.holder.Adopted()
}

// join puts the entry's incarnation into the member list in place of an earlier one.
func (w *World) join(i int) {
	e := w.entries[i]
	next := []string{e.id}
	for _, m := range w.kv.members.Current().Members {
		if m[:2] != e.id[:2] {
			next = append(next, m)
		}
	}
	e.seq++
	w.kv.members, _ = w.kv.members.With(shard.Stamp{Writer: e.id, Seq: e.seq}, next, 0)
	w.read(i, false)
}

// trim sets the member list to the entries that reach the store.
func (w *World) trim(i int) {
	var live []string
	for m, e := range w.entries {
		if w.reach(m) {
			live = append(live, e.id)
		}
	}
	e := w.entries[i]
	e.seq++
	w.kv.members, _ = w.kv.members.With(shard.Stamp{Writer: e.id, Seq: e.seq}, live, 0)
	w.read(i, false)
}
