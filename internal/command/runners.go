// Package command implements the command line of the binary. It parses the options,
// runs the client commands itself and passes the other commands to Runners.
package command

import (
	"context"
	"io"
	"time"

	"vanillalock.example/vanillalock/internal/settings"
)

// Values of options, for runners that check them.
const (
	OutputJSON   = "json"
	ProfileSwing = "swing"
)

// Streams are the output streams of a command.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // messages and logs
}

// Runner runs one command until it ends or ctx is cancelled.
type Runner[O any] func(ctx context.Context, options O, streams Streams) error

// Runners are the commands that other packages implement. A command whose
// runner is nil does not exist on the command line.
type Runners struct {
	Entry           Runner[EntryOptions]
	Agent           Runner[AgentOptions]
	FleetEntry      Runner[FleetOptions]
	FleetAgent      Runner[FleetOptions]
	StandinKV       Runner[StandinKVOptions]
	StandinWorker   Runner[StandinWorkerOptions]
	StandinUpstream Runner[StandinUpstreamOptions]
	Load            Runner[LoadOptions]
	Demo            Runner[DemoOptions]
	Bench           Runner[BenchOptions]
	Report          Runner[ReportOptions]
	Explain         Runner[ExplainOptions]
}

// EntryOptions are the options of "entry".
type EntryOptions struct {
	Settings settings.Entry
	Path     string // settings file
}

// AgentOptions are the options of "agent".
type AgentOptions struct {
	Settings settings.Agent
	Path     string // settings file
}

// FleetOptions are the options of "fleet-entry" and "fleet-agent", whose
// settings come from the platform.
type FleetOptions struct{}

// StandinKVOptions are the options of "standin kv".
type StandinKVOptions struct {
	Listen string        `default:"127.0.0.1:9000" help:"Listen address, host:port."`
	Delay  time.Duration `default:"0s" help:"Added to each call."`
}

// StandinWorkerOptions are the options of "standin worker".
type StandinWorkerOptions struct {
	Listen       string `default:"127.0.0.1:9100" help:"Listen address, host:port."`
	VM           string `default:"vm-1" help:"VM id."`
	MilliCPU     int64  `default:"16000" help:"Processors, in thousandths of a core."`
	MemoryMB     int64  `default:"62000" help:"Memory, in MiB."`
	Accelerators int64  `default:"0" help:"Accelerators, in whole devices."`

	UsageLag time.Duration `default:"2s" help:"Age of the usage reports."`
	FailAll  bool          `help:"Fail every task at once."`
}

// StandinUpstreamOptions are the options of "standin upstream".
type StandinUpstreamOptions struct {
	Listen      string `default:"127.0.0.1:9200" help:"Listen address, host:port."`
	Slots       int    `default:"8" help:"Requests run at once."`
	Connections int    `default:"64" help:"Connections accepted."`
	FailAll     bool   `help:"Fail every request at once."`
}

// LoadOptions are the options of "load".
type LoadOptions struct {
	Entry    []string      `required:"" sep:"," help:"Base URL of an entry; loopback only." placeholder:"URL"`
	Profile  string        `default:"steady" enum:"steady,swing" help:"Load profile: steady, or swing with a crest of five times the rate in the middle third."`
	Rate     float64       `default:"50" help:"Requests per second at the base of the profile."`
	Duration time.Duration `default:"30s" help:"Length of the run."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`
	JSON     string        `help:"File for the results as JSON." placeholder:"FILE"`
	Output   string        `default:"text" enum:"text,json" help:"Output format: text or json."`
}

// DemoOptions are the options of "demo".
type DemoOptions struct {
	Deployment string        `default:"lien-hoa" enum:"lien-hoa,pasji-urnik" help:"Deployment: lien-hoa or pasji-urnik."`
	Duration   time.Duration `default:"20s" help:"Length of the load."`
	Seed       uint64        `default:"1" help:"Seed of the load."`
	LogLevel   string        `default:"error" enum:"debug,info,warn,error" help:"Least level of log lines."`
	JSON       string        `help:"File for the results as JSON." placeholder:"FILE"`
	Output     string        `default:"text" enum:"text,json" help:"Output format: text or json."`
}

// BenchOptions are the options of "bench".
type BenchOptions struct {
	Case     []string      `sep:"," help:"Names of the cases; all if empty." placeholder:"NAME"`
	Duration time.Duration `default:"12s" help:"Measured time at one size."`
	Seed     uint64        `default:"1" help:"Seed of the order of requests and sizes."`
	JSON     string        `help:"File for the results as JSON." placeholder:"FILE"`
	Page     string        `help:"Write the tables of this page from the JSON file and measure nothing." placeholder:"FILE"`
}

// ReportOptions are the options of "report".
type ReportOptions struct {
	Result []string `arg:"" help:"One JSON result, or two to compare." placeholder:"FILE"`
	HTML   string   `name:"html" help:"File for the HTML page." placeholder:"FILE"`
}

// ExplainOptions are the options of "explain".
type ExplainOptions struct {
	Entry  string        `xor:"from" required:"" help:"Address of the sessions of an entry of a fleet, host:port." placeholder:"ADDRESS"`
	State  string        `xor:"from" required:"" help:"File with a recorded state instead of an entry." placeholder:"FILE"`
	Queue  string        `xor:"queue" help:"Name of the job's queue."`
	Host   string        `xor:"queue" help:"Host of the job's queue, with --path."`
	Path   string        `help:"Path prefix of the job's queue, with --host."`
	Record string        `help:"Write the state of the leader to this file; the job may be left out." placeholder:"FILE"`
	Output string        `default:"text" enum:"text,json" help:"Output format: text or json."`
	Wait   time.Duration `default:"10s" help:"Time limit of the call."`
	// Job is the job in the callers' JSON format; empty: none is given.
	Job []byte `kong:"-"`
}
