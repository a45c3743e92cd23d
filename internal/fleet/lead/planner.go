package lead

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/durations"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/fleet/probation"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// Parameters of the planner. fleet.Step describes lasting, serving and filling
// tasks.
const (
	// assumedUtilization is the share of its CPU reservation that a lasting task is
	// assumed to use.
	assumedUtilization = 0.55
	// forceAfter is how long a filling task waits for idle CPU before it may be
	// placed where it gets somewhat less than it asks for, and any task before it may be
	// placed on a VM on which many runs have failed: a lasting one, which has no limit of
	// attempts, beside others, and any other as a trial (ledger.Node.Trials).
	forceAfter = 1500 * time.Millisecond
	// overdueAfter is how long a filling task waits before any idle CPU is enough for it.
	// Nothing reserves CPU for a large one while smaller ones come and go.
	overdueAfter = time.Minute
	// minRunBeforeMove is how long a filling task must have run before it is moved:
	// a stop and a restart cost about 0.3 s of work.
	minRunBeforeMove = 400 * time.Millisecond
	// fillingOnlyInterval is the interval at which the VMs kept for filling tasks
	// are selected again.
	fillingOnlyInterval = 250 * time.Millisecond
	// maxPause is how long a filling task may be paused (at pace 0) before it
	// is stopped to free its memory.
	maxPause = 1 * time.Second
	// preemptInterval is the minimum interval between preemptions: a stop takes up
	// to a second.
	preemptInterval = 300 * time.Millisecond
	// maxPreemptSearches bounds the searches of one plan for tasks to preempt: each
	// looks at every run of the fleet. Lasting tasks have as many of their own: short tasks
	// come first and may fit nowhere.
	maxPreemptSearches = 8
	// clearInterval is the minimum interval between moves of lasting tasks off the
	// VMs kept for filling tasks.
	clearInterval = 700 * time.Millisecond
)

// planner starts, moves and preempts the tasks of a ledger. Package place chooses
// the VMs, package tail the paces of filling tasks.
type planner struct {
	ledger    *ledger.Ledger
	policy    func(*ledger.Job) fleet.Policy
	estimator *tail.Estimator
	// toMove holds the filling runs that disturb serving tasks. The next plan moves
	// those that another VM can take.
	toMove    map[*ledger.Run]struct{}
	lastClear time.Time // last search for a lasting task to move
	cache     map[string]*vmCacheEntry
	budget    startBudget
	// holdsSpec reports whether a start of a job on a VM is ordered without its spec.
	holdsSpec      func(vm, job string) bool
	orderedSpecs   map[specKey]struct{} // ordered by the current plan
	lastPreemption time.Time            // last preemption
	lastMark       time.Time            // last selection of the VMs kept for filling tasks
	sizes          probation.Groups     // of the groups in which suspects start
	suspectGroups  []startedGroup       // whose end is not known
	waits          *waits               // nil: long waits are not logged
	durations      *durations.Model
	locality       *locality
}

// newPlanner returns a planner of the tasks of a ledger. The functions are those of the
// fields policy and holdsSpec.
func newPlanner(l *ledger.Ledger, policy func(*ledger.Job) fleet.Policy, budget startBudget, holdsSpec func(vm, job string) bool) planner {
	return planner{
		ledger: l, policy: policy, estimator: tail.NewEstimator(), toMove: map[*ledger.Run]struct{}{},
		cache: map[string]*vmCacheEntry{}, budget: budget, holdsSpec: holdsSpec, orderedSpecs: map[specKey]struct{}{},
		durations: durations.New(), locality: newLocality(0, nil),
	}
}

// vmCacheEntry caches the place.VM of a node. It is valid while the node and its
// change count are the same.
type vmCacheEntry struct {
	vm      *place.VM
	node    *ledger.Node // a VM that is removed and registers again gets a new node
	changes uint64
}

// describes reports whether the entry, which may be nil, is valid for a node.
func (e *vmCacheEntry) describes(n *ledger.Node) bool {
	return e != nil && e.node == n && e.changes == n.Changes()
}

// plan stops and moves tasks where needed, then starts the ready tasks that fit on
// a VM.
func (p *planner) plan(now time.Time) {
	defer p.reportWaits(now)
	p.evictDraining()
	ready := p.ledger.ReadySteps(now)
	if len(ready) == 0 && len(p.toMove) == 0 {
		return
	}
	vms, nodes := p.eligibleVMs(now)
	if now.Sub(p.lastMark) > fillingOnlyInterval {
		p.lastMark = now
		place.MarkFillingOnly(vms)
	}
	p.clearFillingOnly(vms, nodes, now)
	p.moveRuns(vms, now)
	if len(vms) == 0 {
		return
	}
	p.sortReady(ready, now)
	clear(p.orderedSpecs)
	failed := place.Failed{}
	p.locality.begin(failed, now)
	p.startSuspects(ready, vms, nodes, failed, now)
	searches := map[bool]int{} // by whether for a lasting task
	for _, r := range ready {
		left := p.startTasks(r, vms, nodes, failed, now)
		p.locality.addUnplaced(left, r)
		if left == nil || left.Fills || searches[left.Lasting] == maxPreemptSearches {
			continue
		}
		searches[left.Lasting]++
		p.preempt(left, r.Step, vms, nodes, now)
	}
}

