// Package worker defines the calls to the platform's worker, which runs,
// checkpoints, throttles and stops the tasks of one VM, and a client over HTTP.
package worker

import (
	"context"
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Errors of a Client.
var (
	// ErrStaleToken means that the call carried a lower token than an earlier call
	// for the task.
	ErrStaleToken = errors.New("worker: stale token")
	// ErrNotRunning means that the task does not run on this worker.
	ErrNotRunning = errors.New("worker: task is not running")
	// ErrCapacity means that the worker lacks the free capacity for the task.
	ErrCapacity = errors.New("worker: no capacity")
	// ErrUnavailable means that the call may or may not have been applied.
	ErrUnavailable = errors.New("worker: unavailable")
)

// State is the state of a task at the worker.
type State string

// States of a task at the worker. All but Running are final.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Stopped State = "stopped"
	Lapsed  State = "lapsed" // stopped by the worker because its lease expired
)

// Spec describes one attempt of a task.
type Spec struct {
	Task            structs.TaskID    `json:"task"`
	Token           structs.Token     `json:"token"`
	Shard           uint32            `json:"shard"`
	Template        string            `json:"template"`
	TemplateVersion uint64            `json:"template_version"`
	Parameters      map[string]string `json:"parameters,omitempty"`
	QoS             structs.QoS       `json:"qos"`
	Resources       structs.Resources `json:"resources"`
	Checkpoint      string            `json:"checkpoint,omitempty"`  // to resume from; empty: from the start
	DurationMs      int64             `json:"duration_ms,omitempty"` // how long a stand-in runs it; 0: until stopped
}

// Status is the state of one attempt as the worker reports it.
type Status struct {
	Spec       Spec   `json:"spec"`
	State      State  `json:"state"`
	ProgressMs int64  `json:"progress_ms"`
	Checkpoint string `json:"checkpoint,omitempty"` // reference to the latest completed checkpoint
	Reason     string `json:"reason,omitempty"`
}

// Usage is a measurement of one task, taken at At. It arrives later than that.
type Usage struct {
	Task     structs.TaskID    `json:"task"`
	Used     structs.Resources `json:"used"`
	Slowdown float64           `json:"slowdown"` // 1: as fast as alone on the VM
	At       time.Time         `json:"at"`
}

// Client makes calls to one worker. Run and Renew grant the task a lease that the
// worker enforces by itself: it stops the task when the lease expires.
type Client interface {
	// Run starts an attempt. Repeating it for the same token has no effect.
	Run(ctx context.Context, spec Spec, lease time.Duration) error
	// Renew extends the lease of an attempt to now + lease.
	Renew(ctx context.Context, task structs.TaskID, token structs.Token, lease time.Duration) error
	// Checkpoint saves the progress and returns a reference to it.
	Checkpoint(ctx context.Context, task structs.TaskID, token structs.Token) (Status, error)
	// Throttle limits the task to share (0 < share <= 1) of its processors.
	Throttle(ctx context.Context, task structs.TaskID, token structs.Token, share float64) error
	// Stop ends an attempt. When it returns nil, the attempt does not run, and the
	// worker refuses its token from then on, even if it never ran.
	Stop(ctx context.Context, task structs.TaskID, token structs.Token) (Status, error)
	// List returns the attempts that run and those that ended in the last minutes.
	List(ctx context.Context) ([]Status, error)
	// Usage returns the latest measurements.
	Usage(ctx context.Context) ([]Usage, error)
}
