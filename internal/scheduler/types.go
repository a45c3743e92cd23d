// Package scheduler proposes placements of tasks on VMs.
//
// Each decision filters the VMs, scores those that remain and reserves the best.
// Filters, scores and reservations are plugins (packages under plugins). The
// results for tasks of one Shape are kept per VM and computed again only for VMs
// that changed, so one decision at 650 VMs does not evaluate every plugin for
// every VM.
//
// A plan is a proposal: the VM's agent has the last word, and its refusal comes
// back through Refused. The package is pure: it has no goroutines and takes clock
// readings as arguments.
package scheduler

import (
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Shape is what filters and cached scores may look at: all tasks of one shape are
// equal for them.
type Shape struct {
	Template string
	QoS      structs.QoS
	Size     structs.Resources // planned size, see package sizes
}

// Task is a task that waits for or has a place.
type Task struct {
	Shape
	ID          structs.TaskID
	Attempt     uint32 // last attempt so far, 0 if none
	Team        string
	Expected    time.Duration
	LongRunning bool
	// Recovered marks a task whose VM was lost: its restart is rate bounded.
	Recovered bool
	// FailedOn is the VM on which the last attempt failed, or empty.
	FailedOn string
	// Held is set when room on a VM is held for the task. Plugins then drop
	// limits that are preferences, so that no task waits for ever.
	Held     bool
	Enqueued time.Time

	Started time.Time // when it was placed
	// TemplateIndex numbers the template within this scheduler; Add sets it.
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

// Flags are conditions of a VM under which it takes no or fewer tasks.
type Flags struct {
	Quarantined bool // takes no task
	Leaving     bool // takes no task
	Closed      bool // takes no batch task, see package interference
}

// Node is a VM with the tasks placed on it. Plugins read it and do not change it.
type Node struct {
	structs.Node
	Flags
	Index       int // position in the list of VMs
	RackIndex   int // number of the rack
	DomainIndex int // number of the failure domain
	Used        structs.Resources
	Foreign     structs.Resources // reserved by other entries, as reported by the agent
	Mix         []TemplateCount
	Tasks       map[structs.TaskID]*Task

	holder       *Task // the waiting task for which room is held
	backoffUntil time.Time
	version      uint32
}

// Free returns what is not reserved.
func (n *Node) Free() structs.Resources { return n.Capacity.Sub(n.Used).Sub(n.Foreign) }

// Version rises with each change of the VM or of the tasks on it.
func (n *Node) Version() uint32 { return n.version }

// Holder returns the waiting task for which room on the VM is held, or nil.
func (n *Node) Holder() *Task { return n.holder }

// BackingOff reports whether the agent refused a task a moment ago.
func (n *Node) BackingOff() bool { return !n.backoffUntil.IsZero() }

// Filter excludes VMs. The result depends only on the VM and the task's Shape.
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

// JobDependent marks a Score that looks at the job of the task. It is evaluated
// for each decision and must be cheap. Applies reports whether it can be anything
// but zero for the task.
type JobDependent interface {
	Applies(t *Task) bool
}

// Reserve accounts for a placement, or refuses it with an error. Release undoes it.
type Reserve interface {
	Name() string
	Reserve(n *Node, t *Task) error
	Release(n *Node, t *Task)
}

// Plugins are the plugins of a scheduler, in order.
type Plugins struct {
	Filters  []Filter
	Scores   []Score
	Reserves []Reserve
}

// State is the read side of a scheduler.
type State interface {
	Nodes() []*Node
	Lookup(nodeID string) *Node
	Waiting() int
}

// Planner takes the decisions of a scheduler. An error means that the decision
// has no effect, for example because the task was cancelled meanwhile.
type Planner interface {
	Submit(d Decision) error
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Decision kinds.
const (
	// Placed: start the task on Node.
	Placed DecisionKind = iota + 1
	// CannotRun: no VM can ever hold the task; Reason says why.
	CannotRun
	// MakeRoom: the task needs room on Node that does not become free by itself
	// in time; Short is what is missing.
	MakeRoom
)

// Decision is one result of the scheduler.
type Decision struct {
	Kind   DecisionKind
	Task   *Task
	Node   *Node
	Short  structs.Resources
	Reason string
}
