// Package processes tests a deployment of the binary as separate processes that
// communicate over loopback.
package processes

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/api/client"
	"vanillalock.example/vanillalock/internal/demo"
	"vanillalock.example/vanillalock/internal/load"
	"vanillalock.example/vanillalock/internal/standin/audit"
	"vanillalock.example/vanillalock/internal/standin/control"
	standinupstream "vanillalock.example/vanillalock/internal/standin/upstream"
	standinworker "vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	entries = 3
	vms     = 4
)

// fleet is a deployment of separate processes: entries, agents, and the stand-ins of
// the platform.
type fleet struct {
	t         *testing.T
	dir       string
	binary    string
	store     string
	entryURLs []string
	sessions  []string
	workers   []string
	upstreams []string
	entries   []*exec.Cmd
	agents    []*exec.Cmd
	ports     portAllocator
	exited    chan string // arguments, error and output of the first process that exited by itself
}

// listenHost is the address that the processes listen on. It is not 127.0.0.1,
// because outgoing connections from there may take any of its ports.
const listenHost = "127.0.0.2"

// portAllocator allocates distinct ports. It holds each port open until release,
// because a port freed at once could be allocated again before its process listens.
type portAllocator struct{ held []net.Listener }

// next returns the address of a port that is free on listenHost.
func (p *portAllocator) next(t *testing.T) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(listenHost, "0"))
	require.NoError(t, err)
	p.held = append(p.held, listener)
	return listener.Addr().String()
}

// release frees all ports, so that the processes can listen on them.
func (p *portAllocator) release() {
	for _, listener := range p.held {
		_ = listener.Close()
	}
	p.held = nil
}

// startFleet builds the binary and starts all processes.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), exited: make(chan string, 1)}
	f.binary = filepath.Join(f.dir, "vanillalock")
	out, err := exec.Command("go", "build", "-o", f.binary, "vanillalock.example/vanillalock/cmd/vanillalock").CombinedOutput()
	require.NoError(t, err, string(out))
	f.store = f.ports.next(t)
	for range entries {
		f.sessions = append(f.sessions, f.ports.next(t))
		f.entryURLs = append(f.entryURLs, "http://"+f.ports.next(t))
	}
	for range vms {
		f.workers = append(f.workers, "http://"+f.ports.next(t))
		f.upstreams = append(f.upstreams, "http://"+f.ports.next(t))
	}
	f.ports.release()
	f.start("standin", "kv", "--listen", f.store)
	for i := range entries {
		f.startEntry(i)
	}
	for i := range vms {
		f.startVM(i)
	}
	return f
}

// start starts the binary with the arguments and kills the process at the end of the
// test. A process that exits by itself makes eventually fail.
func (f *fleet) start(args ...string) *exec.Cmd {
	f.t.Helper()
	cmd := exec.Command(f.binary, args...)
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	require.NoError(f.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := cmd.Wait()
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
			return // killed by the test
		}
		select {
		case f.exited <- fmt.Sprintf("%v: %v\n%s", args, err, output.Bytes()):
		default:
		}
	}()
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
	})
	return cmd
}

// eventually waits until the condition holds. It fails if a process exits by itself.
func (f *fleet) eventually(condition func() bool, wait, every time.Duration, state ...any) {
	f.t.Helper()
	ended := ""
	require.Eventually(f.t, func() bool {
		select {
		case ended = <-f.exited:
			return true
		default:
			return condition()
		}
	}, wait, every, state...)
	require.Empty(f.t, ended, "a process has ended by itself")
}

func (f *fleet) startEntry(i int) {
	path := f.writeConfig(fmt.Sprintf("entry-%d.toml", i), fmt.Sprintf(`
id = "entry-%d"
region = "mien-nam"
failure_domain = "nam-%c"
[http]
listen = %q
[session]
listen = %q
[kv]
address = "http://%s"
`, i, 'a'+i, f.entryURLs[i][len("http://"):], f.sessions[i], f.store))
	f.entries = append(f.entries, f.start("entry", "--config", path))
}

func (f *fleet) startVM(i int) {
	worker, upstream := strings.TrimPrefix(f.workers[i], "http://"), strings.TrimPrefix(f.upstreams[i], "http://")
	f.start("standin", "worker", "--vm", fmt.Sprintf("vm-%d", i), "--listen", worker, "--milli-cpu", "32000", "--memory-mb", "125000", "--accelerators", "2")
	f.start("standin", "upstream", "--listen", upstream)
	path := f.writeConfig(fmt.Sprintf("agent-%d.toml", i), fmt.Sprintf(`
vm = "vm-%d"
region = "mien-nam"
failure_domain = "nam-%c"
rack = "rack-%d"
entries = [%q, %q, %q]
[capacity]
milli_cpu = 32000
memory_mb = 125000
accelerators = 2
[worker]
address = "http://%s"
[upstream]
address = "http://%s"
`, i, 'a'+i%entries, i/2, f.sessions[0], f.sessions[1], f.sessions[2], worker, upstream))
	f.agents = append(f.agents, f.start("agent", "--config", path))
}

