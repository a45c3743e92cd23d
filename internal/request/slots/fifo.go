package slots

import "slices"

// fifo is a queue in order of arrival. pop and remove take linear time; the
// caller bounds its length.
type fifo struct{ items []queued }

func (f *fifo) len() int      { return len(f.items) }
func (f *fifo) head() *queued { return &f.items[0] }
func (f *fifo) push(q queued) { f.items = append(f.items, q) }

func (f *fifo) pop() queued {
	q := f.items[0]
	f.items = slices.Delete(f.items, 0, 1)
	return q
}

func (f *fifo) remove(id string) bool {
	i := slices.IndexFunc(f.items, func(q queued) bool { return q.item.ID == id })
	if i < 0 {
		return false
	}
	f.items = slices.Delete(f.items, i, i+1)
	return true
}
