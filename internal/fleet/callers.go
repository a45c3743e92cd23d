package fleet

import (
	"context"
	"time"
)

// Result is the outcome of a caller's request.
type Result uint8

// Results of requests.
const (
	ResultOK          Result = iota
	ResultNotRun             // refused: it was not accepted and never runs
	ResultUnknown            // it may or may not have been accepted
	ResultNoSuchJob          // the job does not exist
	ResultUnsupported        // refused: the job needs a feature that this version lacks
)

// Answer is the answer to a caller's request.
type Answer struct {
	Result     Result
	State      string        // of the job
	Waiting    int           // number of jobs of the queue of which no task has started
	RetryAfter time.Duration // with ResultNotRun: recommended time until the next try
	Cause      string        // of a result other than ResultOK, for the log
}

// JobService serves the requests of callers, who submit and follow jobs.
type JobService interface {
	// Config returns the configuration in force, or nil before there is one.
	Config() *Config
	// Submit accepts a job.
	Submit(ctx context.Context, job Job) Answer
	// State answers with the state of a job.
	State(ctx context.Context, id string) Answer
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) Answer
	// Waiting answers with the number of waiting jobs of a queue.
	Waiting(ctx context.Context, queue string) Answer
	// Ready reports whether the entry accepts requests.
	Ready() bool
	// Leaving reports whether the entry is shutting down.
	Leaving() bool
}

// Announcements receives the announcements of executors.
type Announcements interface {
	// Announce handles an executor's description of itself.
	Announce(e Executor)
	// Leave handles the end of the executor with an ID. born is the start of the instance
	// as in Executor, or 0 if it is not known.
	Leave(id string, born int64)
	// Refuse notes that a call under the given ID was refused, as it is not one of an executor.
	Refuse(id string, err error)
}
