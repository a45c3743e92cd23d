package explore

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
)

// Options describe the initial world and the faults that a path may contain.
type Options struct {
	Lease lease.Config
	// Entries is the number of entries; the first Members of them form epoch 1.
	Entries, Members int
	// Faults is the number of faults on one path.
	Faults int
	// SlowAgents makes the agents' and workers' clocks slower by the drift.
	SlowAgents bool
	// NoFence lets a log write of an earlier owner succeed after the log was
	// taken over.
	NoFence bool
	// AnyIncarnation sends a start to whatever incarnation of the agent runs.
	AnyIncarnation bool
	// ReleaseEarly verifies the shard at an agent again before the agent has
	// tombstoned an attempt that was proven ended by time.
	ReleaseEarly bool
	// ReadListsOnce reads the member lists only at the first question.
	ReadListsOnce bool
	// Coarse leaves out single heartbeats, delayed and lost messages and
	// crashes of entries, so that a search reaches a greater depth.
	Coarse bool
	only   []action // the only steps taken, if not empty
	prefix []Step   // steps before the initial world
	// Long adds an advance of time beyond the wait.
	Long bool
}

// DefaultOptions returns 3 entries, 2 agents and 1 task. The worker lease is
// longer than a step of time, so that a late worker call can arrive during it.
func DefaultOptions() Options {
	c := lease.Default()
	c.Worker = 4500 * time.Millisecond
	c.Hold = 20 * time.Second
	return Options{Lease: c, Entries: 3, Members: 3, Faults: 3, Long: true}
}

const (
	task   = "task"
	shard0 = 0
	agents = 2
)

// record is the log entry of an attempt. It is written before the start.
type record struct {
	lease.Attempt
	agent int
	// target is the agent's incarnation. The start is never sent to another
	// one, which would not know that the attempt has ended.
	target uint64
}

// page is the shard's log: one value with a compare-and-swap version.
type page struct {
	version uint64
	stamp   shard.Stamp
	fence   uint64
	records []record
}

// store is the key-value service.
type store struct {
	up      bool
	table   shard.Table
	version uint64
	members shard.Members
	page    page
}

// entry is one entry process.
type entry struct {
	id       string
	restarts int
	paused   bool
	verifier *lease.Verifier
	// The entry's view of its ownership, from table reads and writes.
	owner      bool
	generation uint64
	ownedAt    lease.Instant
	readAt     lease.Instant
	fenced     bool
	log        page
	seq        uint64
	unsure     *record // written, answer lost
	restart    *lease.Restart
	// Attempts proven ended by time, whose agents have to tombstone them
	// before the shard is verified there again.
	owed []record
}

// agent is one agent process with its worker.
type agent struct {
	incarnation uint64
	paused      bool
	holder      *lease.Holder
	running     map[lease.Key]run // at the worker
}

type run struct {
	attempt lease.Attempt
	until   time.Duration // true time at which the worker's lease ends
}

// World is one state of all processes, the store and the messages in flight.
type World struct {
	o      Options
	now    time.Duration
	faults int
	kv     store
	cut    int // partition in force, 0: none
	// suspected: every entry takes an owner for lost, rightly or not.
	suspected bool
	entries   []*entry
	agents    [agents]*agent
	net       []message
	started   map[uint64]int // worker starts per attempt
	err       error
}

func vm(j int) string { return fmt.Sprintf("vm-%d", j) }