// startTasks starts the ready tasks of a step until one of them fits on no VM. It
// returns that one, or nil. It starts none while the budget is spent; the tick plans
// again.
func (p *planner) startTasks(r ledger.ReadyStep, vms []*place.VM, nodes []*ledger.Node, failed place.Failed, now time.Time) *place.Task {
	var ranking *place.Ranking
	var ranked place.Task // the task that ranking is for
	use := expectedUse(r.Step.Spec)
	rack := p.sharedRack(r, vms, now)
	for _, t := range r.Tasks {
		if t.Suspect() {
			continue
		}
		if !p.budget.open(now, r.Step.Spec.Lasting) {
			return nil
		}
		task := p.describeTask(t, now)
		task.DataRack = cmp.Or(task.DataRack, rack)
		if ranking == nil || task != ranked {
			if failed.Covers(&task) {
				return &task
			}
			ranked = task
			ranking = place.Rank(&ranked, vms, p.estimator.DisturbanceProbability)
		}
		if p.waitsForNear(t, &task, ranking.Best(), vms, nodes, now) {
			continue
		}
		i := ranking.Take(use)
		if i < 0 {
			failed.Add(&task)
			return &task
		}
		p.budget.spend(now, p.payload(t, nodes[i].Name))
		p.ledger.Start(t, nodes[i], "", now)
	}
	return nil
}

// specKey identifies the spec of a job on its way to a VM.
type specKey struct{ vm, job string }

// payload returns the bytes of the spec and the checkpoint in the order to start a
// task on a VM.
func (p *planner) payload(t *ledger.Task, vm string) int {
	n := len(t.Checkpoint)
	key := specKey{vm, t.ID.Job}
	if _, ordered := p.orderedSpecs[key]; !ordered && !p.holdsSpec(vm, t.ID.Job) {
		p.orderedSpecs[key] = struct{}{}
		n += len(t.Step.Job.Spec)
	}
	return n
}

// preempt stops filling tasks of lower priority to free the memory that a task
// needs, on the VM where the fewest have to be stopped.
func (p *planner) preempt(task *place.Task, step *ledger.Step, vms []*place.VM, nodes []*ledger.Node, now time.Time) {
	if now.Sub(p.lastPreemption) < preemptInterval {
		return
	}
	priority := p.policy(step.Job).Priority
	if !task.Lasting { // a trial is not worth the work of others
		unforced := *task
		unforced.Forced = false
		task = &unforced
	}
	var best []*ledger.Run
	for i, vm := range vms {
		runs := p.victims(task, vm, nodes[i], priority, now)
		if len(runs) > 0 && (best == nil || len(runs) < len(best)) {
			best = runs
		}
	}
	for _, r := range best {
		p.ledger.Displace(r, "preempted by a task of "+step.Job.ID, now)
		p.lastPreemption = now
	}
}

// victims returns the filling runs of a VM to stop, slowest first, so that a task
// fits into its memory. It returns none if stopping all of them is not enough, or
// if the task does not fit for another reason.
func (p *planner) victims(task *place.Task, vm *place.VM, n *ledger.Node, priority int, now time.Time) []*ledger.Run {
	without := *vm
	without.Reserved.MemoryMB = 0
	if !place.Fits(task, &without, p.estimator.DisturbanceProbability) {
		return nil
	}
	missing := vm.Reserved.MemoryMB + task.Need.MemoryMB - vm.Capacity.MemoryMB
	var runs []*ledger.Run
	for _, r := range n.Runs {
		if r.Task == nil {
			continue
		}
		lower := p.policy(r.Task.Step.Job).Priority > priority
		if r.State == ledger.Stopping {
			missing -= r.Task.Step.Spec.Need.MemoryMB // about to be freed
		} else if lower && r.Task.Step.Spec.Fills {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *ledger.Run) int {
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), b.Since.Compare(a.Since), cmp.Compare(a.ID.String(), b.ID.String()))
	})
	runs = p.ledger.Displaceable(runs, now)
	for i, r := range runs {
		if missing <= 0 {
			return runs[:i]
		}
		missing -= r.Task.Step.Spec.Need.MemoryMB
	}
	if missing > 0 {
		return nil
	}
	return runs
}

