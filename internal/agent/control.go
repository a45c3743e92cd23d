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

// control is the state owned by the control goroutine.
type control struct {
	agent *Agent
	ctx   context.Context

	record   *dedup.Record
	slots    *slots.Scheduler
	classes  *classify.Classifier
	runs     map[string]*requestRun
	waiters  map[dedup.Waiter]chan<- reply
	waiterID dedup.Waiter

	sessions   map[string]*entrySession // by dialled address
	usageSent  time.Time
	usagePause time.Duration
	config     *propagation.Replica
	tasks      *taskTable

	leaving      bool
	leavingSince time.Time
}

// requestRun is one accepted request that has not ended.
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
		// Every request names the incarnation it is meant for, which excludes
		// earlier incarnations without comparing clocks.
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

// loop runs the control goroutine.
func (c *control) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	heartbeat := time.NewTicker(c.agent.opts.Heartbeat)
	defer heartbeat.Stop()
	poll := time.NewTicker(taskPollInterval)
	defer poll.Stop()
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		// Permits that ended during a pause are handled before any event that
		// waited meanwhile.
		c.tasks.expire()
		select {
		case <-ctx.Done():
			return nil
		case <-c.agent.drained:
			c.closeSessions()
			return nil
		case event := <-c.agent.events:
			c.tasks.expire()
			event(c)
		case <-tick.C:
			c.reclassify(time.Now())
			c.pump()
		case <-heartbeat.C:
			c.sendHeartbeats()
		case <-renew.C:
			c.tasks.renewWorker()
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

// idle reports whether a leaving agent may stop: nothing in flight, every task
// stopped and reported, and the grace for requests on their way over.
func (c *control) idle() bool {
	return len(c.runs) == 0 && c.agent.answering.Load() == 0 && c.tasks.idle() && time.Since(c.leavingSince) > leaveGrace
}

func (c *control) closeSessions() {
	for _, s := range c.sessions {
		s.stop()
	}
}
