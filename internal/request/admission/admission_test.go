package admission

import (
	"math"
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
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

var epoch = time.Unix(1_000_000, 0)

// naiveFair is a reference model of fairQueue: it assigns each item a start tag on
// arrival and searches for the smallest.
type naiveFair struct {
	items   []naiveItem
	finish  map[string]float64
	virtual float64
}

type naiveItem struct {
	it    Item
	start float64
}

func (n *naiveFair) push(it Item, weight float64) {
	start := max(n.virtual, n.finish[it.Customer])
	n.finish[it.Customer] = start + float64(cost(it))/weight
	n.items = append(n.items, naiveItem{it, start})
}

func (n *naiveFair) pop() Item {
	best := 0
	for i, x := range n.items {
		b := n.items[best]
		if x.start < b.start || (x.start == b.start && x.it.Customer < b.it.Customer) {
			best = i
		}
	}
	x := n.items[best]
	n.items = slices.Delete(n.items, best, best+1)
	n.virtual = x.start
	if len(n.items) == 0 {
		n.virtual, n.finish = 0, map[string]float64{}
	}
	return x.it
}

// Compares fairQueue with the reference model. Guards against an order that favours
// a customer with more or larger requests.
func TestFairQueueAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, ref := newFairQueue(), &naiveFair{finish: map[string]float64{}}
		for i := range 300 {
			if rapid.IntRange(0, 9).Draw(t, "op") < 5 {
				c := rapid.IntRange(0, 4).Draw(t, "customer")
				it := Item{ID: strconv.Itoa(i), Customer: strconv.Itoa(c), Expected: time.Duration(rapid.IntRange(1, 64).Draw(t, "cost")) * time.Millisecond}
				q.push(it, math.Exp2(float64(c)))
				ref.push(it, math.Exp2(float64(c)))
			} else if f := q.head(); f != nil {
				require.Equal(t, ref.pop().ID, q.pop(f, true).ID)
			}
			require.Equal(t, len(ref.items), q.length)
		}
	})
}

// Guards against a customer that floods the queue and displaces the others.
func TestFloodTakesOnlyItsShare(t *testing.T) {
	cfg := DefaultConfig(8, 1)
	cfg.MaxUrgent = 64
	c, served := New(cfg), map[string]int{}
	for i := range 4000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		for k := range 10 { // ten times the requests of the other customer
			c.Submit(now, Item{ID: strconv.Itoa(i*100 + k), Customer: "flood", Urgent: true, Expected: 10 * time.Millisecond})
		}
		c.Submit(now, Item{ID: strconv.Itoa(i*100 + 99), Customer: "small", Urgent: true, Expected: 10 * time.Millisecond})
		if it, _, ok := c.Next(now); ok {
			served[it.Customer]++
			c.Done(now, Result{Urgent: true, Ran: true, Run: 10 * time.Millisecond})
		}
	}
	assert.InDelta(t, served["flood"], served["small"], 40)
}

// Guards against queueing requests that cannot meet their deadline, dispatching
// requests that no longer meet it, and dispatching batch before urgent requests.
func TestDeadlinesAndPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(DefaultConfig(8, 1)), epoch
		queued, running, highest := map[string]Item{}, []bool{}, 0
		for i := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			it := Item{
				ID: strconv.Itoa(i), Customer: strconv.Itoa(i % 3), Urgent: rapid.Bool().Draw(t, "urgent"), Measured: true,
				Expected: time.Duration(rapid.IntRange(1, 100).Draw(t, "run")) * time.Millisecond,
			}
			it.Deadline = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline")) * time.Millisecond)
			wait := time.Duration(float64(c.Wait(it)) * c.cfg.WaitFactor)
			code, _ := c.Submit(now, it)
			if code == rescode.OK {
				queued[it.ID] = it
			}
			if it.Expected < it.Deadline.Sub(now) {
				require.Equal(t, wait+it.Expected < it.Deadline.Sub(now), code == rescode.OK)
			}
			for {
				it, expired, ok := c.Next(now)
				for _, e := range expired {
					require.Contains(t, queued, e.ID)
					delete(queued, e.ID)
				}
				if !ok {
					break
				}
				delete(queued, it.ID)
				running = append(running, it.Urgent)
				require.True(t, it.probe || now.Add(it.Expected).Before(it.Deadline), "dispatched too late")
				for _, other := range queued {
					require.False(t, other.Urgent && !it.Urgent, "batch before urgent")
				}
			}
			urgent, batch := c.Load()
			require.Equal(t, len(queued), urgent.Queued+batch.Queued)
			require.Equal(t, len(running), urgent.InFlight+batch.InFlight)
			for _, l := range []LaneLoad{urgent, batch} {
				require.LessOrEqual(t, l.InFlight, max(l.Limit, highest))
			}
			highest = max(highest, urgent.Limit, batch.Limit)
			if len(running) > 0 && rapid.Bool().Draw(t, "done") {
				wait := time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * time.Millisecond
				c.Done(now, Result{Urgent: running[0], Ran: true, Run: 20 * time.Millisecond, Wait: wait})
				running = running[1:]
			}
		}
	})
}

