// Package admission decides which requests an entry accepts, in which order they
// are dispatched, and how many are in flight.
//
// A request is refused at once if its customer's or team's quota is used up, if
// the queue is full, or if the expected wait plus the expected run time exceeds
// its deadline. Urgent requests go before batch requests; within each, customers
// share by weight. An adaptive limit bounds the urgent requests in flight, and
// another one the batch requests. A refused request is proven "not run": it was
// never dispatched. A Controller is not safe for concurrent use.
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
	// QuotaBurst is the length of time whose quota may be used at once.
	QuotaBurst time.Duration
	// ProbeEvery is the number of requests refused only because their learned run
	// time exceeds the deadline, of which one is accepted as a probe. Without
	// probes a wrong estimate would never be corrected. 0 means no probes.
	ProbeEvery int
	// WaitFactor multiplies the expected wait in the deadline check of Submit. With
	// a factor of 1 the queue grows until requests only just meet their deadline by
	// the estimate, and most answers are late.
	WaitFactor float64
	// Urgent and Batch configure separate limits: batch work that waits at an agent
	// would otherwise use up a common limit and delay urgent requests at the entry.
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

// Item is a request to be admitted.
type Item struct {
	ID             string
	Customer, Team string
	Urgent         bool
	// Deadline is zero if there is none.
	Deadline time.Time
	// Expected is the expected run time. Measured is true if it is learned from
	// run times. A declared time is too inaccurate to refuse a request.
	Expected time.Duration
	Measured bool

	probe   bool          // accepted although the learned run time exceeds the deadline
	maxCost time.Duration // upper bound of the cost in the fair queue; 0: none
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

// quotaHolder is the weight and the quota of a customer or a team.
type quotaHolder struct {
	weight float64
	bucket *rate.Limiter // nil: no quota
}

// Controller is the admission state of one entry. Create it with New.
type Controller struct {
	cfg             Config
	urgent          lane
	batch           lane
	customers       map[string]quotaHolder
	teams           map[string]quotaHolder
	probeCandidates int // requests whose learned run time exceeds their deadline
}

// lane is the queue of the urgent or of the batch requests, with their limit.
type lane struct {
	*fairQueue
	limit    *Limit // of the requests in flight
	maxQueue int    // of the queue
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
		customers: make(map[string]quotaHolder), teams: make(map[string]quotaHolder),
	}
}

func newLane(cfg LimitConfig, bound int) lane {
	return lane{fairQueue: newFairQueue(), limit: NewLimit(cfg), maxQueue: bound, stretch: 1}
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
	c.customers[name] = c.updatedHolder(c.customers[name], weight, perSecond)
}

// SetTeam sets the quota of a team at this entry, as for SetCustomer.
func (c *Controller) SetTeam(name string, perSecond float64) {
	c.teams[name] = c.updatedHolder(c.teams[name], 1, perSecond)
}

// RemoveCustomer forgets the weight and quota of a customer.
func (c *Controller) RemoveCustomer(name string) { delete(c.customers, name) }

// RemoveTeam forgets the quota of a team.
func (c *Controller) RemoveTeam(name string) { delete(c.teams, name) }

// Submit queues a request or returns the code of its refusal. If the queue is
// full, the newest request of the customer with the most queued work per weight
// may be removed instead: it is returned as victim and is refused with
// rescode.Overloaded.
func (c *Controller) Submit(now time.Time, it Item) (code rescode.Code, victim *Item) {
	weight := c.weight(it.Customer)
	customer, team := c.customers[it.Customer].bucket, c.teams[it.Team].bucket
	if !hasToken(now, customer) || !hasToken(now, team) {
		return rescode.QuotaExceeded, nil
	}
	wait := time.Duration(float64(c.Wait(it)) * c.cfg.WaitFactor)
	it.probe = c.shouldProbe(now, it, wait)
	if !it.probe && !meetsDeadline(now, it, wait) {
		return rescode.DeadlineUnmet, nil
	}
	q := c.lane(it.Urgent)
	if q.length >= q.maxQueue {
		out, ok := q.dropNewest(it, weight)
		if !ok {
			return rescode.Overloaded, nil
		}
		victim = &out
	}
	takeToken(now, customer)
	takeToken(now, team)
	if !it.Deadline.IsZero() {
		it.maxCost = it.Deadline.Sub(now)
	}
	q.push(it, weight)
	return rescode.OK, victim
}

