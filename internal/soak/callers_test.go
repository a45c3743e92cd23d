package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// jobSpec is the specification of a job, which the caller passes to the executors as
// JSON. It tells the stand-ins how runs behave.
type jobSpec struct {
	RunMs   []int `json:"run_ms"`            // run time by step; 0: until stopped
	Fails   int   `json:"fails"`             // number of first runs of each task that fail
	FailMs  int   `json:"fail_ms,omitempty"` // run time of runs that fail, of which the first to start do; 0: 50, by their numbers
	Crashes bool  `json:"crashes,omitempty"` // each run crashes its executor
}

// runBehavior is a standin.Behavior that follows the jobSpec of the order.
func (f *testFleet) runBehavior(o fleet.StartOrder) (time.Duration, fleet.EndReason) {
	var s jobSpec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil || o.Task.Step >= len(s.RunMs) {
		return time.Millisecond, fleet.EndFailed
	}
	run := time.Duration(s.RunMs[o.Task.Step]) * time.Millisecond
	if s.Crashes {
		return run, fleet.EndUnknown
	}
	earlier := o.Run - 1
	if s.FailMs > 0 { // leaders that know nothing of each other repeat the numbers of runs
		earlier = f.checker.startsOf(o.Task)
	}
	if earlier < s.Fails {
		return min(run, cmp.Or(time.Duration(s.FailMs)*time.Millisecond, 50*time.Millisecond)), fleet.EndFailed
	}
	return run, fleet.EndDone
}

// Timing and job mix of callers.
const (
	callTimeout     = 3 * time.Second
	submitTries     = 5
	pollInterval    = 300 * time.Millisecond
	readyInterval   = 500 * time.Millisecond
	maxReadyMisses  = 2
	callerCount     = 3
	meanJobInterval = 800 * time.Millisecond // mean; at this rate three callers keep the executors half busy
	lastingJobs     = 2
	cancelledShare  = 0.15
	failingShare    = 0.1
	withdrawnShare  = 0.4                    // further jobs per job, lasting and cancelled soon
	crashingShare   = 0.06                   // further jobs per job that crash executors, in seeds with such jobs
	maxWithdrawTime = 300 * time.Millisecond // after the acceptance

	// Jobs of callers that cancel all of theirs.
	meanRecallInterval = 400 * time.Millisecond
	lastingRecallOneIn = 3                      // the others are of all kinds
	minRecallTime      = 100 * time.Millisecond // after the acceptance
	maxRecallTime      = 400 * time.Millisecond
)

// balancer tracks the readiness of the entries and chooses entries for new
// connections, as the platform's load balancer does.
type balancer struct{ misses []atomic.Int32 } // failed checks in a row, by entry

// newBalancer starts the readiness checks of all entries.
func (f *testFleet) newBalancer() *balancer {
	b := &balancer{misses: make([]atomic.Int32, len(f.entries))}
	f.balancer = b
	for i, p := range f.entries {
		go func() {
			client := http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
			for f.ctx.Err() == nil {
				resp, err := client.Get(wire.ReadyURL(p.ip))
				if err == nil {
					_ = resp.Body.Close()
				}
				if err != nil || resp.StatusCode != http.StatusOK {
					b.misses[i].Add(1)
				} else {
					b.misses[i].Store(0)
				}
				fleet.Sleep(f.ctx, readyInterval)
			}
		}()
	}
	return b
}

// pick returns the index of a random ready entry, or of any entry if none is ready.
func (b *balancer) pick(rng *rand.Rand) int {
	var ready []int
	for i := range b.misses {
		if b.misses[i].Load() < maxReadyMisses {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return rng.IntN(len(b.misses))
	}
	return ready[rng.IntN(len(ready))]
}

// caller submits and polls jobs over one connection, which it keeps until it breaks.
type caller struct {
	fleet      *testFleet
	balancer   *balancer
	rng        *rand.Rand
	longTasks  bool       // submits jobs with tasks of 0.5 to 6 s
	extra      *rand.Rand // for withdrawn jobs; the seeds of earlier hunts keep their draws
	crashes    bool       // submits jobs whose tasks crash executors
	crashRng   *rand.Rand // for these
	client     *http.Client
	calls      atomic.Int64
	unanswered atomic.Int64 // calls whose connection ended without an answer

	mu   sync.Mutex
	jobs []*sentJob // that are polled
}

func (f *testFleet) newCaller(b *balancer, seed uint64) *caller {
	c := &caller{fleet: f, balancer: b, rng: rand.New(rand.NewPCG(seed, 1)), extra: rand.New(rand.NewPCG(seed, 4)), crashRng: rand.New(rand.NewPCG(seed, 5))}
	dialer := &net.Dialer{Timeout: callTimeout}
	var mu sync.Mutex
	picks := rand.New(rand.NewPCG(seed, 3)) // under mu
	c.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			mu.Lock()
			entry := f.entries[b.pick(picks)]
			mu.Unlock()
			return dialer.DialContext(ctx, network, net.JoinHostPort(entry.ip, fmt.Sprint(wire.FrontPort)))
		},
	}}
	return c
}

