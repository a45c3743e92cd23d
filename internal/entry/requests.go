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
	// defaultDeadline applies to templates without one.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds what a caller may ask for.
	maxDeadline = 10 * time.Minute
)

// run is one request from its acceptance to its answer. After acceptance it
// belongs to the goroutine that dispatches it.
type run struct {
	request     structs.Request
	team        string
	issued      time.Time
	declared    time.Duration
	estimate    classify.Estimate
	fingerprint string
	repeat      bool // an earlier call for the request may have run
	item        admission.Item
	ctx         context.Context // carries the trace; not cancelled with the caller
	attempts    int
	wait        time.Duration // at the agent, of the last attempt
	ranFor      time.Duration
	congested   bool
}

// learned is the run time expected from measurements, 0 if there are none.
func (r *run) learned() time.Duration {
	if r.item.Measured {
		return r.estimate.Expected
	}
	return 0
}

// SubmitRequest implements api.Service. A call that repeats an earlier one is
// never told "not run": the earlier call may have run through another entry.
func (e *Entry) SubmitRequest(ctx context.Context, in api.RequestInput) (structs.Answer, error) {
	answer, err := e.submitRequest(ctx, in)
	if err == nil && in.Repeat {
		answer = unproven(answer)
	}
	return answer, err
}

