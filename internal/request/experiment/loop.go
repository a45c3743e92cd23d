// Package experiment simulates the request path in virtual time and compares its
// routing, admission and scheduling with baselines.
//
// A small event loop drives the real admission, classify, outlier, retry, route and
// slots packages of several entries and upstreams. Run times and arrivals are
// drawn from a seeded random source, so that a scenario gives the same figures in
// every run with one seed. Print the figures of the targets with
//
//	go test ./internal/request/experiment -run TestTargets -v
package experiment

import (
	"container/heap"
	"time"
)

// loop is an event loop in virtual time.
type loop struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

type event struct {
	at  time.Time
	seq uint64 // orders events at the same time
	fn  func()
}

// schedule schedules a function to run after a delay.
func (l *loop) schedule(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{l.now.Add(max(d, 0)), l.seq, fn})
}

// run executes all events up to a time and advances the clock to it.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = until
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
