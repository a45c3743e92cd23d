package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trial describes a run in virtual time, in steps of 250 ms: observers hear the
// heartbeats of peers over links that lose messages, and peers pause.
type trial struct {
	observers, peers int
	loss             float64
	pause            time.Duration // length of the pauses of peers
	ask              int           // Config.Ask
	length           time.Duration
	seed             uint64
}

type figures struct {
	beats, falseRemovals, messages int
	detect, refute                 []time.Duration
}

const step = 250 * time.Millisecond

func (c trial) run() figures {
	rng := rand.New(rand.NewPCG(c.seed, 7))
	cfg := Default()
	cfg.Ask = c.ask
	var f figures
	ds := make([]*Detector, c.observers)
	name := func(i int) string { return fmt.Sprintf("e%d", i) }
	index := map[string]int{}
	for i := range ds {
		ds[i] = NewDetector(cfg)
		var others []string
		for k := range ds {
			if k != i {
				others = append(others, name(k))
			}
		}
		ds[i].SetObservers(others)
		index[name(i)] = i
	}
	incarnation := make([]uint64, c.peers)
	until := make([]time.Duration, c.peers)
	suspected := map[[2]int]time.Duration{}
	arrives := func() bool { return rng.Float64() >= c.loss }
	dead := c.peers - 1 // sends no heartbeat in the second half
	for now := time.Duration(0); now < c.length; now += step {
		for p := range c.peers {
			if c.pause > 0 && until[p] <= now && rng.IntN(2400) == 0 {
				until[p] = now + c.pause
			}
			if until[p] > now || p == dead && now >= c.length/2 || (now/step+time.Duration(p))%8 != 0 {
				continue
			}
			refused := false
			for _, d := range ds {
				f.beats++
				if arrives() {
					_, ok := d.Heartbeat(now, fmt.Sprint(p), incarnation[p]+1, false)
					refused = refused || !ok
				}
			}
			if refused {
				incarnation[p]++
			}
		}
		for i, d := range ds {
			for _, a := range d.Tick(now) {
				var p int
				_, _ = fmt.Sscan(a.Peer, &p)
				key := [2]int{i, p}
				switch {
				case a.Kind == Changed && a.State == Removed && p == dead && now >= c.length/2:
					f.detect = append(f.detect, now-c.length/2)
				case a.Kind == Changed && a.State == Removed:
					f.falseRemovals++
				case a.Kind == Changed && a.State == Suspected:
					suspected[key] = now
				}
				for _, o := range a.Observers {
					f.messages++
					if reached := arrives(); reached && arrives() {
						f.messages++
						for _, x := range d.Answer(now, ds[index[o]].Contact(now, a.Peer, a.Incarnation)) {
							if x.State == Indirect {
								f.refute = append(f.refute, now-suspected[key])
							}
						}
					}
				}
			}
		}
	}
	return f
}

func mean(ds []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range ds {
		sum += d
	}
	return sum / time.Duration(max(1, len(ds)))
}

// TestConfirmation compares a plain timeout with confirmation by two and by all
// other observers. It guards against false removals at 5% loss and against slow
// detection. Detection takes at most 5 intervals from the last contact, plus up
// to one interval of phase and one refutation. A peer that pauses for 9 s is
// silent for up to 11 s, longer than the 10 s to removal, so these removals are
// only logged.
func TestConfirmation(t *testing.T) {
	for _, observers := range []int{3, 9} {
		for _, loss := range []float64{0.05, 0.2, 0.35} {
			for _, pause := range []time.Duration{0, 4 * time.Second, 9 * time.Second} {
				for _, ask := range []int{0, 2, -1} {
					c := trial{observers: observers, peers: 40, loss: loss, pause: pause, ask: ask, length: 10 * time.Minute, seed: 11}
					t.Run(fmt.Sprintf("%d,%.2f,%v,%d", observers, loss, pause, ask), func(t *testing.T) {
						t.Parallel()
						check(t, c)
					})
				}
			}
		}
	}
}

func check(t *testing.T, c trial) {
	f := c.run()
	require.NotEmpty(t, f.detect)
	t.Logf("observers %d loss %.2f pause %v ask %2d: false removals %d in %d heartbeats, refuted %d after %v, detection %v at most %v, question messages %d",
		c.observers, c.loss, c.pause, c.ask, f.falseRemovals, f.beats, len(f.refute), mean(f.refute), mean(f.detect), slices.Max(f.detect), f.messages)
	if c.loss == 0.05 && c.ask != 0 && c.pause <= 4*time.Second {
		require.Len(t, f.detect, c.observers)
		require.Zero(t, f.falseRemovals)
		require.LessOrEqual(t, slices.Max(f.detect), 6*DefaultInterval)
	}
}

// TestPlainTimeoutIsNaive compares a detector that asks no other observer with
// the plain rule: a peer is removed exactly 5 intervals after its last heartbeat.
func TestPlainTimeoutIsNaive(t *testing.T) {
	cfg := Default()
	cfg.Ask = 0
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		d := NewDetector(cfg)
		var last time.Duration
		incarnation := uint64(1)
		d.Heartbeat(0, "p", incarnation, false)
		for now := time.Duration(0); now < time.Minute; now += step {
			d.Tick(now)
			naive := now-last >= 5*cfg.Interval
			state, _ := d.State("p")
			require.Equal(t, naive, state == Removed, "at %v, last heard %v", now, last)
			if rng.IntN(30) == 0 {
				if naive {
					_, ok := d.Heartbeat(now, "p", incarnation, false)
					require.False(t, ok)
					incarnation++
				}
				_, ok := d.Heartbeat(now, "p", incarnation, false)
				require.True(t, ok)
				last = now
			}
		}
	}
}

// TestPausedObserver guards against an observer that removes all peers after it
// was paused itself.
func TestPausedObserver(t *testing.T) {
	d := NewDetector(Default())
	d.Heartbeat(0, "p", 1, false)
	d.Tick(0)
	require.Empty(t, d.Tick(time.Minute))
	d.Heartbeat(time.Minute+time.Second, "p", 1, true)
	state, _ := d.State("p")
	require.Equal(t, Leaving, state)
	require.False(t, d.Accept("p"))
}
