package jobs

import "vanillalock.example/vanillalock/internal/structs"

// ActionKind is the kind of an Action.
type ActionKind uint8

// Action kinds.
const (
	// Accepted: tell the submitter that the job is durable.
	Accepted ActionKind = iota + 1
	// Queued: add the task to the scheduler's queue.
	Queued
	// Withdrawn: remove the task from the scheduler's queue.
	Withdrawn
	// Start: send TaskStart to the worker's agent.
	Start
	// CheckpointStop: ask the agent to checkpoint and then stop the attempt.
	CheckpointStop
	// Stop: ask the agent to stop and tombstone the attempt.
	Stop
	// Freed: the capacity that the attempt held on the worker is free again.
	Freed
	// Finished: the task reached a final state.
	Finished
	// Ack: acknowledge the event with number Ref to the agent of Worker.
	Ack
)

// Action is one action that the owner of the shard performs once the transition
// that caused it is durable.
type Action struct {
	Kind       ActionKind
	Task       structs.TaskID
	Token      structs.Token
	Worker     string
	Checkpoint string // Start: checkpoint to resume from, empty for none
	ProgressMs int64  // Start: work saved in Checkpoint
	State      structs.TaskState
	Reason     string
	Ref        uint64 // Ack: Event.Ref of the acknowledged event
}

// Batch holds log records and the actions to perform once the records are
// durable.
type Batch struct {
	// Records are opaque to the log. Each is self-contained, so every prefix of
	// them yields a valid state.
	Records [][]byte
	// Snapshot holds the whole state after Records, or nil if none was requested.
	Snapshot [][]byte

	actions []Action
}

// Empty reports whether the batch has nothing to write and nothing to do.
func (b Batch) Empty() bool { return len(b.Records) == 0 && len(b.actions) == 0 }
