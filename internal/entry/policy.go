package entry

import (
	"time"

	"vanillalock.example/vanillalock/internal/eviction"
	"vanillalock.example/vanillalock/internal/interference"
	"vanillalock.example/vanillalock/internal/jobs"
	"vanillalock.example/vanillalock/internal/scheduler"
	"vanillalock.example/vanillalock/internal/scheduler/plugins"
	slowdown "vanillalock.example/vanillalock/internal/scheduler/plugins/interference"
	"vanillalock.example/vanillalock/internal/scheduler/plugins/quarantine"
	"vanillalock.example/vanillalock/internal/scheduler/sizes"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
	"vanillalock.example/vanillalock/internal/worker"
)

const (
	// modelUpdateInterval is the minimum time between two updates of the
	// scheduler from the interference model. Each update discards the cached
	// scores.
	modelUpdateInterval = 5 * time.Second
	// interferenceEvictionInterval is the minimum time between two evictions
	// from one VM because of interference, so that the effect of one is
	// measured before the next.
	interferenceEvictionInterval = 15 * time.Second
)

// policy decides which VMs accept tasks, when batch tasks are throttled and
// which of them are evicted.
type policy struct {
	jobs           *jobControl
	quarantine     *quarantine.Tracker
	model          *interference.Model
	plugin         *slowdown.Plugin
	budget         *eviction.Budget
	sizes          *sizes.Estimator
	vms            map[string]*vmPolicy
	tasks          map[structs.TaskID]*taskPolicy
	modelChanged   bool // the model has changed since the last update
	modelAppliedAt time.Time
}

// vmPolicy is the state of the reaction to interference on one VM.
type vmPolicy struct {
	controller interference.Controller
	throttled  bool
	evictedAt  time.Time       // last eviction because of interference
	usage      []*pb.TaskUsage // from the last heartbeat with measurements
}

// taskPolicy holds what the policy tracks for a running task.
type taskPolicy struct {
	peakUsage      structs.Resources
	checkpointedAt time.Time // last checkpoint, or when tracking began
}

// newPolicy returns the policy and the scheduler whose plugins use its model.
func newPolicy(j *jobControl) (*policy, *scheduler.Scheduler) {
	p := &policy{
		jobs: j, quarantine: quarantine.NewTracker(), model: interference.NewModel(),
		budget: eviction.NewBudget(eviction.Limits{}), sizes: sizes.New(),
		vms: map[string]*vmPolicy{}, tasks: map[structs.TaskID]*taskPolicy{},
	}
	set, plugin := plugins.Default(p.model)
	p.plugin = plugin
	return p, scheduler.New(scheduler.Config{}, set, j.ledger)
}

// plannedSize returns the planned size of a job's tasks: the declared size,
// raised to the usage that was measured for tasks of the template. It is never
// below the declared size, and not raised if no VM could hold the raised size.
func (p *policy) plannedSize(job structs.Job) structs.Resources {
	planned := p.sizes.Plan(job.Template, job.Resources)
	raised := structs.Resources{
		MilliCPU: max(planned.MilliCPU, job.Resources.MilliCPU), MemoryMB: max(planned.MemoryMB, job.Resources.MemoryMB),
		Accelerators: job.Resources.Accelerators,
	}
	for _, n := range p.jobs.sched.Nodes() {
		if n != nil && raised.Fits(n.Capacity) {
			return raised
		}
	}
	return job.Resources
}

// updateFlags updates the flags of a VM in the scheduler.
func (p *policy) updateFlags(a *agentState) {
	vm := p.vms[a.node.ID]
	p.jobs.sched.SetFlags(a.node.ID, scheduler.Flags{
		Leaving:     a.leaving || a.session == nil,
		Quarantined: p.quarantine.Quarantined(a.node.ID, time.Now()),
		Closed:      vm != nil && vm.controller.Level() >= interference.StopAdding,
	})
}

