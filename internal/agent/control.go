package agent

import (
	"context"
	"time"

	"vanillalock.example/vanillalock/coord/propagation"
	"vanillalock.example/vanillalock/internal/request/classify"
	"vanillalock.example/vanillalock/internal/request/dedup"
	"vanillalock.example/vanillalock/internal/request/slots"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// control holds the state that the control goroutine owns. Other goroutines reach
// it through Agent.postEvent.
type control struct {
	agent *Agent
	ctx   context.Context

	record     *dedup.Record
	slots      *slots.Scheduler
	classes    *classify.Classifier
	runs       map[string]*requestRun
	waiters    map[dedup.Waiter]chan<- reply
	lastWaiter dedup.Waiter

	sessions            map[string]*entrySession // by dialled address
	usageReportedAt     time.Time
	usageReportInterval time.Duration
	config              *propagation.Replica
	tasks               *taskTable

	leaving      bool
	leavingSince time.Time
}

// requestRun is an accepted request that has not ended.
type requestRun struct {
	request *pb.Request
	arrived time.Time
	started time.Time
	class   structs.SizeClass
}

func newControl(a *Agent, ctx context.Context) *control {
	slotConfig := slots.DefaultConfig()
	slotConfig.Slots = a.opts.Node.Slots
	slotConfig.Connections = a.opts.Node.Connections
	c := &control{
		agent: a,
		ctx:   ctx,
		// The record may start at time 0: every request names the incarnation that
		// it is meant for, which rules out requests to earlier incarnations.
		record:   dedup.New(a.opts.Records, time.Unix(0, 0)),
		slots:    slots.New(slotConfig),
		classes:  classify.New(classify.DefaultConfig()),
		runs:     map[string]*requestRun{},
		waiters:  map[dedup.Waiter]chan<- reply{},
		sessions: map[string]*entrySession{},
		config:   propagation.NewReplica(),
	}
	c.tasks = newTaskTable(c, a.opts.Lease)
	return c
}

// loop runs the control goroutine until ctx ends or the agent is drained.
func (c *control) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	heartbeat := time.NewTicker(c.agent.opts.Heartbeat)
	defer heartbeat.Stop()
	poll := time.NewTicker(taskPollInterval)
	defer poll.Stop()
	renew := time.NewTicker(workerRenewInterval)
	defer renew.Stop()
	for {
		// Permits that expired while the process was paused end before any event
		// that arrived meanwhile is handled.
		c.tasks.expirePermits()
		select {
		case <-ctx.Done():
			return nil
		case <-c.agent.drained:
			c.closeSessions()
			return nil
		case event := <-c.agent.events:
			c.tasks.expirePermits()
			event(c)
		case <-tick.C:
			c.reclassify(time.Now())
			c.startRequests()
		case <-heartbeat.C:
			c.sendHeartbeats()
		case <-renew.C:
			c.tasks.renewWorkerLeases()
		case <-poll.C:
			c.tasks.poll()
		}
	}
}

func (c *control) startLeaving() {
	c.leaving, c.leavingSince = true, time.Now()
	c.sendHeartbeats()
	c.tasks.evictAll("agent is leaving")
}

// idle reports whether a leaving agent may stop: no request is in flight, the end
// of every task is acknowledged and leaveGrace is over.
func (c *control) idle() bool {
	return len(c.runs) == 0 && c.agent.pendingAnswers.Load() == 0 && c.tasks.idle() && time.Since(c.leavingSince) > leaveGrace
}

func (c *control) closeSessions() {
	for _, s := range c.sessions {
		s.stop()
	}
}
