// Package place chooses VMs for tasks. It is pure: it knows neither executors nor
// the store. It answers the load of a service whose lasting tasks reserve most
// processors, with filling tasks that take what is left of them and short tasks
// that come in bursts.
package place

import (
	"cmp"
	"slices"

	"vanillalock.example/vanillalock/internal/structs"
)

// StepKey names a step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// VM is a VM as the choice sees it.
type VM struct {
	Name     string
	Pool     string
	Labels   []string
	Capacity structs.Resources
	Reserved structs.Resources // processors of tasks that do not fill, memory and accelerators of all
	Busy     int64             // thousandths of a core in use by tasks that do not fill, estimated
	Lasting  int64             // thousandths of a core reserved by tasks that last
	Filling  int64             // thousandths of a core that the filling tasks want
	Serving  []Served          // tasks that serve
	Filler   bool              // kept free of tasks that serve, where possible
	Trouble  float64           // recent failures and refusals
	Usual    float64           // median of the troubles of its pool
	Steps    map[StepKey]int   // tasks by step
	Jobs     map[string]int    // tasks that last, by job
}

// Served is a task that serves, with the filling tasks of its VM beside it.
type Served struct {
	Image string
	Level float64 // its tail latency as a share of the target
}

// Press returns how likely a filling image disturbs a serving one, 0 to 1.
type Press func(serving, filling string) float64

// Task is a task to be placed.
type Task struct {
	Key       StepKey
	Pool      string
	Need      structs.Resources
	Fills     bool
	Lasting   bool
	Count     int // tasks of the step
	Image     string
	Label     string
	DataRack  string
	MaxPerVM  int
	AvoidName string // the VM of the last run that did not end well
	Forced    bool   // has waited long: a troubled VM, or fewer processors than it wants, will do
}

// Weights of the score, in cores: each states how many free cores make up for
// one unit of it.
const (
	troubleCores = 16.0  // a VM with one recent failure is taken once the others are nearly full
	farCores     = 24.0  // running far from the data costs half of the time again
	sameJobCores = 4.0   // two tasks of one service on a VM are lost together
	halfJobCores = 200.0 // the loss of one VM should leave half of a service
	avoidCores   = 100.0 // the VM on which the task has just failed
	harmCores    = 60.0  // a serving task that is certainly disturbed
	sameImage    = 16.0  // a VM that serves one image only is disturbed by few filling images
	otherImage   = 8.0   // each task of another image on the VM
	fillerCores  = 500.0 // a VM that is kept for filling tasks
	fillerBonus  = 30.0  // of a VM without tasks that serve, for a filling task
	milli        = 1000.0
)

// Disturbance of tasks that serve.
const (
	maxPress  = 0.4  // likelihood above which a filling task is kept apart
	busyLevel = 0.55 // share of the target above which a task is loaded too much for an unknown image
	// trustedPress is the likelihood below which an image is known as harmless.
	trustedPress = 0.1
)

// maxTrouble is the trouble over the usual one that keeps tasks off a VM.
const maxTrouble = 3.0

// MarkUsualTrouble gives each VM the median of the troubles of its pool. What
// fails on most VMs fails through its own fault, and must not keep all of them
// from being chosen.
func MarkUsualTrouble(vms []*VM) {
	pools := map[string][]float64{}
	for _, vm := range vms {
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = make([]float64, 0, len(vms))
		}
		pools[vm.Pool] = append(pools[vm.Pool], vm.Trouble)
	}
	for _, troubles := range pools {
		slices.Sort(troubles)
	}
	for _, vm := range vms {
		troubles := pools[vm.Pool]
		vm.Usual = troubles[len(troubles)/2]
	}
}

