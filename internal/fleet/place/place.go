// Package place chooses VMs for tasks by a score. It has no I/O and knows neither
// executors nor the store.
//
// The score is meant for a load of three kinds: lasting tasks that serve requests
// and reserve most of the CPU, filling tasks that use what those leave, and
// short tasks that arrive in bursts.
package place

import (
	"cmp"
	"slices"

	"vanillalock.example/vanillalock/internal/structs"
)

// StepKey identifies a step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// VM describes a VM as a candidate for a task. Busy, Lasting and Filling are in
// thousandths of a core.
//
// The JSON form is that of a recorded state. It is for the placement of new jobs, for
// which Steps and Jobs have nothing.
type VM struct {
	Name          string            `json:"name"`
	Pool          string            `json:"pool"`
	Labels        []string          `json:"labels,omitempty"`
	Capacity      structs.Resources `json:"capacity"`
	Reserved      structs.Resources `json:"reserved"`                 // CPU of all but the filling tasks; memory and accelerators of all tasks
	Busy          int64             `json:"busy,omitempty"`           // estimated use by all but the filling tasks
	Lasting       int64             `json:"lasting,omitempty"`        // reserved by lasting tasks
	Filling       int64             `json:"filling,omitempty"`        // wanted by filling tasks
	Serving       []ServingTask     `json:"serving,omitempty"`        // serving tasks on the VM
	FillingOnly   bool              `json:"filling_only,omitempty"`   // kept free of serving tasks, where possible
	Closed        bool              `json:"closed,omitempty"`         // takes no further tasks for now
	Tasks         int               `json:"tasks,omitempty"`          // number of tasks
	Starting      int               `json:"starting,omitempty"`       // number of tasks that have just been started
	Trouble       float64           `json:"trouble,omitempty"`        // decaying count of recently failed and refused runs
	MedianTrouble float64           `json:"median_trouble,omitempty"` // median Trouble of the pool
	Trials        int               `json:"trials,omitempty"`         // further tasks that it takes from forced ones, other than lasting, while it is excluded
	medians       kindMedians       // median Trouble of the VMs of some kinds
	Steps         map[StepKey]int   `json:"-"` // number of tasks, by step; only of steps with a MaxPerVM
	Jobs          map[string]int    `json:"-"` // number of lasting tasks, by job
}

// ServingTask is a serving task on a VM.
type ServingTask struct {
	Image string  `json:"image"`
	Level float64 `json:"level"` // tail latency as a share of the target
}

// Interference returns the probability that a filling image disturbs a serving one.
type Interference func(serving, filling string) float64

// Task is a task to be placed.
type Task struct {
	Key       StepKey
	Pool      string
	Need      structs.Resources
	Fills     bool // uses the CPU that other tasks leave, and reserves none
	Lasting   bool // runs until it is cancelled
	Count     int  // number of tasks of the step
	Image     string
	Label     string  // label that the VM must have
	DataRack  string  // label of the rack that holds the task's data
	FarFactor float64 // ratio of the run time on other racks to that on DataRack; 0: not known
	MaxPerVM  int     // largest number of tasks of the step on a VM; 0: no limit
	AvoidName string  // VM of the last run, if that did not end well
	Isolated  bool    // goes where the fewest other tasks start and run
	Forced    bool    // has waited long: accepts a VM with much Trouble (as a trial unless Lasting), or less CPU than it wants
	Overdue   bool    // a filling task that has waited very long: accepts any idle CPU
}

// Weights of the score in cores: how many free cores offset one unit of each.
const (
	troubleCores     = 16.0   // one unit of Trouble; such a VM is chosen once the others are nearly full
	farCores         = 24.0   // a VM outside of DataRack, where the task takes 1.5 times as long
	sameJobCores     = 4.0    // each task of the same service on the VM, as they are lost together
	halfJobCores     = 200.0  // more than half of a service on the VM
	avoidCores       = 100.0  // the VM of AvoidName
	harmCores        = 60.0   // a serving task that is certainly disturbed
	sameImageBonus   = 16.0   // bonus: the VM serves the image already; few filling images disturb a VM with one serving image
	otherImageCores  = 8.0    // each serving task of another image on the VM
	fillingOnlyCores = 500.0  // a VM that is kept for filling tasks, for a lasting task
	excludedCores    = 2000.0 // a VM with too much Trouble, for a lasting task that is forced
	isolationCores   = 1000.0 // each task on the VM, for a task to be isolated
	startingTasks    = 50.0   // tasks that count as much for that as one that starts
	noServingBonus   = 30.0   // bonus: a VM without serving tasks, for a filling task
	milli            = 1000.0
	// defaultFarFactor is the factor that farCores is meant for.
	defaultFarFactor = 1.5
)

