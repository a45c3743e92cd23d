package lead

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/durations"
	"vanillalock.example/vanillalock/internal/fleet/place"
	"vanillalock.example/vanillalock/internal/fleet/queue"
	"vanillalock.example/vanillalock/internal/fleet/tail"
)

// explainedVMs is the number of VMs with their scores in an explanation of a step.
const explainedVMs = 5

// Errors of Explain, by which the caller of the command can mend its input.
var (
	ErrUnknownQueue = errors.New("no such queue")
	ErrInvalidJob   = errors.New("the job is not valid")
)

// ExplainQuestion asks where a job would go, by the name of its queue or by the host and
// the path of a request to that queue.
type ExplainQuestion struct {
	Queue string     `json:"queue,omitempty"`
	Host  string     `json:"host,omitempty"`
	Path  string     `json:"path,omitempty"`
	Job   *fleet.Job `json:"job,omitempty"` // nil: the state is asked for instead
	// Passed is true if an entry passes the question on. It is not passed on again.
	Passed bool `json:"passed,omitempty"`
}

// Outcomes of a step.
const (
	OutcomeStarts   = "starts"
	OutcomeNoVM     = "waits for a VM"
	OutcomeRack     = "waits for the rack with its data"
	OutcomeLink     = "waits for the network link" // the budget of start orders is spent
	OutcomeWithheld = "waits for the leader"       // it orders no starts
)

// Explanation says where a job would go if it were accepted at a time, and why.
type Explanation struct {
	At         time.Time         `json:"at"`
	Term       uint64            `json:"term,omitempty"`
	Queue      string            `json:"queue"`
	Priority   int               `json:"priority"`
	VMs        int               `json:"vms"`
	OldestList int64             `json:"oldest_list_ms"` // of the VMs that take tasks
	Evacuated  []string          `json:"evacuated,omitempty"`
	Refused    string            `json:"refused,omitempty"`  // why the job would be refused
	Withheld   string            `json:"withheld,omitempty"` // why the leader orders no starts
	Steps      []StepExplanation `json:"steps"`
}

// StepExplanation explains the next start of a task of a step. A step that depends on
// others is explained as if these were done.
type StepExplanation struct {
	Step     int              `json:"step"`
	Tasks    int              `json:"tasks"`
	Kind     string           `json:"kind"`
	Pool     string           `json:"pool"`
	After    []int            `json:"after,omitempty"`
	Outcome  string           `json:"outcome"`
	VM       string           `json:"vm,omitempty"` // where the task starts now
	Rank     string           `json:"rank"`
	Ahead    []AheadCount     `json:"ahead,omitempty"`
	Filters  []FilterCount    `json:"filters"`
	Fits     int              `json:"fits"`
	Best     []ScoredVM       `json:"best,omitempty"` // at most explainedVMs
	Locality *LocalityExplain `json:"locality,omitempty"`
}

// FilterCount is the number of VMs that a filter keeps a task off before any other does.
type FilterCount struct {
	Filter string `json:"filter"`
	VMs    int    `json:"vms"`
}

// AheadCount counts the steps, and their tasks, that wait for VMs of the same pool before
// a step.
type AheadCount struct {
	Priority int    `json:"priority"`
	Rank     string `json:"rank"`
	Steps    int    `json:"steps"`
	Tasks    int    `json:"tasks"`
}

// ScoredVM is a VM that may run a task, with its score and the parts of it.
type ScoredVM struct {
	VM    string      `json:"vm"`
	Score float64     `json:"score"`
	Parts place.Score `json:"parts"`
}

// LocalityExplain tells about the rack that a step prefers.
type LocalityExplain struct {
	Rack     string    `json:"rack"`
	Near     bool      `json:"near"`  // the best VM is on the rack
	Waits    bool      `json:"waits"` // for a VM on the rack, although others have room
	Ahead    int       `json:"ahead"` // tasks that wait for the rack before
	Gain     int64     `json:"gain_ms"`
	Expected int64     `json:"expected_ms,omitempty"` // wait until a VM of the rack has room
	Until    time.Time `json:"until,omitzero"`        // end of the longest wait
}