// NewWorld returns the initial world: entry 0 owns the shard and attempt 1 runs
// at agent 0.
func NewWorld(o Options) *World {
	w := &World{o: o, started: map[uint64]int{}}
	w.kv.up = true
	w.kv.table = shard.NewTable(1)
	for i := range o.Entries {
		w.entries = append(w.entries, w.newEntry(i, 0))
	}
	w.kv.members, _ = shard.Members{}.With(shard.Stamp{}, w.ids(o.Members), 0)
	for j := range agents {
		h := lease.NewHolder(o.Lease, 1)
		h.Adopted()
		w.agents[j] = &agent{incarnation: 1, holder: h, running: map[lease.Key]run{}}
	}
	w.takeOver(0, false)
	for i := range w.entries {
		w.read(i, false)
	}
	w.beatAll()
	w.place(0, 0, false, false)
	for _, s := range o.prefix {
		w.Do(s)
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
	return &entry{id: id, restarts: restarts, verifier: lease.NewVerifier(w.o.Lease, id, w.now)}
}

// local is the clock of the agents.
func (w *World) local() lease.Instant {
	if w.o.SlowAgents {
		return time.Duration(float64(w.now) / (1 + w.o.Lease.Drift))
	}
	return w.now
}

// Clone returns an independent copy.
func (w *World) Clone() *World {
	c := *w
	c.net = slices.Clone(w.net)
	c.started = make(map[uint64]int, len(w.started))
	for k, n := range w.started {
		c.started[k] = n
	}
	c.entries = make([]*entry, len(w.entries))
	for i, e := range w.entries {
		copied := *e
		copied.verifier = e.verifier.Clone()
		copied.owed = slices.Clip(e.owed)
		if e.restart != nil {
			copied.restart = e.restart.Clone()
		}
		c.entries[i] = &copied
	}
	for j, a := range w.agents {
		copied := *a
		copied.holder = a.holder.Clone()
		copied.running = make(map[lease.Key]run, len(a.running))
		for k, r := range a.running {
			copied.running[k] = r
		}
		c.agents[j] = &copied
	}
	return &c
}

// Check reports a broken invariant: the task runs in two places (I2), an
// attempt started twice, or two log records of one attempt (I3).
func (w *World) Check() error {
	if w.err != nil {
		return w.err
	}
	places := 0
	for _, a := range w.agents {
		places += len(a.running)
	}
	if places > 1 {
		return fmt.Errorf("the task runs in %d places", places)
	}
	for k, n := range w.started {
		if n > 1 {
			return fmt.Errorf("attempt %d started %d times", k, n)
		}
	}
	for i, r := range w.kv.page.records {
		if r.Key.Attempt != uint64(i+1) {
			return fmt.Errorf("log record %d is attempt %d", i, r.Key.Attempt)
		}
	}
	return nil
}

// Fingerprint appends the state relative to the clock.
func (w *World) Fingerprint(b []byte) []byte {
	c := w.o.Lease
	b = append(b, byte(w.faults), byte(w.cut), bit(w.suspected), bit(w.kv.up), byte(len(w.kv.members.Lists)))
	o := w.kv.table.Shards[shard0]
	b = append(b, o.Owner...)
	b = append(b, byte(o.Generation), byte(w.kv.page.version))
	for _, e := range w.entries {
		b = append(b, bit(e.paused), bit(e.owner), byte(e.generation), bit(e.fenced), bit(e.unsure != nil))
		b = append(b, byte(e.log.version))
		b = c.AppendInstant(b, w.now, max(e.ownedAt, w.now-2*c.HoldWait()))
		b = e.verifier.Fingerprint(b, w.now)
		b = append(b, byte(len(e.owed)))
		if e.restart != nil {
			b = e.restart.Fingerprint(b, w.now)
		}
	}
	for _, a := range w.agents {
		b = append(b, bit(a.paused))
		b = a.holder.Fingerprint(b, w.local())
		for k, r := range a.running {
			b = append(b, byte(k.Attempt))
			b = c.AppendInstant(b, w.now, r.until)
		}
		b = append(b, '#')
	}
	for _, m := range w.net {
		b = m.fingerprint(b, w)
	}
	return b
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func (m message) fingerprint(b []byte, w *World) []byte {
	c := w.o.Lease
	b = append(b, m.reader...)
	b = append(b, byte(m.kind), byte(m.to), byte(m.from), byte(m.attempt.Key.Attempt), bit(m.ack.Verified), bit(m.ack.NoContact), byte(m.ack.Epoch))
	b = append(b, byte(len(m.ack.Shards)), byte(m.attempt.Generation), byte(m.target))
	if m.kind == ackMessage {
		if t, ok := w.agents[m.to].holder.Sent(m.ack.Seq); ok {
			b = c.AppendInstant(b, w.local(), t)
		}
		b = binary.AppendVarint(b, int64(min(m.ack.VerifiedAge, c.Duration)))
	}
	b = binary.AppendVarint(b, int64(m.lease))
	b = c.AppendInstant(b, w.now, m.at)
	return append(b, byte(m.generation))
}
