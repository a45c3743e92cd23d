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

// control is the control state of an entry. Only the control goroutine uses it.
type control struct {
	entry *Entry

	// Requests.
	answers        *answers.Table
	waiters        map[answers.Waiter]chan<- structs.Answer
	lastWaiterID   answers.Waiter
	activeRequests map[string]*activeRequest // by request id
	fingerprints   map[string]string         // of active and retained requests, by request id
	dispatched     int                       // requests with a running dispatch goroutine
	admission      *admission.Controller
	classifier     *classify.Classifier
	router         *route.Router
	retry          *retry.Policy
	outliers       *outlier.Detector

	// Agents.
	agents  map[string]*agentState
	members *membership.Detector

	// Configuration.
	configSource *propagation.Source
	templates    map[string]structs.Template
	customers    map[string]structs.Customer
	configLoaded bool // a full read has succeeded

	// Store.
	verifier         *lease.Verifier
	peers            map[string]peerRecord    // live entries by incarnation, this one included
	probed           map[string]bool          // peers with a running probe
	unreachableSince map[string]lease.Instant // unreachable peers, with the time of the first failure
	jobs             *jobControl

	leaving bool
}

func newControl(e *Entry) *control {
	seed := uint64(e.started.UnixNano())
	rng := rand.New(rand.NewPCG(seed, seed>>7))
	c := &control{
		entry:            e,
		answers:          answers.New(e.opts.Answers),
		waiters:          map[answers.Waiter]chan<- structs.Answer{},
		activeRequests:   map[string]*activeRequest{},
		fingerprints:     map[string]string{},
		admission:        admission.New(admissionConfig(e.opts)),
		classifier:       classify.New(classify.DefaultConfig()),
		router:           route.New(route.DefaultConfig(e.opts.FailureDomain, e.opts.Entries), rng),
		retry:            retry.New(retry.DefaultConfig(), rng),
		outliers:         outlier.New(outlier.DefaultConfig()),
		agents:           map[string]*agentState{},
		members:          membership.NewDetector(membership.Default()),
		configSource:     propagation.NewSource(propagation.Default()),
		templates:        map[string]structs.Template{},
		customers:        map[string]structs.Customer{},
		verifier:         lease.NewVerifier(e.opts.Lease, e.incarnation, 0),
		peers:            map[string]peerRecord{},
		probed:           map[string]bool{},
		unreachableSince: map[string]lease.Instant{},
	}
	c.jobs = newJobControl(c)
	return c
}

// admissionConfig returns the admission settings for the expected slots and
// entries.
func admissionConfig(opts Options) admission.Config {
	cfg := admission.DefaultConfig(opts.Slots, opts.Entries)
	if opts.QueueLimit > 0 {
		cfg.MaxUrgent, cfg.MaxBatch = opts.QueueLimit, opts.QueueLimit
	}
	return cfg
}

// now returns the monotonic time since the start of the entry.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// loop handles events and timers until ctx ends or the entry is drained.
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
			c.dispatchQueued()
			c.jobs.tick()
		case <-second.C:
			c.everySecond(time.Now())
		}
	}
}

// everySecond runs the periodic work that needs no finer resolution.
func (c *control) everySecond(now time.Time) {
	c.expireAnswers(now)
	for _, change := range c.outliers.Advance(now) {
		c.updateRoutingState(change.ID)
	}
	c.onMembership(c.members.Tick(c.entry.now()))
	c.jobs.everySecond(now)
}

func (c *control) startLeaving() {
	c.leaving = true
	c.jobs.startLeaving()
}

// idle reports whether a leaving entry has no work left and may stop.
func (c *control) idle() bool {
	return len(c.activeRequests) == 0 && len(c.waiters) == 0 && c.jobs.idle()
}

// pickUpstream chooses the upstream of an attempt and counts the attempt as in
// flight there. It skips upstreams without a session, and upstreams on
// probation that already have a probe in flight.
func (c *control) pickUpstream(r *activeRequest, avoid route.Handle) (target, bool) {
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

// onAttemptResult updates the run time estimates, the routing state and the
// outlier detection from the answer of an attempt.
func (c *control) onAttemptResult(r *activeRequest, result attemptResult, load *pb.Load) {
	code, t := result.answer.Code, result.target
	observedRunTime := time.Duration(0)
	if code == rescode.OK {
		observedRunTime = result.runTime
		c.classifier.Observe(r.request.Template, r.request.Customer, result.runTime)
	}
	c.router.Returned(t.handle, r.estimate.Class, observedRunTime, r.measuredEstimate())
	if code.Outcome() == rescode.Done || code == rescode.NoUpstream || code == rescode.AnswerLost {
		c.observeOutcome(t.agent, code != rescode.OK)
	}
	if a := c.agents[t.agent]; a != nil && a.node.Incarnation == t.incarnation {
		c.onLoad(a, load)
	}
}

// observeOutcome reports the outcome of an attempt to the outlier detection.
func (c *control) observeOutcome(agent string, failed bool) {
	if _, changed := c.outliers.Observe(time.Now(), agent, failed); changed {
		c.updateRoutingState(agent)
	}
}

// updateRoutingState updates the routing state of an upstream from its session,
// its membership state and the outlier detection.
func (c *control) updateRoutingState(id string) {
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
