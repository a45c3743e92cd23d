package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/structs"
)

// displaceWorld is a fleet of which the first VMs have a task each of a filling step that lasts
// and may miss some of them.
type displaceWorld struct {
	*planFixture
	ends    map[string]uint64
	percent map[fleet.TaskID]int // of the listed runs; 100 by default
	silent  map[string]bool      // VMs without reports
	tail    int                  // tail latency of serving tasks in ms
}

const standing = "standing" // the job of the step

func newDisplaceWorld(vms, mayMiss int, s fleet.Step) *displaceWorld {
	w := &displaceWorld{planFixture: newPlanFixture(vms), ends: map[string]uint64{}, percent: map[fleet.TaskID]int{}, silent: map[string]bool{}, tail: 20}
	w.plan.policy = func(j *ledger.Job) fleet.Policy {
		if j.ID == standing {
			return fleet.Policy{Pool: "pool", Priority: 2}
		}
		return fleet.Policy{Pool: "pool"}
	}
	s.Need.MilliCPU, s.Image, s.Lasting, s.Fills, s.MaxUnavailable = 1800, "standing", true, true, mayMiss
	w.submit(standing, s)
	w.step(time.Second)
	w.step(time.Second)
	return w
}

// step lets time pass and plays the reports and a plan. Runs that were being stopped have ended.
func (w *displaceWorld) step(d time.Duration) {
	w.now = w.now.Add(d)
	w.reports()
	w.plan.plan(w.now)
}

func (w *displaceWorld) reports() {
	for name, n := range w.ledger.Nodes {
		if w.silent[name] {
			continue
		}
		n.TakeOrders()
		r := ledger.Report{Executor: w.executor(name), Listed: true}
		for id, run := range n.Runs {
			if run.State == ledger.Stopping {
				w.ends[name]++
				r.Ended = append(r.Ended, fleet.End{Number: w.ends[name], Task: id, Run: run.Number, Reason: fleet.EndStopped})
				continue
			}
			percent, ok := w.percent[id]
			if !ok {
				percent = 100
			}
			r.Running = append(r.Running, fleet.Running{Task: id, Run: run.Number, Percent: percent, Reading: w.tail})
		}
		w.ledger.Report(n, r, w.now)
		w.plan.applyReport(n, w.now)
	}
	w.ledger.Tick(w.now, w.now)
}

// away returns the number of tasks of the step that are not at work, or are being stopped.
func (w *displaceWorld) away() int {
	away := 0
	for _, t := range w.ledger.Jobs[standing].Occurrences[0].Steps[0].Tasks {
		if r := t.Current; r == nil || r.State != ledger.Running || r.Percent < 100 || w.silent[r.Node.Name] {
			away++
		}
	}
	return away
}

// taskRun returns the run of a task of the step.
func (w *displaceWorld) taskRun(i int) *ledger.Run {
	return w.ledger.Jobs[standing].Occurrences[0].Steps[0].Tasks[i].Current
}

// Guards against more tasks of a step that are away by the system's own decision, or beside one
// that is away for another cause, than the step may miss: each way on which the system stops a
// task at work, beside each cause.
func TestSystemDisplacesNoMoreTasksThanAStepMayMiss(t *testing.T) {
	const tasks = 6
	causes := map[string]func(w *displaceWorld){
		"none": func(*displaceWorld) {},
		"starts up": func(w *displaceWorld) {
			w.percent[fleet.TaskID{Job: standing}] = 50
		},
		"silent VM": func(w *displaceWorld) {
			w.silent[w.taskRun(0).Node.Name] = true
			w.now = w.now.Add(2 * ledger.MaxListAge)
		},
		"has failed": func(w *displaceWorld) {
			r := w.taskRun(0)
			w.ends[r.Node.Name]++
			end := fleet.End{Number: w.ends[r.Node.Name], Task: r.ID, Run: r.Number, Reason: fleet.EndFailed}
			w.ledger.Report(r.Node, ledger.Report{Executor: w.executor(r.Node.Name), Listed: true, Ended: []fleet.End{end}}, w.now)
			require.Nil(t, w.taskRun(0))
		},
	}
	ways := map[string]func(w *displaceWorld, check func()){
		"preempted": func(w *displaceWorld, check func()) {
			for i := range 10 {
				w.submit(fmt.Sprint("urgent-", i), fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 500, MemoryMB: 60_000}})
				w.step(preemptInterval + time.Millisecond)
				check()
			}
		},
		"two on one VM preempted": func(w *displaceWorld, check func()) {
			w.submit("urgent", fleet.Step{Count: 1, Need: structs.Resources{MilliCPU: 500, MemoryMB: 120_000}})
			w.step(preemptInterval + time.Millisecond)
			check()
		},
		"moved": func(w *displaceWorld, check func()) {
			for range 5 {
				w.now = w.now.Add(100 * time.Millisecond)
				w.reports()
				for i := range tasks {
					if r := w.taskRun(i); r != nil {
						w.plan.toMove[r] = struct{}{}
					}
				}
				w.plan.plan(w.now)
				check()
			}
		},
		"paused for long": func(w *displaceWorld, check func()) {
			w.submit("serving", fleet.Step{
				Count: tasks, Need: structs.Resources{MilliCPU: 6400, MemoryMB: 1000}, Lasting: true, MaxPerVM: 1, Image: "feed", TailTarget: 50 * time.Millisecond,
			})
			w.step(100 * time.Millisecond)
			w.tail = 500
			for range 100 {
				w.step(100 * time.Millisecond)
				check()
			}
		},
		"moved off a VM for filling tasks": func(w *displaceWorld, check func()) {
			for range 10 {
				for _, e := range w.plan.cache {
					e.vm.FillingOnly = e.vm.Lasting > 0
				}
				w.plan.lastMark = w.now.Add(time.Hour)
				w.step(clearInterval + time.Millisecond)
				check()
			}
		},
	}
	for way, play := range ways {
		for cause, prepare := range causes {
			for mayMiss := 1; mayMiss <= 2; mayMiss++ {
				t.Run(fmt.Sprintf("%s, %s, may miss %d", way, cause, mayMiss), func(t *testing.T) {
					s := fleet.Step{Count: tasks, Need: structs.Resources{MemoryMB: 100_000}, MaxPerVM: 1}
					vms := 2 * tasks
					switch way {
					case "preempted":
						vms = tasks
					case "two on one VM preempted":
						s.Need.MemoryMB, s.MaxPerVM, vms = 60_000, 0, tasks/2
					}
					w := newDisplaceWorld(vms, mayMiss, s)
					require.Zero(t, w.away(), "all tasks are at work")
					prepare(w)
					most := max(mayMiss, w.away()) // the cause alone may take as many away
					play(w, func() { require.LessOrEqual(t, w.away(), most) })
				})
			}
		}
	}
}
