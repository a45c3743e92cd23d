package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	runLimit = 110 * time.Second
)

// cases are the disruptions with their checks. Each returns what has broken the rule, or "".
var cases = map[string]func(ctx context.Context, r *record, trouble bool) (string, error){
	"writer": writer,
	"deadly": deadly,
}

// events records the starts and ends of runs.
type events struct {
	record *record
	mu     sync.Mutex
	starts []standin.Event
	ends   []standin.Event
	endAt  map[[2]any]time.Time
}

func (e *events) Started(ev standin.Event) {
	e.record.line("start %s run %d on %s, term %d", ev.Task, ev.Run, ev.Executor, ev.Fence)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, ev)
}

func (e *events) Ended(ev standin.Event) {
	how := ev.Reason.String()
	if ev.Reason == fleet.EndUnknown {
		how = "ended with its executor"
	}
	e.record.line("end %s run %d on %s: %s", ev.Task, ev.Run, ev.Executor, how)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, ev)
	e.endAt[[2]any{ev.Task, ev.Run}] = time.Now()
}

func (e *events) Acknowledged(standin.Event) {}

func (e *events) Lapsed(ev standin.Event) { e.record.line("lease of %s lapses", ev.Executor) }

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		return notRun
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = out.Close() }()
	r := &record{began: time.Now(), out: out}
	trouble := os.Getenv("TROUBLE") != "0"
	signaled, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signaled, runLimit)
	defer cancel()
	what, err := cases[os.Args[1]](ctx, r, trouble)
	verdict, code := "the rule held", held
	switch {
	case signaled.Err() != nil:
		verdict, code = "the case was ended by a signal", notRun
	case err != nil:
		verdict, code = fmt.Sprintf("the case could not run: %v", err), notRun
	case what != "":
		verdict, code = "the rule is broken: "+what, broken
	}
	r.line("%s", verdict)
	_, _ = io.WriteString(os.Stdout, verdict+"\n")
	return code
}

// start starts a fleet, waits until it is ready and runs body.
func start(ctx context.Context, r *record, entries, vms int, kind func(i int) string, behavior func(*vm, fleet.StartOrder) (time.Duration, fleet.EndReason), body func(*fleetUnderTest, *events) (string, error)) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	ev := &events{record: r, endAt: map[[2]any]time.Time{}}
	f, err := newFleet(ctx, r, entries, vms, ev, behavior)
	if err != nil {
		cancel()
		return "", err
	}
	defer f.close()
	defer cancel()
	for i, v := range f.vms {
		f.begin(v, kind(i), crashDowntime)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	return body(f, ev)
}
