package bench

import "fmt"

// Sizes and daily rates of the future scale, from section 1.5 of docs/design.md;
// scaleStarts is per second.
const (
	scaleRegions      = 2
	scaleEntries      = 6 // of each region
	scaleStarts       = 48
	scaleAccelerators = 1600
	scaleUrgent       = 4100
	scaleBatch        = 11_000
	scaleEditsPerDay  = 260
	scaleJobsPerDay   = 7200
	// heartbeatsPerSecond is the rate of heartbeats on one session.
	heartbeatsPerSecond = 0.5
	scaleLostPerDay     = 12
	scaleNewPerDay      = 43
	secondsPerDay       = 86_400
)

// Budgets, from sections 1.3 and 1.5 of docs/design.md, and targets from section 6.
const (
	budgetNodeBytes   = 2000 // B/s
	budgetNodeCore    = 0.028
	budgetNodeMemory  = 64e6
	budgetStoreWrites = 300 // per second; the design says "several hundred"
	budgetLogWrites   = 100 // per second; target
	budgetTaskWrites  = 2   // per task; target
	budgetStoreReads  = 2000
	budgetEdit        = 13.0 // s
	budgetUrgent      = 9.0  // s
)

const (
	// segmentHeaderBytes is the size of the IPv4 and TCP headers of a segment
	// with the timestamp option.
	segmentHeaderBytes = 52
	// collectorFactor is the heap size relative to the live bytes at which Go's
	// garbage collector runs by default (GOGC=100).
	collectorFactor = 2
	maxRecords      = 16_384
	maxAnswers      = 8192
	// maxBodyBytes bounds the retained bodies of an agent and of an entry each.
	maxBodyBytes = 16 << 20
	// bodySample is the body size of the measured records and answers.
	bodySample = bodyBytes
)

// row is one figure of the capacity page.
type row struct {
	quantity   string
	formula    string
	names      []string // series whose slopes the formula uses
	value      float64
	unit       string
	budget     float64 // 0: none stated
	mechanism  string  // what keeps the figure low
	bottleneck string  // what is exhausted first beyond this size
}

// overBudget reports whether the figure exceeds its budget.
func (r row) overBudget() bool { return r.budget > 0 && r.value > r.budget }

// group is the rows of one role.
type group struct {
	title string
	rows  []row
}

// model evaluates formulas over the measured series.
type model struct {
	result  Result
	entries float64 // of each region
	err     error   // first missing series
}

func (m *model) series(name string) Series {
	s, err := m.result.Find(name)
	if err != nil && m.err == nil {
		m.err = err
	}
	return s
}

func (m *model) slope(name string) float64 { return m.series(name).Slope }

func (m *model) at(name string, x float64) float64 { return m.series(name).At(x) }

// medianAt returns the median of the samples at a size. It is used in place of the
// fitted line where group commit makes the growth nonlinear.
func (m *model) medianAt(name string, x float64) float64 {
	var ys []float64
	for _, p := range m.series(name).Samples {
		if p.X == x {
			ys = append(ys, p.Y)
		}
	}
	return median(ys)
}

// highest returns the highest sample of a series.
func (m *model) highest(name string) float64 {
	out := 0.0
	for _, p := range m.series(name).Samples {
		out = max(out, p.Y)
	}
	return out
}

// tasksPerVM is the mean number of running tasks of a VM.
const tasksPerVM = float64(scaleTasks) / scaleWorkers

// agentBytes is the traffic of one agent with the entries of its region.
func (m *model) agentBytes() float64 {
	return m.at("agent.idle_bytes", m.entries) + tasksPerVM*m.slope("agent.task_bytes")
}

// agentSegments is the TCP segments per second of one agent.
func (m *model) agentSegments() float64 {
	return m.at("agent.idle_segments", m.entries) + tasksPerVM*m.slope("agent.task_segments")
}

// perRecord is the memory of one retained record or answer without its body. The
// memory of bodies has its own bound, maxBodyBytes, and is a separate figure.
func (m *model) perRecord(name string) float64 { return m.slope(name) - bodySample }

