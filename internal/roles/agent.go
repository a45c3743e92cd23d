package roles

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillalock.example/vanillalock/internal/agent"
	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/request/dedup"
	"vanillalock.example/vanillalock/internal/settings"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/upstream"
	"vanillalock.example/vanillalock/internal/worker"
)

// RunAgent runs the agent role until ctx ends, then drains the agent.
func RunAgent(ctx context.Context, o command.AgentOptions, streams command.Streams) error {
	if err := obs.SetupLogging(streams.Err, o.Settings.Log.Level, o.Settings.Log.Format); err != nil {
		return err
	}
	var a *agent.Agent
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o.Settings),
		fx.Provide(agentTracer, agentTLS, newAgent),
		fx.Invoke(serveAgentHTTP),
		fx.Populate(&a),
	)
	return run(ctx, app, func() process { return a }, obs.Logger("agent"))
}

func agentTracer(lc fx.Lifecycle, s settings.Agent) (trace.Tracer, error) {
	return newTracer(lc, "agent", s.VM, s.Trace)
}

func agentTLS(s settings.Agent) (tlsConfigs, error) { return newTLS(s.TLS) }

func newAgent(lc fx.Lifecycle, s settings.Agent, tlsConf tlsConfigs, tracer trace.Tracer) (*agent.Agent, error) {
	records := dedup.DefaultConfig()
	records.MaxRecords, records.Retention = int(s.Records.Limit), s.Records.RetainFor
	o := agent.Options{
		Node: structs.Node{
			ID: s.VM, FailureDomain: s.FailureDomain, Rack: s.Rack, Slots: int(s.Slots), Connections: int(s.Connections),
			Capacity: structs.Resources{MilliCPU: s.Capacity.MilliCPU, MemoryMB: s.Capacity.MemoryMB, Accelerators: s.Capacity.Accelerators},
		},
		Entries: s.Entries, TLS: tlsConf.client, Log: obs.Logger("agent"), Tracer: tracer, Drain: s.DrainDeadline,
		Lease: permitConfig(s.Permit), Records: records, Heartbeat: s.Permit.Heartbeat, SilenceTimeout: s.SilenceTimeout,
	}
	if s.Worker.Address != "" {
		client, err := worker.NewHTTPClient(s.Worker.Address, worker.HTTPOptions{})
		if err != nil {
			return nil, err
		}
		lc.Append(fx.StopHook(client.Close))
		o.Worker = client
	}
	if s.Upstream.Address == "" {
		o.Node.Slots, o.Node.Connections = 0, 0
		return agent.New(o), nil
	}
	client, err := upstream.NewHTTPClient(s.Upstream.Address, upstream.HTTPOptions{})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(client.Close))
	o.Upstream = client
	return agent.New(o), nil
}

// serveAgentHTTP publishes the metrics of the agent. If the settings have an HTTP
// address, it serves health checks and, if enabled, the metrics there.
func serveAgentHTTP(lc fx.Lifecycle, s settings.Agent, a *agent.Agent) error {
	publish("agent", func() any { return a.Metrics() })
	publish("process", usageSince(time.Now()))
	if s.HTTP.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.HTTP.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.HTTP.Listen, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if s.Metrics.Enabled {
		mux.Handle("GET /debug/vars", expvar.Handler())
	}
	serveHTTP(lc, listener, api.NewServer(mux), s.DrainDeadline)
	return nil
}

// publishedVars maps the name of each expvar variable to its current func() any.
var publishedVars sync.Map

// publish publishes the value of reading as the expvar variable name. If the name is
// already published, reading replaces the earlier function, because expvar panics on
// a repeated name: a role may start again, or beside another, in one process.
func publish(name string, reading func() any) {
	if _, known := publishedVars.Swap(name, reading); known {
		return
	}
	expvar.Publish(name, expvar.Func(func() any {
		current, _ := publishedVars.Load(name)
		return current.(func() any)()
	}))
}
