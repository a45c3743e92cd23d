package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size of a plot in user units; the page scales it to the width of the screen.
const (
	plotWidth, plotHeight   = 360.0, 220.0
	marginLeft, marginRight = 44.0, 16.0
	marginTop, marginBottom = 8.0, 28.0
	maxDrawnPoints          = 600 // points of a line; longer lines are thinned out
)

// minShare is the lower end of the vertical axis of the latency plot: 1 request in
// 10,000.
const minShare = 1e-4

// palette is distinguishable with the common forms of color blindness.
var palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"}

// tick is a labeled position on an axis.
type tick struct {
	At   float64
	Text string
}

// line is an SVG polyline with its legend entry.
type line struct {
	Name, Color, Dash, Points string
	Width                     float64
}

// Widths of lines in user units. The first line of a plot over time is wider, so
// that it stays visible under a line drawn over it, for example the offered
// requests under the done ones.
const (
	firstWidth = 3.5
	otherWidth = 1.5
)

// plot is one SVG plot with its axes, in user units.
type plot struct {
	Title, XLabel, YLabel  string
	XTicks, YTicks         []tick
	Lines                  []line
	Left, Right, Top, Base float64
	Width, Height          float64
}

func newPlot(title, x, y string) plot {
	return plot{Title: title, XLabel: x, YLabel: y, Left: marginLeft, Right: plotWidth - marginRight,
		Top: marginTop, Base: plotHeight - marginBottom, Width: plotWidth, Height: plotHeight}
}

// axis maps values from low to high to positions between from and to.
type axis struct {
	low, high, from, to float64
	log                 bool
}

func (a axis) position(v float64) float64 {
	low, high := a.low, a.high
	if a.log {
		v, low, high = math.Log10(max(v, a.low)), math.Log10(low), math.Log10(high)
	}
	share := min(max((v-low)/(high-low), 0), 1)
	return a.from + share*(a.to-a.from)
}

// ticks returns decades of a logarithmic axis or about five round steps.
func (a axis) ticks(format func(float64) string) []tick {
	var out []tick
	if a.log {
		for e := math.Ceil(math.Log10(a.low) - 1e-9); e <= math.Log10(a.high)+1e-9; e++ {
			v := math.Pow(10, e)
			out = append(out, tick{a.position(v), format(v)})
		}
		return out
	}
	step := roundStep((a.high - a.low) / 4)
	for i := math.Ceil(a.low / step); i*step <= a.high*(1+1e-9) && len(out) < 20; i++ {
		out = append(out, tick{a.position(i * step), format(i * step)})
	}
	return out
}

// roundStep returns the least of 1, 2, 5 times a power of ten that is at least x.
func roundStep(x float64) float64 {
	if x <= 0 {
		return 1
	}
	base := math.Pow(10, math.Floor(math.Log10(x)))
	for _, m := range []float64{1, 2, 5} {
		if m*base >= x*(1-1e-9) {
			return m * base
		}
	}
	return 10 * base
}

// formatNumber formats a value with four significant digits, but large numbers in
// full: an exponent is wide and hard to read on an axis.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1e4 && math.Abs(v) < 1e15 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return fmt.Sprintf("%.4g", v)
}

func formatShare(v float64) string { return fmt.Sprintf("%g %%", math.Round(v*1e6)/1e4) }

// polylinePoints renders a line, thinned to about maxDrawnPoints points; the last
// point of the line is always kept.
func polylinePoints(x, y axis, values [][2]float64) string {
	step := (len(values) + maxDrawnPoints - 1) / maxDrawnPoints
	var b strings.Builder
	for i, v := range values {
		if i%max(step, 1) == 0 || i == len(values)-1 {
			fmt.Fprintf(&b, "%.1f,%.1f ", x.position(v[0]), y.position(v[1]))
		}
	}
	return strings.TrimSpace(b.String())
}

// lineStyle returns the color of the i-th name and the dash pattern of a run.
func lineStyle(i, run int) (color, dash string) {
	if run > 0 {
		dash = "5 3"
	}
	return palette[i%len(palette)], dash
}

// runLabel appends the number of the run to a name if there are two runs.
func runLabel(name string, run, runs int) string {
	if runs == 1 {
		return name
	}
	return fmt.Sprintf("%s (run %d)", name, run+1)
}

