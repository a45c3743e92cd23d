package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/structs"
)

func cpu(cores int64) structs.Resources {
	return structs.Resources{MilliCPU: cores * 1000, MemoryMB: 1000}
}

func vm(name string, cores int64) *VM {
	return &VM{
		Name: name, Pool: "pool", Capacity: structs.Resources{MilliCPU: cores * 1000, MemoryMB: 100_000},
		Steps: map[StepKey]int{}, Jobs: map[string]int{},
	}
}

// noInterference is an Interference of images that never disturb each other.
func noInterference(string, string) float64 { return 0 }

// Guards against reservations beyond the capacity of a VM, with tasks of many
// sizes. Filling tasks reserve memory only.
func TestNoVMTakesMoreThanItsCapacity(t *testing.T) {
	vms := []*VM{vm("a", 16), vm("b", 24)}
	for i := range int64(200) {
		task := &Task{Key: StepKey{Job: fmt.Sprint(i)}, Pool: "pool", Need: structs.Resources{MilliCPU: 500 + i*37%4000, MemoryMB: 300 + i*91%9000}, Fills: i%3 == 0, Forced: true}
		if n := Choose(task, vms, noInterference); n >= 0 {
			vms[n].Take(task, task.Need.MilliCPU)
		}
		for _, v := range vms {
			require.True(t, v.Reserved.Fits(v.Capacity), v.Name)
		}
	}
}

// Guards against a task on a VM of another pool, on one without its label, or on
// one that has the largest number of tasks of its step.
func TestRequirementsOfATask(t *testing.T) {
	labelled := vm("a", 16)
	labelled.Labels = []string{"ssd"}
	other := vm("b", 64)
	other.Pool = "other"
	vms := []*VM{other, labelled, vm("c", 32)}
	task := &Task{Key: StepKey{Job: "j"}, Pool: "pool", Need: cpu(1), Label: "ssd", MaxPerVM: 2}
	for range 2 {
		n := Choose(task, vms, noInterference)
		require.Equal(t, 1, n)
		vms[n].Take(task, 0)
	}
	require.Equal(t, -1, Choose(task, vms, noInterference))
}

// Guards against a filling task beside a serving task that it disturbs while
// another VM is free, and against one there after a long wait.
func TestFillingTaskIsKeptApartFromWhatItDisturbs(t *testing.T) {
	busy, free := vm("busy", 64), vm("free", 16)
	busy.Serving = []ServingTask{{Image: "feed"}}
	interference := func(serving, filling string) float64 { return 0.8 }
	task := &Task{Pool: "pool", Image: "render", Need: cpu(4), Fills: true}
	require.Equal(t, 1, Choose(task, []*VM{busy, free}, interference))
	task.Forced = true
	require.Equal(t, -1, Choose(task, []*VM{busy}, interference))
}

// Guards against filling tasks that are started at full pace beside a task over its
// target, time and again, as those that are halted there are stopped.
func TestNoFillingTaskStartsBesideATaskOverItsTarget(t *testing.T) {
	over, near := vm("over", 64), vm("near", 16)
	over.Serving = []ServingTask{{Image: "feed", Level: 1.01}}
	near.Serving = []ServingTask{{Image: "feed", Level: 0.99}}
	task := &Task{Pool: "pool", Image: "harmless", Need: cpu(4), Fills: true}
	require.Equal(t, 1, Choose(task, []*VM{over, near}, noInterference))
	task.Forced = true
	require.Equal(t, -1, Choose(task, []*VM{over}, noInterference))
}

// Guards against filling tasks that share the CPU of a VM with so many others that all
// of them are late, and against one that waits for ever for a VM with enough idle CPU.
func TestFillingTasksDoNotCrowdAVM(t *testing.T) {
	v := vm("empty", 32)
	task := &Task{Pool: "pool", Image: "render", Need: cpu(4), Fills: true, Forced: true}
	tasks := 0
	for ; Choose(task, []*VM{v}, noInterference) == 0; tasks++ {
		v.Take(task, 0)
	}
	require.Equal(t, 8, tasks, "the tasks have the CPU that they want")

	busy := vm("busy", 32)
	busy.Busy = 30000
	require.Equal(t, 0, Choose(task, []*VM{busy}, noInterference))
	task.Forced = false
	require.Equal(t, -1, Choose(task, []*VM{busy}, noInterference))
}