// Limits of the disturbance of serving tasks.
const (
	maxInterference = 0.4  // probability of a disturbance above which a filling task is kept apart
	busyLevel       = 0.55 // level above which a serving task is too loaded to try an unknown filling image beside it
	// trustedInterference is the probability of a disturbance up to which a filling
	// image counts as harmless.
	trustedInterference = 0.1
)

// MaxTrouble is the largest Trouble over the median of the VMs that a task may use at which a
// VM still gets tasks.
const MaxTrouble = 3.0

// minComparable is the smallest number of VMs with a label or with accelerators whose median
// Trouble tells failing tasks from failing VMs.
const minComparable = 3

// vmKind is what tasks may require of VMs of which there are few.
type vmKind struct {
	pool, label  string
	accelerators bool
}

// kindMedians holds the median Trouble of the VMs of kinds.
type kindMedians map[vmKind]float64

// SetMedianTrouble sets the median Trouble of its pool, and of the VMs of its kinds in it, on
// each VM. A task that fails on most VMs fails through its own fault, which must not exclude
// all VMs that it and others may use.
func SetMedianTrouble(vms []*VM) {
	pools := map[string][]float64{}
	most := 0.0
	for _, vm := range vms {
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = make([]float64, 0, len(vms))
		}
		pools[vm.Pool] = append(pools[vm.Pool], vm.Trouble)
		most = max(most, vm.Trouble)
	}
	for _, troubles := range pools {
		slices.Sort(troubles)
	}
	var medians kindMedians
	if most > MaxTrouble { // else no VM is excluded
		medians = mediansByKind(vms)
	}
	for _, vm := range vms {
		troubles := pools[vm.Pool]
		vm.MedianTrouble, vm.medians = troubles[len(troubles)/2], medians
	}
}

// mediansByKind returns the median Trouble of the VMs of each kind of which there are enough.
func mediansByKind(vms []*VM) kindMedians {
	troubles := map[vmKind][]float64{}
	for _, vm := range vms {
		add := func(label string) {
			k := vmKind{vm.Pool, label, false}
			troubles[k] = append(troubles[k], vm.Trouble)
			if vm.Capacity.Accelerators > 0 {
				k.accelerators = true
				troubles[k] = append(troubles[k], vm.Trouble)
			}
		}
		add("")
		for _, label := range vm.Labels {
			add(label)
		}
	}
	medians := kindMedians{}
	for k, of := range troubles {
		if len(of) >= minComparable && (k.label != "" || k.accelerators) {
			slices.Sort(of)
			medians[k] = of[(len(of)-1)/2]
		}
	}
	return medians
}

