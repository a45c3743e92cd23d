package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Of a client.
const (
	timeLimit = 3 * time.Second
	retries   = 4
)

// step is a step of a job as it is sent.
type step map[string]any

// job is a submitted job as its client sees it.
type job struct {
	id, queue string
	sent      time.Time
	accepted  time.Time // zero: no 2xx came
	canceled  time.Time // when its cancelling was acknowledged; zero: it was not
	gone      bool      // that acknowledgement was a 410
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is the status of a response, 0 for none, with its body.
type answer struct {
	status int
	body   string
}

// call sends one request to an entry.
func (f *fleetUnderTest) call(entry *process, method, path string, body any) answer {
	var payload io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, path), payload)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Vanillalock-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	resp, err := (&http.Client{Timeout: timeLimit}).Do(req)
	a := answer{}
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			a = answer{resp.StatusCode, string(raw)}
		}
	}
	f.log.event("client", "method", method, "path", path, "entry", entry.node, "status", a.status, "body", a.body)
	return a
}

// anyFront returns an entry at random.
func (f *fleetUnderTest) anyFront() *process { return f.fronts[rand.IntN(len(f.fronts))] }

// submit hands a job in, with retries, and reports whether it was accepted.
func (f *fleetUnderTest) submit(q queue, spec string, steps ...step) *job {
	j := &job{id: newID(), queue: q.prefix, sent: time.Now()}
	for range 1 + retries {
		a := f.call(f.anyFront(), http.MethodPost, q.prefix+j.id, map[string]any{"spec": spec, "steps": steps})
		if a.status/100 == 2 {
			j.accepted = time.Now()
			return j
		}
		time.Sleep(300 * time.Millisecond)
	}
	return j
}

// state returns the state of a job, or "" without a 2xx.
func (f *fleetUnderTest) state(j *job) string {
	a := f.call(f.anyFront(), http.MethodGet, j.queue+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return ""
	}
	return body.State
}
