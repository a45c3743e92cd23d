package entry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"vanillalock.example/vanillalock/internal/claims"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/request/retry"
	"vanillalock.example/vanillalock/internal/request/route"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// answerGrace is how long past the deadline an entry still waits for an
	// answer: the agent gives up on the upstream 30 s after the deadline.
	answerGrace = 32 * time.Second
	// resolveWait bounds how long a request whose session was lost waits for a
	// new session with the agent.
	resolveWait = 5 * time.Second
	// resolveGrace is how long past its deadline a request still waits for a new
	// session. Its caller waits 2 s beyond the deadline.
	resolveGrace = time.Second
	// resolveTimeout bounds one question for the agent's record.
	resolveTimeout = 2 * time.Second
	claimTimeout   = 2 * time.Second
)

// target is the upstream chosen for one attempt.
type target struct {
	handle      route.Handle
	agent       string
	incarnation uint64
	session     *wire.Session
}

// dispatch runs a request to its answer: attempts, retries and resolution.
func (e *Entry) dispatch(r *run) {
	ctx, span := e.opts.Tracer.Start(r.ctx, "entry.dispatch", trace.WithAttributes(attribute.String("request.id", r.request.ID)))
	defer span.End()
	var answer structs.Answer
	if r.request.Idempotent {
		answer = e.dispatchIdempotent(ctx, r)
	} else {
		answer = e.dispatchClaimed(ctx, r)
	}
	span.SetAttributes(attribute.Int("code", int(answer.Code)), attribute.Int("attempts", r.attempts))
	e.do(e.ctx, func(c *control) { c.finished(r, answer) })
}

// dispatchIdempotent tries upstreams until one answers, the budget is spent or
// the deadline is near.
func (e *Entry) dispatchIdempotent(ctx context.Context, r *run) structs.Answer {
	avoid := route.None
	mayHaveRun := false
	for {
		t, ok := e.pick(r, avoid)
		if !ok {
			if mayHaveRun {
				return structs.Answer{RequestID: r.request.ID, Code: rescode.AnswerLost}
			}
			return notRun(r.request.ID, rescode.NoUpstream)
		}
		answer := r.record(e.attemptHedged(ctx, r, t))
		outcome := answer.Code.Outcome()
		if outcome == rescode.Done {
			return answer
		}
		mayHaveRun = mayHaveRun || outcome == rescode.Unknown
		decision := e.nextAttempt(r, answer.Code, mayHaveRun)
		if !decision.Retry {
			answer.Code, answer.Detail = decision.Code, ""
			return answer
		}
		if !e.sleep(decision.Delay) {
			return structs.Answer{RequestID: r.request.ID, Code: decision.Code}
		}
		avoid = t.handle
	}
}

// dispatchClaimed runs a non-idempotent request at the one agent that its
// claim names.
func (e *Entry) dispatchClaimed(ctx context.Context, r *run) structs.Answer {
	t, ok := e.pick(r, route.None)
	if !ok {
		return notRun(r.request.ID, rescode.NoUpstream)
	}
	claim, created, err := e.createClaim(ctx, r, t)
	if err != nil {
		e.release(r, t)
		if rescode.Of(err) == rescode.StoreUncertain {
			// The key may be claimed by another entry that runs the request.
			return structs.Answer{RequestID: r.request.ID, Code: rescode.StoreUncertain}
		}
		return notRun(r.request.ID, rescode.StoreUnavailable)
	}
	for {
		if !created {
			e.release(r, t)
			answer, moved := e.followClaim(ctx, r, claim)
			if moved == nil {
				return answer
			}
			claim, t = moved.claim, moved.target
		}
		r.attempts++
		answer := r.record(e.attempt(ctx, r, t))
		if answer.Code.Outcome() != rescode.NotRun {
			return answer
		}
		decision := e.nextAttempt(r, answer.Code, false)
		if !decision.Retry || !e.sleep(decision.Delay) {
			answer.Code, answer.Detail = decision.Code, ""
			return answer
		}
		next, ok := e.pick(r, t.handle)
		if !ok {
			return answer
		}
		moved, err := e.moveClaim(ctx, r, claim, next)
		if err != nil {
			e.release(r, next)
			if rescode.Of(err) == rescode.VersionConflict {
				// Another entry moved the claim and may run the request.
				return structs.Answer{RequestID: r.request.ID, Code: rescode.StillRunning}
			}
			return answer
		}
		claim, t, created = moved, next, true
	}
}

type movedClaim struct {
	claim  claims.Claim
	target target
}

