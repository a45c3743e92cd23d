//go:build ignore

// Command generate measures slopes and, with -page, writes the tables of the
// capacity page from a result.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/bench"
)

func main() {
	duration := flag.Duration("duration", 12*time.Second, "measured time at one size")
	seed := flag.Uint64("seed", 1, "seed")
	names := flag.String("case", "", "comma-separated names of the cases; all if empty")
	file := flag.String("json", "docs/capacity.json", "file for the result")
	page := flag.String("page", "", "page whose tables are written from the JSON file; nothing is measured")
	flag.Parse()
	if err := run(*duration, *seed, *names, *file, *page); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(duration time.Duration, seed uint64, names, file, page string) error {
	if page != "" {
		return bench.UpdatePage(page, file)
	}
	o := bench.Options{Duration: duration, Seed: seed, JSON: file}
	if names != "" {
		o.Case = strings.Split(names, ",")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return bench.Run(ctx, o, os.Stdout, os.Stderr)
}
