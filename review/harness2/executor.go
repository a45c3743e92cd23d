package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxListedEnds is the number of ends that an executor returns at a time.
const maxListedEnds = 500

// work says how long a run takes and how it ends. A duration of 0 stands for a run that lasts.
type work func(task, spec string) (time.Duration, string)

// stopObserver is told of each order to stop a run that is there: how long ago the run has
// started, and whether a list has shown it.
type stopObserver func(task string, age time.Duration, listed bool)

// executor is a stand-in for the executor of one machine. Its lives follow each other at one
// address and under one id.
type executor struct {
	id, machine, address, agent, service, zone, rack string
	capacity                                         map[string]int64
	stopTime                                         time.Duration
	work                                             work
	log                                              *record

	mu       sync.Mutex
	onStop   stopObserver // nil: none
	life     *life
	server   *http.Server
	draining bool
}

// life is one life of an executor.
type life struct {
	kind     string
	born     time.Time
	seq      uint64
	fence    uint64
	deadline time.Duration
	runs     map[string]*run
	ends     [][]any
	lastEnd  int
	closed   map[string]int
	changed  chan struct{}
	over     bool
}

type run struct {
	number   int
	started  time.Time
	takes    time.Duration // 0: it lasts
	listed   bool
	stopping bool
	timer    *time.Timer
}

// begin starts a life of the given kind and announces it.
func (x *executor) begin(kind string) error {
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	l := &life{kind: kind, born: time.Now(), runs: map[string]*run{}, closed: map[string]int{}, changed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(l, w, r) })}
	x.mu.Lock()
	x.life, x.server, x.draining = l, server, false
	x.mu.Unlock()
	x.log.event("executor begins", "machine", x.machine, "id", x.id, "kind", kind, "born", l.born.UnixMilli())
	go func() { _ = server.Serve(listener) }()
	go x.announce(l)
	return nil
}

func (x *executor) setOnStop(f stopObserver) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.onStop = f
}

// crash ends the life: connections break, runs are gone, nothing is told to anyone.
func (x *executor) crash() { x.finish("executor crashes") }

// finish ends the life, which is recorded as the given event.
func (x *executor) finish(event string) {
	x.mu.Lock()
	l, server := x.life, x.server
	l.over = true
	for task, r := range l.runs {
		r.timer.Stop()
		x.log.ran("gone", x, l, task, r.number)
	}
	l.runs = map[string]*run{}
	x.mu.Unlock()
	x.log.event(event, "machine", x.machine)
	_ = server.Close()
}