// Explain explains where a job would go by a state of the planner. It changes neither.
func Explain(s *PlannerState, q ExplainQuestion) (*Explanation, error) {
	config := &fleet.Config{Queues: s.Queues}
	found, ok := config.FindQueue(q.Host, q.Path)
	if q.Queue != "" {
		found, ok = config.QueueByName(q.Queue)
	}
	if !ok {
		return nil, fmt.Errorf("%w: name %q, host %q, path %q", ErrUnknownQueue, q.Queue, q.Host, q.Path)
	}
	if q.Job == nil {
		return nil, fmt.Errorf("%w: there is none", ErrInvalidJob)
	}
	if err := q.Job.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidJob, err)
	}
	job := *q.Job
	job.ID, job.Queue, job.Policy, job.Accepted = "", found.Name, found.Policy, s.At
	x := newExplainer(s, &job)
	out := &Explanation{
		At: s.At, Term: s.Term, Queue: found.Name, Priority: found.Policy.Priority, VMs: len(s.VMs),
		Evacuated: s.Evacuated, Refused: x.refusal(), Withheld: s.Withheld,
	}
	for i := range s.VMs {
		if vm := &s.VMs[i]; vm.Excluded == "" {
			out.OldestList = max(out.OldestList, vm.ListAge.Milliseconds())
		}
	}
	for i := range job.Steps {
		out.Steps = append(out.Steps, x.step(i))
	}
	return out, nil
}

// explainer explains the steps of one job.
type explainer struct {
	state        *PlannerState
	job          *fleet.Job
	vms          []*place.VM // that take tasks
	ends         [][]expectedEnd
	interference place.Interference
	expect       expectation
}

func newExplainer(s *PlannerState, job *fleet.Job) *explainer {
	estimator := tail.NewEstimator()
	estimator.Import(s.Evidence, s.At)
	known := make(map[durations.Class]durations.Expectation, len(s.Durations))
	for _, e := range s.Durations {
		known[e.Class] = e
	}
	x := &explainer{state: s, job: job, interference: remembered(estimator.DisturbanceProbability)}
	x.expect = func(step *fleet.Step) time.Duration {
		e, ok := known[durations.ClassOf(job.Queue, step)]
		if !ok {
			return step.Estimate
		}
		return e.Expect(step.Estimate)
	}
	for i := range s.VMs {
		if vm := &s.VMs[i]; vm.Excluded == "" {
			x.vms, x.ends = append(x.vms, &vm.VM), append(x.ends, vm.Ends)
		}
	}
	return x
}

// remembered returns an Interference that computes the probability of each pair once.
func remembered(interference place.Interference) place.Interference {
	type pair struct{ serving, filling string }
	known := map[pair]float64{}
	return func(serving, filling string) float64 {
		p, ok := known[pair{serving, filling}]
		if !ok {
			p = interference(serving, filling)
			known[pair{serving, filling}] = p
		}
		return p
	}
}

// refusal returns why an entry would refuse the job, or "".
func (x *explainer) refusal() string {
	if cause := unsupported(x.job); cause != "" {
		return cause
	}
	for i := range x.job.Steps {
		need := needOf(&x.job.Steps[i], x.job.Policy.Pool)
		if fit := largestFit(need, x.state.kinds(), x.state.Settled); fit.Capacity == nil && fit.Known {
			return misfitCause(need, i)
		}
	}
	return ""
}

// step explains a step.
func (x *explainer) step(i int) StepExplanation {
	s := &x.job.Steps[i]
	pool := x.job.Policy.Pool
	task := newTask(s, place.StepKey{Step: i}, pool, x.state.FarFactor)
	if prefersOneRack(s, x.state.FarFactor) {
		task.DataRack = rackWithRoom(&task, x.vms, s.Count, x.interference)
	}
	item := newItem(x.job, x.job.Policy, i, workLeftBefore(x.job.Steps, i))
	out := StepExplanation{
		Step: i, Tasks: s.Count, Kind: kindOf(s), Pool: pool, After: s.After, Rank: item.Rank(x.state.At).String(),
	}
	ahead := x.ahead(item)
	out.Ahead = countAhead(ahead, x.state.At)
	out.Filters, out.Fits = x.filters(&task)
	best := place.Best(&task, x.vms, explainedVMs, x.interference)
	for _, c := range best {
		out.Best = append(out.Best, ScoredVM{x.vms[c.VM].Name, c.Score.Total(), c.Score})
	}
	if task.DataRack != "" {
		out.Locality = x.locality(i, &task, best, ahead)
	}
	switch {
	case x.state.Withheld != "":
		out.Outcome = OutcomeWithheld
	case x.state.LinkSpent && !s.Lasting || x.state.LinkSpentForLasting:
		out.Outcome = OutcomeLink
	case len(best) == 0:
		out.Outcome = OutcomeNoVM
	case out.Locality != nil && out.Locality.Waits:
		out.Outcome = OutcomeRack
	default:
		out.Outcome, out.VM = OutcomeStarts, out.Best[0].VM
	}
	return out
}

