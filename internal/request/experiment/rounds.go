package experiment

import (
	"fmt"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/request/route"
)

// Round is a scenario with a name: one line of the table of measurements.
type Round struct {
	Name     string
	Scenario Scenario
}

// NoisySwing is a load swing from 18% to 90% of the capacity, during which 2 of 11
// upstreams run five times slower beside a burst of noisy batch tasks.
func NoisySwing() Scenario {
	s := Swing(0.18, 5)
	s.Slow, s.SlowFactor = 2, 5
	return s
}

// with returns a changed copy of the scenario.
func (s Scenario) with(change func(*Scenario)) Scenario {
	change(&s)
	return s
}

func routing(p route.Policy) func(*Scenario) { return func(s *Scenario) { s.Routing = p } }

// baseline replaces the whole request path with least-outstanding routing, no
// admission, and first come first served at the agents.
func baseline(s *Scenario) { s.Routing, s.Admission, s.FCFS = route.LeastOutstanding, false, true }

// slotsOnly isolates the scheduler of the agents: random routing and no admission
// make the arrivals at each agent independent.
func slotsOnly(s *Scenario) { s.Routing, s.Admission = route.Random, false }

// slotsFCFS is slotsOnly with the baseline of the agent's scheduler.
func slotsFCFS(s *Scenario) { slotsOnly(s); s.FCFS = true }

func shortOnly(s *Scenario) { s.LongShare = 0 }

// Rounds returns the scenarios of docs/measurements-request.md.
func Rounds() []Round {
	var out []Round
	add := func(name string, s Scenario) { out = append(out, Round{name, s}) }
	for _, swing := range []Round{{"noisy swing to 0.9", NoisySwing()}, {"even swing to 0.9", Swing(0.18, 5)}, {"swing to 1.25", Swing(0.25, 5)}} {
		add(swing.Name+", random", swing.Scenario.with(routing(route.Random)))
		add(swing.Name+", least outstanding", swing.Scenario.with(routing(route.LeastOutstanding)))
		add(swing.Name+", expected wait", swing.Scenario)
		add(swing.Name+", least outstanding and FCFS", swing.Scenario.with(baseline))
	}
	for _, load := range []float64{0.5, 1, 2, 4} {
		add(fmt.Sprintf("load %g", load), NewScenario(load))
		add(fmt.Sprintf("load %g, short work only", load), NewScenario(load).with(shortOnly))
		add(fmt.Sprintf("load %g, least outstanding and FCFS", load), NewScenario(load).with(baseline))
	}
	for _, load := range []float64{0.7, 0.9} {
		add(fmt.Sprintf("slots at %g, FCFS", load), NewScenario(load).with(slotsFCFS))
		add(fmt.Sprintf("slots at %g, classes", load), NewScenario(load).with(slotsOnly))
	}
	return append(out, variants()...)
}

// variants returns scenarios that differ in one parameter or in one part of the
// request path, to show its effect.
func variants() []Round {
	limit := func(d time.Duration) func(*Scenario) {
		return func(s *Scenario) { s.Control.Urgent.TargetWait = d }
	}
	factor := func(f float64) func(*Scenario) { return func(s *Scenario) { s.Control.WaitFactor = f } }
	router := func(change func(*route.Config)) func(*Scenario) {
		return func(s *Scenario) { s.Router = change }
	}
	out := []Round{
		{"swing to 1.25, target wait 20 ms", Swing(0.25, 5).with(limit(20 * time.Millisecond))},
		{"load 4, short work only, wait factor 1", NewScenario(4).with(shortOnly).with(factor(1))},
		{"load 1, deadline check with p90", NewScenario(1).with(func(s *Scenario) { s.HighQuantile = true })},
		{"noisy swing to 0.9, slow upstreams not charged", NoisySwing().with(router(func(c *route.Config) { c.SlowdownThreshold = 1e9 }))},
		{"even swing to 0.9, own requests counted once", Swing(0.18, 5).with(router(func(c *route.Config) { c.Entries = 1 }))},
		{"even swing to 0.9, all upstreams local", Swing(0.18, 5).with(router(func(c *route.Config) { c.RemoteDelay = -time.Hour }))},
		{"swing to 0.9, 60% at one entry, expected wait", Swing(0.18, 5).with(func(s *Scenario) { s.Skew = 0.4 })},
		{"swing to 0.9, 60% at one entry, least outstanding", Swing(0.18, 5).with(func(s *Scenario) { s.Skew = 0.4 }).with(routing(route.LeastOutstanding))},
		{"load 1, target wait of batch 20 ms", NewScenario(1).with(func(s *Scenario) { s.Control.Batch.TargetWait = 20 * time.Millisecond })},
		{"slots at 0.7, long work hidden, FCFS", NewScenario(0.7).with(slotsFCFS).with(hideLong)},
		{"slots at 0.7, long work hidden, classes", NewScenario(0.7).with(slotsOnly).with(hideLong)},
		{"load 0.5, one upstream fails, ejection", NewScenario(0.5).with(oneFailing)},
		{"load 0.5, one upstream fails, no ejection", NewScenario(0.5).with(oneFailing).with(func(s *Scenario) { s.Eject = false })},
		{"load 0.5, one upstream fails, no ejection, least outstanding", NewScenario(0.5).with(oneFailing).with(func(s *Scenario) {
			s.Eject, s.Routing = false, route.LeastOutstanding
		})},
	}
	for _, n := range []int{3, 4, 5, 6} {
		s := NewScenario(0.6).with(slotsOnly)
		s.LongMean, s.Slots.MaxLong = 4*time.Second, n
		out = append(out, Round{fmt.Sprintf("slots at 0.6, long work of 4 s in at most %d slots", n), s})
	}
	return out
}

func hideLong(s *Scenario) { s.Hidden = true }

func oneFailing(s *Scenario) { s.Failing = 1 }

// Row runs a round with every seed and returns one line of a Markdown table with
// the medians. Times are in milliseconds.
func Row(r Round) string {
	runs := RunAll(r.Scenario)
	median := func(figure func(*Figures) float64) float64 { return medianOfRuns(runs, figure) }
	cells := []string{r.Name}
	for _, q := range []float64{0.5, 0.99, 0.999} {
		cells = append(cells, fmt.Sprintf("%.0f", median(func(f *Figures) float64 { return f.Latency(q).Seconds() * 1e3 })))
	}
	cells = append(cells,
		fmt.Sprintf("%.0f", median(func(f *Figures) float64 { return f.Wait(0.99).Seconds() * 1e3 })),
		fmt.Sprintf("%.1f%%", 100*median((*Figures).UrgentInTime)),
		fmt.Sprintf("%.1f%%", 100*median((*Figures).LongInTime)),
		fmt.Sprintf("%.0f", median((*Figures).Goodput)),
		fmt.Sprintf("%.1f", median((*Figures).Work)),
		fmt.Sprintf("%.2f%%", 100*median((*Figures).Failures)))
	return "| " + strings.Join(cells, " | ") + " |"
}
