package agent

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/request/dedup"
	"vanillalock.example/vanillalock/internal/request/slots"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/upstream"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// maxOverrun is how long past its deadline a started request may run before
	// the agent stops waiting for the upstream's answer.
	maxOverrun = 30 * time.Second
	// firstFrameTimeout bounds how long a new stream may stay without a frame.
	firstFrameTimeout = 2 * time.Second
	// uncertainSlotHold is how long the slot of a request whose answer was lost
	// stays taken, because the upstream may still be running it.
	uncertainSlotHold = 5 * time.Second
)

// serveStream answers the request or the Resolve message of a stream that an entry
// opened.
func (a *Agent) serveStream(ctx context.Context, stream *wire.Stream) {
	defer stream.Close()
	frame, err := stream.Receive(firstFrameTimeout)
	if err != nil {
		return
	}
	a.pendingAnswers.Add(1)
	defer a.pendingAnswers.Add(-1)
	answers := make(chan reply, 1)
	switch body := frame.Body.(type) {
	case *pb.Frame_Request:
		a.postEvent(ctx, func(c *control) { c.handleRequest(body.Request, answers) })
	case *pb.Frame_Resolve:
		a.postEvent(ctx, func(c *control) { c.handleResolve(body.Resolve, answers) })
	default:
		return
	}
	select {
	case <-ctx.Done():
	case r := <-answers:
		a.respond(ctx, stream, r)
	}
}

// reply is an answer with the times that its request waited for a slot and ran.
// Both are 0 if this call did not run it.
type reply struct {
	structs.Answer
	wait, run time.Duration
}

// respond sends an answer together with the agent's current load.
func (a *Agent) respond(ctx context.Context, stream *wire.Stream, answer reply) {
	load := make(chan *pb.Load, 1)
	if !a.postEvent(ctx, func(c *control) { load <- c.load() }) {
		return
	}
	response := &pb.Response{
		Id: answer.RequestID, Code: uint32(answer.Code), Detail: answer.Detail, Body: answer.Body,
		RunUs: uint64(answer.run.Microseconds()), WaitUs: uint64(answer.wait.Microseconds()),
	}
	select {
	case response.Load = <-load:
	case <-ctx.Done():
		return
	}
	if err := stream.Send(&pb.Frame{Body: &pb.Frame_Response{Response: response}}); err != nil {
		a.opts.Log.Debug("Answer not sent.", "request", answer.RequestID, "err", err)
	}
}

// handleRequest accepts or refuses a request from an entry. The answer is sent to
// answers, at once or when the request ends.
func (c *control) handleRequest(req *pb.Request, answers chan<- reply) {
	now := time.Now()
	if req.Incarnation != c.agent.opts.Node.Incarnation {
		// The incarnation that it was meant for may have run it.
		answers <- reply{Answer: structs.Answer{RequestID: req.Id, Code: rescode.AgentLost}}
		return
	}
	w := c.addWaiter(answers)
	verdict := c.record.Arrive(now, req.Id, time.UnixMicro(req.IssuedUnixUs), w)
	if !verdict.Accepted {
		c.answerUnlessPending(verdict, w)
		return
	}
	if c.leaving && now.Sub(c.leavingSince) > leaveGrace {
		c.refuse(req.Id, rescode.Leaving)
		return
	}
	item := slots.Item{
		ID: req.Id, Class: structs.SizeClass(req.SizeClass), Urgent: structs.QoS(req.Qos) == structs.LatencyCritical,
		Deadline: now.Add(time.Duration(req.RemainingUs) * time.Microsecond),
		Expected: time.Duration(req.ExpectedUs) * time.Microsecond,
	}
	if code := c.slots.Submit(now, item); code != rescode.OK {
		c.refuse(req.Id, code)
		return
	}
	c.runs[req.Id] = &requestRun{request: req, arrived: now, class: item.Class}
	c.startRequests()
}

// handleResolve answers what the record knows of a request ID. With r.Tombstone it
// also keeps a request that has not started from ever running.
func (c *control) handleResolve(r *pb.Resolve, answers chan<- reply) {
	w := c.addWaiter(answers)
	verdict, dropped := c.record.Resolve(time.Now(), r.Id, time.UnixMicro(r.IssuedUnixUs), r.Tombstone, r.Wait, w)
	if verdict.State == dedup.Tombstoned {
		c.slots.Cancel(r.Id)
		delete(c.runs, r.Id)
		c.deliver(dropped, reply{Answer: verdict.Answer})
	}
	if !r.Wait && (verdict.State == dedup.Queued || verdict.State == dedup.Running) {
		verdict.Answer = structs.Answer{RequestID: r.Id, Code: rescode.StillRunning}
		verdict.State = dedup.Done
	}
	c.answerUnlessPending(verdict, w)
	c.startRequests()
}

