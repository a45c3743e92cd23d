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
	// relearnInterval is the time between two updates of the scheduler from the
	// interference model; each one discards its cached scores.
	relearnInterval = 5 * time.Second
	// moveInterval is the time between two evictions from one VM because of
	// interference, so that the effect of one is measured before the next.
	moveInterval = 15 * time.Second
)

// policy decides which VMs take tasks, how batch tasks are held back and which
// give way.
type policy struct {
	jobs       *jobControl
	quarantine *quarantine.Tracker
	model      *interference.Model
	plugin     *slowdown.Plugin
	budget     *eviction.Budget
	sizes      *sizes.Estimator
	vms        map[string]*vmPolicy
	tasks      map[structs.TaskID]*taskPolicy
	learned    bool // the model has changed since the last update
	relearned  time.Time
}

// vmPolicy is the reaction to interference on one VM.
type vmPolicy struct {
	controller interference.Controller
	throttled  bool
	movedAt    time.Time
	reports    []*pb.TaskUsage
}

// taskPolicy is what is known of a running task.
type taskPolicy struct {
	peak    structs.Resources
	savedAt time.Time
}

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

// size is the planned size of a job's tasks: the declared one, raised to what
// tasks of the template were seen to use. It is never reduced below the
// declared size, and not raised beyond every VM.
func (p *policy) size(job structs.Job) structs.Resources {
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

// nodeChanged refreshes the conditions of a VM.
func (p *policy) nodeChanged(a *agentState) {
	vm := p.vms[a.node.ID]
	p.jobs.sched.SetFlags(a.node.ID, scheduler.Flags{
		Leaving:     a.leaving || a.session == nil,
		Quarantined: p.quarantine.Quarantined(a.node.ID, time.Now()),
		Closed:      vm != nil && vm.controller.Level() >= interference.StopAdding,
	})
}

func (p *policy) everySecond(now time.Time) {
	for _, a := range p.jobs.c.agents {
		p.nodeChanged(a)
	}
	for id := range p.vms {
		if p.jobs.c.agents[id] == nil {
			delete(p.vms, id)
			p.model.Forget(id)
			p.quarantine.Forget(id)
		}
	}
	if p.learned && now.Sub(p.relearned) >= relearnInterval {
		p.learned, p.relearned = false, now
		p.plugin.Reset()
		p.jobs.sched.Invalidate()
	}
}

// ended records the end of an attempt and marks failures that are the worker's.
func (p *policy) ended(a *agentState, id structs.TaskID, ev *jobs.Event) {
	failed := ev.End == worker.Failed
	ev.WorkerFault = p.quarantine.Ended(a.node.ID, id.Job, failed, len(p.jobs.c.agents), time.Now()) && failed
	if t, placed := p.tasks[id], p.jobs.sched.Placed(id); ev.End == worker.Done && t != nil && placed != nil {
		p.sizes.Observe(placed.Template, t.peak)
	}
	p.nodeChanged(a)
}

// released drops what is known of an attempt that has ended.
func (p *policy) released(id structs.TaskID) { delete(p.tasks, id) }

// finished drops everything about a task; until then its evictions count
// against its budget.
func (p *policy) finished(id structs.TaskID) {
	p.released(id)
	p.budget.Forget(id)
}

func (p *policy) saved(id structs.TaskID, now time.Time) { p.task(id).savedAt = now }

func (p *policy) task(id structs.TaskID) *taskPolicy {
	t := p.tasks[id]
	if t == nil {
		t = &taskPolicy{savedAt: time.Now()}
		p.tasks[id] = t
	}
	return t
}

// victims chooses the batch tasks that give way on the VM of the decision, or
// none if they would not suffice or the budget is spent.
func (p *policy) victims(d scheduler.Decision) []structs.TaskID {
	now := time.Now()
	var candidates []eviction.Candidate
	for id, t := range d.Node.Tasks {
		if t.QoS != structs.Batch || !p.budget.Allowed(id, now) {
			continue
		}
		candidates = append(candidates, eviction.Candidate{
			ID: id, QoS: t.QoS, Size: t.Size, Unsaved: now.Sub(p.task(id).savedAt), CanSave: true,
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

// onUsage learns from the measurements of a VM and reacts to slow urgent work.
func (p *policy) onUsage(a *agentState, usage []*pb.TaskUsage, now time.Time) {
	id := a.node.ID
	vm := p.vms[id]
	if vm == nil {
		vm = &vmPolicy{}
		p.vms[id] = vm
	}
	vm.reports = usage
	p.model.Mix(id, mixOf(usage), now)
	level, urgent := vm.controller.Level(), false
	for _, u := range usage {
		at := now.Add(-time.Duration(u.AgeMs) * time.Millisecond)
		if p.model.Observe(id, u.Template, float64(u.Slowdown), at, now) {
			p.learned = true
		}
		p.observePeak(u)
		if !u.Batch {
			urgent = true
			level = vm.controller.Observe(float64(u.Slowdown), at, now)
		}
	}
	if !urgent {
		level = vm.controller.NoUrgent(now)
	}
	p.react(a, vm, level, now)
}

func (p *policy) observePeak(u *pb.TaskUsage) {
	id := structs.TaskID{Job: u.Job, Index: int(u.Index)}
	if p.jobs.sched.Placed(id) == nil {
		return
	}
	t, used := p.task(id), resourcesOf(u.Used)
	t.peak = structs.Resources{
		MilliCPU: max(t.peak.MilliCPU, used.MilliCPU), MemoryMB: max(t.peak.MemoryMB, used.MemoryMB),
		Accelerators: max(t.peak.Accelerators, used.Accelerators),
	}
}

// react throttles batch tasks of this entry, and from level Move on evicts the
// task that disturbs most. All entries see the same measurements; only the owner
// of that task acts.
func (p *policy) react(a *agentState, vm *vmPolicy, level interference.Level, now time.Time) {
	if throttle := level >= interference.Throttle; throttle || vm.throttled {
		vm.throttled = throttle
		p.throttle(a, throttle)
	}
	p.nodeChanged(a)
	if level < interference.Move || now.Sub(vm.movedAt) < moveInterval {
		return
	}
	worst, ok := p.worst(vm.reports)
	if !ok {
		return
	}
	vm.movedAt = now
	if p.jobs.sched.Placed(worst) != nil && p.budget.Take([]structs.TaskID{worst}, now) {
		p.jobs.evict(worst, "interference with latency-critical work")
	}
}

// throttle sets the share of the batch tasks of this entry on a VM.
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
			p.jobs.c.post(a, &pb.Frame{Body: &pb.Frame_TaskThrottle{TaskThrottle: &pb.TaskThrottle{
				Task: taskRef(s, id, token), Share: share,
			}}})
		}
	}
}

// worst returns the batch task that slows the urgent ones beside it down most.
func (p *policy) worst(usage []*pb.TaskUsage) (structs.TaskID, bool) {
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
	i := interference.Worst(p.model, mixOf(urgent), suspects)
	if i < 0 {
		return structs.TaskID{}, false
	}
	return suspects[i].ID, true
}

// mixOf counts the tasks by template.
func mixOf(usage []*pb.TaskUsage) []interference.Neighbor {
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
