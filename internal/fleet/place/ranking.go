package place

import (
	"container/heap"
	"maps"
	"slices"
)

// Ranking orders the VMs for the equal tasks of a step, best score first. It scores
// each VM once, and a VM again only after it has taken a task, so that a step of
// many tasks costs little more than one task.
type Ranking struct {
	task         *Task
	vms          []*VM
	interference Interference
	best         scoreHeap
}

// Rank returns the Ranking of the VMs for tasks like t. Until it is no longer used,
// the VMs may change only as VMs of this Ranking take such tasks.
func Rank(t *Task, vms []*VM, interference Interference) *Ranking {
	r := &Ranking{task: t, vms: vms, interference: rememberFor(t, interference)}
	for i := range vms {
		if Fits(t, vms[i], r.interference) {
			r.best = append(r.best, scored{i, score(t, vms[i], r.interference).Total()})
		}
	}
	heap.Init(&r.best)
	return r
}

// Best returns the index of the VM that Take would choose, or -1.
func (r *Ranking) Best() int {
	if len(r.best) == 0 {
		return -1
	}
	return r.best[0].vm
}

// Take adds a task to the VM with the best score and returns the index of that VM,
// or -1 if the task fits on none. busy is as in VM.Take.
func (r *Ranking) Take(busy int64) int {
	if len(r.best) == 0 {
		return -1
	}
	i := r.best[0].vm
	r.vms[i].Take(r.task, busy)
	if Fits(r.task, r.vms[i], r.interference) {
		r.best[0].score = score(r.task, r.vms[i], r.interference).Total()
		heap.Fix(&r.best, 0)
	} else {
		heap.Pop(&r.best)
	}
	return i
}

// rememberFor returns an Interference for filling tasks like t that computes the
// probability for each serving image once.
func rememberFor(t *Task, interference Interference) Interference {
	known := map[string]float64{}
	return func(serving, filling string) float64 {
		if filling != t.Image {
			return interference(serving, filling)
		}
		p, ok := known[serving]
		if !ok {
			p = interference(serving, filling)
			known[serving] = p
		}
		return p
	}
}

// scored is a VM with its score.
type scored struct {
	vm    int // index
	score float64
}

// scoreHeap is a heap with the highest score on top. Of equal scores, that of the
// first VM is.
type scoreHeap []scored

// Len implements sort.Interface.
func (h scoreHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h scoreHeap) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].vm < h[j].vm
}

// Swap implements sort.Interface.
func (h scoreHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *scoreHeap) Push(x any) { *h = append(*h, x.(scored)) }

// Pop implements heap.Interface.
func (h *scoreHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Failed holds the tasks that have fitted on no VM in a plan. Within a plan VMs only
// fill up, so larger tasks of the same kind fit on none either.
type Failed map[kind][]Task

// kind groups tasks for which the same VMs count.
type kind struct {
	pool, label, image string // the image of filling tasks only
	fills              bool
	forced, overdue    bool
}

func kindOf(t *Task) kind {
	k := kind{pool: t.Pool, label: t.Label, fills: t.Fills, forced: t.Forced, overdue: t.Overdue}
	if t.Fills {
		k.image = t.Image
	}
	return k
}

// HasPool reports whether a task of a pool fits on no VM.
func (f Failed) HasPool(pool string) bool {
	for k := range f {
		if k.pool == pool {
			return true
		}
	}
	return false
}

// Pools returns the pools of the tasks.
func (f Failed) Pools() []string {
	pools := map[string]struct{}{}
	for k := range f {
		pools[k.pool] = struct{}{}
	}
	return slices.Sorted(maps.Keys(pools))
}

// Add records that a task fits on no VM. A limit per VM may be the reason, which
// says nothing of other tasks.
func (f Failed) Add(t *Task) {
	if t.MaxPerVM == 0 {
		f[kindOf(t)] = append(f[kindOf(t)], *t)
	}
}

// Covers reports whether a task fits on no VM because a smaller one did not.
func (f Failed) Covers(t *Task) bool {
	for _, smaller := range f[kindOf(t)] {
		if smaller.Need.Fits(t.Need) {
			return true
		}
	}
	return false
}
