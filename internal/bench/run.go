package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	defaultDuration = 12 * time.Second
	// repeats is the number of windows at one size.
	repeats = 3
	// minWindow holds at least one heartbeat of each agent.
	minWindow = 2 * time.Second
)

// Options configure Run.
type Options struct {
	Case     []string      // names of the cases; all if empty
	Duration time.Duration // measured time at one size; 0: 12 s
	Seed     uint64        // of the order of requests and sizes; 0: 1
	JSON     string        // file for the result; empty: none
}

// bench is one run of the chosen cases.
type bench struct {
	options       Options
	log           io.Writer
	result        Result
	command       string
	currentSeries map[string]*series
	order         []string // names of the current case's series, in order of creation
	caseName      string
}

// cases are the measurements by name, in the order in which they run.
var cases = []struct {
	name string
	run  func(*bench, context.Context) error
}{
	{"records", (*bench).records},
	{"placement", (*bench).placement},
	{"open", (*bench).open},
	{"store", (*bench).storeCalls},
	{"entries", (*bench).entries},
	{"agents", (*bench).agents},
	{"tasks", (*bench).tasks},
	{"edits", (*bench).edits},
	{"starts", (*bench).starts},
	{"requests", (*bench).requests},
}

// Cases lists the names of the cases.
func Cases() []string {
	var out []string
	for _, c := range cases {
		out = append(out, c.name)
	}
	return out
}

// Run measures the chosen cases, writes a table to stdout, progress to stderr
// and the JSON result to the file of the options.
func Run(ctx context.Context, o Options, stdout, stderr io.Writer) error {
	if err := withDefaults(&o); err != nil {
		return err
	}
	b := &bench{options: o, log: stderr, result: newResult(o), command: commandOf(o)}
	for _, c := range cases {
		if len(o.Case) > 0 && !slices.Contains(o.Case, c.name) {
			continue
		}
		b.caseName, b.currentSeries, b.order = c.name, map[string]*series{}, nil
		started := time.Now()
		if err := c.run(b, ctx); err != nil {
			return fmt.Errorf("case %s: %w", c.name, err)
		}
		b.finish()
		fmt.Fprintf(stderr, "case %s: %.0f s\n", c.name, time.Since(started).Seconds())
	}
	if o.JSON != "" {
		if err := b.save(); err != nil {
			return err
		}
	}
	return b.result.WriteText(stdout)
}

func withDefaults(o *Options) error {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Duration < repeats*minWindow {
		return fmt.Errorf("a duration of %v is below %v, which %d windows need", o.Duration, repeats*minWindow, repeats)
	}
	for _, name := range o.Case {
		if !slices.Contains(Cases(), name) {
			return fmt.Errorf("unknown case %q: use some of %s", name, strings.Join(Cases(), ", "))
		}
	}
	return nil
}

// commandOf returns the command that reproduces a run.
func commandOf(o Options) string {
	command := fmt.Sprintf("go run ./cmd/vanillalock bench --duration %v --seed %d --json docs/capacity.json", o.Duration, o.Seed)
	if len(o.Case) > 0 {
		command += " --case " + strings.Join(o.Case, ",")
	}
	return command
}

func newResult(o Options) Result {
	return Result{
		Schema: Schema, GoVersion: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH,
		CPUs: runtime.NumCPU(), Seed: o.Seed, Repeats: repeats,
	}
}

// save writes the result. Series of cases that were not chosen are kept from an
// earlier result in the file.
func (b *bench) save() error {
	out := b.result
	if _, err := os.Stat(b.options.JSON); err == nil && len(b.options.Case) > 0 {
		old, err := Load(b.options.JSON)
		if err != nil {
			return err
		}
		out.Series = nil
		for _, s := range old.Series {
			if !slices.Contains(b.options.Case, s.Case) {
				kept := series{s}
				kept.fit()
				out.Series = append(out.Series, kept.Series)
			}
		}
		out.Series = append(out.Series, b.result.Series...)
	}
	return out.Save(b.options.JSON)
}

// window is the length of one measurement.
func (b *bench) window() time.Duration { return b.options.Duration / repeats }

// add records a sample of a series of the current case.
func (b *bench) add(name, unit, x string, size float64, repeat int, y float64) {
	s := b.currentSeries[name]
	if s == nil {
		s = &series{Series{Name: name, Case: b.caseName, Unit: unit, X: x}}
		b.currentSeries[name], b.order = s, append(b.order, name)
	}
	s.add(size, repeat, y)
}

// finish fits the series of the current case and adds them to the result.
func (b *bench) finish() {
	for _, name := range b.order {
		s := b.currentSeries[name]
		s.Command = b.command
		s.fit()
		b.result.Series = append(b.result.Series, s.Series)
	}
}

// WriteText writes one line for each series.
func (r Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "series\tunit\tper\tslope\tmin..max\tat 0")
	for _, s := range r.Series {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g..%.4g\t%.4g\n", s.Name, s.Unit, s.X, s.Slope, s.SlopeMin, s.SlopeMax, s.Intercept)
	}
	return t.Flush()
}
