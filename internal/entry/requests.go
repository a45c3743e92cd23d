package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/request/admission"
	"vanillalock.example/vanillalock/internal/request/answers"
	"vanillalock.example/vanillalock/internal/request/classify"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// defaultRequestTimeout is the timeout of requests whose template declares
	// none.
	defaultRequestTimeout = 30 * time.Second
	// defaultMaxTimeout is the default of the longest timeout that a caller may
	// ask for.
	defaultMaxTimeout = 10 * time.Minute
)

// activeRequest is a request from its acceptance to its answer. From its
// dispatch on, only the goroutine that runs dispatch may change it.
type activeRequest struct {
	request         structs.Request
	team            string
	issued          time.Time
	declaredRunTime time.Duration // run time that the template declares
	estimate        classify.Estimate
	fingerprint     string
	repeat          bool // an earlier call for the request may have run
	admissionItem   admission.Item
	ctx             context.Context // carries the trace; not cancelled with the caller
	attempts        int
	queueWait       time.Duration // in the agent's queue, of the last attempt
	runTime         time.Duration // in the upstream, of the last attempt
	congested       bool          // the last attempt was refused because the agent was full
}

// measuredEstimate returns the expected run time if it is based on
// measurements, else 0.
func (r *activeRequest) measuredEstimate() time.Duration {
	if r.admissionItem.Measured {
		return r.estimate.Expected
	}
	return 0
}

// SubmitRequest implements api.Service. It never answers "not run" to a call
// that repeats an earlier one, because the earlier call may have run through
// another entry.
func (e *Entry) SubmitRequest(ctx context.Context, in api.RequestInput) (structs.Answer, error) {
	answer, err := e.submitRequest(ctx, in)
	if err == nil && in.Repeat {
		answer = notRunToUnknown(answer)
	}
	return answer, err
}

// notRunToUnknown turns the outcome "not run" of a repeated call into unknown,
// because the proof does not cover the earlier calls.
func notRunToUnknown(answer structs.Answer) structs.Answer {
	if answer.Code.Outcome() == rescode.NotRun {
		answer.Detail = answer.Code.String() + "; an earlier call may have run"
		answer.Outcome, answer.Code = rescode.Unknown, rescode.RepeatUnproven
	}
	return answer
}

// submitRequest passes a request to the control goroutine and waits for its
// answer.
func (e *Entry) submitRequest(ctx context.Context, in api.RequestInput) (structs.Answer, error) {
	ctx, span := e.opts.Tracer.Start(ctx, "entry.request", trace.WithAttributes(attribute.String("template", in.Template)))
	defer span.End()
	type accepted struct {
		answer  structs.Answer
		waiting bool
		err     error
	}
	waiter := make(chan structs.Answer, 1)
	var id answers.Waiter
	var requestID string
	result, ok := queryControl(ctx, e, func(c *control) accepted {
		r, err := c.prepare(ctx, in)
		if err != nil {
			return accepted{err: err}
		}
		requestID = r.request.ID
		answer, waiterID, waiting, err := c.accept(r, waiter)
		id = waiterID
		return accepted{answer: answer, waiting: waiting, err: err}
	})
	switch {
	case !ok && ctx.Err() == nil: // the entry stopped before it took the request
		return notRun(in.ID, rescode.Leaving), nil
	case !ok:
		// The control goroutine may still accept the request.
		return structs.Answer{RequestID: in.ID, Outcome: rescode.Unknown, Code: rescode.AnswerLost}, nil
	case result.err != nil:
		return structs.Answer{}, result.err
	case !result.waiting:
		return result.answer, nil
	}
	select {
	case answer := <-waiter:
		span.SetAttributes(attribute.Int("code", int(answer.Code)))
		return answer, nil
	case <-ctx.Done():
		e.postEvent(e.ctx, func(c *control) { c.removeWaiter(requestID, id) })
		return structs.Answer{RequestID: requestID, Outcome: rescode.Unknown, Code: rescode.StillRunning}, nil
	case <-e.ctx.Done():
	}
	select {
	case answer := <-waiter:
		return answer, nil
	default:
		return structs.Answer{RequestID: requestID, Outcome: rescode.Unknown, Code: rescode.AnswerLost}, nil
	}
}

