package side

import (
	"context"
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// An announcement alone proves nothing: it may be delayed, of an earlier instance, or
// come from another writer, with any id, service or start. The agent replaces its
// executor only by an instance that has answered a call under the announced id with the
// announced start. Which announcements describe that instance is decided by claims, as the
// executor's answers state nothing else of it. docs/design/executor-descriptions.md lists
// who may change which field.
const (
	// confirmTimeout bounds the time in which an announced instance has to answer. It is
	// announced again after about that time.
	confirmTimeout = 1500 * time.Millisecond
	confirmRetry   = 100 * time.Millisecond
	// maxCandidates bounds the instances that are asked at the same time.
	maxCandidates = 16
	// configTimeout is for a read of the configuration, which may be large: the client of
	// the store ends it sooner once no byte comes.
	configTimeout = 10 * time.Second
	// configPause is the pause after a read of the configuration that has settled nothing.
	// Announcements come each second, from each VM.
	configPause = 5 * time.Second
)

// candidate is an announced instance of the executor that is being confirmed.
type candidate struct {
	executor fleet.Executor
	claims   claims
	since    time.Time
	fenced   bool // the executor has answered under the id, but has seen a later term
}

// Announce implements fleet.Announcements.
func (a *Agent) Announce(e fleet.Executor) {
	a.post(context.Background(), func() { a.handleAnnouncement(e) })
}

// Leave implements fleet.Announcements. It proves no end: the call may be late or come from
// another writer, and an executor without an answer to it goes on for some seconds. The
// executor has left once its last lease has expired without an answer after the call.
// Instances that are being confirmed stay so: one that has ended does not answer.
func (a *Agent) Leave(id string, born int64) {
	a.post(context.Background(), func() {
		if a.executor == nil || a.executor.ID != id {
			return
		}
		if born != 0 && born != a.executor.Born {
			a.opts.Log.Warn("End of another instance ignored.", "id", id, "born", born, "current", a.executor.Instance)
			return
		}
		a.opts.Log.Info("Executor is said to leave.", "instance", a.executor.Instance)
		a.leaveAt, a.leaveSilent = time.Now(), false
		a.holdAtOnce()
	})
}

// Refuse implements fleet.Announcements.
func (a *Agent) Refuse(id string, err error) {
	a.ignored.Do(func() { a.opts.Log.Warn("Call of an executor refused, it is malformed.", "id", id, "err", err) })
}

// noteAnswerAfterLeave handles the outcome of a hold that was sent at the given time, if the
// executor was said to leave before. While it does not answer it is given no starts; its
// tasks stay its own until it answers or its lease expires.
func (a *Agent) noteAnswerAfterLeave(sent time.Time, err error) {
	if a.session == nil || a.executor == nil || a.executorLeft || a.leaveAt.IsZero() || sent.Before(a.leaveAt) {
		return
	}
	silent := err != nil && !errors.Is(err, fleet.ErrFenced)
	switch {
	case silent && !a.leaveSilent:
		a.leaveSilent = true
		a.opts.Log.Info("Executor does not answer since it was said to leave.", "instance", a.executor.Instance)
		a.withdrawStarts()
		a.report(ledger.Report{})
	case !silent:
		a.leaveSilent = false
		if !a.executor.Draining {
			a.opts.Log.Warn("End of an executor ignored, it answers and has not announced to leave.", "instance", a.executor.Instance)
			a.leaveAt = time.Time{}
		}
	}
}

// handleAnnouncement updates the description of the executor, or has a new instance
// confirmed.
func (a *Agent) handleAnnouncement(e fleet.Executor) {
	if a.executor != nil && a.executor.Instance == e.Instance && !a.executorLeft {
		a.updateExecutor(e)
		return
	}
	if c := a.candidates[e.Instance]; c != nil {
		c.executor, _ = c.claims.observe(c.executor, e, time.Now())
		return
	}
	if len(a.candidates) >= maxCandidates {
		a.dropOldestCandidate()
	}
	now := time.Now()
	c := &candidate{executor: e, claims: newClaims(a.opts.AnnounceInterval, now), since: now}
	a.candidates[e.Instance] = c
	a.confirm(c)
}

// dropOldestCandidate makes room for a further candidate. The first ones may be of other
// writers, and the executor announces itself again if one of them was its own.
func (a *Agent) dropOldestCandidate() {
	var oldest *candidate
	for _, c := range a.candidates {
		if oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
	}
	a.ignored.Do(func() {
		a.opts.Log.Warn("Announced instance dropped, too many are announced.", "instance", oldest.executor.Instance)
	})
	delete(a.candidates, oldest.executor.Instance)
}

// updateExecutor applies a further announcement of the current instance.
func (a *Agent) updateExecutor(e fleet.Executor) {
	old, now := *a.executor, time.Now()
	if e.Pool != old.Pool {
		a.resolvePool(e)
	}
	since := now.Sub(a.claims.at)
	description, used := a.claims.observe(old, e, now)
	if !used {
		a.ignored.Do(func() {
			a.opts.Log.Info("Announcement does not continue the description in use.", "instance", e.Instance, "seq", e.Seq, "current", old.Seq, "age", since,
				"pool", e.Pool, "domain", e.FailureDomain, "labels", e.Labels, "capacity", e.Capacity, "draining", e.Draining)
		})
		return
	}
	a.describe(description)
}

// describe replaces the description of the current instance.
func (a *Agent) describe(e fleet.Executor) {
	old := a.executor
	a.executor = &e
	if isSameExecutor(*old, e) && old.Draining == e.Draining && old.Capacity == e.Capacity {
		return
	}
	a.opts.Log.Info("Executor changed its state.", "instance", e.Instance, "draining", e.Draining, "remaining", e.DrainFor, "capacity", e.Capacity,
		"pool", e.Pool, "domain", e.FailureDomain, "labels", e.Labels, "seq", e.Seq)
	if e.Draining || !old.Capacity.Fits(e.Capacity) {
		a.withdrawStarts()
	}
	a.report(ledger.Report{})
}

// resolvePool decides between two announcements of one instance that name different
// pools, although an instance stays in its pool: one is of another writer. The later one
// is taken only if the configuration has its pool alone.
func (a *Agent) resolvePool(e fleet.Executor) {
	current := a.executor.Pool
	a.opts.Log.Warn("Announcements of an instance differ.", "instance", e.Instance, "pool", e.Pool, "current", current)
	if a.opts.Pools == nil || a.poolConfigured || a.readingPools || time.Now().Before(a.nextPoolRead) {
		return
	}
	a.readingPools = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
		defer cancel()
		pools, err := a.opts.Pools(ctx)
		if err != nil {
			a.opts.Log.Warn("Configuration not read, the pool stays as announced first.", "instance", e.Instance, "err", err)
		}
		_, known := pools[current]
		_, later := pools[e.Pool]
		a.post(context.Background(), func() {
			a.readingPools, a.nextPoolRead = false, time.Now().Add(configPause)
			if a.executor == nil || a.executor.Instance != e.Instance || a.executor.Pool != current {
				return
			}
			a.poolConfigured = known || later
			if later && !known {
				a.claims.use(time.Now(), false)
				a.describe(e)
			}
		})
	}()
}