// indexer numbers names in the order in which they appear, so that a name has
// the same color in both runs.
type indexer map[string]int

func (x indexer) index(name string) int {
	i, ok := x[name]
	if !ok {
		i = len(x)
		x[name] = i
	}
	return i
}

// latencyPlot draws the share of requests that take longer than a given time. Both
// axes are logarithmic, so that the tail is visible.
func latencyPlot(results []Result) (plot, bool) {
	p := newPlot("Latency per class", "ms", "share that takes longer, straight between known points")
	low, high := math.Inf(1), 0.0
	for _, r := range results {
		for _, h := range r.Histograms {
			if h.Total() > 0 {
				low, high = min(low, h.Buckets[0].UpToMs), max(high, h.Buckets[len(h.Buckets)-1].UpToMs)
			}
		}
	}
	if high == 0 {
		return p, false
	}
	low, high = math.Pow(10, math.Floor(math.Log10(low))), math.Pow(10, math.Ceil(math.Log10(high)))
	if low == high {
		high = low * 10
	}
	x := axis{low, high, p.Left, p.Right, true}
	y := axis{minShare, 1, p.Base, p.Top, true}
	p.XTicks, p.YTicks = x.ticks(formatNumber), y.ticks(formatShare)
	colors := indexer{}
	for run, r := range results {
		for _, h := range r.Histograms {
			if h.Total() == 0 {
				continue
			}
			color, dash := lineStyle(colors.index(h.Class), run)
			p.Lines = append(p.Lines, line{runLabel(h.Class, run, len(results)), color, dash, polylinePoints(x, y, h.tailShares(low)), otherWidth})
		}
	}
	return p, true
}

// tailShares returns the share of latencies above low, which is 1, and above each
// bucket bound.
func (h Histogram) tailShares(low float64) [][2]float64 {
	total, left := float64(h.Total()), h.Total()
	out := [][2]float64{{low, 1}}
	for _, b := range h.Buckets {
		left -= b.Count
		out = append(out, [2]float64{b.UpToMs, float64(left) / total})
	}
	return out
}

// seriesPlots draws one plot for each plot name, in the order of appearance.
func seriesPlots(results []Result) []plot {
	var names []string
	seen := indexer{}
	for _, r := range results {
		for _, s := range r.Series {
			if seen.index(s.Plot) == len(names) {
				names = append(names, s.Plot)
			}
		}
	}
	var out []plot
	for _, name := range names {
		if p, ok := seriesPlot(name, results); ok {
			out = append(out, p)
		}
	}
	return out
}

// seriesPlot draws the series of one plot from all results. It returns false if
// they have no points.
func seriesPlot(name string, results []Result) (plot, bool) {
	p := newPlot(name, "s", "")
	xLow, xHigh, yLow, yHigh := math.Inf(1), math.Inf(-1), 0.0, math.Inf(-1)
	for _, r := range results {
		for _, s := range r.Series {
			if s.Plot != name {
				continue
			}
			p.YLabel = s.Unit
			for _, v := range s.Points {
				xLow, xHigh, yLow, yHigh = min(xLow, v[0]), max(xHigh, v[0]), min(yLow, v[1]), max(yHigh, v[1])
			}
		}
	}
	if math.IsInf(xLow, 1) {
		return p, false
	}
	if xHigh == xLow {
		xHigh = xLow + 1
	}
	if yHigh <= yLow {
		yHigh = yLow + 1
	}
	x := axis{xLow, xHigh, p.Left, p.Right, false}
	y := axis{yLow, yHigh, p.Base, p.Top, false}
	p.XTicks, p.YTicks = x.ticks(formatNumber), y.ticks(formatNumber)
	colors := indexer{}
	for run, r := range results {
		for _, s := range r.Series {
			if s.Plot == name && len(s.Points) > 0 {
				color, dash := lineStyle(colors.index(s.Name), run)
				width := otherWidth
				if len(p.Lines) == 0 {
					width = firstWidth
				}
				p.Lines = append(p.Lines, line{runLabel(s.Name, run, len(results)), color, dash, polylinePoints(x, y, s.Points), width})
			}
		}
	}
	return p, true
}