// entryMemory is the live memory of an entry with agents and its share of tasks.
func (m *model) entryMemory(agents, tasks float64) float64 {
	return agents*m.slope("memory.agent") + tasks/m.entries*(m.slope("memory.shard_task")+m.slope("memory.sched_task")) +
		maxAnswers*m.perRecord("memory.answer")
}

// entryCore is the processor time of an entry at the peak of starts of its region.
func (m *model) entryCore(agents, tasks, starts float64) float64 {
	return agents*m.slope("cpu.session") + tasks/m.entries*m.slope("cpu.task") + starts/m.entries*m.slope("cpu.start")
}

// entryBytes is the control traffic of an entry with agents and its share of tasks.
func (m *model) entryBytes(agents, tasks float64) float64 {
	return agents*m.slope("agent.idle_bytes") + tasks/m.entries*m.slope("agent.task_bytes")
}

// agentWireBytes adds the TCP and IP headers to agentBytes.
func (m *model) agentWireBytes() float64 {
	return m.agentBytes() + segmentHeaderBytes*m.agentSegments()
}

// logWrites is the log writes per second of both regions at the peak of starts,
// which are split evenly between the regions.
func (m *model) logWrites() float64 {
	return scaleRegions * m.medianAt("kv.start_writes", float64(scaleStarts)/scaleRegions)
}

// storeCalls is the reads, watch calls and lease calls per second of all entries,
// plus one waiting watch for each entry.
func (m *model) storeCalls() float64 {
	all := float64(scaleRegions * scaleEntries)
	perEntry := m.slope("kv.idle_reads") + m.slope("kv.idle_watches") + m.slope("kv.idle_leases")
	return all*(perEntry+1) + all*m.slope("kv.edit_watches")/3*scaleEditsPerDay/secondsPerDay
}

// groups returns the figures of the capacity page.
func (m *model) groups() []group {
	return []group{m.agentGroup(), m.entryGroup(), m.sessionGroup(), m.storeGroup(), m.timeGroup()}
}

// vmsPerRegion is the number of VMs of a region, with the VMs split evenly.
const vmsPerRegion = float64(scaleWorkers) / scaleRegions

func (m *model) agentGroup() group {
	taskMemory := m.slope("memory.task")
	live := m.at("memory.agent", scaleEntries) + tasksPerVM*taskMemory + maxRecords*m.perRecord("memory.record")
	return group{"Agent (one per VM, 6 sessions, 23.2 running tasks)", []row{
		{"control traffic, idle", "idle(6 entries)", []string{"agent.idle_bytes"}, m.at("agent.idle_bytes", scaleEntries), "B/s", budgetNodeBytes,
			"one session to each entry of the region, one heartbeat per 2 s", "pings of the dialing end each second"},
		{"control traffic with tasks", "idle(6) + 23.2 × per task", []string{"agent.idle_bytes", "agent.task_bytes"}, m.agentBytes(), "B/s", budgetNodeBytes,
			"usage of all tasks at most every 5 s and within 800 B/s", "usage of every task in every heartbeat"},
		{"the same with TCP and IP headers", "above + 52 × segments", []string{"agent.idle_segments", "agent.task_segments"}, m.agentWireBytes(), "B/s", budgetNodeBytes,
			"none today", "small segments: pings and their acknowledgements"},
		{"edits", "6/3 × per edit × 260/day", []string{"agent.edit_bytes"}, float64(scaleEntries) / 3 * m.slope("agent.edit_bytes") * scaleEditsPerDay / secondsPerDay, "B/s", budgetNodeBytes,
			"each entry pushes the object, the agent answers with a heartbeat", "edits of large objects: every entry sends the whole object"},
		{"processor", "sessions(6) + 23.2 × per task", []string{"cpu.session", "cpu.task"}, m.at("cpu.session", scaleEntries) + tasksPerVM*m.slope("cpu.task"), "core", budgetNodeCore,
			"one control goroutine; measured with both ends of the sessions", "tasks: each costs a part of every poll of the worker"},
		{"live memory", "sessions(6) + 23.2 × per task + 16,384 × (record − body)", []string{"memory.agent", "memory.task", "memory.record"}, live, "B", budgetNodeMemory,
			"bounded records, bounded outboxes", "request records"},
		{"heap at the collector's default", "2 × live", nil, collectorFactor * live, "B", budgetNodeMemory,
			"Go's collector at GOGC=100", "request records"},
		{"heap with retained bodies at their bound", "2 × (live + 16 MiB)", nil, collectorFactor * (live + maxBodyBytes), "B", budgetNodeMemory,
			"a bound of 16 MiB on bodies", "the collector, which may hold as much again"},
	}}
}

