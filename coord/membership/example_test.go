package membership_test

import (
	"fmt"
	"time"

	"vanillalock.example/vanillalock/coord/membership"
)

// A silent peer is suspected. Another observer refutes the suspicion once. The
// peer is removed when no observer hears it any more.
func Example() {
	d := membership.NewDetector(membership.Default())
	d.SetObservers([]string{"entry-2", "entry-3"})
	d.Heartbeat(0, "vm-1", 1, false)
	for now := time.Duration(0); now <= 20*time.Second; now += 2 * time.Second {
		for _, a := range d.Tick(now) {
			switch a.Kind {
			case membership.Ask:
				fmt.Println(now, "ask", len(a.Observers))
				if now == 6*time.Second {
					d.Answer(now, membership.Contact{Peer: "vm-1", Incarnation: 1, Heard: true, Age: 2 * time.Second})
				}
			case membership.Changed:
				fmt.Println(now, "removed:", a.State == membership.Removed)
			}
		}
	}
	_, accepted := d.Heartbeat(21*time.Second, "vm-1", 1, false)
	_, returned := d.Heartbeat(22*time.Second, "vm-1", 2, false)
	fmt.Println(accepted, returned, d.Accept("vm-1"))
	// Output:
	// 6s removed: false
	// 6s ask 2
	// 8s ask 2
	// 10s removed: false
	// 10s ask 2
	// 12s ask 2
	// 14s removed: true
	// false true true
}
