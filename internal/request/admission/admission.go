// Package admission decides which requests an entry accepts, in which order they
// are dispatched, and how many are in flight.
//
// A request is refused at once if its customer's or team's quota is used up, if
// the queue is full, or if the expected wait plus the expected run time exceeds
// its deadline. Urgent requests go before batch requests; within each, customers
// share by weight. The number of requests in flight follows an adaptive limit.
// All refusals are proven "not run": the request was never handed out. A
// Controller is not safe for concurrent use.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"vanillalock.example/vanillalock/internal/rescode"
)

// Config holds the parameters of a Controller.
type Config struct {
	// MaxUrgent and MaxBatch bound the queues.
	MaxUrgent, MaxBatch int
	// QuotaBurst is the time of a rate that may be used at once.
	QuotaBurst time.Duration
	// ProbeEvery lets every n-th request through that is refused only because its
	// learned run time exceeds the deadline. Without probes a wrong estimate
	// would never be corrected.
	ProbeEvery int
	Limit      LimitConfig
}

// DefaultConfig returns the parameters for an entry with the given number of
// slots over all its upstreams and the number of entries that share them.
func DefaultConfig(slots, entries int) Config {
	share := max(slots/max(entries, 1), 1)
	return Config{
		MaxUrgent: 1024, MaxBatch: 1024,
		QuotaBurst: time.Second,
		ProbeEvery: 32,
		Limit: LimitConfig{
			Initial: share, Min: max(share/2, 1), Max: 8 * share,
			TargetWait: 20 * time.Millisecond,
			Interval:   100 * time.Millisecond,
			Increase:   0.05, Decrease: 0.9,
		},
	}
}

// Item is a request.
type Item struct {
	ID             string
	Customer, Team string
	Urgent         bool
	// Deadline is zero if there is none.
	Deadline time.Time
	// Expected is the expected run time. Measured is true if it is learned from
	// run times; a declared time is far from the truth and refuses nothing.
	Expected time.Duration
	Measured bool

	probe   bool          // accepted although the learned run time exceeds the deadline
	maxCost time.Duration // bound of the cost; 0: none
}

// Result describes the end of a dispatched request.
type Result struct {
	// Ran is true if the upstream ran the request; Wait is its time in the
	// agent's queue and Run its run time.
	Ran       bool
	Wait, Run time.Duration
	// Congested is true if the agent refused for lack of slots, queue or
	// connections.
	Congested bool
}

type party struct {
	weight float64
	bucket *rate.Limiter // nil: no quota
}

// Controller is the admission state of one entry. Create it with New.
type Controller struct {
	cfg       Config
	limit     *Limit
	urgent    *fairQueue
	batch     *fairQueue
	customers map[string]party
	teams     map[string]party
	inFlight  int
	hopeless  int // requests whose learned run time exceeds their deadline
	// agentWait and stretch are moving averages of the wait at the agent and of
	// (wait + run) / run, the time a request is in flight per run time.
	agentWait time.Duration
	stretch   float64
}

// New returns a Controller without quotas.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, limit: NewLimit(cfg.Limit),
		urgent: newFairQueue(), batch: newFairQueue(),
		customers: make(map[string]party), teams: make(map[string]party),
		stretch: 1,
	}
}

// SetCustomer sets the weight of a customer (0 means 1) and its quota in
// requests per second at this entry (0: none). The caller divides the quota of
// the configuration among the entries.
func (c *Controller) SetCustomer(name string, weight, perSecond float64) {
	c.customers[name] = c.party(c.customers[name], weight, perSecond)
}

// SetTeam sets the quota of a team at this entry, as for SetCustomer.
func (c *Controller) SetTeam(name string, perSecond float64) {
	c.teams[name] = c.party(c.teams[name], 1, perSecond)
}

// RemoveCustomer forgets the weight and quota of a customer.
func (c *Controller) RemoveCustomer(name string) { delete(c.customers, name) }

// RemoveTeam forgets the quota of a team.
func (c *Controller) RemoveTeam(name string) { delete(c.teams, name) }

