package lead

import (
	"cmp"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// Figures of the plan.
const (
	// listsFresh is the age up to which the lists of a VM are good enough to
	// place on: agents send them every 0.4 s.
	listsFresh = 1200 * time.Millisecond
	// servingShare is the share of its reservation that a task that serves uses.
	servingShare = 0.55
	// forceAfter is how long a filling task waits for processors that are free
	// before it shares some.
	forceAfter = 1500 * time.Millisecond
	// moveAfter is how long a filling task has run before it is moved: a stop
	// and a restart cost about 0.3 s of work.
	moveAfter = 400 * time.Millisecond
	// markEvery spaces the choices of the VMs that are kept for filling tasks.
	markEvery = 250 * time.Millisecond
	// parkAfter is how long a filling task may stand still and keep its memory.
	parkAfter = 1 * time.Second
	// preemptEvery spaces preemptions: a stop takes up to a second.
	preemptEvery = 300 * time.Millisecond
	// clearEvery spaces the moves of tasks that last.
	clearEvery = 700 * time.Millisecond
	atWork     = 100 // percent of a task that lasts, once it has started up
)

// planner applies the choices of package place to a ledger.
type planner struct {
	ledger *ledger.Ledger
	policy func(*ledger.Job) fleet.Policy
	book   *tail.Book
	// displaced are the filling runs to be moved if another VM can take them.
	displaced map[*ledger.Run]struct{}
	cleared   time.Time // last look for a task that lasts and can be moved
	views     map[string]*view
	preempted time.Time // last preemption
	marked    time.Time // last choice of the VMs that are kept for filling tasks
}

// view is a VM as it was when its node had changed so often.
type view struct {
	vm      *place.VM
	node    *ledger.Node // a VM that was removed and is back is another node
	changes uint64
}

// plan starts the ready tasks for which there is a VM.
func (p *planner) plan(now time.Time) {
	p.leaveDraining()
	ready := p.ledger.Ready(now)
	if len(ready) == 0 && len(p.displaced) == 0 {
		return
	}
	vms, nodes := p.vms(now)
	if now.Sub(p.marked) > markEvery {
		p.marked = now
		place.MarkFillers(vms)
	}
	p.clearFillers(vms, nodes, now)
	p.move(vms, now)
	if len(vms) == 0 || len(ready) == 0 {
		return
	}
	p.order(ready)
	full := map[*ledger.Step]bool{} // steps of which a task has found no VM
	for _, t := range ready {
		if full[t.Step] {
			continue
		}
		task := p.task(t, now)
		i := place.Choose(&task, vms, p.book.Suspicion)
		if i < 0 {
			full[t.Step] = true
			if !task.Fills {
				p.preempt(&task, t, vms, nodes, now)
			}
			continue
		}
		vms[i].Take(&task, busy(t.Step.Spec))
		p.ledger.Start(t, nodes[i], "", now)
	}
}

// order sorts tasks by the priority of their queues, then by the age of their jobs.
func (p *planner) order(ready []*ledger.Task) {
	priority := map[*ledger.Job]int{}
	for _, t := range ready {
		if _, known := priority[t.Step.Job]; !known {
			priority[t.Step.Job] = p.policy(t.Step.Job).Priority
		}
	}
	slices.SortStableFunc(ready, func(a, b *ledger.Task) int {
		return cmp.Or(cmp.Compare(priority[a.Step.Job], priority[b.Step.Job]), a.Step.Job.Accepted.Compare(b.Step.Job.Accepted))
	})
}

// preempt stops filling tasks of a lower priority that hold the memory which a
// task needs, on the VM where the fewest have to go.
func (p *planner) preempt(task *place.Task, t *ledger.Task, vms []*place.VM, nodes []*ledger.Node, now time.Time) {
	if now.Sub(p.preempted) < preemptEvery {
		return
	}
	priority := p.policy(t.Step.Job).Priority
	var best []*ledger.Run
	for i, vm := range vms {
		runs := p.victims(task, vm, nodes[i], priority)
		if len(runs) > 0 && (best == nil || len(runs) < len(best)) {
			best = runs
		}
	}
	for _, r := range best {
		p.ledger.Stop(r, "preempted by "+t.ID.String())
		p.preempted = now
	}
}

// victims returns the filling runs of a VM, slowest first, whose memory makes
// room for a task; none if that is not enough.
func (p *planner) victims(task *place.Task, vm *place.VM, n *ledger.Node, priority int) []*ledger.Run {
	without := *vm
	without.Reserved.MemoryMB = 0
	if !place.Fits(task, &without, p.book.Suspicion) {
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
			missing -= r.Task.Step.Spec.Need.MemoryMB // it is on its way
		} else if lower && r.Task.Step.Spec.Fills {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *ledger.Run) int {
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), b.Since.Compare(a.Since), cmp.Compare(a.ID.String(), b.ID.String()))
	})
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

