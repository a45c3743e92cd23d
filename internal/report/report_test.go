package report

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func sample() Result {
	return Result{
		Title: "swing <1>", Command: "vanillalock bench --seed 7", Seed: 7,
		Series: []Series{{"Load", "urgent", "requests/s", [][2]float64{{0, 10}, {1, 40}, {2, 10}}}},
		Histograms: []Histogram{
			{"short", []Bucket{{1, 90}, {10, 9}, {100, 1}}},
			{"long", []Bucket{{500, 4}, {2000, 1}}},
			{"none", nil},
		},
		Bars:   []Comparison{{"evictions", "1/h", 3, 12}, {"lost", "tasks", 1, 0}},
		Tables: []Table{{"Notes", []string{"a", "b"}, [][]string{{"1", "<b>"}}}},
	}
}

// Guards against quantiles that differ from those of the sorted values.
func TestQuantileAgainstSorted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var h Histogram
		var values []float64
		for i := range 1 + random.IntN(8) {
			n := random.Int64N(5)
			h.Buckets = append(h.Buckets, Bucket{float64(i + 1), n})
			for range n {
				values = append(values, float64(i+1))
			}
		}
		for _, percent := range []int{0, 1, 25, 50, 75, 99, 100} {
			want := 0.0
			if len(values) > 0 {
				rank := max((percent*len(values)+99)/100, 1)
				want = slices.Sorted(slices.Values(values))[rank-1]
			}
			require.Equal(t, want, h.Quantile(float64(percent)/100), "%v at %d", h, percent)
		}
	}
}

// Guards against a page that loads other resources, does not escape text of the
// result or omits a part, with one run and with two.
func TestPageAndSummary(t *testing.T) {
	dir := t.TempDir()
	path, html := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	data, err := json.Marshal(sample())
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	for runs, lines := range map[int]int{1: 3, 2: 6} {
		var text bytes.Buffer
		require.NoError(t, Files(slices.Repeat([]string{path}, runs), html, &text))
		page, err := os.ReadFile(html)
		require.NoError(t, err)
		assert.Equal(t, lines, strings.Count(string(page), "<polyline"))
		for _, part := range []string{"swing &lt;1&gt;", "&lt;b&gt;", "Ratio policy / baseline: 0.25", "the baseline is 0", "width:25%"} {
			assert.Contains(t, string(page), part)
		}
		for _, part := range []string{"http:", "https:", "src=", "<b>", "NaN", "Inf", "ZgotmplZ"} {
			assert.NotContains(t, string(page), part)
		}
		assert.Contains(t, text.String(), "0.25")
		assert.Equal(t, runs, strings.Count(text.String(), "seed 7\n"))
	}
	assert.Error(t, Files([]string{path, path, path}, "", &bytes.Buffer{}))
}

// Guards against a latency curve at the wrong position on the logarithmic axes.
func TestLatencyCurve(t *testing.T) {
	p, ok := latencyPlot([]Result{{Histograms: []Histogram{{"short", []Bucket{{1, 90}, {10, 9}, {100, 1}}}}}})
	require.True(t, ok)
	x := func(part float64) float64 { return p.Left + part*(p.Right-p.Left) }
	assert.InDelta(t, x(0.5), p.XTicks[1].At, 1e-9)
	// 10 % above 1 ms is a quarter of the way down four decades.
	assert.True(t, strings.HasPrefix(p.Lines[0].Points, "44.0,8.0 44.0,54.0 194.0,100.0 344.0,192.0"), p.Lines[0].Points)
}

// Guards against accepting a result that cannot be drawn.
func TestCheck(t *testing.T) {
	for _, broken := range []string{
		`{}`, `[]`, `{"title":"x","series":[{"points":[[2,1],[1,1]]}]}`,
		`{"title":"x","histograms":[{"buckets":[{"up_to_ms":1,"count":1},{"up_to_ms":1,"count":1}]}]}`,
		`{"title":"x","histograms":[{"buckets":[{"up_to_ms":0,"count":1}]}]}`,
		`{"title":"x","histograms":[{"buckets":[{"up_to_ms":1,"count":-1}]}]}`,
		`{"title":"x","bars":[{"policy":-1}]}`, `{"title":"x","tables":[{"columns":["a"],"rows":[[]]}]}`,
	} {
		_, err := Read(strings.NewReader(broken))
		assert.Error(t, err, broken)
	}
}
