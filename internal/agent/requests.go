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
	// overrun is how long past its deadline a request that has started may
	// still run before the agent gives up on the upstream's answer.
	overrun = 30 * time.Second
	// firstFrameTimeout bounds how long a new stream may stay without a frame.
	firstFrameTimeout = 2 * time.Second
	// uncertainHold keeps the slot of a request whose answer was lost, because
	// the upstream may still be running it.
	uncertainHold = 5 * time.Second
)

// serveStream answers one stream that an entry opened.
func (a *Agent) serveStream(ctx context.Context, stream *wire.Stream) {
	defer stream.Close()
	frame, err := stream.Receive(firstFrameTimeout)
	if err != nil {
		return
	}
	a.answering.Add(1)
	defer a.answering.Add(-1)
	answers := make(chan reply, 1)
	switch body := frame.Body.(type) {
	case *pb.Frame_Request:
		a.do(ctx, func(c *control) { c.arrive(body.Request, answers) })
	case *pb.Frame_Resolve:
		a.do(ctx, func(c *control) { c.resolve(body.Resolve, answers) })
	default:
		return
	}
	select {
	case <-ctx.Done():
	case r := <-answers:
		a.respond(ctx, stream, r)
	}
}

// reply is an answer with the times of the run that gave it, 0 if none did.
type reply struct {
	structs.Answer
	wait, run time.Duration
}

func (a *Agent) respond(ctx context.Context, stream *wire.Stream, answer reply) {
	load := make(chan *pb.Load, 1)
	if !a.do(ctx, func(c *control) { load <- c.load() }) {
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

// arrive handles a request from an entry.
func (c *control) arrive(req *pb.Request, answers chan<- reply) {
	now := time.Now()
	if req.Incarnation != c.agent.opts.Node.Incarnation {
		// An earlier incarnation may have run it.
		answers <- reply{Answer: structs.Answer{RequestID: req.Id, Code: rescode.AgentLost}}
		return
	}
	w := c.register(answers)
	verdict := c.record.Arrive(now, req.Id, time.UnixMicro(req.IssuedUnixUs), w)
	if !verdict.Accepted {
		c.settle(verdict, w)
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
	c.pump()
}

// resolve answers what the record knows of a request id.
func (c *control) resolve(r *pb.Resolve, answers chan<- reply) {
	w := c.register(answers)
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
	c.settle(verdict, w)
	c.pump()
}

// register remembers a stream that may have to wait for an answer.
func (c *control) register(answers chan<- reply) dedup.Waiter {
	c.waiterID++
	c.waiters[c.waiterID] = answers
	return c.waiterID
}

// settle answers a waiter unless the record holds it until the request ends.
func (c *control) settle(verdict dedup.Verdict, w dedup.Waiter) {
	if verdict.State == dedup.Queued || verdict.State == dedup.Running {
		return
	}
	c.deliver([]dedup.Waiter{w}, reply{Answer: verdict.Answer})
}

func (c *control) deliver(waiters []dedup.Waiter, answer reply) {
	for _, w := range waiters {
		if answers, ok := c.waiters[w]; ok {
			answers <- answer
			delete(c.waiters, w)
		}
	}
}

func (c *control) refuse(id string, code rescode.Code) {
	waiters, answer := c.record.Refuse(time.Now(), id, code)
	delete(c.runs, id)
	c.agent.metrics.refused.Add(1)
	c.deliver(waiters, reply{Answer: answer})
}

// pump starts every request that may start now.
func (c *control) pump() {
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

// execute calls the upstream and posts the result.
func (a *Agent) execute(ctx context.Context, run *requestRun) {
	req := run.request
	limit := time.Duration(req.RemainingUs)*time.Microsecond + overrun
	callCtx, cancel := context.WithTimeout(obs.WithTraceparent(ctx, req.Traceparent), limit)
	defer cancel()
	callCtx, span := a.opts.Tracer.Start(callCtx, "agent.execute", trace.WithAttributes(
		attribute.String("request.id", req.Id), attribute.String("vm", a.opts.Node.ID)))
	defer span.End()
	result, err := a.opts.Upstream.Do(callCtx, structs.Request{
		ID: req.Id, IdempotencyKey: req.IdempotencyKey, Template: req.Template, TemplateVersion: req.TemplateVersion,
		Customer: req.Customer, CustomerVersion: req.CustomerVersion, Parameters: req.Parameters,
		QoS: structs.QoS(req.Qos), Idempotent: req.Idempotent, Deadline: time.Now().Add(limit - overrun),
	})
	answer := a.answerOf(req.Id, result, err)
	span.SetAttributes(attribute.Int("code", int(answer.Code)))
	took := time.Since(run.started)
	a.metrics.ran.Add(1)
	a.do(ctx, func(c *control) { c.finish(run, answer, took) })
	if answer.Code == rescode.AnswerLost {
		select {
		case <-time.After(uncertainHold):
		case <-ctx.Done():
			return
		}
	}
	a.do(ctx, func(c *control) {
		c.slots.Finish(req.Id, took)
		c.pump()
	})
}

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

func (c *control) finish(run *requestRun, answer structs.Answer, took time.Duration) {
	delete(c.runs, run.request.Id)
	waiters, stored := c.record.Finish(time.Now(), answer)
	c.deliver(waiters, reply{Answer: stored, wait: run.started.Sub(run.arrived), run: took})
}
