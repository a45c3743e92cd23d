// Package slots schedules the requests of one upstream onto its slots.
//
// Slots and connections are hard limits. A request holds a connection from
// Submit until it ends, and a slot from Next until it ends. The queue is bounded
// per size class. Short work goes first; some slots are never given to longer
// work, and long work never starts in more than a bounded number of slots. To
// keep longer work from starving, a queue whose head has waited for the aging
// time goes before those of shorter classes while its class holds fewer slots
// than its guaranteed share.
//
// A running request that outlasts its class is moved to the longer class with
// Reclassify. It keeps its slot, counts against the bounds of its new class and
// thereby delays the next start of that class. A Scheduler is not safe for
// concurrent use.
package slots

import (
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const numClasses = int(structs.SizeLong) + 1

// Config holds the limits of a Scheduler. Arrays are indexed by size class.
type Config struct {
	Slots, Connections int
	// ReservedShort is the number of slots that are never given to medium or
	// long work.
	ReservedShort int
	// MaxLong is the number of slots held by long work from which on no further
	// long request starts. Requests reclassified as long count, and may exceed it.
	MaxLong int
	// MaxQueue bounds the queue of each class.
	MaxQueue [numClasses]int
	// Aging is the wait after which the head of a queue goes first while its
	// class holds fewer than Guaranteed slots.
	Aging      [numClasses]time.Duration
	Guaranteed [numClasses]int
	// Typical is the run time assumed for a class before any is measured. It is
	// the initial value of the moving average.
	Typical [numClasses]time.Duration
}

// DefaultConfig returns the limits of an upstream with 8 slots and 64
// connections. Long work may take 5 of the 6 slots outside the reserve, so that
// medium work always finds one; with 4, more long work misses its deadline while
// short work gains nothing.
func DefaultConfig() Config {
	return Config{
		Slots: 8, Connections: 64, ReservedShort: 2, MaxLong: 5,
		MaxQueue:   [numClasses]int{32, 16, 16},
		Aging:      [numClasses]time.Duration{0, 500 * time.Millisecond, 2 * time.Second},
		Guaranteed: [numClasses]int{0, 1, 1},
		Typical:    [numClasses]time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second},
	}
}

// Item is a request to be scheduled.
type Item struct {
	ID     string
	Class  structs.SizeClass
	Urgent bool // latency-critical: before batch work of the same class
	// Deadline is zero if there is none; Expected is the expected run time.
	Deadline time.Time
	Expected time.Duration
}

// Load is the state that the agent reports to the entries.
type Load struct {
	Busy, Connections int
	Running, Queued   [numClasses]int
	// ShortWait is the expected wait of a short request that arrives now.
	ShortWait time.Duration
}

// queued is a request in a queue.
type queued struct {
	item  Item
	since time.Time // when it was submitted
}

// Scheduler holds the queues and slots of one upstream. Create it with New.
type Scheduler struct {
	cfg          Config
	queues       [numClasses][2]fifo          // [class][0 urgent, 1 batch]
	queuedClass  map[string]structs.SizeClass // class of each queued request, by id
	runningClass map[string]structs.SizeClass // class of each running request, by id
	slotsHeld    [numClasses]int              // slots held by each class
	meanRun      [numClasses]time.Duration    // moving average of measured run times
}

// New returns an idle Scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, meanRun: cfg.Typical,
		queuedClass:  make(map[string]structs.SizeClass),
		runningClass: make(map[string]structs.SizeClass),
	}
}

// Submit queues a request, or returns the code of the refusal. A refused request
// is not held and never starts. An id that is already held is refused with
// rescode.RequestIDConflict.
func (s *Scheduler) Submit(now time.Time, it Item) rescode.Code {
	switch {
	case s.holds(it.ID):
		return rescode.RequestIDConflict
	case len(s.queuedClass)+len(s.runningClass) >= s.cfg.Connections:
		return rescode.ConnectionsFull
	case s.queuedIn(it.Class) >= s.cfg.MaxQueue[it.Class]:
		return rescode.SlotsFull
	case missesDeadline(now, it):
		return rescode.DeadlineUnmet
	}
	s.queues[it.Class][queueIndex(it)].push(queued{it, now})
	s.queuedClass[it.ID] = it.Class
	return rescode.OK
}

// Next starts the next request, if any may start. The caller repeats it until ok
// is false, after each Submit, Finish and Reclassify. The expired requests left
// the queue because they can no longer meet their deadline; they never start
// (rescode.DeadlineUnmet).
func (s *Scheduler) Next(now time.Time) (it Item, expired []Item, ok bool) {
	expired = s.expireHeads(now)
	if s.Busy() >= s.cfg.Slots {
		return Item{}, expired, false
	}
	if q := s.choose(now); q != nil {
		it = q.pop().item
		delete(s.queuedClass, it.ID)
		s.runningClass[it.ID] = it.Class
		s.slotsHeld[it.Class]++
		return it, expired, true
	}
	return Item{}, expired, false
}

// Finish frees the slot and the connection of a running request and adds its run
// time to the average of its class. It returns false if the request does not run.
func (s *Scheduler) Finish(id string, run time.Duration) bool {
	class, ok := s.runningClass[id]
	if !ok {
		return false
	}
	delete(s.runningClass, id)
	s.slotsHeld[class]--
	s.meanRun[class] += (run - s.meanRun[class]) / 8
	return true
}

