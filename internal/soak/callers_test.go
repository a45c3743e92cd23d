package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// specOf is the text that a caller hands to the executors; the stand-ins act on it.
type specOf struct {
	RunMs []int `json:"run_ms"` // by step; 0: until stopped
	Fails int   `json:"fails"`  // the first runs of each task that fail
}

// behave implements standin.Behavior.
func behave(o fleet.StartOrder) (time.Duration, fleet.EndReason) {
	var s specOf
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil || o.Task.Step >= len(s.RunMs) {
		return time.Millisecond, fleet.EndFailed
	}
	run := time.Duration(s.RunMs[o.Task.Step]) * time.Millisecond
	if o.Run <= s.Fails {
		return min(run, 50*time.Millisecond), fleet.EndFailed
	}
	return run, fleet.EndDone
}

// Times of callers.
const (
	callTimeout    = 3 * time.Second
	submitTries    = 5
	pollEvery      = 300 * time.Millisecond
	readyEvery     = 500 * time.Millisecond
	readyMisses    = 2
	callersAtOnce  = 3
	betweenJobs    = 800 * time.Millisecond // mean; three callers keep the executors half busy
	lastingJobs    = 2
	cancelledShare = 0.15
	hopelessShare  = 0.1
)

// balancer knows which entries take new connections, as the platform's does.
type balancer struct{ misses []atomic.Int32 }

func (w *world) newBalancer() *balancer {
	b := &balancer{misses: make([]atomic.Int32, len(w.entries))}
	for i, p := range w.entries {
		go func() {
			client := http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
			for w.ctx.Err() == nil {
				resp, err := client.Get(wire.ReadyURL(p.ip))
				if err == nil {
					_ = resp.Body.Close()
				}
				if err != nil || resp.StatusCode != http.StatusOK {
					b.misses[i].Add(1)
				} else {
					b.misses[i].Store(0)
				}
				fleet.Sleep(w.ctx, readyEvery)
			}
		}()
	}
	return b
}

// pick returns an entry in rotation, or any if there is none.
func (b *balancer) pick(rng *rand.Rand) int {
	var ready []int
	for i := range b.misses {
		if b.misses[i].Load() < readyMisses {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return rng.IntN(len(b.misses))
	}
	return ready[rng.IntN(len(ready))]
}

// caller sends jobs over a connection that it keeps until it breaks.
type caller struct {
	w        *world
	balancer *balancer
	rng      *rand.Rand
	client   *http.Client
	calls    atomic.Int64
	cut      atomic.Int64 // calls whose connection ended without an answer
}

func (w *world) newCaller(b *balancer, seed uint64) *caller {
	c := &caller{w: w, balancer: b, rng: rand.New(rand.NewPCG(seed, 1))}
	dialer := &net.Dialer{Timeout: callTimeout}
	var mu sync.Mutex
	picks := rand.New(rand.NewPCG(seed, 3)) // under mu
	c.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			mu.Lock()
			entry := w.entries[b.pick(picks)]
			mu.Unlock()
			return dialer.DialContext(ctx, network, net.JoinHostPort(entry.ip, fmt.Sprint(wire.FrontPort)))
		},
	}}
	return c
}

// call makes one call and returns the status, or 0 without a complete answer.
func (c *caller) call(method, path string, body []byte) (status int, answer []byte, retry time.Duration) {
	req, err := http.NewRequestWithContext(c.w.ctx, method, "http://"+queueHost+path, bytes.NewReader(body))
	if err != nil {
		c.w.judge.report("request %s %s: %v", method, path, err)
		return 0, nil, 0
	}
	req.Header.Set(wire.DeadlineHeader, wire.DeadlineValue(callTimeout))
	req.GetBody = nil
	c.calls.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		c.cut.Add(1)
		return 0, nil, 0
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		c.cut.Add(1)
		return 0, nil, 0
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent: 0
	return resp.StatusCode, answer, time.Duration(seconds) * time.Second
}

