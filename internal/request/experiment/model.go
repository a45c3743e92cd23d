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

// request is a simulated request.
type request struct {
	id                    string
	entry                 *entry
	template, customer    string
	long                  bool
	run                   time.Duration // on an idle VM
	arrived, deadline     time.Time
	class                 structs.SizeClass
	expected, deadlineRun time.Duration // median run time; run time for the deadline check
	measured              bool          // expected is learned
	attempts              int
	upstream              route.Handle // upstream of the last attempt
	queuedAt, started     time.Time    // at the agent
}

// entry is a simulated entry.
type entry struct {
	m           *model
	index       int
	router      *route.Router
	controller  *admission.Controller
	classifier  *classify.Classifier
	retryPolicy *retry.Policy
	detector    *outlier.Detector
}

// agent is a simulated agent with its upstream.
type agent struct {
	m     *model
	index int
	queue queue
}

// model is the state of one run.
type model struct {
	loop
	scenario Scenario
	start    time.Time
	rng      *rand.Rand
	entries  []*entry
	agents   []*agent
	requests map[string]*request // not yet ended
	next     int                 // number of the last request
	figures  *Figures
}

// Run executes a scenario with one seed.
func Run(s Scenario, seed uint64) *Figures {
	m := &model{
		scenario: s, start: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		requests: make(map[string]*request), figures: &Figures{span: s.To - s.From},
	}
	m.now = m.start
	for i := range s.Upstreams {
		a := &agent{m: m, index: i, queue: slots.New(s.Slots)}
		if s.FCFS {
			a.queue = &fcfs{slots: s.Slots.Slots}
		}
		m.agents = append(m.agents, a)
		m.schedule(time.Duration(i)*heartbeat/time.Duration(s.Upstreams), a.sendHeartbeat)
	}
	for i := range s.Entries {
		m.entries = append(m.entries, m.newEntry(i, seed))
	}
	m.arrive()
	m.run(m.start.Add(s.Duration))
	m.run(m.start.Add(s.Duration + 30*time.Second)) // let accepted requests end
	m.figures.finish()
	return m.figures
}

func (m *model) newEntry(i int, seed uint64) *entry {
	cfg := route.DefaultConfig(domain(i), m.scenario.Entries)
	cfg.Policy = m.scenario.Routing
	if m.scenario.Router != nil {
		m.scenario.Router(&cfg)
	}
	e := &entry{
		m: m, index: i,
		router:      route.New(cfg, rand.New(rand.NewPCG(seed, uint64(100+i)))),
		controller:  admission.New(m.scenario.Control),
		classifier:  classify.New(classify.DefaultConfig()),
		retryPolicy: retry.New(retry.DefaultConfig(), rand.New(rand.NewPCG(seed, uint64(200+i)))),
		detector:    outlier.New(outlier.DefaultConfig()),
	}
	for k := range m.agents {
		e.detector.Add(strconv.Itoa(k))
		e.router.Add(strconv.Itoa(k), domain(k), m.scenario.Slots.Slots)
	}
	return e
}

// domain returns the failure domain of the i-th entry or upstream.
func domain(i int) string { return fmt.Sprint("domain", i%domains) }

// delay returns the one-way network delay between an entry and an agent.
func delay(e *entry, a *agent) time.Duration {
	if domain(e.index) == domain(a.index) {
		return localDelay
	}
	return localDelay + domainDelay
}

// measured reports whether the current time is in the measured span.
func (m *model) measured() bool {
	since := m.now.Sub(m.start)
	return since >= m.scenario.From && since < m.scenario.To
}

