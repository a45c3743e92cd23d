package place

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log line that names the wrong filter for a task that fits nowhere.
func TestExplainNamesTheFilter(t *testing.T) {
	pool, closed, trouble, label, full, memory, perVM := vm("pool", 16), vm("closed", 16), vm("trouble", 16), vm("label", 16), vm("full", 1), vm("memory", 16), vm("per-vm", 16)
	task := &Task{Key: StepKey{Job: "j"}, Pool: "pool", Need: cpu(2), Label: "ssd", MaxPerVM: 1}
	vms := []*VM{pool, closed, trouble, label, full, memory, perVM, vm("fits", 16)}
	for _, v := range vms {
		v.Labels = []string{"ssd"}
	}
	pool.Pool, closed.Closed, trouble.Trouble, label.Labels = "other", true, MaxTrouble+1, nil
	memory.Capacity.MemoryMB, perVM.Steps[task.Key] = 10, 1
	require.Equal(t, Exclusions{Pool: 1, Closed: 1, Trouble: 1, Label: 1, PerVM: 1, CPU: 1, Memory: 1, Fits: 1}, Explain(task, vms, noInterference))

	beside := vm("beside", 16)
	beside.Serving = []ServingTask{{Image: "feed"}}
	fills := &Task{Pool: "pool", Image: "render", Need: cpu(2), Fills: true}
	disturbs := func(string, string) float64 { return 1 }
	require.Equal(t, Exclusions{Interference: 1, CPU: 1}, Explain(fills, []*VM{beside, vm("small", 1)}, disturbs))
}
