package link

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
)

// Guards against a task that is started with the spec of no or of another job, after
// more jobs than an agent keeps, and against specs that are sent again and again.
func TestOrdersKeepTheirSpecs(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	spec := func(job int) string {
		if job%7 == 0 {
			return ""
		}
		return fmt.Sprintf("spec of %d", job)
	}
	sender, receiver := NewSpecs(), NewSpecs()
	sent := 0
	const frames = 3000
	for frame := range frames {
		var o ledger.Orders
		for range 3 {
			job := frame/10 + random.IntN(2*maxKeptSpecs)
			o.Starts = append(o.Starts, fleet.StartOrder{Task: fleet.TaskID{Job: fmt.Sprint(job)}, Run: 1, Spec: spec(job)})
		}
		wire := Orders(o, 0, 0, sender).GetOrders()
		for _, s := range wire.GetStarts() {
			sent += min(1, len(s.GetSpec()))
		}
		got, err := ReadOrders(wire, receiver)
		require.NoError(t, err)
		require.Equal(t, o.Starts, got.Starts)
		require.LessOrEqual(t, len(receiver.byJob), maxKeptSpecs)
	}
	require.Less(t, sent, 3*frames*2/3)
	plain := ledger.Orders{Starts: []fleet.StartOrder{{Task: fleet.TaskID{Job: "1"}, Spec: "x"}}}
	for range 2 {
		require.Equal(t, "x", Orders(plain, 0, 0, nil).GetOrders().GetStarts()[0].GetSpec(), "an agent that keeps no specs")
	}
}
