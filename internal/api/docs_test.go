package api_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/rescode"
)

var update = flag.Bool("update", false, "rewrite the table of docs/errors.md")

// Guards against a result code, outcome or HTTP status that differs between
// docs/errors.md and the program.
func TestErrorsPage(t *testing.T) {
	const page, heading = "../../docs/errors.md", "| code | meaning | outcome | HTTP status |\n| --- | --- | --- | --- |\n"
	var b strings.Builder
	b.WriteString(heading)
	all := rescode.All()
	for _, code := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&b, "| %d | %s | `%s` | %d |\n", code, all[code], code.Outcome(), api.HTTPStatus(code))
	}
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	prose, found, ok := strings.Cut(string(data), heading)
	require.True(t, ok)
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(prose+b.String()), 0o644))
		return
	}
	assert.Equal(t, b.String(), heading+found, "run go test ./internal/api -update")
}
