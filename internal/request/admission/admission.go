// Package admission decides which requests an entry accepts, in which order they
// are dispatched, and how many are in flight.
//
// A request is refused at once if its customer's or team's quota is used up, if
// the queue is full, or if the expected wait plus the expected run time exceeds
// its deadline. Urgent requests go before batch requests; within each, customers
// share by weight. The urgent and the batch requests in flight each follow an
// adaptive limit.
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
	// WaitFactor multiplies the expected wait in the check at Submit. An estimate
	// that is only just met lets the queue grow until most answers are late.
	WaitFactor float64
	// Urgent and Batch have separate limits: batch work that waits at an agent
	// would otherwise use up the limit and hold urgent requests back at the entry.
	Urgent, Batch LimitConfig
}

// DefaultConfig returns the parameters for an entry with the given number of
// slots over all its upstreams and the number of entries that share them.
func DefaultConfig(slots, entries int) Config {
	share := max(slots/max(entries, 1), 1)
	// The target wait is well above the time until one of eight busy slots becomes
	// free. A target near that time shrinks the limit while the agents still work
	// at full rate, and urgent requests then wait at the entry instead.
	limit := LimitConfig{
		Initial: share, Min: max(share/2, 1), Max: 8 * share,
		TargetWait: 100 * time.Millisecond,
		Interval:   100 * time.Millisecond,
		Increase:   max(1, float64(share)/16), Decrease: 0.9,
	}
	batch := limit
	batch.TargetWait = 500 * time.Millisecond
	return Config{
		MaxUrgent: 1024, MaxBatch: 1024,
		QuotaBurst: time.Second,
		ProbeEvery: 32,
		WaitFactor: 1.5,
		Urgent:     limit, Batch: batch,
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
	// Urgent is the flag of the request's Item.
	Urgent bool
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
	urgent    lane
	batch     lane
	customers map[string]party
	teams     map[string]party
	hopeless  int // requests whose learned run time exceeds their deadline
}

// lane is the queue of urgent or batch requests with its limit.
type lane struct {
	*fairQueue
	limit    *Limit
	bound    int // of the queue
	inFlight int
	// agentWait and stretch are moving averages of the wait at the agent and of
	// (wait + run) / run, the time a request is in flight per run time.
	agentWait time.Duration
	stretch   float64
}

// New returns a Controller without quotas.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:       cfg,
		urgent:    newLane(cfg.Urgent, cfg.MaxUrgent),
		batch:     newLane(cfg.Batch, cfg.MaxBatch),
		customers: make(map[string]party), teams: make(map[string]party),
	}
}

func newLane(cfg LimitConfig, bound int) lane {
	return lane{fairQueue: newFairQueue(), limit: NewLimit(cfg), bound: bound, stretch: 1}
}

func (c *Controller) lane(urgent bool) *lane {
	if urgent {
		return &c.urgent
	}
	return &c.batch
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
	wait := time.Duration(float64(c.Wait(it)) * c.cfg.WaitFactor)
	it.probe = c.probes(now, it, wait)
	if !it.probe && !meets(now, it, wait) {
		return rescode.DeadlineUnmet, nil
	}
	q := c.lane(it.Urgent)
	if q.length >= q.bound {
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
	for _, q := range []*lane{&c.urgent, &c.batch} {
		for f := q.head(); f != nil; f = q.head() {
			if !meets(now, f.items[0], q.agentWait) {
				expired = append(expired, q.pop(f, false))
				continue
			}
			if q.inFlight >= q.limit.Value() {
				q.limit.Reached()
				return Item{}, expired, false
			}
			q.inFlight++
			return q.pop(f, true), expired, true
		}
	}
	return Item{}, expired, false
}

// Cancel removes a queued request. It returns false if it is not queued.
func (c *Controller) Cancel(it Item) bool {
	return c.lane(it.Urgent).remove(it.Customer, it.ID)
}

// Done records the end of a dispatched request.
func (c *Controller) Done(now time.Time, r Result) {
	q := c.lane(r.Urgent)
	q.inFlight--
	q.limit.Observe(now, r.Wait, r.Congested)
	if !r.Ran {
		return
	}
	q.agentWait += (r.Wait - q.agentWait) / 16
	run := max(r.Run, minCost)
	q.stretch += (float64(run+r.Wait)/float64(run) - q.stretch) / 32
}

// Wait returns the expected time from now until a new request starts to run.
func (c *Controller) Wait(it Item) time.Duration {
	q := c.lane(it.Urgent)
	wait := q.agentWait + q.serve(q.ahead(it.Customer, c.weight(it.Customer)))
	if !it.Urgent {
		wait += c.urgent.serve(c.urgent.work)
	}
	return wait
}

// serve returns the time until queued work has been dispatched.
func (q *lane) serve(work time.Duration) time.Duration {
	return time.Duration(float64(work) * q.stretch / float64(max(q.limit.Value(), 1)))
}

// LaneLoad is the state of the urgent or the batch requests.
type LaneLoad struct{ Queued, InFlight, Limit int }

// Load returns the present state.
func (c *Controller) Load() (urgent, batch LaneLoad) { return c.urgent.load(), c.batch.load() }

func (q *lane) load() LaneLoad { return LaneLoad{q.length, q.inFlight, q.limit.Value()} }

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
