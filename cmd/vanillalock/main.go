// Command vanillalock is the scheduler's single binary.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"vanillalock.example/vanillalock/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdin, command.Streams{Out: os.Stdout, Err: os.Stderr}, command.Runners{})
	stop()
	os.Exit(code)
}