// expectedUse returns the CPU that a task of the step is expected to use, in
// thousandths of a core.
func expectedUse(s *fleet.Step) int64 {
	if s.Lasting {
		return int64(assumedUtilization * float64(s.Need.MilliCPU))
	}
	return s.Need.MilliCPU
}

// describeTask describes a task of the ledger for placement.
func (p *planner) describeTask(t *ledger.Task, now time.Time) place.Task {
	s := t.Step.Spec
	out := newTask(s, ledger.StepKeyOf(t.ID), p.policy(t.Step.Job).Pool, p.locality.farFactor)
	waited := now.Sub(t.ReadySince)
	out.Forced, out.Overdue = waited > forceAfter, s.Fills && waited > overdueAfter
	if t.EndedRun > 0 {
		out.AvoidName = t.LastNode
	}
	return out
}

// newTask describes a task that has just become ready and never ran for placement.
func newTask(s *fleet.Step, key place.StepKey, pool string, farFactor float64) place.Task {
	return place.Task{
		Key: key, Pool: pool, Need: s.Need, Fills: s.Fills, Lasting: s.Lasting, Count: s.Count, Image: s.Image,
		Label: s.Label, DataRack: s.DataRack, FarFactor: farFactor, MaxPerVM: s.MaxPerVM,
	}
}

// eligibleVMs returns the VMs that may take tasks, those with recent lists that are
// neither draining nor in an evacuated failure domain, and their nodes in the same order.
func (p *planner) eligibleVMs(now time.Time) ([]*place.VM, []*ledger.Node) {
	vms := make([]*place.VM, 0, len(p.ledger.Nodes))
	nodes := make([]*ledger.Node, 0, len(p.ledger.Nodes))
	for name, n := range p.ledger.Nodes {
		if p.ineligibility(n, now) != "" {
			continue
		}
		vms = append(vms, p.cachedVM(name, n, now))
		nodes = append(nodes, n)
	}
	place.SetMedianTrouble(vms)
	return vms, nodes
}

// Reasons why a VM takes no tasks whatever they need.
const (
	silentVM    = "silent" // no recent lists
	drainingVM  = "draining"
	leavingVM   = "leaving" // said to leave, and silent since then
	lapsedVM    = "lapsed"  // every lease has expired, so that its executor refuses starts
	heldVM      = "held"    // its starts wait for a confirmation of the term
	evacuatedVM = "evacuated"
)

// ineligibility returns why a VM takes no tasks, or "" if it may.
func (p *planner) ineligibility(n *ledger.Node, now time.Time) string {
	switch {
	case !n.Listed || now.Sub(n.ListedAt) > ledger.MaxListAge:
		return silentVM
	case n.Executor.Draining:
		return drainingVM
	case n.Leaving:
		return leavingVM
	case n.InLapse():
		return lapsedVM
	case !n.MayStart():
		return heldVM
	case p.ledger.IsEvacuated(n):
		return evacuatedVM
	default:
		return ""
	}
}

// clearFillingOnly stops one lasting task on a VM that is kept for filling tasks if
// it fits on another VM. The task is unavailable until it has started up there, which is not
// worth what a step may miss.
func (p *planner) clearFillingOnly(vms []*place.VM, nodes []*ledger.Node, now time.Time) {
	if now.Sub(p.lastClear) < clearInterval {
		return
	}
	p.lastClear = now
	for i, vm := range vms {
		if !vm.FillingOnly || vm.Lasting == 0 {
			continue
		}
		for _, r := range nodes[i].Runs {
			if r.Task == nil || !r.Task.Step.Spec.Lasting || r.State != ledger.Running || r.Percent < ledger.StartedUpPercent || r.Task.Step.Spec.MaxUnavailable > 0 {
				continue
			}
			task := p.describeTask(r.Task, now)
			task.Forced = false // it does not wait
			if to := place.Choose(&task, vms, p.estimator.DisturbanceProbability); to >= 0 && !vms[to].FillingOnly {
				p.ledger.Displace(r, "VM is kept for filling tasks", now)
				return
			}
		}
	}
}

// cachedVM returns the VM of a node, from the cache unless the node has changed.
func (p *planner) cachedVM(name string, n *ledger.Node, now time.Time) *place.VM {
	known := p.cache[name]
	if !known.describes(n) {
		fillingOnly := known != nil && known.vm.FillingOnly
		known = &vmCacheEntry{vm: p.describeVM(n, now), node: n, changes: n.Changes()}
		known.vm.FillingOnly = fillingOnly
		p.cache[name] = known
	}
	known.vm.Trouble, known.vm.Trials = n.TroubleAt(now), n.Trials(now)
	return known.vm
}

