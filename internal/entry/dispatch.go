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
	// answerGrace is how long past the deadline an entry waits for an answer.
	// The agent itself gives up on the upstream 30 s after the deadline.
	answerGrace = 32 * time.Second
	// resolveWait limits how long a request whose session was lost waits for a
	// new session with the agent.
	resolveWait = 5 * time.Second
	// resolveGrace is how long past its deadline a request waits for a new
	// session. It is below the 2 s for which the caller waits past the
	// deadline.
	resolveGrace = time.Second
	// resolveTimeout is the time past the deadline that a query for the agent's
	// record may take.
	resolveTimeout = 2 * time.Second
	// claimTimeout limits the creation or the move of a claim.
	claimTimeout = 2 * time.Second
)

// target is the upstream chosen for one attempt.
type target struct {
	handle      route.Handle
	agent       string
	incarnation uint64
	session     *wire.Session
}

// dispatch runs an admitted request until its answer is known, with retries,
// and reports the answer to the control goroutine.
func (e *Entry) dispatch(r *activeRequest) {
	ctx, span := e.opts.Tracer.Start(r.ctx, "entry.dispatch", trace.WithAttributes(attribute.String("request.id", r.request.ID)))
	defer span.End()
	var answer structs.Answer
	if r.request.Idempotent {
		answer = e.dispatchIdempotent(ctx, r)
	} else {
		answer = e.dispatchClaimed(ctx, r)
	}
	span.SetAttributes(attribute.Int("code", int(answer.Code)), attribute.Int("attempts", r.attempts))
	e.postEvent(e.ctx, func(c *control) { c.finishDispatched(r, answer) })
}

