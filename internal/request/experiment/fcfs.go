package experiment

import (
	"time"

	"vanillalock.example/vanillalock/internal/request/slots"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// queue is the scheduler of an agent.
type queue interface {
	Submit(now time.Time, it slots.Item) rescode.Code
	Next(now time.Time) (slots.Item, []slots.Item, bool)
	Finish(id string, run time.Duration) bool
	Reclassify(id string, class structs.SizeClass) bool
	Load() slots.Load
}

// fcfs is the baseline of the agent's scheduler: one unbounded queue, first come
// first served.
type fcfs struct {
	slots   int
	busy    int
	waiting []slots.Item
}

func (f *fcfs) Submit(_ time.Time, it slots.Item) rescode.Code {
	f.waiting = append(f.waiting, it)
	return rescode.OK
}

func (f *fcfs) Next(time.Time) (slots.Item, []slots.Item, bool) {
	if f.busy >= f.slots || len(f.waiting) == 0 {
		return slots.Item{}, nil, false
	}
	it := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.busy++
	return it, nil, true
}

func (f *fcfs) Finish(string, time.Duration) bool {
	f.busy--
	return true
}

func (f *fcfs) Reclassify(string, structs.SizeClass) bool { return false }

func (f *fcfs) Load() slots.Load {
	l := slots.Load{Busy: f.busy, Connections: f.busy + len(f.waiting)}
	l.Queued[structs.SizeShort] = len(f.waiting)
	turns := time.Duration(max(0, f.busy+len(f.waiting)-f.slots+1))
	l.ShortWait = turns * shortMean / time.Duration(f.slots)
	return l
}