// kindOf names what the planner tells tasks apart by.
func kindOf(s *fleet.Step) string {
	switch {
	case s.Fills:
		return "filling"
	case s.TailTarget > 0:
		return "serving"
	case s.Lasting:
		return "lasting"
	default:
		return "short"
	}
}

// ahead returns the waiting steps of the same pool that come before an item. Of equal
// items the new one comes last, as its step became ready last.
func (x *explainer) ahead(item queue.Item) []WaitingStep {
	var out []WaitingStep
	for _, w := range x.state.Waiting {
		if w.Pool == x.job.Policy.Pool && queue.Compare(w.Item, item, x.state.At) <= 0 {
			out = append(out, w)
		}
	}
	return out
}

// countAhead counts steps by priority and rank.
func countAhead(ahead []WaitingStep, now time.Time) []AheadCount {
	type key struct {
		priority int
		rank     queue.Rank
	}
	counts := map[key]*AheadCount{}
	for _, w := range ahead {
		k := key{w.Item.Priority, w.Item.Rank(now)}
		if counts[k] == nil {
			counts[k] = &AheadCount{Priority: k.priority, Rank: k.rank.String()}
		}
		counts[k].Steps++
		counts[k].Tasks += w.Tasks
	}
	keys := make([]key, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank))
	})
	var out []AheadCount
	for _, k := range keys {
		out = append(out, *counts[k])
	}
	return out
}

// filters counts the VMs by the first filter that keeps a task off them, in the order of
// the filters. A VM of which no lists have come has no known pool.
func (x *explainer) filters(task *place.Task) ([]FilterCount, int) {
	pool, excluded := 0, map[string]int{}
	for i := range x.state.VMs {
		switch vm := &x.state.VMs[i]; {
		case vm.Excluded == "":
		case vm.Known && vm.Pool != task.Pool:
			pool++
		default:
			excluded[vm.Excluded]++
		}
	}
	e := place.Explain(task, x.vms, x.interference)
	return []FilterCount{
		{"pool", pool + e.Pool}, {silentVM, excluded[silentVM]}, {drainingVM, excluded[drainingVM]}, {leavingVM, excluded[leavingVM]},
		{lapsedVM, excluded[lapsedVM]}, {heldVM, excluded[heldVM]}, {evacuatedVM, excluded[evacuatedVM]}, {"closed", e.Closed}, {"trouble", e.Trouble}, {"label", e.Label}, {"limit per VM", e.PerVM},
		{"cpu", e.CPU}, {"memory", e.Memory}, {"accelerators", e.Other}, {"interference", e.Interference},
	}, e.Fits
}

// locality explains the wait for the rack that a task prefers. As in the planner, only
// tasks with a rack of their own that do not last wait.
func (x *explainer) locality(i int, task *place.Task, best []place.Candidate, ahead []WaitingStep) *LocalityExplain {
	terms := nearTerms(x.job, x.job.Policy, i, 0, x.state.FarFactor, x.expect)
	out := &LocalityExplain{Rack: task.DataRack, Gain: terms.Gain().Milliseconds()}
	for _, w := range ahead {
		if w.Rack == task.DataRack {
			out.Ahead += w.Tasks
		}
	}
	if len(best) == 0 {
		return out
	}
	out.Near = slices.Contains(x.vms[best[0].VM].Labels, task.DataRack)
	if out.Near || x.state.FarFactor == 0 || task.Lasting || x.job.Steps[i].DataRack == "" {
		return out
	}
	room := forecastRoom(task, x.vms, func(i int) []expectedEnd { return x.ends[i] }, x.interference)
	expected, waits := room.wait(terms, out.Ahead, slices.Contains(x.state.Scarce, task.Pool))
	if waits {
		out.Waits, out.Expected, out.Until = true, expected.Milliseconds(), x.state.At.Add(terms.Limit())
	}
	return out
}

// workLeftBefore returns the share of the estimated work of a job that is left once the
// steps that a step depends on are done, as workLeft does.
func workLeftBefore(steps []fleet.Step, index int) float64 {
	done := make([]bool, len(steps))
	for i := index; i >= 0; i-- { // a step comes after those that it depends on
		if i == index || done[i] {
			for _, before := range steps[i].After {
				done[before] = true
			}
		}
	}
	return workShare(steps, func(i int) int {
		if done[i] {
			return 0
		}
		return steps[i].Count
	})
}
