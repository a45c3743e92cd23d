package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/platform"
	wire "vanillalock.example/vanillalock/platform/standin"
)

const (
	poolName             = "pool"
	queueHost            = "queue.example"
	queuePrefix          = "/q/"
	queueAttempts        = 2
	storePort            = 8169
	executorPort         = 8165
	announceInterval     = 400 * time.Millisecond
	restartPause         = 150 * time.Millisecond // after which the platform restarts a process that has ended
	executorRestartPause = time.Second            // least time after which an executor that a run has crashed is back, at most twice as long
	executorClockRate    = 0.98                   // speed of the executors' clocks relative to real time
)

// fleetSize is the number of processes of a fleet. Entries and VMs are spread evenly over
// the failure domains.
type fleetSize struct {
	domains, entries, vms int
	links                 bool // each pair of an entry and another process has a proxy of its own
}

var defaultSize = fleetSize{domains: 1, entries: 3, vms: 4}

// process is a process under test with the proxies for its connections.
type process struct {
	node     string
	ip       string
	env      string
	role     string
	number   int    // of its addresses
	domain   int    // number of its failure domain
	store    *proxy // for its calls to the store
	sessions *proxy // for sessions that others open to it

	mu          sync.Mutex
	cmd         *exec.Cmd
	endExpected bool // the test has sent a signal that ends it
	away        bool // it is not started again
	starts      int
}

// testFleet is one fleet under test with the stand-ins of its platform.
type testFleet struct {
	t         *testing.T
	ctx       context.Context
	dir       string
	binary    string
	slot      int // part of the addresses; differs between fleets that run at the same time
	store     *standin.Store
	gate      *storeGate
	audit     *standin.Audit
	checker   *checker
	entries   []*process
	agents    []*process
	executors []*wire.Executor
	rng       *rand.Rand
	size      fleetSize
	links     map[link]*proxy // of sessions, instead of those of the processes; empty without size.links
	balancer  *balancer       // nil until callers start
	failing   atomic.Int32    // index of the executor that fails its lasting runs, plus 1; 0: none
	versionMu sync.Mutex
	version   uint64 // version of the newest configuration
}

// network is a part of the addresses that differs between runs of the soak on one
// machine.
var network = 64 + os.Getpid()%128

// ip returns the loopback address with the number n of this fleet.
func (f *testFleet) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, 2*f.slot+n>>8, n&0xff)
}

// Numbers of addresses, the first of each kind.
const (
	entryIP, agentIP    = 1, 40
	executorIP, storeIP = 100, 199
	sessionProxyIP      = 200 // added to the number of the process
	storeProxyIP        = 300
)

const logMode = 0o600 // mode of the files with the output of the processes

// newTestFleet starts the stand-ins and all processes of a fleet.
func newTestFleet(ctx context.Context, t *testing.T, binary string, slot int, seed uint64, size fleetSize) *testFleet {
	f := &testFleet{
		t: t, ctx: ctx, dir: t.TempDir(), binary: binary, slot: slot, store: standin.NewStore(), audit: standin.NewAudit(),
		checker: newChecker(), rng: rand.New(rand.NewPCG(seed, seed)), size: size, links: map[link]*proxy{},
	}
	f.gate = &storeGate{next: wire.StoreHandler(f.store, f.rewrite)}
	f.audit.SetObserver(f.checker)
	f.configure()
	f.serve(net.JoinHostPort(f.ip(storeIP), fmt.Sprint(storePort)), f.gate)
	for i := range size.vms {
		f.addVM(fmt.Sprintf("side-%d", i), i, i%size.domains)
	}
	for i := range size.entries {
		f.entries = append(f.entries, f.addProcess("fleet-entry", fmt.Sprintf("front-%d", i), entryIP+i, i%size.domains, ""))
	}
	if size.links {
		f.addLinks()
	}
	for _, p := range f.processes() {
		f.supervise(p)
	}
	go func() {
		for ; ctx.Err() == nil; fleet.Sleep(ctx, checkInterval) {
			f.checker.checkCancelled()
		}
	}()
	return f
}

// processes returns the entries and the agents.
func (f *testFleet) processes() []*process {
	return append(append([]*process{}, f.entries...), f.agents...)
}

