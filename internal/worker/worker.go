// Package worker is the interface to the platform's worker calls: running,
// checkpointing, throttling and stopping tasks on one VM.
package worker

import (
	"context"
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Errors of a Client.
var (
	// ErrStaleToken means a call carried a lower token than the task has seen.
	ErrStaleToken = errors.New("worker: stale token")
	// ErrNotRunning means the task does not run on this worker.
	ErrNotRunning = errors.New("worker: task is not running")
	// ErrCapacity means the worker has no room for the task.
	ErrCapacity = errors.New("worker: no capacity")
	// ErrUnavailable means the call may or may not have been applied.
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
	Lapsed  State = "lapsed" // the worker's lease ended
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
	Checkpoint      string            `json:"checkpoint,omitempty"`  // resume from here; empty: from the start
	DurationMs      int64             `json:"duration_ms,omitempty"` // a hint for stand-ins; 0: until stopped
}

// Status is what the worker reports of one attempt.
type Status struct {
	Spec       Spec   `json:"spec"`
	State      State  `json:"state"`
	ProgressMs int64  `json:"progress_ms"`
	Checkpoint string `json:"checkpoint,omitempty"` // latest completed checkpoint
	Reason     string `json:"reason,omitempty"`
}

// Usage is a measurement of one task. It arrives with a lag: At is the time it
// was taken.
type Usage struct {
	Task     structs.TaskID    `json:"task"`
	Used     structs.Resources `json:"used"`
	Slowdown float64           `json:"slowdown"` // 1: as fast as alone on the VM
	At       time.Time         `json:"at"`
}

// Client is one worker. Run and Renew grant the task a lease that the worker
// enforces by itself: it stops the task when the lease ends.
type Client interface {
	// Run starts an attempt. Repeating it for the same token has no effect.
	Run(ctx context.Context, spec Spec, lease time.Duration) error
	// Renew extends the lease of an attempt to now + lease.
	Renew(ctx context.Context, task structs.TaskID, token structs.Token, lease time.Duration) error
	// Checkpoint saves the progress and returns a reference to it.
	Checkpoint(ctx context.Context, task structs.TaskID, token structs.Token) (Status, error)
	// Throttle limits the task to share (0 < share <= 1) of its processors.
	Throttle(ctx context.Context, task structs.TaskID, token structs.Token, share float64) error
	// Stop ends the attempt; when it returns nil the attempt does not run and
	// the worker refuses the token from then on, also when it never ran.
	Stop(ctx context.Context, task structs.TaskID, token structs.Token) (Status, error)
	// List returns all attempts that run, and those that ended in the last minutes.
	List(ctx context.Context) ([]Status, error)
	// Usage returns the latest measurements.
	Usage(ctx context.Context) ([]Usage, error)
}