// arrive creates the next request and schedules the one after it.
func (m *model) arrive() {
	since := m.now.Sub(m.start)
	if since >= m.scenario.Duration {
		return
	}
	m.schedule(m.scenario.interval(since, m.rng), m.arrive)
	m.next++
	r := &request{
		id: strconv.Itoa(m.next), entry: m.pickEntry(), arrived: m.now,
		template: "clip", customer: strconv.Itoa(m.rng.IntN(customers)),
		run: drawRunTime(shortMean, m.rng), deadline: m.now.Add(shortDeadline),
	}
	if m.rng.Float64() < m.scenario.LongShare {
		r.long = true
		r.run, r.deadline = drawRunTime(m.scenario.LongMean, m.rng), m.now.Add(longDeadline)
		if !m.scenario.Hidden {
			r.template = "render"
		}
	}
	m.requests[r.id] = r
	m.figures.offer(m, r)
	r.entry.accept(r)
}

func (m *model) pickEntry() *entry {
	if m.scenario.Skew > 0 && m.rng.Float64() < m.scenario.Skew {
		return m.entries[0]
	}
	return m.entries[m.rng.IntN(len(m.entries))]
}

// accept classifies a new request and submits it to admission.
func (e *entry) accept(r *request) {
	// The declared time is five times the truth for short and a fifth of it for
	// long work.
	declared := 5 * shortMean
	if r.long {
		declared = longMean / 5
	}
	est := e.classifier.Estimate(r.template, r.customer, declared)
	r.class, r.expected, r.measured = est.Class, est.Expected, est.Source <= classify.FromTemplate
	r.deadlineRun = est.Expected
	if e.m.scenario.HighQuantile {
		r.deadlineRun = est.High
	}
	e.retryPolicy.OnRequest()
	if !e.m.scenario.Admission {
		e.dispatch(r)
		return
	}
	code, victim := e.controller.Submit(e.m.now, admission.Item{
		ID: r.id, Customer: r.customer, Urgent: !r.long,
		Deadline: r.deadline, Expected: r.deadlineRun, Measured: r.measured,
	})
	if victim != nil {
		e.m.drop(victim.ID)
	}
	if code != rescode.OK {
		e.m.drop(r.id)
	}
	e.dispatchAdmitted()
}

// dispatchAdmitted dispatches all requests that admission allows.
func (e *entry) dispatchAdmitted() {
	for {
		it, expired, ok := e.controller.Next(e.m.now)
		for _, x := range expired {
			e.m.drop(x.ID)
		}
		if !ok {
			return
		}
		e.dispatch(e.m.requests[it.ID])
	}
}

// dispatch sends an attempt of a request to an upstream.
func (e *entry) dispatch(r *request) {
	r.attempts++
	r.upstream = e.choose(r)
	e.router.Sent(r.upstream, r.class)
	a := e.m.agents[r.upstream]
	e.m.schedule(delay(e, a), func() { a.arrive(r) })
}

// arrive queues a request at the agent, or fails it if the upstream is failing.
func (a *agent) arrive(r *request) {
	if a.index < a.m.scenario.Failing && a.m.measured() {
		a.m.schedule(failureDelay, func() { a.reply(r, rescode.UpstreamFailed) })
		return
	}
	r.queuedAt = a.m.now
	it := slots.Item{ID: r.id, Class: r.class, Urgent: !r.long, Deadline: r.deadline, Expected: r.entry.learned(r)}
	if code := a.queue.Submit(a.m.now, it); code != rescode.OK {
		a.reply(r, code)
	}
	a.startQueued()
}

// startQueued starts all requests that the agent's scheduler allows.
func (a *agent) startQueued() {
	for {
		it, expired, ok := a.queue.Next(a.m.now)
		for _, x := range expired {
			a.reply(a.m.requests[x.ID], rescode.DeadlineUnmet)
		}
		if !ok {
			return
		}
		a.start(a.m.requests[it.ID])
	}
}

// start runs a request.
func (a *agent) start(r *request) {
	r.started = a.m.now
	run := r.run
	if a.index < a.m.scenario.Slow && a.m.measured() {
		run = time.Duration(float64(run) * a.m.scenario.SlowFactor)
	}
	a.m.figures.started(a.m, r)
	a.watchClass(r, r.class, run)
	a.m.schedule(run, func() {
		a.queue.Finish(r.id, run)
		a.reply(r, rescode.OK)
		a.startQueued()
	})
}

