package classify

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/fixedseed"
	"vanillalock.example/vanillalock/internal/structs"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1)) }

// exactQuantile computes a quantile and the total weight from all samples, oldest
// first.
func exactQuantile(samples []time.Duration, decay, q float64) (time.Duration, float64) {
	type weighted struct {
		d time.Duration
		w float64
	}
	var all []weighted
	total := 0.0
	for i, d := range samples {
		w := math.Pow(decay, float64(len(samples)-i))
		all = append(all, weighted{d, w})
		total += w
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(a.d, b.d) })
	sum := 0.0
	for _, s := range all {
		if sum += s.w; sum >= q*total {
			return s.d, total
		}
	}
	return all[len(all)-1].d, total
}

// Compares the quantiles of a histogram with exact ones. Guards against wrong
// quantiles, missing decay and overflow of the weights.
func TestQuantileAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		decay := rapid.SampledFrom([]float64{0.5, 0.9, 0.98, 1}).Draw(t, "decay")
		var h histogram
		var samples []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			d := time.Duration(math.Exp(rapid.Float64Range(0, 15).Draw(t, "log ms")) * float64(time.Millisecond))
			samples = append(samples, d)
			h.add(d, decay)
		}
		step := math.Exp2(1.0 / bucketsPerDoubling)
		for _, q := range []float64{0.5, 0.9} {
			// A rank within rounding of a sample's edge may fall on either side.
			low, _ := exactQuantile(samples, decay, q-1e-5)
			high, total := exactQuantile(samples, decay, q+1e-5)
			got := float64(h.quantile(q))
			require.GreaterOrEqual(t, got, float64(low)*0.999999)
			require.LessOrEqual(t, got, max(float64(high)*step, float64(firstBucketBound))*1.000001)
			require.InEpsilon(t, total/decay, h.weight()*1, 1.0/decay)
		}
	})
}

// Guards against using declared times although measured ones exist, and against
// keeping the old class of work whose run time has changed.
func TestLearnsAndFallsBack(t *testing.T) {
	c := New(DefaultConfig())
	assert.Equal(t, FromDefault, c.Estimate("clip", "a", 0).Source)
	assert.Equal(t, structs.SizeLong, c.Estimate("clip", "a", time.Minute).Class)
	for range 20 {
		c.Observe("clip", "a", 30*time.Millisecond)
	}
	assert.Equal(t, structs.SizeShort, c.Estimate("clip", "a", time.Minute).Class)
	assert.Equal(t, FromTemplate, c.Estimate("clip", "b", time.Minute).Source)
	for range 20 {
		c.Observe("clip", "b", 10*time.Second)
	}
	assert.Equal(t, structs.SizeLong, c.Estimate("clip", "b", 0).Class)
	assert.Equal(t, structs.SizeShort, c.Estimate("clip", "a", 0).Class)
	for range 120 {
		c.Observe("clip", "b", 30*time.Millisecond)
	}
	assert.Equal(t, structs.SizeShort, c.Estimate("clip", "b", 0).Class)
}

// Guards against unbounded memory and against evicting keys in use.
func TestEvictsColdKeys(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxKeys = 10
	c := New(cfg)
	for i := range 1000 {
		c.Observe("hot", "customer", time.Second)
		c.Observe(fmt.Sprint(i), "customer", time.Second)
		require.LessOrEqual(t, c.Len(), cfg.MaxKeys)
	}
	assert.Equal(t, FromPair, c.Estimate("hot", "customer", 0).Source)
}

// Guards against a request that outlasts its class and is not moved to a longer
// one, or is moved back to a shorter one.
func TestOutlastedMovesToLongerClass(t *testing.T) {
	c, class, run := New(DefaultConfig()), structs.SizeShort, time.Duration(0)
	var seen []structs.SizeClass
	for {
		var next time.Duration
		class, next = c.Outlasted(class, run)
		seen = append(seen, class)
		if next == 0 {
			break
		}
		run = next
	}
	assert.Equal(t, []structs.SizeClass{structs.SizeShort, structs.SizeMedium, structs.SizeLong}, seen)
	class, _ = c.Outlasted(structs.SizeLong, 0)
	assert.Equal(t, structs.SizeLong, class)
}

func BenchmarkEstimate(b *testing.B) {
	c := New(DefaultConfig())
	for i := range 100 {
		c.Observe("t", "c", time.Duration(i)*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Estimate("t", "c", 0)
	}
}
