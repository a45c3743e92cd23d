package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// A job whose tasks no VM can run, whatever else runs there, would be queued for good. An
// entry refuses it if the leader, which knows the VMs, says so. Entries keep what was found
// to fit, so the leader is asked about few jobs. Without its answer a job is accepted.
const (
	fitTimeout = 250 * time.Millisecond // of the question; a submission must not wait long for a leader out of reach
	// departedKept is how long a VM that has left counts as one that may come back, after
	// a restart or upkeep. For as long a leader does not know which VMs have left before its
	// term, and rules out nothing.
	departedKept = time.Minute
	maxDeparted  = 1024             // kinds of VMs
	misfitRetry  = 10 * time.Second // a VM that fits may be added meanwhile
	// maxFits bounds the capacities that an entry keeps for each pool and label.
	maxFits = 8
	// maxFitKinds bounds the pools and labels for which it keeps some. Callers choose the labels.
	maxFitKinds = 1024
	// fitKept is how long an entry goes by the capacity of a VM before it asks again. VMs
	// leave, and a description may have been that of another writer.
	fitKept = time.Minute
)

// departedVM is a VM that has left or has become another kind, the latest one of its kind.
type departedVM struct {
	executor fleet.Executor
	at       time.Time
}

// isSameKind reports whether the same tasks fit on two executors.
func isSameKind(a, b fleet.Executor) bool {
	return a.Pool == b.Pool && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// noteDeparture records an executor whose VM is gone, or has become another kind: executors
// that fail may come back as another kind, and later as this one again.
func (l *Leader) noteDeparture(e fleet.Executor, now time.Time) {
	l.departed = slices.DeleteFunc(l.departed, func(d departedVM) bool { return now.Sub(d.at) > departedKept || isSameKind(d.executor, e) })
	if len(l.departed) < maxDeparted {
		l.departed = append(l.departed, departedVM{e, now})
	}
}

// answerFit answers AskFit.
func (l *Leader) answerFit(q *pb.FleetAsk, now time.Time) *pb.FleetReply {
	var need link.Need
	if err := json.Unmarshal(q.GetJob(), &need); err != nil {
		return nil
	}
	data, err := json.Marshal(l.fit(need, now))
	if err != nil { // a struct of numbers and a bool always encodes
		return nil
	}
	return &pb.FleetReply{Data: data}
}

// fit returns the largest VM that can run tasks with a need once it is free. VMs that
// drain, are evacuated or have left lately count. A leader that the store does not confirm
// may have missed the registration of others.
func (l *Leader) fit(need link.Need, now time.Time) link.Fit {
	return largestFit(need, func(yield func(vmKind) bool) {
		for _, n := range l.ledger.Nodes {
			if !yield(newVMKind(n.Executor)) {
				return
			}
		}
		l.departedKinds(now)(yield)
	}, l.knowsAllVMs(now))
}

// knowsAllVMs reports whether the leader may rule out that any VM can run a task.
func (l *Leader) knowsAllVMs(now time.Time) bool {
	return now.Sub(l.began) > departedKept && l.unconfirmed(now) < startGrace
}

// departedKinds returns the VMs that have left lately.
func (l *Leader) departedKinds(now time.Time) iter.Seq[vmKind] {
	return func(yield func(vmKind) bool) {
		for _, d := range l.departed {
			if now.Sub(d.at) <= departedKept && !yield(newVMKind(d.executor)) {
				return
			}
		}
	}
}

// vmKind is what decides whether a VM can run a task once it is free.
type vmKind struct {
	Pool     string            `json:"pool"`
	Labels   []string          `json:"labels,omitempty"`
	Capacity structs.Resources `json:"capacity"`
	Known    bool              `json:"known"` // its executor is known
}

func newVMKind(e fleet.Executor) vmKind {
	return vmKind{e.Pool, e.Labels, e.Capacity, e.Instance != ""}
}

// largestFit returns the largest of some VMs that can run tasks with a need. settled
// reports that there are no others.
func largestFit(need link.Need, vms iter.Seq[vmKind], settled bool) link.Fit {
	fit := link.Fit{Known: settled}
	for vm := range vms {
		fits := vm.Pool == need.Pool && need.Need.Fits(vm.Capacity) && (need.Label == "" || slices.Contains(vm.Labels, need.Label))
		if fits && (fit.Capacity == nil || fit.Capacity.Fits(vm.Capacity)) {
			fit.Capacity = &vm.Capacity
		}
		fit.Known = fit.Known && vm.Known
	}
	return fit
}

// fitKind is what VMs are told apart by, besides their capacity.
type fitKind struct{ pool, label string }

// knownFit is the capacity of a VM that the leader has named.
type knownFit struct {
	capacity structs.Resources
	at       time.Time
}

// fits holds capacities of VMs that an entry knows of. It is safe for concurrent use.
type fits struct {
	mu    sync.Mutex
	known map[fitKind][]knownFit
}

// has reports whether a VM is known on which tasks with a need fit.
func (f *fits) has(need link.Need, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.known[fitKind{need.Pool, need.Label}], func(k knownFit) bool {
		return now.Sub(k.at) <= fitKept && need.Need.Fits(k.capacity)
	})
}

// add records the capacity of a VM on which tasks with a need fit.
func (f *fits) add(need link.Need, capacity structs.Resources, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil || len(f.known) >= maxFitKinds {
		f.known = map[fitKind][]knownFit{}
	}
	kind := fitKind{need.Pool, need.Label}
	others := slices.DeleteFunc(f.known[kind], func(k knownFit) bool { return now.Sub(k.at) > fitKept || k.capacity.Fits(capacity) })
	f.known[kind] = append(others[max(0, len(others)-maxFits+1):], knownFit{capacity, now})
}

// misfit returns why no VM can run a step of a job, or "" if each step fits on one or the
// leader does not know.
func (e *Entry) misfit(ctx context.Context, job fleet.Job) string {
	for i := range job.Steps {
		need := needOf(&job.Steps[i], job.Policy.Pool)
		if e.fits.has(need, time.Now()) {
			continue
		}
		fit, err := e.askFit(ctx, need)
		switch {
		case err != nil:
			return "" // nor would it answer for the next step
		case fit.Capacity != nil:
			e.fits.add(need, *fit.Capacity, time.Now())
		case fit.Known:
			return misfitCause(need, i)
		}
	}
	return ""
}

// needOf returns what a VM must have to run the tasks of a step.
func needOf(s *fleet.Step, pool string) link.Need {
	need := link.Need{Pool: pool, Label: s.Label, Need: s.Need}
	if s.Fills { // as in place.ReservedWith
		need.Need.MilliCPU = 0
	}
	return need
}

// misfitCause says that no VM can run the tasks of a step.
func misfitCause(need link.Need, step int) string {
	return fmt.Sprintf("no VM of pool %q can run a task of step %d: it needs %+v and label %q", need.Pool, step, need.Need, need.Label)
}

// askFit asks the leader whether a VM can run tasks with a need.
func (e *Entry) askFit(ctx context.Context, need link.Need) (link.Fit, error) {
	ctx, cancel := context.WithTimeout(ctx, fitTimeout)
	defer cancel()
	var fit link.Fit
	raw, err := json.Marshal(need)
	if err != nil {
		return fit, fmt.Errorf("encode the need of a task: %w", err)
	}
	reply, err := e.ask(ctx, &pb.FleetAsk{Kind: link.AskFit, Job: raw})
	if err != nil {
		return fit, err
	}
	return fit, json.Unmarshal(reply.GetData(), &fit)
}