func busy(s *fleet.Step) int64 {
	if s.Lasting {
		return int64(servingShare * float64(s.Need.MilliCPU))
	}
	return s.Need.MilliCPU
}

func stepKey(id fleet.TaskID) place.StepKey {
	return place.StepKey{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}

func (p *planner) task(t *ledger.Task, now time.Time) place.Task {
	s := t.Step.Spec
	out := place.Task{
		Key: stepKey(t.ID), Pool: p.policy(t.Step.Job).Pool, Need: s.Need, Fills: s.Fills, Lasting: s.Lasting, Count: s.Count, Image: s.Image,
		Label: s.Label, DataRack: s.DataRack, MaxPerVM: s.MaxPerVM,
		Forced: s.Fills && now.Sub(t.ReadySince) > forceAfter,
	}
	if t.EndedRun > 0 {
		out.AvoidName = t.LastNode
	}
	return out
}

// vms returns the VMs that may take tasks.
func (p *planner) vms(now time.Time) ([]*place.VM, []*ledger.Node) {
	vms := make([]*place.VM, 0, len(p.ledger.Nodes))
	nodes := make([]*ledger.Node, 0, len(p.ledger.Nodes))
	for name, n := range p.ledger.Nodes {
		if !n.Listed || now.Sub(n.ListedAt) > listsFresh || n.Executor.Draining {
			continue
		}
		vms = append(vms, p.view(name, n, now))
		nodes = append(nodes, n)
	}
	place.MarkUsualTrouble(vms)
	return vms, nodes
}

// clearFillers stops one task that lasts on a VM that is kept for filling tasks,
// if it fits elsewhere. It is back after its start-up.
func (p *planner) clearFillers(vms []*place.VM, nodes []*ledger.Node, now time.Time) {
	if now.Sub(p.cleared) < clearEvery {
		return
	}
	p.cleared = now
	for i, vm := range vms {
		if !vm.Filler || vm.Lasting == 0 {
			continue
		}
		for _, r := range nodes[i].Runs {
			if r.Task == nil || !r.Task.Step.Spec.Lasting || r.State != ledger.Running || r.Percent < atWork || r.Task.Step.Spec.MayMiss > 0 {
				continue
			}
			task := p.task(r.Task, now)
			if to := place.Choose(&task, vms, p.book.Suspicion); to >= 0 && !vms[to].Filler {
				p.ledger.Stop(r, "VM is kept for filling tasks")
				return
			}
		}
	}
}

// view returns the VM of a node, made anew only if the node has changed.
func (p *planner) view(name string, n *ledger.Node, now time.Time) *place.VM {
	known := p.views[name]
	if known == nil || known.node != n || known.changes != n.Changes() {
		filler := known != nil && known.vm.Filler
		known = &view{vm: p.vm(name, n, now), node: n, changes: n.Changes()}
		known.vm.Filler = filler
		p.views[name] = known
	}
	known.vm.Trouble = n.TroubleAt(now)
	return known.vm
}

func (p *planner) vm(name string, n *ledger.Node, now time.Time) *place.VM {
	vm := &place.VM{
		Name: name, Pool: n.Executor.Pool, Labels: n.Executor.Labels,
		Capacity: n.Executor.Capacity, Trouble: n.TroubleAt(now),
		Steps: map[place.StepKey]int{}, Jobs: map[string]int{},
	}
	for _, r := range n.Runs {
		if r.Task == nil {
			// Its needs are not known; nothing is placed here until it has gone.
			vm.Reserved = vm.Capacity
			continue
		}
		s := r.Task.Step.Spec
		t := place.Task{Key: stepKey(r.ID), Need: s.Need, Fills: s.Fills, MaxPerVM: s.MaxPerVM}
		vm.Take(&t, busy(s))
		if s.Lasting {
			vm.Jobs[r.ID.Job]++
			vm.Lasting += s.Need.MilliCPU
		}
	}
	_, _, serving := tasksOf(n, now)
	for _, s := range serving {
		vm.Serving = append(vm.Serving, place.Served{Image: s.Image, Level: float64(s.Tail) / float64(s.Target)})
	}
	return vm
}

// tasksOf returns the filling runs of a VM, and its filling and serving tasks.
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
			filling = append(filling, tail.Filling{Image: s.Image, For: now.Sub(r.Paced), Cores: float64(s.Need.MilliCPU) / 1000, Pace: r.PaceNow()})
		}
		if s.TailTarget > 0 {
			serving = append(serving, tail.Serving{ID: r.ID.String(), Group: r.ID.Job, Image: s.Image, Target: s.TailTarget, Tail: tailOf(r)})
		}
	}
	return runs, filling, serving
}

