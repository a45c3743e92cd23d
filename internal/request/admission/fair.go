package admission

import (
	"container/heap"
	"time"
)

// fairQueue implements start-time fair queueing over customers. Each customer is a
// flow. An item costs its expected run time. Over any time in which two customers
// are backlogged, the work they get per weight differs by at most one item of
// each.
type fairQueue struct {
	flows        map[string]*flow
	active       flowHeap // flows with items, by start tag of the head
	virtualTime  float64  // start tag of the item dispatched last
	length       int
	work         time.Duration // expected run time of all items
	activeWeight float64       // total weight of the active flows
}

// flow is the queue of one customer.
type flow struct {
	customer  string
	weight    float64
	items     []Item
	work      time.Duration // expected run time of the items
	start     float64       // start tag of the head
	finish    float64       // finish tag of the last dispatched item
	heapIndex int           // index in active; -1: idle
}

// minCost is the cost of items with a shorter expected run time: dispatch itself
// costs something, and a cost of zero would make a flow's share unlimited.
const minCost = time.Millisecond

// idleFlowMargin is the number by which idle flows must outnumber the active ones
// before removeIdle removes any.
const idleFlowMargin = 64

func newFairQueue() *fairQueue { return &fairQueue{flows: make(map[string]*flow)} }

// cost returns the expected run time of an item, capped at the time that was left
// until its deadline at Submit: a wrong estimate of hours must not stop the queue
// behind it.
func cost(it Item) time.Duration {
	c := it.Expected
	if it.maxCost > 0 {
		c = min(c, it.maxCost)
	}
	return max(c, minCost)
}

// push appends an item to the flow of its customer. The weight takes effect when
// the flow was idle.
func (q *fairQueue) push(it Item, weight float64) {
	f := q.flows[it.Customer]
	if f == nil {
		q.removeIdle()
		f = &flow{customer: it.Customer, heapIndex: -1}
		q.flows[it.Customer] = f
	}
	f.items = append(f.items, it)
	f.work += cost(it)
	q.length++
	q.work += cost(it)
	if f.heapIndex < 0 {
		f.weight = weight
		f.start = max(q.virtualTime, f.finish)
		q.activeWeight += weight
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

// pop removes the first item of a flow. If charge is true, its cost is charged to
// the customer; an item that is not dispatched is not charged.
func (q *fairQueue) pop(f *flow, charge bool) Item {
	it := f.items[0]
	f.items = f.items[1:]
	q.subtractWork(f, it)
	if charge {
		q.virtualTime = f.start
		f.finish = f.start + float64(cost(it))/f.weight
		f.start = f.finish
	}
	q.restoreHeap(f)
	return it
}

// dropNewest makes room for a new item by removing the newest item of the customer
// with the most queued work per weight. It removes nothing and returns false if
// that is the customer of the new item, or has no more queued work per weight than
// the customer of the new item would have with it.
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
	q.subtractWork(worst, victim)
	q.restoreHeap(worst)
	return victim, true
}

// remove removes an item before its dispatch.
func (q *fairQueue) remove(customer, id string) bool {
	f := q.flows[customer]
	if f == nil {
		return false
	}
	for i, it := range f.items {
		if it.ID == id {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			q.subtractWork(f, it)
			q.restoreHeap(f)
			return true
		}
	}
	return false
}

// ahead estimates the work dispatched before a new item of a customer: the
// customer's backlog and the work that the others get meanwhile, at most all queued
// work.
func (q *fairQueue) ahead(customer string, weight float64) time.Duration {
	f := q.flows[customer]
	if f == nil || f.heapIndex < 0 {
		// The first item of a customer waits for at most one item of each other.
		return q.work / time.Duration(max(1, q.length)) * time.Duration(len(q.active))
	}
	fair := time.Duration(float64(f.work) * q.activeWeight / weight)
	return min(q.work, fair)
}

// subtractWork subtracts a removed item from the amounts of queued work.
func (q *fairQueue) subtractWork(f *flow, it Item) {
	f.work -= cost(it)
	q.work -= cost(it)
	q.length--
}

// restoreHeap restores the order of the active flows after an item of a flow was
// removed.
func (q *fairQueue) restoreHeap(f *flow) {
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.heapIndex)
		return
	}
	heap.Remove(&q.active, f.heapIndex)
	f.heapIndex, f.items = -1, nil
	q.activeWeight -= f.weight
	if len(q.active) == 0 {
		// No customer is backlogged: earlier service no longer counts.
		clear(q.flows)
		q.activeWeight, q.virtualTime = 0, 0
	}
}

// removeIdle removes idle flows whose finish tag has passed. They carry no state that
// a new flow lacks.
func (q *fairQueue) removeIdle() {
	if len(q.flows) < 2*len(q.active)+idleFlowMargin {
		return
	}
	for name, f := range q.flows {
		if f.heapIndex < 0 && f.finish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// share returns the queued work per weight.
func (f *flow) share() float64 { return float64(f.work) / f.weight }

// flowHeap is a heap of flows by start tag, then by customer.
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
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
