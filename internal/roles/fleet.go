package roles

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	"vanillalock.example/vanillalock/internal/fleet/side"
	"vanillalock.example/vanillalock/internal/ingress"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/platform"
)

// Times of a process of the fleet.
const (
	// deregistrationDelay is the time for which an entry that shuts down still accepts
	// requests. The platform takes it out of rotation after two readiness checks,
	// which come once a second.
	deregistrationDelay = 2500 * time.Millisecond
	drainTimeout        = 2500 * time.Millisecond // for requests in flight; the sum of both times is below the 6 s before SIGKILL
)

// metricsPort is the port that serves counters and latencies as expvar variables.
// deploy/system.toml declares it.
const metricsPort = 9464

// serveMetrics serves the metrics of the process. An error such as a port in use is
// only logged, because the process works without them.
func serveMetrics(s platform.Settings, guard *ingress.Guard, logger *log.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	failed := make(chan error, 1)
	address := net.JoinHostPort(s.IP, fmt.Sprint(metricsPort))
	if err := serveOn(guard, address, ingress.Metrics, defaultLimits, ingress.NewServer(mux), failed); err != nil {
		logger.Warn("Metrics are not served.", "err", err)
	}
}

// RunFleetEntry runs the entry of a platform's fleet until ctx ends, then shuts it
// down gracefully.
func RunFleetEntry(ctx context.Context, _ command.FleetOptions, streams command.Streams) error {
	out := obs.NewAsyncWriter(streams.Out)
	defer func() { _ = out.Close() }()
	s, err := fleetSettings(out)
	if err != nil {
		return err
	}
	var entry *lead.Entry
	var guard *ingress.Guard
	var sessions net.Listener
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(newFleetStore, newGuard, newSessionListener, newFleetEntry),
		fx.Populate(&entry, &guard, &sessions),
	)
	if err := app.Err(); err != nil {
		return err
	}
	logger := obs.Logger("entry")
	logger.Info("Starting.", "vm", s.Node, "address", s.Frontend, "sessions", sessions.Addr())
	reloadOnHangup(ctx, s, logger)
	serveMetrics(s, guard, logger)
	return serveFleetEntry(ctx, s, entry, guard, logger)
}

// fleetSettings sets up logging to out and loads the platform's settings.
func fleetSettings(out io.Writer) (platform.Settings, error) {
	if err := obs.SetupLogging(out, "info", obs.FormatJSON); err != nil {
		return platform.Settings{}, err
	}
	return platform.LoadSettings()
}

// reloadOnHangup reads the settings again at each SIGHUP and logs whether they have
// changed. A running process does not apply changes; the log line tells the operator
// that a restart is needed.
func reloadOnHangup(ctx context.Context, current platform.Settings, logger *log.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			s, err := platform.LoadSettings()
			switch {
			case err != nil:
				logger.Error("Could not read the settings; the earlier ones stay in force.", "err", err)
			case s != current:
				logger.Warn("Settings have changed; a restart is needed to apply them.")
			default:
				logger.Info("Settings read again; nothing has changed.")
			}
		}
	}()
}

func newFleetStore(s platform.Settings) *platform.Store { return platform.NewStore(s.Store) }

