package place

import (
	"cmp"
	"slices"
)

// Exclusions counts VMs by the first filter that keeps a task off them.
type Exclusions struct {
	Pool         int `json:"pool"`
	Closed       int `json:"closed"`
	Trouble      int `json:"trouble"`
	Label        int `json:"label"`
	PerVM        int `json:"per_vm"` // MaxPerVM
	CPU          int `json:"cpu"`
	Memory       int `json:"memory"`
	Interference int `json:"interference"` // with serving tasks, of filling tasks only
	Other        int `json:"other"`        // accelerators
	Fits         int `json:"fits"`         // VMs that may run the task
}

// Explain counts the VMs by why they may not run a task.
func Explain(t *Task, vms []*VM, interference Interference) Exclusions {
	var counts [filterInterference + 1]int
	for _, vm := range vms {
		counts[firstFilter(t, vm, interference)]++
	}
	return Exclusions{
		Pool: counts[filterPool], Closed: counts[filterClosed], Trouble: counts[filterTrouble], Label: counts[filterLabel],
		PerVM: counts[filterPerVM], CPU: counts[filterCPU], Memory: counts[filterMemory], Interference: counts[filterInterference],
		Other: counts[filterAccelerators], Fits: counts[noFilter],
	}
}

// Candidate is a VM that may run a task.
type Candidate struct {
	VM    int // index
	Score Score
}

// Best returns the n VMs with the best scores for a task, best first and those with equal
// scores by name. It changes no VM.
func Best(t *Task, vms []*VM, n int, interference Interference) []Candidate {
	var out []Candidate
	for i, vm := range vms {
		if Fits(t, vm, interference) {
			out = append(out, Candidate{i, score(t, vm, interference)})
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Score.Total(), a.Score.Total()), cmp.Compare(vms[a.VM].Name, vms[b.VM].Name))
	})
	return out[:min(n, len(out))]
}