// Choose returns the index of the VM for a task, or -1 if none fits.
func Choose(t *Task, vms []*VM, press Press) int {
	best, bestScore := -1, 0.0
	for i, vm := range vms {
		if !Fits(t, vm, press) {
			continue
		}
		if s := score(t, vm, press); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Fits reports whether a VM may run the task.
func Fits(t *Task, vm *VM, press Press) bool {
	if vm.Pool != t.Pool || vm.Trouble > vm.Usual+maxTrouble && !t.Forced {
		return false
	}
	if t.Label != "" && !slices.Contains(vm.Labels, t.Label) {
		return false
	}
	if t.MaxPerVM > 0 && vm.Steps[t.Key] >= t.MaxPerVM {
		return false
	}
	if !Reserve(t, vm.Reserved).Fits(vm.Capacity) {
		return false
	}
	return !t.Fills || (t.Forced || vm.Spare() >= t.Need.MilliCPU) && bearable(t, vm, press)
}

// bearable reports whether the serving tasks of a VM bear a filling task.
func bearable(t *Task, vm *VM, press Press) bool {
	for _, s := range vm.Serving {
		p := press(s.Image, t.Image)
		if p > maxPress || s.Level > busyLevel && p > trustedPress {
			return false
		}
	}
	return true
}

// Reserve returns the reservations of a VM once it has the task.
func Reserve(t *Task, reserved structs.Resources) structs.Resources {
	need := t.Need
	if t.Fills {
		need.MilliCPU = 0
	}
	return reserved.Add(need)
}

// Spare returns the processors, in thousandths of a core, that further filling
// tasks would get.
func (vm *VM) Spare() int64 {
	return vm.Capacity.MilliCPU - vm.Busy - vm.Filling
}

// Take adds the task to the VM.
func (vm *VM) Take(t *Task, busy int64) {
	vm.Reserved = Reserve(t, vm.Reserved)
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
		vm.Serving = append(vm.Serving, Served{Image: t.Image})
	}
}

func score(t *Task, vm *VM, press Press) float64 {
	s := -troubleCores * vm.Trouble
	if t.DataRack != "" && !slices.Contains(vm.Labels, t.DataRack) {
		s -= farCores
	}
	if vm.Name == t.AvoidName {
		s -= avoidCores
	}
	free := float64(vm.Capacity.MilliCPU-vm.Reserved.MilliCPU) / milli
	switch {
	case t.Fills:
		if len(vm.Serving) == 0 {
			s += fillerBonus
		}
		return s + float64(vm.Spare())/milli - harmCores*harm(t, vm, press)
	case t.Lasting:
		// The fullest VM that fits: filling tasks do best beside none that serve.
		if vm.Filler {
			s -= fillerCores
		}
		return s - free + spread(t, vm) + company(t, vm)
	default:
		return s + free
	}
}

// harm adds up how likely a filling task disturbs the serving ones, more for
// those near their targets.
func harm(t *Task, vm *VM, press Press) float64 {
	sum := 0.0
	for _, s := range vm.Serving {
		p := press(s.Image, t.Image)
		if s.Level > busyLevel {
			p *= 2
		}
		sum += p
	}
	return sum
}

// spread lowers the score of a VM that has tasks of the same service.
func spread(t *Task, vm *VM) float64 {
	n := vm.Jobs[t.Key.Job]
	s := -sameJobCores * float64(n)
	if 2*(n+1) > t.Count {
		s -= halfJobCores
	}
	return s
}

// company compares the images that a VM serves with that of the task.
func company(t *Task, vm *VM) float64 {
	same, others := 0.0, 0.0
	for _, other := range vm.Serving {
		if other.Image == t.Image {
			same = sameImage
		} else {
			others += otherImage
		}
	}
	return same - others
}

// Shares of the fillers' choice.
const (
	packing    = 1.12 // capacity that tasks that serve need over their reservations, as they do not pack perfectly
	shortShare = 0.06 // of the capacity, for short tasks
)

// MarkFillers marks the VMs of a pool that are kept free of tasks that serve:
// the largest ones, as long as the others hold all of these. Filling tasks that
// disturb every image can only run there.
func MarkFillers(vms []*VM) {
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b *VM) int {
		return cmp.Or(cmp.Compare(b.Capacity.MilliCPU, a.Capacity.MilliCPU), cmp.Compare(a.Name, b.Name))
	})
	left, need := map[string]float64{}, map[string]float64{}
	for _, vm := range order {
		vm.Filler = false
		left[vm.Pool] += float64(vm.Capacity.MilliCPU)
		need[vm.Pool] += float64(vm.Lasting)*packing + shortShare*float64(vm.Capacity.MilliCPU)
	}
	for _, vm := range order {
		if left[vm.Pool]-float64(vm.Capacity.MilliCPU) < need[vm.Pool] {
			continue
		}
		left[vm.Pool] -= float64(vm.Capacity.MilliCPU)
		vm.Filler = true
	}
}
