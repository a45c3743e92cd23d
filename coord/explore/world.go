package explore

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
)

// Options describes the initial world and the steps and faults of a search.
type Options struct {
	Lease lease.Config
	// Entries is the number of entries; the first Members of them form epoch 1.
	Entries, Members int
	// Faults is the maximum number of faults on one path.
	Faults int
	// SlowAgents makes the agents' and workers' clocks slower by the drift.
	SlowAgents bool
	// NoFence is a mutation: a log write of an earlier owner succeeds after the
	// log was taken over.
	NoFence bool
	// AnyIncarnation is a mutation: a start is addressed to the current
	// incarnation of the agent instead of the recorded one.
	AnyIncarnation bool
	// ReleaseEarly is a mutation: the shard is verified at an agent again before
	// the agent has tombstoned an attempt that was proven ended by time.
	ReleaseEarly bool
	// ReadListsOnce is a mutation: the member lists are read only when the
	// members are first asked, not each time.
	ReadListsOnce bool
	// Coarse leaves out single heartbeats, delayed and lost messages and
	// crashes of entries, so that a search reaches a greater depth.
	Coarse bool
	only   []action // if not empty, all other steps are left out
	prefix []Step   // steps that lead to the initial world
	// Long adds a step that advances the time by 12 s.
	Long bool
}

// DefaultOptions returns options with 3 entries, 2 agents and 1 task. The worker
// lease is longer than one advance of time, so that a delayed call to the worker
// can arrive while the lease lasts.
func DefaultOptions() Options {
	c := lease.Default()
	c.Worker = 4500 * time.Millisecond
	c.Hold = 20 * time.Second
	return Options{Lease: c, Entries: 3, Members: 3, Faults: 3, Long: true}
}

const (
	task       = "task"
	shard0     = 0
	agentCount = 2
)

// attemptRecord is the log record of an attempt. It is written before the start
// message is sent.
type attemptRecord struct {
	lease.Attempt
	agent int
	// target is the agent incarnation that the start is for. A later incarnation
	// must not accept it, because it would not know that the attempt has ended.
	target uint64
}

// logPage is the shard's log: one value in the store, with the version that a
// compare-and-swap checks.
type logPage struct {
	version uint64
	stamp   shard.Stamp
	fence   uint64
	records []attemptRecord
}

// store is the simulated key-value store.
type store struct {
	up      bool
	table   shard.Table
	version uint64
	members shard.Members
	page    logPage
}

// entry is one entry process with its view of the shard.
type entry struct {
	id       string
	restarts int
	paused   bool
	verifier *lease.Verifier
	// The entry's view of its ownership, from reads and writes of the table.
	owner      bool
	generation uint64
	ownedAt    lease.Instant
	readAt     lease.Instant
	fenced     bool
	log        logPage
	seq        uint64
	unresolved *attemptRecord // written, but the answer was lost
	endProof   *lease.EndProof
	// pendingTombstones holds the attempts that were proven ended by time and
	// not yet tombstoned. Only after that is the shard verified at their agents
	// again.
	pendingTombstones []attemptRecord
}

// agent is one agent process with its worker.
type agent struct {
	incarnation uint64
	paused      bool
	holder      *lease.Holder
	running     map[lease.Key]workerRun // at the worker
}

// workerRun is an attempt that runs at a worker.
type workerRun struct {
	attempt lease.Attempt
	until   time.Duration // global time at which the worker's lease ends
}

// World is one state of all processes, the store and the messages in flight.
type World struct {
	opts      Options
	now       time.Duration
	faults    int
	store     store
	partition int // partition in force, 0: none
	// suspected is set while every entry considers an owner lost and therefore
	// attests, whether that is true or not.
	suspected   bool
	entries     []*entry
	agents      [agentCount]*agent
	inFlight    []message
	startCounts map[uint64]int // worker starts per attempt
	failure     error
}

func agentName(j int) string { return fmt.Sprintf("vm-%d", j) }

// NewWorld returns the initial world: entry 0 owns the shard and attempt 1 runs
// at agent 0.
func NewWorld(o Options) *World {
	w := &World{opts: o, startCounts: map[uint64]int{}}
	w.store.up = true
	w.store.table = shard.NewTable(1)
	for i := range o.Entries {
		w.entries = append(w.entries, w.newEntry(i, 0))
	}
	w.store.members, _ = shard.Members{}.With(shard.Stamp{}, w.ids(o.Members), 0)
	for j := range agentCount {
		h := lease.NewHolder(o.Lease, 1)
		h.Adopted()
		w.agents[j] = &agent{incarnation: 1, holder: h, running: map[lease.Key]workerRun{}}
	}
	w.takeOver(0, false)
	for i := range w.entries {
		w.read(i, false)
	}
	w.heartbeatAll()
	w.place(0, 0, false, false)
	for _, s := range o.prefix {
		w.Apply(s)
	}
	w.faults = 0
	return w
}

