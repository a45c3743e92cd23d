package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/durations"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/near"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// expectedStop is the expected time until a run that is being stopped has ended.
	// Executors stop a run within a second.
	expectedStop = 500 * time.Millisecond
	// minProgressTime and minProgress are the time and the percentage of progress from
	// which on the progress of a run counts more than the learned run time: both are
	// coarse at its beginning.
	minProgressTime = 100 * time.Millisecond
	minProgress     = 10
	// maxFrees bounds the tasks for which room is foreseen on one VM. Tasks that need little
	// or nothing would fit in without end.
	maxFrees = 256
	// waitLogInterval is the minimum interval between log lines on waits in vain.
	waitLogInterval = time.Second
)

// outcome says where a task that names the rack of its data has started.
type outcome uint8

const (
	nearAtOnce outcome = iota
	farAtOnce
	nearAfterWait
	farAfterWait
)

// placement describes the start of a task that names the rack of its data.
type placement struct {
	outcome outcome
	task    fleet.TaskID
	rack    string
	waited  time.Duration // for a VM on the rack, while VMs elsewhere had room
	gain    time.Duration // upper bound of waited
}

// locality is the planner's state on tasks that run longer on some racks than on others.
type locality struct {
	farFactor float64                   // 0: no waits
	report    func(placement)           // unless nil, called at each start of a task that names a rack
	waiting   map[*ledger.Task]nearWait // tasks that wait for a VM on their rack
	now       time.Time                 // of the current plan
	failed    place.Failed              // of the current plan
	unplaced  place.Failed              // of the last plan

	// Of the current plan, computed when a task needs them:
	queued map[rackKey]int                // waiting tasks by rack
	frees  map[place.Task]forecast        // by task, without what makes no difference
	ends   map[*ledger.Node][]expectedEnd // in order of time
	terms  map[*ledger.Step]near.Task     // without the time waited
}

// nearWait is the wait of a task for a VM on its rack. Time after the last decision to wait
// does not count, as no VM elsewhere had room then either.
type nearWait struct {
	since, last time.Time // the first and the last decision to wait
	gain        time.Duration
}

// rackKey identifies a rack as seen by the tasks of a pool.
type rackKey struct{ pool, rack string }

// forecast is the expected room on a rack for tasks of a kind.
type forecast struct {
	now   bool // a VM has room
	frees []time.Duration
}

// wait returns how long a task is expected to wait for room behind others, and false if it
// starts on another rack now.
func (f forecast) wait(terms near.Task, ahead int, scarce bool) (time.Duration, bool) {
	if f.now {
		return 0, false
	}
	terms.Recheck = tickInterval
	return near.Wait(terms, near.Rack{Frees: f.frees, Ahead: ahead, Scarce: scarce})
}

// expectedEnd is the expected end of a run, and what it frees.
type expectedEnd struct {
	In    time.Duration     `json:"in"`
	Need  structs.Resources `json:"need"`
	Fills bool              `json:"fills,omitempty"`
	Busy  int64             `json:"busy,omitempty"` // as in place.VM.Release
}

// newLocality returns the state for a ratio of run times; at most 1, no task waits.
func newLocality(farFactor float64, report func(placement)) *locality {
	if farFactor <= 1 {
		farFactor = 0
	}
	return &locality{farFactor: farFactor, report: report, waiting: map[*ledger.Task]nearWait{}}
}

// begin prepares a plan, which adds the tasks without room to failed.
func (l *locality) begin(failed place.Failed, now time.Time) {
	if l.farFactor == 0 {
		return
	}
	l.unplaced, l.failed, l.now = l.failed, failed, now
	l.queued, l.frees, l.ends, l.terms = map[rackKey]int{}, map[place.Task]forecast{}, map[*ledger.Node][]expectedEnd{}, map[*ledger.Step]near.Task{}
	maps.DeleteFunc(l.waiting, func(t *ledger.Task, _ nearWait) bool {
		return t.Done || t.Current != nil || t.Step.Job.Final != "" // cancelled, or started as a suspect
	})
}

