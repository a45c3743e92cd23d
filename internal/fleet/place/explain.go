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
	compare := func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Score.Total(), a.Score.Total()), cmp.Compare(vms[a.VM].Name, vms[b.VM].Name))
	}
	out := make([]Candidate, 0, n+1)
	for i, vm := range vms {
		if !Fits(t, vm, interference) {
			continue
		}
		c := Candidate{i, score(t, vm, interference)}
		if len(out) == n && compare(out[n-1], c) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, c, compare)
		out = slices.Insert(out, at, c)
		out = out[:min(n, len(out))]
	}
	return out
}

// Part is a named part of a score.
type Part struct {
	Name  string
	Cores float64
}

// Parts returns all parts in the order of the sum.
func (s Score) Parts() []Part {
	return []Part{
		{"trouble", s.Trouble}, {"far", s.Far}, {"avoid", s.Avoid}, {"isolation", s.Isolation}, {"no serving", s.NoServing},
		{"filling only", s.FillingOnly}, {"excluded", s.Excluded}, {"room", s.Room}, {"harm", s.Harm}, {"spread", s.Spread}, {"images", s.Images},
	}
}