// tailOf returns the newest tail latency of a task, or 0 while it starts up.
func tailOf(r *ledger.Run) time.Duration {
	if r.Percent < atWork {
		return 0
	}
	return time.Duration(r.Reading) * time.Millisecond
}

// listed learns from the newest lists of a VM and sets the pace of its filling
// tasks.
func (p *planner) listed(n *ledger.Node, now time.Time) {
	runs, filling, serving := tasksOf(n, now)
	p.book.Observe(n.Name, filling, serving, now)
	for i, advice := range p.book.Advise(filling, serving) {
		if r := runs[i]; advice.Pace == 0 && r.Pace == 0 && now.Sub(r.Paced) > parkAfter {
			p.ledger.Stop(r, "stands still, others need its memory")
			continue
		}
		p.ledger.Pace(runs[i], advice.Pace, now)
		if advice.Move && now.Sub(runs[i].Since) > moveAfter {
			p.displaced[runs[i]] = struct{}{}
		}
	}
}

// move stops the displaced runs that another VM may take at full pace.
func (p *planner) move(vms []*place.VM, now time.Time) {
	for r := range p.displaced {
		if r.State != ledger.Running || r.Task == nil {
			continue
		}
		task := p.task(r.Task, now)
		task.Forced = false
		for _, vm := range vms {
			if vm.Name != r.Node.Name && place.Fits(&task, vm, p.book.Suspicion) {
				vm.Take(&task, 0)
				delete(p.views, vm.Name) // the task is not there yet
				p.ledger.Stop(r, "disturbs tasks that serve")
				break
			}
		}
	}
	clear(p.displaced)
}

// leaveDraining stops what can go on elsewhere on VMs that are about to leave.
func (p *planner) leaveDraining() {
	for _, n := range p.ledger.Nodes {
		if !n.Executor.Draining || !n.Listed {
			continue
		}
		for _, r := range n.Runs {
			if r.Task != nil && (r.Task.Step.Spec.Lasting || r.Task.Step.Spec.Checkpoints) {
				p.ledger.Stop(r, "executor leaves")
			}
		}
	}
}
