package propagation_test

import (
	"fmt"

	"vanillalock.example/vanillalock/coord/propagation"
)

// An agent that missed a push receives the objects at its next heartbeat.
func Example() {
	key := propagation.Key{Kind: "template", Name: "render"}
	entry := propagation.NewSource(propagation.Default())
	_ = entry.Load(1, []propagation.Object{{Key: key, Version: 1, Data: []byte(`{"cpu":2}`)}})

	agent := propagation.NewReplica()
	for _, p := range entry.Report("vm-1", agent.Revision(), agent.Digest()) {
		agent.Apply(p)
	}
	o, _ := agent.Get(key)
	fmt.Println(agent.Revision(), o.Version)

	_ = entry.Load(2, []propagation.Object{{Key: key, Version: 2, Deleted: true}})
	for _, p := range entry.Report("vm-1", agent.Revision(), agent.Digest()) {
		agent.Apply(p)
	}
	_, exists := agent.Get(key)
	fmt.Println(agent.Revision(), exists, entry.Behind())
	// Output:
	// 1 1
	// 2 false [vm-1]
}
