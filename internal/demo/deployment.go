// Package demo runs a complete deployment in one process over loopback: entries,
// agents, and stand-ins for the key-value service, the workers and the upstreams.
// After a run it checks the invariants against the records of the stand-ins.
package demo

import (
	"fmt"
	"sort"

	"vanillalock.example/vanillalock/internal/load"
	standinworker "vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
)

// Deployment describes one of the users' current deployments: its topology,
// configuration and load. The sizes are those of docs/design.md.
type Deployment struct {
	Name           string
	Region         string
	FailureDomains []string
	VMs            int // each with an executor and a worker
	VMsPerRack     int
	Slots          int
	Connections    int
	Capacity       structs.Resources
	Templates      []structs.Template
	Customers      []structs.Customer
	Mix            []load.MixItem
	Jobs           []load.JobItem
	Slowdown       standinworker.SlowdownTable
	RunMs          map[string]int64 // actual run time by template in ms; ExpectedMillis is the declared one
}

// Names of the deployments.
const (
	LienHoa    = "lien-hoa"
	PasjiUrnik = "pasji-urnik"
)

// Find returns a deployment by name.
func Find(name string) (Deployment, error) {
	all := map[string]func() Deployment{LienHoa: lienHoa, PasjiUrnik: pasjiUrnik}
	if build, ok := all[name]; ok {
		return build(), nil
	}
	names := make([]string, 0, len(all))
	for n := range all {
		names = append(names, n)
	}
	sort.Strings(names)
	return Deployment{}, fmt.Errorf("unknown deployment %q: use one of %v", name, names)
}

func lienHoa() Deployment {
	clip := []structs.ParameterSpec{{Name: "clip", Required: true}, {Name: "run_ms"}, {Name: "quality", Default: "720p"}}
	return Deployment{
		Name: LienHoa, Region: "mien-nam", FailureDomains: []string{"nam-a", "nam-b", "nam-c"},
		VMs: 11, VMsPerRack: 3, Slots: 8, Connections: 64,
		Capacity: structs.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Accelerators: 2},
		Templates: []structs.Template{
			{Name: "slot-check", Kind: structs.KindRequest, QoS: structs.LatencyCritical, Idempotent: true, ExpectedMillis: 10, DeadlineMillis: 2000, Parameters: []structs.ParameterSpec{{Name: "day", Default: "today"}}},
			{Name: "clip-cut", Kind: structs.KindRequest, QoS: structs.LatencyCritical, Idempotent: true, ExpectedMillis: 30, DeadlineMillis: 4000, Parameters: clip},
			{Name: "preview-render", Kind: structs.KindRequest, QoS: structs.Batch, Idempotent: true, ExpectedMillis: 100, DeadlineMillis: 20_000, Parameters: clip},
			{Name: "billing-charge", Kind: structs.KindRequest, QoS: structs.LatencyCritical, ExpectedMillis: 15, DeadlineMillis: 5000, Parameters: []structs.ParameterSpec{{Name: "amount", Required: true}}},
			{Name: "live-feed", Kind: structs.KindTask, QoS: structs.LatencyCritical, LongRunningService: true, Resources: structs.Resources{MilliCPU: 2000, MemoryMB: 4000}, MaxAttempts: 100},
			{Name: "memorial-render", Kind: structs.KindTask, QoS: structs.Batch, ExpectedMillis: 6000, CheckpointMillis: 1000, MaxAttempts: 5, Resources: structs.Resources{MilliCPU: 8000, MemoryMB: 16_000, Accelerators: 1}, Parameters: []structs.ParameterSpec{{Name: "film", Default: "full"}}},
			{Name: "clip-batch", Kind: structs.KindTask, QoS: structs.Batch, ExpectedMillis: 800, MaxAttempts: 5, Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 2000}},
		},
		Customers: []structs.Customer{
			{Name: "can-tho-funeral-home", Team: "can-tho", Parameters: map[string]map[string]string{"clip-cut": {"quality": "1080p"}}},
			{Name: "hue-temple-desk", Team: "hue"},
			{Name: "sydney-relatives", Team: "abroad"},
		},
		Mix: []load.MixItem{
			{Template: "slot-check", Class: "urgent", Share: 6, Customers: []string{"sydney-relatives", "hue-temple-desk"}, TimeoutMs: 2000},
			{Template: "clip-cut", Class: "short", Share: 4, Customers: []string{"can-tho-funeral-home", "sydney-relatives"}, Parameters: map[string]string{"clip": "opening"}, TimeoutMs: 4000},
			{Template: "preview-render", Class: "long", Share: 1, Customers: []string{"can-tho-funeral-home"}, Parameters: map[string]string{"clip": "whole"}, TimeoutMs: 20_000},
			{Template: "billing-charge", Class: "billing", Share: 1, Customers: []string{"can-tho-funeral-home"}, Parameters: map[string]string{"amount": "120"}, TimeoutMs: 5000, Key: true},
		},
		Jobs: []load.JobItem{
			{Template: "memorial-render", Customer: "can-tho-funeral-home", Count: 1, PerMinute: 60},
			{Template: "clip-batch", Customer: "hue-temple-desk", Count: 4, PerMinute: 60},
		},
		Slowdown: standinworker.SlowdownTable{
			"live-feed":  {"memorial-render": 1.4, "clip-batch": 1.05},
			"clip-batch": {"memorial-render": 1.1},
		},
		RunMs: map[string]int64{"slot-check": 8, "clip-cut": 40, "preview-render": 600, "billing-charge": 20},
	}
}

