// Command harness plays the scripted cases of the review: it starts the project's
// programs as processes on loopback addresses, beside stand-ins of the platform's store,
// the executors, the clients and the operator, and judges what these see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. An error means that it could not run.
type scenario func(ctx context.Context, dir string, j *judge, trouble bool) error

var scenarios = map[string]scenario{
	"refused-twice": refusedTwice,
	"many-ends":     manyEnds,
	"other-writer":  otherWriter,
}

// timeLimit bounds a case, with the end of its processes.
const timeLimit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	j, err := newJudge(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "vanillalock-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	keep := os.Getenv("KEEP_LOGS")
	defer func() {
		if keep != "" {
			_ = os.CopyFS(filepath.Join(keep, filepath.Base(dir)), os.DirFS(dir))
		}
		_ = os.RemoveAll(dir)
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	j.note("case %s, trouble: %t", os.Args[1], trouble)
	err = scenarios[os.Args[1]](ctx, dir, j, trouble)
	broken := j.verdict()
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	switch {
	case err != nil:
		j.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("broken, %d times\n", len(broken))
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}
