// Package answers correlates answers with the callers that wait for them.
//
// A Table maps request ids to waiters. The first definite answer of an id is
// kept; late, duplicate and out-of-order answers never reach another id. An
// answer is copied when it is stored, so a transport may reuse its buffer.
//
// Retention is bounded by count, bytes and age. On overflow the answers that
// completed first are dropped. A caller that asks for an id that is not held gets
// rescode.RecordExpired, whose outcome is unknown: the table cannot prove that
// the request never ran. A Table is not safe for concurrent use.
package answers

import (
	"bytes"
	"container/list"
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Waiter identifies one waiting caller. The owner of the table chooses it.
type Waiter uint64

// Config holds the bounds of a Table.
type Config struct {
	// MaxAnswers and MaxBytes bound the completed answers that are retained.
	MaxAnswers int
	MaxBytes   int64 // bodies and details
	// MaxPending bounds the requests without an answer.
	MaxPending int
	// MaxAge bounds the time that an answer is retained after its completion, and
	// the time that a request without an answer is held after Open.
	MaxAge time.Duration
}

// DefaultConfig returns the bounds used by the entry.
func DefaultConfig() Config {
	return Config{MaxAnswers: 8192, MaxBytes: 16 << 20, MaxPending: 8192, MaxAge: 10 * time.Minute}
}

// Status is the result of Open and Join.
type Status uint8

// Results of Open and Join.
const (
	// Started means the id is new: the caller of Open dispatches the request.
	Started Status = iota
	// Waiting means the waiter is registered with a request in flight.
	Waiting
	// Ready means the answer is returned.
	Ready
	// Refused means the waiter is not registered; the answer states why.
	Refused
)

// Delivery is an answer and the waiters to send it to.
type Delivery struct {
	Waiters []Waiter
	Answer  structs.Answer
}

// record is a pending or completed request.
type record struct {
	answer  structs.Answer
	done    bool
	since   time.Time // when it was opened, or completed once it is done
	waiters []Waiter
	element *list.Element // in Table.pending or Table.completed
}

// Table holds pending and completed requests. Create it with New.
type Table struct {
	cfg       Config
	records   map[string]*record
	pending   *list.List // of ids, oldest first
	completed *list.List // of ids, oldest first
	bytes     int64      // of the completed answers
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, records: make(map[string]*record), pending: list.New(), completed: list.New()}
}

// Open registers a waiter for a request. The first Open of an id returns
// Started; later ones act as Join. With too many pending requests the answer is
// rescode.Overloaded: nothing was dispatched.
func (t *Table) Open(now time.Time, id string, w Waiter) (Status, structs.Answer) {
	if t.records[id] != nil {
		return t.Join(id, w)
	}
	if t.pending.Len() >= t.cfg.MaxPending {
		return Refused, refusal(id, rescode.Overloaded)
	}
	t.records[id] = &record{since: now, waiters: []Waiter{w}, element: t.pending.PushBack(id)}
	return Started, structs.Answer{}
}

// Join registers a waiter for a known id, or returns its answer. An id that is
// not held yields rescode.RecordExpired.
func (t *Table) Join(id string, w Waiter) (Status, structs.Answer) {
	r := t.records[id]
	switch {
	case r == nil:
		return Refused, refusal(id, rescode.RecordExpired)
	case r.done:
		return Ready, r.answer
	}
	r.waiters = append(r.waiters, w)
	return Waiting, structs.Answer{}
}

// Leave removes a waiter that no longer waits. The request stays pending, so that its
// answer is retained for a caller that reconnects.
func (t *Table) Leave(id string, w Waiter) {
	r := t.records[id]
	if r == nil {
		return
	}
	for i, other := range r.waiters {
		if other == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// Complete stores an answer and returns it with its waiters. An answer of an id
// that is not held is dropped. A second answer of an id changes nothing, except
// that a definite one replaces one with an unknown outcome for later callers.
func (t *Table) Complete(now time.Time, a structs.Answer) Delivery {
	r := t.records[a.RequestID]
	if r == nil {
		return Delivery{}
	}
	if r.done {
		if r.answer.Outcome != rescode.Unknown || a.Outcome == rescode.Unknown {
			return Delivery{}
		}
		t.completed.Remove(r.element)
		t.bytes -= size(r.answer)
	} else {
		t.pending.Remove(r.element)
	}
	a.Body = bytes.Clone(a.Body)
	d := Delivery{Waiters: r.waiters, Answer: a}
	r.answer, r.done, r.since, r.waiters = a, true, now, nil
	r.element = t.completed.PushBack(a.RequestID)
	t.bytes += size(a)
	t.trim()
	return d
}

// Expire drops answers and pending requests beyond the maximum age. Waiters of
// an expired request are told rescode.RecordExpired.
func (t *Table) Expire(now time.Time) []Delivery {
	for t.completed.Len() > 0 && t.oldestExpired(now, t.completed) {
		t.dropOldest(t.completed)
	}
	var out []Delivery
	for t.pending.Len() > 0 && t.oldestExpired(now, t.pending) {
		r, id := t.dropOldest(t.pending)
		if len(r.waiters) > 0 {
			out = append(out, Delivery{Waiters: r.waiters, Answer: refusal(id, rescode.RecordExpired)})
		}
	}
	return out
}

// Len returns the number of pending and completed requests and the bytes of the
// completed answers.
func (t *Table) Len() (pending, completed int, held int64) {
	return t.pending.Len(), t.completed.Len(), t.bytes
}

func (t *Table) trim() {
	for t.completed.Len() > t.cfg.MaxAnswers || t.bytes > t.cfg.MaxBytes {
		t.dropOldest(t.completed)
	}
}

// oldestExpired reports whether the oldest request of a list has reached MaxAge.
func (t *Table) oldestExpired(now time.Time, l *list.List) bool {
	return now.Sub(t.records[l.Front().Value.(string)].since) >= t.cfg.MaxAge
}

// dropOldest removes the oldest request of a list.
func (t *Table) dropOldest(l *list.List) (*record, string) {
	id := l.Remove(l.Front()).(string)
	r := t.records[id]
	delete(t.records, id)
	if r.done {
		t.bytes -= size(r.answer)
	}
	return r, id
}

// size returns the bytes of an answer that count towards MaxBytes.
func size(a structs.Answer) int64 { return int64(len(a.Body) + len(a.Detail)) }

func refusal(id string, code rescode.Code) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: code.Outcome(), Code: code, Detail: code.String()}
}
