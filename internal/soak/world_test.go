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
	entries       = 3
	vms           = 4
	poolName      = "pool"
	queueHost     = "queue.example"
	queuePrefix   = "/q/"
	queueAttempts = 2
	storePort     = 8169
	executorPort  = 8165
	beatEvery     = 400 * time.Millisecond
	restartPause  = 150 * time.Millisecond // the platform starts an ended process again
	slowestClock  = 0.98                   // of an executor, as a share of real time
)

// process is one of the product's processes with the proxies around it.
type process struct {
	node     string
	ip       string
	env      string
	role     string
	store    *proxy // its calls to the store
	sessions *proxy // sessions that others open to it

	mu      sync.Mutex
	cmd     *exec.Cmd
	planned bool // its end was asked for
	lives   int
}

// world is one fleet with its platform.
type world struct {
	t         *testing.T
	ctx       context.Context
	dir       string
	binary    string
	slot      int // tells the addresses of worlds apart
	store     *standin.Store
	faults    *storeGate
	audit     *standin.Audit
	judge     *judge
	entries   []*process
	agents    []*process
	executors []*wire.Executor
	rng       *rand.Rand
	versions  sync.Mutex
	version   uint64 // of the configuration
}

// network tells the addresses of two runs of the soak on one machine apart.
var network = 64 + os.Getpid()%128

func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", network, w.slot, n) }

// Numbers of addresses.
const (
	entryIP, agentIP    = 1, 11
	sessionProxyIP      = 50 // added to that of the process
	storeProxyIP        = 100
	executorIP, storeIP = 31, 200
)

const logMode = 0o600 // of the files with the output of the processes

func newWorld(ctx context.Context, t *testing.T, binary string, slot int, seed uint64) *world {
	w := &world{
		t: t, ctx: ctx, dir: t.TempDir(), binary: binary, slot: slot, store: standin.NewStore(), audit: standin.NewAudit(),
		judge: newJudge(), rng: rand.New(rand.NewPCG(seed, seed)),
	}
	w.faults = &storeGate{next: wire.StoreHandler(w.store, w.rewrite)}
	w.audit.Observe(w.judge)
	w.configure()
	w.serve(net.JoinHostPort(w.ip(storeIP), fmt.Sprint(storePort)), w.faults)
	for i := range vms {
		w.addVM(i)
	}
	for i := range entries {
		w.entries = append(w.entries, w.addProcess("fleet-entry", fmt.Sprintf("front-%d", i), entryIP+i, ""))
	}
	for _, p := range w.processes() {
		w.run(p)
	}
	return w
}

func (w *world) processes() []*process {
	return append(append([]*process{}, w.entries...), w.agents...)
}

// configure writes the next version of the configuration. Each has a queue of its
// own beside the one that carries the jobs.
func (w *world) configure() {
	w.versions.Lock()
	defer w.versions.Unlock()
	w.version++
	queue := func(name, prefix string) fleet.Queue {
		return fleet.Queue{Name: name, Host: queueHost, Prefix: prefix, Policy: fleet.Policy{Pool: poolName, MaxAttempts: queueAttempts, Stretch: 2}}
	}
	raw, err := wire.EncodeConfig(fleet.Config{
		Version: w.version, Pools: map[string]fleet.Pool{poolName: {}},
		Queues: []fleet.Queue{queue("q", queuePrefix), queue(fmt.Sprintf("v%d", w.version), versionPath(w.version))},
	})
	require.NoError(w.t, err)
	_, err = w.store.Commit(w.ctx, fleet.Txn{Put: []fleet.Write{{Key: platform.ConfigKey, Value: raw}}})
	require.NoError(w.t, err)
}

// rewrite puts the proxies in place of the addresses that processes publish.
func (w *world) rewrite(_ string, value []byte) []byte {
	text := string(value)
	for n := 1; n < sessionProxyIP; n++ {
		text = strings.ReplaceAll(text, w.ip(n)+":", w.ip(n+sessionProxyIP)+":") // before the port
	}
	return []byte(text)
}

func (w *world) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	require.NoError(w.t, err)
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.judge.report("stand-in at %s: %v", address, err)
		}
	}()
	w.t.Cleanup(func() { _ = server.Close() })
}

