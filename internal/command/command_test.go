package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/api/apitest"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// run runs the command line args with the given standard input.
func run(r Runners, stdin string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), args, strings.NewReader(stdin), Streams{&o, &e}, r)
	return code, o.String(), e.String()
}

func allRunners() Runners {
	return Runners{
		Entry: func(_ context.Context, o EntryOptions, s Streams) error {
			_, err := s.Out.Write([]byte(o.Settings.ID))
			return err
		},
		Agent:           func(context.Context, AgentOptions, Streams) error { return nil },
		StandinKV:       func(context.Context, StandinKVOptions, Streams) error { return nil },
		StandinWorker:   func(context.Context, StandinWorkerOptions, Streams) error { return nil },
		StandinUpstream: func(context.Context, StandinUpstreamOptions, Streams) error { return nil },
		Load:            func(context.Context, LoadOptions, Streams) error { return nil },
		Demo:            func(context.Context, DemoOptions, Streams) error { return nil },
		Bench:           func(context.Context, BenchOptions, Streams) error { return nil },
		Explain: func(_ context.Context, o ExplainOptions, s Streams) error {
			_, err := fmt.Fprintf(s.Out, "%s%s %s %s%s %s", o.Entry, o.State, o.Queue, o.Host, o.Path, o.Job)
			return err
		},
		Report: func(_ context.Context, o ReportOptions, s Streams) error {
			_, err := s.Out.Write([]byte(strings.Join(o.Result, ",")))
			return err
		},
	}
}

// Guards against a command whose help has no example, and against a command that
// is offered without a runner.
func TestHelpAndRegistration(t *testing.T) {
	parser, err := newParser(Streams{}, allRunners())
	require.NoError(t, err)
	leaves := 0
	require.NoError(t, kong.Visit(parser.Model, func(node kong.Visitable, next kong.Next) error {
		if n, ok := node.(*kong.Node); ok && n.Type == kong.CommandNode {
			if n.Leaf() {
				leaves++
			}
			code, out, _ := run(allRunners(), "", append(strings.Fields(n.Path()), "--help")...)
			assert.Equal(t, ExitOK, code)
			assert.Contains(t, out, "Example: vanillalock "+n.Path())
		}
		return next(nil)
	}))
	assert.Equal(t, 27, leaves)
	code, _, errOut := run(Runners{}, "", "demo")
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, errOut, "unexpected argument demo")
}

// Guards against options that do not reach their runner.
func TestRunnerOptions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	document := "id='e1'\nregion='r'\nfailure_domain='f'\nhttp.listen='a:1'\nsession.listen='a:2'\nkv.address='http://a:3'\n"
	require.NoError(t, os.WriteFile(path, []byte(document), 0o600))
	code, out, errOut := run(allRunners(), "", "entry", "--config", path)
	assert.Equal(t, ExitOK, code, errOut)
	assert.Equal(t, "e1", out)
	_, out, _ = run(allRunners(), "", "report", "a.json", "b.json")
	assert.Equal(t, "a.json,b.json", out)
	_, out, errOut = run(allRunners(), `{"steps":[]}`, "explain", "-", "--entry", "a:1", "--queue", "q")
	assert.Equal(t, `a:1 q  {"steps":[]}`, out, errOut)
	_, out, errOut = run(allRunners(), "{}", "explain", "-", "--state", "s.json", "--host", "h", "--path", "/p/")
	assert.Equal(t, "s.json  h/p/ {}", out, errOut)
	for want, args := range map[string][]string{
		"--entry":            {"-", "--queue", "q"},
		"can't be used":      {"-", "--queue", "q", "--entry", "a:1", "--state", "s"},
		"--queue, or --host": {"-", "--entry", "a:1", "--host", "h"},
		"a job or --record":  {"--entry", "a:1"},
		"needs --entry":      {"--state", "s", "--record", "r"},
	} {
		code, _, errOut = run(allRunners(), "{}", append([]string{"explain"}, args...)...)
		assert.Equal(t, ExitUsage, code)
		assert.Contains(t, errOut, want)
	}
	code, _, errOut = run(allRunners(), "", "config", "check", path, "--role", "agent")
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, errOut, "line 1: id: unknown key")
	code, out, _ = run(allRunners(), "", "config", "check", path, "--role", "entry")
	assert.Equal(t, ExitOK, code)
	assert.Contains(t, out, "[permit]")
}

