package ledger

import (
	"fmt"
	"os"
	"testing"

	"vanillalock.example/vanillalock/internal/fixedseed"
)

// defaultChecks is the number of checks of each property test.
const defaultChecks = 12000

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, 7, fmt.Sprintf("checks=%d", defaultChecks)))
}
