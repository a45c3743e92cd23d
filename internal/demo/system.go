package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"vanillalock.example/vanillalock/internal/agent"
	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/entry"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/settings"
	standinkv "vanillalock.example/vanillalock/internal/standin/kv"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
	standinworker "vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/upstream"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/worker"
)

const (
	// usageLag is the age of the usage measurements that the workers report.
	usageLag = 2 * time.Second
	// drainTimeout bounds the graceful shutdown of an entry or an agent.
	drainTimeout = 10 * time.Second
)

// SystemOptions configure a System.
type SystemOptions struct {
	Entries  int // 0: one per failure domain
	VMs      int // 0: the deployment's
	Seed     uint64
	Log      *log.Logger                             // nil: none
	Tracer   trace.Tracer                            // nil: none
	Entry    func(*entry.Options)                    // changes an entry's options
	Agent    func(*agent.Options)                    // changes an agent's options
	Worker   func(*standinworker.Options)            // changes a worker's options
	Upstream func(i int, o *standinupstream.Options) // changes an upstream's options
}

// System is a running deployment on loopback.
type System struct {
	Deployment Deployment
	Store      *standinkv.Server
	Workers    []*standinworker.Server
	Upstreams  []*standinupstream.Server
	Entries    []*RunningEntry
	Agents     []*RunningAgent

	options      SystemOptions
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	storeURL     string
	workerURLs   []string
	upstreamURLs []string
}

// RunningEntry is an entry with its HTTP server.
type RunningEntry struct {
	Entry   *entry.Entry
	URL     string
	Session string
	stop    context.CancelFunc
	server  *http.Server
	done    chan struct{}
}

// RunningAgent is an agent that can be stopped on its own.
type RunningAgent struct {
	Agent *agent.Agent
	stop  context.CancelFunc
	done  chan struct{}
}

// Start starts the stand-ins, entries and agents. The caller ends them with Kill.
func Start(ctx context.Context, d Deployment, o SystemOptions) (*System, error) {
	applyDefaults(&o, d)
	ctx, cancel := context.WithCancel(ctx)
	s := &System{Deployment: d, options: o, ctx: ctx, cancel: cancel}
	if err := s.startAll(); err != nil {
		s.Kill()
		return nil, err
	}
	return s, nil
}

