// Package dedup records the request ids that an agent has seen, so that the agent
// runs each request at most once and can prove that a request has not run.
//
// For each id the Record holds whether the request is queued, runs, is done with
// its answer, or is tombstoned: it never started and never will. Each request
// carries its issue time, set once by the entry that accepted it and equal in all
// copies of the request.
//
// Memory is bounded, so old ids are forgotten. Forgetting an id raises a floor to
// at least its issue time. The floor alone decides about an id that is not on
// record:
//
//   - issued after the floor: no id with such an issue time was ever forgotten,
//     so the request never started here. It may start, and "not run" is proven
//     once it is tombstoned.
//   - issued at or before the floor: it may have run and been forgotten. It is
//     refused and its outcome is unknown (rescode.RecordExpired).
//
// A false "not run" or a second run would need an id that was recorded, is not
// on record now, and was issued after the floor; raising the floor excludes that.
// The proof needs no synchronized clocks, because issue times are compared only
// with issue times. The floor starts at the start time of the agent plus the
// allowed clock skew, because an earlier incarnation may have run what was issued
// before; such ids yield rescode.AgentLost. A Record is not safe for concurrent
// use.
package dedup

import (
	"bytes"
	"container/heap"
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Waiter identifies a stream that waits for an answer.
type Waiter uint64

// Config holds the bounds of a Record.
type Config struct {
	// MaxRecords bounds the number of ids on record.
	MaxRecords int
	// MaxBytes bounds the retained bodies. Beyond it the body that completed
	// first is dropped and its id yields rescode.AnswerLost; it still never runs
	// again.
	MaxBytes int64
	// Retention is the time for which an id is kept after both its issue time and
	// its end.
	Retention time.Duration
	// MaxSkew is the longest time by which an issue time may lie in the future.
	MaxSkew time.Duration
}

// DefaultConfig returns the bounds used by the agent.
func DefaultConfig() Config {
	return Config{MaxRecords: 16384, MaxBytes: 16 << 20, Retention: 10 * time.Minute, MaxSkew: 2 * time.Second}
}

// State of a request id.
type State uint8

// States of a request id.
const (
	// Absent means that the id is not on record; the code of the answer tells what
	// is known about it.
	Absent State = iota
	// Queued means accepted and not yet started.
	Queued
	// Running means passed to the upstream.
	Running
	// Done means ended; the answer is held, or was dropped to save memory.
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

// idRecord is the state of one request id.
type idRecord struct {
	id      string
	issued  time.Time
	ended   time.Time
	state   State
	answer  structs.Answer
	waiters []Waiter
}

// Record holds the request ids of one agent incarnation. Create it with New.
type Record struct {
	cfg          Config
	initialFloor time.Time // earlier issue times may belong to an earlier incarnation
	floor        time.Time // latest issue time that may have been forgotten
	byID         map[string]*idRecord
	ended        endedHeap   // Done and Tombstoned, earliest issue time first
	bodies       []*idRecord // Done with a body, in order of completion
	bytes        int64       // of the held bodies
}

// New returns the Record of an agent incarnation that starts at now. Nothing is
// accepted that was issued before now plus the allowed skew.
func New(cfg Config, now time.Time) *Record {
	start := now.Add(cfg.MaxSkew)
	return &Record{cfg: cfg, initialFloor: start, floor: start, byID: make(map[string]*idRecord)}
}

// Arrive handles the arrival of a request. If the request is queued or runs
// already, the waiter is registered and gets the answer of that run.
func (r *Record) Arrive(now time.Time, id string, issued time.Time, w Waiter) Verdict {
	r.expire(now)
	if e := r.byID[id]; e != nil {
		return r.joinExisting(e, w)
	}
	if code := r.refusalCode(now, issued); code != rescode.OK {
		return Verdict{Answer: refusal(id, code)}
	}
	if !r.makeRoom() {
		// Raising the floor makes the refusal permanent without a record.
		r.raiseFloor(issued)
		return Verdict{Answer: refusal(id, rescode.Overloaded)}
	}
	r.byID[id] = &idRecord{id: id, issued: issued, state: Queued, waiters: []Waiter{w}}
	return Verdict{State: Queued, Accepted: true}
}

// Start moves a queued request to running. The caller calls it immediately before
// it passes the request to the upstream. It returns false if the id must not start.
func (r *Record) Start(id string) bool {
	e := r.byID[id]
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
	e := r.byID[id]
	if e == nil || e.state != Queued {
		return nil, structs.Answer{}
	}
	return r.endRequest(now, e, Tombstoned, refusal(id, code))
}

// Finish stores the answer of a running request and returns its waiters and the
// answer. A second answer of an id is dropped.
func (r *Record) Finish(now time.Time, a structs.Answer) ([]Waiter, structs.Answer) {
	e := r.byID[a.RequestID]
	if e == nil || e.state != Running {
		return nil, structs.Answer{}
	}
	a.Body = bytes.Clone(a.Body)
	waiters, _ := r.endRequest(now, e, Done, a)
	if len(a.Body) > 0 {
		r.bytes += int64(len(a.Body))
		r.bodies = append(r.bodies, e)
		r.trimBodies()
	}
	return waiters, a
}

// Resolve returns what is known about an id. With tombstone, an id that has not
// started is tombstoned first; if it was queued, its waiters are returned and get
// the answer of the verdict. Without tombstone, an id that never arrived yields
// rescode.StillRunning, because it may still arrive. With wait, w is registered
// if the request is queued or runs.
func (r *Record) Resolve(now time.Time, id string, issued time.Time, tombstone, wait bool, w Waiter) (Verdict, []Waiter) {
	r.expire(now)
	e := r.byID[id]
	if e == nil {
		return r.resolveAbsent(now, id, issued, tombstone), nil
	}
	if tombstone && e.state == Queued {
		waiters, a := r.endRequest(now, e, Tombstoned, refusal(id, rescode.Tombstoned))
		return Verdict{State: Tombstoned, Answer: a}, waiters
	}
	if !wait && (e.state == Queued || e.state == Running) {
		return Verdict{State: e.state}, nil
	}
	return r.joinExisting(e, w), nil
}

// Len returns the number of ids on record and the bytes of the retained bodies.
func (r *Record) Len() (records int, held int64) { return len(r.byID), r.bytes }

// Floor returns the issue time up to which an id that is not on record is
// refused with an unknown outcome.
func (r *Record) Floor() time.Time { return r.floor }

// joinExisting returns the state of an id on record and registers the waiter if the
// request has no answer yet.
func (r *Record) joinExisting(e *idRecord, w Waiter) Verdict {
	if e.state == Queued || e.state == Running {
		e.waiters = append(e.waiters, w)
	}
	return Verdict{State: e.state, Answer: e.answer}
}

// resolveAbsent is Resolve for an id that is not on record.
func (r *Record) resolveAbsent(now time.Time, id string, issued time.Time, tombstone bool) Verdict {
	if code := r.refusalCode(now, issued); code != rescode.OK {
		return Verdict{Answer: refusal(id, code)}
	}
	if !tombstone {
		return Verdict{Answer: refusal(id, rescode.StillRunning)}
	}
	a := refusal(id, rescode.Tombstoned)
	if !r.makeRoom() {
		r.raiseFloor(issued)
		return Verdict{State: Tombstoned, Answer: a}
	}
	e := &idRecord{id: id, issued: issued}
	r.byID[id] = e
	r.endRequest(now, e, Tombstoned, a)
	return Verdict{State: Tombstoned, Answer: a}
}

// refusalCode returns why an id that is not on record must not start, or OK. An issue
// time beyond MaxSkew in the future is refused because forgetting that id would
// raise the floor above all other requests. The outcome is unknown, not "not run",
// since the issue time may become acceptable later.
func (r *Record) refusalCode(now, issued time.Time) rescode.Code {
	switch {
	case !issued.After(r.initialFloor):
		return rescode.AgentLost
	case !issued.After(r.floor):
		return rescode.RecordExpired
	case issued.After(now.Add(r.cfg.MaxSkew)):
		return rescode.Internal
	default:
		return rescode.OK
	}
}

// endRequest moves a request to Done or Tombstoned, stores its answer, and
// returns the waiters and the answer.
func (r *Record) endRequest(now time.Time, e *idRecord, s State, a structs.Answer) ([]Waiter, structs.Answer) {
	waiters := e.waiters
	e.state, e.answer, e.ended, e.waiters = s, a, now, nil
	heap.Push(&r.ended, e)
	return waiters, a
}

// expire forgets ended requests beyond the retention, in order of issue time.
func (r *Record) expire(now time.Time) {
	for len(r.ended) > 0 {
		e := r.ended[0]
		if now.Sub(e.issued) < r.cfg.Retention || now.Sub(e.ended) < r.cfg.Retention {
			return
		}
		r.forgetOldest()
	}
}

// makeRoom forgets the ended request with the earliest issue time if the record is
// full. It returns false if the record is full of requests that are queued or run.
func (r *Record) makeRoom() bool {
	if len(r.byID) < r.cfg.MaxRecords {
		return true
	}
	if len(r.ended) == 0 {
		return false
	}
	r.forgetOldest()
	return true
}

// forgetOldest forgets the ended request with the earliest issue time and raises
// the floor to it.
func (r *Record) forgetOldest() {
	e := heap.Pop(&r.ended).(*idRecord)
	r.raiseFloor(e.issued)
	r.dropBody(e)
	delete(r.byID, e.id)
}

// raiseFloor raises the floor to an issue time, if that is later.
func (r *Record) raiseFloor(issued time.Time) {
	if issued.After(r.floor) {
		r.floor = issued
	}
}

// trimBodies drops the bodies that completed first until the rest fits MaxBytes.
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

func (r *Record) dropBody(e *idRecord) {
	r.bytes -= int64(len(e.answer.Body))
	e.answer.Body = nil
}

func refusal(id string, code rescode.Code) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: code.Outcome(), Code: code, Detail: code.String()}
}

// endedHeap is a heap of ended requests, earliest issue time first.
type endedHeap []*idRecord

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].issued.Before(h[j].issued) }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endedHeap) Push(x any)        { *h = append(*h, x.(*idRecord)) }
func (h *endedHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