// Choose returns the index of the VM with the best score for a task, or -1 if the
// task fits on none.
func Choose(t *Task, vms []*VM, interference Interference) int {
	best, bestScore := -1, 0.0
	for i, vm := range vms {
		if !Fits(t, vm, interference) {
			continue
		}
		if s := score(t, vm, interference).Total(); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// filter is a reason why a VM may not run a task.
type filter uint8

// Filters in the order in which they are checked. Those up to filterAccelerators are the
// requirements.
const (
	noFilter filter = iota // the VM may run the task
	filterPool
	filterLabel
	filterPerVM
	filterCPU
	filterMemory
	filterAccelerators
	filterClosed
	filterTrouble
	filterInterference
)

// String returns the requirement as it appears in log lines.
func (f filter) String() string {
	return [...]string{"", "another pool", "label missing", "limit per VM", "no CPU", "no memory", "no accelerator", "closed", "trouble", "interference"}[f]
}

// UnmetRequirement returns the first requirement of a task that a VM does not meet, or "" if
// it meets all: pool, label, limit per VM and capacity. They hold whenever the task starts
// there, for a first start as for one that is repeated; the other filters only choose among
// VMs.
func UnmetRequirement(t *Task, vm *VM) string { return unmetRequirement(t, vm).String() }

func unmetRequirement(t *Task, vm *VM) filter {
	with := ReservedWith(t, vm.Reserved)
	switch {
	case vm.Pool != t.Pool:
		return filterPool
	case t.Label != "" && !slices.Contains(vm.Labels, t.Label):
		return filterLabel
	case t.MaxPerVM > 0 && vm.Steps[t.Key] >= t.MaxPerVM:
		return filterPerVM
	case with.MilliCPU > vm.Capacity.MilliCPU:
		return filterCPU
	case with.MemoryMB > vm.Capacity.MemoryMB:
		return filterMemory
	case with.Accelerators > vm.Capacity.Accelerators:
		return filterAccelerators
	default:
		return noFilter
	}
}

// Fits reports whether a VM may run the task.
func Fits(t *Task, vm *VM, interference Interference) bool {
	return firstFilter(t, vm, interference) == noFilter
}

// firstFilter returns the first filter that keeps the task off a VM.
func firstFilter(t *Task, vm *VM, interference Interference) filter {
	if unmet := unmetRequirement(t, vm); unmet != noFilter {
		return unmet
	}
	switch {
	case vm.Closed:
		return filterClosed
	case vm.isExcluded(t) && !vm.takesForced(t):
		return filterTrouble
	case t.Fills && !hasIdleCPU(t, vm):
		return filterCPU
	case t.Fills && !isTolerable(t, vm, interference):
		return filterInterference
	default:
		return noFilter
	}
}

// maxOvercommit is the share of a VM's CPU by which the filling tasks of a VM may want
// more than is idle. The use by other tasks is an estimate. With more, all of them
// would be slow, and late, while the VM does no more work in all.
const maxOvercommit = 0.1

// hasIdleCPU reports whether a filling task finds enough idle CPU on a VM. A forced one
// may find somewhat less, or share a VM of which half is idle: a service that is half idle
// must not keep a job waiting because each VM runs something. An overdue one needs some idle
// CPU only, so that a VM bears one more task than its CPU at most.
func hasIdleCPU(t *Task, vm *VM) bool {
	spare := vm.Spare()
	missing := t.Need.MilliCPU - spare
	switch {
	case missing <= 0:
		return true
	case t.Overdue && spare > 0:
		return true
	case t.Forced:
		return vm.Filling == 0 || 2*spare >= vm.Capacity.MilliCPU || float64(missing) <= maxOvercommit*float64(vm.Capacity.MilliCPU)
	default:
		return false
	}
}

// isExcluded reports whether the VM has so much Trouble that only forced tasks like t go there.
func (vm *VM) isExcluded(t *Task) bool {
	median := max(vm.MedianTrouble, vm.medians[vmKind{t.Pool, t.Label, t.Need.Accelerators > 0}])
	return vm.Trouble > median+MaxTrouble
}

// takesForced reports whether a VM on which many runs have failed takes a task. A task with a
// limit of attempts goes there as a trial.
func (vm *VM) takesForced(t *Task) bool { return t.Forced && (t.Lasting || vm.Trials > 0) }

// isTolerable reports whether a filling task may run beside the serving tasks of
// a VM. None starts beside a task over its target, whatever the cause.
func isTolerable(t *Task, vm *VM, interference Interference) bool {
	for _, s := range vm.Serving {
		p := interference(s.Image, t.Image)
		if s.Level > 1 || p > maxInterference || s.Level > busyLevel && p > trustedInterference {
			return false
		}
	}
	return true
}

// ReservedWith returns the reservations of a VM with the task added.
func ReservedWith(t *Task, reserved structs.Resources) structs.Resources {
	need := t.Need
	if t.Fills {
		need.MilliCPU = 0
	}
	return reserved.Add(need)
}

// Spare returns the CPU, in thousandths of a core, that further filling tasks would
// get.
func (vm *VM) Spare() int64 {
	return vm.Capacity.MilliCPU - vm.Busy - vm.Filling
}

// Take adds the task to the VM. busy is its estimated CPU use in thousandths of a
// core, which counts unless it is a filling task. A lasting task counts as serving.
func (vm *VM) Take(t *Task, busy int64) {
	vm.Reserved = ReservedWith(t, vm.Reserved)
	vm.Tasks++
	vm.Starting++
	if !t.Lasting {
		vm.Trials--
	}
	if t.Fills {
		vm.Filling += t.Need.MilliCPU
	} else {
		vm.Busy += busy
	}
	if t.MaxPerVM > 0 {
		vm.Steps[t.Key]++
	}
	if t.Lasting {
		vm.Jobs[t.Key.Job]++
		vm.Lasting += t.Need.MilliCPU
		vm.Serving = append(vm.Serving, ServingTask{Image: t.Image})
	}
}

// Release removes a task that Take has added, as far as it concerns Reserved, Busy and
// Filling.
func (vm *VM) Release(t *Task, busy int64) {
	need := t.Need
	if t.Fills {
		vm.Filling -= need.MilliCPU
		need.MilliCPU = 0
	} else {
		vm.Busy -= busy
	}
	vm.Reserved = vm.Reserved.Sub(need)
}

// Score is the score of a VM for a task that fits on it, in cores, by its parts. Negative
// parts count against the VM.
type Score struct {
	Trouble     float64 `json:"trouble,omitempty"`
	Far         float64 `json:"far,omitempty"`       // outside of DataRack
	Avoid       float64 `json:"avoid,omitempty"`     // the last run did not end well there
	Isolation   float64 `json:"isolation,omitempty"` // other tasks, for a task to be isolated
	NoServing   float64 `json:"no_serving,omitempty"`
	FillingOnly float64 `json:"filling_only,omitempty"`
	Excluded    float64 `json:"excluded,omitempty"` // too much Trouble, for a forced task
	Room        float64 `json:"room,omitempty"`     // CPU that is left; of lasting tasks negative, as the fullest VM is best
	Harm        float64 `json:"harm,omitempty"`     // expected disturbance of serving tasks
	Spread      float64 `json:"spread,omitempty"`   // tasks of the same job
	Images      float64 `json:"images,omitempty"`   // serving tasks of the same image and of others
}

// Total returns the score; higher is better.
func (s Score) Total() float64 {
	return s.Trouble + s.Far + s.Avoid + s.Isolation + s.NoServing + s.FillingOnly + s.Excluded + s.Room + s.Harm + s.Spread + s.Images
}

// score returns the score of a VM for a task that fits on it.
func score(t *Task, vm *VM, interference Interference) Score {
	s := Score{Trouble: -troubleCores * vm.Trouble}
	if t.DataRack != "" && !slices.Contains(vm.Labels, t.DataRack) {
		s.Far = -farPenalty(t.FarFactor)
	}
	if vm.Name == t.AvoidName {
		s.Avoid = -avoidCores
	}
	if t.Isolated {
		s.Isolation = -isolationCores * (float64(vm.Tasks) + startingTasks*float64(vm.Starting))
	}
	free := float64(vm.Capacity.MilliCPU-vm.Reserved.MilliCPU) / milli
	switch {
	case t.Fills:
		if len(vm.Serving) == 0 {
			s.NoServing = noServingBonus
		}
		s.Room = float64(vm.Spare()) / milli
		s.Harm = -harmCores * expectedHarm(t, vm, interference)
	case t.Lasting:
		// The fullest VM is best, as filling tasks need VMs without serving tasks.
		if vm.FillingOnly {
			s.FillingOnly = -fillingOnlyCores
		}
		if vm.isExcluded(t) {
			s.Excluded = -excludedCores
		}
		s.Room = -free
		s.Spread = spreadScore(t, vm)
		s.Images = imageScore(t, vm)
	default:
		s.Room = free
	}
	return s
}

// farPenalty returns the cores that offset a start outside of DataRack, in proportion to
// the additional run time.
func farPenalty(farFactor float64) float64 {
	if farFactor <= 1 {
		return farCores
	}
	return farCores * (farFactor - 1) / (defaultFarFactor - 1)
}

// expectedHarm adds up the probabilities that a filling task disturbs the serving
// tasks of a VM. Those near their targets count twice.
func expectedHarm(t *Task, vm *VM, interference Interference) float64 {
	sum := 0.0
	for _, s := range vm.Serving {
		p := interference(s.Image, t.Image)
		if s.Level > busyLevel {
			p *= 2
		}
		sum += p
	}
	return sum
}

// spreadScore lowers the score of a VM that has lasting tasks of the same job, and
// further if the VM would have more than half of the step's tasks.
func spreadScore(t *Task, vm *VM) float64 {
	n := vm.Jobs[t.Key.Job]
	s := -sameJobCores * float64(n)
	if 2*(n+1) > t.Count {
		s -= halfJobCores
	}
	return s
}

// imageScore prefers VMs that serve the image of the task and no others.
func imageScore(t *Task, vm *VM) float64 {
	same, others := 0.0, 0.0
	for _, other := range vm.Serving {
		if other.Image == t.Image {
			same = sameImageBonus
		} else {
			others += otherImageCores
		}
	}
	return same - others
}

// Capacity that MarkFillingOnly leaves on the VMs that it does not mark.
const (
	packingRatio = 1.12 // ratio to the reservations of lasting tasks, which do not pack perfectly
	shortShare   = 0.06 // share of the capacity of the pool, for short tasks
)

// MarkFillingOnly marks the VMs that are kept free of serving tasks: the largest of
// each pool, as long as the rest can hold all lasting and short tasks. Filling
// tasks that disturb every serving image can run only there.
func MarkFillingOnly(vms []*VM) {
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b *VM) int {
		return cmp.Or(cmp.Compare(b.Capacity.MilliCPU, a.Capacity.MilliCPU), cmp.Compare(a.Name, b.Name))
	})
	left, need := map[string]float64{}, map[string]float64{}
	for _, vm := range order {
		vm.FillingOnly = false
		left[vm.Pool] += float64(vm.Capacity.MilliCPU)
		need[vm.Pool] += float64(vm.Lasting)*packingRatio + shortShare*float64(vm.Capacity.MilliCPU)
	}
	for _, vm := range order {
		if left[vm.Pool]-float64(vm.Capacity.MilliCPU) < need[vm.Pool] {
			continue
		}
		left[vm.Pool] -= float64(vm.Capacity.MilliCPU)
		vm.FillingOnly = true
	}
}