// watchClass moves a running request that outlasts its class to the longer class.
func (a *agent) watchClass(r *request, class structs.SizeClass, run time.Duration) {
	_, next := r.entry.classifier.Outlasted(class, 0)
	if next == 0 || next >= run {
		return
	}
	a.m.schedule(r.started.Add(next).Sub(a.m.now), func() {
		longer, _ := r.entry.classifier.Outlasted(class, next)
		a.queue.Reclassify(r.id, longer)
		a.watchClass(r, longer, run)
		a.startQueued()
	})
}

// reply sends the result of an attempt and the load of the agent to the entry.
func (a *agent) reply(r *request, code rescode.Code) {
	ended, rep := a.m.now, a.report()
	a.m.schedule(delay(r.entry, a), func() { r.entry.answered(r, code, ended, rep) })
}

func (a *agent) report() route.Report {
	l := a.queue.Load()
	return route.Report{Busy: l.Busy, Queued: l.Queued[0] + l.Queued[1] + l.Queued[2], ShortWait: l.ShortWait}
}

// sendHeartbeat sends a heartbeat to all entries, lets their detectors end
// ejections, and schedules the next heartbeat.
func (a *agent) sendHeartbeat() {
	rep := a.report()
	for _, e := range a.m.entries {
		a.m.schedule(delay(e, a), func() { e.router.Report(route.Handle(a.index), rep) })
	}
	for _, e := range a.m.entries {
		for _, c := range e.detector.Advance(a.m.now) {
			e.apply(c)
		}
	}
	if a.m.now.Sub(a.m.start) < a.m.scenario.Duration {
		a.m.schedule(heartbeat, a.sendHeartbeat)
	}
}

// answered handles the result of an attempt, which ended at the given time.
func (e *entry) answered(r *request, code rescode.Code, ended time.Time, rep route.Report) {
	run, wait := ended.Sub(r.started), r.started.Sub(r.queuedAt)
	if code != rescode.OK {
		run, wait = 0, 0
	}
	e.router.Returned(r.upstream, r.class, run, e.learned(r))
	e.router.Report(r.upstream, rep)
	if e.m.scenario.Admission {
		e.controller.Done(e.m.now, admission.Result{
			Urgent: !r.long, Ran: code == rescode.OK, Run: run, Wait: wait,
			Congested: code == rescode.SlotsFull || code == rescode.ConnectionsFull,
		})
	}
	if code == rescode.OK || code == rescode.UpstreamFailed {
		e.observe(r.upstream, code != rescode.OK)
	}
	if code == rescode.OK {
		e.classifier.Observe(r.template, r.customer, run)
		e.m.figures.answered(e.m, r)
		delete(e.m.requests, r.id)
	} else {
		e.retry(r, code)
	}
	if e.m.scenario.Admission {
		e.dispatchAdmitted()
	}
}

// learned returns the expected run time if it is learned, else 0.
func (e *entry) learned(r *request) time.Duration {
	if r.measured {
		return r.expected
	}
	return 0
}

// retry attempts a refused or failed request again if the retry policy allows it. A
// retry bypasses the admission queue: the request has waited there already.
func (e *entry) retry(r *request, code rescode.Code) {
	d := e.retryPolicy.Next(retry.Attempt{
		Number: r.attempts, Code: code, Idempotent: true, MayHaveRun: code == rescode.UpstreamFailed,
		Remaining: r.deadline.Sub(e.m.now), Expected: r.expected,
	})
	if !d.Retry {
		e.m.drop(r.id)
		return
	}
	e.m.schedule(d.Delay, func() { e.dispatch(r) })
}

// drop ends a request without an answer.
func (m *model) drop(id string) { delete(m.requests, id) }
