// Package enforce has the last word on what runs on a VM: it admits an attempt only
// if its size fits the capacity, at most one attempt of a task at a time, and never
// an attempt that is tombstoned. The package is pure.
package enforce

import (
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// TombstoneAge is how long a tombstone is kept. Messages older than this do
	// not exist: sessions end after 2 s of silence and an owner that lost its
	// shard stops within the permit duration of 10 s.
	TombstoneAge = time.Hour
	// MaxTombstones bounds the memory; the oldest are dropped first.
	MaxTombstones = 65_536
)

// Verdict is the answer to a reservation.
type Verdict uint8

// Verdicts.
const (
	// Admitted: the attempt is reserved now; start it.
	Admitted Verdict = iota + 1
	// Repeated: the attempt is reserved already; repeat the answer of its start.
	Repeated
	// Refused: the attempt is tombstoned and never runs here; see the error.
	Refused
)

type reservation struct {
	token structs.Token
	size  structs.Resources
}

type tombstone struct {
	token structs.Token
	at    time.Time
}

type grave struct {
	id structs.TaskID
	at time.Time
}

// Ledger holds the reservations of one VM. It is not safe for concurrent use.
type Ledger struct {
	capacity structs.Resources
	used     structs.Resources
	tasks    map[structs.TaskID]reservation
	tombs    map[structs.TaskID]tombstone
	order    []grave
}

// New returns a ledger for a VM without tasks.
func New(capacity structs.Resources) *Ledger {
	return &Ledger{capacity: capacity, tasks: map[structs.TaskID]reservation{}, tombs: map[structs.TaskID]tombstone{}}
}

// Used returns the sum of the reservations; it never exceeds the capacity.
func (l *Ledger) Used() structs.Resources { return l.used }

// Capacity returns the capacity of the VM.
func (l *Ledger) Capacity() structs.Resources { return l.capacity }

// Reserve admits or refuses an attempt. A refused attempt is tombstoned, so that a
// repeated or late start of it is refused too. Room, if not nil, is the estimate of
// what the VM can still take; it can only reduce what is admitted.
func (l *Ledger) Reserve(id structs.TaskID, token structs.Token, size structs.Resources, room *structs.Resources, now time.Time) (Verdict, error) {
	if size.Negative() {
		l.Tombstone(id, token, now)
		return Refused, rescode.Errorf(rescode.OutOfRange, "task %s/%d: negative size", id.Job, id.Index)
	}
	if t, ok := l.tombs[id]; ok && token.Attempt <= t.token.Attempt {
		return Refused, rescode.Errorf(rescode.Tombstoned, "task %s/%d attempt %d", id.Job, id.Index, token.Attempt)
	}
	if r, ok := l.tasks[id]; ok {
		switch {
		case token.Attempt == r.token.Attempt:
			return Repeated, nil
		case token.Attempt < r.token.Attempt:
			return Refused, rescode.Errorf(rescode.StaleGeneration, "task %s/%d runs as attempt %d", id.Job, id.Index, r.token.Attempt)
		}
		// A higher attempt while a lower one runs: the owner must prove first that
		// the lower one is gone.
		l.tombs[id] = tombstone{token, now}
		l.order = append(l.order, grave{id, now})
		return Refused, rescode.Errorf(rescode.CapacityExceeded, "task %s/%d still runs as attempt %d", id.Job, id.Index, r.token.Attempt)
	}
	if !size.Fits(l.capacity.Sub(l.used)) || (room != nil && !size.Fits(*room)) {
		l.Tombstone(id, token, now)
		return Refused, rescode.Errorf(rescode.CapacityExceeded, "task %s/%d: no room", id.Job, id.Index)
	}
	l.tasks[id] = reservation{token, size}
	l.used = l.used.Add(size)
	return Admitted, nil
}

// Adopt accounts for an attempt that the worker lists as running, after a restart
// of the agent. It exceeds the capacity only if the worker does already, which it
// reports as false; the caller then stops an attempt.
func (l *Ledger) Adopt(id structs.TaskID, token structs.Token, size structs.Resources) bool {
	if r, ok := l.tasks[id]; ok && !r.token.Less(token) {
		return l.used.Fits(l.capacity)
	}
	l.used = l.used.Sub(l.tasks[id].size).Add(size)
	l.tasks[id] = reservation{token, size}
	return l.used.Fits(l.capacity)
}

// Running reports the reserved attempt of a task.
func (l *Ledger) Running(id structs.TaskID) (structs.Token, bool) {
	r, ok := l.tasks[id]
	return r.token, ok
}

// Release returns the room of an attempt that has ended and tombstones it. It
// reports false if another attempt, or none, is reserved.
func (l *Ledger) Release(id structs.TaskID, token structs.Token, now time.Time) bool {
	r, ok := l.tasks[id]
	released := ok && r.token.Attempt == token.Attempt
	if released {
		l.used = l.used.Sub(r.size)
		delete(l.tasks, id)
	}
	l.bury(id, token, now)
	return released
}

// Tombstone makes sure that the attempt never starts here. It reports true if the
// attempt and earlier ones do not run: the proof P1 for its owner. Otherwise the caller
// stops it first and calls Release.
func (l *Ledger) Tombstone(id structs.TaskID, token structs.Token, now time.Time) bool {
	if r, ok := l.tasks[id]; ok && r.token.Attempt <= token.Attempt {
		return false
	}
	l.bury(id, token, now)
	return true
}

func (l *Ledger) bury(id structs.TaskID, token structs.Token, now time.Time) {
	if t, ok := l.tombs[id]; ok && token.Attempt < t.token.Attempt {
		return
	}
	l.tombs[id] = tombstone{token, now}
	l.order = append(l.order, grave{id, now})
	l.Expire(now)
}

// Expire drops tombstones beyond their age or number.
func (l *Ledger) Expire(now time.Time) {
	n := 0
	for n < len(l.order) && (len(l.order)-n > MaxTombstones || now.Sub(l.order[n].at) > TombstoneAge) {
		if g := l.order[n]; l.tombs[g.id].at.Equal(g.at) {
			delete(l.tombs, g.id)
		}
		n++
	}
	if n > 0 {
		l.order = append(l.order[:0], l.order[n:]...)
	}
}