// addUnplaced counts the tasks of a step, of which one has fitted on no VM, as waiting
// for their rack, unless waitsForNear has counted them.
func (l *locality) addUnplaced(unplaced *place.Task, r ledger.ReadyStep) {
	if l.farFactor == 0 || unplaced == nil || r.Step.Spec.DataRack == "" {
		return
	}
	for _, t := range r.Tasks {
		if t.Current == nil && !l.waiting[t].last.Equal(l.now) {
			l.queued[rackKey{unplaced.Pool, unplaced.DataRack}]++
		}
	}
}

// waitsForNear reports whether a task is not started in this plan, although the VM with
// index best has room, because a VM on the rack with its data is expected to have room
// soon. If it is started, it records how. best is -1 if no VM has room.
func (p *planner) waitsForNear(t *ledger.Task, task *place.Task, best int, vms []*place.VM, nodes []*ledger.Node, now time.Time) bool {
	l := p.locality
	rack := t.Step.Spec.DataRack
	if l.farFactor == 0 || rack == "" || best < 0 || task.Lasting {
		return false
	}
	isNear := slices.Contains(vms[best].Labels, rack)
	terms := p.termsOf(t.Step, now)
	wait, waited := l.waiting[t]
	if !isNear {
		terms.Waited = now.Sub(t.ReadySince)
		key := rackKey{task.Pool, rack}
		room := p.roomOnRack(task, vms, nodes, now)
		if _, waits := room.wait(terms, l.queued[key], l.unplaced.HasPool(task.Pool)); waits {
			l.queued[key]++
			if !waited {
				wait.since = now
			}
			wait.last, wait.gain = now, terms.Gain()
			l.waiting[t] = wait
			return true
		}
	}
	delete(l.waiting, t)
	if l.report == nil {
		return false
	}
	out := placement{outcome: nearAtOnce, task: t.ID, rack: rack, gain: terms.Gain()}
	if waited {
		out.outcome, out.gain = nearAfterWait, wait.gain
		out.waited = min(now.Sub(wait.since), wait.last.Add(tickInterval).Sub(wait.since))
	}
	if !isNear {
		out.outcome++ // the value for the far VM follows that for the near one
	}
	l.report(out)
	return false
}

// termsOf returns the description of the tasks of a step for package near.
func (p *planner) termsOf(s *ledger.Step, now time.Time) near.Task {
	l := p.locality
	if known, ok := l.terms[s]; ok {
		return known
	}
	job := s.Job
	out := nearTerms(&job.Job, p.policy(job), s.Index, now.Sub(job.Accepted), l.farFactor, p.expectationOf(job.Queue))
	l.terms[s] = out
	return out
}

// nearTerms returns the description for package near of the tasks of a step of a job that
// was accepted age ago.
func nearTerms(job *fleet.Job, policy fleet.Policy, step int, age time.Duration, farFactor float64, expect expectation) near.Task {
	out := near.Task{Duration: expect(&job.Steps[step]), FarFactor: farFactor}
	if job.Repeats == 0 {
		chains := chainsOf(job.Steps, expect)
		objective := time.Duration(policy.Stretch*float64(slices.Max(chains))) + policy.Objective
		out.HasObjective = objective > 0
		out.Slack = objective - age - chains[step]
	}
	return out
}

// expectation returns the expected run time of a task of a step at full speed, beside its
// data.
type expectation func(*fleet.Step) time.Duration

// expectationOf returns the expectation for the steps of a queue's jobs.
func (p *planner) expectationOf(queue string) expectation {
	return func(s *fleet.Step) time.Duration {
		return p.durations.Expect(durations.ClassOf(queue, s), s.Estimate)
	}
}

// expectedDuration returns the expected run time of a task of a step at full speed,
// beside its data.
func (p *planner) expectedDuration(s *ledger.Step) time.Duration {
	return p.expectationOf(s.Job.Queue)(s.Spec)
}

