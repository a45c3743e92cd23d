// Package fixedseed runs the tests of a package with a fixed seed for its property
// tests (pgregory.net/rapid), so that every run gives the same result.
package fixedseed

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

// Run sets the seed and the additional flags of rapid, disables its fail files and
// runs the tests. Each flag has the form "name=value" without the prefix "rapid.".
// Run returns the exit code for TestMain and panics if a flag cannot be set.
func Run(m *testing.M, seed uint64, extra ...string) int {
	settings := append([]string{fmt.Sprintf("seed=%d", seed), "nofailfile=true"}, extra...)
	for _, s := range settings {
		name, value, _ := strings.Cut(s, "=")
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(fmt.Sprintf("set flag rapid.%s: %v", name, err))
		}
	}
	return m.Run()
}
