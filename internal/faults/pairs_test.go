package faults

import (
	"testing"
	"time"

	"vanillalock.example/vanillalock/internal/demo"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
)

// TestEntryKilledDuringDispatchInOutage guards against a request falsely
// reported as not run when an entry dies during dispatches while the key-value
// service is down: the next entry that the caller tries cannot read the claim.
func TestEntryKilledDuringDispatchInOutage(t *testing.T) {
	t.Parallel()
	c := start(t, demo.SystemOptions{VMs: 3, Upstream: func(_ int, u *standinupstream.Options) {
		u.StragglerShare = 0
		u.RunMs = map[string]int64{"billing-charge": 3000}
	}})
	for _, item := range c.Deployment.Mix {
		if item.Template == "billing-charge" {
			c.Deployment.Mix = append(c.Deployment.Mix[:0:0], item)
		}
	}
	done := c.sendLoad(20, time.Second, 0, 1, 2)
	c.eventually("dispatches", func() bool {
		return len(c.Upstreams[0].Records().Executions) > 0 && c.Entries[0].Entry.Status(c.ctx).InFlight > 0
	})
	c.storeFaults(standinkv.Faults{Down: true})
	c.Entries[0].Kill()
	c.requireAnswered(<-done)
	c.checkRecords()
}
