package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/quarantine"
	"vanillalock.example/vanillalock/internal/structs"
)

// noInterference is an interference model without slowdowns.
type noInterference struct{}

func (noInterference) Pair(string, string) float64 { return 0 }

func cpu(cores int64) structs.Resources {
	return structs.Resources{MilliCPU: cores * 1000, MemoryMB: 1}
}

func batch(job string, size structs.Resources, expected time.Duration) scheduler.Task {
	return scheduler.Task{Shape: scheduler.Shape{Template: "t1", QoS: structs.Batch, Size: size}, ID: structs.TaskID{Job: job}, Team: "a", Expected: expected}
}

// drain returns all decisions that can be made now.
func drain(s *scheduler.Scheduler, now time.Time) (out []scheduler.Decision) {
	for {
		d, ok := s.Next(now)
		if !ok {
			return out
		}
		out = append(out, d)
	}
}

// TestCannotRunHoldsUpNobody guards against a job that fits no VM type blocking the
// queue, and against rejecting it while some VMs may not have announced themselves.
func TestCannotRunHoldsUpNobody(t *testing.T) {
	s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
	s.SetNode(vm(1))
	s.Add(batch("huge", cpu(20), 0), epoch)
	s.Add(batch("small", cpu(1), 0), epoch.Add(1))
	ds := drain(s, epoch)
	require.Len(t, ds, 1)
	require.Equal(t, "small", ds[0].Task.ID.Job)
	s.SetInventoryComplete()
	ds = drain(s, epoch)
	require.Len(t, ds, 1)
	require.Equal(t, scheduler.CannotRun, ds[0].Kind)
	require.Contains(t, ds[0].Reason, "fits no VM type")
	s.SetNode(vm(0)) // the larger type
	s.RemoveNode(vm(0).ID)
	s.Add(batch("large", cpu(20), 0), epoch)
	require.Empty(t, drain(s, epoch), "the type of a removed VM is still a VM type")
	require.Equal(t, 1, s.Waiting())
}

// TestFragmentedCapacityDoesNotStarve guards against starvation of a task that needs a
// whole VM: a steady stream of small tasks takes up all capacity as it becomes free.
func TestFragmentedCapacityDoesNotStarve(t *testing.T) {
	s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
	for _, i := range []int{1, 2} {
		s.SetNode(vm(i))
	}
	now, n := epoch, 0
	ends := map[structs.TaskID]time.Time{}
	step := func() (placed bool) {
		now = now.Add(time.Second)
		for id, at := range ends {
			if !now.Before(at) {
				s.Release(id)
				delete(ends, id)
			}
		}
		for s.Waiting() < 20 {
			n++
			s.Add(batch(fmt.Sprint("small", n), cpu(1), 10*time.Second), now)
		}
		s.Tick(now)
		for _, d := range drain(s, now) {
			placed = placed || d.Task.ID.Job == "whole"
			ends[d.Task.ID] = now.Add(time.Duration(8+n%5) * time.Second)
		}
		return placed
	}
	for range 20 {
		step()
	}
	s.Add(batch("whole", cpu(16), time.Minute), now)
	added := now
	for !step() {
		require.Less(t, now.Sub(added), 2*time.Minute, "starved")
	}
}

// TestUrgentRequestsEviction guards against an urgent task that waits until batch tasks
// end, and against a batch task that takes the capacity made for it.
func TestUrgentRequestsEviction(t *testing.T) {
	s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
	s.SetNode(vm(1))
	for i := range 4 {
		s.Add(batch(fmt.Sprint(i), cpu(4), time.Hour), epoch)
	}
	require.Len(t, drain(s, epoch), 4)
	urgent := batch("urgent", cpu(2), time.Minute)
	urgent.QoS = structs.LatencyCritical
	s.Add(urgent, epoch)
	require.Empty(t, drain(s, epoch))
	ds := s.Tick(epoch.Add(time.Second))
	require.Len(t, ds, 1)
	require.Equal(t, scheduler.EvictionNeeded, ds[0].Kind)
	require.Equal(t, int64(2000), ds[0].Short.MilliCPU)
	s.Release(structs.TaskID{Job: "0"})
	s.Add(batch("late", cpu(4), time.Hour), epoch)
	require.Equal(t, "urgent", drain(s, epoch)[0].Task.ID.Job, "urgent before batch")
}

