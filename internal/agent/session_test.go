package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Guards against usage reports that exceed their share of a node's control traffic
// when there are many tasks or entries.
func TestUsageReportsKeepTheirBudget(t *testing.T) {
	for _, tasks := range []int{0, 5, 23, 100} {
		for _, entries := range []int{1, 3, 6, 12} {
			var usage []*pb.TaskUsage
			for i := range tasks {
				usage = append(usage, &pb.TaskUsage{Job: fmt.Sprintf("j%024d", i), Index: 7, Template: "memorial-render", Slowdown: 1.25, AgeMs: 2000, Used: &pb.Resources{MilliCpu: 8000, MemoryMb: 16000, Accelerators: 1}})
			}
			pause := usageReportInterval(usage, entries)
			cost := float64(proto.Size(&pb.Heartbeat{Usage: usage})*entries) / pause.Seconds()
			require.LessOrEqual(t, cost, float64(usageBytesPerSecond)+1, "%d tasks, %d entries", tasks, entries)
			require.GreaterOrEqual(t, pause, 5*time.Second)
		}
	}
}