func (m *model) entryGroup() group {
	tasks, starts := float64(scaleTasks)/scaleRegions, float64(scaleStarts)/scaleRegions
	live := m.entryMemory(vmsPerRegion, tasks)
	return group{"Entry (6 in each region, 325 agents, 1/6 of the region's tasks)", []row{
		{"control traffic", "325 × per session + 1,258 × per task", []string{"agent.idle_bytes", "agent.task_bytes"}, m.entryBytes(vmsPerRegion, tasks), "B/s", budgetNodeBytes,
			"none: the budget per node holds for agents, not on the VM of an entry", "every agent sends to every entry"},
		{"live memory", "325 × per session + 1,258 × (job + scheduler) + 8,192 × (answer − body)", []string{"memory.agent", "memory.shard_task", "memory.sched_task", "memory.answer"}, live, "B", budgetNodeMemory,
			"per session both ends are counted: an upper bound", "sessions"},
		{"heap at the collector's default", "2 × live", nil, collectorFactor * live, "B", budgetNodeMemory, "Go's collector at GOGC=100", "sessions"},
		{"heap, all 650 agents in one region", "2 × live(650 agents, 15,100 tasks)", nil, collectorFactor * m.entryMemory(scaleWorkers, scaleTasks), "B", budgetNodeMemory,
			"none today", "sessions"},
		{"heap with retained bodies at their bound", "2 × (live + 16 MiB)", nil, collectorFactor * (live + maxBodyBytes), "B", budgetNodeMemory,
			"a bound of 16 MiB on bodies", "the collector, which may hold as much again"},
		{"processor at the peak", "325 × per session + 1,258 × per task + 4 starts/s", []string{"cpu.session", "cpu.task", "cpu.start"}, m.entryCore(vmsPerRegion, tasks, starts), "core", budgetNodeCore,
			"both ends are counted: an upper bound", "heartbeats of every agent"},
		{"processor, all 650 agents in one region", "650, 2,517 tasks, 8 starts/s", nil, m.entryCore(scaleWorkers, scaleTasks, scaleStarts), "core", budgetNodeCore,
			"none today", "heartbeats of every agent"},
		{"one placement decision", "at 650 VMs, 15,100 tasks", []string{"placement.cpu"}, m.at("placement.cpu", scaleWorkers), "s", 0,
			"scores cached per shape and VM", "shapes beyond the 256 cached"},
		{"allocations of one placement decision", "at 650 VMs", []string{"placement.allocs"}, m.at("placement.allocs", scaleWorkers), "objects", 0, "", ""},
		{"placement at the peak", "48 × decision", []string{"placement.cpu"}, scaleStarts * m.at("placement.cpu", scaleWorkers), "core", budgetNodeCore,
			"200 decisions per tick of 50 ms at most", "shapes beyond the 256 cached"},
	}}
}

