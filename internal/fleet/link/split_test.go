package link

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/wire"
)

// Guards against a frame of orders over the limit, which ends each session that begins
// with it.
func TestOrdersOverTheLimitOfAFrameAreSplit(t *testing.T) {
	o := ledger.Orders{Instance: "vm@1", Stored: 9, Stops: []ledger.RunRef{{Task: fleet.TaskID{Job: "stopped"}, Run: 1}}}
	for i := range 600 {
		o.Starts = append(o.Starts, fleet.StartOrder{Task: fleet.TaskID{Job: "job", Index: i}, Run: 1, Spec: "spec", Checkpoint: strings.Repeat("c", 4000)})
	}
	var got ledger.Orders
	sent, received := NewSpecs(), NewSpecs()
	for _, part := range SplitOrders(o) {
		frame := Orders(part, 1, 0, sent)
		require.Less(t, proto.Size(frame), wire.MaxFrameBytes)
		read, err := ReadOrders(frame.GetOrders(), received)
		require.NoError(t, err)
		require.Equal(t, o.Instance, read.Instance)
		require.Equal(t, o.Stored, read.Stored)
		got.Starts, got.Stops = append(got.Starts, read.Starts...), append(got.Stops, read.Stops...)
	}
	require.Equal(t, o.Starts, got.Starts)
	require.Equal(t, o.Stops, got.Stops)
	require.Len(t, SplitOrders(ledger.Orders{Stored: 1}), 1)
}
