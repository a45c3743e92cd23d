package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/settings"
)

// Exit codes of the binary, documented in docs/cli.md.
const (
	ExitOK         = 0 // the command succeeded
	ExitFailed     = 1 // internal error, or a role ended with an error
	ExitUsage      = 2 // the command line, a file or the settings are invalid
	ExitNotRun     = 3 // the input was rejected or the work is proven not run
	ExitUnknown    = 4 // it is unknown whether the work ran
	ExitWorkFailed = 5 // the work ran and failed
)

// Version is the version of the binary. The linker sets it.
var Version = "development"

// usageError is an error that the user corrects in a file or on the command line.
// It leads to the exit code ExitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// UsageError wraps an error of a runner so that the binary exits with ExitUsage.
func UsageError(err error) error { return usageError{err} }

// invocation holds the context and the streams of one run of the binary. Commands
// receive it in their Run methods.
type invocation struct {
	ctx     context.Context
	in      io.Reader
	streams Streams
}

// exitRequest is the panic value with which kong's exit hook, called after --help
// for example, returns an exit code to Run.
type exitRequest int

// Run parses args (without the program name), runs the command and returns
// the exit code.
func Run(ctx context.Context, args []string, in io.Reader, streams Streams, runners Runners) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exitRequest:
			code = int(p)
		default:
			panic(p)
		}
	}()
	parser, err := newParser(streams, runners)
	if err != nil {
		fmt.Fprintln(streams.Err, "error:", err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if err == nil {
		err = parsed.Run(&invocation{ctx, in, streams})
	} else {
		err = usageError{err}
	}
	if err != nil {
		fmt.Fprintln(streams.Err, "error:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var usage usageError
	var faults settings.Faults
	var coded *rescode.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &faults):
		return ExitUsage
	case !errors.As(err, &coded):
		return ExitFailed
	}
	switch outcome := coded.Code.Outcome(); {
	case coded.Code == rescode.Internal:
		return ExitFailed
	case outcome == rescode.NotRun:
		return ExitNotRun
	case outcome == rescode.Done:
		return ExitWorkFailed
	default:
		return ExitUnknown
	}
}

// rootCmd holds the commands that exist without a runner.
type rootCmd struct {
	Config   configCmd   `cmd:"" help:"Work with settings files."`
	Template templateCmd `cmd:"" help:"Work with templates."`
	Customer customerCmd `cmd:"" help:"Work with customers."`
	Job      jobCmd      `cmd:"" help:"Work with jobs."`
	Request  requestCmd  `cmd:"" help:"Run requests."`
	Status   statusCmd   `cmd:"" help:"Show the state of an entry."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// newParser returns the parser of the command line with a command for each runner
// that is not nil.
func newParser(streams Streams, r Runners) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("vanillalock"),
		kong.Description("Scheduler for latency-critical services, urgent requests and batch tasks on the same VMs."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	}
	add := func(name, help string, command any) {
		options = append(options, kong.DynamicCommand(name, help, "", command))
	}
	if r.FleetEntry != nil {
		add("fleet-entry", "Run the entry of a platform's fleet.", &fleetCmd{run: r.FleetEntry})
	}
	if r.FleetAgent != nil {
		add("fleet-agent", "Run the agent beside an executor of a platform's fleet.", &fleetCmd{run: r.FleetAgent})
	}
	if r.Entry != nil {
		add("entry", "Run the entry role.", &entryCmd{run: r.Entry})
	}
	if r.Agent != nil {
		add("agent", "Run the agent role.", &agentCmd{run: r.Agent})
	}
	if s := newStandinCmd(r); len(s.Plugins) > 0 {
		add("standin", "Run a stand-in for an outside system.", s)
	}
	if r.Load != nil {
		add("load", "Send a bounded load to entries on this machine.", &loadCmd{run: r.Load})
	}
	if r.Demo != nil {
		add("demo", "Run all roles and stand-ins in one process.", &demoCmd{run: r.Demo})
	}
	if r.Bench != nil {
		add("bench", "Measure policies beside their baselines.", &benchCmd{run: r.Bench})
	}
	if r.Explain != nil {
		add("explain", "Explain where a job of a fleet would go now, without sending it.", &explainCmd{run: r.Explain})
	}
	if r.Report != nil {
		add("report", "Render results as text and HTML.", &reportCmd{run: r.Report})
	}
	return kong.New(&rootCmd{}, options...)
}

type versionCmd struct{}

// Help implements kong.HelpProvider.
func (versionCmd) Help() string { return "Example: vanillalock version" }

// Run prints the version.
func (versionCmd) Run(s *invocation) error {
	_, err := fmt.Fprintln(s.streams.Out, "vanillalock", Version)
	return err
}

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check a settings file and print the effective settings."`
}

// Help implements kong.HelpProvider.
func (configCmd) Help() string {
	return "Example: vanillalock config check examples/entry.toml --role entry"
}

type configCheckCmd struct {
	File string `arg:"" help:"Settings file."`
	Role string `required:"" enum:"entry,agent" help:"Role of the file: entry or agent."`
}

// Help implements kong.HelpProvider.
func (configCheckCmd) Help() string {
	return "Example: vanillalock config check examples/entry.toml --role entry"
}

// Run checks the file and prints the settings with all defaults.
func (c configCheckCmd) Run(s *invocation) error {
	var effective string
	if c.Role == "entry" {
		e, err := loadSettings(c.File, settings.ParseEntry)
		if err != nil {
			return err
		}
		effective = e.Effective()
	} else {
		a, err := loadSettings(c.File, settings.ParseAgent)
		if err != nil {
			return err
		}
		effective = a.Effective()
	}
	_, err := io.WriteString(s.streams.Out, effective)
	return err
}

// loadSettings reads and parses a settings file. Its errors lead to ExitUsage.
func loadSettings[T any](path string, parse func([]byte) (T, error)) (T, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, usageError{fmt.Errorf("reading the settings: %w", err)}
	}
	parsed, err := parse(document)
	if err != nil {
		return parsed, fmt.Errorf("%s is invalid:\n  %w", path, usageError{indentLines(err)})
	}
	return parsed, nil
}

// indentLines returns err with the lines after the first indented.
func indentLines(err error) error {
	return errors.New(strings.ReplaceAll(err.Error(), "\n", "\n  "))
}
