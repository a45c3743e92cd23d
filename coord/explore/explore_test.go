package explore

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/coord/lease"
)

// TestMain sets a fixed seed for the random runs unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// TestExhaustive guards against a task that runs in two places, resumes twice
// or never resumes. It searches all interleavings of each scenario.
func TestExhaustive(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			require.NoError(t, s.Options.Lease.Validate())
			stats, v := Search(s.Options, s.Depth, 50)
			t.Logf("depth %d: %+v", s.Depth, stats)
			if v != nil {
				t.Fatal(v)
			}
			require.Positive(t, stats.Recovered)
		})
	}
}

// TestMutations guards against a search that misses a fault: each case breaks one
// part of the permit rule, and the scenario must find a violation.
func TestMutations(t *testing.T) {
	for _, m := range []struct {
		name, scenario string
		apply          func(*Options, *lease.Faults)
	}{
		{"no wait after take-over", "coarse", func(_ *Options, f *lease.Faults) { f.NoWait = true }},
		{"permit from the receive time", "delay", func(_ *Options, f *lease.Faults) { f.FromReceive = true }},
		{"attestation ignored by the new owner", "outage", func(_ *Options, f *lease.Faults) { f.IgnoreAttestation = true }},
		{"attestation for a lost owner ignored", "lost owner", func(_ *Options, f *lease.Faults) { f.IgnoreAttestation = true }},
		{"only the current epoch asked", "outage", func(_ *Options, f *lease.Faults) { f.CurrentEpochOnly = true }},
		{"hold limit without drift", "drift", func(_ *Options, f *lease.Faults) { f.HoldWithoutDrift = true }},
		{"own renewals ignored", "outage", func(_ *Options, f *lease.Faults) { f.ForgetOwnAcks = true }},
		{"start without verification", "start", func(_ *Options, f *lease.Faults) { f.StartUnverified = true }},
		{"adopted attempt attested", "hold", func(_ *Options, f *lease.Faults) { f.AdoptAttested = true }},
		{"worker lease up to the permit", "worker", func(_ *Options, f *lease.Faults) { f.FullWorkerLease = true }},
		{"pages without fence", "coarse", func(o *Options, _ *lease.Faults) { o.NoFence = true }},
		{"start to another incarnation", "crash", func(o *Options, _ *lease.Faults) { o.AnyIncarnation = true }},
		{"released before the tombstone", "start", func(o *Options, _ *lease.Faults) { o.ReleaseEarly = true }},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			all := Scenarios()
			s := all[slices.IndexFunc(all, func(s Scenario) bool { return s.Name == m.scenario })]
			var f lease.Faults
			m.apply(&s.Options, &f)
			s.Options.Lease = s.Options.Lease.WithFaults(f)
			stats, v := Search(s.Options, s.Depth, 0)
			require.NotNil(t, v, "not found in %+v", stats)
			t.Logf("%s after %d transitions: %v", s.Name, stats.Transitions, v)
		})
	}
}

// TestRandom guards against violations beyond the depth of the searches. It
// follows long random paths with four entries, of which three are members at
// first.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.Entries, o.Faults = 4, 8
		o.SlowAgents = rapid.Bool().Draw(t, "slow")
		if v := Walk(o, 80, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }); v != nil {
			t.Fatal(v)
		}
	})
}

// TestSeeds follows random paths with fixed seeds. It guards in particular against
// a start message in flight that an agent accepts after its attempt was proven
// ended by time.
func TestSeeds(t *testing.T) {
	for _, entries := range []int{3, 4} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			o := DefaultOptions()
			o.Entries, o.Faults, o.SlowAgents = entries, 14, entries == 3
			if seed, v := WalkSeeds(o, 120, 1, 800); v != nil {
				t.Fatal("seed", seed, v)
			}
		})
	}
}
