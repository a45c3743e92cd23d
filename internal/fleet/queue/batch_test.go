package queue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// batch is a filling job of steps that follow each other.
type batch struct {
	accepted, objective time.Duration
	steps               []batchStep
	step, left, running int // the present step, its tasks that have not begun, and those that run
	work, done          float64
	ended               time.Duration // 0: it has not ended
}

type batchStep struct {
	tasks int
	each  time.Duration
	cores float64
}

func (s batchStep) work() float64 { return float64(s.tasks) * s.each.Seconds() * s.cores }

const (
	batchCores    = 560
	batchWork     = 2 * 20 * 2.2 * 3.5 // core-seconds of the mean job
	batchArrivals = 30 * time.Second
)

// drawBatches draws jobs that want the given multiple of the cores, with 2.5 times as many
// arrivals during a burst of 6 s.
func drawBatches(r *rand.Rand, load float64, burst bool) []*batch {
	vary := func(mean, spread, limit float64) float64 {
		return min(limit, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2))
	}
	var out []*batch
	for at := 0.0; at < batchArrivals.Seconds(); {
		rate := load * batchCores / batchWork
		if burst && at > 3 && at < 9 {
			rate *= 2.5
		}
		at += r.ExpFloat64() / rate
		b := &batch{accepted: time.Duration(at * float64(time.Second)), objective: time.Second}
		for range max(1, int(math.Round(vary(2, 0.4, 5)))) {
			s := batchStep{max(1, int(vary(20, 0.6, 80))), time.Duration(vary(2.2, 0.5, 5.4) * float64(time.Second)), vary(3.5, 0.3, 7)}
			b.steps, b.work, b.objective = append(b.steps, s), b.work+s.work(), b.objective+2*s.each
		}
		b.left = b.steps[0].tasks
		out = append(out, b)
	}
	return out
}

func (b *batch) item(begin time.Time) Item {
	i := Item{Fills: true, Accepted: begin.Add(b.accepted), Objective: b.objective, WorkLeft: 1 - b.done/b.work}
	for _, s := range b.steps[b.step:] {
		i.Remaining += s.each
	}
	return i
}

// playBatches runs the jobs on batchCores cores in the given order.
func playBatches(jobs []*batch, compare func(a, b Item, now time.Time) int) {
	type run struct {
		job   *batch
		until time.Duration
	}
	begin, free := time.Unix(1_800_000_000, 0), float64(batchCores)
	var running []run
	for at := time.Duration(0); at < 2*batchArrivals; at += tick {
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.until > at {
				return false
			}
			b := r.job
			s := b.steps[b.step]
			free += s.cores
			b.running--
			b.done += s.work() / float64(s.tasks)
			if b.left == 0 && b.running == 0 {
				if b.step++; b.step == len(b.steps) {
					b.ended = at
				} else {
					b.left = b.steps[b.step].tasks
				}
			}
			return true
		})
		var waiting []*batch
		for _, b := range jobs {
			if b.accepted <= at && b.left > 0 {
				waiting = append(waiting, b)
			}
		}
		slices.SortStableFunc(waiting, func(a, b *batch) int { return compare(a.item(begin), b.item(begin), begin.Add(at)) })
		for _, b := range waiting {
			for s := b.steps[b.step]; b.left > 0 && s.cores <= free; {
				free -= s.cores
				b.left, b.running = b.left-1, b.running+1
				running = append(running, run{b, at + s.each})
			}
		}
	}
}

// shareInTime returns the share of the jobs that ended in time, and their core-seconds.
func shareInTime(jobs []*batch) (share, work float64) {
	n := 0
	for _, b := range jobs {
		if b.ended > 0 && b.ended-b.accepted <= b.objective {
			n++
			work += b.work
		}
	}
	return float64(n) / float64(len(jobs)), work
}

// Guards against filling jobs that are nearly all late once more of them have come than
// the capacity serves, and against an order that pays for it with the largest jobs.
func TestFillingJobsAreInTimeWhileCapacityIsShort(t *testing.T) {
	useful := map[float64]float64{} // core-seconds of jobs in time, by load
	for _, c := range []struct {
		load  float64
		burst bool
	}{{0.7, true}, {1, false}, {2, false}, {4, false}} {
		var before, after, largest, next []*batch
		for seed := range uint64(5) {
			draw := func() []*batch { return drawBatches(rand.New(rand.NewPCG(seed, 0)), c.load, c.burst) }
			b, a := draw(), draw()
			playBatches(b, oldestFirst)
			playBatches(a, Compare)
			slices.SortFunc(a, func(x, y *batch) int { return int(y.work - x.work) })
			before, after = append(before, b...), append(after, a...)
			largest, next = append(largest, a[:len(a)/10]...), append(next, a[len(a)/10:3*len(a)/10]...)
		}
		was, _ := shareInTime(before)
		share, work := shareInTime(after)
		ofLargest, _ := shareInTime(largest)
		ofNext, _ := shareInTime(next)
		useful[c.load] = work
		t.Logf("load %.1f, burst %v: in time %.2f -> %.2f, of the largest tenth %.2f, of the fifth below it %.2f; useful work %.0f", c.load, c.burst, was, share, ofLargest, ofNext, work)
		require.GreaterOrEqual(t, share, was)
		require.GreaterOrEqual(t, ofLargest, share/2)
		require.GreaterOrEqual(t, ofNext, share/2)
	}
	require.GreaterOrEqual(t, useful[2], 0.95*useful[1])
	require.GreaterOrEqual(t, useful[4], 0.95*useful[1])
}