// followClaim answers a request whose key is claimed already: by the record of
// the agent in the claim. If that agent proves that the request did not run,
// the claim moves to a new agent, which is returned.
func (e *Entry) followClaim(ctx context.Context, r *run, claim claims.Claim) (structs.Answer, *movedClaim) {
	if claim.Fingerprint != r.fingerprint {
		return structs.Answer{RequestID: r.request.ID, Code: rescode.KeyReused}, nil
	}
	answer := e.resolve(ctx, claim.Agent, claim.Incarnation, claim.RequestID, claim.IssuedUs, r.request.Deadline)
	answer.RequestID = r.request.ID
	if answer.Code.Outcome() != rescode.NotRun {
		return answer, nil
	}
	t, ok := e.pick(r, route.None)
	if !ok {
		return notRun(r.request.ID, rescode.NoUpstream), nil
	}
	moved, err := e.moveClaim(ctx, r, claim, t)
	if err != nil {
		e.release(r, t)
		// Another entry moved the claim and may run the request.
		return structs.Answer{RequestID: r.request.ID, Code: rescode.StillRunning}, nil
	}
	return structs.Answer{}, &movedClaim{moved, t}
}

func (e *Entry) createClaim(ctx context.Context, r *run, t target) (claims.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.claims.Create(ctx, r.request.Customer, r.request.IdempotencyKey, claimOf(r, t))
}

func (e *Entry) moveClaim(ctx context.Context, r *run, from claims.Claim, t target) (claims.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.claims.Move(ctx, r.request.Customer, r.request.IdempotencyKey, from, claimOf(r, t))
}

func claimOf(r *run, t target) claims.Claim {
	return claims.Claim{
		RequestID: r.request.ID, IssuedUs: r.issued.UnixMicro(), Fingerprint: r.fingerprint,
		Agent: t.agent, Incarnation: t.incarnation,
	}
}

// attemptResult is what is known of one attempt after it.
type attemptResult struct {
	answer    structs.Answer
	target    target
	wait      time.Duration // in the agent's queue
	ran       time.Duration // in the upstream
	congested bool          // the agent refused for lack of room
}

// attempt sends the request to one agent.
func (e *Entry) attempt(ctx context.Context, r *run, t target) attemptResult {
	ctx, span := e.opts.Tracer.Start(ctx, "entry.attempt", trace.WithAttributes(attribute.String("vm", t.agent)))
	defer span.End()
	started := time.Now()
	response, sent, err := e.exchange(ctx, r, t)
	if err == nil {
		return e.answered(r, t, response)
	}
	e.opts.Log.Debug("Attempt ended without an answer.", "request", r.request.ID, "vm", t.agent, "err", err)
	if !sent {
		e.lost(r, t, false)
		return attemptResult{target: t, answer: notRun(r.request.ID, rescode.NoUpstream)}
	}
	answer := e.resolve(ctx, t.agent, t.incarnation, r.request.ID, r.issued.UnixMicro(), r.request.Deadline)
	e.lost(r, t, answer.Code.Outcome() == rescode.Unknown)
	return attemptResult{target: t, answer: answer, ran: time.Since(started)}
}

// answered records an answered attempt in the control state.
func (e *Entry) answered(r *run, t target, response *pb.Response) attemptResult {
	code := rescode.Code(response.Code)
	result := attemptResult{
		target: t, wait: time.Duration(response.WaitUs) * time.Microsecond, ran: time.Duration(response.RunUs) * time.Microsecond,
		congested: code == rescode.SlotsFull || code == rescode.ConnectionsFull || code == rescode.Overloaded,
		answer: structs.Answer{
			RequestID: r.request.ID, Code: code, Detail: response.Detail, Body: response.Body, Upstream: t.agent,
		},
	}
	e.do(e.ctx, func(c *control) { c.attemptReturned(r, result, response.Load) })
	return result
}

// record keeps the figures of the attempt that counts for admission.
func (r *run) record(result attemptResult) structs.Answer {
	r.wait, r.ranFor, r.congested = result.wait, result.ran, result.congested
	return result.answer
}

// exchange sends the request and waits for its answer. sent is false only when
// no byte of the request can have reached the agent.
func (e *Entry) exchange(ctx context.Context, r *run, t target) (response *pb.Response, sent bool, err error) {
	stream, err := t.session.Open()
	if err != nil {
		return nil, false, err
	}
	defer stream.Close()
	remaining := time.Until(r.request.Deadline)
	if remaining <= 0 {
		return nil, false, context.DeadlineExceeded
	}
	if err := stream.Send(requestFrame(ctx, r, t, remaining)); err != nil {
		return nil, true, err
	}
	frame, err := stream.Receive(remaining + answerGrace)
	if err != nil {
		return nil, true, err
	}
	if frame.GetResponse() == nil {
		return nil, true, errors.New("the agent sent another frame than a response")
	}
	return frame.GetResponse(), true, nil
}