// dispatchIdempotent tries upstreams until one has run the request or the retry
// policy allows no further attempt.
func (e *Entry) dispatchIdempotent(ctx context.Context, r *activeRequest) structs.Answer {
	avoid := route.None
	mayHaveRun := false
	for {
		t, ok := e.pickUpstream(r, avoid)
		if !ok {
			if mayHaveRun {
				return structs.Answer{RequestID: r.request.ID, Code: rescode.AnswerLost}
			}
			return notRun(r.request.ID, rescode.NoUpstream)
		}
		answer := r.recordAttempt(e.attemptHedged(ctx, r, t))
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

// dispatchClaimed runs a non-idempotent request at the agent named in the claim
// of its idempotency key. The claim moves to another agent only after a proof
// that the request did not run.
func (e *Entry) dispatchClaimed(ctx context.Context, r *activeRequest) structs.Answer {
	t, ok := e.pickUpstream(r, route.None)
	if !ok {
		return notRun(r.request.ID, rescode.NoUpstream)
	}
	claim, created, err := e.createClaim(ctx, r, t)
	if err != nil {
		e.releaseUpstream(r, t)
		if rescode.Of(err) == rescode.StoreUncertain {
			// The claim may exist, and another entry may run the request.
			return structs.Answer{RequestID: r.request.ID, Code: rescode.StoreUncertain}
		}
		return notRun(r.request.ID, rescode.StoreUnavailable)
	}
	for {
		if !created {
			e.releaseUpstream(r, t)
			answer, moved := e.followClaim(ctx, r, claim)
			if moved == nil {
				return answer
			}
			claim, t = moved.claim, moved.target
		}
		r.attempts++
		answer := r.recordAttempt(e.attempt(ctx, r, t))
		if answer.Code.Outcome() != rescode.NotRun {
			return answer
		}
		decision := e.nextAttempt(r, answer.Code, false)
		if !decision.Retry || !e.sleep(decision.Delay) {
			answer.Code, answer.Detail = decision.Code, ""
			return answer
		}
		next, ok := e.pickUpstream(r, t.handle)
		if !ok {
			return answer
		}
		moved, err := e.moveClaim(ctx, r, claim, next)
		if err != nil {
			e.releaseUpstream(r, next)
			if rescode.Of(err) == rescode.VersionConflict {
				// Another entry moved the claim and may run the request.
				return structs.Answer{RequestID: r.request.ID, Code: rescode.StillRunning}
			}
			return answer
		}
		claim, t, created = moved, next, true
	}
}

// movedClaim is a claim that this entry has moved, with its new target.
type movedClaim struct {
	claim  claims.Claim
	target target
}

// followClaim answers a request whose key is already claimed from the record of
// the agent named in the claim. If that agent proves that the request did not
// run, followClaim moves the claim to a new agent and returns it instead.
func (e *Entry) followClaim(ctx context.Context, r *activeRequest, claim claims.Claim) (structs.Answer, *movedClaim) {
	if claim.Fingerprint != r.fingerprint {
		return structs.Answer{RequestID: r.request.ID, Code: rescode.KeyReused}, nil
	}
	answer := e.resolve(ctx, claim.Agent, claim.Incarnation, claim.RequestID, claim.IssuedUs, r.request.Deadline)
	answer.RequestID = r.request.ID
	if answer.Code.Outcome() != rescode.NotRun {
		return answer, nil
	}
	t, ok := e.pickUpstream(r, route.None)
	if !ok {
		return notRun(r.request.ID, rescode.NoUpstream), nil
	}
	moved, err := e.moveClaim(ctx, r, claim, t)
	if err != nil {
		e.releaseUpstream(r, t)
		// Another entry moved the claim and may run the request.
		return structs.Answer{RequestID: r.request.ID, Code: rescode.StillRunning}, nil
	}
	return structs.Answer{}, &movedClaim{moved, t}
}

func (e *Entry) createClaim(ctx context.Context, r *activeRequest, t target) (claims.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.claims.Create(ctx, r.request.Customer, r.request.IdempotencyKey, newClaim(r, t))
}

func (e *Entry) moveClaim(ctx context.Context, r *activeRequest, from claims.Claim, t target) (claims.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.claims.Move(ctx, r.request.Customer, r.request.IdempotencyKey, from, newClaim(r, t))
}

func newClaim(r *activeRequest, t target) claims.Claim {
	return claims.Claim{
		RequestID: r.request.ID, IssuedUs: r.issued.UnixMicro(), Fingerprint: r.fingerprint,
		Agent: t.agent, Incarnation: t.incarnation,
	}
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	answer    structs.Answer
	target    target
	queueWait time.Duration // in the agent's queue
	runTime   time.Duration // in the upstream
	congested bool          // the agent refused it because it was full
}

// attempt sends the request to one agent. If the session ends before the
// answer, it resolves the outcome with the agent's record.
func (e *Entry) attempt(ctx context.Context, r *activeRequest, t target) attemptResult {
	ctx, span := e.opts.Tracer.Start(ctx, "entry.attempt", trace.WithAttributes(attribute.String("vm", t.agent)))
	defer span.End()
	started := time.Now()
	response, sent, err := e.exchange(ctx, r, t)
	if err == nil {
		return e.recordAnswer(r, t, response)
	}
	e.opts.Log.Debug("Attempt ended without an answer.", "request", r.request.ID, "vm", t.agent, "err", err)
	if !sent {
		e.recordLostAttempt(r, t, false)
		return attemptResult{target: t, answer: notRun(r.request.ID, rescode.NoUpstream)}
	}
	answer := e.resolve(ctx, t.agent, t.incarnation, r.request.ID, r.issued.UnixMicro(), r.request.Deadline)
	e.recordLostAttempt(r, t, answer.Code.Outcome() == rescode.Unknown)
	return attemptResult{target: t, answer: answer, runTime: time.Since(started)}
}

// recordAnswer records an answered attempt in the control state and returns its
// result.
func (e *Entry) recordAnswer(r *activeRequest, t target, response *pb.Response) attemptResult {
	code := rescode.Code(response.Code)
	result := attemptResult{
		target: t, queueWait: time.Duration(response.WaitUs) * time.Microsecond, runTime: time.Duration(response.RunUs) * time.Microsecond,
		congested: code == rescode.SlotsFull || code == rescode.ConnectionsFull || code == rescode.Overloaded,
		answer: structs.Answer{
			RequestID: r.request.ID, Code: code, Detail: response.Detail, Body: response.Body, Upstream: t.agent,
		},
	}
	e.postEvent(e.ctx, func(c *control) { c.onAttemptResult(r, result, response.Load) })
	return result
}

// recordAttempt keeps the measurements of the latest attempt for the admission
// control and returns its answer.
func (r *activeRequest) recordAttempt(result attemptResult) structs.Answer {
	r.queueWait, r.runTime, r.congested = result.queueWait, result.runTime, result.congested
	return result.answer
}

// exchange sends the request and waits for its answer. sent is false only if no
// byte of the request can have reached the agent.
func (e *Entry) exchange(ctx context.Context, r *activeRequest, t target) (response *pb.Response, sent bool, err error) {
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
		return nil, true, errors.New("the agent sent a frame that is not a response")
	}
	return frame.GetResponse(), true, nil
}

func requestFrame(ctx context.Context, r *activeRequest, t target, remaining time.Duration) *pb.Frame {
	q := r.request
	return &pb.Frame{Body: &pb.Frame_Request{Request: &pb.Request{
		Id: q.ID, IdempotencyKey: q.IdempotencyKey, Template: q.Template, TemplateVersion: q.TemplateVersion,
		Customer: q.Customer, CustomerVersion: q.CustomerVersion, Parameters: q.Parameters, Qos: string(q.QoS),
		Idempotent: q.Idempotent, RemainingUs: uint64(remaining.Microseconds()), SizeClass: uint32(r.estimate.Class),
		ExpectedUs: uint64(r.estimate.Expected.Microseconds()), Traceparent: obs.Traceparent(ctx),
		IssuedUnixUs: r.issued.UnixMicro(), Incarnation: t.incarnation,
	}}}
}

// resolve queries the agent's record for the outcome of a request, over a new
// session if needed. A request that the agent does not know is tombstoned, so
// that it cannot start later. If the agent does not reconnect in time or has
// restarted, the answer is AgentLost and the outcome is unknown.
func (e *Entry) resolve(ctx context.Context, agent string, incarnation uint64, id string, issuedUs int64, deadline time.Time) structs.Answer {
	agentLost := structs.Answer{RequestID: id, Code: rescode.AgentLost, Upstream: agent}
	limit := min(resolveWait, max(time.Until(deadline), 0)+resolveGrace)
	giveUp := time.Now().Add(limit)
	for time.Now().Before(giveUp) {
		session, current, ok := e.agentSession(agent)
		if ok && current != incarnation {
			return agentLost
		}
		if ok {
			answer, err := e.queryRecord(ctx, session, id, issuedUs, deadline)
			if err == nil {
				answer.Upstream = agent
				return answer
			}
		}
		if !e.sleep(tickInterval) {
			break
		}
	}
	return agentLost
}

// queryRecord queries an agent once for its record of a request and tombstones
// the request there if it is unknown.
func (e *Entry) queryRecord(_ context.Context, session *wire.Session, id string, issuedUs int64, deadline time.Time) (structs.Answer, error) {
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
		return structs.Answer{}, errors.New("the agent sent a frame that is not a response")
	}
	return structs.Answer{RequestID: id, Code: rescode.Code(response.Code), Detail: response.Detail, Body: response.Body}, nil
}