// unproven turns "not run" into unknown: the proof covers one call only.
func unproven(answer structs.Answer) structs.Answer {
	if answer.Code.Outcome() == rescode.NotRun {
		answer.Detail = answer.Code.String() + "; an earlier call may have run"
		answer.Outcome, answer.Code = rescode.Unknown, rescode.RepeatUnproven
	}
	return answer
}

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
	result, ok := ask(ctx, e, func(c *control) accepted {
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
		e.do(e.ctx, func(c *control) { c.leaveWaiter(requestID, id) })
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

// prepare completes a caller's input from the configuration in force.
func (c *control) prepare(ctx context.Context, in api.RequestInput) (*run, error) {
	template, customer, err := c.lookup(in.Template, in.Customer, structs.KindRequest)
	if err != nil {
		return nil, err
	}
	parameters, err := parametersOf(template, customer, in.Parameters)
	if err != nil {
		return nil, err
	}
	if !template.Idempotent && in.IdempotencyKey == "" {
		return nil, rescode.FieldErrorf(rescode.KeyRequired, "Idempotency-Key", "template %q is not idempotent", template.Name)
	}
	timeout := deadlineOf(template, in.Timeout)
	if timeout <= 0 || timeout > c.entry.opts.MaxTimeout {
		return nil, rescode.FieldErrorf(rescode.InvalidDeadline, "Request-Timeout", "%v is not in 1ns..%v", timeout, c.entry.opts.MaxTimeout)
	}
	now := time.Now()
	r := &run{
		team: customer.Team, repeat: in.Repeat, issued: now, declared: time.Duration(template.ExpectedMillis) * time.Millisecond,
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
	r.estimate = c.classes.Estimate(template.Name, customer.Name, r.declared)
	r.item = admission.Item{
		ID: r.request.ID, Customer: customer.Name, Team: customer.Team, Urgent: template.QoS == structs.LatencyCritical,
		Deadline: r.request.Deadline, Expected: r.estimate.Expected, Measured: r.estimate.Source <= classify.FromTemplate,
	}
	return r, nil
}

// accept registers the caller and queues a new request. waiting is false when
// the answer is known at once.
func (c *control) accept(r *run, waiter chan<- structs.Answer) (answer structs.Answer, id answers.Waiter, waiting bool, err error) {
	if known := c.fingerprints[r.request.ID]; known != "" && known != r.fingerprint {
		return structs.Answer{}, 0, false, rescode.FieldErrorf(rescode.RequestIDConflict, "id", "the id is in use for another request")
	}
	if c.leaving {
		return notRun(r.request.ID, rescode.Leaving), 0, false, nil
	}
	now := time.Now()
	c.waiterID++
	id = c.waiterID
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
	c.runs[r.request.ID] = r
	code, victim := c.admission.Submit(now, r.item)
	if victim != nil {
		c.complete(c.runs[victim.ID], notRun(victim.ID, rescode.Overloaded))
	}
	if code != rescode.OK {
		c.complete(r, notRun(r.request.ID, code))
	}
	c.pump()
	return structs.Answer{}, id, true, nil
}

// pump dispatches every request that the admission limit lets through.
func (c *control) pump() {
	for {
		item, expired, ok := c.admission.Next(time.Now())
		for _, e := range expired {
			if r := c.runs[e.ID]; r != nil {
				c.complete(r, notRun(e.ID, rescode.DeadlineUnmet))
			}
		}
		if !ok {
			return
		}
		r := c.runs[item.ID]
		if r == nil {
			c.admission.Done(time.Now(), admission.Result{Urgent: item.Urgent})
			continue
		}
		c.dispatched++
		c.entry.wg.Go(func() { c.entry.dispatch(r) })
	}
}

// finished ends a dispatched request.
func (c *control) finished(r *run, answer structs.Answer) {
	c.dispatched--
	c.admission.Done(time.Now(), admission.Result{
		Urgent: r.item.Urgent, Ran: r.ranFor > 0, Wait: r.wait, Run: r.ranFor, Congested: r.congested,
	})
	c.complete(r, answer)
	c.pump()
}

// complete delivers and retains an answer.
func (c *control) complete(r *run, answer structs.Answer) {
	if r == nil {
		return
	}
	delete(c.runs, r.request.ID)
	if r.repeat {
		answer = unproven(answer)
	}
	c.entry.metrics.count(answer.Code)
	c.deliver(c.answers.Complete(time.Now(), withOutcome(answer)))
}

func (c *control) deliver(d answers.Delivery) {
	for _, w := range d.Waiters {
		if waiter, ok := c.waiters[w]; ok {
			waiter <- withOutcome(d.Answer)
			delete(c.waiters, w)
		}
	}
}

func (c *control) leaveWaiter(id string, w answers.Waiter) {
	c.answers.Leave(id, w)
	delete(c.waiters, w)
}

// expireAnswers drops what is beyond its retention.
func (c *control) expireAnswers(now time.Time) {
	for _, d := range c.answers.Expire(now) {
		c.deliver(d)
	}
	pending, completed, _ := c.answers.Len()
	if len(c.fingerprints) > 2*(pending+completed)+1024 {
		for id := range c.fingerprints {
			if c.runs[id] == nil {
				delete(c.fingerprints, id)
			}
		}
	}
}

// FetchAnswer implements api.Service. An answer that this entry does not hold
// is asked for at the other entries. NotFound means that every live entry was
// asked; if one could not be, the outcome stays unknown.
func (e *Entry) FetchAnswer(ctx context.Context, requestID string) (structs.Answer, error) {
	answer, known := e.localAnswer(ctx, requestID)
	if known {
		return answer, nil
	}
	unreachable := false
	for _, peer := range e.peers(ctx) {
		answer, err := e.askPeerForAnswer(ctx, peer, requestID)
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

// localAnswer returns the answer held here. It waits if the request runs.
func (e *Entry) localAnswer(ctx context.Context, requestID string) (structs.Answer, bool) {
	waiter := make(chan structs.Answer, 1)
	type joined struct {
		status answers.Status
		answer structs.Answer
		id     answers.Waiter
	}
	j, ok := ask(ctx, e, func(c *control) joined {
		c.waiterID++
		status, answer := c.answers.Join(requestID, c.waiterID)
		if status == answers.Waiting {
			c.waiters[c.waiterID] = waiter
		}
		return joined{status, withOutcome(answer), c.waiterID}
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
		e.do(e.ctx, func(c *control) { c.leaveWaiter(requestID, j.id) })
		return structs.Answer{RequestID: requestID, Outcome: rescode.Unknown, Code: rescode.StillRunning}, true
	}
}

func notRun(id string, code rescode.Code) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: rescode.NotRun, Code: code, Detail: code.String()}
}

// withOutcome derives the outcome from the code, so that both always agree.
func withOutcome(a structs.Answer) structs.Answer {
	a.Outcome = a.Code.Outcome()
	if a.Detail == "" && a.Code != rescode.OK {
		a.Detail = a.Code.String()
	}
	return a
}

func deadlineOf(t structs.Template, asked time.Duration) time.Duration {
	switch {
	case asked != 0:
		return asked
	case t.DeadlineMillis > 0:
		return time.Duration(t.DeadlineMillis) * time.Millisecond
	default:
		return defaultDeadline
	}
}

// fingerprint identifies the content of a request, to tell a repetition from
// another request under the same id or key.
func fingerprint(in api.RequestInput) string {
	content, err := json.Marshal([]any{in.Template, in.Customer, in.Parameters, in.IdempotencyKey})
	if err != nil {
		return ""
	}
	return digest(content)
}

func randomID(prefix string) string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	return prefix + hex.EncodeToString(b[:])
}
