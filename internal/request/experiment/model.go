package experiment

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"vanillalock.example/vanillalock/internal/request/admission"
	"vanillalock.example/vanillalock/internal/request/classify"
	"vanillalock.example/vanillalock/internal/request/outlier"
	"vanillalock.example/vanillalock/internal/request/retry"
	"vanillalock.example/vanillalock/internal/request/route"
	"vanillalock.example/vanillalock/internal/request/slots"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

type request struct {
	id                 string
	entry              *entry
	template, customer string
	long               bool
	run                time.Duration // on an idle VM
	arrived, deadline  time.Time
	class              structs.SizeClass
	expected, check    time.Duration
	measured           bool // expected is learned
	attempts           int
	to                 route.Handle
	queuedAt, started  time.Time // at the agent
}

type entry struct {
	m       *model
	index   int
	router  *route.Router
	control *admission.Controller
	sizes   *classify.Classifier
	retries *retry.Policy
	judge   *outlier.Detector
}

type agent struct {
	m     *model
	index int
	queue queue
}

type model struct {
	loop
	s        Scenario
	start    time.Time
	rng      *rand.Rand
	entries  []*entry
	agents   []*agent
	requests map[string]*request
	next     int
	out      *Figures
}

// Run executes a scenario with one seed.
func Run(s Scenario, seed uint64) *Figures {
	m := &model{
		s: s, start: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		requests: make(map[string]*request), out: &Figures{span: s.To - s.From},
	}
	m.now = m.start
	for i := range s.Upstreams {
		a := &agent{m: m, index: i, queue: slots.New(s.Slots)}
		if s.FCFS {
			a.queue = &fcfs{slots: s.Slots.Slots}
		}
		m.agents = append(m.agents, a)
		m.after(time.Duration(i)*heartbeat/time.Duration(s.Upstreams), a.beat)
	}
	for i := range s.Entries {
		m.entries = append(m.entries, m.newEntry(i, seed))
	}
	m.arrive()
	m.run(m.start.Add(s.Duration))
	m.run(m.start.Add(s.Duration + 30*time.Second)) // let accepted requests end
	m.out.finish()
	return m.out
}

func (m *model) newEntry(i int, seed uint64) *entry {
	cfg := route.DefaultConfig(domain(i), m.s.Entries)
	cfg.Policy = m.s.Routing
	if m.s.Router != nil {
		m.s.Router(&cfg)
	}
	e := &entry{
		m: m, index: i,
		router:  route.New(cfg, rand.New(rand.NewPCG(seed, uint64(100+i)))),
		control: admission.New(m.s.Control),
		sizes:   classify.New(classify.DefaultConfig()),
		retries: retry.New(retry.DefaultConfig(), rand.New(rand.NewPCG(seed, uint64(200+i)))),
		judge:   outlier.New(outlier.DefaultConfig()),
	}
	for k := range m.agents {
		e.judge.Add(strconv.Itoa(k))
		e.router.Add(strconv.Itoa(k), domain(k), m.s.Slots.Slots)
	}
	return e
}

func domain(i int) string { return fmt.Sprint("domain", i%domains) }

func delay(e *entry, a *agent) time.Duration {
	if domain(e.index) == domain(a.index) {
		return localDelay
	}
	return localDelay + domainDelay
}

// measured reports whether the present is in the measured span.
func (m *model) measured() bool {
	since := m.now.Sub(m.start)
	return since >= m.s.From && since < m.s.To
}

// arrive creates the next request and schedules the one after it.
func (m *model) arrive() {
	since := m.now.Sub(m.start)
	if since >= m.s.Duration {
		return
	}
	m.after(m.s.interval(since, m.rng), m.arrive)
	m.next++
	r := &request{
		id: strconv.Itoa(m.next), entry: m.pickEntry(), arrived: m.now,
		template: "clip", customer: strconv.Itoa(m.rng.IntN(customers)),
		run: draw(shortMean, m.rng), deadline: m.now.Add(shortDeadline),
	}
	if m.rng.Float64() < m.s.LongShare {
		r.long = true
		r.run, r.deadline = draw(m.s.LongMean, m.rng), m.now.Add(longDeadline)
		if !m.s.Hidden {
			r.template = "render"
		}
	}
	m.requests[r.id] = r
	m.out.offer(m, r)
	r.entry.accept(r)
}

func (m *model) pickEntry() *entry {
	if m.s.Skew > 0 && m.rng.Float64() < m.s.Skew {
		return m.entries[0]
	}
	return m.entries[m.rng.IntN(len(m.entries))]
}

func (e *entry) accept(r *request) {
	// The declared time is five times the truth for short and a fifth of it for
	// long work.
	declared := 5 * shortMean
	if r.long {
		declared = longMean / 5
	}
	est := e.sizes.Estimate(r.template, r.customer, declared)
	r.class, r.expected, r.measured = est.Class, est.Expected, est.Source <= classify.FromTemplate
	r.check = est.Expected
	if e.m.s.HighQuantile {
		r.check = est.High
	}
	e.retries.OnRequest()
	if !e.m.s.Admission {
		e.dispatch(r)
		return
	}
	code, victim := e.control.Submit(e.m.now, admission.Item{
		ID: r.id, Customer: r.customer, Urgent: !r.long,
		Deadline: r.deadline, Expected: r.check, Measured: r.measured,
	})
	if victim != nil {
		e.m.drop(victim.ID)
	}
	if code != rescode.OK {
		e.m.drop(r.id)
	}
	e.pump()
}