// pickUpstream chooses an upstream and counts the request as in flight there. A
// target that is not used must be given back with releaseUpstream.
func (e *Entry) pickUpstream(r *activeRequest, avoid route.Handle) (target, bool) {
	type picked struct {
		target target
		ok     bool
	}
	p, ok := queryControl(e.ctx, e, func(c *control) picked {
		t, ok := c.pickUpstream(r, avoid)
		return picked{t, ok}
	})
	return p.target, ok && p.ok
}

// releaseUpstream gives back a target that was picked but not used.
func (e *Entry) releaseUpstream(r *activeRequest, t target) {
	e.postEvent(e.ctx, func(c *control) { c.router.Returned(t.handle, r.estimate.Class, 0, 0) })
}

// agentSession returns the current session of an agent and its incarnation.
func (e *Entry) agentSession(agent string) (*wire.Session, uint64, bool) {
	type found struct {
		session     *wire.Session
		incarnation uint64
	}
	f, ok := queryControl(e.ctx, e, func(c *control) found {
		a := c.agents[agent]
		if a == nil || a.session == nil {
			return found{}
		}
		return found{a.session, a.node.Incarnation}
	})
	return f.session, f.incarnation, ok && f.session != nil
}

// nextAttempt asks the retry policy whether and when to try again.
func (e *Entry) nextAttempt(r *activeRequest, code rescode.Code, mayHaveRun bool) retry.Decision {
	attempt := retry.Attempt{
		Number: r.attempts, Idempotent: r.request.Idempotent, MayHaveRun: mayHaveRun, Code: code,
		Remaining: time.Until(r.request.Deadline), Expected: r.estimate.Expected,
	}
	d, ok := queryControl(e.ctx, e, func(c *control) retry.Decision { return c.retry.Next(attempt) })
	if !ok {
		return retry.Decision{Code: code}
	}
	return d
}

// recordLostAttempt records an attempt whose session ended before its answer.
// failed counts it as a failure of the upstream.
func (e *Entry) recordLostAttempt(r *activeRequest, t target, failed bool) {
	e.postEvent(e.ctx, func(c *control) {
		c.router.Returned(t.handle, r.estimate.Class, 0, 0)
		if failed {
			c.observeOutcome(t.agent, true)
		}
	})
}

// sleep waits for d. It returns false if the entry stops before.
func (e *Entry) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.ctx.Done():
		return false
	}
}
