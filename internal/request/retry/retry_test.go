package retry

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/rescode"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

// Guards against retry storms, second runs of non-idempotent requests, and the
// outcome "not run" for an attempt that may have run.
func TestRetriesStayWithinBudget(t *testing.T) {
	codes := rapid.SampledFrom([]rescode.Code{
		rescode.OK, rescode.Overloaded, rescode.SlotsFull, rescode.QuotaExceeded, rescode.Tombstoned,
		rescode.AnswerLost, rescode.SessionLost, rescode.UpstreamFailed, rescode.UnknownTemplate,
	})
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		p := New(cfg, rand.New(rand.NewPCG(1, 2)))
		requests, extra := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			p.OnRequest()
			requests++
			a := Attempt{
				Number: rapid.IntRange(1, 3).Draw(t, "number"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				MayHaveRun: rapid.Bool().Draw(t, "mayHaveRun"), Code: codes.Draw(t, "code"),
				Remaining: time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond,
				Expected:  50 * time.Millisecond,
			}
			d := p.Next(a)
			mayHaveRun := a.MayHaveRun || a.Code.Outcome() != rescode.NotRun
			if d.Retry {
				extra++
				assert.False(t, mayHaveRun && !a.Idempotent, "second run of a non-idempotent request")
				assert.LessOrEqual(t, d.Delay+a.Expected, a.Remaining)
				assert.Positive(t, d.Delay)
				assert.LessOrEqual(t, d.Delay, cfg.MaxBackoff)
			} else if a.MayHaveRun {
				assert.NotEqual(t, rescode.NotRun, d.Code.Outcome())
			}
			if rapid.Bool().Draw(t, "hedge") && p.Hedge(a, 100*time.Millisecond, 90*time.Millisecond) {
				extra++
				assert.True(t, a.Idempotent)
			}
			if 10*extra > requests+10*cfg.Burst {
				t.Fatalf("%d extra attempts for %d requests", extra, requests)
			}
		}
	})
}

// Guards against a budget that refuses although 10% is not used up, and against
// a backoff without growth.
func TestBudgetEarnsOneRetryPerTenRequests(t *testing.T) {
	p := New(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	a := Attempt{Number: 1, Code: rescode.SlotsFull, Remaining: time.Minute}
	for range DefaultConfig().Burst {
		assert.True(t, p.Next(a).Retry)
	}
	assert.Equal(t, Decision{Code: rescode.RetryBudgetSpent}, p.Next(a))
	for range 10 {
		p.OnRequest()
	}
	assert.True(t, p.Next(a).Retry)
	var longest [5]time.Duration
	for range 1000 {
		for n := range longest {
			longest[n] = max(longest[n], p.backoff(n+1))
		}
	}
	for n := 1; n < len(longest); n++ {
		assert.InDelta(t, 2, float64(longest[n])/float64(longest[n-1]), 0.1)
	}
}

func BenchmarkNext(b *testing.B) {
	p := New(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	a := Attempt{Number: 1, Code: rescode.SlotsFull, Remaining: time.Minute}
	for b.Loop() {
		p.OnRequest()
		p.Next(a)
	}
}
