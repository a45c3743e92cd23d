// Command harness2 runs the cases of the second review. It starts the project's programs as
// processes on loopback addresses, with stand-ins of the store, the executors and the clients,
// and judges what these have seen. It exits with 1 if the rule was broken, with 0 if it held,
// and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held, broken, notRun = 0, 1, 2
)

// verdict is the result of a case.
type verdict struct {
	broken  []string // one line for each place where the rule was broken
	problem string   // why the case could not run
}

// cases are the cases by name. Each runs without its disruption if trouble is false.
var cases = map[string]func(log *record, trouble bool) verdict{
	"given-up":  givenUp,
	"displaced": displaced,
	"shunned":   shunned,
	"kind":      otherKind,
	"cancel":    lateSubmission,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(play(*name, *dir, os.Getenv("TROUBLE") != "0"))
}

func play(name, dir string, trouble bool) int {
	scenario, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return notRun
	}
	log, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer log.close()
	log.event("case", "name", name, "trouble", trouble)
	v := scenario(log, trouble)
	for _, line := range v.broken {
		log.event("BROKEN " + line)
		fmt.Println("BROKEN", line)
	}
	switch {
	case v.problem != "":
		log.event("NOT RUN " + v.problem)
		fmt.Println("NOT RUN", v.problem)
		return notRun
	case len(v.broken) > 0:
		return broken
	}
	log.event("HELD")
	fmt.Println("HELD")
	return held
}
