// Package dedup is the agent's record of request ids.
//
// The record answers whether a request never started, waits, runs, is done with
// its answer, or is tombstoned. Each request carries its issue time, stamped
// once by the entry that accepted it and equal in all copies of the request.
//
// Memory is bounded, so records are forgotten. Forgetting a record raises a
// floor to at least its issue time. An id that is not on record is judged by the
// floor alone:
//
//   - issued after the floor: no record with such an issue time was ever
//     forgotten, so the id never started here. It may start, and "not run" is
//     proven once it is tombstoned.
//   - issued at or before the floor: it may have run and been forgotten. It is
//     refused and its outcome is unknown (rescode.RecordExpired).
//
// A false "not run" or a second run would need an id that was recorded, is not
// on record now, and was issued after the floor; forgetting excludes that. The
// proof needs no synchronized clocks: only stamps are compared with stamps. The
// floor starts at the start time of the agent plus the allowed clock skew,
// because an earlier incarnation may have run what was issued before; such ids
// yield rescode.AgentLost. A Record is not safe for concurrent use.
package dedup

import (
	"bytes"
	"container/heap"
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Waiter identifies one stream that waits for the answer.
type Waiter uint64

// Config holds the bounds of a Record.
type Config struct {
	MaxRecords int
	// MaxBytes bounds the retained bodies. Beyond it the body that completed
	// first is dropped and its id yields rescode.AnswerLost; it still never runs
	// again.
	MaxBytes int64
	// Retention is the time a record is kept after its issue and its end.
	Retention time.Duration
	// MaxSkew is the largest accepted lead of an entry's clock.
	MaxSkew time.Duration
}

// DefaultConfig returns the bounds of section 3 of the design.
func DefaultConfig() Config {
	return Config{MaxRecords: 16384, MaxBytes: 16 << 20, Retention: 10 * time.Minute, MaxSkew: 2 * time.Second}
}

// State of a request id.
type State uint8

// States of a request id.
const (
	// Absent means that the id is not on record; the code tells what follows.
	Absent State = iota
	// Queued means accepted and not yet started.
	Queued
	// Running means handed to the upstream.
	Running
	// Done means ended; the answer is known or was dropped.
	Done
	// Tombstoned means that the id never started and never will.
	Tombstoned
)

// Verdict is the result of Arrive and Resolve.
type Verdict struct {
	State State
	// Accepted is true if Arrive created the record: the caller queues the
	// request. It is true at most once per id.
	Accepted bool
	// Answer is set in all states but Queued and Running. Its outcome is NotRun
	// only if that is proven and permanent.
	Answer structs.Answer
}

type entry struct {
	id      string
	issued  time.Time
	ended   time.Time
	state   State
	answer  structs.Answer
	waiters []Waiter
}

// Record holds the request ids of one agent incarnation. Create it with New.
type Record struct {
	cfg     Config
	started time.Time // initial floor
	floor   time.Time
	entries map[string]*entry
	ended   endedHeap // Done and Tombstoned by issue time
	bodies  []*entry  // Done with a body, in order of completion
	bytes   int64
}

// New returns the Record of an agent incarnation that starts at now. Nothing is
// accepted that was issued before now plus the allowed skew.
func New(cfg Config, now time.Time) *Record {
	start := now.Add(cfg.MaxSkew)
	return &Record{cfg: cfg, started: start, floor: start, entries: make(map[string]*entry)}
}

// Arrive handles the arrival of a request. If the id waits or runs already, the
// waiter is registered and gets the same answer.
func (r *Record) Arrive(now time.Time, id string, issued time.Time, w Waiter) Verdict {
	r.expire(now)
	if e := r.entries[id]; e != nil {
		return r.existing(e, w)
	}
	if code := r.refuse(now, issued); code != rescode.OK {
		return Verdict{Answer: refusal(id, code)}
	}
	if !r.makeRoom() {
		// Raising the floor makes the refusal permanent without a record.
		r.raise(issued)
		return Verdict{Answer: refusal(id, rescode.Overloaded)}
	}
	r.entries[id] = &entry{id: id, issued: issued, state: Queued, waiters: []Waiter{w}}
	return Verdict{State: Queued, Accepted: true}
}

// Start moves a queued request to running, immediately before it is handed to
// the upstream. It returns false if the id must not start.
func (r *Record) Start(id string) bool {
	e := r.entries[id]
	if e == nil || e.state != Queued {
		return false
	}
	e.state = Running
	return true
}

// Refuse ends a queued request that will not start, for example because the
// queue is full, and returns its waiters and their answer. It returns no answer
// if the request is not queued.
func (r *Record) Refuse(now time.Time, id string, code rescode.Code) ([]Waiter, structs.Answer) {
	e := r.entries[id]
	if e == nil || e.state != Queued {
		return nil, structs.Answer{}
	}
	return r.end(now, e, Tombstoned, refusal(id, code))
}

// Finish stores the answer of a running request and returns its waiters and the
// answer. A second answer of an id is dropped.
func (r *Record) Finish(now time.Time, a structs.Answer) ([]Waiter, structs.Answer) {
	e := r.entries[a.RequestID]
	if e == nil || e.state != Running {
		return nil, structs.Answer{}
	}
	a.Body = bytes.Clone(a.Body)
	waiters, _ := r.end(now, e, Done, a)
	if len(a.Body) > 0 {
		r.bytes += int64(len(a.Body))
		r.bodies = append(r.bodies, e)
		r.trimBodies()
	}
	return waiters, a
}

// Resolve answers what is known about an id. With tombstone, an id that has not
// started is tombstoned first; the returned waiters of a queued request then get
// the answer of the verdict. Without it, an id that never arrived yields
// rescode.StillRunning, because it may still arrive. With wait, w is registered
// if the request waits or runs.
func (r *Record) Resolve(now time.Time, id string, issued time.Time, tombstone, wait bool, w Waiter) (Verdict, []Waiter) {
	r.expire(now)
	e := r.entries[id]
	if e == nil {
		return r.resolveAbsent(now, id, issued, tombstone), nil
	}
	if tombstone && e.state == Queued {
		waiters, a := r.end(now, e, Tombstoned, refusal(id, rescode.Tombstoned))
		return Verdict{State: Tombstoned, Answer: a}, waiters
	}
	if !wait && (e.state == Queued || e.state == Running) {
		return Verdict{State: e.state}, nil
	}
	return r.existing(e, w), nil
}

// Len returns the number of records and the bytes of retained bodies.
func (r *Record) Len() (records int, held int64) { return len(r.entries), r.bytes }

// Floor returns the issue time up to which an id that is not on record is
// refused with an unknown outcome.
func (r *Record) Floor() time.Time { return r.floor }

func (r *Record) existing(e *entry, w Waiter) Verdict {
	if e.state == Queued || e.state == Running {
		e.waiters = append(e.waiters, w)
	}
	return Verdict{State: e.state, Answer: e.answer}
}

func (r *Record) resolveAbsent(now time.Time, id string, issued time.Time, tombstone bool) Verdict {
	if code := r.refuse(now, issued); code != rescode.OK {
		return Verdict{Answer: refusal(id, code)}
	}
	if !tombstone {
		return Verdict{Answer: refusal(id, rescode.StillRunning)}
	}
	a := refusal(id, rescode.Tombstoned)
	if !r.makeRoom() {
		r.raise(issued)
		return Verdict{State: Tombstoned, Answer: a}
	}
	e := &entry{id: id, issued: issued}
	r.entries[id] = e
	r.end(now, e, Tombstoned, a)
	return Verdict{State: Tombstoned, Answer: a}
}

// refuse returns why an id that is not on record must not start, or OK. A stamp
// far in the future is refused because forgetting it would raise the floor above
// all other requests; its outcome is left unknown since it may become valid.
func (r *Record) refuse(now, issued time.Time) rescode.Code {
	switch {
	case !issued.After(r.started):
		return rescode.AgentLost
	case !issued.After(r.floor):
		return rescode.RecordExpired
	case issued.After(now.Add(r.cfg.MaxSkew)):
		return rescode.Internal
	default:
		return rescode.OK
	}
}

func (r *Record) end(now time.Time, e *entry, s State, a structs.Answer) ([]Waiter, structs.Answer) {
	waiters := e.waiters
	e.state, e.answer, e.ended, e.waiters = s, a, now, nil
	heap.Push(&r.ended, e)
	return waiters, a
}

// expire forgets ended records beyond the retention, in order of issue time.
func (r *Record) expire(now time.Time) {
	for len(r.ended) > 0 {
		e := r.ended[0]
		if now.Sub(e.issued) < r.cfg.Retention || now.Sub(e.ended) < r.cfg.Retention {
			return
		}
		r.forgetOldest()
	}
}

// makeRoom forgets the ended record with the earliest issue time if all records
// are in use. It returns false if all of them wait or run.
func (r *Record) makeRoom() bool {
	if len(r.entries) < r.cfg.MaxRecords {
		return true
	}
	if len(r.ended) == 0 {
		return false
	}
	r.forgetOldest()
	return true
}

func (r *Record) forgetOldest() {
	e := heap.Pop(&r.ended).(*entry)
	r.raise(e.issued)
	r.dropBody(e)
	delete(r.entries, e.id)
}

func (r *Record) raise(issued time.Time) {
	if issued.After(r.floor) {
		r.floor = issued
	}
}

func (r *Record) trimBodies() {
	for len(r.bodies) > 0 && (r.bytes > r.cfg.MaxBytes || len(r.bodies[0].answer.Body) == 0) {
		e := r.bodies[0]
		r.bodies = r.bodies[1:]
		if len(e.answer.Body) > 0 {
			r.dropBody(e)
			e.answer = refusal(e.id, rescode.AnswerLost)
		}
	}
}

func (r *Record) dropBody(e *entry) {
	r.bytes -= int64(len(e.answer.Body))
	e.answer.Body = nil
}

func refusal(id string, code rescode.Code) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: code.Outcome(), Code: code, Detail: code.String()}
}

type endedHeap []*entry

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].issued.Before(h[j].issued) }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endedHeap) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *endedHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
