package lead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/structs"
)

// localityPlay plays a planner on racks of VMs of 8 cores whose tasks take twice as long
// away from their data.
type localityPlay struct {
	*planFixture
	durations  map[string]time.Duration // true run times beside the data, by job
	ends       uint64
	placements []placement
}

// newLocalityPlay returns a play whose planner knows the given far factor.
func newLocalityPlay(vms, perRack int, planned float64) *localityPlay {
	p := &localityPlay{planFixture: newPlanFixture(0), durations: map[string]time.Duration{}}
	p.ledger = ledger.New(ledger.Options{
		Takeover: startTime, Attempts: func(*ledger.Job) int { return 2 }, Log: func(ledger.Event) {},
		Done: func(r *ledger.Run, worked time.Duration) { p.plan.observeDone(r, worked) },
	})
	policy := fleet.Policy{Pool: "pool", MaxAttempts: 2, Stretch: 1.5, Objective: 500 * time.Millisecond}
	p.plan = newPlanner(p.ledger, func(*ledger.Job) fleet.Policy { return policy }, newStartBudget(0), func(string, string) bool { return true })
	p.plan.locality = newLocality(planned, func(pl placement) { p.placements = append(p.placements, pl) })
	for i := range vms {
		n := p.ledger.AddNode(fmt.Sprintf("vm-%03d", i))
		// Capacities differ, as equal VMs are chosen in the order of a map.
		e := &fleet.Executor{Instance: n.Name, Pool: "pool", Capacity: structs.Resources{MilliCPU: 8000 + int64(i), MemoryMB: 128000}, Labels: []string{"kind", fmt.Sprint("rack-", i/perRack)}}
		p.ledger.Report(n, ledger.Report{Executor: e, Listed: true}, p.now)
	}
	p.ledger.Tick(p.now, p.now)
	return p
}

// tick moves the play on by 20 ms, reports the runs of all VMs and plans.
func (p *localityPlay) tick() {
	p.report()
	p.plan.plan(p.now)
}

// report moves the play on by 20 ms and reports the runs of all VMs.
func (p *localityPlay) report() {
	p.now = p.now.Add(20 * time.Millisecond)
	for _, n := range p.ledger.Nodes {
		report := ledger.Report{Executor: &n.Executor, Listed: true}
		for id, r := range n.Runs {
			d, worked := p.durations[r.ID.Job]*time.Duration(8+r.ID.Index%5)/10, p.now.Sub(r.Since) // tasks differ by up to a fifth
			if rack := r.Task.Step.Spec.DataRack; rack != "" && !slices.Contains(n.Executor.Labels, rack) {
				d *= 2
			}
			if worked >= d {
				p.ends++
				report.Ended = append(report.Ended, fleet.End{Number: p.ends, Task: id, Run: r.Number, Reason: fleet.EndDone})
				continue
			}
			report.Running = append(report.Running, fleet.Running{Task: id, Run: r.Number, Percent: int(100 * worked / d)})
		}
		n.TakeOrders()
		p.ledger.Report(n, report, p.now)
	}
}

// playHotRack submits jobs of one or two steps of 10 tasks for 6 s. Of these jobs 60% name
// one rack during 5.5 s, and estimates are off by up to 90%. It returns the mean time to
// the end of a job and the share of jobs in time.
func (p *localityPlay) playHotRack(jobsPerSecond float64, seed uint64) (mean time.Duration, inTime float64) {
	random := rand.New(rand.NewPCG(seed, 2))
	jobs := int(6 * jobsPerSecond)
	for done := 0; done < jobs; {
		since := p.now.Sub(startTime)
		for i := len(p.ledger.Jobs); i < jobs && float64(i) < jobsPerSecond*since.Seconds(); i++ {
			d := time.Duration(float64(640*time.Millisecond) * (0.6 + 0.8*random.Float64()))
			step := fleet.Step{Count: 10, Need: structs.Resources{MilliCPU: 640, MemoryMB: 300}}
			step.Estimate = time.Duration(float64(d) * []float64{0.1, 0.5, 0.8, 1.2, 1.5, 1.9}[random.IntN(6)])
			if random.IntN(10) < 6 && since < 5500*time.Millisecond {
				step.DataRack = "rack-0"
			}
			job := fleet.Job{ID: fmt.Sprintf("job-%04d", i), Queue: "short", Steps: []fleet.Step{step}, Accepted: p.now}
			if random.IntN(10) < 6 {
				step.After = []int{0}
				job.Steps = append(job.Steps, step)
			}
			p.durations[job.ID] = d
			p.ledger.AddJob(job, false, p.now)
		}
		p.tick()
		done = 0
		for _, j := range p.ledger.Jobs {
			if j.Final != "" {
				done++
			}
		}
	}
	for id, j := range p.ledger.Jobs {
		took := j.FinalAt.Sub(j.Accepted)
		mean += took / time.Duration(jobs)
		if took <= p.durations[id]*time.Duration(3*len(j.Steps))/2+500*time.Millisecond {
			inTime += 1 / float64(jobs)
		}
	}
	return mean, inTime
}