// Cancel removes a queued request. It returns false if the request is not
// queued: a running one keeps its slot until the upstream ends it.
func (s *Scheduler) Cancel(id string) bool {
	class, ok := s.queuedClass[id]
	if !ok {
		return false
	}
	delete(s.queuedClass, id)
	for priority := range s.queues[class] {
		if s.queues[class][priority].remove(id) {
			break
		}
	}
	return true
}

// Reclassify moves a running request to a longer class. It returns false if the
// request does not run or the class is not longer.
func (s *Scheduler) Reclassify(id string, class structs.SizeClass) bool {
	old, ok := s.runningClass[id]
	if !ok || class <= old {
		return false
	}
	s.runningClass[id] = class
	s.slotsHeld[old]--
	s.slotsHeld[class]++
	return true
}

// Busy returns the number of occupied slots.
func (s *Scheduler) Busy() int { return len(s.runningClass) }

// Load returns the present load.
func (s *Scheduler) Load() Load {
	l := Load{Busy: s.Busy(), Connections: len(s.queuedClass) + len(s.runningClass), Running: s.slotsHeld}
	for c := range numClasses {
		l.Queued[c] = s.queuedIn(structs.SizeClass(c))
	}
	l.ShortWait = s.shortWait()
	return l
}

// shortWait returns the expected wait of a short request that arrives now: the
// time until the short requests ahead of it have started in the slots that longer
// work does not hold. If longer work holds all slots, which happens when running
// requests outlast the short class, it uses the run time of medium work instead.
func (s *Scheduler) shortWait() time.Duration {
	free := s.cfg.Slots - s.Busy()
	ahead := s.queuedIn(structs.SizeShort)
	if free > ahead {
		return 0
	}
	turns := time.Duration(ahead - free + 1)
	usable := s.cfg.Slots - s.slotsHeld[structs.SizeMedium] - s.slotsHeld[structs.SizeLong]
	if usable > 0 {
		return s.meanRun[structs.SizeShort] * turns / time.Duration(usable)
	}
	return s.meanRun[structs.SizeMedium] * turns / time.Duration(s.cfg.Slots)
}

// choose returns the queue whose head starts next, or nil. Aged heads of classes
// below their guaranteed share come first, the longest class before the others;
// then the shortest class that may start, urgent before batch.
func (s *Scheduler) choose(now time.Time) *fifo {
	for c := numClasses - 1; c > 0; c-- {
		if s.slotsHeld[c] >= s.cfg.Guaranteed[c] || !s.mayStart(c) {
			continue
		}
		if q := s.oldest(c); q != nil && now.Sub(q.head().since) >= s.cfg.Aging[c] {
			return q
		}
	}
	for c := range numClasses {
		if !s.mayStart(c) {
			continue
		}
		for priority := range s.queues[c] {
			if s.queues[c][priority].len() > 0 {
				return &s.queues[c][priority]
			}
		}
	}
	return nil
}

// mayStart reports whether the bounds of a class allow one more start.
func (s *Scheduler) mayStart(class int) bool {
	if class == int(structs.SizeShort) {
		return true
	}
	longer := s.slotsHeld[structs.SizeMedium] + s.slotsHeld[structs.SizeLong]
	if longer >= s.cfg.Slots-s.cfg.ReservedShort {
		return false
	}
	return class != int(structs.SizeLong) || s.slotsHeld[structs.SizeLong] < s.cfg.MaxLong
}

// oldest returns the queue of a class whose head has waited longest, or nil. If
// both have waited equally long, it returns the urgent queue.
func (s *Scheduler) oldest(class int) *fifo {
	a, b := &s.queues[class][0], &s.queues[class][1]
	switch {
	case a.len() == 0 && b.len() == 0:
		return nil
	case b.len() == 0 || (a.len() > 0 && !b.head().since.Before(a.head().since)):
		return a
	default:
		return b
	}
}

// expireHeads removes requests that can no longer meet their deadline from the
// heads of the queues. Those behind a head are checked when they reach it.
func (s *Scheduler) expireHeads(now time.Time) []Item {
	var out []Item
	for c := range s.queues {
		for priority := range s.queues[c] {
			q := &s.queues[c][priority]
			for q.len() > 0 && missesDeadline(now, q.head().item) {
				it := q.pop().item
				delete(s.queuedClass, it.ID)
				out = append(out, it)
			}
		}
	}
	return out
}

func (s *Scheduler) holds(id string) bool {
	_, waits := s.queuedClass[id]
	_, runs := s.runningClass[id]
	return waits || runs
}

func (s *Scheduler) queuedIn(c structs.SizeClass) int {
	return s.queues[c][0].len() + s.queues[c][1].len()
}

// missesDeadline reports whether a request that starts now is expected to end
// after its deadline.
func missesDeadline(now time.Time, it Item) bool {
	return !it.Deadline.IsZero() && now.Add(it.Expected).After(it.Deadline)
}

// queueIndex returns the index of a request's queue within its class.
func queueIndex(it Item) int {
	if it.Urgent {
		return 0
	}
	return 1
}
