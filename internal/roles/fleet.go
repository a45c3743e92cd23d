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

// Times of a process on the platform.
const (
	// rotationTime is how long a front end that leaves still takes requests:
	// the platform takes it out of rotation after two checks, one a second.
	rotationTime = 2500 * time.Millisecond
	drainTime    = 2500 * time.Millisecond // for requests in flight; both fit into the 6 s before SIGKILL
	headerTime   = 3 * time.Second
	idleTime     = 15 * time.Second
)

// metricsPort serves counters and latencies as expvar; deploy/system.toml names it.
const metricsPort = 9464

// serveMetrics serves the metrics of the process. A process without them still
// does its work, so a port in use is only logged.
func serveMetrics(s platform.Settings, logger *log.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	failed := make(chan error, 1)
	if err := serveOn(net.JoinHostPort(s.IP, fmt.Sprint(metricsPort)), newServer(mux), failed); err != nil {
		logger.Warn("Metrics are not served.", "err", err)
	}
}

// RunFleetEntry runs the entry of a platform's fleet until ctx ends.
func RunFleetEntry(ctx context.Context, _ command.FleetOptions, streams command.Streams) error {
	out := obs.NewAsyncWriter(streams.Out)
	defer func() { _ = out.Close() }()
	s, err := fleetSettings(out)
	if err != nil {
		return err
	}
	var entry *lead.Entry
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(newFleetStore, newSessionListener, newFleetEntry),
		fx.Populate(&entry),
	)
	if err := app.Err(); err != nil {
		return err
	}
	logger := obs.Logger("entry")
	logger.Info("Starting.", "vm", s.Node, "address", s.Frontend)
	reloadOnHangup(ctx, s, logger)
	serveMetrics(s, logger)
	return serveFleetEntry(ctx, s, entry, logger)
}

func fleetSettings(out io.Writer) (platform.Settings, error) {
	if err := obs.SetupLogging(out, "info", obs.FormatJSON); err != nil {
		return platform.Settings{}, err
	}
	return platform.LoadSettings()
}

// reloadOnHangup reads the settings again at each SIGHUP. The settings that a
// process uses are fixed for its life; a change of one is logged, so that an
// operator knows that it takes a restart.
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
				logger.Error("Settings not readable, the earlier ones stay.", "err", err)
			case s != current:
				logger.Warn("Settings have changed; a restart puts them in force.")
			default:
				logger.Info("Settings read again, nothing has changed.")
			}
		}
	}()
}

func newFleetStore(s platform.Settings) *platform.Store { return platform.NewStore(s.Store) }

// newSessionListener listens on the first port that is free of those for the
// product's own sessions.
func newSessionListener(s platform.Settings) (net.Listener, error) {
	var failed error
	for port := s.FirstPort; port <= s.LastPort; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(s.IP, fmt.Sprint(port)))
		if err == nil {
			return listener, nil
		}
		failed = err
	}
	return nil, fmt.Errorf("no port for sessions is free: %w", failed)
}

func newFleetEntry(s platform.Settings, store *platform.Store, listener net.Listener) *lead.Entry {
	return lead.NewEntry(lead.Options{
		Node: s.Node, Advertise: listener.Addr().String(), Store: store, MaxLease: s.Bounds.MaxLease,
		StatusKept: s.Bounds.StatusKept, StoreLease: s.StoreLeaseMin, CPUShare: s.CPUShare, Log: obs.Logger("entry"),
		Metrics: lead.NewMetrics("fleet"),
	}, listener, lead.ConfigSource{Prefix: platform.OperatorBase, Key: platform.ConfigKey, Decode: platform.DecodeConfig})
}

// serveFleetEntry serves until ctx ends, then leaves gracefully.
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
	time.Sleep(rotationTime)
	drain, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	err := front.Shutdown(drain)
	logger.Info("Stopped.", "err", err)
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
}

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
		Store: store, MaxLease: s.Bounds.MaxLease, Log: obs.Logger("agent"),
	})
}