// confirm asks the executor for its lists, which state the start of the instance that
// answers. The call extends no lease and acknowledges nothing.
func (a *Agent) confirm(c *candidate) {
	e, term, sent := c.executor, a.term, time.Now()
	go func() {
		lists, err := a.opts.Executors.Hold(context.Background(), e, nil, term, 0, 0, 0)
		a.post(context.Background(), func() { a.handleConfirmation(c, sent, lists, err) })
	}()
}

// handleConfirmation handles the answer to confirm.
func (a *Agent) handleConfirmation(c *candidate, sent time.Time, lists fleet.RunLists, err error) {
	instance := c.executor.Instance
	if a.candidates[instance] != c {
		return
	}
	switch {
	case err == nil && lists.Born != 0 && lists.Born != c.executor.Born:
		a.opts.Log.Warn("Announced instance not taken over, another one answers.", "instance", instance, "born", lists.Born)
		delete(a.candidates, instance)
		return
	case errors.Is(err, fleet.ErrOtherExecutor):
		a.opts.Log.Warn("Announced instance not taken over, an executor with another ID answers.", "instance", instance)
		delete(a.candidates, instance)
		return
	case err == nil && sent.After(a.adoptedAt):
		delete(a.candidates, instance)
		a.adopt(c, lists.Clock)
		return
	case errors.Is(err, fleet.ErrFenced):
		c.fenced = true // until a session tells the agent the term
	}
	if time.Since(c.since) > confirmTimeout {
		a.opts.Log.Warn("Announced instance not taken over, it does not answer.", "instance", instance, "err", err)
		delete(a.candidates, instance)
		return
	}
	time.AfterFunc(confirmRetry, func() {
		a.post(context.Background(), func() {
			if a.candidates[instance] == c {
				a.confirm(c)
			}
		})
	})
}

// adopt makes a confirmed instance the current one and discards all state of the
// previous one. clock is the reading of its clock that came with the confirmation.
func (a *Agent) adopt(c *candidate, clock time.Duration) {
	e := c.executor
	a.opts.Log.Info("Executor announced itself.", "instance", e.Instance, "pool", e.Pool, "labels", e.Labels)
	if a.executor != nil && a.executor.ID != e.ID {
		clear(a.unanswered) // it refuses calls that were meant for another ID
	}
	// One that was draining, or is said to have left and was silent, has not crashed.
	if a.executor != nil && !a.executor.Draining && !a.leaveSilent {
		a.crash = crash{time.Now(), a.executor.Instance, a.given.suspects(a.lease.latest.at)}
	}
	a.given = givenRuns{}
	a.executor, a.claims, a.adoptedAt, a.poolConfigured, a.nextPoolRead = &e, c.claims, time.Now(), false, time.Time{}
	a.instanceUncertain.Store(false)
	a.nextGeneration()
	if a.session != nil {
		a.session.reported, a.session.crashReported = reportedLists{}, false
	}
	a.lease, a.lapsed, a.executorLeft, a.leaveAt, a.leaveSilent, a.ackedEnd, a.lastListedEnd = lease{}, false, false, time.Time{}, false, 0, 0
	a.lease.addReading(clockReading{clock, time.Now()}, a.opts.MaxLease)
	clear(a.sentReports)
	a.cancelOrders()
	a.forgetPaces()
	a.hold(0)
}

// hasFencedCandidate reports whether an executor has answered that cannot be confirmed
// before a leader opens a session.
func (a *Agent) hasFencedCandidate() bool {
	for _, c := range a.candidates {
		if c.fenced {
			return true
		}
	}
	return false
}
