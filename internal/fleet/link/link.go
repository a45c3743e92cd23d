// Package link defines the messages and stored records that leaders, entries and
// agents exchange, and converts orders and reports from and to protobuf.
package link

import (
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/quorum"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Kinds of FleetAsk messages, which an entry sends to the leader, except that
// AskStore, AskLeading and AskExplain go to any entry.
const (
	AskAccepted  uint32 = iota + 1 // notice: an accepted job is in the store
	AskState                       // question: the state of a job
	AskCancelled                   // notice: the cancellation of a job is in the store
	AskWaiting                     // question: the number of waiting jobs of a queue
	AskStore                       // request: a call to the store, in the field job, for an entry that can't reach it
	AskLeading                     // question to any entry: whether it leads
	AskFit                         // question: whether a VM can run tasks that need what the field job states
	AskExplain                     // question to any entry, which passes it on: where the job in the field job would go
)

// NodeRecord is the record of an agent in the store.
type NodeRecord struct {
	Address string `json:"address"` // where the agent accepts sessions
}

// EntryRecord is the record of an entry in the store.
type EntryRecord struct {
	Address string `json:"address"` // where the entry accepts sessions
}

// LeaderRecord is the value of the leader's key in the store.
type LeaderRecord struct {
	Node    string `json:"node"`
	Address string `json:"address"` // where the leader accepts sessions
}

// TermRecord is the record of a term that has begun, written together with the handover
// record.
type TermRecord struct {
	Address string `json:"address"`         // of the entry that leads
	Alone   bool   `json:"alone,omitempty"` // the leases of all earlier leaders have expired
	// Quorums are the sets of agents of which each leader whose leases may last was in
	// contact with a quorum when it granted them. The first one is that of this term.
	// Empty: leases may have been granted without.
	Quorums []quorum.Set `json:"quorums,omitempty"`
	// Own are the sets by which the leases of this term that may last were granted, and LeftMs
	// bounds what was left of those of earlier terms when the record was written. Empty: some
	// of this term were granted without.
	Own    []quorum.Set `json:"own,omitempty"`
	LeftMs int64        `json:"left_ms,omitempty"`
}

// Leading is the answer to AskLeading.
type Leading struct {
	Leads bool  `json:"leads"`
	ForMs int64 `json:"for_ms"` // how long the process has not led, if it doesn't
}

// Need is what the tasks of a step need of a VM, in the question AskFit.
type Need struct {
	Pool  string            `json:"pool"`
	Label string            `json:"label,omitempty"`
	Need  structs.Resources `json:"need"`
}

// Fit is the answer to AskFit.
type Fit struct {
	// Capacity is that of the largest VM that can run such tasks. nil: none can.
	Capacity *structs.Resources `json:"capacity,omitempty"`
	// Known is set if the leader knows all VMs of the fleet.
	Known bool `json:"known"`
}

// Handover is the record that a leader leaves in the store when it steps down.
// Without it the next leader has to assume that leases of the longest duration
// were just given.
type Handover struct {
	LeaseMs   int64 `json:"lease_ms"` // upper bound of what is left of leases given by this or earlier leaders
	Exclusive bool  `json:"alone"`    // no earlier leader gives start orders any more
	// Quorums and Own are as in TermRecord.
	Quorums []quorum.Set `json:"quorums,omitempty"`
	Own     []quorum.Set `json:"own,omitempty"`
}

// Orders returns the frame of orders for an agent. It answers the report with the
// given number and grants a lease unless lease is 0. The specs are those that the
// agent keeps, or nil if it keeps none.
func Orders(o ledger.Orders, report uint64, lease time.Duration, specs *Specs) *pb.Frame {
	m := &pb.Orders{Instance: o.Instance, Report: report, LeaseMs: uint32(lease.Milliseconds()), StoredEnds: o.Stored}
	for _, s := range o.Starts {
		if specs != nil {
			specs.omit(&s)
		}
		m.Starts = append(m.Starts, &pb.StartRun{Task: s.Task.String(), Run: uint32(s.Run), Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket})
	}
	for _, s := range o.Stops {
		m.Stops = append(m.Stops, &pb.TaskRun{Task: s.Task.String(), Run: uint32(s.Run)})
	}
	for _, p := range o.Paces {
		m.Paces = append(m.Paces, &pb.PaceRun{Task: p.Task.String(), Run: uint32(p.Run), Percent: uint32(p.Percent)})
	}
	return &pb.Frame{Body: &pb.Frame_Orders{Orders: m}}
}

// maxOrderBytes bounds the payload of the starts of one frame. A frame over
// wire.MaxFrameBytes ends the session, and the next one would begin with the same orders.
const maxOrderBytes = wire.MaxFrameBytes / 4

// SplitOrders returns the orders in parts that fit into a frame each, in their order. All
// but the starts are in the first one.
func SplitOrders(o ledger.Orders) []ledger.Orders {
	starts := o.Starts
	o.Starts = nil
	parts := []ledger.Orders{o}
	size := 0
	for _, s := range starts {
		payload := len(s.Spec) + len(s.Checkpoint) + len(s.Ticket)
		if size > 0 && size+payload > maxOrderBytes {
			parts = append(parts, ledger.Orders{Instance: o.Instance, Stored: o.Stored})
			size = 0
		}
		size += payload
		last := &parts[len(parts)-1]
		last.Starts = append(last.Starts, s)
	}
	return parts
}

// ReadOrders converts orders from protobuf. It fails on a malformed task name. The
// specs are those of the session, of which it is called for each frame.
func ReadOrders(m *pb.Orders, specs *Specs) (ledger.Orders, error) {
	o := ledger.Orders{Instance: m.GetInstance(), Stored: m.GetStoredEnds()}
	for _, s := range m.GetStarts() {
		id, err := fleet.ParseTaskID(s.GetTask())
		if err != nil {
			return o, fmt.Errorf("start: %w", err)
		}
		start := fleet.StartOrder{Task: id, Run: int(s.GetRun()), Spec: s.GetSpec(), Checkpoint: s.GetCheckpoint(), Ticket: s.GetTicket()}
		specs.restore(&start)
		o.Starts = append(o.Starts, start)
	}
	for _, s := range m.GetStops() {
		id, err := fleet.ParseTaskID(s.GetTask())
		if err != nil {
			return o, fmt.Errorf("stop: %w", err)
		}
		o.Stops = append(o.Stops, ledger.RunRef{Task: id, Run: int(s.GetRun())})
	}
	for _, p := range m.GetPaces() {
		id, err := fleet.ParseTaskID(p.GetTask())
		if err != nil {
			return o, fmt.Errorf("pace: %w", err)
		}
		o.Paces = append(o.Paces, ledger.PaceOrder{RunRef: ledger.RunRef{Task: id, Run: int(p.GetRun())}, Percent: int(p.GetPercent())})
	}
	return o, nil
}

// Introduction is what the first report of a session states of the agent.
type Introduction struct {
	Process uint64 // drawn at the start of the process; 0: an agent of an earlier version
	// EarlierLeader is how long ago the process received the last frame of an earlier
	// leader, or was started.
	EarlierLeader time.Duration
}

// Report returns the frame of an agent's report with the given number. answered is the
// latest report of the session that has an answer.
func Report(number uint64, r ledger.Report, answered uint64, intro Introduction) *pb.Frame {
	m := &pb.NodeReport{
		Number: number, Listed: r.Listed, Partial: r.Partial, Lapsed: r.Lapsed, Leaving: r.Leaving, CrashedInstance: r.Crashed, KeepsSpecs: true,
		Answered: answered, Process: intro.Process, EarlierLeaderMs: uint64(intro.EarlierLeader.Milliseconds()),
	}
	if e := r.Executor; e != nil {
		m.Executor = &pb.Executor{
			Instance: e.Instance, Pool: e.Pool, FailureDomain: e.FailureDomain, Labels: e.Labels,
			Capacity: &pb.Resources{MilliCpu: e.Capacity.MilliCPU, MemoryMb: e.Capacity.MemoryMB, Accelerators: e.Capacity.Accelerators},
			Draining: e.Draining, DrainMs: uint32(e.DrainFor.Milliseconds()),
		}
	}
	for _, x := range r.Running {
		m.Running = append(m.Running, &pb.RunStatus{Task: x.Task.String(), Run: uint32(x.Run), Checkpoint: x.Checkpoint, Percent: uint32(x.Percent), Reading: uint32(x.Reading)})
	}
	for _, x := range r.Ended {
		m.Ended = append(m.Ended, &pb.RunEnd{Number: x.Number, Task: x.Task.String(), Run: uint32(x.Run), How: uint32(x.Reason), Checkpoint: x.Checkpoint})
	}
	for _, x := range r.Results {
		m.Results = append(m.Results, &pb.OrderResult{Task: x.Task.String(), Run: uint32(x.Run), Result: uint32(x.Result), Stop: x.Stop})
	}
	return &pb.Frame{Body: &pb.Frame_NodeReport{NodeReport: m}}
}

// ReadReport converts a report from protobuf. It fails on a malformed task name.
func ReadReport(m *pb.NodeReport) (ledger.Report, error) {
	r := ledger.Report{Listed: m.GetListed(), Partial: m.GetPartial(), Lapsed: m.GetLapsed(), Leaving: m.GetLeaving(), Crashed: m.GetCrashedInstance()}
	if e := m.GetExecutor(); e != nil {
		c := e.GetCapacity()
		r.Executor = &fleet.Executor{
			Instance: e.GetInstance(), Pool: e.GetPool(), FailureDomain: e.GetFailureDomain(), Labels: e.GetLabels(),
			Capacity: structs.Resources{MilliCPU: c.GetMilliCpu(), MemoryMB: c.GetMemoryMb(), Accelerators: c.GetAccelerators()},
			Draining: e.GetDraining(), DrainFor: time.Duration(e.GetDrainMs()) * time.Millisecond,
		}
	}
	for _, x := range m.GetRunning() {
		id, err := fleet.ParseTaskID(x.GetTask())
		if err != nil {
			return r, fmt.Errorf("running: %w", err)
		}
		r.Running = append(r.Running, fleet.Running{Task: id, Run: int(x.GetRun()), Checkpoint: x.GetCheckpoint(), Percent: int(x.GetPercent()), Reading: int(x.GetReading())})
	}
	for _, x := range m.GetEnded() {
		id, err := fleet.ParseTaskID(x.GetTask())
		if err != nil {
			return r, fmt.Errorf("ended: %w", err)
		}
		r.Ended = append(r.Ended, fleet.End{Number: x.GetNumber(), Task: id, Run: int(x.GetRun()), Reason: fleet.EndReason(x.GetHow()), Checkpoint: x.GetCheckpoint()})
	}
	for _, x := range m.GetResults() {
		id, err := fleet.ParseTaskID(x.GetTask())
		if err != nil {
			return r, fmt.Errorf("result: %w", err)
		}
		r.Results = append(r.Results, ledger.Result{Task: id, Run: int(x.GetRun()), Stop: x.GetStop(), Result: fleet.OrderResult(x.GetResult())})
	}
	return r, nil
}

// Exchange sends a request to an entry in a stream of its own and returns the reply, and
// for how long it has waited for it. The error matches io.EOF if the entry has ended the
// stream without a reply, as it does for kinds that it does not know.
func Exchange(session *wire.Session, q *pb.FleetAsk, timeout time.Duration) (reply *pb.FleetReply, waited time.Duration, err error) {
	stream, err := session.Open()
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&pb.Frame{Body: &pb.Frame_FleetAsk{FleetAsk: q}}); err != nil {
		return nil, 0, err
	}
	began := time.Now()
	frame, err := stream.Receive(timeout)
	waited = time.Since(began)
	if err != nil {
		return nil, waited, err
	}
	if reply = frame.GetFleetReply(); reply == nil {
		return nil, waited, errors.New("another frame instead of a reply")
	}
	return reply, waited, nil
}
