package admission

import (
	"container/heap"
	"time"
)

// fairQueue is start-time fair queueing over customers. An item costs its
// expected run time. Over any time in which two customers are backlogged, the
// work they get per weight differs by at most one item of each.
type fairQueue struct {
	flows   map[string]*flow
	active  flowHeap // flows with items, by start tag of the head
	virtual float64  // start tag of the item dispatched last
	length  int
	work    time.Duration // expected run time of all items
	weights float64       // of the active flows
}

type flow struct {
	customer string
	weight   float64
	items    []Item
	work     time.Duration
	start    float64 // start tag of the head
	finish   float64 // finish tag of the last dispatched item
	pos      int     // in active; -1: idle
}

// minCost is charged for items with a shorter expected run time: dispatch itself
// costs something, and a cost of zero would make a flow's share unlimited.
const minCost = time.Millisecond

// idleFlows is the number of idle flows beyond the active ones that triggers a
// sweep.
const idleFlows = 64

func newFairQueue() *fairQueue { return &fairQueue{flows: make(map[string]*flow)} }

// cost is the expected run time. It is capped at the time that was left until
// the deadline: a wrong estimate of hours must not stop the queue behind it.
func cost(it Item) time.Duration {
	c := it.Expected
	if it.maxCost > 0 {
		c = min(c, it.maxCost)
	}
	return max(c, minCost)
}

func (q *fairQueue) push(it Item, weight float64) {
	f := q.flows[it.Customer]
	if f == nil {
		q.sweep()
		f = &flow{customer: it.Customer, pos: -1}
		q.flows[it.Customer] = f
	}
	f.items = append(f.items, it)
	f.work += cost(it)
	q.length++
	q.work += cost(it)
	if f.pos < 0 {
		f.weight = weight
		f.start = max(q.virtual, f.finish)
		q.weights += weight
		heap.Push(&q.active, f)
	}
}

// head returns the flow whose first item is next, or nil.
func (q *fairQueue) head() *flow {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0]
}

// pop removes the first item of a flow. Charge accounts it to its customer; an
// item that is not dispatched is not charged.
func (q *fairQueue) pop(f *flow, charge bool) Item {
	it := f.items[0]
	f.items = f.items[1:]
	q.account(f, it)
	if charge {
		q.virtual = f.start
		f.finish = f.start + float64(cost(it))/f.weight
		f.start = f.finish
	}
	q.settle(f)
	return it
}

// dropNewest removes the newest item of the customer with the most queued work
// relative to its weight, if that exceeds the share of the given customer.
func (q *fairQueue) dropNewest(it Item, weight float64) (Item, bool) {
	own := cost(it)
	if f := q.flows[it.Customer]; f != nil {
		own += f.work
	}
	var worst *flow
	for _, f := range q.active {
		if worst == nil || f.share() > worst.share() || (f.share() == worst.share() && f.customer < worst.customer) {
			worst = f
		}
	}
	if worst == nil || worst.customer == it.Customer || worst.share() <= float64(own)/weight {
		return Item{}, false
	}
	last := len(worst.items) - 1
	victim := worst.items[last]
	worst.items = worst.items[:last]
	q.account(worst, victim)
	q.settle(worst)
	return victim, true
}

// remove takes an item out before its dispatch.
func (q *fairQueue) remove(customer, id string) bool {
	f := q.flows[customer]
	if f == nil {
		return false
	}
	for i, it := range f.items {
		if it.ID == id {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			q.account(f, it)
			q.settle(f)
			return true
		}
	}
	return false
}

// ahead returns an upper bound of the work served before a new item: all queued
// work, or what the others get while the customer's own backlog is served.
func (q *fairQueue) ahead(customer string, weight float64) time.Duration {
	f := q.flows[customer]
	if f == nil || f.pos < 0 {
		// The first item of a customer waits for at most one item of each other.
		return q.work / time.Duration(max(1, q.length)) * time.Duration(len(q.active))
	}
	fair := time.Duration(float64(f.work) * q.weights / weight)
	return min(q.work, fair)
}

func (q *fairQueue) account(f *flow, it Item) {
	f.work -= cost(it)
	q.work -= cost(it)
	q.length--
}

// settle restores the heap after a change of the flow's head.
func (q *fairQueue) settle(f *flow) {
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.pos)
		return
	}
	heap.Remove(&q.active, f.pos)
	f.pos, f.items = -1, nil
	q.weights -= f.weight
	if len(q.active) == 0 {
		// Nobody is backlogged: no claim is older than another.
		clear(q.flows)
		q.weights, q.virtual = 0, 0
	}
}

// sweep forgets idle flows that have no debt left.
func (q *fairQueue) sweep() {
	if len(q.flows) < 2*len(q.active)+idleFlows {
		return
	}
	for name, f := range q.flows {
		if f.pos < 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

func (f *flow) share() float64 { return float64(f.work) / f.weight }

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].customer < h[j].customer
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.pos = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
