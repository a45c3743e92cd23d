package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	fake "vanillalock.example/vanillalock/internal/standin/fleet"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// Addresses and names of the deployment. Every process has a loopback address of its own.
const (
	pool         = "parki"
	host         = "queue.example"
	prefix       = "/q/"
	frontPort    = 8161
	controlPort  = 8166
	readyPort    = 8167
	sessionPort  = 7720
	lastSession  = 7735
	storePort    = 8169
	executorPort = 8165
	restartPause = 300 * time.Millisecond // after which the platform restarts a process that has ended
)

// process is one of the project's programs.
type process struct {
	node, role, ip, env string
	proxy               *proxy // for the sessions that entries open to an agent

	mu  sync.Mutex
	cmd *exec.Cmd
}

// deployment is a small deployment: the project's programs as processes, and stand-ins
// of its platform and executors.
type deployment struct {
	ctx       context.Context
	dir       string
	binary    string
	net       string // first three parts of the addresses
	judge     *judge
	store     *fake.Store
	gate      *gate
	entries   []*process
	agents    []*process
	executors []*executor
	done      sync.WaitGroup
}

// newDeployment starts the stand-ins and the processes. After an error, too, it returns the
// deployment, whose processes end with ctx.
func newDeployment(ctx context.Context, dir string, j *judge, entries, vms, attempts int, runTime func(string, int) time.Duration) (*deployment, error) {
	d := &deployment{ctx: ctx, dir: dir, binary: "target/vanillalock", judge: j, store: fake.NewStore()}
	d.gate = &gate{next: wire.StoreHandler(d.store, d.rewrite)}
	for try := 0; ; try++ { // a network on which the address of the store is free
		d.net = fmt.Sprintf("127.%d.%d", 64+rand.N(128), 1+rand.N(250))
		err := d.serve(d.address(200, storePort), d.gate)
		if err == nil {
			break
		}
		if try == 20 {
			return d, err
		}
	}
	if err := d.configure(attempts); err != nil {
		return d, err
	}
	for i := range vms {
		address := d.address(60+i, executorPort)
		a := &process{node: fmt.Sprintf("side-a-%d", i+1), role: "fleet-agent", ip: d.ip(20 + i)}
		var err error
		if a.proxy, err = newProxy(d.address(100+i, sessionPort), net.JoinHostPort(a.ip, fmt.Sprint(sessionPort))); err != nil {
			return d, err
		}
		if err := d.writeSettings(a, address); err != nil {
			return d, err
		}
		x := newExecutor(fmt.Sprintf("x%d", i+1), fmt.Sprintf("i-%08x", 0x7f3a0000+i), address, net.JoinHostPort(a.ip, fmt.Sprint(controlPort)), pool, j, runTime)
		x.start()
		if err := d.serve(address, x); err != nil {
			return d, err
		}
		go x.beatOn(ctx)
		d.agents, d.executors = append(d.agents, a), append(d.executors, x)
	}
	for i := range entries {
		e := &process{node: fmt.Sprintf("front-a-%d", i+1), role: "fleet-entry", ip: d.ip(1 + i)}
		if err := d.writeSettings(e, ""); err != nil {
			return d, err
		}
		d.entries = append(d.entries, e)
	}
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := d.supervise(p); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) ip(n int) string            { return fmt.Sprintf("%s.%d", d.net, n) }
func (d *deployment) address(n, port int) string { return net.JoinHostPort(d.ip(n), fmt.Sprint(port)) }

// rewrite replaces the addresses of agents that are published in the store by those of
// the proxies before them.
func (d *deployment) rewrite(_ string, value []byte) []byte {
	text := string(value)
	for i := range d.agents {
		text = strings.ReplaceAll(text, d.address(20+i, sessionPort), d.address(100+i, sessionPort))
	}
	return []byte(text)
}

// serve serves a stand-in until the deployment ends.
func (d *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // until Close
	context.AfterFunc(d.ctx, func() { _ = server.Close() })
	return nil
}

// configure writes the configuration, in the form that operators write.
func (d *deployment) configure(attempts int) error {
	raw, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 250,
			"priority": 0, "service": pool, "max_attempts": attempts, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": pool, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	_, err = d.store.Commit(d.ctx, fleet.Txn{Put: []fleet.Write{{Key: "op/config", Value: raw}}})
	return err
}