func (m *model) sessionGroup() group {
	return group{"Sessions", []row{
		{"agent–entry control session", "slope", []string{"agent.idle_bytes"}, m.slope("agent.idle_bytes"), "B/s", 0, "yamux, one stream", "pings"},
		{"its data frames", "slope", []string{"agent.idle_data_frames"}, m.slope("agent.idle_data_frames"), "frames/s", 0, "heartbeat and acknowledgement", ""},
		{"its pings", "slope", []string{"agent.idle_pings"}, m.slope("agent.idle_pings"), "frames/s", 0, "a ping of the dialing end and its reply, each second", "no ping on a session that carried a frame"},
		{"its TCP segments", "slope", []string{"agent.idle_segments"}, m.slope("agent.idle_segments"), "segments/s", 0, "", "one segment per frame, and acknowledgements"},
		{"heartbeat with its acknowledgement, processor of both ends", "slope / 0.5 per s", []string{"cpu.session"}, m.slope("cpu.session") / heartbeatsPerSecond, "s", 0, "pings included", ""},
		{"heartbeat with its acknowledgement, allocations of both ends", "slope / 0.5 per s", []string{"allocs.session"}, m.slope("allocs.session") / heartbeatsPerSecond, "objects", 0, "pings included", ""},
		{"its memory, both ends", "slope", []string{"memory.agent"}, m.slope("memory.agent"), "B", 0, "buffers and goroutines of both ends", ""},
		{"request stream, idempotent", "slope", []string{"request.bytes_idempotent"}, m.slope("request.bytes_idempotent"), "B", 0, "one stream per request", ""},
		{"request, processor of all hops", "slope", []string{"request.cpu_idempotent"}, m.slope("request.cpu_idempotent"), "s", 0, "", ""},
		{"request, allocations of all hops", "slope", []string{"request.allocs_idempotent"}, m.slope("request.allocs_idempotent"), "objects", 0, "", ""},
		{"life of a task, bytes", "slope", []string{"start.bytes"}, m.slope("start.bytes"), "B", 0, "start, running, end, acknowledgements", ""},
		{"life of a task, data frames", "slope", []string{"start.frames"}, m.slope("start.frames"), "frames", 0, "events are repeated until acknowledged", ""},
		{"life of a task, processor of all hops", "slope", []string{"cpu.start"}, m.slope("cpu.start"), "s", 0, "", ""},
		{"life of a task, allocations of all hops", "slope", []string{"allocs.start"}, m.slope("allocs.start"), "objects", 0, "", ""},
	}}
}

func (m *model) storeGroup() group {
	all := float64(scaleRegions * scaleEntries)
	free := budgetStoreWrites - m.logWrites()
	return group{"KV service (12 entries, one service for both regions)", []row{
		{"reads, watches, leases and waiting watches", "12 × (reads + watches + leases + 1 waiting) + edits", []string{"kv.idle_reads", "kv.idle_watches", "kv.idle_leases", "kv.edit_watches"}, m.storeCalls(), "calls/s", budgetStoreReads,
			"one read of the region per second and entry; agents make none", "entries: a call grows with entries, not with the fleet"},
		{"calls per added agent", "slope", []string{"kv.calls_agents"}, m.slope("kv.calls_agents"), "calls/s", 0, "agents never access the service", ""},
		{"bytes read by the entries of a region", "at 6 entries", []string{"kv.idle_read_bytes"}, m.at("kv.idle_read_bytes", scaleEntries), "B/s", 0, "one list of the region's keys", "grows with the square of the entries"},
		{"log writes at the peak, against the design's target", "2 × median at 24 starts/s", []string{"kv.start_writes"}, m.logWrites(), "writes/s", budgetLogWrites,
			"group commit, 250 ms, 16 shards in each region: 128 writes/s at most", "starts per second: at most 64 writes/s in each region, then batches grow"},
		{"all writes at the peak", "log + edits", []string{"kv.start_writes", "kv.edit_writes"}, m.logWrites() + m.slope("kv.edit_writes")*scaleEditsPerDay/secondsPerDay, "writes/s", budgetStoreWrites, "", "non-idempotent requests"},
		{"log writes per task life at the peak", "median at 48 starts/s / 48", []string{"kv.start_writes"}, m.medianAt("kv.start_writes", scaleStarts) / scaleStarts, "writes", budgetTaskWrites, "group commit", "a low rate of starts: up to 3 writes a life"},
		{"log writes per task life at a quarter of the peak", "median at 12 starts/s / 12", []string{"kv.start_writes"}, m.medianAt("kv.start_writes", scaleStarts/4) / (scaleStarts / 4), "writes", budgetTaskWrites, "group commit", "transitions of one task fall into separate commits"},
		{"log bytes at the peak", "median at 48 starts/s", []string{"kv.start_bytes"}, m.medianAt("kv.start_bytes", scaleStarts), "B/s", 0, "a page of at most 32 KB is rewritten until it is full", "bytes written per life: the page's mean size"},
		{"log bytes per task life at the peak", "above / 48", []string{"kv.start_bytes"}, m.medianAt("kv.start_bytes", scaleStarts) / scaleStarts, "B", 0, "", ""},
		{"writes per non-idempotent request", "slope", []string{"request.kv_writes_claimed"}, m.slope("request.kv_writes_claimed"), "writes", 0, "one claim by CAS", ""},
		{"non-idempotent requests that fit", "(300 − log writes) / per request", []string{"request.kv_writes_claimed"}, free / m.slope("request.kv_writes_claimed"), "requests/s", 0, "claims", "the rate of bookings and charges"},
		{"lease calls", "12 × slope", []string{"kv.idle_leases"}, all * m.slope("kv.idle_leases"), "calls/s", 0, "keep-alive of each entry; claims share one lease", ""},
		{"writes per edit", "slope", []string{"kv.edit_writes"}, m.slope("kv.edit_writes"), "writes", 0, "CAS of the object's key", "conflicting edits"},
		{"watch calls per edit and entry", "slope / 3", []string{"kv.edit_watches"}, m.slope("kv.edit_watches") / 3, "calls", 0, "each entry watches again after an event", ""},
	}}
}