// newSessionListener listens on the first free port of the range that the platform
// reserves for sessions between entries and agents.
func newSessionListener(s platform.Settings, guard *ingress.Guard) (net.Listener, error) {
	var lastErr error
	for port := s.FirstPort; port <= s.LastPort; port++ {
		listener, err := guard.Listen(net.JoinHostPort(s.IP, fmt.Sprint(port)), ingress.Sessions, nil)
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no port for sessions is free: %w", lastErr)
}

func newFleetEntry(s platform.Settings, store *platform.Store, listener net.Listener) *lead.Entry {
	evacuations := ""
	if s.Bounds.Evacuate > 0 {
		evacuations = platform.EvacuationBase
	}
	return lead.NewEntry(lead.Options{
		Node: s.Node, Advertise: listener.Addr().String(), Store: store, MaxLease: s.Bounds.MaxLease,
		StatusKept: s.Bounds.StatusKept, StoreLease: s.StoreLeaseMin, CPUShare: s.CPUShare, LinkRate: s.LinkRate, Log: obs.Logger("entry"),
		Metrics: lead.NewMetrics("fleet"), EvacuationPrefix: evacuations, FarFactor: s.Bounds.FarFactor,
	}, listener, lead.ConfigSource{Prefix: platform.OperatorBase, Key: platform.ConfigKey, Decode: platform.DecodeConfig})
}

// serveFleetEntry serves callers and readiness checks until ctx ends. It then fails
// the readiness checks, still accepts requests for deregistrationDelay and drains
// those in flight.
func serveFleetEntry(ctx context.Context, s platform.Settings, entry *lead.Entry, guard *ingress.Guard, logger *log.Logger) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := ingress.NewServer(platform.NewFrontend(entry))
	failed := make(chan error, 2)
	limits := func() ingress.Limits { return limitsOf(entry.Config()) }
	if err := serveOn(guard, s.Frontend, ingress.Main, limits, front, failed); err != nil {
		return err
	}
	if err := serveOn(guard, s.Ready, ingress.Ready, limits, ingress.NewServer(platform.ReadyHandler(entry)), failed); err != nil {
		return err
	}
	go func() { _ = entry.Run(run) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Info("Stopping.")
	entry.Leave()
	time.Sleep(deregistrationDelay)
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := front.Shutdown(drain)
	logger.Info("Stopped.", "err", err)
	return nil
}

// newGuard returns the guard of the process against its clients, and has the garbage
// collector keep to the limit of the memory. A limit in the environment takes precedence.
func newGuard(s platform.Settings) *ingress.Guard {
	if limit := ingress.CollectorLimit(s.MemoryMB); limit > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(limit)
	}
	return ingress.NewGuard(ingress.Options{
		MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs, Log: obs.Logger("ingress"), Metrics: obs.NewMetrics("ingress"),
	})
}

func defaultLimits() ingress.Limits { return ingress.DefaultLimits }

// limitsOf returns the limits of requests in a configuration, which may be nil.
func limitsOf(c *fleet.Config) ingress.Limits {
	if c == nil {
		return ingress.DefaultLimits
	}
	return ingress.Limits{HeadBytes: c.MaxHeader, HeadTime: c.HeaderTime, IdleTime: c.IdleTime}
}

// serveOn starts to serve on address and returns. An error that ends the server later
// is sent to failed.
func serveOn(guard *ingress.Guard, address string, group ingress.Group, limits func() ingress.Limits, server *http.Server, failed chan<- error) error {
	listener, err := guard.Listen(address, group, limits)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// RunFleetAgent runs the agent beside an executor of the platform until ctx ends.
func RunFleetAgent(ctx context.Context, _ command.FleetOptions, streams command.Streams) error {
	out := obs.NewAsyncWriter(streams.Out)
	defer func() { _ = out.Close() }()
	s, err := fleetSettings(out)
	if err != nil {
		return err
	}
	var agent *side.Agent
	var guard *ingress.Guard
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(newFleetStore, newGuard, newSessionListener, newFleetAgent),
		fx.Populate(&agent, &guard),
	)
	if err := app.Err(); err != nil {
		return err
	}
	logger := obs.Logger("agent")
	logger.Info("Starting.", "vm", s.Node, "executor", s.Executor)
	reloadOnHangup(ctx, s, logger)
	serveMetrics(s, guard, logger)
	failed := make(chan error, 1)
	if err := serveOn(guard, s.Announce, ingress.Main, defaultLimits, ingress.NewServer(platform.AnnounceHandler(agent)), failed); err != nil {
		return err
	}
	go func() { failed <- agent.Run(ctx) }()
	err = <-failed
	logger.Info("Stopped.", "err", err)
	return err
}

func newFleetAgent(s platform.Settings, store *platform.Store, listener net.Listener) *side.Agent {
	return side.New(side.Options{
		Node: s.Node, Listener: listener, Advertise: listener.Addr().String(), Executors: platform.NewExecutorClient(s.Executor),
		Store: store, MaxLease: s.Bounds.MaxLease, AnnounceInterval: s.AnnounceEvery, Log: obs.Logger("agent"), Pools: store.Pools,
	})
}
