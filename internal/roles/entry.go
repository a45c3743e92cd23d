// Package roles builds the processes of the binary from their settings.
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

// startTimeout bounds the start and the release of the parts of a process.
// Draining is bounded by its own deadline.
const startTimeout = 15 * time.Second

// process is what a role runs until it is asked to leave.
type process interface {
	// Run serves until ctx ends or Leave has drained it.
	Run(ctx context.Context) error
	// Leave starts a graceful shutdown.
	Leave()
}

// RunEntry runs the entry role until ctx ends, then drains it.
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

// run starts the parts, serves until ctx ends and releases the parts.
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
	// The process outlives ctx, so that it drains.
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

// tlsPair is the TLS configuration of a process, nil fields mean plain TCP.
type tlsPair struct {
	server *tls.Config
	client wire.ClientTLS
}

func entryTLS(s settings.Entry) (tlsPair, error) { return newTLS(s.TLS) }

func newTLS(t settings.TLS) (tlsPair, error) {
	if !t.Enabled() {
		return tlsPair{}, nil
	}
	logger := obs.Logger("tls")
	reloader, err := tlsconf.New(tlsconf.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, func(err error) {
		logger.Error("Certificates not reloaded.", "err", err)
	})
	if err != nil {
		return tlsPair{}, err
	}
	return tlsPair{server: reloader.Server(), client: reloader.Client}, nil
}

func newStore(lc fx.Lifecycle, s settings.Entry) (kv.Store, error) {
	client, err := kv.NewClient(s.KV.Address, kv.ClientOptions{Timeout: s.KV.Timeout})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(client.Close))
	return client, nil
}

func newEntryListener(s settings.Entry, pair tlsPair) (net.Listener, error) {
	return wire.Listen(s.Session.Listen, pair.server)
}

func newEntry(s settings.Entry, store kv.Store, listener net.Listener, pair tlsPair, tracer trace.Tracer) (*entry.Entry, error) {
	leaseConfig := permitConfig(s.Permit)
	leaseConfig.Silence = s.KV.NoContact
	ownership := shard.Default()
	ownership.Grace = s.KV.TakeoverGrace
	return entry.New(entry.Options{
		ID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain, Session: listener,
		Advertise: advertised(s.Session.Advertise, listener), API: "http://" + s.HTTP.Advertise,
		Store: store, TLS: pair.client, Log: obs.Logger("entry"), Tracer: tracer, Drain: s.DrainDeadline,
		Lease: leaseConfig, Ownership: ownership, QueueLimit: int(s.Requests.QueueLimit), MaxTimeout: s.Requests.MaxTimeout,
		SilenceTimeout: s.Session.SilenceTimeout,
		Answers:        entryAnswers(s.Requests),
		StoreTimes: entry.StoreTimes{
			CallTimeout: s.KV.Timeout, PollInterval: s.KV.PollInterval, EntryLease: s.KV.EntryLease,
			LogFlushInterval: s.KV.LogFlush, RecoverySpread: s.KV.RecoverySpread,
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

// advertised replaces port 0 of the settings by the port that was assigned.
func advertised(address string, listener net.Listener) string {
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

// serveEntryHTTP serves callers, operators and metrics for the life of the app.
func serveEntryHTTP(lc fx.Lifecycle, s settings.Entry, e *entry.Entry) error {
	listener, err := net.Listen("tcp", s.HTTP.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.HTTP.Listen, err)
	}
	publish("entry", func() any { return e.Metrics() })
	publish("process", costSince(time.Now()))
	limits := api.Limits{MaxBodyBytes: s.Requests.MaxBodyBytes, MaxTimeout: s.Requests.MaxTimeout, Metrics: s.Metrics.Enabled}
	serveHTTP(lc, listener, api.NewServer(api.NewHandler(e, limits, obs.Logger("api"))), s.DrainDeadline)
	return nil
}

// serveHTTP serves until the app stops; requests in flight then end first.
func serveHTTP(lc fx.Lifecycle, listener net.Listener, server *http.Server, drain time.Duration) {
	logger := obs.Logger("http")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			logger.Info("Listening.", "address", listener.Addr())
			go func() {
				if err := server.Serve(listener); err != http.ErrServerClosed {
					logger.Error("Server failed.", "err", err)
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
