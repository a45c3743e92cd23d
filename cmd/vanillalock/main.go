// Command vanillalock is the scheduler's single binary.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"vanillalock.example/vanillalock/internal/command"
	"vanillalock.example/vanillalock/internal/roles"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal starts a graceful shutdown; a second one ends the process.
	context.AfterFunc(ctx, stop)
	code := command.Run(ctx, os.Args[1:], os.Stdin, command.Streams{Out: os.Stdout, Err: os.Stderr}, roles.Runners())
	stop()
	os.Exit(code)
}
