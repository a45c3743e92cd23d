package explore

import (
	"fmt"
	"slices"
)

// action is the kind of a step.
type action string

const (
	advance      action = "advance 4 s, then reads and heartbeats"
	advanceOnly  action = "advance 4 s"
	advanceLong  action = "advance 12 s"
	beat         action = "heartbeat"
	takeOver     action = "take over"
	resolve      action = "resolve the latest attempt"
	place        action = "place the next attempt"
	resend       action = "repeat the start"
	join         action = "join the member list"
	trim         action = "trim the member list"
	deliver      action = "deliver"
	heal         action = "end the partition"
	storeUp      action = "store up"
	resumeEntry  action = "resume entry"
	resumeAgent  action = "resume agent"
	storeDown    action = "store down"
	partition    action = "partition"
	pauseEntry   action = "pause entry"
	pauseAgent   action = "pause agent"
	crashEntry   action = "crash entry"
	crashAgent   action = "crash agent"
	beatHeld     action = "heartbeat with delayed answer"
	readHeld     action = "table read with delayed answer"
	takeOverLost action = "take over with lost answer"
	placeLost    action = "place with lost answer"
	placeHeld    action = "place with delayed start"
	workerHeld   action = "pause agent within a call to the worker"
	duplicate    action = "deliver and keep"
	drop         action = "drop"
	suspectOwner action = "entries take an owner for lost and attest"
	trustOwner   action = "entries stop attesting for a lost owner"
)

// Step is one transition.
type Step struct {
	action action
	i, j   int
}

// String describes the step; i is an entry, message or partition, j an agent.
func (s Step) String() string { return fmt.Sprintf("%s (%d, %d)", s.action, s.i, s.j) }

// maxGeneration and maxAttempts bound the take-overs and attempts on a path.
const (
	maxGeneration = 4
	maxAttempts   = 4
	maxEpochs     = 4
)

// Steps lists the steps that are possible, always in the same order.
func (w *World) Steps() []Step {
	out := []Step{{advance, 0, 0}, {advanceOnly, 0, 0}}
	if w.o.Long {
		out = append(out, Step{advanceLong, 0, 0})
	}
	for i := range w.entries {
		out = append(out, w.entrySteps(i)...)
	}
	for n := range w.net {
		out = append(out, Step{deliver, n, 0})
	}
	if w.cut != 0 {
		out = append(out, Step{heal, 0, 0})
	}
	if !w.kv.up {
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
	if w.faults < w.o.Faults {
		out = append(out, w.faultSteps()...)
	}
	if w.o.Coarse {
		out = slices.DeleteFunc(out, func(s Step) bool { return fine[s.action] })
	}
	if len(w.o.only) > 0 {
		out = slices.DeleteFunc(out, func(s Step) bool { return !slices.Contains(w.o.only, s.action) })
	}
	return out
}

// fine are the steps that Options.Coarse leaves out.
var fine = map[action]bool{
	beat: true, beatHeld: true, readHeld: true, placeHeld: true, placeLost: true, crashEntry: true,
	resend: true, join: true, duplicate: true, drop: true,
}

func (w *World) entrySteps(i int) []Step {
	var out []Step
	e := w.entries[i]
	if e.paused {
		return []Step{{resumeEntry, i, 0}}
	}
	for j := range w.agents {
		if w.link(j, i) {
			out = append(out, Step{beat, i, j})
		}
	}
	if !w.reach(i) {
		return out
	}
	if w.canTakeOver(i) {
		out = append(out, Step{takeOver, i, 0})
	}
	if !slices.Contains(w.list().Members, e.id) && w.list().Epoch < maxEpochs {
		out = append(out, Step{join, i, 0})
	}
	if w.list().Epoch < maxEpochs && w.gone() {
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
		if e.restart == nil && e.unsure == nil && last.Generation == e.generation {
			out = append(out, Step{resend, i, last.agent})
		}
	}
	return out
}

// gone tells whether a member does not reach the store.
func (w *World) gone() bool {
	for m, e := range w.entries {
		if !w.reach(m) && slices.Contains(w.list().Members, e.id) {
			return true
		}
	}
	return false
}

func (w *World) canTakeOver(i int) bool {
	o := w.kv.table.Shards[shard0]
	return w.reach(i) && o.Owner != w.entries[i].id && o.Generation < maxGeneration
}

// faultSteps lists the faults of the specification; each counts on the path.
func (w *World) faultSteps() []Step {
	var out []Step
	if w.kv.up {
		out = append(out, Step{storeDown, 0, 0})
	}
	if !w.suspected {
		out = append(out, Step{suspectOwner, 0, 0})
	}
	if w.cut == 0 {
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
				out = append(out, Step{workerHeld, 0, j})
			}
		}
	}
	for n := range w.net {
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
		if w.link(j, i) {
			out = append(out, Step{beatHeld, i, j})
		}
	}
	if w.canTakeOver(i) {
		out = append(out, Step{takeOverLost, i, 0})
	}
	if !w.reach(i) {
		return out
	}
	out = append(out, Step{readHeld, i, 0})
	if n := len(e.log.records); n > 0 && n < maxAttempts && w.placeable(i) {
		target := 1 - e.log.records[n-1].agent
		out = append(out, Step{placeLost, i, target}, Step{placeHeld, i, target})
	}
	return out
}

