package roles

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	"vanillalock.example/vanillalock/internal/fleet/side"
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
	headerTimeout       = 3 * time.Second
	idleTimeout         = 15 * time.Second
)

// metricsPort is the port that serves counters and latencies as expvar variables.
// deploy/system.toml declares it.
const metricsPort = 9464

// serveMetrics serves the metrics of the process. An error such as a port in use is
// only logged, because the process works without them.
func serveMetrics(s platform.Settings, logger *log.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	failed := make(chan error, 1)
	if err := serveOn(net.JoinHostPort(s.IP, fmt.Sprint(metricsPort)), newServer(mux), failed); err != nil {
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
	var sessions net.Listener
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(newFleetStore, newSessionListener, newFleetEntry),
		fx.Populate(&entry, &sessions),
	)
	if err := app.Err(); err != nil {
		return err
	}
	logger := obs.Logger("entry")
	logger.Info("Starting.", "vm", s.Node, "address", s.Frontend, "sessions", sessions.Addr())
	reloadOnHangup(ctx, s, logger)
	serveMetrics(s, logger)
	return serveFleetEntry(ctx, s, entry, logger)
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
func newSessionListener(s platform.Settings) (net.Listener, error) {
	var lastErr error
	for port := s.FirstPort; port <= s.LastPort; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(s.IP, fmt.Sprint(port)))
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
func serveFleetEntry(ctx context.Context, s platform.Settings, entry *lead.Entry, logger *log.Logger) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := newServer(platform.NewFrontend(entry))
	ready := newServer(platform.ReadyHandler(entry))
	failed := make(chan error, 2)
	for address, server := range map[string]*http.Server{s.Frontend: front, s.Ready: ready} {
		if err := serveOn(address, server, failed); err != nil {
			return err
		}
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

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// serveOn starts to serve on address and returns. An error that ends the server later
// is sent to failed.
func serveOn(address string, server *http.Server, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
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
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(newFleetStore, newSessionListener, newFleetAgent),
		fx.Populate(&agent),
	)
	if err := app.Err(); err != nil {
		return err
	}
	logger := obs.Logger("agent")
	logger.Info("Starting.", "vm", s.Node, "executor", s.Executor)
	reloadOnHangup(ctx, s, logger)
	serveMetrics(s, logger)
	failed := make(chan error, 1)
	if err := serveOn(s.Announce, newServer(platform.AnnounceHandler(agent)), failed); err != nil {
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
		Store: store, MaxLease: s.Bounds.MaxLease, Log: obs.Logger("agent"), Pools: store.Pools,
	})
}