func requestFrame(ctx context.Context, r *run, t target, remaining time.Duration) *pb.Frame {
	q := r.request
	return &pb.Frame{Body: &pb.Frame_Request{Request: &pb.Request{
		Id: q.ID, IdempotencyKey: q.IdempotencyKey, Template: q.Template, TemplateVersion: q.TemplateVersion,
		Customer: q.Customer, CustomerVersion: q.CustomerVersion, Parameters: q.Parameters, Qos: string(q.QoS),
		Idempotent: q.Idempotent, RemainingUs: uint64(remaining.Microseconds()), SizeClass: uint32(r.estimate.Class),
		ExpectedUs: uint64(r.estimate.Expected.Microseconds()), Traceparent: obs.Traceparent(ctx),
		IssuedUnixUs: r.issued.UnixMicro(), Incarnation: t.incarnation,
	}}}
}

// resolve asks the agent's own record what became of a request, over a new
// session if needed, and makes sure that it does not start later. Without the
// agent the outcome stays unknown.
func (e *Entry) resolve(ctx context.Context, agent string, incarnation uint64, id string, issuedUs int64, deadline time.Time) structs.Answer {
	lost := structs.Answer{RequestID: id, Code: rescode.AgentLost, Upstream: agent}
	limit := min(resolveWait, max(time.Until(deadline), 0)+resolveGrace)
	giveUp := time.Now().Add(limit)
	for time.Now().Before(giveUp) {
		session, current, ok := e.agentSession(agent)
		if ok && current != incarnation {
			return lost
		}
		if ok {
			answer, err := e.askRecord(ctx, session, id, issuedUs, deadline)
			if err == nil {
				answer.Upstream = agent
				return answer
			}
		}
		if !e.sleep(tickInterval) {
			break
		}
	}
	return lost
}

func (e *Entry) askRecord(_ context.Context, session *wire.Session, id string, issuedUs int64, deadline time.Time) (structs.Answer, error) {
	stream, err := session.Open()
	if err != nil {
		return structs.Answer{}, err
	}
	defer stream.Close()
	err = stream.Send(&pb.Frame{Body: &pb.Frame_Resolve{Resolve: &pb.Resolve{
		Id: id, Tombstone: true, Wait: true, IssuedUnixUs: issuedUs,
	}}})
	if err != nil {
		return structs.Answer{}, err
	}
	frame, err := stream.Receive(max(time.Until(deadline), 0) + resolveTimeout)
	if err != nil {
		return structs.Answer{}, err
	}
	response := frame.GetResponse()
	if response == nil {
		return structs.Answer{}, errors.New("the agent sent another frame than a response")
	}
	return structs.Answer{RequestID: id, Code: rescode.Code(response.Code), Detail: response.Detail, Body: response.Body}, nil
}

// pick chooses an upstream and counts the request as in flight there.
func (e *Entry) pick(r *run, avoid route.Handle) (target, bool) {
	type picked struct {
		target target
		ok     bool
	}
	p, ok := ask(e.ctx, e, func(c *control) picked {
		t, ok := c.pick(r, avoid)
		return picked{t, ok}
	})
	return p.target, ok && p.ok
}

// release takes back a pick that was not used.
func (e *Entry) release(r *run, t target) {
	e.do(e.ctx, func(c *control) { c.router.Returned(t.handle, r.estimate.Class, 0, 0) })
}

func (e *Entry) agentSession(agent string) (*wire.Session, uint64, bool) {
	type found struct {
		session     *wire.Session
		incarnation uint64
	}
	f, ok := ask(e.ctx, e, func(c *control) found {
		a := c.agents[agent]
		if a == nil || a.session == nil {
			return found{}
		}
		return found{a.session, a.node.Incarnation}
	})
	return f.session, f.incarnation, ok && f.session != nil
}

func (e *Entry) nextAttempt(r *run, code rescode.Code, mayHaveRun bool) retry.Decision {
	attempt := retry.Attempt{
		Number: r.attempts, Idempotent: r.request.Idempotent, MayHaveRun: mayHaveRun, Code: code,
		Remaining: time.Until(r.request.Deadline), Expected: r.estimate.Expected,
	}
	d, ok := ask(e.ctx, e, func(c *control) retry.Decision { return c.retry.Next(attempt) })
	if !ok {
		return retry.Decision{Code: code}
	}
	return d
}

// lost records an attempt whose session ended before its answer.
func (e *Entry) lost(r *run, t target, failed bool) {
	e.do(e.ctx, func(c *control) {
		c.router.Returned(t.handle, r.estimate.Class, 0, 0)
		if failed {
			c.observe(t.agent, true)
		}
	})
}

// sleep waits unless the entry ends.
func (e *Entry) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.ctx.Done():
		return false
	}
}
