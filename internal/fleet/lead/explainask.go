package lead

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Limits of questions for explanations. They come from operators, and must not keep the
// leader from its fleet.
const (
	// explainTimeout is longer than askTimeout: a leader that is behind is a reason to ask.
	explainTimeout = 5 * time.Second
	explainRate    = 3 // questions per second at each entry, each of which costs a plan
	// maxExplainQuestion holds a job with fleet.MaxSteps steps that each depend on all
	// before. The spec of the job is not needed.
	maxExplainQuestion = 64 << 10
	// maxExplainReply holds the state of some thousand VMs. Over a link of 2 Mbit/s it
	// takes a second.
	maxExplainReply = 256 << 10
	// maxStateBytes bounds a state once it is unpacked.
	maxStateBytes = 32 << 20
)

// ErrNotExplained means that no entry has answered the question.
var ErrNotExplained = errors.New("not explained")

// explainReply is the answer to AskExplain. Exactly one field is set.
type explainReply struct {
	Explanation  *Explanation `json:"explanation,omitempty"`
	State        []byte       `json:"state,omitempty"` // a PlannerState as JSON, packed by gzip
	InvalidJob   string       `json:"invalid_job,omitempty"`
	UnknownQueue string       `json:"unknown_queue,omitempty"`
	Failed       string       `json:"failed,omitempty"`
}

func explainFailed(format string, args ...any) explainReply {
	return explainReply{Failed: fmt.Sprintf(format, args...)}
}

// answerExplain answers AskExplain, or passes it on to the leader. It always replies, so
// that an entry without a reply is known to be of an earlier version.
func (e *Entry) answerExplain(ctx context.Context, q *pb.FleetAsk) *pb.FleetReply {
	data, err := e.explainData(ctx, q.GetJob())
	if err == nil && len(data) > maxExplainReply {
		err = fmt.Errorf("the answer has %d bytes, at most %d are sent", len(data), maxExplainReply)
	}
	if err != nil {
		if data, err = json.Marshal(explainFailed("%v", err)); err != nil { // a struct of strings always encodes
			e.opts.Log.Error("Cannot encode why nothing is explained.", "err", err)
		}
	}
	return &pb.FleetReply{Data: data}
}

// explainData returns the answer to a question in its encoded form.
func (e *Entry) explainData(ctx context.Context, raw []byte) ([]byte, error) {
	if len(raw) > maxExplainQuestion {
		return nil, fmt.Errorf("the question has %d bytes, at most %d are allowed", len(raw), maxExplainQuestion)
	}
	if !e.explain.Allow() {
		return nil, fmt.Errorf("more than %d questions a second, ask again later", explainRate)
	}
	var q ExplainQuestion
	if err := json.Unmarshal(raw, &q); err != nil {
		return nil, fmt.Errorf("decode the question: %w", err)
	}
	leader := e.localLeader.Load()
	if leader == nil {
		return e.passExplain(ctx, q)
	}
	data, err := json.Marshal(leader.explain(ctx, q))
	if err != nil {
		return nil, fmt.Errorf("encode the answer: %w", err)
	}
	return data, nil
}

// passExplain passes a question on to the leader and returns its answer.
func (e *Entry) passExplain(ctx context.Context, q ExplainQuestion) ([]byte, error) {
	e.mu.Lock()
	leader := e.leader
	e.mu.Unlock()
	if q.Passed || leader.Address == "" || leader.Address == e.opts.Advertise {
		return nil, errNoLeader
	}
	session, err := e.peers.session(leader.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoLeader, err)
	}
	q.Passed = true
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode the question: %w", err)
	}
	deadline, _ := ctx.Deadline()
	// The session is kept without a reply in time: the leader may be behind.
	reply, _, err := link.Exchange(session, &pb.FleetAsk{Kind: link.AskExplain, Job: raw}, max(time.Millisecond, time.Until(deadline)))
	if errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("the leader %s is of an earlier version, which explains nothing", leader.Node)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: leader %s: %w", errNoLeader, leader.Node, err)
	}
	return reply.GetData(), nil
}

// explain answers a question of an operator. Only the state is taken in the event loop. A
// fault on the way ends neither the term nor the entry.
func (l *Leader) explain(ctx context.Context, q ExplainQuestion) (reply explainReply) {
	defer l.recoverExplain(&reply)
	select {
	case <-l.loaded:
	case <-ctx.Done():
		return explainFailed("the leader has not read the state of the fleet yet")
	}
	states := make(chan *PlannerState, 1)
	posted := l.post(ctx, func() {
		var state *PlannerState
		defer func() { states <- state }()
		defer l.recoverExplain(&explainReply{})
		if ctx.Err() == nil { // else nobody waits for it any more
			state = l.plannerState(time.Now())
		}
	})
	if !posted {
		return explainFailed("the leader is too far behind to answer")
	}
	select {
	case state := <-states:
		if state == nil {
			return explainFailed("the leader could not describe its state")
		}
		return answerFrom(state, q)
	case <-ctx.Done():
		return explainFailed("the leader is too far behind to answer")
	}
}

