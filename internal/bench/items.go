package bench

import "fmt"

// permitEndSeconds is the time until the permit of a lost VM has ended: L(1+ρ) +
// margin, from section 4.2 of docs/design.md.
const permitEndSeconds = 11.1

// items returns one row for each item of the future scale: the item, its
// consequence in figures, and the mechanism that handles it with the resource that
// is exhausted first. Figures that follow from the design and are not measured are
// marked as such.
func (m *model) items() [][3]string {
	return append(m.loadItems(), m.faultItems()...)
}

func (m *model) loadItems() [][3]string {
	region := float64(scaleTasks) / scaleRegions
	return [][3]string{
		{"650 workers", fmt.Sprintf("325 agents and sessions at each entry, %s of live memory of sessions (both ends)", formatValue(vmsPerRegion*m.slope("memory.agent"), "B")),
			"Sessions to every entry of the region. First to give way: the entry's memory and processor; then agents must send heartbeats to fewer entries."},
		{fmt.Sprintf("%d accelerators", scaleAccelerators), fmt.Sprintf("%.1f per VM, one number in announce and load: no message more", float64(scaleAccelerators)/scaleWorkers),
			"Filter and score by whole devices. First to give way: fragmentation, not control traffic."},
		{fmt.Sprintf("%d starts/s at the peak", scaleStarts), fmt.Sprintf("%.0f log writes/s with the starts split evenly, %.0f if one region has all; %s of log; %s of processor of all hops",
			m.logWrites(), m.medianAt("kv.start_writes", scaleStarts), formatValue(m.medianAt("kv.start_bytes", scaleStarts), "B/s"), formatValue(scaleStarts*m.slope("cpu.start"), "core")),
			"Group commit per shard. First to give way: log bytes; writes stay at 64/s for each region."},
		{fmt.Sprintf("%d jobs a day", scaleJobsPerDay), fmt.Sprintf("%.2f jobs/s on the mean", float64(scaleJobsPerDay)/secondsPerDay), "One record in the shard log, in the same group commits."},
		{fmt.Sprintf("%d urgent and %d batch tasks running", scaleUrgent, scaleBatch), fmt.Sprintf("%.1f tasks per VM, %s of its traffic; %.0f tasks per entry, %s of its memory; no store write while they run without checkpoints",
			tasksPerVM, formatValue(tasksPerVM*m.slope("agent.task_bytes"), "B/s"), region/scaleEntries, formatValue(region/scaleEntries*(m.slope("memory.shard_task")+m.slope("memory.sched_task")), "B")),
			"Usage in heartbeats to the owner. First to give way: checkpoints, since each new checkpoint is one log record (not measured here)."},
		{fmt.Sprintf("%d teams", scaleTeams), "a ledger entry each; the placement figures are measured with 36 teams", "Fair shares in the scheduler. Quotas hold per entry: each entry charges only the tasks of its own shards."},
		{fmt.Sprintf("%d edits a day", scaleEditsPerDay), fmt.Sprintf("%.4f writes/s, %.3f watch calls/s, %s to one agent per edit from 6 entries; %s until every entry shows it",
			m.slope("kv.edit_writes")*scaleEditsPerDay/secondsPerDay, float64(scaleRegions*scaleEntries)*m.slope("kv.edit_watches")/3*scaleEditsPerDay/secondsPerDay,
			formatValue(float64(scaleEntries)/3*m.slope("agent.edit_bytes"), "B"), formatValue(m.at("edit.in_force", scaleEntries), "s")),
			"Watch of each entry, push by every entry. First to give way: large objects, which every agent receives from every entry."},
	}
}

func (m *model) faultItems() [][3]string {
	domainVMs := vmsPerRegion / scaleRegions
	return [][3]string{
		{"2 regions, 4 failure domains", "6 entries, 16 shards and 325 VMs in each region; no session crosses regions",
			"Members, shards and workers of each region are its own. With 3 entries in each of two domains, the loss of a domain leaves 3 of 6 entries, which is no majority for attestation during an outage of the KV service."},
		{"an hour's separation of the regions", "no traffic between regions to lose; the region without the KV service attests for 1 h of the 6 h hold limit (not measured here)",
			"Running tasks and idempotent requests continue. In the region without the service submissions, edits and claims are refused, and edits made elsewhere are not in effect within 13 s."},
		{fmt.Sprintf("%d VM failures a day", scaleLostPerDay), fmt.Sprintf("%.0f tasks restart for each, %.0f a day; after %.1f s at least (design)", tasksPerVM, scaleLostPerDay*tasksPerVM, permitEndSeconds),
			"Suspicion, then P2. A lost urgent task cannot restart within 9 s: the end of its permit takes longer."},
		{fmt.Sprintf("%d VMs restarted or replaced a day", scaleNewPerDay), fmt.Sprintf("%.0f tasks move a day; %s of sessions for each new VM at each entry", scaleNewPerDay*tasksPerVM, formatValue(m.slope("memory.agent"), "B")),
			"Leaving agents checkpoint and evict; new ones announce themselves."},
		{"loss of a rack (3 VMs) or a switch", fmt.Sprintf("%.0f tasks restart; at one start per task %.1f s of the peak rate", vmsPerRack*tasksPerVM, vmsPerRack*tasksPerVM/scaleStarts),
			"Most urgent first, at most 10% of the free capacity per second. A switch that carries several racks multiplies the figure; its size is not given."},
		{"loss of a failure domain", fmt.Sprintf("%.0f VMs and %.0f tasks restart, %.0f of them urgent: %.0f s at the peak rate of starts, after %.1f s (design)",
			domainVMs, domainVMs*tasksPerVM, domainVMs*tasksPerVM*scaleUrgent/scaleTasks, domainVMs*tasksPerVM*scaleUrgent/scaleTasks/scaleStarts, permitEndSeconds),
			"Most urgent first, at most 10% of the free capacity per second: not all urgent tasks restart within 9 s. First to give way: free capacity, since the region's other VMs have to hold the tasks of both domains; then log bytes. The remaining 3 entries carry the region's 16 shards, each twice its share."},
	}
}
