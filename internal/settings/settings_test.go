package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimalEntry = `
id = "entry-1"
region = "osrednja"
failure_domain = "vic"
[http]
listen = "127.0.0.1:8080"
[session]
listen = "127.0.0.1:8081"
[kv]
address = "http://127.0.0.1:9000"
`

const minimalAgent = `
vm = "vm-1"
region = "osrednja"
failure_domain = "vic"
rack = "r1"
entries = ["127.0.0.1:8081"]
capacity = { milli_cpu = 16000, memory_mb = 62000 }
`

// Guards against defaults that differ from the specified ones, and against entry
// and agent defaults that differ from each other.
func TestDefaults(t *testing.T) {
	e, err := ParseEntry([]byte(minimalEntry))
	require.NoError(t, err)
	assert.Equal(t, Permit{10 * time.Second, time.Second, 1, 6 * time.Hour, 2 * time.Second}, e.Permit)
	assert.Equal(t, e.HTTP.Listen, e.HTTP.Advertise)
	a, err := ParseAgent([]byte(minimalAgent))
	require.NoError(t, err)
	assert.Equal(t, e.Permit, a.Permit)
	assert.EqualValues(t, 8, a.Slots)
	assert.EqualValues(t, 16000, a.Capacity.MilliCPU)
}

// Guards against an invalid document that is accepted, or whose error lacks the key
// or line. Most cases add lines after the 10 of minimalEntry.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		document string
		want     []string
	}{
		"unknown key":      {minimalEntry + "adress = 1", []string{"line 11: kv.adress: unknown key"}},
		"unknown table":    {minimalEntry + "[quota]\nx = 1", []string{"line 11: quota: unknown key"}},
		"dotted key":       {minimalEntry + `"timeout.x" = 1`, []string{`line 11: kv."timeout.x": unknown key`}},
		"no unit":          {minimalEntry + "timeout = 5", []string{"line 11: kv.timeout: expected a duration with unit"}},
		"wrong unit":       {minimalEntry + "timeout = '5 parsecs'", []string{"line 11: kv.timeout", "not a duration"}},
		"out of range":     {minimalEntry + "timeout = '1h'", []string{"line 11: kv.timeout: 1h is out of range 10ms to 30s"}},
		"wrong type":       {minimalEntry + "[log]\nlevel = 3", []string{"line 12: log.level: expected a string"}},
		"not a choice":     {minimalEntry + "[log]\nlevel = 'loud'", []string{"line 12: log.level", "one of debug"}},
		"table expected":   {"log = 3\n" + minimalEntry, []string{"line 1: log: expected a table"}},
		"inline table":     {minimalEntry + "[trace]\n[permit]\nheartbeat = '9s'", []string{"line 13: permit.heartbeat: 9s is more than half"}},
		"bad port":         {strings.Replace(minimalEntry, "8080", "80800", 1), []string{"line 6: http.listen: port"}},
		"bad name":         {strings.Replace(minimalEntry, "vic", "v/c", 1), []string{"line 4: failure_domain"}},
		"half of TLS":      {minimalEntry + "[tls]\ncert = 'c.pem'", []string{"tls.key: required", "tls.ca: required"}},
		"no trace target":  {minimalEntry + "[trace]\nexporter = 'file'", []string{"trace.target: required"}},
		"syntax":           {minimalEntry + "timeout = = 3", []string{"line 11:"}},
		"repeated key":     {minimalEntry + "address = 'x'", []string{"line 11:", "address"}},
		"all at once":      {"id = 7\nhue = 1\n[kv]\ntimeout = 1", []string{"line 1: id", "line 2: hue", "line 4: kv.timeout", "http.listen: required key is missing", "kv.address: required"}},
		"too large":        {strings.Repeat("#", MaxDocumentBytes+1), []string{"exceeds"}},
		"array of tables":  {minimalEntry + "[[log]]\nlevel = 'info'", []string{"line 11: log: expected a table, found a list"}},
		"empty but needed": {strings.Replace(minimalEntry, `"entry-1"`, `""`, 1), []string{"line 2: id"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseEntry([]byte(c.document))
			require.IsType(t, Faults{}, err)
			for _, want := range c.want {
				assert.Contains(t, err.Error(), want)
			}
		})
	}
}

// Guards against a list whose items are not checked.
func TestEntryListFaults(t *testing.T) {
	for _, list := range []string{`[]`, `["x"]`, `[1]`, `["a:1", "a:1"]`, `"a:1"`} {
		_, err := ParseAgent([]byte(strings.Replace(minimalAgent, `["127.0.0.1:8081"]`, list, 1)))
		assert.ErrorContains(t, err, "line 6: entries", list)
	}
}

// Guards against effective settings that do not parse, or that parse to other
// settings.
func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(minimalEntry))
	f.Add([]byte(minimalEntry + "timeout = '1m30s'\n[tls]\ncert='a'\nkey='b\\'\nca=\"\\u0001\""))
	f.Add([]byte("[[a]]\n[a.b]\nc = {d = {e = 1}}\n\"x.y\" = [1, {z = 2}]"))
	f.Fuzz(func(t *testing.T, document []byte) {
		e, err := ParseEntry(document)
		if err != nil {
			require.IsType(t, Faults{}, err)
			require.NotEmpty(t, err.(Faults))
			return
		}
		again, err := ParseEntry([]byte(e.Effective()))
		require.NoError(t, err)
		require.Equal(t, e, again)
	})
}
