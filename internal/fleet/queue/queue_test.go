package queue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome is what callers get on a simulated day.
type outcome struct {
	inTime, clips int     // clips that ended in time, and all
	ended         int     // clips that ended at all, a minute after the last arrival
	feedShare     float64 // mean share of the wanted feeds that run
}

// Figures of the simulated day.
const (
	cores, feeds, feedCores = 900, 135, 6
	clipTasks               = 10 // of a core each
	tick                    = 50 * time.Millisecond
	work, objective         = 500 * time.Millisecond, 1200 * time.Millisecond
	feedTime                = 70 * time.Second
	clipsPerSecond          = 4.4
	lossAt                  = 8 * time.Second // a fifth of the cores leaves
	arrivals, length        = 40 * time.Second, 100 * time.Second
)

// task is a task of a clip, or a feed.
type task struct {
	Item
	cores int
	until time.Time
	left  *int // tasks of the clip that have not ended
}

// play simulates the day with the given order of waiting tasks. Feeds want nine tenths
// of the cores; one that ends is followed by another.
func play(seed uint64, compare func(a, b Item, now time.Time) int) outcome {
	random := rand.New(rand.NewPCG(seed, 0))
	begin := time.Unix(1_800_000_000, 0)
	var waiting, running []task
	feed := func(now time.Time) task {
		return task{Item: Item{Lasting: true, Accepted: now}, cores: feedCores}
	}
	for range feeds {
		waiting = append(waiting, feed(begin))
	}
	var out outcome
	free, feedTicks, ticks := cores, 0, 0
	for at := time.Duration(0); at < length; at += tick {
		now := begin.Add(at)
		if at == lossAt {
			lost := 0
			running = slices.DeleteFunc(running, func(t task) bool {
				if !t.Lasting || lost >= cores/5 {
					return false
				}
				lost += t.cores
				waiting = append(waiting, t)
				return true
			})
		}
		running = slices.DeleteFunc(running, func(t task) bool {
			if t.until.After(now) {
				return false
			}
			free += t.cores
			if t.Lasting {
				waiting = append(waiting, feed(now))
				return true
			}
			if *t.left--; *t.left == 0 {
				out.ended++
				if now.Sub(t.Accepted) <= objective {
					out.inTime++
				}
			}
			return true
		})
		if at < arrivals && random.Float64() < clipsPerSecond*tick.Seconds() {
			left := clipTasks
			for range clipTasks {
				waiting = append(waiting, task{Item: Item{Accepted: now, Objective: objective}, cores: 1, left: &left})
			}
			out.clips++
		}
		slices.SortStableFunc(waiting, func(a, b task) int { return compare(a.Item, b.Item, now) })
		waiting = slices.DeleteFunc(waiting, func(t task) bool {
			if t.cores > free {
				return false
			}
			free -= t.cores
			t.until = now.Add(work)
			if t.Lasting {
				t.until = now.Add(time.Duration(random.ExpFloat64() * float64(feedTime)))
			}
			running = append(running, t)
			return true
		})
		if at < arrivals {
			ticks++
			for _, t := range running {
				if t.Lasting {
					feedTicks++
				}
			}
		}
	}
	out.feedShare = float64(feedTicks) / float64(ticks) / feeds
	return out
}

// oldestFirst is the order that Compare replaces.
func oldestFirst(a, b Item, _ time.Time) int { return a.Accepted.Compare(b.Accepted) }

// Guards against clips that are all late while capacity is short, which they need a
// twentieth of, because feeds take every core that frees up.
func TestShortJobsAreInTimeWhileCapacityIsShort(t *testing.T) {
	var before, after outcome
	for seed := range uint64(10) {
		b, a := play(seed, oldestFirst), play(seed, Compare)
		require.Equal(t, a.clips, a.ended, "each clip ends, seed %d", seed)
		before.inTime, before.feedShare = before.inTime+b.inTime, before.feedShare+b.feedShare/10
		after.inTime, after.clips, after.feedShare = after.inTime+a.inTime, after.clips+a.clips, after.feedShare+a.feedShare/10
	}
	t.Logf("clips in time %d -> %d of %d, feeds at work %.3f -> %.3f", before.inTime, after.inTime, after.clips, before.feedShare, after.feedShare)
	require.Greater(t, after.inTime, before.inTime*3/2)
	require.Greater(t, after.feedShare, before.feedShare-0.08)
}