// TestHoldEndsWithItsVM guards against a task that waits forever because its capacity
// is held on a VM that leaves or has been removed.
func TestHoldEndsWithItsVM(t *testing.T) {
	for _, end := range []func(s *scheduler.Scheduler){
		func(s *scheduler.Scheduler) { s.SetFlags(vm(1).ID, scheduler.Flags{Leaving: true}) },
		func(s *scheduler.Scheduler) { s.RemoveNode(vm(1).ID) },
	} {
		s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
		s.SetNode(vm(1))
		s.Add(batch("filler", cpu(16), time.Hour), epoch)
		require.Len(t, drain(s, epoch), 1)
		urgent := batch("urgent", cpu(2), time.Minute)
		urgent.QoS = structs.LatencyCritical
		s.Add(urgent, epoch)
		require.Len(t, s.Tick(epoch.Add(time.Second)), 1)
		end(s)
		require.Empty(t, s.Tick(epoch.Add(2*time.Second)))
		s.SetNode(vm(2))
		require.Equal(t, "vm2", drain(s, epoch.Add(3*time.Second))[0].Node.ID)
	}
}

// TestRecoveryIsBounded guards against a burst of restarts after the loss of a
// failure domain: urgent tasks restart first, and restarts take at most 10% of the
// free capacity per second.
func TestRecoveryIsBounded(t *testing.T) {
	p, _ := plugins.Default(noInterference{})
	s := scheduler.New(scheduler.Config{}, p, quota.New())
	for i := range 100 {
		s.SetNode(vm(1 + 3*i)) // 16 cores each
	}
	for i := range 1000 {
		task := batch(fmt.Sprint(i), cpu(1), time.Hour)
		task.Recovered = true
		if i%10 == 9 {
			task.QoS = structs.LatencyCritical
		}
		s.Add(task, epoch)
	}
	free := 1600.0
	for sec := range 5 {
		ds := drain(s, epoch.Add(time.Duration(sec)*time.Second))
		require.LessOrEqual(t, float64(len(ds)), 0.1*free+1)
		require.Greater(t, float64(len(ds)), 0.05*free)
		free -= float64(len(ds))
		for i, d := range ds {
			require.Equal(t, sec == 0 && i < 100, d.Task.QoS == structs.LatencyCritical)
		}
	}
}

// TestRefusal guards against proposing a VM again before its load is known after
// its agent refused a task.
func TestRefusal(t *testing.T) {
	s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
	s.SetNode(vm(1))
	s.Add(batch("x", cpu(1), 0), epoch)
	require.Len(t, drain(s, epoch), 1)
	s.Refused(structs.TaskID{Job: "x"}, epoch)
	s.Add(batch("x", cpu(1), 0), epoch)
	require.Empty(t, drain(s, epoch))
	s.SetReported(vm(1).ID, cpu(16))
	s.Tick(epoch.Add(2 * time.Second))
	require.Empty(t, drain(s, epoch), "other entries use the VM")
	s.SetReported(vm(1).ID, cpu(15))
	require.Len(t, drain(s, epoch), 1)
}

// TestQuarantine guards against placing more tasks on a worker that fails everything
// it starts, and against a quarantine for the failures of a single job.
func TestQuarantine(t *testing.T) {
	q, now := quarantine.NewTracker(), epoch
	for range 10 {
		require.False(t, q.RecordEnd("vm", "same", true, 9, now))
	}
	require.True(t, q.RecordEnd("vm", "other", true, 9, now))
	require.False(t, q.Quarantined("vm", now.Add(time.Minute)))
	now = now.Add(time.Minute)
	require.True(t, q.RecordEnd("vm", "other", true, 9, now), "probation")
	require.True(t, q.Quarantined("vm", now.Add(time.Minute)))
	require.False(t, q.RecordEnd("vm", "other", false, 9, now.Add(3*time.Minute)))
	for i := range 20 {
		q.RecordEnd(fmt.Sprint("vm", i%5), fmt.Sprint(i), true, 9, now)
	}
	quarantined := 0
	for i := range 5 {
		if q.Quarantined(fmt.Sprint("vm", i), now) {
			quarantined++
		}
	}
	require.Equal(t, 3, quarantined, "at most a third")
}

// TestHoldBehindUnendingTasks guards against a task that waits forever for capacity on
// a VM because long-running tasks occupy it.
func TestHoldBehindUnendingTasks(t *testing.T) {
	s := scheduler.New(scheduler.Config{}, defaultPlugins(), quota.New())
	s.SetNode(vm(1))
	feed := batch("feed", cpu(4), 0)
	feed.LongRunning = true
	s.Add(feed, epoch)
	require.Len(t, drain(s, epoch), 1)
	s.Add(batch("whole", cpu(16), time.Minute), epoch)
	require.Empty(t, drain(s, epoch))
	require.Empty(t, s.Tick(epoch.Add(time.Minute)), "a hold, but no request yet")
	ds := s.Tick(epoch.Add(2 * time.Minute))
	require.Len(t, ds, 1)
	require.Equal(t, scheduler.EvictionNeeded, ds[0].Kind)
	require.Equal(t, int64(4000), ds[0].Short.MilliCPU)
	s.Release(structs.TaskID{Job: "feed"})
	s.Add(feed, epoch.Add(2*time.Minute))
	require.Equal(t, "whole", drain(s, epoch.Add(2*time.Minute))[0].Task.ID.Job, "the room goes to the task that waited")
}
