// Package roles implements the runners of package command: the entry and agent
// roles, the stand-ins and the tools. It builds each from its settings and options.
package roles

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/entry"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/request/answers"
	"vanillalock.example/vanillalock/internal/settings"
	"vanillalock.example/vanillalock/internal/tlsconf"
	"vanillalock.example/vanillalock/internal/wire"
)

// startTimeout bounds the start of the components of a process and, separately,
// their release. Draining has its own deadline.
const startTimeout = 15 * time.Second

// process is an entry or an agent.
type process interface {
	// Run serves until ctx ends or Leave has drained it.
	Run(ctx context.Context) error
	// Leave starts a graceful shutdown.
	Leave()
}

// RunEntry runs the entry role until ctx ends, then drains the entry.
func RunEntry(ctx context.Context, o command.EntryOptions, streams command.Streams) error {
	if err := obs.SetupLogging(streams.Err, o.Settings.Log.Level, o.Settings.Log.Format); err != nil {
		return err
	}
	var e *entry.Entry
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o.Settings),
		fx.Provide(entryTracer, entryTLS, newStore, newEntryListener, newEntry),
		fx.Invoke(serveEntryHTTP),
		fx.Populate(&e),
	)
	return run(ctx, app, func() process { return e }, obs.Logger("entry"))
}

// run starts the components of app, runs the process until it has drained after the
// end of ctx, and releases the components. built returns the process that app built.
func run(ctx context.Context, app *fx.App, built func() process, logger *log.Logger) error {
	if err := app.Err(); err != nil {
		return fmt.Errorf("build the process: %w", err)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start the process: %w", err)
	}
	p := built()
	stop := context.AfterFunc(ctx, p.Leave)
	defer stop()
	logger.Info("Started.")
	// The process does not end with ctx, so that it can drain.
	err := p.Run(context.WithoutCancel(ctx))
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancelStop()
	if stopErr := app.Stop(stopCtx); err == nil && stopErr != nil {
		err = fmt.Errorf("stop the process: %w", stopErr)
	}
	logger.Info("Stopped.")
	return err
}

func entryTracer(lc fx.Lifecycle, s settings.Entry) (trace.Tracer, error) {
	return newTracer(lc, "entry", s.ID, s.Trace)
}

func newTracer(lc fx.Lifecycle, service, instance string, t settings.Trace) (trace.Tracer, error) {
	shutdown, err := obs.SetupTracing(context.Background(), obs.TraceOptions{
		Service: service, Instance: instance, Exporter: t.Exporter, Target: t.Target, Sample: float64(t.SamplePercent) / 100,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(shutdown))
	return otel.Tracer("vanillalock.example/vanillalock"), nil
}

// tlsConfigs holds the TLS configuration of a process for accepting and for opening
// connections. Fields that are nil mean plain TCP.
type tlsConfigs struct {
	server *tls.Config
	client wire.ClientTLS
}

func entryTLS(s settings.Entry) (tlsConfigs, error) { return newTLS(s.TLS) }

func newTLS(t settings.TLS) (tlsConfigs, error) {
	if !t.Enabled() {
		return tlsConfigs{}, nil
	}
	logger := obs.Logger("tls")
	reloader, err := tlsconf.New(tlsconf.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, func(err error) {
		logger.Error("Could not reload the certificates.", "err", err)
	})
	if err != nil {
		return tlsConfigs{}, err
	}
	return tlsConfigs{server: reloader.Server(), client: reloader.Client}, nil
}

func newStore(lc fx.Lifecycle, s settings.Entry) (kv.Store, error) {
	client, err := kv.NewClient(s.KV.Address, kv.ClientOptions{Timeout: s.KV.Timeout})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(client.Close))
	return client, nil
}

func newEntryListener(s settings.Entry, tlsConf tlsConfigs) (net.Listener, error) {
	return wire.Listen(s.Session.Listen, tlsConf.server)
}

func newEntry(s settings.Entry, store kv.Store, listener net.Listener, tlsConf tlsConfigs, tracer trace.Tracer) (*entry.Entry, error) {
	leaseConfig := permitConfig(s.Permit)
	leaseConfig.Silence = s.KV.NoContactTimeout
	ownership := shard.Default()
	ownership.Grace = s.KV.TakeoverGrace
	return entry.New(entry.Options{
		ID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain, Session: listener,
		Advertise: resolveAdvertised(s.Session.Advertise, listener), API: "http://" + s.HTTP.Advertise,
		Store: store, TLS: tlsConf.client, Log: obs.Logger("entry"), Tracer: tracer, Drain: s.DrainDeadline,
		Lease: leaseConfig, Ownership: ownership, QueueLimit: int(s.Requests.QueueLimit), MaxTimeout: s.Requests.MaxTimeout,
		SilenceTimeout: s.Session.SilenceTimeout,
		Answers:        entryAnswers(s.Requests),
		StoreTimes: entry.StoreTimes{
			CallTimeout: s.KV.Timeout, PollInterval: s.KV.PollInterval, EntryLease: s.KV.EntryLease,
			LogFlushInterval: s.KV.LogFlushInterval, RecoverySpread: s.KV.RecoverySpread,
		},
	})
}

func entryAnswers(r settings.Requests) answers.Config {
	cfg := answers.DefaultConfig()
	cfg.MaxAnswers, cfg.MaxBytes, cfg.MaxAge = int(r.RetainedAnswers), r.RetainedMB<<20, r.RetainFor
	return cfg
}

func permitConfig(p settings.Permit) lease.Config {
	cfg := lease.Default()
	cfg.Duration, cfg.Margin, cfg.Hold = p.Duration, p.Margin, p.HoldLimit
	cfg.Drift = float64(p.DriftPercent) / 100
	return cfg
}

// resolveAdvertised replaces port 0 in address by the port on which listener
// listens.
func resolveAdvertised(address string, listener net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, assigned, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, assigned)
}

// serveEntryHTTP publishes the metrics of the entry and serves the HTTP API while the
// app runs.
func serveEntryHTTP(lc fx.Lifecycle, s settings.Entry, e *entry.Entry) error {
	listener, err := net.Listen("tcp", s.HTTP.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.HTTP.Listen, err)
	}
	publish("entry", func() any { return e.Metrics() })
	publish("process", usageSince(time.Now()))
	limits := api.Limits{MaxBodyBytes: s.Requests.MaxBodyBytes, MaxTimeout: s.Requests.MaxTimeout, Metrics: s.Metrics.Enabled}
	serveHTTP(lc, listener, api.NewServer(api.NewHandler(e, limits, obs.Logger("api"))), s.DrainDeadline)
	return nil
}

// serveHTTP serves HTTP while the app runs. When the app stops, requests in flight
// get the time drain to end.
func serveHTTP(lc fx.Lifecycle, listener net.Listener, server *http.Server, drain time.Duration) {
	logger := obs.Logger("http")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			logger.Info("Listening.", "address", listener.Addr())
			go func() {
				if err := server.Serve(listener); err != http.ErrServerClosed {
					logger.Error("HTTP server failed.", "err", err)
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, drain)
			defer cancel()
			return server.Shutdown(ctx)
		},
	})
}
