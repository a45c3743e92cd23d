package experiment

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"vanillalock.example/vanillalock/internal/request/route"
)

var (
	rounds = flag.Bool("rounds", false, "print the table of all rounds")
	only   = flag.String("only", "", "print only the rounds whose names contain this text")
)

func p99(f *Figures) float64     { return f.Latency(0.99).Seconds() }
func waitP99(f *Figures) float64 { return f.Wait(0.99).Seconds() }

// checkRatio checks that the median of a figure is at most bound times that of the
// baseline.
func checkRatio(t *testing.T, policy, base Scenario, figure func(*Figures) float64, bound float64) {
	t.Helper()
	p, b := Median(policy, figure), Median(base, figure)
	t.Logf("policy %.4g, baseline %.4g, ratio %.3f, bound %g", p, b, p/b, bound)
	assert.LessOrEqual(t, p, bound*b)
}

// Checks that in a load swing by a factor of five the p99 latency of urgent requests
// is at most half of that with least-outstanding routing, with the same admission
// and slots.
func TestTargetsSwing(t *testing.T) {
	checkRatio(t, NoisySwing(), NoisySwing().with(routing(route.LeastOutstanding)), p99, 0.5)
}

// Checks the same target for the whole request path, against least-outstanding
// routing without admission and with first come first served at the agents.
func TestTargetsSwingOverCapacity(t *testing.T) {
	checkRatio(t, Swing(0.25, 5), Swing(0.25, 5).with(baseline), p99, 0.5)
}

// Guards against goodput that falls when the load exceeds the capacity. Goodput is
// counted in answers and in run time, so that refusing long work cannot hide a loss.
func TestTargetsGoodput(t *testing.T) {
	for _, change := range []func(*Scenario){func(*Scenario) {}, shortOnly} {
		at1, at4 := RunAll(NewScenario(1).with(change)), RunAll(NewScenario(4).with(change))
		for _, figure := range []func(*Figures) float64{(*Figures).Goodput, (*Figures).Work} {
			one, four := medianOfRuns(at1, figure), medianOfRuns(at4, figure)
			t.Logf("at 1x %.1f, at 4x %.1f, ratio %.3f", one, four, four/one)
			assert.GreaterOrEqual(t, four, 0.95*one)
		}
	}
}

// Guards against head-of-line blocking: with 10% long work, the p99 wait of short
// work is at most a fifth of that with first come first served.
func TestTargetsShortWait(t *testing.T) {
	checkRatio(t, NewScenario(0.9).with(slotsOnly), NewScenario(0.9).with(slotsFCFS), waitP99, 0.2)
}

// Guards against traffic to an upstream that fails every request immediately and so
// looks like the fastest one: with ejection it fails at most a tenth of the requests
// that it fails without, and others answer them.
func TestFailingUpstreamDrawsNoTraffic(t *testing.T) {
	without := NewScenario(0.5).with(oneFailing).with(func(s *Scenario) { s.Eject = false })
	checkRatio(t, NewScenario(0.5).with(oneFailing), without, (*Figures).Failures, 0.1)
	assert.GreaterOrEqual(t, Median(NewScenario(0.5).with(oneFailing), (*Figures).UrgentInTime), 0.99)
}

// Guards against figures that change between runs of one seed.
func TestSameSeedSameFigures(t *testing.T) {
	assert.Equal(t, Run(NoisySwing(), 1), Run(NoisySwing(), 1))
}

// TestRounds prints the table of docs/measurements-request.md.
func TestRounds(t *testing.T) {
	if !*rounds {
		t.Skip("prints a table and checks nothing; use -rounds -v")
	}
	for _, r := range Rounds() {
		if !strings.Contains(r.Name, *only) {
			continue
		}
		t.Log(Row(r))
	}
}
