package route

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

func newRouter(p Policy, upstreams int) *Router {
	cfg := DefaultConfig("a", 3)
	cfg.Policy = p
	r := New(cfg, rand.New(rand.NewPCG(1, 2)))
	for i := range upstreams {
		r.Add(fmt.Sprint("vm", i), []string{"a", "b", "c"}[i%3], 8)
	}
	return r
}

// Guards against choosing an upstream that is not eligible, one that is worse than
// all others of its failure domain, or one of the wrong failure domain. The
// expected wait is compared with a recount.
func TestChoiceAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom([]Policy{ExpectedWait, Random, LeastOutstanding}).Draw(t, "policy")
		n := rapid.IntRange(1, 12).Draw(t, "n")
		r := newRouter(p, n)
		inFlight, states := map[Handle]int{}, map[Handle]State{}
		reports, since := map[Handle]Report{}, map[Handle][]structs.SizeClass{}
		for range 60 {
			h := Handle(rapid.IntRange(0, n-1).Draw(t, "h"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				states[h] = State(rapid.IntRange(0, 3).Draw(t, "state"))
				r.SetState(r.ID(h), states[h])
			case 1:
				reports[h], since[h] = Report{
					Busy: rapid.IntRange(0, 8).Draw(t, "busy"), Queued: rapid.IntRange(0, 20).Draw(t, "queued"),
					ShortWait: time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond,
				}, nil
				r.Report(h, reports[h])
			}
			class := structs.SizeClass(rapid.IntRange(0, 2).Draw(t, "class"))
			avoid := Handle(rapid.IntRange(-1, n-1).Draw(t, "avoid"))
			got := r.Pick(class, avoid)
			wait, _ := r.expectedCost(h, class)
			require.Equal(t, naiveWait(r.cfg, reports[h], since[h], class), wait)
			checkChoice(t, r, states, inFlight, class, avoid, got)
			if got != None {
				r.Sent(got, class)
				inFlight[got]++
				since[got] = append(since[got], class)
			}
		}
	})
}

// naiveWait computes the expected wait at an upstream with 8 slots by counting
// all requests sent since the report, once for each entry.
func naiveWait(cfg Config, rep Report, since []structs.SizeClass, class structs.SizeClass) time.Duration {
	all, short := 0, 0
	for range cfg.Entries {
		for _, c := range since {
			all++
			if c == structs.SizeShort {
				short++
			}
		}
	}
	switch {
	case class == structs.SizeShort && rep.Busy+all < 8:
		return rep.ShortWait
	case class == structs.SizeShort:
		return rep.ShortWait + cfg.Typical[0]*time.Duration(short)/8
	default:
		return cfg.Typical[class] * time.Duration(max(0, rep.Busy+rep.Queued+all-7)) / 8
	}
}

// checkChoice checks got against the states, the requests in flight and the
// expected waits of all upstreams.
func checkChoice(t *rapid.T, r *Router, states map[Handle]State, inFlight map[Handle]int, class structs.SizeClass, avoid, got Handle) {
	var eligible, local, remote []Handle
	for i := range r.upstreams {
		h := Handle(i)
		if states[h] != Eligible || h == avoid {
			continue
		}
		eligible = append(eligible, h)
		if r.upstreams[i].domain == "a" {
			local = append(local, h)
		} else {
			remote = append(remote, h)
		}
	}
	if len(eligible) == 0 {
		require.True(t, got == None || (got == avoid && states[avoid] == Eligible))
		return
	}
	require.Contains(t, eligible, got)
	wait := func(h Handle) time.Duration { w, _ := r.expectedCost(h, class); return w }
	worst := func(set []Handle) (max time.Duration) {
		for _, h := range set {
			if w := wait(h); w > max {
				max = w
			}
		}
		return max
	}
	switch r.cfg.Policy {
	case LeastOutstanding:
		for _, h := range eligible {
			require.LessOrEqual(t, inFlight[got], inFlight[h])
		}
	case ExpectedWait:
		set := remote
		if r.upstreams[got].domain == "a" {
			set = local
		} else if len(local) > 0 {
			require.Greater(t, worst(local), wait(got)+r.cfg.RemoteDelay, "left the local domain without gain")
		}
		if len(set) == 2 && avoid == None {
			require.LessOrEqual(t, wait(got), min(wait(set[0]), wait(set[1])))
		}
	}
}