// configure writes the next version of the configuration. Besides the queue of the
// jobs each version has a queue of its own, by which it can be recognized.
func (f *testFleet) configure() {
	f.versionMu.Lock()
	defer f.versionMu.Unlock()
	f.version++
	queue := func(name, prefix string) fleet.Queue {
		return fleet.Queue{Name: name, Host: queueHost, Prefix: prefix, Policy: fleet.Policy{Pool: poolName, MaxAttempts: queueAttempts, Stretch: 2}}
	}
	raw, err := wire.EncodeConfig(&fleet.Config{
		Version: f.version, Pools: map[string]fleet.Pool{poolName: {}},
		Queues: []fleet.Queue{queue("q", queuePrefix), queue(fmt.Sprintf("v%d", f.version), versionPath(f.version))},
	})
	require.NoError(f.t, err)
	_, err = f.store.Commit(f.ctx, fleet.Txn{Put: []fleet.Write{{Key: platform.ConfigKey, Value: raw}}})
	require.NoError(f.t, err)
}

// rewrite replaces the addresses that processes publish by those of their proxies.
func (f *testFleet) rewrite(_ string, value []byte) []byte {
	if f.size.links {
		return value // entries read the addresses of their links instead
	}
	text := string(value)
	for n := entryIP; n < executorIP; n++ {
		text = strings.ReplaceAll(text, f.ip(n)+":", f.ip(n+sessionProxyIP)+":") // before the port
	}
	return []byte(text)
}

// serve starts an HTTP server for a stand-in.
func (f *testFleet) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler}
	if x, ok := handler.(*wire.Executor); ok {
		server.ConnContext = x.ConnContext
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.checker.report("stand-in at %s: %v", address, err)
		}
	}()
	f.t.Cleanup(func() { _ = server.Close() })
}

// addVM adds the agent and the executor of the VM with the index i.
func (f *testFleet) addVM(node string, i, domain int) {
	agent := f.addProcess("fleet-agent", node, agentIP+i, domain, net.JoinHostPort(f.ip(executorIP+i), fmt.Sprint(executorPort)))
	f.agents = append(f.agents, agent)
	capacity := structs.Resources{MilliCPU: 8000, MemoryMB: 16000}
	f.checker.capacity[agent.node] = capacity
	x := wire.NewExecutor(fleet.Executor{
		ID: "i-" + agent.node, Address: net.JoinHostPort(f.ip(executorIP+i), fmt.Sprint(executorPort)), Pool: poolName,
		FailureDomain: "zone", Capacity: capacity, Labels: []string{"a", "r1"},
	}, net.JoinHostPort(agent.ip, fmt.Sprint(wire.ControlPort)))
	f.executors = append(f.executors, x)
	f.startInstance(i)
	f.serve(x.Description.Address, x)
	go func() {
		for f.ctx.Err() == nil {
			_ = x.Announce(f.ctx) // it is repeated after announceInterval
			fleet.Sleep(f.ctx, announceInterval)
		}
	}()
}

// startInstance starts a new instance of an executor.
func (f *testFleet) startInstance(i int) { f.executors[i].StartInstance(f.newInstance(i)) }

// newInstance returns a new instance of an executor. If a run crashes it, another one
// replaces it.
func (f *testFleet) newInstance(i int) *standin.Executor {
	instance := standin.NewExecutorWithBehavior(f.agents[i].node, executorClockRate, f.audit, func(o fleet.StartOrder) (time.Duration, fleet.EndReason) {
		if f.failing.Load() == int32(i)+1 && strings.Contains(o.Spec, lastingSpec) {
			return failingRunTime, fleet.EndFailed
		}
		return f.runBehavior(o)
	})
	go func() {
		select {
		case <-instance.CrashedByTask():
			f.checker.beginFault()
			defer f.checker.endFault()
			fleet.Sleep(f.ctx, executorRestartPause+rand.N(executorRestartPause))
			f.executors[i].ReplaceInstance(instance, f.newInstance(i))
		case <-f.ctx.Done():
		}
	}()
	return instance
}

// addProcess creates the proxies and the settings of a process without starting it.
func (f *testFleet) addProcess(role, node string, n, domain int, executor string) *process {
	p := &process{node: node, number: n, ip: f.ip(n), role: role, domain: domain}
	store := net.JoinHostPort(f.ip(n+storeProxyIP), fmt.Sprint(storePort))
	p.store = f.proxy(store, net.JoinHostPort(f.ip(storeIP), fmt.Sprint(f.storePortFor(p))))
	p.sessions = f.proxy(net.JoinHostPort(f.ip(n+sessionProxyIP), fmt.Sprint(wire.SessionPort)), net.JoinHostPort(p.ip, fmt.Sprint(wire.SessionPort)))
	env, err := wire.WriteSettings(filepath.Join(f.dir, fmt.Sprintf("%s-%d.toml", node, n)), wire.Process{
		Node: node, IP: p.ip, Front: role == "fleet-entry", Executor: executor, Store: store,
	})
	require.NoError(f.t, err)
	p.env = env
	return p
}

