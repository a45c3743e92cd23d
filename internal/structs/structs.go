// Package structs defines the data types that several packages share: templates,
// customers, requests, jobs, tasks, nodes and resources.
package structs

import (
	"time"

	"vanillalock.example/vanillalock/internal/rescode"
)

// QoS is the quality-of-service class of a template.
type QoS string

// QoS classes.
const (
	// LatencyCritical work has a deadline and takes precedence over batch work.
	LatencyCritical QoS = "latency_critical"
	// Batch work is measured by throughput and may be throttled or evicted.
	Batch QoS = "batch"
)

// TemplateKind says where the work of a template runs.
type TemplateKind string

// Template kinds.
const (
	// KindRequest work runs in a slot of an upstream's executor.
	KindRequest TemplateKind = "request"
	// KindTask work runs as tasks on workers, each under a lease.
	KindTask TemplateKind = "task"
)

// SizeClass is a class of run times. Package classify learns it per request.
type SizeClass uint8

// Size classes, shortest first.
const (
	SizeShort SizeClass = iota
	SizeMedium
	SizeLong
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" toml:"milli_cpu"`       // thousandths of a core
	MemoryMB     int64 `json:"memory_mb" toml:"memory_mb"`       // MiB
	Accelerators int64 `json:"accelerators" toml:"accelerators"` // whole devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// ParameterSpec declares one parameter of a template.
type ParameterSpec struct {
	Name     string `json:"name"`
	Required bool   `json:"required,omitempty"`
	Default  string `json:"default,omitempty"`
}

// Template describes a type of work. The system assigns Version and increments it
// with each accepted edit.
type Template struct {
	Name               string          `json:"name"`
	Version            uint64          `json:"version"`
	Kind               TemplateKind    `json:"kind"`
	QoS                QoS             `json:"qos"`
	Idempotent         bool            `json:"idempotent"`
	Resources          Resources       `json:"resources"`
	ExpectedMillis     int64           `json:"expected_ms"`
	DeadlineMillis     int64           `json:"deadline_ms"`
	CheckpointMillis   int64           `json:"checkpoint_ms,omitempty"`
	MaxAttempts        int             `json:"max_attempts,omitempty"`
	Parameters         []ParameterSpec `json:"parameters,omitempty"`
	Deleted            bool            `json:"deleted,omitempty"`
	LongRunningService bool            `json:"long_running,omitempty"` // runs until cancelled, e.g. a live feed
}

// Customer is a party on whose behalf work runs. Parameters overrides the defaults of
// template parameters, by template name and parameter name.
type Customer struct {
	Name              string                       `json:"name"`
	Version           uint64                       `json:"version"`
	Team              string                       `json:"team"`
	RequestsPerSecond float64                      `json:"requests_per_second,omitempty"` // 0: no own limit
	Quota             Resources                    `json:"quota,omitzero"`                // of the team; zero: no limit
	Parameters        map[string]map[string]string `json:"parameters,omitempty"`
	Deleted           bool                         `json:"deleted,omitempty"`
}

// Request is a call that an upstream's executor serves.
type Request struct {
	ID              string            `json:"id"`
	IdempotencyKey  string            `json:"idempotency_key,omitempty"`
	Template        string            `json:"template"`
	TemplateVersion uint64            `json:"template_version"`
	Customer        string            `json:"customer"`
	CustomerVersion uint64            `json:"customer_version"`
	Parameters      map[string]string `json:"parameters,omitempty"`
	QoS             QoS               `json:"qos"`
	Idempotent      bool              `json:"idempotent"`
	Deadline        time.Time         `json:"deadline"`
}

// Answer is the result of a request.
type Answer struct {
	RequestID string          `json:"request_id"`
	Outcome   rescode.Outcome `json:"-"`
	Code      rescode.Code    `json:"code"`
	Detail    string          `json:"detail,omitempty"`
	Body      []byte          `json:"body,omitempty"`
	Upstream  string          `json:"upstream,omitempty"`
}

// TaskState is a state of a task's lifecycle.
type TaskState string

// Task states. Done, Failed, Cancelled and CannotRun are final.
const (
	TaskSubmitted     TaskState = "submitted"
	TaskQueued        TaskState = "queued"
	TaskPlaced        TaskState = "placed"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "checkpointing"
	TaskEvicted       TaskState = "evicted"
	TaskDone          TaskState = "done"
	TaskFailed        TaskState = "failed"
	TaskCancelled     TaskState = "cancelled"
	TaskCannotRun     TaskState = "cannot_run"
)

// Final reports whether no transition leaves the state.
func (s TaskState) Final() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled || s == TaskCannotRun
}

// Job is a submission of Count tasks of one template for one customer. It keeps the
// versions of template and customer with which it was accepted.
type Job struct {
	ID              string            `json:"id"`
	Template        string            `json:"template"`
	TemplateVersion uint64            `json:"template_version"`
	Customer        string            `json:"customer"`
	CustomerVersion uint64            `json:"customer_version"`
	Team            string            `json:"team"`
	Parameters      map[string]string `json:"parameters,omitempty"`
	QoS             QoS               `json:"qos"`
	Resources       Resources         `json:"resources"` // per task
	ExpectedMillis  int64             `json:"expected_ms"`
	MaxAttempts     int               `json:"max_attempts"`
	LongRunning     bool              `json:"long_running,omitempty"`
	Count           int               `json:"count"`
	SubmittedUnixMs int64             `json:"submitted_unix_ms"`
	Tasks           []Task            `json:"tasks"`
}

// Task is a unit of a job. It runs on one worker at a time.
type Task struct {
	Index       int       `json:"index"`
	State       TaskState `json:"state"`
	Attempt     uint32    `json:"attempt"`               // rises with each placement
	Generation  uint64    `json:"generation"`            // shard generation of the last transition
	Worker      string    `json:"worker,omitempty"`      // VM id of the current attempt
	Incarnation uint64    `json:"incarnation,omitempty"` // of the worker's agent
	Epoch       uint64    `json:"epoch,omitempty"`       // member list epoch at the placement
	Checkpoint  string    `json:"checkpoint,omitempty"`  // last acknowledged checkpoint
	ProgressMs  int64     `json:"progress_ms,omitempty"` // work saved in Checkpoint
	Failures    int       `json:"failures,omitempty"`
	Evictions   int       `json:"evictions,omitempty"`
	Reason      string    `json:"reason,omitempty"`
}

// TaskID identifies a task across the system.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// Token identifies an attempt of a task and fences earlier ones: a worker refuses
// calls with a lower token than it has seen.
type Token struct {
	Generation uint64 `json:"generation"`
	Attempt    uint32 `json:"attempt"`
}

// Less reports whether t is lower than o. Tokens are ordered by attempt, then by
// generation: the attempts of a task keep rising across generations.
func (t Token) Less(o Token) bool {
	if t.Attempt != o.Attempt {
		return t.Attempt < o.Attempt
	}
	return t.Generation < o.Generation
}

// Node is a VM as announced by its agent.
type Node struct {
	ID            string    `json:"id"`
	Incarnation   uint64    `json:"incarnation"`
	FailureDomain string    `json:"failure_domain"`
	Rack          string    `json:"rack"`
	Capacity      Resources `json:"capacity"`
	Slots         int       `json:"slots"`
	Connections   int       `json:"connections"`
}