// recoverExplain is deferred by what only explains.
func (l *Leader) recoverExplain(reply *explainReply) {
	if fault := recover(); fault != nil {
		l.opts.Log.Error("Panic of an explanation.", "panic", fault, "stack", string(debug.Stack()))
		*reply = explainFailed("a fault of the leader, see its log")
	}
}

// answerFrom answers a question from a state.
func answerFrom(s *PlannerState, q ExplainQuestion) explainReply {
	if q.Job == nil {
		packed, err := packState(s)
		if err != nil {
			return explainFailed("%v", err)
		}
		return explainReply{State: packed}
	}
	out, err := Explain(s, q)
	switch {
	case errors.Is(err, ErrUnknownQueue):
		return explainReply{UnknownQueue: err.Error()}
	case errors.Is(err, ErrInvalidJob):
		return explainReply{InvalidJob: err.Error()}
	case err != nil:
		return explainFailed("%v", err)
	}
	return explainReply{Explanation: out}
}

func packState(s *PlannerState) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, fmt.Errorf("encode the state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack the state: %w", err)
	}
	return out.Bytes(), nil
}

func unpackState(packed []byte) (*PlannerState, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack the state: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack the state: %w", err)
	}
	return ParseState(raw)
}

// ParseState decodes a recorded state.
func ParseState(raw []byte) (*PlannerState, error) {
	if len(raw) > maxStateBytes {
		return nil, fmt.Errorf("the state has more than %d bytes", maxStateBytes)
	}
	s := &PlannerState{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("decode the state: %w", err)
	}
	if s.Schema != StateSchema {
		return nil, fmt.Errorf("the state has the schema %q instead of %q", s.Schema, StateSchema)
	}
	return s, nil
}

// AskExplanation asks the entry whose sessions are accepted at an address where a job
// would go. The errors match ErrUnknownQueue, ErrInvalidJob or ErrNotExplained.
func AskExplanation(ctx context.Context, address string, q ExplainQuestion) (*Explanation, error) {
	reply, err := askExplain(ctx, address, q)
	if err != nil {
		return nil, err
	}
	if reply.Explanation == nil {
		return nil, fmt.Errorf("%w: entry %s has sent no explanation", ErrNotExplained, address)
	}
	return reply.Explanation, nil
}

// AskState asks the entry whose sessions are accepted at an address for the state of the
// leader's planner. The errors match ErrNotExplained.
func AskState(ctx context.Context, address string) (*PlannerState, error) {
	reply, err := askExplain(ctx, address, ExplainQuestion{})
	if err != nil {
		return nil, err
	}
	s, err := unpackState(reply.State)
	if err != nil {
		return nil, fmt.Errorf("%w: entry %s: %w", ErrNotExplained, address, err)
	}
	return s, nil
}

func askExplain(ctx context.Context, address string, q ExplainQuestion) (explainReply, error) {
	var reply explainReply
	if q.Job != nil {
		job := *q.Job
		job.Spec = "" // decides nothing
		q.Job = &job
	}
	raw, err := json.Marshal(q)
	if err != nil {
		return reply, fmt.Errorf("encode the question: %w", err)
	}
	session, err := wire.Dial(ctx, address, wire.Config{})
	if err != nil {
		return reply, fmt.Errorf("%w: no entry can be reached: %w", ErrNotExplained, err)
	}
	defer func() { _ = session.Close() }()
	timeout := explainTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, time.Until(deadline))
	}
	answer, _, err := link.Exchange(session, &pb.FleetAsk{Kind: link.AskExplain, Job: raw}, timeout)
	if errors.Is(err, io.EOF) {
		return reply, fmt.Errorf("%w: entry %s is of an earlier version, which explains nothing, or is not an entry", ErrNotExplained, address)
	}
	if err != nil {
		return reply, fmt.Errorf("%w: entry %s has not answered: %w", ErrNotExplained, address, err)
	}
	if err := json.Unmarshal(answer.GetData(), &reply); err != nil {
		return reply, fmt.Errorf("%w: decode the answer: %w", ErrNotExplained, err)
	}
	switch {
	case reply.UnknownQueue != "":
		return reply, withText(ErrUnknownQueue, reply.UnknownQueue)
	case reply.InvalidJob != "":
		return reply, withText(ErrInvalidJob, reply.InvalidJob)
	case reply.Failed != "":
		return reply, fmt.Errorf("%w: %s", ErrNotExplained, reply.Failed)
	}
	return reply, nil
}

// remoteError is an error of another process, whose text says all.
type remoteError struct {
	kind error
	text string
}

func withText(kind error, text string) error { return &remoteError{kind, text} }

// Error implements error.
func (e *remoteError) Error() string { return e.text }

// Unwrap returns the kind of the error.
func (e *remoteError) Unwrap() error { return e.kind }
