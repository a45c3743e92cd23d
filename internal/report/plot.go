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
	maxDrawn                = 600 // points of a line; more are thinned out
)

// leastShare is the lower end of the latency plot's axis: one of 10,000.
const leastShare = 1e-4

// palette is distinguishable with the common forms of color blindness.
var palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"}

type tick struct {
	At   float64
	Text string
}

type line struct {
	Name, Color, Dash, Points string
	Width                     float64
}

// Widths of lines in user units. The first line of a plot is wide, so that it
// shows under a later one that covers it, as done requests cover the offered.
const (
	firstWidth = 3.5
	otherWidth = 1.5
)

func (p *plot) add(l line) {
	l.Width = otherWidth
	if len(p.Lines) == 0 {
		l.Width = firstWidth
	}
	p.Lines = append(p.Lines, l)
}

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

// axis maps values to positions.
type axis struct {
	low, high, from, to float64
	log                 bool
}

func (a axis) at(v float64) float64 {
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
			out = append(out, tick{a.at(v), format(v)})
		}
		return out
	}
	step := roundStep((a.high - a.low) / 4)
	for i := math.Ceil(a.low / step); i*step <= a.high*(1+1e-9) && len(out) < 20; i++ {
		out = append(out, tick{a.at(i * step), format(i * step)})
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

// number writes large numbers without an exponent, which is wide and hard to
// read on an axis.
func number(v float64) string {
	if math.Abs(v) >= 1e4 && math.Abs(v) < 1e15 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return fmt.Sprintf("%.4g", v)
}

func share(v float64) string { return fmt.Sprintf("%g %%", math.Round(v*1e6)/1e4) }

// points renders a line, thinned to at most maxDrawn points; the last point of
// the line always stays.
func points(x, y axis, values [][2]float64) string {
	step := (len(values) + maxDrawn - 1) / maxDrawn
	var b strings.Builder
	for i, v := range values {
		if i%max(step, 1) == 0 || i == len(values)-1 {
			fmt.Fprintf(&b, "%.1f,%.1f ", x.at(v[0]), y.at(v[1]))
		}
	}
	return strings.TrimSpace(b.String())
}

// style returns the color of the i-th name and the dash of the run-th run.
func style(i, run int) (color, dash string) {
	if run > 0 {
		dash = "5 3"
	}
	return palette[i%len(palette)], dash
}

// label adds the run to a name when there are two.
func label(name string, run, runs int) string {
	if runs == 1 {
		return name
	}
	return fmt.Sprintf("%s (run %d)", name, run+1)
}

// indexer numbers names in the order in which they appear, so that a name has
// the same color in both runs.
type indexer map[string]int

func (x indexer) of(name string) int {
	i, ok := x[name]
	if !ok {
		i = len(x)
		x[name] = i
	}
	return i
}

// latencyPlot draws the share of requests that take longer than a time, both
// axes logarithmic, so that the tail is visible.
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
	y := axis{leastShare, 1, p.Base, p.Top, true}
	p.XTicks, p.YTicks = x.ticks(number), y.ticks(share)
	colors := indexer{}
	for run, r := range results {
		for _, h := range r.Histograms {
			if h.Total() == 0 {
				continue
			}
			color, dash := style(colors.of(h.Class), run)
			p.add(line{Name: label(h.Class, run, len(results)), Color: color, Dash: dash, Points: points(x, y, h.slower(low))})
		}
	}
	return p, true
}

// slower returns the share of latencies above each bucket bound.
func (h Histogram) slower(low float64) [][2]float64 {
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
			if seen.of(s.Plot) == len(names) {
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
	p.XTicks, p.YTicks = x.ticks(number), y.ticks(number)
	colors := indexer{}
	for run, r := range results {
		for _, s := range r.Series {
			if s.Plot == name && len(s.Points) > 0 {
				color, dash := style(colors.of(s.Name), run)
				p.add(line{Name: label(s.Name, run, len(results)), Color: color, Dash: dash, Points: points(x, y, s.Points)})
			}
		}
	}
	return p, true
}
