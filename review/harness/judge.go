package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// judge records what clients and executors see, and finds broken rules in it.
type judge struct {
	began time.Time

	mu      sync.Mutex
	out     *os.File
	running map[string][]place    // by task: where it runs now
	done    map[string][]*doneEnd // by task: its ends "done"
	open    map[string][]*doneEnd // by executor: ends "done" that are not taken note of
	starts  map[string][]startOf  // by task
	broken  []string
}

type place struct {
	executor string
	run      int
}

type startOf struct {
	at time.Time
	place
}

// doneEnd is a run that ended "done".
type doneEnd struct {
	place
	task  string
	at    time.Time
	noted bool
}

func newJudge(path string) (*judge, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &judge{began: time.Now(), out: out, running: map[string][]place{}, done: map[string][]*doneEnd{}, open: map[string][]*doneEnd{}, starts: map[string][]startOf{}}, nil
}

// note writes a line to the record.
func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, args...)
}

func (j *judge) write(format string, args ...any) {
	_, _ = fmt.Fprintf(j.out, "%8.3f  "+format+"\n", append([]any{time.Since(j.began).Seconds()}, args...)...)
}

// breach notes a broken rule.
func (j *judge) breach(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breachLocked(format, args...)
}

func (j *judge) breachLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.write("BROKEN %s", text)
}

// started checks TWICE: no two runs of a task at the same time, on executors that are up.
func (j *judge) started(executor, task string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("executor %s: %s run %d begins", executor, task, run)
	for _, p := range j.running[task] {
		j.breachLocked("TWICE: %s run %d begins on %s while run %d goes on on %s", task, run, executor, p.run, p.executor)
	}
	j.running[task] = append(j.running[task], place{executor, run})
	j.starts[task] = append(j.starts[task], startOf{time.Now(), place{executor, run}})
	for _, d := range j.done[task] {
		if d.noted {
			j.breachLocked("TWICE: %s run %d begins on %s after run %d ended done on %s and that end was taken note of", task, run, executor, d.run, d.executor)
		}
	}
}

func (j *judge) ended(executor, task string, run int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("executor %s: %s run %d ends %s", executor, task, run, how)
	var left []place
	for _, p := range j.running[task] {
		if p != (place{executor, run}) {
			left = append(left, p)
		}
	}
	j.running[task] = left
	if how == "done" {
		d := &doneEnd{place: place{executor, run}, task: task, at: time.Now()}
		j.done[task] = append(j.done[task], d)
		j.open[executor] = append(j.open[executor], d)
	}
}

// lapsed excuses the ends that the executor has listed so far: they can't be taken note
// of any more.
func (j *judge) lapsed(executor string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open[executor] = nil
}

// acknowledged checks TWICE: no start after an end "done" that is taken note of then or
// later.
func (j *judge) acknowledged(executor, task string, run int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if how != "done" {
		return
	}
	left := j.open[executor][:0]
	for _, d := range j.open[executor] {
		if d.task != task || d.run != run {
			left = append(left, d)
			continue
		}
		d.noted = true
		j.write("executor %s: the end done of %s run %d is taken note of", executor, task, run)
		for _, s := range j.starts[task] {
			if s.at.After(d.at) {
				j.breachLocked("TWICE: %s run %d began on %s after run %d had ended done on %s, and that end is taken note of", task, s.run, s.executor, run, executor)
			}
		}
	}
	j.open[executor] = left
}

// verdict prints and returns the broken rules.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("%d breaches", len(j.broken))
	_ = j.out.Sync()
	return j.broken
}
