package command

import (
	"errors"

	"github.com/alecthomas/kong"

	"vanillalock.example/vanillalock/internal/settings"
)

type entryCmd struct {
	Config string `required:"" help:"Settings file." placeholder:"FILE"`
	run    Runner[EntryOptions]
}

// Help implements kong.HelpProvider.
func (*entryCmd) Help() string { return "Example: vanillalock entry --config examples/entry.toml" }

// Run loads the settings and runs the role.
func (c *entryCmd) Run(s *invocation) error {
	loaded, err := loadSettings(c.Config, settings.ParseEntry)
	if err != nil {
		return err
	}
	return c.run(s.ctx, EntryOptions{loaded, c.Config}, s.streams)
}

type agentCmd struct {
	Config string `required:"" help:"Settings file." placeholder:"FILE"`
	run    Runner[AgentOptions]
}

// Help implements kong.HelpProvider.
func (*agentCmd) Help() string { return "Example: vanillalock agent --config examples/agent.toml" }

// Run loads the settings and runs the role.
func (c *agentCmd) Run(s *invocation) error {
	loaded, err := loadSettings(c.Config, settings.ParseAgent)
	if err != nil {
		return err
	}
	return c.run(s.ctx, AgentOptions{loaded, c.Config}, s.streams)
}

// fleetCmd is the command "fleet-entry" or "fleet-agent".
type fleetCmd struct {
	run Runner[FleetOptions]
}

// Help implements kong.HelpProvider.
func (*fleetCmd) Help() string {
	return "The platform names the settings file. Example: vanillalock fleet-entry"
}

// Run runs the role.
func (c *fleetCmd) Run(s *invocation) error { return c.run(s.ctx, FleetOptions{}, s.streams) }

// standinCmd holds the commands that run stand-ins for outside systems.
type standinCmd struct {
	kong.Plugins
}

// Help implements kong.HelpProvider.
func (*standinCmd) Help() string { return "Example: vanillalock standin kv --listen 127.0.0.1:9000" }

// newStandinCmd returns the commands of the stand-ins that have a runner.
func newStandinCmd(r Runners) *standinCmd {
	s := &standinCmd{}
	if r.StandinKV != nil {
		s.Plugins = append(s.Plugins, &struct {
			KV standinKVCmd `cmd:"" name:"kv" help:"Key-value service."`
		}{standinKVCmd{run: r.StandinKV}})
	}
	if r.StandinWorker != nil {
		s.Plugins = append(s.Plugins, &struct {
			Worker standinWorkerCmd `cmd:"" help:"Worker of one VM."`
		}{standinWorkerCmd{run: r.StandinWorker}})
	}
	if r.StandinUpstream != nil {
		s.Plugins = append(s.Plugins, &struct {
			Upstream standinUpstreamCmd `cmd:"" help:"Executor of one VM."`
		}{standinUpstreamCmd{run: r.StandinUpstream}})
	}
	return s
}

type standinKVCmd struct {
	StandinKVOptions
	run Runner[StandinKVOptions]
}

// Help implements kong.HelpProvider.
func (*standinKVCmd) Help() string { return "Example: vanillalock standin kv --listen 127.0.0.1:9000" }

// Run runs the stand-in.
func (c *standinKVCmd) Run(s *invocation) error { return c.run(s.ctx, c.StandinKVOptions, s.streams) }

type standinWorkerCmd struct {
	StandinWorkerOptions
	run Runner[StandinWorkerOptions]
}

// Help implements kong.HelpProvider.
func (*standinWorkerCmd) Help() string { return "Example: vanillalock standin worker --vm vm-1" }

// Run runs the stand-in.
func (c *standinWorkerCmd) Run(s *invocation) error {
	return c.run(s.ctx, c.StandinWorkerOptions, s.streams)
}

type standinUpstreamCmd struct {
	StandinUpstreamOptions
	run Runner[StandinUpstreamOptions]
}

// Help implements kong.HelpProvider.
func (*standinUpstreamCmd) Help() string { return "Example: vanillalock standin upstream --slots 8" }

// Run runs the stand-in.
func (c *standinUpstreamCmd) Run(s *invocation) error {
	return c.run(s.ctx, c.StandinUpstreamOptions, s.streams)
}

type loadCmd struct {
	LoadOptions
	run Runner[LoadOptions]
}

// Help implements kong.HelpProvider.
func (*loadCmd) Help() string {
	return "Example: vanillalock load --entry http://127.0.0.1:8080 --rate 50 --duration 30s"
}

// Run runs the load.
func (c *loadCmd) Run(s *invocation) error { return c.run(s.ctx, c.LoadOptions, s.streams) }

type demoCmd struct {
	DemoOptions
	run Runner[DemoOptions]
}

// Help implements kong.HelpProvider.
func (*demoCmd) Help() string {
	return "Example: vanillalock demo --deployment pasji-urnik --duration 20s"
}

// Run runs the demonstration.
func (c *demoCmd) Run(s *invocation) error { return c.run(s.ctx, c.DemoOptions, s.streams) }

type benchCmd struct {
	BenchOptions
	run Runner[BenchOptions]
}

// Help implements kong.HelpProvider.
func (*benchCmd) Help() string { return "Example: vanillalock bench --json docs/capacity.json" }

// Run runs the measurement.
func (c *benchCmd) Run(s *invocation) error { return c.run(s.ctx, c.BenchOptions, s.streams) }

type reportCmd struct {
	ReportOptions
	run Runner[ReportOptions]
}

// Help implements kong.HelpProvider.
func (*reportCmd) Help() string {
	return "Example: vanillalock report before.json after.json --html report.html"
}

// Run renders the report.
func (c *reportCmd) Run(s *invocation) error { return c.run(s.ctx, c.ReportOptions, s.streams) }

type explainCmd struct {
	ExplainOptions
	File string `arg:"" optional:"" help:"Job in the JSON format of callers, or - for standard input." placeholder:"JOB"`
	run  Runner[ExplainOptions]
}

// Help implements kong.HelpProvider.
func (*explainCmd) Help() string {
	return "Example: vanillalock explain job.json --entry 10.0.1.4:7720 --queue batch"
}

// Run reads the job and explains it.
func (c *explainCmd) Run(s *invocation) error {
	switch {
	case c.File == "" && c.Record == "":
		return usageError{errors.New("a job or --record is required")}
	case c.Record != "" && c.State != "":
		return usageError{errors.New("--record needs --entry")}
	case c.File != "" && c.Queue == "" && (c.Host == "" || c.Path == ""):
		return usageError{errors.New("--queue, or --host and --path, are required")}
	}
	if c.File != "" {
		var err error
		if c.Job, err = readInput(s, c.File); err != nil {
			return err
		}
	}
	return c.run(s.ctx, c.ExplainOptions, s.streams)
}