// announce sends heartbeats until the life is over.
func (x *executor) announce(l *life) {
	client := &http.Client{Timeout: time.Second}
	for {
		x.mu.Lock()
		if l.over {
			x.mu.Unlock()
			return
		}
		l.seq++
		state := "ready"
		if x.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": x.capacity, "labels": []string{l.kind, x.rack}, "clock_ms": l.clock().Milliseconds(), "seq": l.seq, "born": l.born.UnixMilli(),
		}
		x.mu.Unlock()
		pause := heartbeatInterval
		if err := post(client, "http://"+x.agent+"/vanillalock/Instances.Heartbeat/"+x.id, body); err != nil {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Seen       int    `json:"seen_upto"`
	WaitMs     int64  `json:"wait_ms"`
}

func (x *executor) serve(l *life, w http.ResponseWriter, r *http.Request) {
	var o order
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if expected := r.Header.Get("X-Vanillalock-Expect-Instance"); expected != "" && expected != x.id {
		respond(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	x.mu.Lock()
	if l.over {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	x.expire(l)
	if o.Fence < l.fence {
		x.mu.Unlock()
		x.refuse(l, w, "fence")
		return
	}
	l.fence = o.Fence
	x.mu.Unlock()
	switch r.URL.Path {
	case "/vanillalock/hold":
		x.hold(l, w, o)
	case "/vanillalock/run-start":
		x.start(l, w, o)
	case "/vanillalock/run-stop":
		x.stop(l, w, o)
	case "/vanillalock/pace":
		respond(w, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli()})
	default:
		respond(w, http.StatusNotFound, map[string]any{})
	}
}

func (x *executor) refuse(l *life, w http.ResponseWriter, reason string) {
	respond(w, http.StatusConflict, map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli(), "reason": reason})
}

// expire ends all runs once the lease has expired. The caller holds mu.
func (x *executor) expire(l *life) {
	if l.over || l.clock() <= l.deadline {
		return
	}
	for task, r := range l.runs {
		x.end(l, task, r, "lapsed")
	}
}

// extend extends the lease. The caller holds mu.
func (x *executor) extend(l *life, deadline time.Duration) {
	deadline = min(deadline, l.clock()+longestLease)
	if deadline <= l.deadline {
		return
	}
	l.deadline = deadline
	time.AfterFunc(deadline-l.clock()+time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.expire(l)
	})
}

// end ends a run. The caller holds mu.
func (x *executor) end(l *life, task string, r *run, how string) {
	r.timer.Stop()
	delete(l.runs, task)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, task, r.number, how, ""})
	l.closed[task] = max(l.closed[task], r.number)
	x.log.ran(how, x, l, task, r.number)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (x *executor) start(l *life, w http.ResponseWriter, o order) {
	x.mu.Lock()
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	x.extend(l, deadline)
	refusal := ""
	current := l.runs[o.Task]
	switch {
	case l.over:
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	case current != nil && current.number == o.Run: // it is there already
	case o.Run <= l.closed[o.Task] || current != nil && o.Run < current.number:
		refusal = "old"
	case current != nil:
		refusal = "room"
	case deadline < l.clock():
		refusal = "late"
	default:
		takes, how := x.work(o.Task, o.Spec)
		r := &run{number: o.Run, started: time.Now(), takes: takes}
		l.runs[o.Task] = r
		after := takes
		if takes == 0 {
			after = time.Hour
		}
		r.timer = time.AfterFunc(after, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !l.over && l.runs[o.Task] == r && !r.stopping {
				x.expire(l)
				if l.runs[o.Task] == r {
					x.end(l, o.Task, r, how)
				}
			}
		})
		x.log.ran("start", x, l, o.Task, o.Run)
	}
	x.mu.Unlock()
	if refusal != "" {
		x.refuse(l, w, refusal)
		return
	}
	respond(w, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli()})
}

func (x *executor) stop(l *life, w http.ResponseWriter, o order) {
	x.mu.Lock()
	l.closed[o.Task] = max(l.closed[o.Task], o.Run)
	r := l.runs[o.Task]
	var notify func()
	if r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		if f, age, listed := x.onStop, time.Since(r.started), r.listed; f != nil {
			notify = func() { f(o.Task, age, listed) }
		}
		time.AfterFunc(x.stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !l.over && l.runs[o.Task] == r {
				x.end(l, o.Task, r, "stopped")
			}
		})
	}
	x.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli()})
	if notify != nil {
		go notify()
	}
}

func (x *executor) hold(l *life, w http.ResponseWriter, o order) {
	x.mu.Lock()
	if o.DeadlineMs > 0 {
		x.extend(l, time.Duration(o.DeadlineMs)*time.Millisecond)
	}
	for len(l.ends) > 0 && l.ends[0][0].(int) <= o.Seen {
		l.ends = l.ends[1:]
	}
	ready, changed := len(l.ends) > 0, l.changed
	x.mu.Unlock()
	if wait := time.Duration(min(o.WaitMs, 2000)) * time.Millisecond; !ready && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
	x.mu.Lock()
	if l.over {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for task, r := range l.runs {
		r.listed = true
		running = append(running, []any{task, r.number, "", r.percent(), 1})
	}
	ended := append([][]any{}, l.ends[:min(len(l.ends), maxListedEnds)]...)
	body := map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli(), "running": running, "ended": ended}
	x.mu.Unlock()
	respond(w, http.StatusOK, body)
}

// percent returns the progress of a run: of one that lasts, 100 after a short startup.
func (r *run) percent() int {
	takes := r.takes
	if takes == 0 {
		takes = startup
	}
	return int(min(100, 100*time.Since(r.started)/takes))
}

func respond(w http.ResponseWriter, status int, body map[string]any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("response does not encode: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