func (f *testFleet) proxy(address, target string) *proxy {
	p, err := newProxy(address, target)
	require.NoError(f.t, err)
	f.t.Cleanup(p.close)
	return p
}

// supervise starts a process, and restarts it whenever it ends, until the end of the
// test. It returns when the process has been started.
func (f *testFleet) supervise(p *process) {
	started := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for first := true; f.ctx.Err() == nil; first = false {
			if !first {
				fleet.Sleep(f.ctx, restartPause)
			}
			if p.isAway() {
				continue
			}
			f.runOnce(p, func() {
				if first {
					close(started)
				}
			})
		}
	}()
	<-started
	f.t.Cleanup(func() { <-done })
}

// runOnce starts a process, calls begun and waits until the process ends.
func (f *testFleet) runOnce(p *process, begun func()) {
	out, err := os.OpenFile(filepath.Join(f.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		f.checker.report("log of %s: %v", p.node, err)
		return
	}
	defer out.Close()
	cmd := exec.Command(f.binary, p.role)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env), out, out
	if err := cmd.Start(); err != nil {
		f.checker.report("start %s: %v", p.node, err)
		return
	}
	p.mu.Lock()
	p.cmd, p.endExpected = cmd, p.away
	p.starts++
	if p.away { // since it was about to start
		_ = cmd.Process.Kill()
	}
	p.mu.Unlock()
	begun()
	stop := context.AfterFunc(f.ctx, func() { p.signal(syscall.SIGKILL) })
	err = cmd.Wait()
	stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endExpected && f.ctx.Err() == nil {
		f.checker.report("%s has ended by itself: %v", p.node, err)
	}
}

// signal sends a signal to the process if it has been started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected = true
	}
	_ = p.cmd.Process.Signal(s) // the process may have ended
}

// setAway, switched on, kills the process; it is started again once it is switched off.
func (p *process) setAway(on bool) {
	p.mu.Lock()
	p.away = on
	p.mu.Unlock()
	if on {
		p.signal(syscall.SIGKILL)
	}
}

func (p *process) isAway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.away
}

// keepLogs copies the logs to a directory that outlives the test.
func (f *testFleet) keepLogs(to string) {
	if err := os.CopyFS(to, os.DirFS(f.dir)); err != nil {
		f.t.Logf("logs not kept: %v", err)
		return
	}
	f.t.Logf("logs: %s", to)
}

// storeMode is the way in which the store handles calls.
type storeMode int

// Modes of the store.
const (
	storeNormal       storeMode = iota
	storeBusy                   // calls are answered 503 and have no effect
	storeReset                  // connections are reset, calls have no effect
	storeSilent                 // calls are not answered and have no effect
	storeSlow                   // calls are delayed
	storeLosesAnswers           // a share of the writes takes effect and is not answered
	storeDelaysWrites           // the same, taking effect up to 3 s later
)

// storeGate injects faults between the processes and the store.
type storeGate struct {
	next http.Handler
	mu   sync.Mutex
	mode storeMode
}

func (g *storeGate) set(m storeMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
}

const (
	lostAnswerShare = 0.35
	slowDelay       = 200 * time.Millisecond
	maxWriteDelay   = 3 * time.Second
)

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	mode := g.mode
	g.mu.Unlock()
	write := r.Method != http.MethodGet
	switch mode {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeReset:
		panic(http.ErrAbortHandler)
	case storeSilent:
		<-r.Context().Done()
		return
	case storeSlow:
		time.Sleep(slowDelay)
	case storeLosesAnswers, storeDelaysWrites:
		if write && rand.Float64() < lostAnswerShare {
			if mode == storeDelaysWrites {
				time.Sleep(rand.N(maxWriteDelay))
			}
			g.next.ServeHTTP(discardResponse{}, r.WithContext(context.WithoutCancel(r.Context())))
			panic(http.ErrAbortHandler)
		}
	}
	g.next.ServeHTTP(w, r)
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
