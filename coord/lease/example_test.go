package lease_test

import (
	"fmt"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
)

// An agent runs an attempt while the owner of its shard renews the permit.
func Example() {
	cfg := lease.Default()
	now := lease.Instant(0)

	owner := lease.NewVerifier(cfg, "entry-1", now)
	owner.SetOwned(now, now, []lease.ShardGeneration{{Shard: 3, Generation: 7}})
	owner.SetMembers(lease.MemberList{Epoch: 1, Members: []string{"entry-1", "entry-2", "entry-3"}})

	agent := lease.NewHolder(cfg, 1)
	agent.Adopted() // the worker lists no task

	seq := agent.HeartbeatSent(now)
	agent.Ack(now, owner.Ack(now, "vm-1", seq, agent.Epoch()))
	a := lease.Attempt{Key: lease.Key{Task: "render-9", Attempt: 1}, Shard: 3, Generation: 7, Epoch: 1}
	actions, err := agent.Start(now, 1, a)
	fmt.Println(actions[0].Until, err, cfg.WorkerLease(now, actions[0].Until))

	// Nothing renews the permit: the agent stops the attempt for good.
	now = 11 * time.Second
	for _, action := range agent.Expire(now) {
		fmt.Println(action.Attempt.Task, action.Reason)
	}

	// A new owner took the shard over 1 s after its last renewal, and the
	// members state that they did not attest since.
	r := lease.NewEndProof(cfg, time.Second, 1)
	lists := []lease.MemberList{{Epoch: 1, Members: []string{"entry-1", "entry-2", "entry-3"}}}
	r.Lists(time.Second, lists)
	ask := r.AskFrom()
	for _, m := range r.Ask()[1:] {
		r.Answer(lease.Answer{Member: m, Sent: ask, Received: ask, Unattested: time.Hour})
	}
	r.Lists(ask, lists) // the list did not change meanwhile
	fmt.Println(ask, r.Decide(ask) == lease.PermitEnded)
	// Output:
	// 10s <nil> 3s
	// render-9 permit expired
	// 12.1s true
}