// Do applies a step.
func (w *World) Do(s Step) {
	switch s.action {
	case advance, advanceOnly, advanceLong:
		w.doAdvance(s.action)
	case beat, beatHeld:
		seq := w.agents[s.j].holder.HeartbeatSent(w.local())
		w.answer(s.j, s.i, seq, s.action == beatHeld)
	case takeOver, takeOverLost:
		w.takeOver(s.i, s.action == takeOverLost)
	case resolve:
		w.resolve(s.i)
	case place, placeLost, placeHeld:
		w.place(s.i, s.j, s.action == placeLost, s.action == placeHeld)
	case resend:
		e := w.entries[s.i]
		w.send(s.i, e.log.records[len(e.log.records)-1], false)
	case join:
		w.join(s.i)
	case trim:
		w.trim(s.i)
	case readHeld:
		w.read(s.i, true)
	case deliver, duplicate, drop:
		w.doMessage(s)
	default:
		w.doProcess(s)
	}
	switch s.action {
	case storeDown, partition, pauseEntry, pauseAgent, crashEntry, crashAgent, beatHeld, readHeld,
		takeOverLost, placeLost, placeHeld, workerHeld, duplicate, drop, suspectOwner:
		w.faults++
	}
}

func (w *World) doAdvance(a action) {
	switch a {
	case advanceLong:
		w.tick(12)
	case advanceOnly:
		w.tick(4)
	default:
		w.tick(4)
		w.refresh()
	}
}

func (w *World) doMessage(s Step) {
	m := w.net[s.i]
	if s.action != duplicate {
		w.net = slices.Delete(slices.Clone(w.net), s.i, s.i+1)
	}
	if s.action != drop {
		w.deliver(m)
	}
}

// deliver hands a message to its receiver. A paused process reads it when it
// resumes; for the search that is the same as a later delivery.
func (w *World) deliver(m message) {
	switch m.kind {
	case readMessage:
		if e := w.entries[m.to]; !e.paused && e.id == m.reader {
			w.view(m.to, m)
		}
	case workerMessage:
		a := w.agents[m.to]
		if r, ok := a.running[m.attempt.Key]; ok && r.until > w.now {
			a.running[m.attempt.Key] = run{m.attempt, w.now + w.slow(m.lease)}
		}
	case ackMessage:
		if !w.agents[m.to].paused {
			w.act(m.to, w.agents[m.to].holder.Ack(w.local(), m.ack))
		}
	case startMessage:
		if !w.agents[m.to].paused {
			w.start(m.to, m.target, m.attempt)
		}
	}
}

func (w *World) doProcess(s Step) {
	switch s.action {
	case heal:
		w.cut = 0
	case partition:
		w.cut = s.i
	case suspectOwner:
		w.suspected = true
	case trustOwner:
		w.suspected = false
	case storeUp, storeDown:
		w.kv.up = s.action == storeUp
	case pauseEntry, resumeEntry:
		w.entries[s.i].paused = s.action == pauseEntry
	case crashEntry:
		w.entries[s.i] = w.newEntry(s.i, w.entries[s.i].restarts+1)
	case pauseAgent:
		w.agents[s.j].paused = true
	case resumeAgent:
		w.agents[s.j].paused = false
		w.act(s.j, w.agents[s.j].holder.Expire(w.local()))
	case crashAgent:
		w.crashAgent(s.j)
	case workerHeld:
		w.holdWorkerCall(s.j)
	}
}

// holdWorkerCall pauses the agent after it computed a worker lease and before
// the call arrives.
func (w *World) holdWorkerCall(j int) {
	a := w.agents[j]
	for _, p := range a.holder.Running() {
		d := w.o.Lease.WorkerLease(w.local(), p.Until)
		if d > 0 {
			w.net = append(slices.Clip(w.net), message{kind: workerMessage, to: j, attempt: p.Attempt, lease: d})
		}
	}
	a.paused = true
}
