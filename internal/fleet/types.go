// Package fleet defines the types of a scheduler that keeps its state in an
// external key-value store, and the interfaces between the scheduler and its
// adapters.
//
// A job has steps of equal tasks and may repeat, as occurrences. A task is started
// on an executor (one for each VM) as a run, and again as another run if that one
// does not end well.
//
// Entries serve callers and elect one of them as the leader for a term (package
// lead). The leader records jobs and runs (package ledger), chooses VMs (package
// place) and slows tasks that disturb others (package tail). An agent beside each
// executor (package side) passes on the leader's orders and reports the executor's
// runs; package link has their messages.
//
// An executor ends its runs when its lease expires. So the tasks of a VM out of
// reach can start elsewhere after that time without running twice.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Job is a submitted job: steps of equal tasks, with dependencies between steps.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"` // name of the queue that accepted it
	// Policy is the queue's policy at acceptance, used once the queue is gone.
	Policy   Policy        `json:"policy"`
	Spec     string        `json:"spec"` // passed to the executor unchanged
	Steps    []Step        `json:"steps"`
	Repeats  int           `json:"repeats,omitempty"`  // number of occurrences; 0: the job runs once, immediately
	First    time.Time     `json:"first,omitzero"`     // when the first occurrence is due
	Interval time.Duration `json:"interval,omitempty"` // between the due times of occurrences
	Accepted time.Time     `json:"accepted"`           // when the entry accepted it
}

// Step is a set of equal tasks. Tasks with Lasting are called lasting tasks, those
// with a TailTarget serving tasks, and those with Fills filling tasks.
type Step struct {
	Count          int               `json:"count"`
	Need           structs.Resources `json:"need"`                  // of each task
	Estimate       time.Duration     `json:"estimate,omitempty"`    // rough run time of a task
	After          []int             `json:"after,omitempty"`       // indices of the steps that must be done first
	Checkpoints    bool              `json:"checkpoints,omitempty"` // tasks save their progress while they run
	Gang           bool              `json:"gang,omitempty"`        // the tasks run only all together
	SameRack       bool              `json:"same_rack,omitempty"`   // the tasks are slower across racks
	Label          string            `json:"label,omitempty"`       // label that the VM must have
	DataRack       string            `json:"data_rack,omitempty"`   // label of the rack with the data; tasks are slower on others
	MaxPerVM       int               `json:"max_per_vm,omitempty"`  // largest number of tasks of one occurrence on a VM; 0: no limit
	Duplicates     bool              `json:"duplicates,omitempty"`  // several runs of a task may run in parallel
	Lasting        bool              `json:"lasting,omitempty"`     // runs until the job is cancelled; restarted however a run ends
	Image          string            `json:"image,omitempty"`       // tasks of one image behave alike
	TailTarget     time.Duration     `json:"tail_target,omitempty"` // upper bound of the tail latency of the requests that a task serves; 0: it serves none
	Fills          bool              `json:"fills,omitempty"`       // uses the CPU that other tasks on the VM leave, and reserves none
	MaxUnavailable int               `json:"may_miss,omitempty"`    // number of tasks that planned work may make unavailable
}

// Policy holds the rules that the configuration sets for the jobs of a queue.
type Policy struct {
	Pool        string        `json:"pool"`         // pool whose VMs run the queue's tasks
	Priority    int           `json:"priority"`     // 0 is the highest
	MaxAttempts int           `json:"max_attempts"` // failed runs of a task at which the job fails
	Stretch     float64       `json:"stretch"`      // objective of a job: Stretch x run time of its chain of dependent steps + Objective
	Objective   time.Duration `json:"objective"`
	Advised     bool          `json:"advised,omitempty"` // a policy service names the VMs of a step
}

// Queue is a route of the configuration: callers submit jobs to it by its host and
// path prefix.
type Queue struct {
	Name    string        `json:"name"`
	Host    string        `json:"host"`
	Prefix  string        `json:"prefix"`
	Timeout time.Duration `json:"timeout,omitempty"` // of a caller's request; 0: none
	Policy  Policy        `json:"policy"`
}

// Pool is a group of VMs that run the tasks of some queues.
type Pool struct {
	Name           string
	ChecksCapacity bool // its executors refuse runs that exceed their capacity
	Standby        bool // its VMs are switched off
	HealthPath     string
	MaxConnection  int
}

// Config is one version of the operators' configuration. It does not change once it
// is in use.
type Config struct {
	Version      uint64
	Queues       []Queue
	Pools        map[string]Pool
	MaxBodyBytes int64
	MaxHeader    int           // bytes
	HeaderTime   time.Duration // timeout for reading the header of a request
	IdleTime     time.Duration // timeout of an idle connection

	indexOnce sync.Once
	byName    map[string]*Queue // of Queues, set by indexOnce
}

