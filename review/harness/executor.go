package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Figures of the executors, from the pages' example of a small deployment.
const (
	holdMax        = 10 * time.Second
	beatEvery      = 1500 * time.Millisecond
	endsPerAnswer  = 500
	maxHoldWait    = 2 * time.Second
	drainFor       = 2 * time.Second
	drainLinger    = 5 * time.Second // it serves for drainFor and "a little longer (at times many seconds)"
	executorCPU    = 16000
	executorMemory = 64000
)

// lateOrders makes a share of the start orders get no answer; they are carried out
// later, as PROTOCOL, "Running tasks", allows.
type lateOrders struct {
	share    float64
	min, max time.Duration
}

// executor is a stand-in for the executor on one side machine. It follows the section
// "Running tasks" of PROTOCOL. It never refuses a start for want of room.
type executor struct {
	name, id, address, agent string
	pool                     string
	judge                    *judge
	runTime                  func(task string, run int) time.Duration

	mu       sync.Mutex
	up       bool
	life     int // counts the incarnations
	born     time.Time
	bornMs   int64
	fence    uint64
	deadline time.Duration
	timer    *time.Timer
	runs     map[string]*taskRun
	ends     []end
	lastEnd  uint64
	closed   map[string]int // highest run of a task that was stopped or has ended
	changed  chan struct{}
	state    string
	seq      uint64
	late     *lateOrders
	starts   int // late start orders so far
}

type taskRun struct {
	number  int
	started time.Time
	timer   *time.Timer
}

type end struct {
	number uint64
	task   string
	run    int
	how    string
}

func newExecutor(name, id, address, agent, pool string, j *judge, runTime func(string, int) time.Duration) *executor {
	return &executor{name: name, id: id, address: address, agent: agent, pool: pool, judge: j, runTime: runTime}
}

// start begins a new incarnation under the same id.
func (x *executor) start() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up, x.born, x.state, x.seq = true, time.Now(), "ready", 0
	x.life++
	x.bornMs = x.born.UnixMilli()
	x.fence, x.deadline, x.lastEnd, x.ends = 0, 0, 0, nil
	x.runs, x.closed, x.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	x.judge.note("executor %s: life %d begins, born %d", x.name, x.life, x.bornMs)
}

// crash ends the incarnation: its runs are gone, and calls get no answer.
func (x *executor) crash(why string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		return
	}
	x.up = false
	for task, r := range x.runs {
		r.timer.Stop()
		x.judge.ended(x.name, task, r.number, "gone")
	}
	x.runs = nil
	close(x.changed)
	x.judge.lapsed(x.name) // its list of ends is gone
	x.judge.note("executor %s: %s", x.name, why)
}

func (x *executor) clock() time.Duration { return time.Since(x.born) }

// extend extends the lease of everything that runs.
func (x *executor) extend(deadline time.Duration) {
	if deadline > x.clock()+holdMax {
		deadline = x.clock() + holdMax
	}
	if deadline <= x.deadline {
		return
	}
	x.deadline = deadline
	life := x.life
	if x.timer != nil {
		x.timer.Stop()
	}
	x.timer = time.AfterFunc(deadline-x.clock()+time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.up && x.life == life {
			x.lapse()
		}
	})
}

// lapse ends all runs once the lease has expired.
func (x *executor) lapse() {
	if x.clock() <= x.deadline {
		return
	}
	for task, r := range x.runs {
		x.endRun(task, r, "lapsed")
	}
	x.judge.lapsed(x.name)
}