// describeVM describes a node for placement, with the reservations of its runs.
func (p *planner) describeVM(n *ledger.Node, now time.Time) *place.VM {
	vm := n.Describe()
	vm.Closed = n.Probation()
	for _, r := range n.Runs {
		if r.Task == nil {
			// The resources of an unwanted run are unknown: treat the VM as full
			// until the run has ended.
			vm.Reserved = vm.Capacity
			continue
		}
		s := r.Task.Step.Spec
		// Without Lasting, Take does not add the task to Serving; it is added below,
		// with its tail latency.
		t := place.Task{Key: ledger.StepKeyOf(r.ID), Need: s.Need, Fills: s.Fills, MaxPerVM: s.MaxPerVM}
		vm.Take(&t, expectedUse(s))
		if s.Lasting {
			vm.Jobs[r.ID.Job]++
			vm.Lasting += s.Need.MilliCPU
		}
	}
	vm.Starting, vm.Trouble, vm.Trials = n.StartingRuns(), n.TroubleAt(now), n.Trials(now)
	_, _, serving := tasksOf(n, now)
	for _, s := range serving {
		vm.Serving = append(vm.Serving, place.ServingTask{Image: s.Image, Level: float64(s.Tail) / float64(s.Target)})
	}
	return &vm
}

// tasksOf returns the filling runs of a VM, the matching descriptions for package
// tail in the same order, and the serving tasks. Runs being stopped are left out.
func tasksOf(n *ledger.Node, now time.Time) ([]*ledger.Run, []tail.Filling, []tail.Serving) {
	var runs []*ledger.Run
	var filling []tail.Filling
	var serving []tail.Serving
	for _, r := range n.Runs {
		if r.Task == nil || r.State == ledger.Stopping {
			continue
		}
		s := r.Task.Step.Spec
		if s.Fills {
			runs = append(runs, r)
			filling = append(filling, tail.Filling{Image: s.Image, PaceAge: now.Sub(r.PaceSince), Cores: float64(s.Need.MilliCPU) / 1000, Pace: r.PaceNow()})
		}
		if s.TailTarget > 0 {
			serving = append(serving, tail.Serving{ID: r.ID.String(), Group: r.ID.Job, Image: s.Image, Target: s.TailTarget, Tail: tailLatency(r)})
		}
	}
	return runs, filling, serving
}

// tailLatency returns the latest tail latency of a serving task, or 0 while it starts up.
func tailLatency(r *ledger.Run) time.Duration {
	if r.Percent < ledger.StartedUpPercent {
		return 0
	}
	return time.Duration(r.Reading) * time.Millisecond
}

// applyReport passes the tail latencies of the latest lists of a VM to package tail, and
// applies its advice: it sets the paces of the filling tasks, stops those paused
// too long and notes those to be moved.
func (p *planner) applyReport(n *ledger.Node, now time.Time) {
	runs, filling, serving := tasksOf(n, now)
	p.estimator.Observe(n.Name, filling, serving, now)
	for i, advice := range p.estimator.Advise(filling, serving) {
		if r := runs[i]; advice.Pace == 0 && r.Pace == 0 && now.Sub(r.PaceSince) > maxPause {
			if p.ledger.Displace(r, "paused for too long, others need its memory", now) {
				continue
			}
		}
		p.ledger.Pace(runs[i], advice.Pace, now)
		if advice.Move && now.Sub(runs[i].Since) > minRunBeforeMove {
			p.toMove[runs[i]] = struct{}{}
		}
	}
}

// moveRuns stops the runs in toMove that fit on another VM at full pace. Later plans
// start them again.
func (p *planner) moveRuns(vms []*place.VM, now time.Time) {
	for r := range p.toMove {
		if r.State != ledger.Running || r.Task == nil {
			continue
		}
		task := p.describeTask(r.Task, now)
		task.Forced, task.Overdue = false, false
		for _, vm := range vms {
			if vm.Name != r.Node.Name && place.Fits(&task, vm, p.estimator.DisturbanceProbability) {
				if p.ledger.Displace(r, "disturbs tasks that serve", now) {
					vm.Take(&task, 0)
					delete(p.cache, vm.Name) // the reservation is for this plan only
				}
				break
			}
		}
	}
	clear(p.toMove)
}

// evictDraining stops the tasks on draining VMs that can continue elsewhere:
// lasting ones and those with checkpoints.
func (p *planner) evictDraining() {
	for _, n := range p.ledger.Nodes {
		if !n.Executor.Draining || !n.Listed {
			continue
		}
		for _, r := range n.Runs {
			if r.Task != nil && (r.Task.Step.Spec.Lasting || r.Task.Step.Spec.Checkpoints) {
				p.ledger.Evict(r)
			}
		}
	}
}
