package explore

import (
	"fmt"
	"slices"
)

// action is the kind of a step. Its value is the description in a trace.
type action string

const (
	advance           action = "advance 4 s, then reads and heartbeats"
	advanceOnly       action = "advance 4 s"
	advanceLong       action = "advance 12 s"
	heartbeat         action = "heartbeat"
	takeOver          action = "take over"
	resolve           action = "resolve the latest attempt"
	place             action = "place the next attempt"
	resend            action = "repeat the start"
	join              action = "join the member list"
	trim              action = "trim the member list"
	deliver           action = "deliver"
	heal              action = "end partition"
	storeUp           action = "store up"
	resumeEntry       action = "resume entry"
	resumeAgent       action = "resume agent"
	storeDown         action = "store down"
	partition         action = "partition"
	pauseEntry        action = "pause entry"
	pauseAgent        action = "pause agent"
	crashEntry        action = "crash entry"
	crashAgent        action = "crash agent"
	heartbeatDelayed  action = "heartbeat with delayed answer"
	readDelayed       action = "table read with delayed answer"
	takeOverLost      action = "take over with lost answer"
	placeLost         action = "place with lost answer"
	placeDelayed      action = "place with delayed start"
	workerCallDelayed action = "pause agent during a call to the worker"
	duplicate         action = "deliver and keep a copy"
	drop              action = "drop"
	suspectOwner      action = "entries consider an owner lost and attest"
	trustOwner        action = "entries stop attesting for a lost owner"
)

// Step is one transition of a World.
type Step struct {
	action action
	i, j   int
}

// String returns the action with its arguments: the number of an entry, message
// or partition, and the number of an agent.
func (s Step) String() string { return fmt.Sprintf("%s (%d, %d)", s.action, s.i, s.j) }

// Limits of the takeovers, attempts and member list epochs on a path.
const (
	maxGeneration = 4
	maxAttempts   = 4
	maxEpochs     = 4
)

// Steps returns the steps that are possible now, in a fixed order.
func (w *World) Steps() []Step {
	out := []Step{{advance, 0, 0}, {advanceOnly, 0, 0}}
	if w.opts.Long {
		out = append(out, Step{advanceLong, 0, 0})
	}
	for i := range w.entries {
		out = append(out, w.entrySteps(i)...)
	}
	for n := range w.inFlight {
		out = append(out, Step{deliver, n, 0})
	}
	if w.partition != 0 {
		out = append(out, Step{heal, 0, 0})
	}
	if !w.store.up {
		out = append(out, Step{storeUp, 0, 0})
	}
	if w.suspected {
		out = append(out, Step{trustOwner, 0, 0})
	}
	for j, a := range w.agents {
		if a.paused {
			out = append(out, Step{resumeAgent, 0, j})
		}
	}
	if w.faults < w.opts.Faults {
		out = append(out, w.faultSteps()...)
	}
	if w.opts.Coarse {
		out = slices.DeleteFunc(out, func(s Step) bool { return fineSteps[s.action] })
	}
	if len(w.opts.only) > 0 {
		out = slices.DeleteFunc(out, func(s Step) bool { return !slices.Contains(w.opts.only, s.action) })
	}
	return out
}

// fineSteps are the steps that Options.Coarse leaves out.
var fineSteps = map[action]bool{
	heartbeat: true, heartbeatDelayed: true, readDelayed: true, placeDelayed: true, placeLost: true, crashEntry: true,
	resend: true, join: true, duplicate: true, drop: true,
}

// entrySteps returns the possible steps of entry i that are not faults.
func (w *World) entrySteps(i int) []Step {
	var out []Step
	e := w.entries[i]
	if e.paused {
		return []Step{{resumeEntry, i, 0}}
	}
	for j := range w.agents {
		if w.connected(j, i) {
			out = append(out, Step{heartbeat, i, j})
		}
	}
	if !w.reachesStore(i) {
		return out
	}
	if w.canTakeOver(i) {
		out = append(out, Step{takeOver, i, 0})
	}
	if !slices.Contains(w.memberList().Members, e.id) && w.memberList().Epoch < maxEpochs {
		out = append(out, Step{join, i, 0})
	}
	if w.memberList().Epoch < maxEpochs && w.memberUnreachable() {
		out = append(out, Step{trim, i, 0})
	}
	if !e.owner {
		return out
	}
	out = append(out, Step{resolve, i, 0})
	if n := len(e.log.records); e.fenced && n > 0 && n < maxAttempts {
		last := e.log.records[n-1]
		if w.placeable(i) {
			out = append(out, Step{place, i, 1 - last.agent})
		}
		if e.endProof == nil && e.unresolved == nil && last.Generation == e.generation {
			out = append(out, Step{resend, i, last.agent})
		}
	}
	return out
}

// memberUnreachable reports whether a member does not reach the store.
func (w *World) memberUnreachable() bool {
	for m, e := range w.entries {
		if !w.reachesStore(m) && slices.Contains(w.memberList().Members, e.id) {
			return true
		}
	}
	return false
}

// canTakeOver reports whether entry i reaches the store and another takeover by it
// is within the limits.
func (w *World) canTakeOver(i int) bool {
	o := w.store.table.Shards[shard0]
	return w.reachesStore(i) && o.Owner != w.entries[i].id && o.Generation < maxGeneration
}