// Next returns the next request to dispatch, if the limit allows one more in
// flight. The caller repeats it until ok is false, after each Submit and Done.
// The expired requests can no longer meet their deadline and are refused with
// rescode.DeadlineUnmet.
func (c *Controller) Next(now time.Time) (it Item, expired []Item, ok bool) {
	for _, q := range []*lane{&c.urgent, &c.batch} {
		for f := q.head(); f != nil; f = q.head() {
			if !meetsDeadline(now, f.items[0], q.agentWait) {
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
	wait := q.agentWait + q.drainTime(q.ahead(it.Customer, c.weight(it.Customer)))
	if !it.Urgent {
		wait += c.urgent.drainTime(c.urgent.work)
	}
	return wait
}

// drainTime returns the expected time until an amount of queued work has been
// dispatched.
func (q *lane) drainTime(work time.Duration) time.Duration {
	return time.Duration(float64(work) * q.stretch / float64(max(q.limit.Value(), 1)))
}

// LaneLoad is the state of the urgent or the batch requests.
type LaneLoad struct{ Queued, InFlight, Limit int }

// Load returns the present state of the urgent and the batch requests.
func (c *Controller) Load() (urgent, batch LaneLoad) { return c.urgent.load(), c.batch.load() }

func (q *lane) load() LaneLoad { return LaneLoad{q.length, q.inFlight, q.limit.Value()} }

// meetsDeadline reports whether a request that starts to run after wait is
// expected to end before its deadline.
func meetsDeadline(now time.Time, it Item, wait time.Duration) bool {
	if it.Deadline.IsZero() {
		return true
	}
	left := it.Deadline.Sub(now)
	if it.Measured && !it.probe {
		wait += it.Expected
	}
	return wait < left
}

// shouldProbe reports whether a request is accepted to measure its run time
// again: one in ProbeEvery of those that would be refused because of their
// learned run time alone.
func (c *Controller) shouldProbe(now time.Time, it Item, wait time.Duration) bool {
	if c.cfg.ProbeEvery <= 0 || it.Deadline.IsZero() || !it.Measured {
		return false
	}
	left := it.Deadline.Sub(now)
	if it.Expected < left || wait >= left {
		return false
	}
	c.probeCandidates++
	return c.probeCandidates%c.cfg.ProbeEvery == 0
}

func (c *Controller) weight(customer string) float64 {
	if p, ok := c.customers[customer]; ok {
		return p.weight
	}
	return 1
}

// updatedHolder returns the new state of a customer or team. It keeps the tokens
// of the old bucket if the rate is unchanged.
func (c *Controller) updatedHolder(old quotaHolder, weight, perSecond float64) quotaHolder {
	if weight <= 0 {
		weight = 1
	}
	if perSecond <= 0 {
		return quotaHolder{weight: weight}
	}
	burst := max(1, int(perSecond*c.cfg.QuotaBurst.Seconds()))
	if old.bucket != nil && old.bucket.Limit() == rate.Limit(perSecond) {
		return quotaHolder{weight: weight, bucket: old.bucket}
	}
	return quotaHolder{weight: weight, bucket: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// hasToken reports whether a quota allows one more request.
func hasToken(now time.Time, b *rate.Limiter) bool { return b == nil || b.TokensAt(now) >= 1 }

// takeToken charges one request to a quota.
func takeToken(now time.Time, b *rate.Limiter) {
	if b != nil {
		b.AllowN(now, 1)
	}
}
