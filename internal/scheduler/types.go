// Package scheduler proposes placements of tasks on VMs.
//
// For each decision the scheduler filters the VMs, scores the remaining ones and
// reserves the VM with the highest score. Filters, scores and reservations are
// plugins (see the packages under plugins). The results of filters and scores are
// cached per VM for all tasks of one Shape and recomputed only for VMs that
// changed, so that a decision over 650 VMs does not run every plugin on every VM.
//
// Latency-critical tasks are called urgent here; all others are batch tasks.
//
// A placement is a proposal: the VM's agent may refuse it, which the caller reports
// with Refused. The package is pure: it has no goroutines and takes the time as an
// argument.
package scheduler

import (
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Shape holds the attributes of a task that filters and cached scores may use.
// Tasks of equal shape share their cached results.
type Shape struct {
	Template string
	QoS      structs.QoS
	Size     structs.Resources // planned size, see package sizes
}

// Task is a task that waits for a VM or is placed on one.
type Task struct {
	Shape
	ID          structs.TaskID
	Attempt     uint32 // last attempt so far, 0 if none
	Team        string
	Expected    time.Duration
	LongRunning bool
	// Recovered marks a task whose VM was lost. Restarts of such tasks are
	// rate-limited, see Config.RecoveryShare.
	Recovered bool
	// FailedOn is the VM on which the last attempt failed, or empty.
	FailedOn string
	// Held is set when capacity on a VM is held for the task; for an urgent task,
	// already when the scheduler looks for such a VM. Plugins then ignore limits that
	// are only preferences, so that the task does not wait forever.
	Held     bool
	Enqueued time.Time

	Started time.Time // when it was placed
	// TemplateIndex is a number that this scheduler assigns to the template. Add and
	// Restore set it.
	TemplateIndex int
	node          *Node
}

// Node returns the VM on which the task is placed, or nil.
func (t *Task) Node() *Node { return t.node }

// TemplateCount is the number of tasks of a template on a VM.
type TemplateCount struct {
	Template      string
	TemplateIndex int
	QoS           structs.QoS
	Count         int
}

// Flags are conditions of a VM that exclude some or all tasks.
type Flags struct {
	Quarantined bool // takes no task
	Leaving     bool // takes no task
	Closed      bool // takes no batch task, see package interference
}

// Node is a VM with the tasks placed on it. Plugins must not modify it.
type Node struct {
	structs.Node
	Flags
	Index            int               // position in State.Nodes
	RackIndex        int               // number of the rack, assigned by the scheduler
	DomainIndex      int               // number of the failure domain, assigned by the scheduler
	Used             structs.Resources // reserved by this scheduler
	ReservedByOthers structs.Resources // reserved by other entries, as reported by the agent
	Mix              []TemplateCount
	Tasks            map[structs.TaskID]*Task

	heldFor      *Task // the waiting task for which capacity is held
	backoffUntil time.Time
	version      uint32
}

// Free returns the capacity that neither this scheduler nor another entry has
// reserved.
func (n *Node) Free() structs.Resources { return n.Capacity.Sub(n.Used).Sub(n.ReservedByOthers) }

// Version returns a counter that increases with each change of the VM or of the
// tasks on it.
func (n *Node) Version() uint32 { return n.version }

// HeldFor returns the waiting task for which capacity on the VM is held, or nil.
func (n *Node) HeldFor() *Task { return n.heldFor }

// BackingOff reports whether the VM gets no tasks for now because its agent has
// refused one, see Config.RefusalBackoff.
func (n *Node) BackingOff() bool { return !n.backoffUntil.IsZero() }

// Filter excludes VMs: a VM is eligible if Filter returns true. The result depends
// only on the VM and the task's Shape.
type Filter interface {
	Name() string
	Filter(n *Node, t *Task) bool
}

// Score rates a VM; higher is better. The result depends only on the VM and the
// task's Shape, unless the plugin is also JobDependent.
type Score interface {
	Name() string
	Score(n *Node, t *Task) float64
}

// JobDependent marks a Score that depends on more than the Shape of the task, such
// as its job. The score is not cached but evaluated for each decision, so it must be
// cheap. Applies reports whether the score can be non-zero for the task.
type JobDependent interface {
	Applies(t *Task) bool
}

// Reserve accounts for a placement, or rejects it with an error. Release undoes
// a successful Reserve.
type Reserve interface {
	Name() string
	Reserve(n *Node, t *Task) error
	Release(n *Node, t *Task)
}

// Plugins are the plugins of a scheduler, in the order in which they are called.
type Plugins struct {
	Filters  []Filter
	Scores   []Score
	Reserves []Reserve
}

// State is the read-only view of a scheduler.
type State interface {
	Nodes() []*Node
	Lookup(nodeID string) *Node
	Waiting() int
}

// ErrNotNow is the error of a Planner that cannot carry out a decision at present,
// although the task still waits.
var ErrNotNow = errors.New("the decision cannot be carried out now")

// Planner carries out the decisions of a scheduler. An error means that the
// decision had no effect, for example because the task was cancelled meanwhile. After
// one that matches ErrNotNow the task waits again from the next Tick on.
type Planner interface {
	Submit(d Decision) error
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Decision kinds.
const (
	// Placed: start the task on Node.
	Placed DecisionKind = iota + 1
	// CannotRun: the task fits no VM type or exceeds its team's quota; Reason says which.
	CannotRun
	// EvictionNeeded: the task needs capacity on Node that is not expected to become
	// free in time; Short is the amount to evict.
	EvictionNeeded
)

// Decision is one result of the scheduler.
type Decision struct {
	Kind   DecisionKind
	Task   *Task
	Node   *Node             // nil for CannotRun
	Short  structs.Resources // only for EvictionNeeded
	Reason string            // only for CannotRun
}
