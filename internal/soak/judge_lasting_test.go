package soak

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	maxLastingWait  = 10 * time.Second // of a lasting task with room for it, since the last fault
	lastingInterval = 50 * time.Millisecond
)

// lastingWait is a wait of a lasting task for a run.
type lastingWait struct {
	since    time.Time
	calm     time.Time // since then there has been room for it, and no fault
	reported bool
}

// checkLasting reports the lasting tasks of accepted jobs that have no run for too long
// since the last fault, with room for them on one of the VMs.
func (c *checker) checkLasting(vms []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, w := range c.waits {
		if job := c.jobs[id.Job]; len(c.task(id).running) > 0 || !job.cancelled.IsZero() {
			delete(c.waits, id)
		} else if c.faults > 0 || !c.hasRoom(&job.steps[id.Step], vms) {
			w.calm = now
		} else if c.faultEnded.After(w.calm) {
			w.calm = c.faultEnded
		}
	}
	for _, job := range c.jobs {
		for s := range job.steps {
			for i := range job.steps[s].Count {
				id := fleet.TaskID{Job: job.id, Step: s, Index: i}
				if job.steps[s].Lasting && !job.accepted.IsZero() && job.cancelled.IsZero() && c.waits[id] == nil && len(c.task(id).running) == 0 {
					c.waits[id] = &lastingWait{since: now, calm: now}
				}
			}
		}
	}
	for id, w := range c.waits {
		c.longestWait, c.longestCalm = max(c.longestWait, now.Sub(w.since)), max(c.longestCalm, now.Sub(w.calm))
		if now.Sub(w.calm) > maxLastingWait && !w.reported {
			c.addViolation("LOST %s has had no run for %v, since the last fault %v, with room for it", id, now.Sub(w.since).Round(time.Millisecond), now.Sub(w.calm).Round(time.Millisecond))
			w.reported = true
		}
	}
}

// hasRoom reports whether one of some VMs has room for a task. The caller holds mu.
func (c *checker) hasRoom(step *fleet.Step, vms []string) bool {
	return slices.ContainsFunc(vms, func(vm string) bool { return c.used[vm].Add(reserved(step)).Fits(c.capacity[vm]) })
}

// mostLasting returns the index of the VM, of those that have not been taken away, that runs
// the most lasting tasks.
func (c *checker) mostLasting(agents []*process) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]int{}
	for id, t := range c.tasks {
		if _, step := c.stepOf(id); step != nil && step.Lasting {
			for vm := range t.running {
				runs[vm]++
			}
		}
	}
	most := -1
	for i, p := range agents {
		if !p.isAway() && (most < 0 || runs[p.node] > runs[agents[most].node]) {
			most = i
		}
	}
	return most
}

// longestWaits returns the longest wait of a lasting task for a run, and the longest one
// since the last fault.
func (c *checker) longestWaits() (all, calm time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestWait, c.longestCalm
}

// The check must not miss a lasting task without a run, nor count the time in which a fault or
// a lack of room excuses it.
func TestCheckReportsLastingTasksWithoutARun(t *testing.T) {
	cases := []struct {
		name      string
		faultEnds time.Duration // after the end of the run; 0: no fault
		vms       []string
		checkedAt time.Duration // after it
		cancelled bool
		reported  int
	}{
		{"in time", 0, []string{"y"}, maxLastingWait, false, 0},
		{"too long", 0, []string{"x", "y"}, maxLastingWait + lastingInterval, false, 1},
		{"no room", 0, []string{"x"}, time.Minute, false, 0},
		{"soon after a fault", 5 * time.Second, []string{"y"}, 5*time.Second + maxLastingWait, false, 0},
		{"too long after a fault", 5 * time.Second, []string{"y"}, 5*time.Second + maxLastingWait + lastingInterval, false, 1},
		{"cancelled", 0, []string{"y"}, time.Minute, true, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChecker()
				need := structs.Resources{MilliCPU: 2, MemoryMB: 2}
				c.capacity["x"], c.capacity["y"] = structs.Resources{MilliCPU: 1, MemoryMB: 1}, need
				job := &sentJob{id: "1", steps: []fleet.Step{{Count: 1, Need: need, Lasting: true}}, accepted: time.Now()}
				c.addJob(job)
				run := standin.Event{Task: fleet.TaskID{Job: "1"}, Run: 1, Executor: "y"}
				c.Started(run)
				time.Sleep(time.Minute)
				c.checkLasting(tc.vms)
				c.Ended(run)
				if tc.cancelled {
					job.cancelled = time.Now()
				}
				if tc.faultEnds > 0 {
					c.beginFault()
					time.AfterFunc(tc.faultEnds, c.endFault)
				}
				for range tc.checkedAt/lastingInterval + 1 {
					synctest.Wait()
					c.checkLasting(tc.vms)
					time.Sleep(lastingInterval)
				}
				assert.Len(t, c.finish(), tc.reported)
			})
		})
	}
}
