package roles

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"vanillalock.example/vanillalock/internal/api/client"
	"vanillalock.example/vanillalock/internal/bench"
	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/load"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/report"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
	standinworker "vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
)

// Runners returns the runners of all commands of the binary.
func Runners() command.Runners {
	return command.Runners{
		Entry: RunEntry, Agent: RunAgent, FleetEntry: RunFleetEntry, FleetAgent: RunFleetAgent,
		StandinKV: runStandinKV, StandinWorker: runStandinWorker, StandinUpstream: runStandinUpstream,
		Load: runLoad, Demo: runDemo, Bench: runBench, Report: runReport, Explain: runExplain,
	}
}

func runBench(ctx context.Context, o command.BenchOptions, streams command.Streams) error {
	if o.Page != "" {
		if o.JSON == "" {
			return command.UsageError(errors.New("--page needs --json"))
		}
		return bench.UpdatePage(o.Page, o.JSON)
	}
	return bench.Run(ctx, bench.Options{Case: o.Case, Duration: o.Duration, Seed: o.Seed, JSON: o.JSON}, streams.Out, streams.Err)
}

func runReport(_ context.Context, o command.ReportOptions, streams command.Streams) error {
	return report.Files(o.Result, o.HTML, streams.Out)
}

func runStandinKV(ctx context.Context, o command.StandinKVOptions, streams command.Streams) error {
	s := standinkv.New(standinkv.Options{})
	if err := s.SetFaults(standinkv.Faults{DelayMs: o.Delay.Milliseconds()}); err != nil {
		return err
	}
	go s.Run(ctx)
	return serveStandin(ctx, o.Listen, s, s.Configure, streams)
}

func runStandinWorker(ctx context.Context, o command.StandinWorkerOptions, streams command.Streams) error {
	s := standinworker.New(standinworker.Options{
		ID:       o.VM,
		Capacity: structs.Resources{MilliCPU: o.MilliCPU, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators},
		UsageLag: o.UsageLag,
	})
	defer s.Close()
	if err := s.SetFaults(standinworker.Faults{FailAll: o.FailAll}); err != nil {
		return err
	}
	return serveStandin(ctx, o.Listen, s, s.Configure, streams)
}

func runStandinUpstream(ctx context.Context, o command.StandinUpstreamOptions, streams command.Streams) error {
	s := standinupstream.New(standinupstream.Options{ID: o.Listen, Slots: o.Slots, Connections: o.Connections})
	if err := s.SetFaults(standinupstream.Faults{FailAll: o.FailAll}); err != nil {
		return err
	}
	return serveStandin(ctx, o.Listen, s, s.Configure, streams)
}

// serveStandin serves a stand-in until ctx ends.
func serveStandin(ctx context.Context, address string, handler http.Handler, configure func(*http.Server), streams command.Streams) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	configure(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(streams.Err, "listening on %s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func runDemo(ctx context.Context, o command.DemoOptions, streams command.Streams) error {
	deployment, err := demo.Find(o.Deployment)
	if err != nil {
		return command.UsageError(err)
	}
	logger, err := obs.NewLogger(streams.Err, o.LogLevel, obs.FormatText)
	if err != nil {
		return command.UsageError(err)
	}
	r, err := demo.Run(ctx, demo.RunOptions{
		Deployment: deployment, Duration: o.Duration, Seed: o.Seed, Progress: streams.Err,
		System: demo.SystemOptions{Log: logger, Seed: o.Seed},
	})
	if err != nil {
		return err
	}
	if err := writeResult(o.JSON, o.Output, streams.Out, r.WriteJSON, r.WriteText); err != nil {
		return err
	}
	if r.Violations > 0 {
		return fmt.Errorf("%d violations of invariants", r.Violations)
	}
	return nil
}

// writeResult writes a result to out, as JSON or text as form selects. If path is not
// empty, it also writes the result as JSON to that file.
func writeResult(path, form string, out io.Writer, asJSON, asText func(io.Writer) error) error {
	if path != "" {
		file, err := os.Create(path)
		if err != nil {
			return fmt.Errorf("create result file: %w", err)
		}
		err = asJSON(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	if form == command.OutputJSON {
		return asJSON(out)
	}
	return asText(out)
}

// runLoad sends a mix of all request templates that the entries know, for the first
// customer that they list.
func runLoad(ctx context.Context, o command.LoadOptions, streams command.Streams) error {
	plan, err := newLoadPlan(ctx, o)
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, plan, load.Options{Entries: o.Entry})
	if err != nil {
		return err
	}
	return writeResult(o.JSON, o.Output, streams.Out, r.WriteJSON, r.WriteText)
}

// newLoadPlan returns the load that the options describe.
func newLoadPlan(ctx context.Context, o command.LoadOptions) (load.Plan, error) {
	length := o.Duration.Milliseconds()
	plan := load.Plan{
		Seed: o.Seed, RunID: fmt.Sprintf("load-%d-%d", o.Seed, time.Now().UnixNano()),
		Schedule: load.Schedule{BaseRate: o.Rate, LengthMs: length},
	}
	if o.Profile == command.ProfileSwing {
		plan.Schedule.CrestFactor, plan.Schedule.CrestStartMs, plan.Schedule.CrestLengthMs = 5, length/3, length/3
	}
	api, err := client.New(o.Entry, nil)
	if err != nil {
		return plan, command.UsageError(err)
	}
	templates, err := api.ListTemplates(ctx)
	if err != nil {
		return plan, fmt.Errorf("list templates: %w", err)
	}
	customers, err := api.ListCustomers(ctx)
	if err != nil {
		return plan, fmt.Errorf("list customers: %w", err)
	}
	if len(customers) == 0 {
		return plan, errors.New("no customer is configured")
	}
	for _, t := range templates {
		if t.Kind == structs.KindRequest {
			plan.Mix = append(plan.Mix, mixItem(t, customers[0].Name))
		}
	}
	if len(plan.Mix) == 0 {
		return plan, errors.New("no request template is configured")
	}
	return plan, nil
}

// mixItem returns the part of a load that uses the template t, with a value for each
// required parameter.
func mixItem(t structs.Template, customer string) load.MixItem {
	item := load.MixItem{
		Template: t.Name, Class: string(t.QoS), Share: 1, Customers: []string{customer},
		Parameters: map[string]string{}, TimeoutMs: t.DeadlineMillis, Key: !t.Idempotent,
	}
	if item.TimeoutMs == 0 {
		item.TimeoutMs = 10_000
	}
	for _, p := range t.Parameters {
		if p.Required {
			item.Parameters[p.Name] = "load"
		}
	}
	return item
}