// Submit queues a request or returns the code of its refusal. If the queue is
// full, the newest request of the customer with the largest share may be pushed
// out instead: it is returned as victim and is refused with rescode.Overloaded.
func (c *Controller) Submit(now time.Time, it Item) (code rescode.Code, victim *Item) {
	weight := c.weight(it.Customer)
	customer, team := c.customers[it.Customer].bucket, c.teams[it.Team].bucket
	if !available(now, customer) || !available(now, team) {
		return rescode.QuotaExceeded, nil
	}
	wait := c.Wait(it)
	it.probe = c.probes(now, it, wait)
	if !it.probe && !meets(now, it, wait) {
		return rescode.DeadlineUnmet, nil
	}
	q, bound := c.batch, c.cfg.MaxBatch
	if it.Urgent {
		q, bound = c.urgent, c.cfg.MaxUrgent
	}
	if q.length >= bound {
		out, ok := q.dropNewest(it, weight)
		if !ok {
			return rescode.Overloaded, nil
		}
		victim = &out
	}
	take(now, customer)
	take(now, team)
	if !it.Deadline.IsZero() {
		it.maxCost = it.Deadline.Sub(now)
	}
	q.push(it, weight)
	return rescode.OK, victim
}

// Next returns the next request to dispatch, if the limit allows one more in
// flight. The caller repeats it until ok is false, after each Submit and Done.
// Expired requests can no longer meet their deadline and are refused with
// rescode.DeadlineUnmet.
func (c *Controller) Next(now time.Time) (it Item, expired []Item, ok bool) {
	for _, q := range []*fairQueue{c.urgent, c.batch} {
		for f := q.head(); f != nil; f = q.head() {
			if !meets(now, f.items[0], c.agentWait) {
				expired = append(expired, q.pop(f, false))
				continue
			}
			if c.inFlight >= c.limit.Value() {
				c.limit.Reached()
				return Item{}, expired, false
			}
			c.inFlight++
			return q.pop(f, true), expired, true
		}
	}
	return Item{}, expired, false
}

// Cancel removes a queued request. It returns false if it is not queued.
func (c *Controller) Cancel(it Item) bool {
	if it.Urgent {
		return c.urgent.remove(it.Customer, it.ID)
	}
	return c.batch.remove(it.Customer, it.ID)
}

// Done records the end of a dispatched request.
func (c *Controller) Done(now time.Time, r Result) {
	c.inFlight--
	c.limit.Observe(now, r.Wait, r.Congested)
	if !r.Ran {
		return
	}
	c.agentWait += (r.Wait - c.agentWait) / 16
	run := max(r.Run, minCost)
	c.stretch += (float64(run+r.Wait)/float64(run) - c.stretch) / 32
}

// Wait returns the expected time from now until a new request starts to run.
func (c *Controller) Wait(it Item) time.Duration {
	weight := c.weight(it.Customer)
	var ahead time.Duration
	if it.Urgent {
		ahead = c.urgent.ahead(it.Customer, weight)
	} else {
		ahead = c.urgent.work + c.batch.ahead(it.Customer, weight)
	}
	limit := max(c.limit.Value(), 1)
	return c.agentWait + time.Duration(float64(ahead)*c.stretch/float64(limit))
}

// Load returns the queue lengths, the requests in flight and their limit.
func (c *Controller) Load() (urgent, batch, inFlight, limit int) {
	return c.urgent.length, c.batch.length, c.inFlight, c.limit.Value()
}

// meets reports whether a request that starts to run after wait is expected to
// end before its deadline.
func meets(now time.Time, it Item, wait time.Duration) bool {
	if it.Deadline.IsZero() {
		return true
	}
	left := it.Deadline.Sub(now)
	if it.Measured && !it.probe {
		wait += it.Expected
	}
	return wait < left
}

// probes reports whether a request is let through to measure its run time again:
// one in ProbeEvery of those whose learned run time alone exceeds the deadline.
func (c *Controller) probes(now time.Time, it Item, wait time.Duration) bool {
	if c.cfg.ProbeEvery <= 0 || it.Deadline.IsZero() || !it.Measured {
		return false
	}
	left := it.Deadline.Sub(now)
	if it.Expected < left || wait >= left {
		return false
	}
	c.hopeless++
	return c.hopeless%c.cfg.ProbeEvery == 0
}

func (c *Controller) weight(customer string) float64 {
	if p, ok := c.customers[customer]; ok {
		return p.weight
	}
	return 1
}

func (c *Controller) party(old party, weight, perSecond float64) party {
	if weight <= 0 {
		weight = 1
	}
	if perSecond <= 0 {
		return party{weight: weight}
	}
	burst := max(1, int(perSecond*c.cfg.QuotaBurst.Seconds()))
	if old.bucket != nil && old.bucket.Limit() == rate.Limit(perSecond) {
		return party{weight: weight, bucket: old.bucket}
	}
	return party{weight: weight, bucket: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

func available(now time.Time, b *rate.Limiter) bool { return b == nil || b.TokensAt(now) >= 1 }

func take(now time.Time, b *rate.Limiter) {
	if b != nil {
		b.AllowN(now, 1)
	}
}
