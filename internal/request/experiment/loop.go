// Package experiment measures the decision packages of the request path against
// baselines in virtual time.
//
// A small event loop drives the real admission, classify, route, retry and slots
// packages of several entries and upstreams. Run times and arrivals come from a
// seeded source, so that a scenario gives the same figures in every run. Print
// all figures with
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
	seq uint64 // order of events at the same time
	do  func()
}

func (l *loop) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{l.now.Add(max(d, 0)), l.seq, do})
}

// run executes events up to a time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
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
