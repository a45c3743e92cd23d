package scheduler

import (
	"slices"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// queue holds the waiting tasks by class, team and shape, in order of arrival within
// a shape. Tasks of a shape that fits nowhere do not block tasks of other shapes.
type queue struct {
	byID    map[structs.TaskID]*Task
	classes [2][]*teamQueue // urgent, batch; sorted by name of the team
}

// teamQueue holds the queues of one team in one class.
type teamQueue struct {
	name   string
	shapes []*shapeQueue
}

// shapeQueue is the FIFO queue of one shape and team. Withdrawn and placed tasks stay
// in it until they reach the head.
type shapeQueue struct {
	key   shapeKey
	tasks []*Task
	head  int // index of the first task; those before it are nil
}

// shapeKey keeps recovered tasks, whose restarts are rate-limited, apart from other
// tasks of the shape.
type shapeKey struct {
	Shape
	recovered bool
}

func (q *queue) init() {
	q.byID = map[structs.TaskID]*Task{}
}

// classIndex returns the index in queue.classes.
func classIndex(q structs.QoS) int {
	if q == structs.LatencyCritical {
		return 0
	}
	return 1
}

func (q *queue) add(t *Task) {
	c := classIndex(t.QoS)
	at, found := slices.BinarySearchFunc(q.classes[c], t.Team, func(tq *teamQueue, name string) int {
		return strings.Compare(tq.name, name)
	})
	if !found {
		q.classes[c] = slices.Insert(q.classes[c], at, &teamQueue{name: t.Team})
	}
	tq := q.classes[c][at]
	key := shapeKey{t.Shape, t.Recovered}
	i := slices.IndexFunc(tq.shapes, func(sq *shapeQueue) bool { return sq.key == key })
	if i < 0 {
		i = len(tq.shapes)
		tq.shapes = append(tq.shapes, &shapeQueue{key: key})
	}
	tq.shapes[i].tasks = append(tq.shapes[i].tasks, t)
	q.byID[t.ID] = t
}

// first returns the oldest waiting task of a queue, or nil. It drops withdrawn and
// placed tasks from the head.
func (q *queue) first(sq *shapeQueue) *Task {
	for sq.head < len(sq.tasks) {
		if t := sq.tasks[sq.head]; q.byID[t.ID] == t {
			return t
		}
		sq.tasks[sq.head] = nil
		sq.head++
	}
	sq.tasks, sq.head = sq.tasks[:0], 0
	return nil
}

// prune removes the empty queues of shapes.
func (tq *teamQueue) prune(q *queue) {
	tq.shapes = slices.DeleteFunc(tq.shapes, func(sq *shapeQueue) bool { return q.first(sq) == nil })
}

// prune removes empty queues of shapes and compacts long queues.
func (q *queue) prune() {
	for c := range q.classes {
		for _, tq := range q.classes[c] {
			tq.prune(q)
			for _, sq := range tq.shapes {
				if sq.head > 1024 && sq.head > len(sq.tasks)/2 {
					sq.tasks, sq.head = slices.Clone(sq.tasks[sq.head:]), 0
				}
			}
		}
	}
}

// Add queues a task. It returns false if the task is already queued or placed.
func (s *Scheduler) Add(t Task, now time.Time) bool {
	if s.queue.byID[t.ID] != nil || s.placed[t.ID] != nil {
		return false
	}
	delete(s.rejected, t.ID)
	t.Enqueued, t.node, t.TemplateIndex = now, nil, indexOf(s.templateIndexes, t.Template)
	s.queue.add(&t)
	return true
}

// Withdraw removes a waiting task.
func (s *Scheduler) Withdraw(id structs.TaskID) {
	s.dropHold(id)
	delete(s.queue.byID, id)
	delete(s.rejected, id)
}

// candidate returns the next task to try in a class, with its queue: the oldest
// task that may fit, of the team with the lowest dominant share. Queues in skip,
// and recovered tasks unless allowRecovered is set, are left out. The search is
// linear: there are 36 teams with few shapes each.
func (s *Scheduler) candidate(c int, skip map[*shapeQueue]bool, allowRecovered bool) (best *Task, from *shapeQueue) {
	bestShare := 0.0
	for _, tq := range s.queue.classes[c] {
		if len(tq.shapes) == 0 {
			continue
		}
		share := s.quota.Share(tq.name)
		if best != nil && share >= bestShare {
			continue
		}
		if t, sq := s.oldest(tq, skip, allowRecovered); t != nil {
			best, from, bestShare = t, sq, share
		}
	}
	return best, from
}

// oldest returns the oldest task of a team, with its queue. It skips shapes that are
// known to fit nowhere and tasks that exceed what is left of the quota. A task that
// exceeds the whole quota is returned, so that decide rejects it.
func (s *Scheduler) oldest(tq *teamQueue, skip map[*shapeQueue]bool, allowRecovered bool) (best *Task, from *shapeQueue) {
	empty := false
	for _, sq := range tq.shapes {
		if skip[sq] || (sq.key.recovered && !allowRecovered) {
			continue
		}
		t := s.queue.first(sq)
		empty = empty || t == nil
		if t == nil || (best != nil && !t.Enqueued.Before(best.Enqueued)) {
			continue
		}
		if cache := s.caches[sq.key.Shape]; cache != nil && cache.blockedAt == s.capacityVersion {
			continue
		}
		if !s.quota.Fits(tq.name, t.Size) && s.quota.EverFits(tq.name, t.Size) {
			continue
		}
		best, from = t, sq
	}
	if empty {
		tq.prune(&s.queue)
	}
	return best, from
}
