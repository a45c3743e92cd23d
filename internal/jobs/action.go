package jobs

import "vanillalock.example/vanillalock/internal/structs"

// ActionKind says what the owner of the shard does for a durable transition.
type ActionKind uint8

// Action kinds.
const (
	// Accepted: answer the submitter; the job is durable.
	Accepted ActionKind = iota + 1
	// Queued: hand the task to the scheduler.
	Queued
	// Unqueued: withdraw the task from the scheduler.
	Unqueued
	// Start: send TaskStart to the worker's agent.
	Start
	// CheckpointStop: ask the agent to checkpoint and then stop the attempt.
	CheckpointStop
	// Stop: ask the agent to stop and tombstone the attempt.
	Stop
	// Freed: the room of the attempt on the worker is free again.
	Freed
	// Finished: the task reached a final state.
	Finished
	// Ack: acknowledge the event Ref to the agent of Worker.
	Ack
)

// Action is one thing to do for a durable transition.
type Action struct {
	Kind       ActionKind
	Task       structs.TaskID
	Token      structs.Token
	Worker     string
	Checkpoint string // Start: resume from here
	ProgressMs int64  // Start: work saved in Checkpoint
	State      structs.TaskState
	Reason     string
	Ref        uint64
}

// Batch is a set of records and the actions that wait until they are durable.
type Batch struct {
	// Records are opaque to the log and self-contained: a prefix of them is a
	// valid state.
	Records [][]byte
	// Snapshot is the state after Records, if it was asked for.
	Snapshot [][]byte

	actions []Action
}

// Empty reports whether the batch has nothing to write and nothing to do.
func (b Batch) Empty() bool { return len(b.Records) == 0 && len(b.actions) == 0 }