func (m *model) timeGroup() group {
	return group{"Times (idle VMs, store without delay)", []row{
		{"edit shown by every entry", "at 6 entries", []string{"edit.in_force"}, m.at("edit.in_force", scaleEntries), "s", budgetEdit, "watch of each entry", "a missed watch: up to 60 s until the next full read"},
		{"urgent start, median", "median at 48 starts/s", []string{"start.median"}, m.medianAt("start.median", scaleStarts), "s", budgetUrgent, "two group commits before the start", "a full region: room must be made"},
		{"urgent start, slowest of all", "highest sample", []string{"start.slowest"}, m.highest("start.slowest"), "s", budgetUrgent, "the same", "the cause of the slow ones is not known"},
		{"opening 16 shards one after another", "at 15,100 tasks", []string{"open.seconds"}, m.at("open.seconds", scaleTasks), "s", budgetUrgent, "snapshot and pages; an entry opens its shards concurrently", "bytes read from the store"},
		{"bytes read for it", "at 15,100 tasks", []string{"open.bytes"}, m.at("open.bytes", scaleTasks), "B", 0, "one list for each shard", ""},
	}}
}

// pageContent is the content of the capacity page.
type pageContent struct {
	groups []group
	items  [][3]string
	counts []entryCount
}

// entryCount is the cost of a number of entries in each region.
type entryCount struct {
	entries                                                  int
	agentBytes, agentWireBytes, entryBytes, heap, core, load float64
}

// evaluate computes the figures and the items of the page from a result.
func evaluate(r Result) (pageContent, error) {
	m := &model{result: r, entries: scaleEntries}
	out := pageContent{groups: m.groups(), items: m.items()}
	for n := 3; n <= 8; n++ {
		out.counts = append(out.counts, (&model{result: r, entries: float64(n)}).count(n))
	}
	if m.err != nil {
		return out, fmt.Errorf("capacity: %w", m.err)
	}
	return out, nil
}

// count returns the costs with n entries in each region.
func (m *model) count(n int) entryCount {
	tasks, starts := float64(scaleTasks)/scaleRegions, float64(scaleStarts)/scaleRegions
	return entryCount{
		n, m.agentBytes(), m.agentWireBytes(), m.entryBytes(vmsPerRegion, tasks),
		collectorFactor * m.entryMemory(vmsPerRegion, tasks), m.entryCore(vmsPerRegion, tasks, starts), tasks / m.entries,
	}
}
