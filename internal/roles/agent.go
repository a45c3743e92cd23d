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

// RunAgent runs the agent role until ctx ends, then drains it.
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

func agentTLS(s settings.Agent) (tlsPair, error) { return newTLS(s.TLS) }

func newAgent(lc fx.Lifecycle, s settings.Agent, pair tlsPair, tracer trace.Tracer) (*agent.Agent, error) {
	records := dedup.DefaultConfig()
	records.MaxRecords, records.Retention = int(s.Records.Limit), s.Records.RetainFor
	o := agent.Options{
		Node: structs.Node{
			ID: s.VM, FailureDomain: s.FailureDomain, Rack: s.Rack, Slots: int(s.Slots), Connections: int(s.Connections),
			Capacity: structs.Resources{MilliCPU: s.Capacity.MilliCPU, MemoryMB: s.Capacity.MemoryMB, Accelerators: s.Capacity.Accelerators},
		},
		Entries: s.Entries, TLS: pair.client, Log: obs.Logger("agent"), Tracer: tracer, Drain: s.DrainDeadline,
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

// serveAgentHTTP serves health and metrics if the settings name an address.
func serveAgentHTTP(lc fx.Lifecycle, s settings.Agent, a *agent.Agent) error {
	publish("agent", func() any { return a.Metrics() })
	publish("process", costSince(time.Now()))
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

var published sync.Map // name to *func() any

// publish shows a reading under a name of expvar. A later process of the same
// role in one binary replaces the earlier one.
func publish(name string, reading func() any) {
	if _, known := published.Swap(name, reading); known {
		return
	}
	expvar.Publish(name, expvar.Func(func() any {
		current, _ := published.Load(name)
		return current.(func() any)()
	}))
}