func (e *entry) pump() {
	for {
		it, expired, ok := e.control.Next(e.m.now)
		for _, x := range expired {
			e.m.drop(x.ID)
		}
		if !ok {
			return
		}
		e.dispatch(e.m.requests[it.ID])
	}
}

func (e *entry) dispatch(r *request) {
	r.attempts++
	r.to = e.choose(r)
	e.router.Sent(r.to, r.class)
	a := e.m.agents[r.to]
	e.m.after(delay(e, a), func() { a.arrive(r) })
}

func (a *agent) arrive(r *request) {
	if a.index < a.m.s.Failing && a.m.measured() {
		a.m.after(failureDelay, func() { a.reply(r, rescode.UpstreamFailed) })
		return
	}
	r.queuedAt = a.m.now
	it := slots.Item{ID: r.id, Class: r.class, Urgent: !r.long, Deadline: r.deadline, Expected: r.entry.learned(r)}
	if code := a.queue.Submit(a.m.now, it); code != rescode.OK {
		a.reply(r, code)
	}
	a.pump()
}

func (a *agent) pump() {
	for {
		it, expired, ok := a.queue.Next(a.m.now)
		for _, x := range expired {
			a.reply(a.m.requests[x.ID], rescode.DeadlineUnmet)
		}
		if !ok {
			return
		}
		a.begin(a.m.requests[it.ID])
	}
}

func (a *agent) begin(r *request) {
	r.started = a.m.now
	run := r.run
	if a.index < a.m.s.Slow && a.m.measured() {
		run = time.Duration(float64(run) * a.m.s.SlowFactor)
	}
	a.m.out.started(a.m, r)
	a.watch(r, r.class, run)
	a.m.after(run, func() {
		a.queue.Finish(r.id, run)
		a.reply(r, rescode.OK)
		a.pump()
	})
}

// watch moves a straggler to its longer class.
func (a *agent) watch(r *request, class structs.SizeClass, run time.Duration) {
	_, next := r.entry.sizes.Outlasted(class, 0)
	if next == 0 || next >= run {
		return
	}
	a.m.after(r.started.Add(next).Sub(a.m.now), func() {
		longer, _ := r.entry.sizes.Outlasted(class, next)
		a.queue.Reclassify(r.id, longer)
		a.watch(r, longer, run)
		a.pump()
	})
}

func (a *agent) reply(r *request, code rescode.Code) {
	ended, rep := a.m.now, a.report()
	a.m.after(delay(r.entry, a), func() { r.entry.answered(r, code, ended, rep) })
}

func (a *agent) report() route.Report {
	l := a.queue.Load()
	return route.Report{Busy: l.Busy, Queued: l.Queued[0] + l.Queued[1] + l.Queued[2], ShortWait: l.ShortWait}
}

func (a *agent) beat() {
	rep := a.report()
	for _, e := range a.m.entries {
		a.m.after(delay(e, a), func() { e.router.Report(route.Handle(a.index), rep) })
	}
	for _, e := range a.m.entries {
		for _, c := range e.judge.Advance(a.m.now) {
			e.apply(c)
		}
	}
	if a.m.now.Sub(a.m.start) < a.m.s.Duration {
		a.m.after(heartbeat, a.beat)
	}
}

func (e *entry) answered(r *request, code rescode.Code, ended time.Time, rep route.Report) {
	run, wait := ended.Sub(r.started), r.started.Sub(r.queuedAt)
	if code != rescode.OK {
		run, wait = 0, 0
	}
	e.router.Returned(r.to, r.class, run, e.learned(r))
	e.router.Report(r.to, rep)
	if e.m.s.Admission {
		e.control.Done(e.m.now, admission.Result{
			Urgent: !r.long, Ran: code == rescode.OK, Run: run, Wait: wait,
			Congested: code == rescode.SlotsFull || code == rescode.ConnectionsFull,
		})
	}
	if code == rescode.OK || code == rescode.UpstreamFailed {
		e.observe(r.to, code != rescode.OK)
	}
	if code == rescode.OK {
		e.sizes.Observe(r.template, r.customer, run)
		e.m.out.answered(e.m, r)
		delete(e.m.requests, r.id)
	} else {
		e.retry(r, code)
	}
	if e.m.s.Admission {
		e.pump()
	}
}

// learned returns the expected run time if it is learned, else 0.
func (e *entry) learned(r *request) time.Duration {
	if r.measured {
		return r.expected
	}
	return 0
}

// retry attempts a refused request again. A retry bypasses the admission queue:
// the request has waited there already.
func (e *entry) retry(r *request, code rescode.Code) {
	d := e.retries.Next(retry.Attempt{
		Number: r.attempts, Code: code, Idempotent: true, MayHaveRun: code == rescode.UpstreamFailed,
		Remaining: r.deadline.Sub(e.m.now), Expected: r.expected,
	})
	if !d.Retry {
		e.m.drop(r.id)
		return
	}
	e.m.after(d.Delay, func() { e.dispatch(r) })
}

// drop ends a request that is refused.
func (m *model) drop(id string) { delete(m.requests, id) }
