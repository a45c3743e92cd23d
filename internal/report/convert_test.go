package report

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/load"
)

func loadReport() load.Report {
	r := load.Report{Schema: load.Schema, Codes: map[string]int{"0": 1000}}
	r.Plan.Seed = 7
	r.Plan.Schedule = load.Schedule{BaseRate: 50, LengthMs: 2000}
	r.Groups = []load.Group{{Template: "booking", Class: "urgent", Latency: load.Latency{Count: 1000, P50Us: 2000, P90Us: 3000, P99Us: 9000, P999Us: 40_000, MaxUs: 40_000}}}
	r.Groups[0].Offered, r.Groups[0].Done = 1001, 1000
	r.Seconds = []load.Second{{Second: 0, P99Us: 9000}, {Second: 1, P99Us: 5000}}
	return r
}

// Guards against a field of the JSON reports that is rendered wrongly, and against
// an unknown schema that is rendered as an empty page instead of an error.
func TestConvertsReportsOfTheTools(t *testing.T) {
	d := demo.Report{Schema: demo.ReportSchema, Deployment: demo.PasjiUrnik, Duration: 20, Seed: 7, Violations: 3,
		Invariants: map[string]int{"single_run": 3}, Evictions: 41, Load: loadReport(),
		WorstNode: demo.NodeCost{VM: "vm-1", ControlBytesPerSecond: 1234}}
	var asLoad, asDemo bytes.Buffer
	require.NoError(t, loadReport().WriteJSON(&asLoad))
	require.NoError(t, d.WriteJSON(&asDemo))
	for _, c := range []struct{ input, command, row string }{
		{asLoad.String(), "vanillalock load --entry URL --profile steady --rate 50 --duration 2s --seed 7", "[booking urgent 1001 1000 "},
		{asDemo.String(), "vanillalock demo --deployment pasji-urnik --duration 20s --seed 7", "[single_run 3]"},
		{asDemo.String(), "vanillalock demo --deployment pasji-urnik --duration 20s --seed 7", "[evictions 41]"},
		{asDemo.String(), "vanillalock demo --deployment pasji-urnik --duration 20s --seed 7", "[busiest node vm-1: 1234 bytes/s of control"},
	} {
		r, err := Read(strings.NewReader(c.input))
		require.NoError(t, err)
		assert.Equal(t, c.command, r.Command)
		assert.Contains(t, fmt.Sprint(r.Tables), c.row)
		require.Len(t, r.Histograms, 1)
		h := r.Histograms[0]
		assert.Equal(t, []float64{2, 9, 40}, []float64{h.Quantile(0.5), h.Quantile(0.99), h.Quantile(0.999)})
		assert.Equal(t, int64(1000), h.Total())
	}
	_, err := Read(strings.NewReader(`{"schema":"vanillalock.load/2","title":"x"}`))
	assert.ErrorContains(t, err, "vanillalock.load/2")
}

// Guards against ratios of two runs that are inverted or mix classes, and against
// tables that do not name their run.
func TestComparesTwoReports(t *testing.T) {
	paths := []string{filepath.Join(t.TempDir(), "1"), filepath.Join(t.TempDir(), "2")}
	for i, path := range paths {
		r := loadReport()
		r.Groups[0].Latency.P50Us /= int64(i + 1)
		var data bytes.Buffer
		require.NoError(t, r.WriteJSON(&data))
		require.NoError(t, os.WriteFile(path, data.Bytes(), 0o600))
	}
	var text bytes.Buffer
	require.NoError(t, Files(paths, "", &text))
	lines := strings.Join(strings.Fields(text.String()), " ")
	assert.Contains(t, lines, "Latency, run 2 / run 1 class p50 p99 p99.9 booking, urgent 0.5 1 1")
	assert.Contains(t, lines, "Requests (run 2)")
	assert.NotContains(t, lines, "differ")
}