func (w *World) ids(n int) []string {
	var out []string
	for _, e := range w.entries[:n] {
		out = append(out, e.id)
	}
	return out
}

func (w *World) newEntry(i, restarts int) *entry {
	id := fmt.Sprintf("e%d.%d", i, restarts)
	return &entry{id: id, restarts: restarts, verifier: lease.NewVerifier(w.opts.Lease, id, w.now)}
}

// agentClock returns the reading of the agents' clocks.
func (w *World) agentClock() lease.Instant {
	if w.opts.SlowAgents {
		return time.Duration(float64(w.now) / (1 + w.opts.Lease.Drift))
	}
	return w.now
}

// Clone returns an independent copy.
func (w *World) Clone() *World {
	c := *w
	c.inFlight = slices.Clone(w.inFlight)
	c.startCounts = make(map[uint64]int, len(w.startCounts))
	for k, n := range w.startCounts {
		c.startCounts[k] = n
	}
	c.entries = make([]*entry, len(w.entries))
	for i, e := range w.entries {
		copied := *e
		copied.verifier = e.verifier.Clone()
		copied.pendingTombstones = slices.Clip(e.pendingTombstones)
		if e.endProof != nil {
			copied.endProof = e.endProof.Clone()
		}
		c.entries[i] = &copied
	}
	for j, a := range w.agents {
		copied := *a
		copied.holder = a.holder.Clone()
		copied.running = make(map[lease.Key]workerRun, len(a.running))
		for k, r := range a.running {
			copied.running[k] = r
		}
		c.agents[j] = &copied
	}
	return &c
}

// Check returns an error if an invariant is broken: the task runs in two places
// (I2), an attempt was started twice, or two log records are of one attempt (I3).
func (w *World) Check() error {
	if w.failure != nil {
		return w.failure
	}
	places := 0
	for _, a := range w.agents {
		places += len(a.running)
	}
	if places > 1 {
		return fmt.Errorf("the task runs in %d places", places)
	}
	for k, n := range w.startCounts {
		if n > 1 {
			return fmt.Errorf("attempt %d started %d times", k, n)
		}
	}
	for i, r := range w.store.page.records {
		if r.Key.Attempt != uint64(i+1) {
			return fmt.Errorf("log record %d is attempt %d", i, r.Key.Attempt)
		}
	}
	return nil
}

// Fingerprint appends the state, with all instants relative to the current time.
// Worlds with equal fingerprints are treated as the same state.
func (w *World) Fingerprint(b []byte) []byte {
	c := w.opts.Lease
	b = append(b, byte(w.faults), byte(w.partition), boolByte(w.suspected), boolByte(w.store.up), byte(len(w.store.members.Lists)))
	o := w.store.table.Shards[shard0]
	b = append(b, o.Owner...)
	b = append(b, byte(o.Generation), byte(w.store.page.version))
	for _, e := range w.entries {
		b = append(b, boolByte(e.paused), boolByte(e.owner), byte(e.generation), boolByte(e.fenced), boolByte(e.unresolved != nil))
		b = append(b, byte(e.log.version))
		b = c.AppendInstant(b, w.now, max(e.ownedAt, w.now-2*c.HoldWait()))
		b = e.verifier.Fingerprint(b, w.now)
		b = append(b, byte(len(e.pendingTombstones)))
		if e.endProof != nil {
			b = e.endProof.Fingerprint(b, w.now)
		}
	}
	for _, a := range w.agents {
		b = append(b, boolByte(a.paused))
		b = a.holder.Fingerprint(b, w.agentClock())
		for k, r := range a.running {
			b = append(b, byte(k.Attempt))
			b = c.AppendInstant(b, w.now, r.until)
		}
		b = append(b, '#')
	}
	for _, m := range w.inFlight {
		b = m.fingerprint(b, w)
	}
	return b
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func (m message) fingerprint(b []byte, w *World) []byte {
	c := w.opts.Lease
	b = append(b, m.reader...)
	b = append(b, byte(m.kind), byte(m.to), byte(m.from), byte(m.attempt.Key.Attempt), boolByte(m.ack.Verified), boolByte(m.ack.NoContact), byte(m.ack.Epoch))
	b = append(b, byte(len(m.ack.Shards)), byte(m.attempt.Generation), byte(m.target))
	if m.kind == ackMessage {
		if t, ok := w.agents[m.to].holder.Sent(m.ack.Seq); ok {
			b = c.AppendInstant(b, w.agentClock(), t)
		}
		b = binary.AppendVarint(b, int64(min(m.ack.VerifiedAge, c.Duration)))
	}
	b = binary.AppendVarint(b, int64(m.workerLease))
	b = c.AppendInstant(b, w.now, m.readAt)
	return append(b, byte(m.generation))
}