// Guards against serving tasks on all VMs, which leaves none for the filling tasks
// that disturb every serving image. The load is modelled on the start of a day
// of a booking service: 54 serving tasks of 3.2 cores on 11 VMs of 16 and 24 cores.
func TestServingTasksLeaveTheLargestVMs(t *testing.T) {
	var vms []*VM
	for i := range 11 {
		vms = append(vms, vm(fmt.Sprintf("vm-%02d", i), []int64{16, 16, 24}[i%3]))
	}
	for i := range 45 {
		MarkFillingOnly(vms)
		task := &Task{Key: StepKey{Job: fmt.Sprint(i / 6)}, Pool: "pool", Image: fmt.Sprint(i / 12), Need: cpu(3), Lasting: true, Count: 6}
		n := Choose(task, vms, noInterference)
		require.GreaterOrEqual(t, n, 0)
		vms[n].Take(task, 0)
		for _, v := range vms {
			v.FillingOnly = false
		}
	}
	MarkFillingOnly(vms)
	empty := 0
	for _, v := range vms {
		if v.FillingOnly && len(v.Serving) == 0 {
			empty++
			require.EqualValues(t, 24000, v.Capacity.MilliCPU)
		}
	}
	require.GreaterOrEqual(t, empty, 1)
}

// Guards against the loss of more than half of a service with one VM.
func TestAtMostHalfOfAServiceIsOnOneVM(t *testing.T) {
	vms := []*VM{vm("a", 64), vm("b", 64), vm("c", 64)}
	for range 6 {
		task := &Task{Key: StepKey{Job: "feed"}, Pool: "pool", Image: "x", Need: cpu(4), Lasting: true, Count: 6}
		vms[Choose(task, vms, noInterference)].Take(task, 0)
	}
	for _, v := range vms {
		require.LessOrEqual(t, v.Jobs["feed"], 3)
	}
}

// Guards against a lasting task that has waited long and goes to a VM on which runs fail
// while another one has room.
func TestForcedTaskPrefersVMsWithoutTrouble(t *testing.T) {
	failing, kept := vm("failing", 64), vm("kept", 16)
	failing.Trouble, kept.FillingOnly = 30, true
	task := &Task{Pool: "pool", Need: cpu(4), Lasting: true, Forced: true}
	require.Equal(t, 1, Choose(task, []*VM{failing, kept}, noInterference))
	require.Equal(t, 0, Choose(task, []*VM{failing}, noInterference))
}

// Guards against a filling task that waits for good beside VMs that are half idle, as each
// has some other filling task and its own need is larger than what is idle.
func TestLargeFillingTaskStartsBesideOthers(t *testing.T) {
	half, fuller, full := vm("half", 32), vm("fuller", 32), vm("full", 32)
	half.Filling, fuller.Filling, full.Filling = 16000, 17000, 32000
	task := &Task{Pool: "pool", Image: "render", Need: cpu(30), Fills: true}
	require.Equal(t, -1, Choose(task, []*VM{half}, noInterference))
	task.Forced = true
	require.Equal(t, 0, Choose(task, []*VM{half}, noInterference), "half of the VM is idle")
	require.Equal(t, -1, Choose(task, []*VM{fuller, full}, noInterference))
	task.Overdue = true
	require.Equal(t, 0, Choose(task, []*VM{fuller, full}, noInterference), "it has waited for long")
	require.Equal(t, -1, Choose(task, []*VM{full}, noInterference))

	failed := Failed{}
	task.Overdue = false
	failed.Add(task)
	task.Overdue = true
	require.False(t, failed.Covers(task), "others count for it")
}