// newJob draws a job.
func (c *caller) newJob(lasting bool) *sentJob {
	job := &sentJob{id: fmt.Sprintf("%016x", c.rng.Uint64()), attempts: queueAttempts}
	spec := specOf{}
	small := structs.Resources{MilliCPU: 400, MemoryMB: 300}
	switch {
	case lasting:
		spec.RunMs = []int{0}
		job.steps = []fleet.Step{{Count: 2, Need: structs.Resources{MilliCPU: 1500, MemoryMB: 2000}, Lasting: true, Image: "s", TailTarget: time.Second}}
	case c.rng.Float64() < hopelessShare:
		spec = specOf{RunMs: []int{40}, Fails: 1000}
		job.steps = []fleet.Step{{Count: 2, Need: small}}
	case c.rng.IntN(3) == 0:
		spec.RunMs = []int{900 + c.rng.IntN(900)}
		job.steps = []fleet.Step{{Count: 3, Need: structs.Resources{MilliCPU: 2000, MemoryMB: 2500}, Fills: true, Image: "f", Checkpoints: true}}
	default:
		spec = specOf{RunMs: []int{60 + c.rng.IntN(300), 60 + c.rng.IntN(300)}, Fails: c.rng.IntN(2)}
		job.steps = []fleet.Step{{Count: 1 + c.rng.IntN(4), Need: small}, {Count: 1 + c.rng.IntN(3), Need: small, After: []int{0}}}
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		c.w.judge.report("spec: %v", err)
	}
	job.spec = string(raw)
	return job
}

// submit hands a job in, as often as a caller tries.
func (c *caller) submit(job *sentJob) {
	j := c.w.judge
	j.sent(job)
	body, err := wire.EncodeJob(job.spec, job.steps)
	if err != nil {
		j.report("submission of %s: %v", job.id, err)
		return
	}
	for range submitTries {
		status, answer, retry := c.call(http.MethodPost, queuePrefix+job.id, body)
		switch {
		case status == http.StatusOK:
			j.change(job, func() { job.accepted = time.Now() })
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			j.change(job, func() { job.refused = true })
		case status == 0 || status >= http.StatusInternalServerError:
			j.change(job, func() { job.uncertain = true })
		default:
			j.report("submission of %s: status %d %s", job.id, status, answer)
			return
		}
		fleet.Sleep(c.w.ctx, max(retry, 100*time.Millisecond))
	}
}

// poll asks for a job's state and checks the answer.
func (c *caller) poll(job *sentJob) {
	status, answer, _ := c.call(http.MethodGet, queuePrefix+job.id, nil)
	switch status {
	case http.StatusOK:
		state, err := wire.DecodeState(answer)
		if err != nil {
			c.w.judge.report("state of %s: %s: %v", job.id, answer, err)
			return
		}
		c.w.judge.shown(job, state)
	case http.StatusGone:
		c.w.judge.gone(job)
	}
}

// cancel cancels a job until that is acknowledged.
func (c *caller) cancel(job *sentJob) {
	c.w.judge.change(job, func() { job.cancelled = time.Now() })
	for c.w.ctx.Err() == nil {
		status, _, retry := c.call(http.MethodDelete, queuePrefix+job.id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		fleet.Sleep(c.w.ctx, max(retry, 100*time.Millisecond))
	}
}

// work sends jobs until stop ends, and polls them until the world does.
func (c *caller) work(stop context.Context, lasting int) {
	var mu sync.Mutex
	var jobs []*sentJob
	go func() {
		for c.w.ctx.Err() == nil {
			mu.Lock()
			open := append([]*sentJob{}, jobs...)
			mu.Unlock()
			for _, job := range open {
				c.poll(job)
			}
			fleet.Sleep(c.w.ctx, pollEvery)
		}
	}()
	for i := 0; stop.Err() == nil; i++ {
		job := c.newJob(i < lasting)
		c.submit(job)
		mu.Lock()
		jobs = append(jobs, job)
		mu.Unlock()
		if i >= lasting && !job.accepted.IsZero() && c.rng.Float64() < cancelledShare {
			c.cancel(job)
		}
		fleet.Sleep(stop, rand.N(2*betweenJobs))
	}
}