// Guards against entries that keep unequal shares of the same upstreams, and
// against a limit that grows without need or leaves its bounds.
func TestLimitsConverge(t *testing.T) {
	cfg := DefaultConfig(88, 2).Urgent
	cfg.Min, cfg.Max = 1, 1000
	a, b, now := NewLimit(cfg), NewLimit(cfg), epoch
	a.value, b.value = 100, 10
	for range 500 { // the upstreams hold 120 requests before waits exceed the target
		now = now.Add(cfg.Interval)
		wait := time.Duration(0)
		if a.Value()+b.Value() > 120 {
			wait = cfg.TargetWait + 1
		}
		for _, l := range []*Limit{a, b} {
			l.Reached()
			l.Observe(now, wait, false)
		}
	}
	assert.InDelta(t, 1, a.value/b.value, 0.1)
	assert.InDelta(t, 120, a.value+b.value, 20)
	before := a.Value()
	for range 100 { // never reached: no reason to grow
		now = now.Add(cfg.Interval)
		a.Observe(now, 0, false)
	}
	assert.Equal(t, before, a.Value())
	for range 100 {
		now = now.Add(cfg.Interval)
		a.Observe(now, 0, true)
	}
	assert.Equal(t, cfg.Min, a.Value())
}

// Guards against accepting more requests than a quota allows, and against charging
// a refused request to a quota.
func TestQuotaOfCustomerAndTeam(t *testing.T) {
	c := New(DefaultConfig(8, 1))
	c.SetCustomer("a", 1, 100)
	c.SetTeam("park", 50)
	accepted := 0
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		late := Item{Customer: "a", Team: "park", Deadline: now}
		code, _ := c.Submit(now, late)
		require.NotEqual(t, rescode.OK, code)
		if code, _ = c.Submit(now, Item{ID: strconv.Itoa(i), Customer: "a", Team: "park"}); code == rescode.OK {
			accepted++
			c.Next(now)
			c.Done(now, Result{})
		} else {
			require.Equal(t, rescode.QuotaExceeded, code)
		}
	}
	assert.InDelta(t, 50+50*10, accepted, 2, "one burst and ten seconds of the team's rate")
}

// Guards against a learned run time that refuses a customer for ever.
func TestProbesCorrectAWrongEstimate(t *testing.T) {
	c, accepted := New(DefaultConfig(8, 1)), 0
	for range 320 {
		if code, _ := c.Submit(epoch, Item{Customer: "a", Deadline: epoch.Add(time.Second), Expected: time.Hour, Measured: true}); code == rescode.OK {
			accepted++
			_, _, ok := c.Next(epoch)
			assert.True(t, ok, "a probe is dispatched")
			c.Done(epoch, Result{Ran: true, Run: time.Millisecond})
		}
	}
	assert.Equal(t, 10, accepted)
}

func BenchmarkSubmitNextDone(b *testing.B) {
	c := New(DefaultConfig(88, 3))
	for i := 0; b.Loop(); i++ {
		it := Item{ID: "x", Customer: strconv.Itoa(i % 500), Urgent: true, Expected: time.Millisecond, Deadline: epoch.Add(time.Hour)}
		c.Submit(epoch, it)
		c.Next(epoch)
		c.Done(epoch, Result{Urgent: true, Ran: true, Run: time.Millisecond})
	}
}