// writeSettings writes the settings file of a process, as DEPLOY shows it.
func (d *deployment) writeSettings(p *process, app string) error {
	class, serves, listen, share, memory := "front", "front", fmt.Sprintf("front = %q\nready = %q", net.JoinHostPort(p.ip, fmt.Sprint(frontPort)), net.JoinHostPort(p.ip, fmt.Sprint(readyPort))), 0.4, 284
	if p.role == "fleet-agent" {
		class, serves, listen, share, memory = "side", "side", fmt.Sprintf("control = %q", net.JoinHostPort(p.ip, fmt.Sprint(controlPort))), 0.24, 152
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "zone-a"
region = "region"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
discovery = "local"
entry = "vip"
heartbeat_ms = %d
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
orders = "rpc"
app = %q
[listen]
%s
[limits]
cpu_share = %v
cores = 1
memory_mb = %d
max_fds = 4096
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = %d
grace_s = 6
config_apply_ms = 2000
hold_max_ms = %d
stop_ms = 900
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, p.node, strings.TrimPrefix(p.role, "fleet-"), class, serves, p.ip, sessionPort, lastSession, beatEvery.Milliseconds(), app, listen, share, memory,
		drainFor.Milliseconds(), holdMax.Milliseconds(), d.address(200, storePort))
	path := filepath.Join(d.dir, p.node+".toml")
	p.env = "VANILLALOCK_BOOT=" + path
	return os.WriteFile(path, []byte(text), 0o600)
}

// supervise starts a process, and restarts it whenever it ends until the deployment ends.
func (d *deployment) supervise(p *process) error {
	if err := d.launch(p); err != nil {
		return err
	}
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		for {
			p.mu.Lock()
			cmd := p.cmd
			p.mu.Unlock()
			stop := context.AfterFunc(d.ctx, func() { _ = cmd.Process.Kill() })
			err := cmd.Wait()
			stop()
			if d.ctx.Err() != nil {
				return
			}
			d.judge.note("%s: process has ended: %v", p.node, err)
			sleep(d.ctx, restartPause)
			if d.ctx.Err() != nil {
				return
			}
			if err := d.launch(p); err != nil {
				d.judge.note("%s: %v", p.node, err)
				return
			}
		}
	}()
	return nil
}

func (d *deployment) launch(p *process) error {
	out, err := os.OpenFile(filepath.Join(d.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(d.binary, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), p.env}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	d.judge.note("%s: process started", p.node)
	return nil
}

// ready waits until all entries say that they are ready and an entry answers callers.
func (d *deployment) ready(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, e := range d.entries {
		for {
			status, _ := d.call(http.MethodGet, net.JoinHostPort(e.ip, fmt.Sprint(readyPort)), "/vanillalock/ready", nil, time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.node)
			}
			sleep(d.ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// call makes one call and returns the status, 0 for no answer.
func (d *deployment) call(method, address, path string, body any, wait time.Duration) (int, []byte) {
	var payload io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		payload = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(d.ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, payload)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("X-Vanillalock-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

const callerWait = 3 * time.Second

// ask makes a caller's request at the entries in turn until one of them answers it for
// good.
func (d *deployment) ask(method, id string, body any, limit time.Duration) (int, []byte) {
	until := time.Now().Add(limit)
	for n := rand.N(len(d.entries)); ; n++ {
		e := d.entries[n%len(d.entries)]
		status, raw := d.call(method, net.JoinHostPort(e.ip, fmt.Sprint(frontPort)), prefix+id, body, callerWait)
		d.judge.note("client: %s %s at %s: %d %s", method, id, e.node, status, strings.TrimSpace(string(raw)))
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || time.Now().After(until) {
			return status, raw
		}
		sleep(d.ctx, 300*time.Millisecond)
	}
}

// newID returns the id of a job, which its client chooses.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job of one step in.
func (d *deployment) submit(id string, step map[string]any) error {
	status, _ := d.ask(http.MethodPost, id, map[string]any{"spec": "spec of " + id, "steps": []any{step}}, 10*time.Second)
	if status/100 != 2 {
		return fmt.Errorf("job %s was not accepted: %d", id, status)
	}
	return nil
}

// state returns the state of a job as a caller sees it, "" if there is no answer.
func (d *deployment) state(id string) string {
	_, raw := d.ask(http.MethodGet, id, nil, 5*time.Second)
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal(raw, &body) != nil {
		return ""
	}
	return body.State
}

// gate stands before the store and makes it answer 503, which means that nothing was
// done, while it is busy.
type gate struct {
	next http.Handler
	mu   sync.Mutex
	busy bool
}

func (g *gate) set(busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = busy
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	busy := g.busy
	g.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	g.next.ServeHTTP(w, r)
}

// proxy forwards TCP connections on loopback, and can reset them.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			client, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go p.serve(client)
			}
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{client, server}, {server, client}} {
		both.Go(func() {
			_, _ = io.Copy(way[1], way[0]) // ends with the connection
			_ = way[0].Close()
			_ = way[1].Close()
		})
	}
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// resetAll resets the connections that are open.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