// addWaiter registers a stream that may have to wait for its answer.
func (c *control) addWaiter(answers chan<- reply) dedup.Waiter {
	c.lastWaiter++
	c.waiters[c.lastWaiter] = answers
	return c.lastWaiter
}

// answerUnlessPending answers a waiter with the verdict's answer. If the request is
// queued or running, the record keeps the waiter until the request ends.
func (c *control) answerUnlessPending(verdict dedup.Verdict, w dedup.Waiter) {
	if verdict.State == dedup.Queued || verdict.State == dedup.Running {
		return
	}
	c.deliver([]dedup.Waiter{w}, reply{Answer: verdict.Answer})
}

// deliver sends an answer to waiters and removes them.
func (c *control) deliver(waiters []dedup.Waiter, answer reply) {
	for _, w := range waiters {
		if answers, ok := c.waiters[w]; ok {
			answers <- answer
			delete(c.waiters, w)
		}
	}
}

// refuse records that a request does not run and answers its waiters.
func (c *control) refuse(id string, code rescode.Code) {
	waiters, answer := c.record.Refuse(time.Now(), id, code)
	delete(c.runs, id)
	c.agent.metrics.requestsRefused.Add(1)
	c.deliver(waiters, reply{Answer: answer})
}

// startRequests starts every queued request that may start now, and refuses those
// whose deadline can no longer be met.
func (c *control) startRequests() {
	for {
		item, expired, ok := c.slots.Next(time.Now())
		for _, e := range expired {
			c.refuse(e.ID, rescode.DeadlineUnmet)
		}
		if !ok {
			return
		}
		run := c.runs[item.ID]
		if run == nil || !c.record.Start(item.ID) {
			c.slots.Finish(item.ID, 0)
			continue
		}
		run.started = time.Now()
		c.agent.wg.Go(func() { c.agent.execute(c.ctx, run) })
	}
}

// reclassify moves requests that outlast their class to the longer one.
func (c *control) reclassify(now time.Time) {
	for id, run := range c.runs {
		if run.started.IsZero() {
			continue
		}
		class, _ := c.classes.Outlasted(run.class, now.Sub(run.started))
		if class > run.class && c.slots.Reclassify(id, class) {
			run.class = class
		}
	}
}

// execute runs a request on the upstream and posts the result. It frees the slot,
// after uncertainSlotHold if the answer was lost.
func (a *Agent) execute(ctx context.Context, run *requestRun) {
	req := run.request
	limit := time.Duration(req.RemainingUs)*time.Microsecond + maxOverrun
	callCtx, cancel := context.WithTimeout(obs.WithTraceparent(ctx, req.Traceparent), limit)
	defer cancel()
	callCtx, span := a.opts.Tracer.Start(callCtx, "agent.execute", trace.WithAttributes(
		attribute.String("request.id", req.Id), attribute.String("vm", a.opts.Node.ID)))
	defer span.End()
	result, err := a.opts.Upstream.Do(callCtx, structs.Request{
		ID: req.Id, IdempotencyKey: req.IdempotencyKey, Template: req.Template, TemplateVersion: req.TemplateVersion,
		Customer: req.Customer, CustomerVersion: req.CustomerVersion, Parameters: req.Parameters,
		QoS: structs.QoS(req.Qos), Idempotent: req.Idempotent, Deadline: time.Now().Add(limit - maxOverrun),
	})
	answer := a.answerOf(req.Id, result, err)
	span.SetAttributes(attribute.Int("code", int(answer.Code)))
	took := time.Since(run.started)
	a.metrics.requestsRun.Add(1)
	a.postEvent(ctx, func(c *control) { c.finishRequest(run, answer, took) })
	if answer.Code == rescode.AnswerLost {
		select {
		case <-time.After(uncertainSlotHold):
		case <-ctx.Done():
			return
		}
	}
	a.postEvent(ctx, func(c *control) {
		c.slots.Finish(req.Id, took)
		c.startRequests()
	})
}

// answerOf converts the outcome of a call to the upstream to an answer.
func (a *Agent) answerOf(id string, result upstream.Result, err error) structs.Answer {
	answer := structs.Answer{RequestID: id, Upstream: a.opts.Node.ID, Body: result.Body, Code: rescode.OK}
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		answer.Code, answer.Detail = rescode.NoUpstream, "the upstream does not accept connections"
	case err != nil:
		answer.Code, answer.Detail = rescode.AnswerLost, err.Error()
	case result.Failed:
		answer.Code = rescode.UpstreamFailed
	}
	return answer
}

// finishRequest records the answer of a request and sends it to the waiters.
func (c *control) finishRequest(run *requestRun, answer structs.Answer, took time.Duration) {
	delete(c.runs, run.request.Id)
	waiters, stored := c.record.Finish(time.Now(), answer)
	c.deliver(waiters, reply{Answer: stored, wait: run.started.Sub(run.arrived), run: took})
}
