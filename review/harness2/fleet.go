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
	"sync"
	"syscall"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	storestandin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/platform/standin"
)

// Figures of the small deployment, from its settings and its sheet.
const (
	heartbeatInterval = 1500 * time.Millisecond
	longestLease      = 10 * time.Second
	storeAnswer       = 4 * time.Millisecond
	restartPause      = 200 * time.Millisecond // before a process that has ended is started again

	frontPort, controlPort, readyPort, appPort, storePort = 8161, 8166, 8167, 8165, 8169

	host    = "queue.example"
	service = "parki"
)

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	priority     int
	maxAttempts  int
	stretch      float64
	targetMs     int
}

// process is one of the project's programs.
type process struct {
	node, role, env, ip string
	mu                  sync.Mutex
	cmd                 *exec.Cmd
}

// fleetUnderTest is a small deployment on loopback addresses.
type fleetUnderTest struct {
	dir, logs string
	network   int
	log       *record
	store     *storestandin.Store
	storeHTTP http.Handler
	fronts    []*process
	sides     []*process
	executors []*executor
	stopping  chan struct{}
	wait      sync.WaitGroup
	servers   []*http.Server
}

// ip returns the loopback address with a number.
func (f *fleetUnderTest) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, n>>8, n&0xff)
}

// newFleet starts the store and prepares the processes and executors; start begins them.
func newFleet(log *record, fronts, sides int, queues []queue) (*fleetUnderTest, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleetUnderTest{dir: dir, log: log, store: storestandin.NewStore(), stopping: make(chan struct{})}
	f.logs = filepath.Join(dir, "logs")
	if err := os.Mkdir(f.logs, 0o700); err != nil {
		return nil, err
	}
	answers := standin.StoreHandler(f.store, func(_ string, v []byte) []byte { return v })
	f.storeHTTP = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		answers.ServeHTTP(w, r)
	})
	if err := f.listenStore(); err != nil {
		return nil, err
	}
	if err := f.configure(1, queues); err != nil {
		return nil, err
	}
	for i := range fronts {
		p := &process{node: fmt.Sprintf("front-%d", i+1), role: "fleet-entry", ip: f.ip(10 + i)}
		f.fronts = append(f.fronts, p)
		if err := f.writeSettings(p, "front", ""); err != nil {
			return nil, err
		}
	}
	for i := range sides {
		ip := f.ip(100 + i)
		app := fmt.Sprintf("%s:%d", ip, appPort)
		p := &process{node: fmt.Sprintf("side-%d", i+1), role: "fleet-agent", ip: ip}
		f.sides = append(f.sides, p)
		if err := f.writeSettings(p, "side", app); err != nil {
			return nil, err
		}
		f.executors = append(f.executors, &executor{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), machine: p.node, address: app, agent: fmt.Sprintf("%s:%d", ip, controlPort),
			service: service, zone: fmt.Sprintf("zone-%d", i%3), rack: fmt.Sprintf("r1-%d", i/3), log: log,
			capacity: map[string]int64{"cpu": 16000, "mem_mb": 64000, "gpu": 0}, stopTime: 900 * time.Millisecond,
			work: func(string, string) (time.Duration, string) { return time.Second, "done" },
		})
	}
	return f, nil
}

// listenStore serves the store on the first network of loopback addresses that is free.
func (f *fleetUnderTest) listenStore() error {
	first := 64 + rand.IntN(128)
	var failed error
	for i := range 128 {
		f.network = 64 + (first-64+i)%128
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(1), storePort))
		if err != nil {
			failed = err
			continue
		}
		server := &http.Server{Handler: f.storeHTTP}
		f.servers = append(f.servers, server)
		go func() { _ = server.Serve(listener) }()
		return nil
	}
	return failed
}

// configure writes a version of the configuration.
func (f *fleetUnderTest) configure(version uint64, queues []queue) error {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "prefix": q.prefix, "service": service, "priority": q.priority, "max_attempts": q.maxAttempts,
			"stretch": q.stretch, "target_duration_ms": q.targetMs, "timeout_ms": 3000,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": service, "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	_, err = f.store.Commit(context.Background(), fleet.Txn{Put: []fleet.Write{{Key: "op/config", Value: raw}}})
	return err
}

// writeSettings writes the settings file of a process, with the fields of a small deployment.
func (f *fleetUnderTest) writeSettings(p *process, class, app string) error {
	listen := fmt.Sprintf("control = \"%s:%d\"\n", p.ip, controlPort)
	limits := "cpu_share = 0.24\ncores = 1\nmemory_mb = 152\nmax_fds = 4096\n"
	if class == "front" {
		listen = fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\n", p.ip, frontPort, p.ip, readyPort)
		limits = "cpu_share = 0.16\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\n"
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
ip = %q
zone = "zone-0"
internal_ports = [7720, 7735]
bootstrap = true
heartbeat_ms = 1500
orders = "rpc"
app = %q
[listen]
%s[limits]
%slink_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
hold_max_ms = 10000
stop_ms = 900
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 1.5
[platform]
address = "%s:%d"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, p.node, p.role, class, p.ip, app, listen, limits, f.ip(1), storePort)
	path := filepath.Join(f.dir, p.node+".toml")
	p.env = "VANILLALOCK_BOOT=" + path
	return os.WriteFile(path, []byte(text), 0o600)
}

// start begins all executors and processes and waits until the entries are ready.
func (f *fleetUnderTest) start(kind func(i int) string) error {
	for i, x := range f.executors {
		if err := x.begin(kind(i)); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process{}, f.fronts...), f.sides...) {
		f.wait.Add(1)
		go f.supervise(p)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range f.fronts {
		for !isReady(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", p.node)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // traffic starts some seconds after the machines
	return nil
}

func isReady(p *process) bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/vanillalock/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// supervise starts a process, and again after it has ended, until the fleet stops.
func (f *fleetUnderTest) supervise(p *process) {
	defer f.wait.Done()
	out, err := os.Create(filepath.Join(f.logs, p.node+".log"))
	if err != nil {
		f.log.event("no log file", "node", p.node, "err", err)
		return
	}
	defer func() { _ = out.Close() }()
	for {
		select {
		case <-f.stopping:
			return
		default:
		}
		cmd := exec.Command("target/vanillalock", p.role)
		cmd.Env = []string{p.env, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			f.log.event("process does not start", "node", p.node, "err", err)
			return
		}
		f.log.event("process started", "node", p.node, "pid", cmd.Process.Pid)
		err = cmd.Wait()
		f.log.event("process ended", "node", p.node, "state", cmd.ProcessState, "err", err)
		time.Sleep(restartPause)
	}
}

// signal sends a signal to a process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop ends everything that the fleet has started.
func (f *fleetUnderTest) stop() {
	close(f.stopping)
	for _, p := range append(append([]*process{}, f.fronts...), f.sides...) {
		p.signal(syscall.SIGKILL)
	}
	done := make(chan struct{})
	go func() { f.wait.Wait(); close(done) }()
	for stopped := false; !stopped; {
		select {
		case <-done:
			stopped = true
		case <-time.After(100 * time.Millisecond): // one may have been started meanwhile
			for _, p := range append(append([]*process{}, f.fronts...), f.sides...) {
				p.signal(syscall.SIGKILL)
			}
		}
	}
	for _, x := range f.executors {
		if x.server != nil {
			x.finish("executor ends with the case")
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(f.logs, keep)
	}
	_ = os.RemoveAll(f.dir)
}

// post sends a JSON body and fails unless the answer is a 2xx.
func post(client *http.Client, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}