// faultSteps returns the possible faults. Each one counts towards Options.Faults.
func (w *World) faultSteps() []Step {
	var out []Step
	if w.store.up {
		out = append(out, Step{storeDown, 0, 0})
	}
	if !w.suspected {
		out = append(out, Step{suspectOwner, 0, 0})
	}
	if w.partition == 0 {
		out = append(out, Step{partition, 1, 0}, Step{partition, 2, 0}, Step{partition, 3, 0}, Step{partition, 4, 0})
	}
	for i, e := range w.entries {
		out = append(out, w.entryFaults(i, e)...)
	}
	for j, a := range w.agents {
		out = append(out, Step{crashAgent, 0, j})
		if !a.paused {
			out = append(out, Step{pauseAgent, 0, j})
			if len(a.holder.Running()) > 0 {
				out = append(out, Step{workerCallDelayed, 0, j})
			}
		}
	}
	for n := range w.inFlight {
		out = append(out, Step{duplicate, n, 0}, Step{drop, n, 0})
	}
	return out
}

func (w *World) entryFaults(i int, e *entry) []Step {
	out := []Step{{crashEntry, i, 0}}
	if e.paused {
		return out
	}
	out = append(out, Step{pauseEntry, i, 0})
	for j := range w.agents {
		if w.connected(j, i) {
			out = append(out, Step{heartbeatDelayed, i, j})
		}
	}
	if w.canTakeOver(i) {
		out = append(out, Step{takeOverLost, i, 0})
	}
	if !w.reachesStore(i) {
		return out
	}
	out = append(out, Step{readDelayed, i, 0})
	if n := len(e.log.records); n > 0 && n < maxAttempts && w.placeable(i) {
		target := 1 - e.log.records[n-1].agent
		out = append(out, Step{placeLost, i, target}, Step{placeDelayed, i, target})
	}
	return out
}

// Apply performs a step.
func (w *World) Apply(s Step) {
	switch s.action {
	case advance, advanceOnly, advanceLong:
		w.applyAdvance(s.action)
	case heartbeat, heartbeatDelayed:
		seq := w.agents[s.j].holder.HeartbeatSent(w.agentClock())
		w.answerHeartbeat(s.j, s.i, seq, s.action == heartbeatDelayed)
	case takeOver, takeOverLost:
		w.takeOver(s.i, s.action == takeOverLost)
	case resolve:
		w.resolve(s.i)
	case place, placeLost, placeDelayed:
		w.place(s.i, s.j, s.action == placeLost, s.action == placeDelayed)
	case resend:
		e := w.entries[s.i]
		w.sendStart(s.i, e.log.records[len(e.log.records)-1], false)
	case join:
		w.join(s.i)
	case trim:
		w.trimMembers(s.i)
	case readDelayed:
		w.read(s.i, true)
	case deliver, duplicate, drop:
		w.applyMessageStep(s)
	default:
		w.applyProcessStep(s)
	}
	switch s.action {
	case storeDown, partition, pauseEntry, pauseAgent, crashEntry, crashAgent, heartbeatDelayed, readDelayed,
		takeOverLost, placeLost, placeDelayed, workerCallDelayed, duplicate, drop, suspectOwner:
		w.faults++
	}
}

func (w *World) applyAdvance(a action) {
	switch a {
	case advanceLong:
		w.advanceSeconds(12)
	case advanceOnly:
		w.advanceSeconds(4)
	default:
		w.advanceSeconds(4)
		w.refreshEntries()
	}
}

func (w *World) applyMessageStep(s Step) {
	m := w.inFlight[s.i]
	if s.action != duplicate {
		w.inFlight = slices.Delete(slices.Clone(w.inFlight), s.i, s.i+1)
	}
	if s.action != drop {
		w.deliver(m)
	}
}

// deliver hands a message to its receiver. A paused receiver gets nothing: a
// message that it reads when it resumes is covered by a later delivery.
func (w *World) deliver(m message) {
	switch m.kind {
	case readResult:
		if e := w.entries[m.to]; !e.paused && e.id == m.reader {
			w.applyRead(m.to, m)
		}
	case workerMessage:
		a := w.agents[m.to]
		if r, ok := a.running[m.attempt.Key]; ok && r.until > w.now {
			a.running[m.attempt.Key] = workerRun{m.attempt, w.now + w.trueDuration(m.workerLease)}
		}
	case ackMessage:
		if !w.agents[m.to].paused {
			w.applyActions(m.to, w.agents[m.to].holder.Ack(w.agentClock(), m.ack))
		}
	case startMessage:
		if !w.agents[m.to].paused {
			w.deliverStart(m.to, m.target, m.attempt)
		}
	}
}

func (w *World) applyProcessStep(s Step) {
	switch s.action {
	case heal:
		w.partition = 0
	case partition:
		w.partition = s.i
	case suspectOwner:
		w.suspected = true
	case trustOwner:
		w.suspected = false
	case storeUp, storeDown:
		w.store.up = s.action == storeUp
	case pauseEntry, resumeEntry:
		w.entries[s.i].paused = s.action == pauseEntry
	case crashEntry:
		w.entries[s.i] = w.newEntry(s.i, w.entries[s.i].restarts+1)
	case pauseAgent:
		w.agents[s.j].paused = true
	case resumeAgent:
		w.agents[s.j].paused = false
		w.applyActions(s.j, w.agents[s.j].holder.Expire(w.agentClock()))
	case crashAgent:
		w.crashAgent(s.j)
	case workerCallDelayed:
		w.delayWorkerCall(s.j)
	}
}

// delayWorkerCall pauses agent j after it has computed its worker leases and
// before the calls arrive.
func (w *World) delayWorkerCall(j int) {
	a := w.agents[j]
	for _, p := range a.holder.Running() {
		d := w.opts.Lease.WorkerLease(w.agentClock(), p.Until)
		if d > 0 {
			w.inFlight = append(slices.Clip(w.inFlight), message{kind: workerMessage, to: j, attempt: p.Attempt, workerLease: d})
		}
	}
	a.paused = true
}
