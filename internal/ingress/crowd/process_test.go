// Package crowd tests the system's processes against uncontrolled clients. The tests start
// the binary, built without the race detector, and check only what does not depend on the
// speed of the machine: the process lives, its memory and descriptors stay under the limits
// of its settings, and one ordinary request is answered.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	fake "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/platform"
	"vanillalock.example/vanillalock/platform/standin"
)

const (
	queueHost = "queue.example"
	jobPath   = "/q/%016x" // with the number of a job
	// startLimit and answerLimit only end a test that hangs.
	startLimit  = time.Minute
	answerLimit = time.Minute
)

// program is the binary under test, built by TestMain.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "vanillalock")
	// Without -race: the race detector multiplies the memory.
	if out, err := exec.Command("go", "build", "-race=false", "-o", program, "vanillalock.example/vanillalock/cmd/vanillalock").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// hosts counts the loopback addresses in use. Each process has its own, since its ports are
// fixed.
var hosts atomic.Uint32

func nextIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%256, hosts.Add(1))
}

// process is a process under test.
type process struct {
	t        *testing.T
	ip       string
	memoryMB int
	maxFDs   int
	cmd      *exec.Cmd
	ended    chan struct{}
	output   bytes.Buffer // read once the process has ended
}

// start starts a process of a role with the stand-ins of its platform, and waits until it
// answers an ordinary request.
func start(t *testing.T, role string, memoryMB, maxFDs int) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := fake.NewStore()
	storeAddress := serve(t, standin.StoreHandler(store, func(_ string, value []byte) []byte { return value }))
	queue := fleet.Queue{Name: "q", Host: queueHost, Prefix: "/q/", Policy: fleet.Policy{Pool: "pool", MaxAttempts: 2, Stretch: 2}}
	raw, err := standin.EncodeConfig(&fleet.Config{
		Version: 1, Pools: map[string]fleet.Pool{"pool": {}}, Queues: []fleet.Queue{queue},
		MaxHeader: maxHeader, MaxBodyBytes: maxBody, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second,
	})
	require.NoError(t, err)
	_, err = store.Commit(ctx, fleet.Txn{Put: []fleet.Write{{Key: platform.ConfigKey, Value: raw}}})
	require.NoError(t, err)
	p := &process{t: t, ip: nextIP(), memoryMB: memoryMB, maxFDs: maxFDs, ended: make(chan struct{})}
	settings := standin.Process{Node: "vm-1", IP: p.ip, Front: role == "fleet-entry", Store: storeAddress, MemoryMB: memoryMB, MaxFDs: maxFDs}
	if !settings.Front {
		x := standin.NewExecutor(fleet.Executor{ID: "x-1", Pool: "pool", FailureDomain: "d", Capacity: structs.Resources{MilliCPU: 8000, MemoryMB: 16000}}, "")
		x.StartInstance(fake.NewExecutor("vm-1", 1, fake.NewAudit()))
		settings.Executor = serve(t, x)
	}
	env, err := standin.WriteSettings(filepath.Join(t.TempDir(), "settings.toml"), settings)
	require.NoError(t, err)
	p.cmd = exec.Command(program, role)
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = append(os.Environ(), env), &p.output, &p.output
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // a process that ends by itself fails the test in requireAlive
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("end of the output of %s:\n%s", role, p.output.Bytes()[max(0, p.output.Len()-2000):])
		}
	})
	return p
}

// serve serves a stand-in and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", nextIP()+":0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	if x, ok := handler.(*standin.Executor); ok {
		server.ConnContext = x.ConnContext
	}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// address returns an address of the process.
func (p *process) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

// requireAnswer sends an ordinary request until it gets the answer that it gets without a
// crowd. A caller that is refused or loses its connection sends the request again.
func (p *process) requireAnswer(method, url, body string) {
	p.t.Helper()
	client := &http.Client{Timeout: answerLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for until := time.Now().Add(answerLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		p.requireAlive()
		req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
		require.NoError(p.t, err)
		req.Host = queueHost
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%d %s", resp.StatusCode, answer)
	}
	require.Fail(p.t, "an ordinary request got no answer", "%s %s: %s", method, url, last)
}

func (p *process) requireAlive() {
	p.t.Helper()
	select {
	case <-p.ended:
		require.Fail(p.t, "the process has ended")
	default:
	}
}

// requireWithinLimits checks the process against the limits of its settings.
func (p *process) requireWithinLimits() {
	p.t.Helper()
	p.requireAlive()
	memory, fds := p.peakMemoryMB(), p.descriptors()
	p.t.Logf("peak memory %d MB of %d, descriptors %d of %d", memory, p.memoryMB, fds, p.maxFDs)
	require.LessOrEqual(p.t, memory, p.memoryMB, "peak resident memory in MB")
	require.LessOrEqual(p.t, fds, p.maxFDs, "open descriptors")
}

var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemoryMB returns the largest resident memory so far, in MB.
func (p *process) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	found := peakLine.FindSubmatch(status)
	require.NotNil(p.t, found, "%s", status)
	kb, err := strconv.Atoi(string(found[1]))
	require.NoError(p.t, err)
	return kb >> 10
}

// awaitSteadyMemory waits until the process has taken in what was sent to it: its peak
// memory has stopped growing, or exceeds the limit.
func (p *process) awaitSteadyMemory() {
	p.t.Helper()
	const interval, unchanged = 50 * time.Millisecond, 8
	last := 0
	for same := 0; same < unchanged; same++ {
		p.requireAlive()
		peak := p.peakMemoryMB()
		if peak > p.memoryMB {
			return
		}
		if peak != last {
			last, same = peak, 0
		}
		time.Sleep(interval)
	}
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	return len(open)
}