func applyDefaults(o *SystemOptions, d Deployment) {
	if o.Entries == 0 {
		o.Entries = len(d.FailureDomains)
	}
	if o.VMs == 0 {
		o.VMs = d.VMs
	}
	if o.Log == nil {
		o.Log = obs.DiscardLogger()
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
}

func (s *System) startAll() error {
	if err := s.startStandins(); err != nil {
		return err
	}
	for i := range s.options.Entries {
		if _, err := s.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range s.options.VMs {
		if _, err := s.StartAgent(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startStandins() error {
	var err error
	s.Store = standinkv.New(standinkv.Options{})
	s.wg.Go(func() { s.Store.Run(s.ctx) })
	if s.storeURL, err = s.serve(s.Store, s.Store.Configure); err != nil {
		return err
	}
	for i := range s.options.VMs {
		if err := s.startVM(i); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts the worker and the upstream of the i-th VM.
func (s *System) startVM(i int) error {
	d, node := s.Deployment, s.Deployment.node(i)
	wo := standinworker.Options{
		ID: node.ID, Capacity: node.Capacity, Slowdown: d.Slowdown, UsageLag: usageLag, UsageNoise: 0.05, Seed: s.options.Seed + uint64(i),
	}
	if s.options.Worker != nil {
		s.options.Worker(&wo)
	}
	w := standinworker.New(wo)
	url, err := s.serve(w, w.Configure)
	if err != nil {
		return err
	}
	s.Workers, s.workerURLs = append(s.Workers, w), append(s.workerURLs, url)
	uo := standinupstream.Options{
		ID: node.ID, Slots: node.Slots, Connections: node.Connections, RunMs: d.RunMs,
		StragglerShare: 0.01, StragglerFactor: 10, Seed: s.options.Seed + uint64(i),
	}
	if s.options.Upstream != nil {
		s.options.Upstream(i, &uo)
	}
	u := standinupstream.New(uo)
	if url, err = s.serve(u, u.Configure); err != nil {
		return err
	}
	s.Upstreams, s.upstreamURLs = append(s.Upstreams, u), append(s.upstreamURLs, url)
	return nil
}

// serve starts an HTTP server on a free loopback port.
func (s *System) serve(handler http.Handler, configure func(*http.Server)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	if configure != nil {
		configure(server)
	}
	s.wg.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

// StartEntry starts an entry in the i-th failure domain.
func (s *System) StartEntry(i int) (*RunningEntry, error) {
	domain := s.Deployment.FailureDomains[i%len(s.Deployment.FailureDomains)]
	session, err := wire.Listen("127.0.0.1:0", nil)
	if err != nil {
		return nil, err
	}
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	store, err := kv.NewClient(s.storeURL, kv.ClientOptions{})
	if err != nil {
		return nil, err
	}
	url := "http://" + httpListener.Addr().String()
	o := entry.Options{
		ID: fmt.Sprintf("entry-%d", i), Region: s.Deployment.Region, FailureDomain: domain,
		Session: session, Advertise: session.Addr().String(), API: url, Store: store,
		Log: s.options.Log.WithPrefix("entry"), Tracer: s.options.Tracer, Drain: drainTimeout,
		Slots: s.options.VMs * s.Deployment.Slots, Entries: s.options.Entries,
	}
	if s.options.Entry != nil {
		s.options.Entry(&o)
	}
	e, err := entry.New(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	r := &RunningEntry{
		Entry: e, URL: url, Session: session.Addr().String(), stop: cancel, done: make(chan struct{}),
		server: &http.Server{Handler: api.NewHandler(e, api.Limits{MaxBodyBytes: settings.MaxBodyBytes, MaxTimeout: settings.MaxRequestTimeout, Metrics: true}, s.options.Log.WithPrefix("api")), ReadHeaderTimeout: 5 * time.Second},
	}
	s.Entries = append(s.Entries, r)
	s.wg.Go(func() { _ = r.server.Serve(httpListener) })
	s.wg.Go(func() {
		defer close(r.done)
		defer r.server.Close()
		if err := e.Run(ctx); err != nil {
			s.options.Log.Error("Entry failed.", "err", err)
		}
		// After a graceful shutdown of the entry, answers that are already known are
		// still sent.
		closeCtx, cancelClose := context.WithTimeout(ctx, drainTimeout)
		defer cancelClose()
		_ = r.server.Shutdown(closeCtx)
	})
	return r, nil
}

// StartAgent starts the agent of the i-th VM.
func (s *System) StartAgent(i int) (*RunningAgent, error) {
	w, err := worker.NewHTTPClient(s.workerURLs[i], worker.HTTPOptions{})
	if err != nil {
		return nil, err
	}
	u, err := upstream.NewHTTPClient(s.upstreamURLs[i], upstream.HTTPOptions{})
	if err != nil {
		return nil, err
	}
	o := agent.Options{
		Node: s.Deployment.node(i), Worker: w, Upstream: u,
		Log: s.options.Log.WithPrefix("agent"), Tracer: s.options.Tracer, Drain: drainTimeout,
	}
	for _, e := range s.Entries {
		o.Entries = append(o.Entries, e.Session)
	}
	if s.options.Agent != nil {
		s.options.Agent(&o)
	}
	a := agent.New(o)
	ctx, cancel := context.WithCancel(s.ctx)
	r := &RunningAgent{Agent: a, stop: cancel, done: make(chan struct{})}
	if i < len(s.Agents) {
		s.Agents[i] = r
	} else {
		s.Agents = append(s.Agents, r)
	}
	s.wg.Go(func() {
		defer close(r.done)
		if err := a.Run(ctx); err != nil {
			s.options.Log.Error("Agent failed.", "err", err)
		}
	})
	return r, nil
}

// Kill ends an entry at once, as a crash would.
func (r *RunningEntry) Kill() {
	_ = r.server.Close()
	r.stop()
	<-r.done
}

// Leave shuts an entry down gracefully and waits for its end.
func (r *RunningEntry) Leave() {
	r.Entry.Leave()
	<-r.done
}

// Kill ends an agent at once, as a crash would.
func (r *RunningAgent) Kill() {
	r.stop()
	<-r.done
}

// Leave shuts an agent down gracefully and waits for its end.
func (r *RunningAgent) Leave() {
	r.Agent.Leave()
	<-r.done
}

// Kill ends all entries, agents and stand-ins at once.
func (s *System) Kill() {
	s.cancel()
	for _, w := range s.Workers {
		w.Close()
	}
	s.wg.Wait()
}

// Configure applies the deployment's templates and customers through an entry.
func (s *System) Configure(ctx context.Context) error {
	service := s.Entries[0].Entry
	for _, t := range s.Deployment.Templates {
		if _, err := service.SetTemplate(ctx, t, 0); err != nil {
			return fmt.Errorf("template %s: %w", t.Name, err)
		}
	}
	for _, c := range s.Deployment.Customers {
		if _, err := service.SetCustomer(ctx, c, 0); err != nil {
			return fmt.Errorf("customer %s: %w", c.Name, err)
		}
	}
	return nil
}

// WaitReady waits until every entry has the configuration, sees every agent and
// all shards are open.
func (s *System) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		if s.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the system is not ready: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

func (s *System) ready(ctx context.Context) bool {
	shards := 0
	for _, e := range s.Entries {
		status := e.Entry.Status(ctx)
		templates, err := e.Entry.ListTemplates(ctx)
		customers, cerr := e.Entry.ListCustomers(ctx)
		if err != nil || cerr != nil || len(templates) < len(s.Deployment.Templates) || len(customers) < len(s.Deployment.Customers) {
			return false
		}
		if len(aliveUpstreams(status)) < s.options.VMs || len(status.Peers) < len(s.Entries)-1 {
			return false
		}
		shards += len(status.OwnedShards)
	}
	return shards == entry.DefaultShards
}

// aliveUpstreams returns the ids of the upstreams that an entry considers alive.
func aliveUpstreams(status api.EntryStatus) []string {
	var out []string
	for _, u := range status.Upstreams {
		if u.State == "alive" {
			out = append(out, u.ID)
		}
	}
	return out
}

// countTasks returns the number of tasks in a state, over all jobs.
func countTasks(jobs []structs.Job, state structs.TaskState) int {
	n := 0
	for _, j := range jobs {
		for _, t := range j.Tasks {
			if t.State == state {
				n++
			}
		}
	}
	return n
}