// Guards against herding: entries that hold the same stale report must not all
// send their requests to the upstream that it states as idle.
func TestStaleReportDoesNotHerd(t *testing.T) {
	total := make([]int, 12)
	for entry := range 3 {
		r := newRouter(ExpectedWait, len(total))
		r.cfg.Domain = ""
		r.rng = rand.New(rand.NewPCG(7, uint64(entry)))
		for h := range total { // vm0 and vm3 looked idle, all others held 8 and queued 4
			if h != 0 && h != 3 {
				r.Report(Handle(h), Report{Busy: 8, Queued: 4, ShortWait: 30 * time.Millisecond})
			}
		}
		for range 40 {
			h := r.Pick(structs.SizeShort, None)
			r.Sent(h, structs.SizeShort)
			total[h]++
		}
	}
	even := 120 / len(total)
	assert.LessOrEqual(t, total[0], 3*even, "%v", total)
	assert.Greater(t, total[0], even, "the idle upstream gets more than its even share: %v", total)
}

// Guards against a handle that is given to another upstream while requests of
// the old one are still in flight.
func TestHandleIsNotReusedInFlight(t *testing.T) {
	r := newRouter(ExpectedWait, 3)
	r.Sent(1, structs.SizeShort)
	r.Remove("vm1")
	assert.NotEqual(t, Handle(1), r.Add("new", "a", 8))
	r.Returned(1, structs.SizeShort, time.Millisecond, time.Millisecond)
	assert.Equal(t, Handle(1), r.Add("newer", "a", 8))
	assert.Zero(t, r.InFlight(1))
	r.Remove("vm0")
	for range 100 {
		assert.NotEqual(t, Handle(0), r.Pick(structs.SizeShort, None), "removed")
	}
}

// Guards against traffic to a slow VM, and against avoiding it for ever after it
// recovered: an avoided upstream sends only heartbeats.
func TestSlowUpstreamIsAvoidedUntilItRecovers(t *testing.T) {
	r := newRouter(ExpectedWait, 12)
	r.cfg.RemoteDelay = -time.Hour // compare with all upstreams
	answer := func(h Handle, run time.Duration) {
		r.Sent(h, structs.SizeShort)
		r.Returned(h, structs.SizeShort, run, 40*time.Millisecond)
		r.Report(h, Report{})
	}
	cost := func() time.Duration { c, _ := r.expectedCost(0, structs.SizeShort); return c }
	for range 40 {
		answer(0, 200*time.Millisecond)
		for h := Handle(1); h < 12; h++ {
			answer(h, 40*time.Millisecond)
		}
	}
	// Five times the run time is 3.75 times the average over all 12, so the
	// difference is 2.75 average run times of 53 ms.
	assert.InDelta(t, 146, cost().Milliseconds(), 30)
	for range 20 {
		r.Report(0, Report{}) // heartbeats
	}
	assert.Zero(t, cost())
}

// Guards against allocation on the path of every request.
func TestPickDoesNotAllocate(t *testing.T) {
	r := newRouter(ExpectedWait, 650)
	assert.Zero(t, testing.AllocsPerRun(1000, func() { r.Sent(r.Pick(structs.SizeShort, None), structs.SizeShort) }))
}

func BenchmarkPick(b *testing.B) {
	for name, p := range map[string]Policy{"wait": ExpectedWait, "random": Random, "least": LeastOutstanding} {
		for _, n := range []int{11, 100, 650} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				r := newRouter(p, n)
				for h := range r.upstreams { // loaded, so that both domains are compared
					r.Report(Handle(h), Report{Busy: 8, Queued: h % 7, ShortWait: time.Duration(h%7+2) * time.Millisecond})
				}
				b.ReportAllocs()
				for b.Loop() {
					h := r.Pick(structs.SizeShort, None)
					r.Sent(h, structs.SizeShort)
					r.Returned(h, structs.SizeShort, time.Millisecond, time.Millisecond)
					r.upstreams[h].sentSinceReport[0] = 0
				}
			})
		}
	}
}
