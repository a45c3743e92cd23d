package explore

import (
	"errors"
	"slices"
)

// ErrStuck means that a run without faults does not bring the task to run.
var ErrStuck = errors.New("the task does not resume")

// recoverTicks bounds the rounds of Recover.
const recoverTicks = 24

// Recover ends all faults and runs on until the task runs in one place.
func (w *World) Recover() error {
	w.kv.up, w.cut, w.net, w.faults, w.suspected = true, 0, nil, 0, false
	for _, e := range w.entries {
		e.paused = false
	}
	for _, a := range w.agents {
		a.paused = false
	}
	calm := 0
	for range recoverTicks {
		w.tick(4)
		w.refresh()
		if err := w.Check(); err != nil {
			return err
		}
		if calm = w.settle(calm); calm > 3 {
			return nil
		}
	}
	return ErrStuck
}

// settle lets the owner do what is left to do, and counts calm rounds.
func (w *World) settle(calm int) int {
	i := slices.IndexFunc(w.entries, func(e *entry) bool { return e.id == w.kv.table.Shards[shard0].Owner })
	if i < 0 {
		w.takeOver(0, false)
		return 0
	}
	e := w.entries[i]
	if !e.fenced || e.unsure != nil {
		w.resolve(i)
		return 0
	}
	if e.restart == nil && len(w.agents[0].running)+len(w.agents[1].running) == 1 {
		return calm + 1
	}
	w.resolve(i)
	if w.placeable(i) {
		w.place(i, 1-e.log.records[len(e.log.records)-1].agent, false, false)
	}
	return 0
}

func (w *World) refresh() {
	for i := range w.entries {
		if w.reach(i) {
			w.read(i, false)
		}
	}
	w.beatAll()
}
