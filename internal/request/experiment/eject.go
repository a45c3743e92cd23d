package experiment

import (
	"strconv"
	"time"

	"vanillalock.example/vanillalock/internal/request/outlier"
	"vanillalock.example/vanillalock/internal/request/route"
)

// failureDelay is the time after which a failing upstream fails a request. It is
// much shorter than a run, so that the upstream looks like the fastest one.
const failureDelay = time.Millisecond

// choose returns the upstream for a request: one on probation that is due for a
// probe, else the router's choice.
func (e *entry) choose(r *request) route.Handle {
	if e.detector.Withheld() > 0 {
		for k := range e.m.agents {
			id := strconv.Itoa(k)
			if e.detector.State(id) == outlier.Probation && e.detector.Allow(e.m.now, id) {
				return route.Handle(k)
			}
		}
	}
	avoid := route.None
	if r.attempts > 1 {
		avoid = r.upstream
	}
	return e.router.Pick(r.class, avoid)
}

// observe passes an outcome to the detector and its change to the router.
func (e *entry) observe(h route.Handle, failed bool) {
	if failed {
		e.m.figures.failures++
	}
	if !e.m.scenario.Eject {
		return
	}
	if c, changed := e.detector.Observe(e.m.now, e.router.ID(h), failed); changed {
		e.apply(c)
	}
}

// apply passes a change of the detector to the router.
func (e *entry) apply(c outlier.Change) {
	state := route.Ejected
	if c.State == outlier.Healthy {
		state = route.Eligible
	}
	e.router.SetState(c.ID, state)
}
