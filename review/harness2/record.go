package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// ranEvent is what an executor did with a run: start, or how it ended. gone: the executor has
// crashed under it.
type ranEvent struct {
	what, machine, kind, task string
	run                       int
	at                        time.Time
}

// record writes record.txt and keeps the events of the executors.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
	runs  []ranEvent
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

func (r *record) line(text string) {
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), text)
}

// event records something with keys and values.
func (r *record) event(what string, fields ...any) {
	var b strings.Builder
	b.WriteString(what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(b.String())
}

// ran records what an executor did with a run.
func (r *record) ran(what string, x *executor, l *life, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, ranEvent{what, x.machine, l.kind, task, run, time.Now()})
	r.line(fmt.Sprintf("run %s task=%s run=%d machine=%s kind=%s", what, task, run, x.machine, l.kind))
}

// runsOf returns the events of the runs of a job.
func (r *record) runsOf(job string) []ranEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ranEvent
	for _, e := range r.runs {
		if strings.HasPrefix(e.task, job+".") {
			out = append(out, e)
		}
	}
	return out
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