// call makes one call and returns the status, or 0 without a complete answer.
func (c *caller) call(method, path string, body []byte) (status int, answer []byte, retry time.Duration) {
	req, err := http.NewRequestWithContext(c.fleet.ctx, method, "http://"+queueHost+path, bytes.NewReader(body))
	if err != nil {
		c.fleet.checker.report("request %s %s: %v", method, path, err)
		return 0, nil, 0
	}
	req.Header.Set(wire.DeadlineHeader, wire.DeadlineValue(callTimeout))
	req.GetBody = nil
	c.calls.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		c.unanswered.Add(1)
		return 0, nil, 0
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		c.unanswered.Add(1)
		return 0, nil, 0
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent: 0
	return resp.StatusCode, answer, time.Duration(seconds) * time.Second
}

// newJob returns a random job, a lasting one if asked for.
func (c *caller) newJob(rng *rand.Rand, lasting bool) *sentJob {
	job := &sentJob{id: fmt.Sprintf("%016x", rng.Uint64()), attempts: queueAttempts}
	spec := jobSpec{}
	small := structs.Resources{MilliCPU: 400, MemoryMB: 300}
	switch {
	case c.longTasks && !lasting:
		long := structs.Resources{MilliCPU: 700, MemoryMB: 600} // a third of the capacity is in use
		spec = jobSpec{RunMs: []int{500 + rng.IntN(5500), 500 + rng.IntN(5500)}, Fails: rng.IntN(2), FailMs: 300 + rng.IntN(2500)}
		job.steps = []fleet.Step{{Count: 1 + rng.IntN(4), Need: long}, {Count: 1 + rng.IntN(3), Need: long, After: []int{0}}}[:1+rng.IntN(2)]
	case lasting:
		spec.RunMs = []int{0}
		job.steps = []fleet.Step{{Count: 2, Need: structs.Resources{MilliCPU: 1500, MemoryMB: 2000}, Lasting: true, Image: "s", TailTarget: time.Second}}
	case rng.Float64() < failingShare:
		spec = jobSpec{RunMs: []int{40}, Fails: 1000}
		job.fails = true
		job.steps = []fleet.Step{{Count: 2, Need: small}}
	case rng.IntN(3) == 0:
		spec.RunMs = []int{900 + rng.IntN(900)}
		job.steps = []fleet.Step{{Count: 3, Need: structs.Resources{MilliCPU: 2000, MemoryMB: 2500}, Fills: true, Image: "f", Checkpoints: true}}
	default:
		spec = jobSpec{RunMs: []int{60 + rng.IntN(300), 60 + rng.IntN(300)}, Fails: rng.IntN(2)}
		job.steps = []fleet.Step{{Count: 1 + rng.IntN(4), Need: small}, {Count: 1 + rng.IntN(3), Need: small, After: []int{0}}}
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		c.fleet.checker.report("spec: %v", err)
	}
	job.spec = string(raw)
	return job
}

// newCrashingJob returns a job with a task that crashes each executor that starts it.
func (c *caller) newCrashingJob() *sentJob {
	spec := fmt.Sprintf(`{"run_ms":[%d],"crashes":true}`, 30+c.crashRng.IntN(300))
	return &sentJob{
		id: fmt.Sprintf("%016x", c.crashRng.Uint64()), spec: spec, attempts: queueAttempts, crashes: true,
		steps: []fleet.Step{{Count: 1, Need: structs.Resources{MilliCPU: 400, MemoryMB: 300}}},
	}
}

