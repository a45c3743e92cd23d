package bench

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a capacity page that does not match the committed result.
func TestPageMatchesResult(t *testing.T) {
	r, err := Load(filepath.Join("..", "..", "docs", "capacity.json"))
	require.NoError(t, err)
	tables, err := Tables(r)
	require.NoError(t, err)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "capacity-bench.md"))
	require.NoError(t, err)
	want, err := replaceTables(string(page), tables)
	require.NoError(t, err)
	require.Equal(t, want, string(page), "run: go run ./cmd/vanillalock bench --json docs/capacity.json --page docs/capacity-bench.md")
}

// Guards against a committed result whose fitted lines do not match its samples or
// are fitted to fewer than three sizes.
func TestResultFitsItsSamples(t *testing.T) {
	r, err := Load(filepath.Join("..", "..", "docs", "capacity.json"))
	require.NoError(t, err)
	require.NotEmpty(t, r.Series)
	for _, s := range r.Series {
		again, scale := series{s}, 1.0
		again.fit()
		for _, p := range s.Samples {
			scale = max(scale, math.Abs(p.Y))
		}
		// Rounding differs between processors with and without fused operations.
		got := []float64{s.Slope, s.Intercept, s.SlopeMin, s.SlopeMax, s.InterceptMin, s.InterceptMax}
		want := []float64{again.Slope, again.Intercept, again.SlopeMin, again.SlopeMax, again.InterceptMin, again.InterceptMax}
		require.InDeltaSlice(t, want, got, 1e-12*scale, s.Name)
		require.Equal(t, again.Sizes, s.Sizes, s.Name)
		require.GreaterOrEqual(t, len(s.Sizes), 3, s.Name)
	}
}
