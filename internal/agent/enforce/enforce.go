// Package enforce decides which attempts of tasks a VM admits, whatever the
// schedulers decided: only those whose size fits the free capacity, at most one
// attempt of a task at a time, and never an attempt that is tombstoned. It does no
// I/O and reads no clock.
package enforce

import (
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// TombstoneAge is how long a tombstone is kept. No start message can arrive
	// later: sessions end after 2 s of silence and an owner that lost its shard
	// stops within the permit duration of 10 s.
	TombstoneAge = time.Hour
	// MaxTombstones bounds the memory of the tombstones; the oldest are dropped first.
	MaxTombstones = 65_536
)

// Verdict is the outcome of Reserve.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the attempt has been reserved and may start.
	Admitted Verdict = iota + 1
	// Repeated means that the attempt was reserved before; the answer to its start
	// is repeated.
	Repeated
	// Refused means that the attempt must not start here; the error says why.
	Refused
)

// reservation is the admitted attempt of a task and its size.
type reservation struct {
	token structs.Token
	size  structs.Resources
}

// tombstone bars the attempt of token, and all earlier ones of its task.
type tombstone struct {
	token structs.Token
	at    time.Time
}

// tombstoneEntry is a tombstone in the order of age. It is out of date if the
// tombstone of the task has been renewed at a later time.
type tombstoneEntry struct {
	id structs.TaskID
	at time.Time
}

// Ledger holds the reservations of one VM. It is not safe for concurrent use.
type Ledger struct {
	capacity    structs.Resources
	used        structs.Resources
	tasks       map[structs.TaskID]reservation
	tombstones  map[structs.TaskID]tombstone
	expiryOrder []tombstoneEntry
}

// New returns a ledger for a VM with the given capacity and no tasks.
func New(capacity structs.Resources) *Ledger {
	return &Ledger{capacity: capacity, tasks: map[structs.TaskID]reservation{}, tombstones: map[structs.TaskID]tombstone{}}
}

// Used returns the sum of the reservations; it never exceeds the capacity.
func (l *Ledger) Used() structs.Resources { return l.used }

// Capacity returns the capacity of the VM.
func (l *Ledger) Capacity() structs.Resources { return l.capacity }

// Reserve admits or refuses an attempt. A refused attempt is tombstoned, so that a
// repeated or late start of it is refused too. available, if not nil, is an estimate
// of what the VM can still take; it can only reduce what is admitted.
func (l *Ledger) Reserve(id structs.TaskID, token structs.Token, size structs.Resources, available *structs.Resources, now time.Time) (Verdict, error) {
	if size.Negative() {
		l.Tombstone(id, token, now)
		return Refused, rescode.Errorf(rescode.OutOfRange, "task %s/%d: negative size", id.Job, id.Index)
	}
	if t, ok := l.tombstones[id]; ok && token.Attempt <= t.token.Attempt {
		return Refused, rescode.Errorf(rescode.Tombstoned, "task %s/%d attempt %d", id.Job, id.Index, token.Attempt)
	}
	if r, ok := l.tasks[id]; ok {
		switch {
		case token.Attempt == r.token.Attempt:
			return Repeated, nil
		case token.Attempt < r.token.Attempt:
			return Refused, rescode.Errorf(rescode.StaleGeneration, "task %s/%d runs as attempt %d", id.Job, id.Index, r.token.Attempt)
		}
		// A lower attempt still runs: the owner has to obtain a proof that it has
		// ended before it starts a higher one.
		l.tombstones[id] = tombstone{token, now}
		l.expiryOrder = append(l.expiryOrder, tombstoneEntry{id, now})
		return Refused, rescode.Errorf(rescode.CapacityExceeded, "task %s/%d still runs as attempt %d", id.Job, id.Index, r.token.Attempt)
	}
	if !size.Fits(l.capacity.Sub(l.used)) || (available != nil && !size.Fits(*available)) {
		l.Tombstone(id, token, now)
		return Refused, rescode.Errorf(rescode.CapacityExceeded, "task %s/%d: no room", id.Job, id.Index)
	}
	l.tasks[id] = reservation{token, size}
	l.used = l.used.Add(size)
	return Admitted, nil
}

// Adopt accounts for an attempt that the worker lists as running after a restart
// of the agent. It reports whether the reservations still fit the capacity; they
// exceed it only if the worker already runs too much, and the caller then stops an
// attempt.
func (l *Ledger) Adopt(id structs.TaskID, token structs.Token, size structs.Resources) bool {
	if r, ok := l.tasks[id]; ok && !r.token.Less(token) {
		return l.used.Fits(l.capacity)
	}
	l.used = l.used.Sub(l.tasks[id].size).Add(size)
	l.tasks[id] = reservation{token, size}
	return l.used.Fits(l.capacity)
}

// Running returns the token of the reserved attempt of a task, if there is one.
func (l *Ledger) Running(id structs.TaskID) (structs.Token, bool) {
	r, ok := l.tasks[id]
	return r.token, ok
}

// Release frees the capacity of an attempt that has ended and tombstones it. It
// reports whether the attempt was reserved.
func (l *Ledger) Release(id structs.TaskID, token structs.Token, now time.Time) bool {
	r, ok := l.tasks[id]
	released := ok && r.token.Attempt == token.Attempt
	if released {
		l.used = l.used.Sub(r.size)
		delete(l.tasks, id)
	}
	l.addTombstone(id, token, now)
	return released
}

// Tombstone makes sure that an attempt and all earlier ones of its task never start
// here, and reports true. The report of it is the proof that the owner needs before
// it starts a later attempt: this one does not run and never will. If the attempt or
// an earlier one is reserved, it changes nothing and reports false; the caller then
// stops that one and calls Release.
func (l *Ledger) Tombstone(id structs.TaskID, token structs.Token, now time.Time) bool {
	if r, ok := l.tasks[id]; ok && r.token.Attempt <= token.Attempt {
		return false
	}
	l.addTombstone(id, token, now)
	return true
}

// addTombstone adds or renews a tombstone, unless a later attempt has one.
func (l *Ledger) addTombstone(id structs.TaskID, token structs.Token, now time.Time) {
	if t, ok := l.tombstones[id]; ok && token.Attempt < t.token.Attempt {
		return
	}
	l.tombstones[id] = tombstone{token, now}
	l.expiryOrder = append(l.expiryOrder, tombstoneEntry{id, now})
	l.Expire(now)
}

// Expire drops tombstones older than TombstoneAge, and the oldest ones beyond
// MaxTombstones.
func (l *Ledger) Expire(now time.Time) {
	n := 0
	for n < len(l.expiryOrder) && (len(l.expiryOrder)-n > MaxTombstones || now.Sub(l.expiryOrder[n].at) > TombstoneAge) {
		if g := l.expiryOrder[n]; l.tombstones[g.id].at.Equal(g.at) {
			delete(l.tombstones, g.id)
		}
		n++
	}
	if n > 0 {
		l.expiryOrder = append(l.expiryOrder[:0], l.expiryOrder[n:]...)
	}
}
