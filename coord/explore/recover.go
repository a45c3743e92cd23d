package explore

import (
	"errors"
	"slices"
)

// ErrStuck means that the task did not run again after all faults had ended.
var ErrStuck = errors.New("the task does not resume")

// maxRecoverRounds is the maximum number of rounds of Recover, of 4 s each.
const maxRecoverRounds = 24

// Recover ends all faults and continues until the task has run in one place for
// several rounds. It returns ErrStuck if that does not happen.
func (w *World) Recover() error {
	w.store.up, w.partition, w.inFlight, w.faults, w.suspected = true, 0, nil, 0, false
	for _, e := range w.entries {
		e.paused = false
	}
	for _, a := range w.agents {
		a.paused = false
	}
	stableRounds := 0
	for range maxRecoverRounds {
		w.advanceSeconds(4)
		w.refreshEntries()
		if err := w.Check(); err != nil {
			return err
		}
		if stableRounds = w.driveOwner(stableRounds); stableRounds > 3 {
			return nil
		}
	}
	return ErrStuck
}

// driveOwner performs the owner's next step towards a running task. It returns
// stableRounds+1 if the task already runs in one place, or else 0.
func (w *World) driveOwner(stableRounds int) int {
	i := slices.IndexFunc(w.entries, func(e *entry) bool { return e.id == w.store.table.Shards[shard0].Owner })
	if i < 0 {
		w.takeOver(0, false)
		return 0
	}
	e := w.entries[i]
	if !e.fenced || e.unresolved != nil {
		w.resolve(i)
		return 0
	}
	if e.endProof == nil && len(w.agents[0].running)+len(w.agents[1].running) == 1 {
		return stableRounds + 1
	}
	w.resolve(i)
	if w.placeable(i) {
		w.place(i, 1-e.log.records[len(e.log.records)-1].agent, false, false)
	}
	return 0
}

// refreshEntries reads the store at every entry that reaches it and then sends
// all heartbeats.
func (w *World) refreshEntries() {
	for i := range w.entries {
		if w.reachesStore(i) {
			w.read(i, false)
		}
	}
	w.heartbeatAll()
}