// everySecond updates the flags of all VMs, drops the state of removed ones and
// applies changes of the interference model to the scheduler.
func (p *policy) everySecond(now time.Time) {
	for _, a := range p.jobs.c.agents {
		p.updateFlags(a)
	}
	for id := range p.vms {
		if p.jobs.c.agents[id] == nil {
			delete(p.vms, id)
			p.model.Forget(id)
			p.quarantine.Forget(id)
		}
	}
	if p.modelChanged && now.Sub(p.modelAppliedAt) >= modelUpdateInterval {
		p.modelChanged, p.modelAppliedAt = false, now
		p.plugin.Reset()
		p.jobs.sched.Invalidate()
	}
}

// recordEnd records the end of an attempt. It sets ev.WorkerFault if the
// failure is attributed to the worker.
func (p *policy) recordEnd(a *agentState, id structs.TaskID, ev *jobs.Event) {
	failed := ev.End == worker.Failed
	ev.WorkerFault = p.quarantine.RecordEnd(a.node.ID, id.Job, failed, len(p.jobs.c.agents), time.Now()) && failed
	if t, placed := p.tasks[id], p.jobs.sched.Placed(id); ev.End == worker.Done && t != nil && placed != nil {
		p.sizes.Observe(placed.Template, t.peakUsage)
	}
	p.updateFlags(a)
}

// forgetAttempt drops the state of an attempt that has ended.
func (p *policy) forgetAttempt(id structs.TaskID) { delete(p.tasks, id) }

// forgetTask drops all state of a task, including its eviction budget, which
// spans all its attempts.
func (p *policy) forgetTask(id structs.TaskID) {
	p.forgetAttempt(id)
	p.budget.Forget(id)
}

// recordCheckpoint records a checkpoint of a task.
func (p *policy) recordCheckpoint(id structs.TaskID, now time.Time) { p.task(id).checkpointedAt = now }

// task returns the state of a running task and creates it if needed.
func (p *policy) task(id structs.TaskID) *taskPolicy {
	t := p.tasks[id]
	if t == nil {
		t = &taskPolicy{checkpointedAt: time.Now()}
		p.tasks[id] = t
	}
	return t
}

// selectVictims selects the batch tasks to evict from the VM of the decision
// and charges their eviction budgets. It returns none if evicting them would
// not free enough or a budget does not allow it.
func (p *policy) selectVictims(d scheduler.Decision) []structs.TaskID {
	now := time.Now()
	var candidates []eviction.Candidate
	for id, t := range d.Node.Tasks {
		if t.QoS != structs.Batch || !p.budget.Allowed(id, now) {
			continue
		}
		candidates = append(candidates, eviction.Candidate{
			ID: id, QoS: t.QoS, Size: t.Size, Unsaved: now.Sub(p.task(id).checkpointedAt), CanSave: true,
			Remaining: max(t.Expected-now.Sub(t.Started), 0), Evictions: p.evictions(id),
		})
	}
	var ids []structs.TaskID
	for _, c := range eviction.Select(candidates, d.Short) {
		ids = append(ids, c.ID)
	}
	if len(ids) == 0 || !p.budget.Take(ids, now) {
		return nil
	}
	return ids
}

// evictions returns how often a task was evicted.
func (p *policy) evictions(id structs.TaskID) int {
	s := p.jobs.shardOf(id.Job)
	if s == nil || s.state == nil {
		return 0
	}
	job, err := s.state.Get(id.Job)
	if err != nil || id.Index >= len(job.Tasks) {
		return 0
	}
	return job.Tasks[id.Index].Evictions
}

// onUsage updates the interference model and the peak usage of tasks from the
// measurements of a VM, and reacts if its latency-critical tasks are slowed
// down.
func (p *policy) onUsage(a *agentState, usage []*pb.TaskUsage, now time.Time) {
	id := a.node.ID
	vm := p.vms[id]
	if vm == nil {
		vm = &vmPolicy{}
		p.vms[id] = vm
	}
	vm.usage = usage
	p.model.SetMix(id, templateMix(usage), now)
	level, urgent := vm.controller.Level(), false
	for _, u := range usage {
		at := now.Add(-time.Duration(u.AgeMs) * time.Millisecond)
		if p.model.Observe(id, u.Template, float64(u.Slowdown), at, now) {
			p.modelChanged = true
		}
		p.observePeak(u)
		if !u.Batch {
			urgent = true
			level = vm.controller.Observe(float64(u.Slowdown), at, now)
		}
	}
	if !urgent {
		level = vm.controller.ResetLevel(now)
	}
	p.applyInterferenceLevel(a, vm, level, now)
}

