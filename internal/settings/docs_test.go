package settings

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the tables of docs/configuration.md")

const pagePath = "../../docs/configuration.md"

// keyTable renders the keys as the table of the page.
func keyTable(keys []Key) string {
	var b strings.Builder
	b.WriteString("| key | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range keys {
		def := "`" + k.Default + "`"
		if k.Required {
			def = "required"
		} else if k.Default == "" {
			def = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Path, k.Type, k.Range, def, k.Doc)
	}
	return b.String()
}

// Guards against a key, range or default that differs between
// docs/configuration.md and the schema.
func TestConfigurationPage(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	text := string(data)
	for role, keys := range map[string][]Key{"entry": EntryKeys(), "agent": AgentKeys()} {
		begin, end := "<!-- "+role+" keys -->\n", "<!-- end of "+role+" keys -->"
		_, rest, ok := strings.Cut(text, begin)
		require.True(t, ok, role)
		found, _, ok := strings.Cut(rest, end)
		require.True(t, ok, role)
		if *update {
			text = strings.Replace(text, begin+found+end, begin+keyTable(keys)+end, 1)
			continue
		}
		assert.Equal(t, keyTable(keys), found, "run go test ./internal/settings -update")
	}
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(text), 0o644))
	}
}

// Guards against an example that the parser rejects, or whose entry and agent
// settings do not match.
func TestExamples(t *testing.T) {
	entry, err := os.ReadFile("../../examples/entry.toml")
	require.NoError(t, err)
	e, err := ParseEntry(entry)
	require.NoError(t, err)
	agent, err := os.ReadFile("../../examples/agent.toml")
	require.NoError(t, err)
	a, err := ParseAgent(agent)
	require.NoError(t, err)
	assert.Equal(t, e.Permit, a.Permit)
	assert.Equal(t, e.Region, a.Region)
	assert.Contains(t, a.Entries, e.Session.Advertise)
}
