package lead_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/kv"
)

// Limits of lateMix.
const (
	frozenMin      = 3 * time.Second
	frozenMax      = 7 * time.Second
	lateMin        = 1 * time.Second // from a write to its late effect
	lateMax        = 6 * time.Second
	lateLength     = 11 * time.Second
	lateSubmission = 100 * time.Millisecond // between jobs; several are accepted at each change of the leader
	lateRunTime    = 1500 * time.Millisecond
	slowWatch      = 1 * time.Second // longest delay of the answer to a watch
)

// lateMix is a drawn time in which entries stand still and writes of the store have no
// answer. An entry stands still at its borders: no call of the store leaves it, no answer
// reaches it, and no bytes pass its links until all go on at once. Its goroutines and timers
// go on, so it may plan for a short while, with orders that leave late, and it notices the
// time that passes; a process that is stopped does neither.
type lateMix struct {
	freezes      []entryFreeze
	from, length time.Duration             // of the writes without an answer
	share        float64                   // of all writes
	watches      [cutEntries]time.Duration // delay of the answers to watches, by entry
}

// entryFreeze makes an entry stand still once a renewal of the leader's key is answered.
type entryFreeze struct {
	leader       bool // that leads then; else entry
	entry        int
	from, length time.Duration
}

func drawLateMix(seed uint64) cutMix {
	r := rand.New(rand.NewPCG(seed, 40))
	between := func(low, high time.Duration) time.Duration { return low + rand64(r, high-low) }
	late := &lateMix{from: between(time.Second, 4*time.Second), length: between(2*time.Second, 5*time.Second), share: 0.2 + 0.5*r.Float64()}
	for range 1 + r.IntN(2) {
		late.freezes = append(late.freezes, entryFreeze{
			leader: r.IntN(3) > 0, entry: r.IntN(cutEntries), from: between(0, 1500*time.Millisecond), length: between(frozenMin, frozenMax),
		})
	}
	for i := range late.watches {
		if r.IntN(2) == 0 {
			late.watches[i] = rand64(r, slowWatch)
		}
	}
	m := cutMix{seed: seed, late: late, length: lateLength, stays: make([]bool, cutAgents)}
	if r.IntN(2) == 0 {
		m.changes = []cutChange{{after: between(500*time.Millisecond, 6*time.Second), agent: r.IntN(cutAgents), restart: true, executor: r.IntN(2) == 0}}
	}
	return m
}

func (m lateMix) String() string {
	var parts []string
	for _, f := range m.freezes {
		who := entryName(f.entry)
		if f.leader {
			who = "the leader"
		}
		parts = append(parts, fmt.Sprintf("%s stands still from %v for %v", who, f.from.Round(time.Millisecond), f.length.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%.2f of the writes without an answer from %v for %v, watches %v, %s", m.share, m.from.Round(time.Millisecond), m.length.Round(time.Millisecond), m.watches, strings.Join(parts, ", "))
}

// play plays the mix on a fleet until ctx ends.
func (m lateMix) play(ctx context.Context, p *cutPlay) {
	var wg sync.WaitGroup
	for _, f := range m.freezes {
		wg.Go(func() {
			fleet.Sleep(ctx, f.from)
			p.freeze(ctx, f)
		})
	}
	wg.Go(func() {
		for i, delay := range m.watches {
			p.stores[entryName(i)].watchDelay.Store(int64(delay))
		}
		fleet.Sleep(ctx, m.from)
		for process, s := range p.stores {
			s.late.Store(newLateWrites(m.share, p.mix.seed, process))
		}
		fleet.Sleep(ctx, m.length)
		for _, s := range p.stores {
			s.late.Store(nil)
			s.watchDelay.Store(0)
		}
	})
	wg.Wait()
}

// freeze makes an entry stand still once its next renewal is answered, or at once if it
// does not lead.
func (p *cutPlay) freeze(ctx context.Context, f entryFreeze) {
	name := entryName(f.entry)
	if f.leader {
		name = p.leaderNode()
	}
	s := p.stores[name]
	if s == nil { // there is no leader
		return
	}
	thaw := make(chan struct{})
	if f.leader {
		s.freezeOnKeep.Store(&thaw)
	} else {
		s.frozen.Store(&thaw)
	}
	for ctx.Err() == nil && s.frozen.Load() == nil {
		fleet.Sleep(ctx, time.Millisecond)
	}
	p.setLinks(name, cutBoth)
	fleet.Sleep(ctx, f.length)
	p.setLinks(name, cutNone)
	s.freezeOnKeep.Store(nil)
	s.frozen.Store(nil)
	close(thaw)
}

// setLinks replaces the faults of all links of an entry.
func (p *cutPlay) setLinks(entry string, cut linkCut) {
	for i := range cutEntries {
		if other := entryName(i); other != entry {
			p.net.set(entry, other, cut)
			p.net.set(other, entry, cut)
		}
	}
	for _, s := range p.sides {
		p.net.set(entry, s.name, cut)
	}
}

// lateWrites draws what becomes of the writes of a process.
type lateWrites struct {
	mu    sync.Mutex
	rand  *rand.Rand
	share float64
}

func newLateWrites(share float64, seed uint64, process string) *lateWrites {
	return &lateWrites{rand: rand.New(rand.NewPCG(seed, uint64(len(process))+uint64(process[len(process)-1]))), share: share}
}

// draw returns whether a write has no answer, and after which time it is carried out; a
// negative one stands for never.
func (w *lateWrites) draw() (lost bool, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rand.Float64() >= w.share {
		return false, 0
	}
	switch w.rand.IntN(4) {
	case 0:
		return true, -1
	case 1:
		return true, 0
	default:
		return true, lateMin + rand64(w.rand, lateMax-lateMin)
	}
}

// writeStore makes a call that changes the store.
func writeStore[T any](ctx context.Context, s *cutStore, call func() (T, error)) (T, error) {
	late := s.late.Load()
	if late == nil || ctx.Err() != nil {
		return callStore(ctx, s, call)
	}
	lost, after := late.draw()
	if !lost {
		return callStore(ctx, s, call)
	}
	if after >= 0 {
		time.AfterFunc(after, func() { _, _ = call() }) // only its effect counts
	}
	fleet.Sleep(ctx, silence)
	var none T
	return none, fmt.Errorf("%w: without an answer by the test", kv.ErrUncertain)
}

// lateMixes is the number of plays of drawLateMix.
const lateMixes = 2

// Guards against tasks that run twice, or are lost, beside entries that stand still and
// writes of the store that are carried out late.
func TestFrozenLeadersAndLateWrites(t *testing.T) {
	var mixes []cutMix
	for i := range *cutsLate {
		mixes = append(mixes, drawLateMix(*cutsFirst+uint64(i)))
	}
	playCuts(t, mixes)
}
