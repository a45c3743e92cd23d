package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/standin/upstream"
)

// Defaults of Options.
const (
	defaultTries       = 3
	defaultMaxInFlight = 20_000
	defaultGrace       = 2 * time.Second
	defaultJobPoll     = time.Second
	defaultJobWait     = 30 * time.Second
	jobTimeout         = 10 * time.Second // of one submission
	pollTimeout        = 2 * time.Second
)

// Options configure a run. Zero fields other than Entries take the defaults.
type Options struct {
	Entries     []string          // base URLs
	Tries       int               // of one call over all entries; 3
	MaxInFlight int               // requests beyond it are shed and counted; 20,000
	Grace       time.Duration     // how long a caller waits beyond its timeout; 2 s
	JobPoll     time.Duration     // interval of reading a job; 1 s
	JobWait     time.Duration     // how long jobs are polled after the end of the schedule; 30 s
	Transport   http.RoundTripper // nil: HTTP with pooled connections
	// Check validates the body of a successful request; nil compares it with the
	// echo of the stand-in upstream.
	Check func(item MixItem, a Arrival, body []byte) error
}

// Run offers the plan and returns the report when all requests have ended. It
// ends early, without an error, when ctx ends: requests in flight run to their
// end, jobs are no longer followed, and what was not offered by then is not in
// the report.
func Run(ctx context.Context, p Plan, o Options) (Report, error) {
	arrivals, err := p.Arrivals()
	if err != nil {
		return Report{}, err
	}
	if len(o.Entries) == 0 {
		return Report{}, errors.New("load: no entry address")
	}
	r := &runner{plan: p, options: withDefaults(o), collect: newCollector(milliseconds(p.Schedule.LengthMs))}
	r.client = newEntryClient(r.options)
	r.slots = make(chan struct{}, r.options.MaxInFlight)
	r.offer(ctx, arrivals)
	return r.collect.report(p), nil
}

func withDefaults(o Options) Options {
	if o.Tries <= 0 {
		o.Tries = defaultTries
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Grace <= 0 {
		o.Grace = defaultGrace
	}
	if o.JobPoll <= 0 {
		o.JobPoll = defaultJobPoll
	}
	if o.JobWait <= 0 {
		o.JobWait = defaultJobWait
	}
	if o.Check == nil {
		o.Check = func(item MixItem, a Arrival, body []byte) error {
			return upstream.CheckEcho(body, a.ID, item.Template, a.Customer, item.Parameters)
		}
	}
	return o
}

type runner struct {
	plan    Plan
	options Options
	client  *entryClient
	collect *collector
	slots   chan struct{} // requests and jobs in flight
	started time.Time
}

// offer starts every arrival at its intended time, whether or not earlier ones
// have ended.
func (r *runner) offer(ctx context.Context, arrivals []Arrival) {
	var wg sync.WaitGroup
	defer wg.Wait()
	r.started = time.Now()
	for _, a := range arrivals {
		if !sleepUntil(ctx, r.started.Add(a.At)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.recordShed(a)
			continue
		}
		wg.Go(func() {
			defer func() { <-r.slots }()
			if a.Job {
				r.runJob(ctx, a)
				return
			}
			r.runRequest(context.WithoutCancel(ctx), a)
		})
	}
}

// sleepUntil waits until a time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *runner) recordShed(a Arrival) {
	if a.Job {
		r.collect.updateJobs(func(n *JobCounts) { n.Offered++; n.Unknown++ })
		return
	}
	r.collect.add(observation{arrival: a, item: r.plan.Mix[a.Item], outcome: outcomeShed, code: codeNone})
}

// codeNone is the key of requests without an answer in Report.Codes.
const codeNone = "none"

// requestBody is the body of POST /v1/requests.
type requestBody struct {
	ID         string            `json:"id"`
	Template   string            `json:"template"`
	Customer   string            `json:"customer"`
	Parameters map[string]string `json:"parameters,omitempty"`
}

func (r *runner) runRequest(ctx context.Context, a Arrival) {
	item := r.plan.Mix[a.Item]
	body, err := json.Marshal(requestBody{a.ID, item.Template, a.Customer, item.Parameters})
	if err != nil {
		return
	}
	k := call{method: http.MethodPost, path: "/v1/requests", timeout: milliseconds(item.TimeoutMs), grace: r.options.Grace, header: true, body: body}
	if item.Key {
		k.key = a.ID
	}
	got, reached, err := r.client.do(ctx, k)
	o := observation{
		arrival: a, item: item, outcome: outcomeUnknown, code: codeNone, tries: reached.tries,
		latency: time.Since(r.started.Add(a.At)),
	}
	switch {
	case err == nil:
		r.recordResponse(&o, got)
	case !reached.sent:
		o.outcome = outcomeUnreached
	}
	r.collect.add(o)
}

// recordResponse evaluates a response. If it cannot be decoded, the outcome stays
// unknown and the answer counts as wrong.
func (r *runner) recordResponse(o *observation, got response) {
	answer, err := DecodeAnswer(got.body)
	if err != nil {
		o.wrong = true
		return
	}
	o.outcome, o.code = answer.Outcome, codeName(uint32(answer.Code))
	if answer.RequestID != "" && answer.RequestID != o.arrival.ID {
		o.wrong = true
	}
	if o.outcome == outcomeDone && answer.Code == 0 {
		o.wrong = o.wrong || r.options.Check(o.item, o.arrival, answer.Bytes()) != nil
	}
}

// Describe returns a one-line summary of the plan for logs.
func (p Plan) Describe() string {
	s := p.Schedule
	return fmt.Sprintf("seed %d, %.4g requests/s, crest %.3gx from %v for %v, length %v, %d kinds of requests, %d kinds of jobs",
		p.Seed, s.BaseRate, s.CrestFactor, milliseconds(s.CrestStartMs), milliseconds(s.CrestLengthMs), milliseconds(s.LengthMs), len(p.Mix), len(p.Jobs))
}
