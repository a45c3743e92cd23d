package shard_test

import (
	"fmt"
	"time"

	"vanillalock.example/vanillalock/coord/shard"
)

// Two live entries share the shards. One shuts down and hands its shards over.
func Example() {
	table := shard.NewTable(4)
	stamps := map[string]uint64{}
	planners := map[string]*shard.Planner{}
	write := func(entry string, changes []shard.Change) {
		stamps[entry]++
		next, err := table.Apply(shard.Stamp{Writer: entry, Seq: stamps[entry]}, changes)
		if err == nil {
			table = next // stands for a compare-and-swap in the store
		}
	}
	for _, e := range []string{"entry-1", "entry-2"} {
		planners[e] = shard.NewPlanner(shard.Default(), e, 0)
		planners[e].SetLive(0, []string{"entry-1", "entry-2"})
		write(e, planners[e].Plan(0, table))
	}
	fmt.Println(len(table.Owned("entry-1")), len(table.Owned("entry-2")))

	leaving := planners["entry-2"]
	leaving.Shutdown()
	h := shard.NewHandover()
	for _, s := range h.Begin(leaving.Plan(time.Minute, table)) {
		h.Flushed(s) // the outcome of the last write to the shard's log is known
	}
	write("entry-2", h.Ready())
	fmt.Println(len(table.Owned("entry-1")), len(table.Owned("entry-2")))
	// Output:
	// 2 2
	// 4 0
}