func (w *world) addVM(i int) {
	agent := w.addProcess("fleet-agent", fmt.Sprintf("side-%d", i), agentIP+i, net.JoinHostPort(w.ip(executorIP+i), fmt.Sprint(executorPort)))
	w.agents = append(w.agents, agent)
	capacity := structs.Resources{MilliCPU: 8000, MemoryMB: 16000}
	w.judge.capacity[agent.node] = capacity
	x := wire.NewExecutor(fleet.Executor{
		ID: "i-" + agent.node, Address: net.JoinHostPort(w.ip(executorIP+i), fmt.Sprint(executorPort)), Pool: poolName,
		FailureDomain: "zone", Capacity: capacity, Labels: []string{"a", "r1"},
	}, net.JoinHostPort(agent.ip, fmt.Sprint(wire.ControlPort)))
	x.StartInstance(w.life(agent.node))
	w.executors = append(w.executors, x)
	w.serve(x.Description.Address, x)
	go func() {
		for w.ctx.Err() == nil {
			_ = x.Announce(w.ctx) // the next one follows soon
			fleet.Sleep(w.ctx, beatEvery)
		}
	}()
}

// life returns a new life of an executor.
func (w *world) life(node string) *standin.Executor {
	return standin.NewExecutorOf(node, slowestClock, w.audit, behave)
}

func (w *world) addProcess(role, node string, n int, executor string) *process {
	p := &process{node: node, ip: w.ip(n), role: role}
	store := net.JoinHostPort(w.ip(n+storeProxyIP), fmt.Sprint(storePort))
	p.store = w.proxy(store, net.JoinHostPort(w.ip(storeIP), fmt.Sprint(storePort)))
	p.sessions = w.proxy(net.JoinHostPort(w.ip(n+sessionProxyIP), fmt.Sprint(wire.SessionPort)), net.JoinHostPort(p.ip, fmt.Sprint(wire.SessionPort)))
	env, err := wire.WriteSettings(filepath.Join(w.dir, node+".toml"), wire.Process{
		Node: node, IP: p.ip, Front: role == "fleet-entry", Executor: executor, Store: store,
	})
	require.NoError(w.t, err)
	p.env = env
	return p
}

func (w *world) proxy(address, target string) *proxy {
	p, err := newProxy(address, target)
	require.NoError(w.t, err)
	w.t.Cleanup(p.close)
	return p
}

// run starts a process, and again whenever it ends, until the world does.
func (w *world) run(p *process) {
	started := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for first := true; w.ctx.Err() == nil; first = false {
			if !first {
				fleet.Sleep(w.ctx, restartPause)
			}
			w.once(p, func() {
				if first {
					close(started)
				}
			})
		}
	}()
	<-started
	w.t.Cleanup(func() { <-done })
}

// once runs a process until it ends.
func (w *world) once(p *process, begun func()) {
	out, err := os.OpenFile(filepath.Join(w.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		w.judge.report("log of %s: %v", p.node, err)
		return
	}
	defer out.Close()
	cmd := exec.Command(w.binary, p.role)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env), out, out
	if err := cmd.Start(); err != nil {
		w.judge.report("start %s: %v", p.node, err)
		return
	}
	p.mu.Lock()
	p.cmd, p.planned = cmd, false
	p.lives++
	p.mu.Unlock()
	begun()
	stop := context.AfterFunc(w.ctx, func() { p.signal(syscall.SIGKILL) })
	err = cmd.Wait()
	stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planned && w.ctx.Err() == nil {
		w.judge.report("%s has ended by itself: %v", p.node, err)
	}
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.planned = true
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// keep copies the logs to a directory that stays.
func (w *world) keep(to string) {
	if err := os.CopyFS(to, os.DirFS(w.dir)); err != nil {
		w.t.Logf("logs not kept: %v", err)
		return
	}
	w.t.Logf("logs: %s", to)
}

// storeMode is what the store does with calls.
type storeMode int

// Modes of the store.
const (
	storeWorks storeMode = iota
	storeBusy            // 503, nothing is done
	storeReset           // connections are reset, nothing is done
	storeSilent
	storeSlow
	storeLoses // a share of the writes is done and not answered
	storeLate  // the same, done up to 3 s later
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
	loseShare = 0.35
	slowTime  = 200 * time.Millisecond
	lateMost  = 3 * time.Second
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
		time.Sleep(slowTime)
	case storeLoses, storeLate:
		if write && rand.Float64() < loseShare {
			if mode == storeLate {
				time.Sleep(rand.N(lateMost))
			}
			g.next.ServeHTTP(discard{}, r.WithContext(context.WithoutCancel(r.Context())))
			panic(http.ErrAbortHandler)
		}
	}
	g.next.ServeHTTP(w, r)
}

// discard is an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