// Guards against tasks that all start away from the rack that most of a class names, and
// against waits that are longer than what they gain.
func TestWaitsForAHotRackServeCallers(t *testing.T) {
	for _, jobsPerSecond := range []float64{30, 60} { // without and with a shortage of CPU
		mean, inTime := newLocalityPlay(60, 10, 0).playHotRack(jobsPerSecond, 1)
		p := newLocalityPlay(60, 10, 2)
		meanWith, inTimeWith := p.playHotRack(jobsPerSecond, 1)
		t.Logf("%.0f jobs/s: mean %v -> %v, in time %.3f -> %.3f", jobsPerSecond, mean, meanWith, inTime, inTimeWith)
		require.Less(t, meanWith, mean)
		require.Greater(t, inTimeWith, inTime)
		for _, pl := range p.placements {
			require.LessOrEqual(t, pl.waited, pl.gain)
		}
	}
}

// Guards against starts far from the data shortly before the rack has room, against waits
// that outlast the gain, and against waits for a rack that will have no room.
func TestWaitFollowsTheExpectedRoom(t *testing.T) {
	for name, c := range map[string]struct {
		busy, claimed time.Duration // true and estimated run time of what fills the rack
		drains        bool
		outcome       outcome
	}{
		"full briefly":      {700 * time.Millisecond, 700 * time.Millisecond, false, nearAfterWait},
		"full for long":     {9 * time.Second, 9 * time.Second, false, farAtOnce},
		"expected too soon": {time.Minute, 700 * time.Millisecond, false, farAfterWait},
		"draining":          {700 * time.Millisecond, 700 * time.Millisecond, true, farAtOnce},
	} {
		p := newLocalityPlay(2, 1, 2)
		whole := structs.Resources{MilliCPU: 8000, MemoryMB: 1000}
		p.durations["busy"], p.durations["task"] = c.busy, time.Second
		p.submit("busy", fleet.Step{Count: 1, Need: whole, Estimate: c.claimed, DataRack: "rack-0"})
		for range 20 {
			p.tick()
		}
		p.ledger.Nodes["vm-000"].Executor.Draining = c.drains
		p.submit("task", fleet.Step{Count: 1, Need: whole, Estimate: time.Second, DataRack: "rack-0"})
		for began := p.now; len(p.placements) < 2; p.tick() {
			require.Less(t, p.now.Sub(began), time.Second, "%s: the gain", name)
		}
		require.Equal(t, c.outcome, p.placements[1].outcome, name)
	}
}

// Guards against other decisions where no task names a rack, or where the VMs have no
// racks: with a far factor the planner chooses as without.
func TestPlacementWithoutRacksIsAsBefore(t *testing.T) {
	for _, dataRack := range []string{"", "rack-1"} {
		var starts [2]map[fleet.TaskID]string
		for i, far := range []float64{0, 2} {
			p := newLocalityPlay(12, 4, far)
			for _, n := range p.ledger.Nodes {
				if dataRack != "" {
					n.Executor.Labels = []string{"kind"}
				}
			}
			starts[i] = map[fleet.TaskID]string{}
			for j := range 100 {
				if id := fmt.Sprint("job-", j); j < 30 {
					p.durations[id] = 500 * time.Millisecond
					p.submit(id, fleet.Step{
						Count: 9, Estimate: 300 * time.Millisecond, Need: structs.Resources{MilliCPU: 640, MemoryMB: 300},
						DataRack: dataRack, SameRack: dataRack != "" && j%3 == 0, Fills: j%5 == 0,
					})
				}
				p.tick()
				for _, n := range p.ledger.Nodes {
					for id := range n.Runs {
						starts[i][id] = n.Name
					}
				}
			}
		}
		require.Len(t, starts[0], 270)
		require.Equal(t, starts[0], starts[1])
	}
}

// Guards against a step with SameRack that is spread although it fits on one rack, and
// against tasks that wait because it fits on none.
func TestSameRackStepSharesARack(t *testing.T) {
	for count, want := range map[int]int{20: 1, 60: 3} { // 24 of them fit on a rack
		p := newLocalityPlay(6, 2, 2)
		p.submit("job", fleet.Step{Count: count, Need: structs.Resources{MilliCPU: 640, MemoryMB: 300}, SameRack: true})
		p.plan.plan(p.now)
		racks, runs := map[string]bool{}, 0
		for _, n := range p.ledger.Nodes {
			if runs += len(n.Runs); len(n.Runs) > 0 {
				racks[rackOf(n.Executor.Labels)] = true
			}
		}
		require.Equal(t, count, runs)
		require.Len(t, racks, want)
	}
}

// Guards against a leader that runs out of memory, and each one after it, because a job
// needs nothing of a VM: room for its tasks was foreseen without end.
func TestTasksThatNeedNothingHaveABoundedForecast(t *testing.T) {
	p := newLocalityPlay(4, 2, 2)
	p.submit("filling", fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 8000, MemoryMB: 10}, Fills: true, Label: "rack-0", Estimate: time.Second})
	p.plan.plan(p.now)
	p.submit("short", fleet.Step{Count: 2, Need: structs.Resources{MilliCPU: 2000, MemoryMB: 10}, Label: "rack-0", Estimate: time.Second})
	p.plan.plan(p.now) // the VMs of the rack have less than no CPU to spare
	p.submit("nothing", fleet.Step{Count: 1, Fills: true, DataRack: "rack-0", Estimate: time.Second})
	p.plan.plan(p.now)
	var room forecast
	for _, room = range p.plan.locality.frees {
	}
	require.Len(t, room.frees, 2*maxFrees)
}
