package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/membership"
	"vanillalock.example/vanillalock/coord/propagation"
	"vanillalock.example/vanillalock/internal/request/admission"
	"vanillalock.example/vanillalock/internal/request/answers"
	"vanillalock.example/vanillalock/internal/request/classify"
	"vanillalock.example/vanillalock/internal/request/outlier"
	"vanillalock.example/vanillalock/internal/request/retry"
	"vanillalock.example/vanillalock/internal/request/route"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// control is the state owned by the control goroutine.
type control struct {
	entry *Entry

	// Requests.
	answers      *answers.Table
	waiters      map[answers.Waiter]chan<- structs.Answer
	waiterID     answers.Waiter
	runs         map[string]*run
	fingerprints map[string]string
	dispatched   int
	admission    *admission.Controller
	classes      *classify.Classifier
	router       *route.Router
	retry        *retry.Policy
	outliers     *outlier.Detector

	// Agents.
	agents  map[string]*agentState
	members *membership.Detector

	// Configuration.
	source    *propagation.Source
	templates map[string]structs.Template
	customers map[string]structs.Customer
	loaded    bool

	// Store.
	verifier *lease.Verifier
	peers    map[string]peerRecord
	probed   map[string]bool          // peers with a probe
	lost     map[string]lease.Instant // peers out of reach, since when
	jobs     *jobControl

	leaving bool
}

func newControl(e *Entry) *control {
	seed := uint64(e.started.UnixNano())
	rng := rand.New(rand.NewPCG(seed, seed>>7))
	c := &control{
		entry:        e,
		answers:      answers.New(e.opts.Answers),
		waiters:      map[answers.Waiter]chan<- structs.Answer{},
		runs:         map[string]*run{},
		fingerprints: map[string]string{},
		admission:    admission.New(admissionConfig(e.opts)),
		classes:      classify.New(classify.DefaultConfig()),
		router:       route.New(route.DefaultConfig(e.opts.FailureDomain, e.opts.Entries), rng),
		retry:        retry.New(retry.DefaultConfig(), rng),
		outliers:     outlier.New(outlier.DefaultConfig()),
		agents:       map[string]*agentState{},
		members:      membership.NewDetector(membership.Default()),
		source:       propagation.NewSource(propagation.Default()),
		templates:    map[string]structs.Template{},
		customers:    map[string]structs.Customer{},
		verifier:     lease.NewVerifier(e.opts.Lease, e.incarnation, 0),
		peers:        map[string]peerRecord{},
		probed:       map[string]bool{},
		lost:         map[string]lease.Instant{},
	}
	c.jobs = newJobControl(c)
	return c
}

func admissionConfig(opts Options) admission.Config {
	cfg := admission.DefaultConfig(opts.Slots, opts.Entries)
	if opts.Queue > 0 {
		cfg.MaxUrgent, cfg.MaxBatch = opts.Queue, opts.Queue
	}
	return cfg
}

// now is the entry's monotonic clock.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// loop runs the control goroutine.
func (c *control) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.entry.drained:
			return nil
		case event := <-c.entry.events:
			event(c)
		case <-tick.C:
			c.pump()
			c.jobs.tick()
		case <-second.C:
			c.everySecond(time.Now())
		}
	}
}

func (c *control) everySecond(now time.Time) {
	c.expireAnswers(now)
	for _, change := range c.outliers.Advance(now) {
		c.applyState(change.ID)
	}
	c.onMembership(c.members.Tick(c.entry.now()))
	c.jobs.everySecond(now)
}

func (c *control) startLeaving() {
	c.leaving = true
	c.jobs.startLeaving()
}

// idle reports whether a leaving entry may stop.
func (c *control) idle() bool {
	return len(c.runs) == 0 && len(c.waiters) == 0 && c.jobs.idle()
}

// pick chooses the upstream of an attempt. An upstream on probation that has a
// probe under way is passed over.
func (c *control) pick(r *run, avoid route.Handle) (target, bool) {
	const tries = 4
	for range tries {
		h := c.router.Pick(r.estimate.Class, avoid)
		if h == route.None {
			return target{}, false
		}
		id := c.router.ID(h)
		a := c.agents[id]
		if a == nil || a.session == nil || !c.outliers.Allow(time.Now(), id) {
			avoid = h
			continue
		}
		c.router.Sent(h, r.estimate.Class)
		return target{handle: h, agent: id, incarnation: a.node.Incarnation, session: a.session}, true
	}
	return target{}, false
}

// attemptReturned learns from the answer of an attempt.
func (c *control) attemptReturned(r *run, result attemptResult, load *pb.Load) {
	code, t := result.answer.Code, result.target
	learned := time.Duration(0)
	if code == rescode.OK {
		learned = result.ran
		c.classes.Observe(r.request.Template, r.request.Customer, result.ran)
	}
	c.router.Returned(t.handle, r.estimate.Class, learned, r.learned())
	if code.Outcome() == rescode.Done || code == rescode.NoUpstream || code == rescode.AnswerLost {
		c.observe(t.agent, code != rescode.OK)
	}
	if a := c.agents[t.agent]; a != nil && a.node.Incarnation == t.incarnation {
		c.onLoad(a, load)
	}
}

// observe feeds an outcome to the outlier detection.
func (c *control) observe(agent string, failed bool) {
	if _, changed := c.outliers.Observe(time.Now(), agent, failed); changed {
		c.applyState(agent)
	}
}

// applyState derives the routing state of an upstream.
func (c *control) applyState(id string) {
	a := c.agents[id]
	if a == nil {
		return
	}
	state, _ := c.members.State(id)
	switch {
	case a.leaving || state == membership.Leaving:
		c.router.SetState(id, route.Leaving)
	case a.session == nil || state != membership.Present:
		c.router.SetState(id, route.Suspect)
	case c.outliers.State(id) == outlier.Ejected:
		c.router.SetState(id, route.Ejected)
	default:
		c.router.SetState(id, route.Eligible)
	}
}