func (f *fleet) writeConfig(name, content string) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// configure waits until every entry is ready and knows the others and all VMs. It
// then creates the templates and customers of the deployment, and waits until the
// last entry has them.
func (f *fleet) configure(ctx context.Context, d demo.Deployment) {
	f.t.Helper()
	first := f.client(0)
	f.eventually(func() bool {
		for i := range entries {
			status, err := f.client(i).Status(ctx)
			if err != nil || len(status.Upstreams) < vms || len(status.Peers) < entries-1 || !status.Ready {
				return false
			}
		}
		return true
	}, time.Minute, 100*time.Millisecond)
	for _, t := range d.Templates {
		require.NoError(f.t, first.SetObject(ctx, api.KindTemplate, t.Name, t, 0, &t))
	}
	for _, c := range d.Customers {
		require.NoError(f.t, first.SetObject(ctx, api.KindCustomer, c.Name, c, 0, &c))
	}
	f.eventually(func() bool {
		list, err := f.client(entries - 1).ListCustomers(ctx)
		return err == nil && len(list) == len(d.Customers)
	}, time.Minute, 50*time.Millisecond)
}

// client returns a client of one entry.
func (f *fleet) client(i int) *client.Client {
	c, err := client.New([]string{f.entryURLs[i]}, nil)
	require.NoError(f.t, err)
	return c
}

// checkRecords fetches and checks the records of the stand-ins.
func (f *fleet) checkRecords(ctx context.Context, notRun []string) audit.Report {
	f.t.Helper()
	in := audit.Input{NotRun: notRun, Workers: make([]standinworker.Records, vms), Upstreams: make([]standinupstream.Records, vms)}
	for i := range vms {
		require.NoError(f.t, control.FetchRecords(ctx, http.DefaultClient, f.workers[i], &in.Workers[i]))
		require.NoError(f.t, control.FetchRecords(ctx, http.DefaultClient, f.upstreams[i], &in.Upstreams[i]))
	}
	return audit.Check(in)
}

// waitFinal waits until the last entry reports every task as final.
func (f *fleet) waitFinal(ctx context.Context) {
	f.t.Helper()
	var open []structs.TaskID
	f.eventually(func() bool {
		list, err := f.client(entries - 1).ListJobs(ctx)
		if err != nil {
			return false
		}
		open = nil
		for _, j := range list {
			for _, t := range j.Tasks {
				if !t.State.Final() {
					open = append(open, structs.TaskID{Job: j.ID, Index: t.Index})
				}
			}
		}
		return len(open) == 0
	}, 3*time.Minute, 200*time.Millisecond, "not final: %v", &open)
}

// TestEntryKilledAndEntryPausedUnderLoad guards against lost jobs, duplicate
// executions, overlapping runs and requests falsely reported as "not run" when
// one entry is killed under load and another one is paused for longer than a
// permit and then continues.
func TestEntryKilledAndEntryPausedUnderLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	defer cancel()
	d, err := demo.Find(demo.LienHoa)
	require.NoError(t, err)
	f := startFleet(t)
	f.configure(ctx, d)

	time.AfterFunc(5*time.Second, func() { _ = f.entries[0].Process.Kill() })
	time.AfterFunc(8*time.Second, func() { _ = f.entries[1].Process.Signal(syscall.SIGSTOP) })
	time.AfterFunc(22*time.Second, func() { _ = f.entries[1].Process.Signal(syscall.SIGCONT) })
	report, err := load.Run(ctx, load.Plan{
		Seed: 7, RunID: "kill", Schedule: load.Schedule{BaseRate: 60, LengthMs: 30_000}, Mix: d.Mix, Jobs: d.Jobs,
	}, load.Options{Entries: f.entryURLs, JobWait: 2 * time.Minute})
	require.NoError(t, err)
	f.waitFinal(ctx)

	checked := f.checkRecords(ctx, report.NotRunIDs)
	t.Logf("requests: %d done, %d not run, %d unknown, %d unreached; jobs: %+v; starts %d", report.Total.Done, report.Total.NotRun, report.Total.Unknown, report.Total.Unreached, report.Jobs, checked.Starts)
	require.Empty(t, checked.Violations)
	require.Empty(t, report.WrongIDs)
	require.Zero(t, report.Jobs.Lost)
	require.NotZero(t, report.Jobs.Accepted)
	require.NotZero(t, report.Total.Done)
}

// TestPortsDiffer guards against two processes of a deployment that are given
// the same port: the second one exits, and the deployment never becomes
// complete.
func TestPortsDiffer(t *testing.T) {
	var p portAllocator
	defer p.release()
	seen := map[string]bool{}
	for range 500 {
		address := p.next(t)
		require.False(t, seen[address], address)
		seen[address] = true
	}
}