// prepare validates a caller's input and builds the request from the
// configuration in force.
func (c *control) prepare(ctx context.Context, in api.RequestInput) (*activeRequest, error) {
	template, customer, err := c.lookup(in.Template, in.Customer, structs.KindRequest)
	if err != nil {
		return nil, err
	}
	parameters, err := mergeParameters(template, customer, in.Parameters)
	if err != nil {
		return nil, err
	}
	if !template.Idempotent && in.IdempotencyKey == "" {
		return nil, rescode.FieldErrorf(rescode.KeyRequired, "Idempotency-Key", "template %q is not idempotent", template.Name)
	}
	timeout := requestTimeout(template, in.Timeout)
	if timeout <= 0 || timeout > c.entry.opts.MaxTimeout {
		return nil, rescode.FieldErrorf(rescode.InvalidDeadline, "Request-Timeout", "%v is not in 1ns..%v", timeout, c.entry.opts.MaxTimeout)
	}
	now := time.Now()
	r := &activeRequest{
		team: customer.Team, repeat: in.Repeat, issued: now, declaredRunTime: time.Duration(template.ExpectedMillis) * time.Millisecond,
		ctx: trace.ContextWithSpanContext(context.WithoutCancel(ctx), trace.SpanContextFromContext(ctx)),
		request: structs.Request{
			ID: in.ID, IdempotencyKey: in.IdempotencyKey, Template: template.Name, TemplateVersion: template.Version,
			Customer: customer.Name, CustomerVersion: customer.Version, Parameters: parameters, QoS: template.QoS,
			Idempotent: template.Idempotent, Deadline: now.Add(timeout),
		},
	}
	if r.request.ID == "" {
		r.request.ID = randomID("r")
	}
	r.fingerprint = fingerprint(in)
	r.estimate = c.classifier.Estimate(template.Name, customer.Name, r.declaredRunTime)
	r.admissionItem = admission.Item{
		ID: r.request.ID, Customer: customer.Name, Team: customer.Team, Urgent: template.QoS == structs.LatencyCritical,
		Deadline: r.request.Deadline, Expected: r.estimate.Expected, Measured: r.estimate.Source <= classify.FromTemplate,
	}
	return r, nil
}

// accept registers the caller as a waiter and queues the request unless it is
// already known. waiting is false if the answer is known at once.
func (c *control) accept(r *activeRequest, waiter chan<- structs.Answer) (answer structs.Answer, id answers.Waiter, waiting bool, err error) {
	if known := c.fingerprints[r.request.ID]; known != "" && known != r.fingerprint {
		return structs.Answer{}, 0, false, rescode.FieldErrorf(rescode.RequestIDConflict, "id", "the id is in use for another request")
	}
	if c.leaving {
		return notRun(r.request.ID, rescode.Leaving), 0, false, nil
	}
	now := time.Now()
	c.lastWaiterID++
	id = c.lastWaiterID
	status, answer := c.answers.Open(now, r.request.ID, id)
	switch status {
	case answers.Ready, answers.Refused:
		return withOutcome(answer), 0, false, nil
	case answers.Waiting:
		c.waiters[id] = waiter
		return structs.Answer{}, id, true, nil
	}
	c.waiters[id] = waiter
	c.fingerprints[r.request.ID] = r.fingerprint
	c.retry.OnRequest()
	c.activeRequests[r.request.ID] = r
	code, victim := c.admission.Submit(now, r.admissionItem)
	if victim != nil {
		c.complete(c.activeRequests[victim.ID], notRun(victim.ID, rescode.Overloaded))
	}
	if code != rescode.OK {
		c.complete(r, notRun(r.request.ID, code))
	}
	c.dispatchQueued()
	return structs.Answer{}, id, true, nil
}

// dispatchQueued dispatches queued requests as far as the admission limit
// allows, and completes those whose deadline can no longer be met.
func (c *control) dispatchQueued() {
	for {
		item, expired, ok := c.admission.Next(time.Now())
		for _, e := range expired {
			if r := c.activeRequests[e.ID]; r != nil {
				c.complete(r, notRun(e.ID, rescode.DeadlineUnmet))
			}
		}
		if !ok {
			return
		}
		r := c.activeRequests[item.ID]
		if r == nil {
			c.admission.Done(time.Now(), admission.Result{Urgent: item.Urgent})
			continue
		}
		c.dispatched++
		c.entry.wg.Go(func() { c.entry.dispatch(r) })
	}
}

// finishDispatched reports a dispatched request to the admission control and
// completes it.
func (c *control) finishDispatched(r *activeRequest, answer structs.Answer) {
	c.dispatched--
	c.admission.Done(time.Now(), admission.Result{
		Urgent: r.admissionItem.Urgent, Ran: r.runTime > 0, Wait: r.queueWait, Run: r.runTime, Congested: r.congested,
	})
	c.complete(r, answer)
	c.dispatchQueued()
}

// complete delivers the answer of a request to its waiters and retains it.
func (c *control) complete(r *activeRequest, answer structs.Answer) {
	if r == nil {
		return
	}
	delete(c.activeRequests, r.request.ID)
	if r.repeat {
		answer = notRunToUnknown(answer)
	}
	c.entry.metrics.count(answer.Code)
	c.deliver(c.answers.Complete(time.Now(), withOutcome(answer)))
}

