package roles

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/lead"
	"vanillalock.example/vanillalock/internal/fleet/side"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/platform"
)

const explainConfig = `{"version":1,"services":[{"name":"pool"}],"routes":[{"name":"batch","host":"h","prefix":"/batch/","service":"pool","priority":2}]}`

// startFleet runs two entries and two agents on an in-memory store until the end of the
// test, and returns the addresses of the entries.
func startFleet(t *testing.T) []string {
	store, audit := standin.NewStore(), standin.NewAudit()
	_, err := store.Commit(t.Context(), fleet.Txn{Put: []fleet.Write{{Key: platform.ConfigKey, Value: []byte(explainConfig)}}})
	require.NoError(t, err)
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return listener
	}
	quiet := log.New(io.Discard)
	for _, name := range []string{"vm-1", "vm-2"} {
		listener := listen()
		agent := side.New(side.Options{
			Node: name, Listener: listener, Advertise: listener.Addr().String(), Executors: standin.NewExecutor(name, 0, audit), Store: store,
			MaxLease: 10 * time.Second, Log: quiet,
		})
		go func() { _ = agent.Run(t.Context()) }()
		agent.Announce(fleet.Executor{Instance: name + "@1", ID: name, Pool: "pool", Capacity: structs.Resources{MilliCPU: 8000, MemoryMB: 8000}, Born: 1})
	}
	var addresses []string
	for _, name := range []string{"entry-1", "entry-2"} {
		listener := listen()
		entry := lead.NewEntry(lead.Options{
			Node: name, Advertise: listener.Addr().String(), Store: store, MaxLease: 10 * time.Second, StatusKept: time.Minute,
			Log: quiet, Metrics: lead.NewMetrics(t.Name() + name),
		}, listener, lead.ConfigSource{Prefix: platform.OperatorBase, Key: platform.ConfigKey, Decode: platform.DecodeConfig})
		go func() { _ = entry.Run(t.Context()) }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// Guards against a command that shows nothing of a running fleet: by any entry, as text
// and JSON, and again from the state that it has recorded.
func TestExplainCommand(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	run := func(stdin string, args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := command.Run(ctx, append([]string{"explain"}, args...), strings.NewReader(stdin), command.Streams{Out: &out, Err: &errOut}, Runners())
		return code, out.String(), errOut.String()
	}
	entries := startFleet(t)
	const job = `{"spec":"s","steps":[{"count":3,"cpu":500,"mem_mb":100},{"count":1,"cpu":9000,"fills":true,"mem_mb":100,"after":[0]}]}`
	var x lead.Explanation
	for _, entry := range entries { // one of them leads, the other passes the question on
		require.Eventually(t, func() bool {
			code, out, _ := run(job, "-", "--entry", entry, "--host", "h", "--path", "/batch/", "--output", "json")
			x = lead.Explanation{}
			return code == command.ExitOK && json.Unmarshal([]byte(out), &x) == nil && x.Steps[0].Fits == 2
		}, time.Minute, 400*time.Millisecond)
		require.Equal(t, lead.OutcomeStarts, x.Steps[0].Outcome)
		require.Contains(t, []string{"vm-1", "vm-2"}, x.Steps[0].VM)
		require.Equal(t, lead.OutcomeNoVM, x.Steps[1].Outcome)
	}
	ask := func(stdin string, args ...string) (code int, out, errOut string) {
		require.Eventually(t, func() bool { // until the limit of questions allows it
			code, out, errOut = run(stdin, append(args, "--entry", entries[0])...)
			return !strings.Contains(errOut, "ask again later")
		}, time.Minute, 400*time.Millisecond)
		return code, out, errOut
	}
	code, text, errOut := ask(job, "-", "--queue", "batch")
	require.Equal(t, command.ExitOK, code, errOut)
	for _, want := range []string{"batch, priority 2", "3 short tasks, pool pool: starts on vm-", "vm-1  8.00  room +8.00", "1 filling tasks, pool pool: waits for a VM", "2 by cpu"} {
		require.Contains(t, text, want)
	}

	state := filepath.Join(t.TempDir(), "state.json")
	code, out, errOut := ask(job, "-", "--queue", "batch", "--record", state)
	require.Equal(t, command.ExitOK, code, errOut)
	code, again, errOut := run(job, "-", "--queue", "batch", "--state", state)
	require.Equal(t, command.ExitOK, code, errOut)
	require.Equal(t, out, again)

	code, _, errOut = ask(job, "-", "--queue", "none")
	require.Equal(t, command.ExitUsage, code)
	require.Contains(t, errOut, "no such queue")
	code, _, errOut = ask(`{"steps":[]}`, "-", "--queue", "batch")
	require.Equal(t, command.ExitUsage, code)
	require.Contains(t, errOut, "0 steps")
	code, _, errOut = run(job, "-", "--queue", "batch", "--entry", "127.0.0.1:1")
	require.Equal(t, command.ExitNotRun, code)
	require.Contains(t, errOut, "no entry can be reached")
	code, _, errOut = run(job, "-", "--queue", "batch", "--state", filepath.Join(t.TempDir(), "none.json"))
	require.Equal(t, command.ExitUsage, code, errOut)
}
