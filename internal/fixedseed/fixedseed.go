// Package fixedseed runs tests with fixed flags of the property tests, so that
// every run gives the same verdict.
package fixedseed

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

// Run sets the seed and further flags, each as "name=value" without the prefix
// "rapid.", and runs the tests. It returns the exit code for TestMain.
func Run(m *testing.M, seed uint64, more ...string) int {
	settings := append([]string{fmt.Sprintf("seed=%d", seed), "nofailfile=true"}, more...)
	for _, s := range settings {
		name, value, _ := strings.Cut(s, "=")
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(fmt.Sprintf("set flag rapid.%s: %v", name, err))
		}
	}
	return m.Run()
}