// Guards against a client command that loses input or output, and against an exit
// code that does not match the outcome that the entry reported.
func TestClientCommands(t *testing.T) {
	fake := apitest.New()
	server := httptest.NewServer(api.NewHandler(fake, api.Limits{MaxBodyBytes: 4096, MaxTimeout: time.Minute}, obs.DiscardLogger()))
	defer server.Close()
	do := func(want int, stdin, contains string, args ...string) {
		t.Helper()
		code, out, errOut := run(Runners{}, stdin, append(args, "--entry", "http://127.0.0.1:1", "--entry", server.URL)...)
		assert.Equal(t, want, code, "%v: %s", args, errOut)
		assert.Contains(t, out+errOut, contains, "%v", args)
	}
	template := `{"name":"t","kind":"request","qos":"batch"}`
	do(ExitOK, template, `"version": 1`, "template", "set", "-f", "-")
	do(ExitNotRun, template, `current object: {"name":"t","version":1`, "template", "set", "-f", "-")
	do(ExitOK, template, `"version": 2`, "template", "set", "-f", "-", "--version", "1")
	do(ExitUsage, `{"nome":"t"}`, "unknown field", "template", "set", "-f", "-")
	do(ExitOK, "", "batch", "template", "list")
	do(ExitOK, "", `"qos": "batch"`, "template", "get", "t")
	do(ExitNotRun, "", "current object", "template", "delete", "t", "--version", "1")
	do(ExitOK, "", "", "template", "delete", "t", "--version", "2")
	do(ExitNotRun, "", "1009", "template", "get", "t")
	do(ExitOK, `{"name":"c","team":"x"}`, `"team": "x"`, "customer", "set", "-f", "-")
	do(ExitOK, "", `"customers": [`, "customer", "list", "--output", "json")
	do(ExitOK, "", "queued:1", "job", "submit", "--template", "t", "--customer", "c", "--count", "2", "--key", "k", "-p", "a=1",
		"--milli-cpu", "500", "--memory-mb", "64")
	do(ExitUsage, "", "--accelerators requires", "job", "submit", "--template", "t", "--customer", "c", "--accelerators", "1")
	assert.Equal(t, []api.JobInput{{Key: "k", Template: "t", Customer: "c", Count: 2, Parameters: map[string]string{"a": "1"},
		Resources: &structs.Resources{MilliCPU: 500, MemoryMB: 64}}}, fake.JobInputs)
	do(ExitOK, "", "j1", "job", "list")
	do(ExitOK, "", "j1", "job", "status", "j1")
	do(ExitOK, "", "cancelled:1", "job", "cancel", "j1")
	do(ExitOK, "", "vm-1", "request", "submit", "--template", "t", "--customer", "c", "--timeout", "2s")
	do(ExitOK, "", `"sum": 3`, "request", "get", "r1", "--output", "json")
	do(ExitOK, "", "upstream vm-1", "status")
	fake.Answer.Code, fake.Answer.Outcome = rescode.AnswerLost, rescode.Unknown
	do(ExitUnknown, "", "unknown", "request", "get", "r1")
	fake.Answer.Code, fake.Answer.Outcome = rescode.UpstreamFailed, rescode.Done
	do(ExitWorkFailed, "", "done", "request", "get", "r1")
	code, _, _ := run(Runners{}, "", "status", "--entry", "http://127.0.0.1:1")
	assert.Equal(t, ExitNotRun, code)
}