// roomOnRack returns when VMs on the rack with the data of a task are expected to have
// room for such tasks. VMs that take no tasks, such as draining ones and those in
// trouble, never have.
func (p *planner) roomOnRack(task *place.Task, vms []*place.VM, nodes []*ledger.Node, now time.Time) forecast {
	key := *task
	key.Count, key.AvoidName = 0, ""
	if key.MaxPerVM == 0 {
		key.Key = place.StepKey{}
	}
	if known, ok := p.locality.frees[key]; ok {
		return known
	}
	ends := func(i int) []expectedEnd { return p.knownEnds(nodes[i], now) }
	out := forecastRoom(task, vms, ends, p.estimator.DisturbanceProbability)
	p.locality.frees[key] = out
	return out
}

// forecastRoom returns when VMs on the rack with the data of a task are expected to have
// room for such tasks. ends returns the expected ends of the runs of a VM by its index.
func forecastRoom(task *place.Task, vms []*place.VM, ends func(int) []expectedEnd, interference place.Interference) forecast {
	var out forecast
	for i, vm := range vms {
		if vm.Pool != task.Pool || !slices.Contains(vm.Labels, task.DataRack) {
			continue
		}
		if place.Fits(task, vm, interference) {
			out.now = true
			break
		}
		later := *vm // its maps and slices are only read
		most := len(out.frees) + maxFrees
		for _, end := range ends(i) {
			later.Release(&place.Task{Need: end.Need, Fills: end.Fills}, end.Busy)
			for len(out.frees) < most && place.Fits(task, &later, interference) {
				out.frees = append(out.frees, end.In)
				later.Reserved = place.ReservedWith(task, later.Reserved)
				if task.Fills {
					later.Filling += task.Need.MilliCPU
				}
			}
		}
	}
	slices.Sort(out.frees)
	return out
}

// knownEnds returns expectedEnds, computed once for a plan.
func (p *planner) knownEnds(n *ledger.Node, now time.Time) []expectedEnd {
	ends, ok := p.locality.ends[n]
	if !ok {
		ends = p.expectedEnds(n, now)
		p.locality.ends[n] = ends
	}
	return ends
}

// expectedEnds returns the expected ends of the runs of a VM in the order of time, none if
// it has runs of which the resources are unknown.
func (p *planner) expectedEnds(n *ledger.Node, now time.Time) []expectedEnd {
	var ends []expectedEnd
	for _, r := range n.Runs {
		if r.Task == nil {
			return nil
		}
		s := r.Task.Step.Spec
		if in, ok := p.expectedRest(r, now); ok {
			ends = append(ends, expectedEnd{in, s.Need, s.Fills, expectedUse(s)})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.In, b.In) })
	return ends
}

// expectedRest returns the time that a run is expected to go on, and false if none is
// known.
func (p *planner) expectedRest(r *ledger.Run, now time.Time) (time.Duration, bool) {
	if r.State == ledger.Stopping {
		return expectedStop, true
	}
	if r.Task.Step.Spec.Lasting || r.PaceNow() == 0 {
		return 0, false
	}
	whole := p.expectedDuration(r.Task.Step)
	if p.isFar(r) {
		whole = time.Duration(p.locality.farFactor * float64(whole))
	}
	whole = whole * 100 / time.Duration(r.PaceNow())
	took := r.ProgressedAt.Sub(r.Since)
	var rest time.Duration
	switch {
	case r.State == ledger.Running && r.FromStart() && r.Percent >= minProgress && took >= minProgressTime:
		rest = took*time.Duration(100-r.Percent)/time.Duration(r.Percent) - now.Sub(r.ProgressedAt)
	case whole == 0:
		return 0, false
	case r.State == ledger.Running && r.Percent > 0:
		rest = whole*time.Duration(100-r.Percent)/100 - now.Sub(r.ProgressedAt)
	default:
		rest = whole - now.Sub(r.Since)
	}
	if rest < 0 {
		// The longer a run is overdue, the longer it goes on: few tasks take many times as
		// long as the others.
		rest = -rest
	}
	return rest, true
}

// isFar reports whether a run works away from the data of its task.
func (p *planner) isFar(r *ledger.Run) bool {
	rack := r.Task.Step.Spec.DataRack
	return rack != "" && p.locality.farFactor > 0 && !slices.Contains(r.Node.Executor.Labels, rack)
}