// Guards against an order that depends on anything but priority, rank, the share of the
// work of filling jobs that is left, and age.
func TestOrder(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	want := []Item{
		{Accepted: ago(time.Minute), Objective: time.Second}, // too late, but no longer put off
		{Accepted: ago(2 * time.Second), Objective: 3 * time.Second},
		{Accepted: ago(time.Second)},
		{Accepted: ago(time.Hour), Lasting: true},
		{Accepted: ago(time.Second), Lasting: true},
		{Accepted: ago(4 * time.Second), Objective: 3 * time.Second},
		{Accepted: ago(2 * time.Second), Objective: 3 * time.Second, Remaining: 2 * time.Second},
		{Accepted: ago(20 * time.Second), Objective: 3 * time.Second},
		{Accepted: ago(9 * time.Second), Objective: 3 * time.Second, Remaining: time.Second},
		{Priority: 1, Fills: true, Accepted: ago(3 * time.Minute), Objective: time.Second}, // no longer put off
		{Priority: 1, Fills: true, Accepted: ago(5 * time.Second), Objective: 9 * time.Second, Remaining: 4 * time.Second, WorkLeft: 0.2},
		{Priority: 1, Fills: true, Accepted: ago(time.Second), Objective: 9 * time.Second, Remaining: 4 * time.Second, WorkLeft: 1},
		{Priority: 1, Fills: true, Accepted: ago(2 * time.Second), Objective: 9 * time.Second, Remaining: time.Second, WorkLeft: 1},
		{Priority: 1, Fills: true, Accepted: ago(20 * time.Second), Objective: 9 * time.Second, Remaining: time.Second, WorkLeft: 0.1},
		{Priority: 1, Fills: true, Accepted: ago(time.Minute), Objective: 9 * time.Second, Remaining: time.Second, WorkLeft: 0.1},
		{Priority: 2, Accepted: ago(time.Hour)},
	}
	got := slices.Clone(want)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(got), func(i, j int) { got[i], got[j] = got[j], got[i] })
	slices.SortFunc(got, func(a, b Item) int { return Compare(a, b, now) })
	require.Equal(t, want, got)
}

// Guards against filling jobs that wait for good beside newer ones, of which more come than
// the capacity serves: the newest come first, and each is in time when it is new.
func TestFillingJobThatWasPutOffForLongComesFirst(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	job := func(age time.Duration) Item {
		return Item{Fills: true, Accepted: now.Add(-age), Objective: 9 * time.Second, Remaining: time.Second, WorkLeft: 1}
	}
	old, older, begun := job(maxFillingDemotion), job(maxFillingDemotion+time.Second), job(time.Second)
	begun.WorkLeft = 0.1
	require.Negative(t, Compare(old, job(time.Second), now))
	require.Negative(t, Compare(old, begun, now))
	require.Negative(t, Compare(older, old, now))
}

// Guards against an order that depends on the order before, as tasks of different kinds are
// compared by different rules.
func TestOrderIsTransitive(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := rand.New(rand.NewPCG(1, 1))
	item := func() Item {
		return Item{
			Lasting: r.IntN(8) == 0, Fills: r.IntN(2) == 0, Accepted: now.Add(-time.Duration(r.IntN(150)) * time.Second),
			Objective: time.Duration(r.IntN(3)) * time.Minute, WorkLeft: float64(r.IntN(4)) / 4,
		}
	}
	for range 20000 {
		a, b, c := item(), item(), item()
		if Compare(a, b, now) <= 0 && Compare(b, c, now) <= 0 {
			require.LessOrEqual(t, Compare(a, c, now), 0, "%+v %+v %+v", a, b, c)
		}
	}
}