// observePeak raises the recorded peak usage of a task that this entry has
// placed.
func (p *policy) observePeak(u *pb.TaskUsage) {
	id := structs.TaskID{Job: u.Job, Index: int(u.Index)}
	if p.jobs.sched.Placed(id) == nil {
		return
	}
	t, used := p.task(id), resourcesOf(u.Used)
	t.peakUsage = structs.Resources{
		MilliCPU: max(t.peakUsage.MilliCPU, used.MilliCPU), MemoryMB: max(t.peakUsage.MemoryMB, used.MemoryMB),
		Accelerators: max(t.peakUsage.Accelerators, used.Accelerators),
	}
}

// applyInterferenceLevel throttles the batch tasks of this entry on a VM, and
// from level Move on evicts the task that interferes most. All entries receive
// the same measurements and choose the same task; only the entry that owns it
// evicts it.
func (p *policy) applyInterferenceLevel(a *agentState, vm *vmPolicy, level interference.Level, now time.Time) {
	if throttle := level >= interference.Throttle; throttle || vm.throttled {
		vm.throttled = throttle
		p.throttle(a, throttle)
	}
	p.updateFlags(a)
	if level < interference.Move || now.Sub(vm.evictedAt) < interferenceEvictionInterval {
		return
	}
	victim, ok := p.mostInterfering(vm.usage)
	if !ok {
		return
	}
	vm.evictedAt = now
	if p.jobs.sched.Placed(victim) != nil && p.budget.Take([]structs.TaskID{victim}, now) {
		p.jobs.evict(victim, "interference with latency-critical work")
	}
}

// throttle sets or lifts the reduced CPU share of the batch tasks of this entry
// on a VM.
func (p *policy) throttle(a *agentState, on bool) {
	share := float32(1)
	if on {
		share = interference.ThrottleShare
	}
	node := p.jobs.sched.Lookup(a.node.ID)
	if node == nil {
		return
	}
	for id, t := range node.Tasks {
		s := p.jobs.shardOf(id.Job)
		if t.QoS != structs.Batch || s == nil || s.state == nil {
			continue
		}
		if _, token, ok := s.state.Attempt(id); ok {
			p.jobs.c.postFrame(a, &pb.Frame{Body: &pb.Frame_TaskThrottle{TaskThrottle: &pb.TaskThrottle{
				Task: taskRef(s, id, token), Share: share,
			}}})
		}
	}
}

// mostInterfering returns the batch task that slows down the latency-critical
// tasks on its VM most, according to the interference model.
func (p *policy) mostInterfering(usage []*pb.TaskUsage) (structs.TaskID, bool) {
	var urgent []*pb.TaskUsage
	var suspects []interference.Suspect[structs.TaskID]
	for _, u := range usage {
		if u.Batch {
			suspects = append(suspects, interference.Suspect[structs.TaskID]{
				ID: structs.TaskID{Job: u.Job, Index: int(u.Index)}, Template: u.Template,
			})
		} else {
			urgent = append(urgent, u)
		}
	}
	i := interference.MostInterfering(p.model, templateMix(urgent), suspects)
	if i < 0 {
		return structs.TaskID{}, false
	}
	return suspects[i].ID, true
}

// templateMix returns the number of tasks of each template.
func templateMix(usage []*pb.TaskUsage) []interference.Neighbor {
	counts := map[string]int{}
	for _, u := range usage {
		counts[u.Template]++
	}
	mix := make([]interference.Neighbor, 0, len(counts))
	for template, n := range counts {
		mix = append(mix, interference.Neighbor{Template: template, Count: n})
	}
	return mix
}