// observeDone learns from a run that has done its task. Where the run was slowed down by
// its place in a way that is not known exactly, it is left out.
func (p *planner) observeDone(r *ledger.Run, worked time.Duration) {
	s := r.Task.Step
	if s.Spec.SameRack && s.Spec.Count > 1 {
		return // slower if its step ran on several racks
	}
	if p.isFar(r) {
		worked = time.Duration(float64(worked) / p.locality.farFactor)
	}
	p.durations.Observe(durations.ClassOf(s.Job.Queue, s.Spec), s.Spec.Estimate, worked)
}

// rackOf returns the label of the rack of an executor. The platform lists the kind of the
// executor first and its rack last; without both the rack is not known.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[len(labels)-1]
}

// sharedRack returns the rack that tasks of a step with SameRack prefer: that of its runs
// or, before the first one, the rack with the most room among those where the whole step
// fits. It returns "" if there is none.
func (p *planner) sharedRack(r ledger.ReadyStep, vms []*place.VM, now time.Time) string {
	if !prefersOneRack(r.Step.Spec, p.locality.farFactor) {
		return ""
	}
	rack, runs := "", false
	for _, t := range r.Step.Tasks {
		if t.Current == nil {
			continue
		}
		if of := rackOf(t.Current.Node.Executor.Labels); runs && of != rack {
			return "" // it is on several racks already
		} else {
			rack, runs = of, true
		}
	}
	if runs {
		return rack
	}
	task := p.describeTask(r.Tasks[0], now)
	return rackWithRoom(&task, vms, r.Step.Left, p.estimator.DisturbanceProbability)
}

// prefersOneRack reports whether the tasks of a step go to one rack if it has room.
func prefersOneRack(s *fleet.Step, farFactor float64) bool {
	return farFactor > 0 && s.SameRack && s.Count >= 2 && !s.Lasting && s.DataRack == ""
}

// rackWithRoom returns the rack with the most room for tasks of a kind among those where n
// of them fit, or "" if there is none.
func rackWithRoom(task *place.Task, vms []*place.VM, n int, interference place.Interference) string {
	room := map[string]int{}
	for _, vm := range vms {
		if name := rackOf(vm.Labels); name != "" && place.Fits(task, vm, interference) {
			room[name] += tasksThatFit(task, vm)
		}
	}
	rack := ""
	for name, fit := range room {
		if fit >= n && (rack == "" || fit > room[rack] || fit == room[rack] && name < rack) {
			rack = name
		}
	}
	return rack
}

// tasksThatFit returns how many such tasks a VM has room for if it has room for one.
func tasksThatFit(task *place.Task, vm *place.VM) int {
	n, free := int64(task.Count), vm.Capacity.Sub(vm.Reserved)
	if task.Fills {
		free.MilliCPU = vm.Spare()
	}
	for _, r := range [...]struct{ need, free int64 }{
		{task.Need.MilliCPU, free.MilliCPU}, {task.Need.MemoryMB, free.MemoryMB}, {task.Need.Accelerators, free.Accelerators},
	} {
		if r.need > 0 {
			n = min(n, r.free/r.need)
		}
	}
	if task.MaxPerVM > 0 {
		n = min(n, int64(task.MaxPerVM-vm.Steps[task.Key]))
	}
	return int(max(1, n))
}

// reportPlacement counts the start of a task that names the rack of its data, and logs a
// wait in vain unless another one was logged within waitLogInterval.
func (l *Leader) reportPlacement(pl placement) {
	m := l.opts.Metrics
	m.set.Counter([...]string{"near_at_once", "far_at_once", "near_after_wait", "far_after_wait"}[pl.outcome]).Add(1)
	m.set.Counter("near_wait_ms").Add(pl.waited.Milliseconds())
	if pl.outcome != farAfterWait {
		return
	}
	if now := time.Now(); now.Sub(l.vainLogged) >= waitLogInterval {
		l.opts.Log.Info("Waited in vain for a VM beside the data.", "task", pl.task, "rack", pl.rack, "took", pl.waited.Round(time.Millisecond),
			"gain", pl.gain.Round(time.Millisecond), "more", l.vainUnlogged, "term", l.term)
		l.vainLogged, l.vainUnlogged = now, 0
		return
	}
	l.vainUnlogged++
}
