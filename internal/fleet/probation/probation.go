// Package probation decides how many suspects of crashes start together, and which of
// them start first. It has no I/O and no clock.
//
// It answers hundreds of tasks that were starting on executors when these crashed. Mostly
// none of them was the cause, or a few, which crash each executor that starts them. Few
// VMs may start suspects at a time, so with groups of a fixed size innocent tasks wait for
// many rounds. Instead the groups double while executors survive them, and halve when one
// crashes.
package probation

// kind tells apart suspects of one crash and of several.
type kind int

const (
	once kind = iota
	repeated
)

const (
	// One of oneIn VMs may start suspects at a time, and one of crowdedOneIn if each of them
	// would start more than rounds of the smallest groups.
	oneIn        = 4
	crowdedOneIn = 2
	rounds       = 2
)

// SmallestGroup is the number of suspects of one crash that start together at least.
const SmallestGroup = 4

// Smallest and largest groups by kind. A task is given up after four crashes, so that few
// others may share the third one with its cause.
var (
	smallest = [...]int{once: SmallestGroup, repeated: 1}
	largest  = [...]int{once: 16, repeated: 4}
)

func kindOf(crashes int) kind {
	if crashes > 1 {
		return repeated
	}
	return once
}

// Groups sizes groups by how earlier ones have ended. Its zero value is ready for use.
type Groups struct {
	size [2]int // by kind; 0: no group has ended
	last kind   // that got the last VM
}

// VMs returns how many VMs of a fleet may start suspects at a time, if so many of one and
// of several crashes wait.
func VMs(onceWaiting, repeatedWaiting, fleet int) int {
	groups := onceWaiting/smallest[once] + repeatedWaiting/smallest[repeated]
	return max(1, fleet/oneIn, min(fleet/crowdedOneIn, groups/rounds))
}

// Limit returns how many suspects of the given number of crashes may start together, if so
// many wait for so many VMs.
func (g *Groups) Limit(crashes, waiting, vms int) int {
	if crashes > 2 {
		return 1
	}
	k := kindOf(crashes)
	share := (waiting + vms - 1) / max(1, vms)
	return max(smallest[k], min(g.size[k], share))
}

// Survived records that an executor has survived the start of a group.
func (g *Groups) Survived(crashes, tasks int) {
	k := kindOf(crashes)
	g.size[k] = min(largest[k], max(g.size[k], 2*tasks))
}

// Crashed records that an executor has crashed at the start of a group.
func (g *Groups) Crashed(crashes, tasks int) {
	k := kindOf(crashes)
	g.size[k] = max(smallest[k], min(g.size[k], tasks/2))
}

// Next returns whether a suspect of several crashes gets the next VM. If both kinds wait,
// they take turns, so that neither starves.
func (g *Groups) Next(onceWaits, repeatedWaits bool) bool {
	k := once
	if repeatedWaits && (!onceWaits || g.last == once) {
		k = repeated
	}
	g.last = k
	return k == repeated
}
