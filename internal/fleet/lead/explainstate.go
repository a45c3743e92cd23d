package lead

import (
	"iter"
	"maps"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/durations"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/fleet/queue"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// StateSchema names the JSON form of a PlannerState.
const StateSchema = "vanillalock/planner-state/1"

// PlannerState is what the planner knows of the fleet at a time, as far as it decides on
// the tasks of a new job. Explain needs nothing else, so that an explanation can be
// repeated from a recorded state.
type PlannerState struct {
	Schema              string                  `json:"schema"`
	At                  time.Time               `json:"at"`
	Term                uint64                  `json:"term,omitempty"`
	Withheld            string                  `json:"withheld,omitempty"`               // why the leader orders no starts
	LinkSpent           bool                    `json:"link_spent,omitempty"`             // the budget of start orders
	LinkSpentForLasting bool                    `json:"link_spent_for_lasting,omitempty"` // and what it keeps for lasting tasks
	Settled             bool                    `json:"settled,omitempty"`                // jobs that fit on no VM are refused
	FarFactor           float64                 `json:"far_factor,omitempty"`
	Evacuated           []string                `json:"evacuated,omitempty"` // failure domains
	Queues              []fleet.Queue           `json:"queues"`
	VMs                 []VMState               `json:"vms"` // by name
	Departed            []vmKind                `json:"departed,omitempty"`
	Waiting             []WaitingStep           `json:"waiting,omitempty"` // in the order in which they became ready
	Scarce              []string                `json:"scarce,omitempty"`  // pools in which a task had no room in the last plan
	Evidence            []tail.Learned          `json:"evidence,omitempty"`
	Durations           []durations.Expectation `json:"durations,omitempty"`
}

// VMState is a VM as the planner sees it.
type VMState struct {
	place.VM
	Domain   string        `json:"domain,omitempty"`
	Known    bool          `json:"known"`              // its executor is known
	ListAge  time.Duration `json:"list_age,omitempty"` // of its run lists; 0: it has sent none
	Excluded string        `json:"excluded,omitempty"` // why it takes no tasks
	Ends     []expectedEnd `json:"ends,omitempty"`     // of its runs, if waits for a rack depend on them
}

// WaitingStep is a step with tasks that wait for a VM.
type WaitingStep struct {
	Item  queue.Item `json:"item"`
	Pool  string     `json:"pool"`
	Rack  string     `json:"rack,omitempty"`
	Tasks int        `json:"tasks"`
}

// kinds returns the VMs for largestFit.
func (s *PlannerState) kinds() iter.Seq[vmKind] {
	return func(yield func(vmKind) bool) {
		for i := range s.VMs {
			vm := &s.VMs[i]
			if !yield(vmKind{vm.Pool, vm.Labels, vm.Capacity, vm.Known}) {
				return
			}
		}
		for _, kind := range s.Departed {
			if !yield(kind) {
				return
			}
		}
	}
}

// plannerState returns the state for Explain. It is called in the event loop and costs
// about as much as a plan without starts.
func (l *Leader) plannerState(now time.Time) *PlannerState {
	s := l.planner.state(now)
	s.Term = l.term
	if config := l.opts.Config(); config != nil {
		s.Queues = config.Queues // does not change
	}
	if l.opts.EvacuationPrefix != "" && l.evacuationAge(now) > maxEvacuationAge {
		s.Withheld = "the last answer of the store for the evacuations is too old"
	} else if l.unconfirmed(now) >= startGrace {
		s.Withheld = "the store has not confirmed the term lately"
	}
	s.Settled = l.knowsAllVMs(now)
	s.Evacuated = slices.Sorted(maps.Keys(l.evacuations.domains))
	for kind := range l.departedKinds(now) {
		s.Departed = append(s.Departed, kind)
	}
	return s
}

// state returns the state of the planner. It shares no data that later plans change, and
// changes nothing, not even the cache.
func (p *planner) state(now time.Time) *PlannerState {
	s := &PlannerState{
		Schema: StateSchema, At: now.Round(0), LinkSpent: !p.budget.open(now, false), LinkSpentForLasting: !p.budget.open(now, true),
		FarFactor: p.locality.farFactor, Evidence: p.estimator.Evidence(), Durations: p.durations.Expectations(),
		VMs: make([]VMState, 0, len(p.ledger.Nodes)),
	}
	for _, name := range slices.Sorted(maps.Keys(p.ledger.Nodes)) {
		s.VMs = append(s.VMs, p.vmState(name, p.ledger.Nodes[name], now))
	}
	var eligible []*place.VM
	for i := range s.VMs {
		if s.VMs[i].Excluded == "" {
			eligible = append(eligible, &s.VMs[i].VM)
		}
	}
	place.SetMedianTrouble(eligible)
	if now.Sub(p.lastMark) > fillingOnlyInterval { // as the next plan does
		place.MarkFillingOnly(eligible)
	}
	for _, r := range p.ledger.ReadySteps(now) {
		s.Waiting = append(s.Waiting, WaitingStep{p.itemOf(r.Step), p.policy(r.Step.Job).Pool, r.Step.Spec.DataRack, len(r.Tasks)})
	}
	s.Scarce = p.locality.failed.Pools()
	return s
}

// vmState describes a VM as cachedVM does, without the cache if it is not up to date.
func (p *planner) vmState(name string, n *ledger.Node, now time.Time) VMState {
	out := VMState{Domain: n.Executor.FailureDomain, Known: n.Executor.Instance != "", Excluded: p.ineligibility(n, now)}
	if !n.ListedAt.IsZero() {
		out.ListAge = now.Sub(n.ListedAt)
	}
	known := p.cache[name]
	if known.describes(n) {
		out.VM = *known.vm
		out.Serving = slices.Clone(out.Serving)
	} else {
		out.VM = *p.describeVM(n, now)
		out.FillingOnly = known != nil && known.vm.FillingOnly
	}
	out.Trouble, out.Trials = n.TroubleAt(now), n.Trials(now)
	out.Steps, out.Jobs = nil, nil // of other jobs than the one to be explained
	if p.locality.farFactor > 0 {
		out.Ends = p.expectedEnds(n, now)
	}
	return out
}