func (x *executor) endRun(task string, r *taskRun, how string) {
	r.timer.Stop()
	delete(x.runs, task)
	x.lastEnd++
	x.ends = append(x.ends, end{x.lastEnd, task, r.number, how})
	x.closed[task] = max(x.closed[task], r.number)
	x.judge.ended(x.name, task, r.number, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

type order struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	Deadline float64 `json:"deadline_ms"`
	Fence    uint64  `json:"fencing_token"`
	Seen     uint64  `json:"seen_upto"`
	Wait     float64 `json:"wait_ms"`
}

// ServeHTTP serves the calls of the agent.
func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var o order
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	x.mu.Lock()
	life, up, late := x.life, x.up, x.late
	x.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		x.answer(w, http.StatusBadRequest, nil)
		return
	}
	if want := r.Header.Get("X-Vanillalock-Expect-Instance"); want != "" && want != x.id {
		x.answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	switch r.URL.Path {
	case "/vanillalock/run-start":
		if late != nil && rand.Float64() < late.share {
			delay := late.min + rand.N(late.max-late.min)
			x.judge.note("executor %s: start of %s run %d gets no answer, carried out in %d ms", x.name, o.Task, o.Run, delay.Milliseconds())
			x.mu.Lock()
			x.starts++
			x.mu.Unlock()
			time.AfterFunc(delay, func() {
				status, reason := x.startTask(o, life)
				x.judge.note("executor %s: late start of %s run %d: %d %s", x.name, o.Task, o.Run, status, reason)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, reason := x.startTask(o, life)
		x.judge.note("executor %s: start of %s run %d: %d %s", x.name, o.Task, o.Run, status, reason)
		x.answer(w, status, reasonBody(reason))
	case "/vanillalock/run-stop":
		status, reason := x.stopTask(o, life)
		x.judge.note("executor %s: stop of %s run %d: %d %s", x.name, o.Task, o.Run, status, reason)
		x.answer(w, status, reasonBody(reason))
	case "/vanillalock/pace":
		x.answer(w, http.StatusOK, nil)
	case "/vanillalock/hold":
		x.hold(r.Context(), w, o, life)
	default:
		x.answer(w, http.StatusNotFound, nil)
	}
}

func reasonBody(reason string) map[string]any {
	if reason == "" {
		return nil
	}
	return map[string]any{"reason": reason}
}

func (x *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	x.mu.Lock()
	body["clock_ms"] = x.clock().Milliseconds()
	x.mu.Unlock()
	raw, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only if the caller has gone
}

// startTask carries out a start order for the incarnation that it was sent to.
func (x *executor) startTask(o order, life int) (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up || x.life != life {
		return 0, "the incarnation has ended"
	}
	x.lapse()
	if o.Fence < x.fence {
		return http.StatusConflict, "fence"
	}
	x.fence = o.Fence
	deadline := time.Duration(o.Deadline) * time.Millisecond
	if r := x.runs[o.Task]; r != nil && r.number >= o.Run {
		x.extend(deadline)
		return http.StatusOK, ""
	}
	if o.Run <= x.closed[o.Task] {
		x.extend(deadline)
		return http.StatusConflict, "old"
	}
	if deadline <= x.clock() {
		return http.StatusConflict, "late"
	}
	x.extend(deadline)
	r := &taskRun{number: o.Run, started: time.Now()}
	x.runs[o.Task] = r
	x.judge.started(x.name, o.Task, o.Run)
	r.timer = time.AfterFunc(x.runTime(o.Task, o.Run), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.up && x.life == life && x.runs[o.Task] == r {
			x.endRun(o.Task, r, "done")
		}
	})
	return http.StatusOK, ""
}

func (x *executor) stopTask(o order, life int) (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up || x.life != life {
		return 0, "the incarnation has ended"
	}
	x.lapse()
	if o.Fence < x.fence {
		return http.StatusConflict, "fence"
	}
	x.fence = o.Fence
	x.closed[o.Task] = max(x.closed[o.Task], o.Run)
	if r := x.runs[o.Task]; r != nil && r.number <= o.Run {
		x.endRun(o.Task, r, "stopped")
	}
	return http.StatusOK, ""
}

// hold extends the lease, forgets the ends that were taken note of, and lists.
func (x *executor) hold(ctx context.Context, w http.ResponseWriter, o order, life int) {
	x.mu.Lock()
	if !x.up || x.life != life {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	x.lapse()
	if o.Fence < x.fence {
		x.mu.Unlock()
		x.answer(w, http.StatusConflict, reasonBody("fence"))
		return
	}
	x.fence = o.Fence
	x.extend(time.Duration(o.Deadline) * time.Millisecond)
	n := sort.Search(len(x.ends), func(i int) bool { return x.ends[i].number > o.Seen })
	for _, e := range x.ends[:n] {
		x.judge.acknowledged(x.name, e.task, e.run, e.how)
	}
	x.ends = append([]end{}, x.ends[n:]...)
	changed, some := x.changed, len(x.ends) > 0
	x.mu.Unlock()
	if wait := min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait); wait > 0 && !some {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	x.mu.Lock()
	if !x.up || x.life != life {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range x.runs {
		percent := min(99, int(100*time.Since(r.started)/x.runTime(task, r.number)))
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range x.ends[:min(len(x.ends), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	if len(x.ends) > endsPerAnswer {
		x.judge.note("executor %s: %d ends wait to be taken note of, %d are listed", x.name, len(x.ends), endsPerAnswer)
	}
	born := x.bornMs
	x.mu.Unlock()
	x.answer(w, http.StatusOK, map[string]any{"born": born, "running": running, "ended": ended})
}

// beat sends one ping, unless the executor is down.
func (x *executor) beat(ctx context.Context) {
	x.mu.Lock()
	if !x.up {
		x.mu.Unlock()
		return
	}
	x.seq++
	body := map[string]any{
		"service": x.pool, "address": x.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": x.state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": executorCPU, "mem_mb": executorMemory, "gpu": 0}, "labels": []string{"a", "r1"},
		"clock_ms": x.clock().Milliseconds(), "seq": x.seq, "born": x.bornMs,
	}
	if x.state == "draining" {
		body["drain_remaining_ms"] = drainFor.Milliseconds()
	}
	x.mu.Unlock()
	x.post(ctx, "Heartbeat", body)
}

func (x *executor) post(ctx context.Context, call string, body any) bool {
	raw, err := json.Marshal(body)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/vanillalock/Instances.%s/%s", x.agent, call, x.id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// beatOn sends pings until ctx ends.
func (x *executor) beatOn(ctx context.Context) {
	for ctx.Err() == nil {
		x.beat(ctx)
		sleep(ctx, beatEvery)
	}
}

// drain announces that the executor leaves, serves on for a while, and leaves.
func (x *executor) drain(ctx context.Context) {
	x.mu.Lock()
	x.state = "draining"
	x.mu.Unlock()
	x.judge.note("executor %s: says that it drains", x.name)
	x.beat(ctx)
	x.judge.note("executor %s: has the ack that it drains", x.name)
	go func() {
		sleep(ctx, drainFor+drainLinger)
		x.crash("leaves")
		x.post(ctx, "Leave", struct{}{})
	}()
}

func (x *executor) setLate(l *lateOrders) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.late = l
}

func (x *executor) lateStarts() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.starts
}

func (x *executor) running() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.runs)
}