// submit submits a job and retries until it is accepted, at most submitTries times.
func (c *caller) submit(job *sentJob) {
	checker := c.fleet.checker
	checker.addJob(job)
	body, err := wire.EncodeJob(job.spec, job.steps)
	if err != nil {
		checker.report("submission of %s: %v", job.id, err)
		return
	}
	for range submitTries {
		status, answer, retry := c.call(http.MethodPost, queuePrefix+job.id, body)
		switch {
		case status == http.StatusOK:
			checker.update(job, func() { job.accepted = time.Now() })
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			checker.update(job, func() { job.refused = true })
		case status == 0 || status >= http.StatusInternalServerError:
			checker.update(job, func() { job.uncertain = true })
		default:
			checker.report("submission of %s: status %d %s", job.id, status, answer)
			return
		}
		fleet.Sleep(c.fleet.ctx, max(retry, 100*time.Millisecond))
	}
}

// poll queries the state of a job and passes it to the checker.
func (c *caller) poll(job *sentJob) {
	status, answer, _ := c.call(http.MethodGet, queuePrefix+job.id, nil)
	switch status {
	case http.StatusOK:
		state, err := wire.DecodeState(answer)
		if err != nil {
			c.fleet.checker.report("state of %s: %s: %v", job.id, answer, err)
			return
		}
		c.fleet.checker.checkState(job, state)
	case http.StatusGone:
		c.fleet.checker.checkNotFound(job)
	}
}

// cancel cancels a job and retries until that is acknowledged.
func (c *caller) cancel(job *sentJob) {
	c.fleet.checker.update(job, func() { job.cancelled = time.Now() })
	for c.fleet.ctx.Err() == nil {
		status, _, retry := c.call(http.MethodDelete, queuePrefix+job.id, nil)
		if status == http.StatusOK {
			c.fleet.checker.update(job, func() { job.cancelAcked = time.Now() })
		}
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		fleet.Sleep(c.fleet.ctx, max(retry, 100*time.Millisecond))
	}
}

// pollJobs polls the jobs that the caller has sent until the end of the test.
func (c *caller) pollJobs() {
	for c.fleet.ctx.Err() == nil {
		c.mu.Lock()
		open := slices.Clone(c.jobs)
		c.mu.Unlock()
		for _, job := range open {
			c.poll(job)
		}
		fleet.Sleep(c.fleet.ctx, pollInterval)
	}
}

// send submits a job, which is polled from then on.
func (c *caller) send(job *sentJob) {
	c.submit(job)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, job)
}

// recall submits jobs until stop ends and cancels each of them soon after its acceptance.
func (c *caller) recall(stop context.Context) {
	go c.pollJobs()
	for stop.Err() == nil {
		job := c.newJob(c.rng, c.rng.IntN(lastingRecallOneIn) == 0)
		delay := minRecallTime + time.Duration(c.rng.Int64N(int64(maxRecallTime-minRecallTime)))
		go func() {
			c.send(job)
			fleet.Sleep(c.fleet.ctx, delay)
			c.cancel(job)
		}()
		fleet.Sleep(stop, time.Duration(c.rng.Int64N(int64(2*meanRecallInterval))))
	}
}

// run submits jobs until stop ends, and polls them until the end of the test.
func (c *caller) run(stop context.Context, lasting int) {
	go c.pollJobs()
	for i := 0; stop.Err() == nil; i++ {
		job := c.newJob(c.rng, i < lasting)
		c.send(job)
		if i >= lasting && !job.accepted.IsZero() && c.rng.Float64() < cancelledShare {
			c.cancel(job)
		}
		if c.extra.Float64() < withdrawnShare {
			// It lasts, so that a missed cancellation shows at the end of the test.
			withdrawn := c.newJob(c.extra, true)
			c.send(withdrawn)
			fleet.Sleep(c.fleet.ctx, time.Duration(c.extra.Int64N(int64(maxWithdrawTime))))
			c.cancel(withdrawn)
		}
		if c.crashes && c.crashRng.Float64() < crashingShare {
			c.send(c.newCrashingJob())
		}
		fleet.Sleep(stop, rand.N(2*meanJobInterval))
	}
}
