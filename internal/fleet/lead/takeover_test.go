package lead_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

// lastingRestart is the time within which a lasting task runs again after the end of its run.
const lastingRestart = 6 * time.Second

// losableFleet is a fleet whose entries and VMs can be taken away without warning.
type losableFleet struct {
	*testFleet
	stores map[*lead.Entry]*silentStore
	vms    []losableVM
}

type losableVM struct {
	executor  *standin.Executor
	stopAgent context.CancelFunc
}

// newLosableFleet starts a fleet with a job of lasting tasks, one for each VM. No lease of a
// leader before the first one lasts.
func newLosableFleet(t *testing.T, entries, agents int) *losableFleet {
	return newLosableFleetAfter(t, entries, agents, `{"lease_ms":1,"alone":true}`)
}

// newLosableFleetAfter is as newLosableFleet, with the handover record of a leader before the
// first one, or none if it is empty.
func newLosableFleetAfter(t *testing.T, entries, agents int, handover string) *losableFleet {
	r := &losableFleet{testFleet: newTestFleet(t, 0, 0, 0), stores: map[*lead.Entry]*silentStore{}}
	if handover != "" {
		_, err := r.store.Commit(t.Context(), fleet.Txn{Put: []fleet.Write{{Key: fleet.HandoverKey, Value: []byte(handover)}}})
		require.NoError(t, err)
	}
	for i := range agents {
		name := fmt.Sprintf("vm-%d", i)
		x := standin.NewExecutor(name, 0, r.audit) // whose runs last
		_, stop := r.runAgent(name, listen(t), x, r.store, executorOf(name))
		r.vms = append(r.vms, losableVM{x, stop})
	}
	for i := range entries {
		store := &silentStore{Store: r.store}
		r.stores[r.addEntry(entryName(i), store)] = store
	}
	job := fleet.Job{ID: "feed", Queue: "q", Policy: fleet.Policy{Pool: "pool"}, Steps: []fleet.Step{{Count: agents, Lasting: true, MaxPerVM: 2, Need: structs.Resources{MilliCPU: 3000, MemoryMB: 10}}}}
	r.submit(r.entries[0], job)
	require.Eventually(t, func() bool { return r.running() == agents }, waitTimeout, 5*time.Millisecond)
	// The first leader has recorded what the next one needs.
	time.Sleep(8 * time.Second)
	return r
}

// running returns how many tasks of the job run.
func (r *losableFleet) running() (n int) {
	for i := range r.vms {
		if r.audit.Running(fleet.TaskID{Job: "feed", Index: i}) {
			n++
		}
	}
	return n
}

// loseLeader takes the entry that leads away and returns its name.
func (r *losableFleet) loseLeader() string {
	name := r.leaderNode()
	for i, e := range r.entries {
		if entryName(i) == name {
			r.stores[e].cut.Store(true)
			r.stop[i]()
		}
	}
	return name
}

// loseVM takes a VM with a task away and returns the task.
func (r *losableFleet) loseVM() fleet.TaskID {
	for i := range r.vms {
		task := fleet.TaskID{Job: "feed", Index: i}
		for _, vm := range r.vms {
			if vm.executor.Runs(task) {
				vm.stopAgent()
				vm.executor.Crash()
				return task
			}
		}
	}
	require.Fail(r.t, "no VM runs a task")
	return fleet.TaskID{}
}

// awaitLeaderAfter waits until another entry leads.
func (r *losableFleet) awaitLeaderAfter(lost string) {
	require.Eventually(r.t, func() bool { name := r.leaderNode(); return name != "" && name != lost }, waitTimeout, 5*time.Millisecond)
}

// awaitAll waits until all tasks run and returns for how long one did not.
func (r *losableFleet) awaitAll(since time.Time) time.Duration {
	require.Eventually(r.t, func() bool { return r.running() == len(r.vms) }, waitTimeout, 5*time.Millisecond)
	require.Empty(r.t, r.audit.Violations())
	return time.Since(since)
}

// Guards against lasting tasks that wait for 10 s because their VM was lost beside a leader
// that can't answer any more (LOST).
func TestTaskOfAVMLostBesideTheLeaderStartsInTime(t *testing.T) {
	t.Parallel()
	r := newLosableFleet(t, 3, 5)
	r.loseLeader()
	time.Sleep(600 * time.Millisecond)
	r.loseVM()
	require.Less(t, r.awaitAll(time.Now()), lastingRestart)
}

// Guards against a wait for a lost VM that begins anew with each leader that is lost (LOST).
func TestWaitForALostVMDoesNotBeginAnew(t *testing.T) {
	t.Parallel()
	r := newLosableFleet(t, 3, 5)
	r.awaitLeaderAfter(r.loseLeader())
	r.loseVM()
	lost := time.Now()
	time.Sleep(300 * time.Millisecond)
	r.loseLeader()
	require.Less(t, r.awaitAll(lost), lastingRestart)
}

// Guards against a task whose VM was lost beside the leader and that waits for further VMs, which
// are lost after the new leader has read their lists (LOST).
func TestWaitForALostVMDoesNotGrowWithFurtherOnes(t *testing.T) {
	t.Parallel()
	r := newLosableFleet(t, 3, 5)
	leader := r.loseLeader()
	task, lost := r.loseVM(), time.Now()
	r.awaitLeaderAfter(leader)
	time.Sleep(2 * time.Second)
	r.loseVM()
	require.Eventually(t, func() bool { return r.audit.Running(task) }, waitTimeout, 5*time.Millisecond)
	require.Less(t, time.Since(lost), lastingRestart)
	r.awaitAll(lost)
}

// Guards against a wait of 10 s for a lost VM where the leases of the leader before the last one
// were granted without a set of agents, or may have been (LOST).
func TestTaskOfAVMLostBesideTheFirstLeaderStartsInTime(t *testing.T) {
	t.Parallel()
	r := newLosableFleetAfter(t, 3, 5, "")
	r.loseLeader()
	time.Sleep(600 * time.Millisecond)
	r.loseVM()
	require.Less(t, r.awaitAll(time.Now()), lastingRestart)
}