// FindQueue returns the queue of a request: of the queues of the host, the one with the
// longest prefix of the path.
func (c *Config) FindQueue(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// QueueByName returns the queue with the given name.
func (c *Config) QueueByName(name string) (*Queue, bool) {
	c.indexOnce.Do(func() {
		c.byName = make(map[string]*Queue, len(c.Queues))
		for i := range c.Queues {
			c.byName[c.Queues[i].Name] = &c.Queues[i]
		}
	})
	q, ok := c.byName[name]
	return q, ok
}

// TaskID identifies a task: a job, an occurrence of it, a step and an index.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+16)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses a name in the form of TaskID.String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q has %d parts instead of 4", name, len(parts))
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: %q is not a number", name, p)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// EndReason tells why a run ended.
type EndReason uint8

// Reasons for the end of a run.
const (
	EndUnknown EndReason = iota
	EndDone
	EndFailed         // through a fault of the task or the executor
	EndStopped        // by a stop order
	EndLapsed         // the executor's lease expired
	EndGangBroken     // another member of its gang ended
	EndGangIncomplete // the other members of its gang did not start
)

// String returns the reason as it appears in log lines.
func (r EndReason) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(r) < len(names) {
		return names[r]
	}
	return names[0]
}

// Running is a run that goes on at an executor.
type Running struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	Reading    int // of a serving task its tail latency in ms, else its CPU use in thousandths of a core
}

// End is a run that has ended.
type End struct {
	Number     uint64 // rises with each end of an executor's instance
	Task       TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// OrderResult is the result of an order to an executor.
type OrderResult uint8

// Results of orders.
const (
	OrderUnknown    OrderResult = iota // no answer: the order may still be carried out
	OrderDone                          // the run exists or, for a stop, is being stopped
	OrderFenced                        // refused: the executor has seen a higher term
	OrderOld                           // refused: a run of the task with this or a higher number has ended there
	OrderLate                          // refused: the lease had expired when the order arrived
	OrderNoCapacity                    // refused: the executor lacks capacity
	OrderNoTicket                      // refused: the policy does not allow the VM, or the ticket has expired
	OrderBusy                          // refused: the executor is unhealthy and did nothing
	OrderRejected                      // refused: the executor cannot parse the order
	// OrderRevoked: refused, and the run was also ordered to stop, as an earlier try may have
	// started it; or the deadline of each try has passed.
	OrderRevoked
	OrderGone // refused: an executor with another ID answered
	// The instance that was given a start has ended without listing an end of the run,
	// early in the run or later. Agents report these to leaders that did not see it.
	OrderCrashed
	OrderCrashedLater
)

// Executor describes an instance of an executor, the process on a VM that runs
// tasks. A restart is a new instance.
type Executor struct {
	Instance      string // name of the instance; a restart changes it
	ID            string // name in calls to the executor; the same for all instances
	Address       string
	Pool          string
	FailureDomain string
	Labels        []string
	Capacity      structs.Resources
	Draining      bool
	DrainFor      time.Duration // shortest time until it leaves, while draining
	Seq           uint64        // rises with each announcement of an instance
	Born          int64         // start of the instance in Unix ms; 0: not known
}

// ClockRate is the slowest rate, relative to real time, of the monotonic clock of an
// executor, by which it measures its leases. The platform allows a deviation of 2%.
const ClockRate = 0.98

// RunLists holds the lists of an executor's runs, as of one moment. A run in either of
// them is called listed.
type RunLists struct {
	Clock   time.Duration // reading of the executor's monotonic clock
	Born    int64         // as in Executor
	Running []Running
	Ended   []End // ends that are not acknowledged yet
	// Partial is true if there may be further ends: a run that is not listed may have
	// ended. All of Running are listed at any time.
	Partial bool
}

// StartOrder is an order to start a run.
type StartOrder struct {
	Task       TaskID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   time.Duration // end of the lease on the executor's monotonic clock
}

// Errors of ExecutorClient.Hold.
var (
	ErrFenced        = errors.New("executor has seen a later term")
	ErrOtherExecutor = errors.New("an executor with another ID answers")
	ErrOtherInstance = errors.New("another instance of the executor answers") // under the same ID
)

// InstanceCheck fails with ErrOtherInstance unless lists that were asked for at the given time
// are of the instance that a call is meant for. It is safe for concurrent use.
type InstanceCheck func(lists RunLists, asked time.Time) error

// ExecutorClient is the interface of the calls to executors. The fence is the leader's
// term: an executor refuses calls with a lower term than the highest that it has
// seen. All runs of an executor share one lease. Only an instance that passes the check
// carries out a call; without one (nil), any instance under the ID does.
type ExecutorClient interface {
	// Hold extends the lease to deadline (0: not at all), acknowledges the ends up
	// to number seen, which the executor then drops, and returns the lists: at once
	// while ends are not acknowledged, else when a run ends or wait has passed. Refusals
	// match ErrFenced or ErrOtherExecutor.
	Hold(ctx context.Context, e Executor, only InstanceCheck, fence uint64, deadline time.Duration, seen uint64, wait time.Duration) (RunLists, error)
	// Start starts a run.
	Start(ctx context.Context, e Executor, only InstanceCheck, fence uint64, order StartOrder) (OrderResult, error)
	// Stop stops a run, or prevents its start if it has not started.
	Stop(ctx context.Context, e Executor, only InstanceCheck, fence uint64, task TaskID, run int) (OrderResult, error)
	// Pace sets the pace of a run: the share of full speed, in percent, at which it
	// works. At 0 it is paused.
	Pace(ctx context.Context, e Executor, only InstanceCheck, fence uint64, task TaskID, run, percent int) (OrderResult, error)
}