// deliver sends an answer to its waiters.
func (c *control) deliver(d answers.Delivery) {
	for _, w := range d.Waiters {
		if waiter, ok := c.waiters[w]; ok {
			waiter <- withOutcome(d.Answer)
			delete(c.waiters, w)
		}
	}
}

// removeWaiter removes a waiter whose caller has gone.
func (c *control) removeWaiter(id string, w answers.Waiter) {
	c.answers.Leave(id, w)
	delete(c.waiters, w)
}

// expireAnswers drops answers whose retention has ended, and their
// fingerprints.
func (c *control) expireAnswers(now time.Time) {
	for _, d := range c.answers.Expire(now) {
		c.deliver(d)
	}
	pending, completed, _ := c.answers.Len()
	if len(c.fingerprints) > 2*(pending+completed)+1024 {
		for id := range c.fingerprints {
			if c.activeRequests[id] == nil {
				delete(c.fingerprints, id)
			}
		}
	}
}

// FetchAnswer implements api.Service. If this entry does not hold the answer,
// it asks the other entries. NotFound means that every live entry was asked; if
// one could not be asked, the outcome is unknown.
func (e *Entry) FetchAnswer(ctx context.Context, requestID string) (structs.Answer, error) {
	answer, known := e.localAnswer(ctx, requestID)
	if known {
		return answer, nil
	}
	unreachable := false
	for _, peer := range e.peers(ctx) {
		answer, err := e.fetchPeerAnswer(ctx, peer, requestID)
		if err == nil {
			return answer, nil
		}
		if rescode.Of(err) != rescode.NotFound {
			unreachable = true
		}
	}
	if unreachable || !e.storeContact(ctx) {
		return structs.Answer{RequestID: requestID, Outcome: rescode.Unknown, Code: rescode.AnswerLost, Detail: "an entry that may hold the answer does not answer"}, nil
	}
	return structs.Answer{}, rescode.FieldErrorf(rescode.NotFound, "id", "no entry holds an answer for %q", requestID)
}

// localAnswer returns the answer that this entry holds. If the request is still
// running, it waits for the answer.
func (e *Entry) localAnswer(ctx context.Context, requestID string) (structs.Answer, bool) {
	waiter := make(chan structs.Answer, 1)
	type joined struct {
		status answers.Status
		answer structs.Answer
		id     answers.Waiter
	}
	j, ok := queryControl(ctx, e, func(c *control) joined {
		c.lastWaiterID++
		status, answer := c.answers.Join(requestID, c.lastWaiterID)
		if status == answers.Waiting {
			c.waiters[c.lastWaiterID] = waiter
		}
		return joined{status, withOutcome(answer), c.lastWaiterID}
	})
	switch {
	case !ok || j.status == answers.Refused:
		return structs.Answer{}, false
	case j.status == answers.Ready:
		return j.answer, true
	}
	select {
	case answer := <-waiter:
		return answer, true
	case <-ctx.Done():
		e.postEvent(e.ctx, func(c *control) { c.removeWaiter(requestID, j.id) })
		return structs.Answer{RequestID: requestID, Outcome: rescode.Unknown, Code: rescode.StillRunning}, true
	}
}

// notRun returns an answer for a request that is proven not to have run.
func notRun(id string, code rescode.Code) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: rescode.NotRun, Code: code, Detail: code.String()}
}

// withOutcome sets the outcome and a missing detail from the code, so that they
// always agree.
func withOutcome(a structs.Answer) structs.Answer {
	a.Outcome = a.Code.Outcome()
	if a.Detail == "" && a.Code != rescode.OK {
		a.Detail = a.Code.String()
	}
	return a
}

// requestTimeout returns the timeout of a request: the one asked for, else that
// of the template, else the default.
func requestTimeout(t structs.Template, asked time.Duration) time.Duration {
	switch {
	case asked != 0:
		return asked
	case t.DeadlineMillis > 0:
		return time.Duration(t.DeadlineMillis) * time.Millisecond
	default:
		return defaultRequestTimeout
	}
}

// fingerprint returns a digest of the content of a request. It distinguishes a
// repeated request from a different one with the same id or key.
func fingerprint(in api.RequestInput) string {
	content, err := json.Marshal([]any{in.Template, in.Customer, in.Parameters, in.IdempotencyKey})
	if err != nil {
		return ""
	}
	return digest(content)
}

// randomID returns the prefix followed by 12 random bytes in hex.
func randomID(prefix string) string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	return prefix + hex.EncodeToString(b[:])
}
