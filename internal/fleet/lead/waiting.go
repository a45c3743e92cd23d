package lead

import (
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/place"
)

// Limits of the lines about long waits.
const (
	longWait      = 3 * time.Second // of a ready task; a lasting one may be without a run for 6 s
	longOrder     = 6 * time.Second // of a start or stop without a known outcome; a lease ends after 4 s
	longTakeover  = time.Second     // without the lists of all VMs; they come within 0.2 s
	waitScanEvery = 500 * time.Millisecond
	waitLineEvery = 2 * time.Second // of one step, one order, or the takeover
	waitLines     = 3               // per second in total
)

// waits logs the tasks that stay without a VM and the orders that stay without an outcome
// for long, which no decision of the ledger shows.
type waits struct {
	log      *log.Logger
	metrics  *Metrics
	lines    *rate.Limiter
	nextScan time.Time
	steps    map[*ledger.Step]time.Time // last line of a step
	orders   map[*ledger.Run]waitingOrder
	takeover time.Time // last line of the takeover; before the first one: when the first scan was
}

// waitingOrder is a run that is starting or stopping.
type waitingOrder struct {
	state       ledger.RunState
	since, line time.Time // when it was first seen in this state, and its last line
}

func newWaits(log *log.Logger, metrics *Metrics) *waits {
	return &waits{log: log, metrics: metrics, lines: rate.NewLimiter(waitLines, waitLines), steps: map[*ledger.Step]time.Time{}, orders: map[*ledger.Run]waitingOrder{}}
}

// reportWaits logs what has waited for long after a plan.
func (p *planner) reportWaits(now time.Time) {
	w := p.waits
	if w == nil || now.Before(w.nextScan) {
		return
	}
	w.nextScan = now.Add(waitScanEvery)
	p.reportWaitingTasks(now)
	w.reportOrders(p.ledger, now)
	w.reportTakeover(p.ledger, now)
}

// reportTakeover logs for which VMs inherited tasks wait.
func (w *waits) reportTakeover(l *ledger.Ledger, now time.Time) {
	if l.Settled {
		return
	}
	if w.takeover.IsZero() {
		w.takeover = now.Add(longTakeover - waitLineEvery)
	}
	if now.Sub(w.takeover) < waitLineEvery {
		return
	}
	t := l.Takeover(now)
	if t.Held == 0 {
		return
	}
	w.takeover = now
	w.metrics.LongTakeovers.Add(1)
	w.log.Warn("Inherited tasks wait for VMs.", "tasks", t.Held, "vms", t.Silent[:min(ledger.MaxNames, len(t.Silent))], "silent", len(t.Silent),
		"at most", t.Until.Sub(now).Round(time.Millisecond))
}

// reportWaitingTasks logs the oldest ready task of each step that has waited for long.
func (p *planner) reportWaitingTasks(now time.Time) {
	w := p.waits
	for s, at := range w.steps {
		if now.Sub(at) >= waitLineEvery {
			delete(w.steps, s)
		}
	}
	var vms []*place.VM // described once a task waits
	for _, r := range p.ledger.ReadySteps(now) {
		oldest := r.Tasks[0]
		waited := now.Sub(oldest.ReadySince)
		if _, logged := w.steps[r.Step]; logged || waited <= longWait {
			continue
		}
		w.steps[r.Step] = now
		w.metrics.LongWaits.Add(1)
		if !w.lines.AllowN(now, 1) {
			continue
		}
		if vms == nil {
			vms, _ = p.eligibleVMs(now)
		}
		task := p.describeTask(oldest, now)
		e := place.Explain(&task, vms, p.estimator.DisturbanceProbability)
		ineligible := map[string]int{}
		for _, n := range p.ledger.Nodes {
			ineligible[p.ineligibility(n, now)]++
		}
		w.log.Warn("Task waits for a VM.", "task", oldest.ID, "waits", waited.Round(time.Millisecond), "tasks", len(r.Tasks),
			"lasting", r.Step.Spec.Lasting, "suspect", oldest.Suspect(), "budget", p.budget.open(now, r.Step.Spec.Lasting), "fits", e.Fits,
			"pool", e.Pool, "closed", e.Closed, "trouble", e.Trouble, "label", e.Label, "per_vm", e.PerVM, "cpu", e.CPU, "memory", e.Memory,
			"interference", e.Interference, "other", e.Other, "silent", ineligible[silentVM], "draining", ineligible[drainingVM], "held", ineligible[heldVM], "evacuated", ineligible[evacuatedVM], "leaving", ineligible[leavingVM], "lapsed", ineligible[lapsedVM])
	}
}

// reportOrders logs the runs that have been starting or stopping for long.
func (w *waits) reportOrders(l *ledger.Ledger, now time.Time) {
	known := w.orders
	w.orders = make(map[*ledger.Run]waitingOrder, len(known))
	for _, n := range l.Nodes {
		for _, r := range n.Runs {
			if r.State == ledger.Running {
				continue
			}
			o := known[r]
			if o.since.IsZero() || o.state != r.State {
				o = waitingOrder{state: r.State, since: now}
			}
			if waited := now.Sub(o.since); waited > longOrder && now.Sub(o.line) >= waitLineEvery {
				o.line = now
				w.reportOrder(r, waited, now)
			}
			w.orders[r] = o
		}
	}
}

func (w *waits) reportOrder(r *ledger.Run, waited time.Duration, now time.Time) {
	w.metrics.LongOrders.Add(1)
	if !w.lines.AllowN(now, 1) {
		return
	}
	order := "start"
	if r.State == ledger.Stopping {
		order = "stop"
	}
	w.log.Warn("Order without an outcome.", "task", r.ID, "run", r.Number, "vm", r.Node.Name, "order", order, "waits", waited.Round(time.Millisecond),
		"wanted", r.Task != nil, "lists", now.Sub(r.Node.ListedAt).Round(time.Millisecond))
}
