package slots

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

var epoch = time.Unix(1_000_000, 0)

// naive is a reference model that keeps one list of waiting requests in order of
// arrival and searches it.
type naive struct {
	cfg     Config
	waiting []queued
	running map[string]Item
}

func (n *naive) busy(c structs.SizeClass) (count int) {
	for _, it := range n.running {
		if it.Class == c {
			count++
		}
	}
	return count
}

func (n *naive) allowed(c structs.SizeClass) bool {
	longer := n.busy(structs.SizeMedium) + n.busy(structs.SizeLong)
	return c == structs.SizeShort || (longer < n.cfg.Slots-n.cfg.ReservedShort &&
		(c != structs.SizeLong || n.busy(c) < n.cfg.MaxLong))
}

func (n *naive) next(now time.Time) (string, []string) {
	var expired []string
	for _, urgent := range []bool{true, false} { // only heads of queues expire
		for c := structs.SizeShort; c <= structs.SizeLong; c++ {
			for {
				i := slices.IndexFunc(n.waiting, func(q queued) bool { return q.item.Class == c && q.item.Urgent == urgent })
				if i < 0 || !missesDeadline(now, n.waiting[i].item) {
					break
				}
				expired = append(expired, n.waiting[i].item.ID)
				n.waiting = slices.Delete(n.waiting, i, i+1)
			}
		}
	}
	best := -1
	for i, q := range n.waiting {
		if len(n.running) < n.cfg.Slots && n.allowed(q.item.Class) && (best < 0 || n.before(now, q, n.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return "", expired
	}
	it := n.waiting[best].item
	n.waiting = slices.Delete(n.waiting, best, best+1)
	n.running[it.ID] = it
	return it.ID, expired
}

// before reports whether a starts before b, which arrived earlier.
func (n *naive) before(now time.Time, a, b queued) bool {
	agedA, agedB := n.aged(now, a), n.aged(now, b)
	switch {
	case agedA != agedB:
		return agedA
	case a.item.Class != b.item.Class:
		return (a.item.Class > b.item.Class) == agedA
	default:
		return (!agedA || a.since.Equal(b.since)) && a.item.Urgent && !b.item.Urgent
	}
}

func (n *naive) aged(now time.Time, q queued) bool {
	c := q.item.Class
	return c != structs.SizeShort && n.busy(c) < n.cfg.Guaranteed[c] && now.Sub(q.since) >= n.cfg.Aging[c]
}

// Compares a Scheduler with the reference model. Guards against exceeding the
// slots, connections, reserved slots or the bound on long work, and against a
// wrong order of starts.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.Connections = rapid.IntRange(8, 64).Draw(t, "connections")
		s, ref, now, next := New(cfg), &naive{cfg: cfg, running: map[string]Item{}}, epoch, 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				it := Item{
					ID: strconv.Itoa(next), Urgent: rapid.Bool().Draw(t, "urgent"),
					Class: structs.SizeClass(rapid.IntRange(0, 2).Draw(t, "class")), Expected: 10 * time.Millisecond,
				}
				if rapid.Bool().Draw(t, "deadline") {
					it.Deadline = now.Add(4 * time.Second)
				}
				next++
				inClass := 0
				for _, q := range ref.waiting {
					if q.item.Class == it.Class {
						inClass++
					}
				}
				fits := len(ref.waiting)+len(ref.running) < cfg.Connections && inClass < cfg.MaxQueue[it.Class]
				require.Equal(t, fits, s.Submit(now, it) == rescode.OK)
				if fits {
					ref.waiting = append(ref.waiting, queued{it, now})
				}
			case 3, 4:
				id := strconv.Itoa(rapid.IntRange(0, next).Draw(t, "id"))
				if _, runs := ref.running[id]; rapid.IntRange(0, 3).Draw(t, "straggles") == 0 && runs {
					require.Equal(t, ref.running[id].Class < structs.SizeLong, s.Reclassify(id, structs.SizeLong))
					ref.running[id] = Item{ID: id, Class: structs.SizeLong}
				} else {
					require.Equal(t, runs, s.Finish(id, time.Second))
					delete(ref.running, id)
				}
			case 5:
				id := strconv.Itoa(rapid.IntRange(0, next).Draw(t, "id"))
				before := len(ref.waiting)
				ref.waiting = slices.DeleteFunc(ref.waiting, func(q queued) bool { return q.item.ID == id })
				require.Equal(t, len(ref.waiting) < before, s.Cancel(id))
			}
			for started := true; started; {
				want, wantExpired := ref.next(now)
				it, expired, ok := s.Next(now)
				var ids []string
				for _, e := range expired {
					ids = append(ids, e.ID)
				}
				require.ElementsMatch(t, wantExpired, ids)
				require.Equal(t, want, it.ID)
				started = ok
			}
			l := s.Load()
			require.LessOrEqual(t, l.Busy, cfg.Slots)
			require.LessOrEqual(t, l.Connections, cfg.Connections)
		}
	})
}

// Guards against starvation of long work while short work saturates all slots,
// and against long work that fills the slots.
func TestLongWorkNeitherStarvesNorFills(t *testing.T) {
	s, now := New(DefaultConfig()), epoch
	for i := range 16 {
		require.Equal(t, rescode.OK, s.Submit(now, Item{ID: "long" + strconv.Itoa(i), Class: structs.SizeLong}))
	}
	longs, running := 0, []string{}
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		s.Submit(now, Item{ID: strconv.Itoa(i), Class: structs.SizeShort})
		for it, _, ok := s.Next(now); ok; it, _, ok = s.Next(now) {
			running = append(running, it.ID)
			if it.Class == structs.SizeLong {
				longs++
			}
		}
		assert.LessOrEqual(t, s.Load().Running[structs.SizeLong], DefaultConfig().MaxLong)
		if len(running) > 0 && i%10 == 9 { // far fewer ends than arrivals
			s.Finish(running[0], 50*time.Millisecond)
			running = running[1:]
		}
	}
	assert.Equal(t, 16, longs, "all long work started")
}

func BenchmarkSubmitNextFinish(b *testing.B) {
	s := New(DefaultConfig())
	for i := range 40 {
		s.Submit(epoch, Item{ID: "q" + strconv.Itoa(i), Class: structs.SizeClass(i % 3)})
	}
	for b.Loop() {
		s.Submit(epoch, Item{ID: "x", Class: structs.SizeShort})
		it, _, _ := s.Next(epoch)
		s.Finish(it.ID, time.Millisecond)
	}
}