func pasjiUrnik() Deployment {
	return Deployment{
		Name: PasjiUrnik, Region: "osrednja", FailureDomains: []string{"bezigrad", "vic", "moste"},
		VMs: 11, VMsPerRack: 3, Slots: 8, Connections: 64,
		Capacity: structs.Resources{MilliCPU: 16_000, MemoryMB: 62_000},
		Templates: []structs.Template{
			{Name: "slot-check", Kind: structs.KindRequest, QoS: structs.LatencyCritical, Idempotent: true, ExpectedMillis: 5, DeadlineMillis: 1500, Parameters: []structs.ParameterSpec{{Name: "park", Default: "tivoli"}}},
			{Name: "booking", Kind: structs.KindRequest, QoS: structs.LatencyCritical, ExpectedMillis: 15, DeadlineMillis: 3000, Parameters: []structs.ParameterSpec{{Name: "slot", Required: true}}},
			{Name: "vaccination-confirm", Kind: structs.KindRequest, QoS: structs.Batch, Idempotent: true, ExpectedMillis: 20, DeadlineMillis: 10_000},
			{Name: "roster-preview", Kind: structs.KindRequest, QoS: structs.Batch, Idempotent: true, ExpectedMillis: 80, DeadlineMillis: 20_000},
			{Name: "board-feed", Kind: structs.KindTask, QoS: structs.LatencyCritical, LongRunningService: true, MaxAttempts: 100, Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}},
			{Name: "roster-build", Kind: structs.KindTask, QoS: structs.Batch, ExpectedMillis: 4000, CheckpointMillis: 1000, MaxAttempts: 5, Resources: structs.Resources{MilliCPU: 4000, MemoryMB: 8000}},
		},
		Customers: []structs.Customer{
			{Name: "tivoli-park", Team: "center"}, {Name: "fuzine-park", Team: "east"}, {Name: "vets-association", Team: "vets"},
		},
		Mix: []load.MixItem{
			{Template: "slot-check", Class: "urgent", Share: 8, Customers: []string{"tivoli-park", "fuzine-park"}, TimeoutMs: 1500},
			{Template: "booking", Class: "booking", Share: 2, Customers: []string{"tivoli-park", "fuzine-park"}, Parameters: map[string]string{"slot": "sat-0900"}, TimeoutMs: 3000, Key: true},
			{Template: "vaccination-confirm", Class: "short", Share: 1, Customers: []string{"vets-association"}, TimeoutMs: 10_000},
			{Template: "roster-preview", Class: "long", Share: 1, Customers: []string{"tivoli-park"}, TimeoutMs: 20_000},
		},
		Jobs: []load.JobItem{
			{Template: "roster-build", Customer: "tivoli-park", Count: 2, PerMinute: 60},
		},
		Slowdown: standinworker.SlowdownTable{"board-feed": {"roster-build": 1.3}},
		RunMs:    map[string]int64{"slot-check": 5, "booking": 20, "vaccination-confirm": 25, "roster-preview": 500},
	}
}

// feedTemplate returns the name of the deployment's long-running service template.
func (d Deployment) feedTemplate() string {
	for _, t := range d.Templates {
		if t.LongRunningService {
			return t.Name
		}
	}
	return ""
}

// node returns the description of the i-th VM.
func (d Deployment) node(i int) structs.Node {
	return structs.Node{
		ID: fmt.Sprintf("vm-%02d", i), FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
		Rack: fmt.Sprintf("rack-%02d", i/d.VMsPerRack), Capacity: d.Capacity, Slots: d.Slots, Connections: d.Connections,
	}
}
