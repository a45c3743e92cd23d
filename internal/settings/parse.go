package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxDocumentBytes is the largest size of a settings file.
const MaxDocumentBytes = 1 << 20

// Fault is one error in a settings file.
type Fault struct {
	Path   string // dotted key, empty for a syntax error
	Line   int    // from 1; 0 for a key that is missing
	Detail string
}

// String renders the fault as "line 3: kv.timeout: detail".
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Detail)
	return b.String()
}

// Faults holds all errors of a settings file, ordered by line. Errors without a
// line, such as missing keys, come last.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// parse decodes document into fields. Keys that are absent get their defaults. The
// error is Faults.
func parse(document []byte, fields []field) error {
	for _, f := range fields {
		f.reset()
	}
	if len(document) > MaxDocumentBytes {
		return Faults{{Detail: fmt.Sprintf("the file exceeds %d bytes", MaxDocumentBytes)}}
	}
	var values map[string]any
	if err := toml.Unmarshal(document, &values); err != nil {
		return Faults{syntaxFault(err)}
	}
	lines, err := keyLines(document)
	if err != nil {
		return Faults{{Detail: err.Error()}}
	}
	faults := assign(values, fields, lines)
	faults = append(faults, checkCombinations(fields, lines)...)
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(lineOrder(a), lineOrder(b)), cmp.Compare(a.Path, b.Path))
	})
	return faults
}

// lineOrder returns the sort key of a fault: its line, or more than any line if it
// has none.
func lineOrder(f Fault) int {
	if f.Line == 0 {
		return MaxDocumentBytes + 1
	}
	return f.Line
}

// syntaxFault converts an error of the TOML decoder.
func syntaxFault(err error) Fault {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return Fault{Path: strings.Join(decode.Key(), "."), Line: row, Detail: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return Fault{Detail: strings.TrimPrefix(err.Error(), "toml: ")}
}

// assign sets each field whose key is in values. It reports invalid values and
// unknown and missing keys.
func assign(values map[string]any, fields []field, lines map[string]int) Faults {
	byPath := make(map[string]field, len(fields))
	tables := map[string]bool{}
	for _, f := range fields {
		byPath[f.Path] = f
		for i, c := range f.Path {
			if c == '.' {
				tables[f.Path[:i]] = true
			}
		}
	}
	var faults Faults
	seen := map[string]bool{}
	var walk func(prefix string, table map[string]any)
	walk = func(prefix string, table map[string]any) {
		for key, value := range table {
			path := prefix + quoteKey(key)
			if f, ok := byPath[path]; ok {
				seen[path] = true
				if err := f.set(value); err != nil {
					faults = append(faults, Fault{path, lines[path], err.Error()})
				}
				continue
			}
			sub, isTable := value.(map[string]any)
			switch {
			case isTable && tables[path]:
				walk(path+".", sub)
			case tables[path]:
				faults = append(faults, Fault{path, lines[path], "expected a table, found " + typeName(value)})
			default:
				faults = append(faults, Fault{path, lines[path], "unknown key"})
			}
		}
	}
	walk("", values)
	for _, f := range fields {
		if f.Required && !seen[f.Path] {
			faults = append(faults, Fault{Path: f.Path, Detail: "required key is missing"})
		}
	}
	return faults
}

// checkCombinations reports values that are valid on their own but not in
// combination.
func checkCombinations(fields []field, lines map[string]int) Faults {
	value := map[string]any{}
	for _, f := range fields {
		value[f.Path] = f.get()
	}
	var faults Faults
	files := []string{"tls.cert", "tls.key", "tls.ca"}
	set := 0
	for _, path := range files {
		if value[path] != "" {
			set++
		}
	}
	for _, path := range files {
		if set > 0 && value[path] == "" {
			faults = append(faults, Fault{path, lines[path], "required with the other TLS files"})
		}
	}
	switch target := value["trace.target"].(string); value["trace.exporter"] {
	case "file":
		if target == "" {
			faults = append(faults, Fault{"trace.target", lines["trace.target"], "required for the exporter file"})
		}
	case "otlp":
		if err := checkURL(target); err != nil {
			faults = append(faults, Fault{"trace.target", lines["trace.target"], err.Error()})
		}
	}
	return append(faults, checkPermit(fields, lines)...)
}

// checkPermit reports a heartbeat interval above half of the permit duration. With
// fewer than two heartbeats per permit, one lost heartbeat would stop every task.
func checkPermit(fields []field, lines map[string]int) Faults {
	var p Permit
	for _, f := range p.fields() {
		f.reset()
		for _, actual := range fields {
			if actual.Path == f.Path {
				if err := f.set(actual.get()); err != nil {
					return nil
				}
			}
		}
	}
	if 2*p.Heartbeat > p.Duration {
		return Faults{{"permit.heartbeat", lines["permit.heartbeat"], fmt.Sprintf("%s is more than half of permit.duration %s", formatDuration(p.Heartbeat), formatDuration(p.Duration))}}
	}
	return nil
}

// keyLines returns the line of the first occurrence of each key and table of the
// document, by path.
func keyLines(document []byte) (map[string]int, error) {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(document)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = recordKey(&p, lines, "", e.Key())
		case unstable.KeyValue:
			recordPair(&p, lines, table, e)
		}
	}
	if err := p.Error(); err != nil {
		return nil, fmt.Errorf("parsing keys: %w", err)
	}
	return lines, nil
}

// recordPair records the lines of a key and, for an inline table, of its keys.
func recordPair(p *unstable.Parser, lines map[string]int, prefix string, pair *unstable.Node) {
	path := recordKey(p, lines, prefix, pair.Key())
	if pair.Value().Kind != unstable.InlineTable {
		return
	}
	for it := pair.Value().Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			recordPair(p, lines, path, it.Node())
		}
	}
}

// recordKey records the line of a key and of the tables in its path, and returns
// the path.
func recordKey(p *unstable.Parser, lines map[string]int, prefix string, key unstable.Iterator) string {
	path := prefix
	for key.Next() {
		node := key.Node()
		if path != "" {
			path += "."
		}
		path += quoteKey(string(node.Data))
		if _, ok := lines[path]; !ok {
			lines[path] = p.Shape(node.Raw).Start.Line
		}
	}
	return path
}

// quoteKey quotes a key that is not a plain name, so that a key with a dot differs
// from a path of two keys.
func quoteKey(key string) string {
	if namePattern.MatchString(key) && !strings.Contains(key, ".") {
		return key
	}
	return strconv.Quote(key)
}

// render returns the fields as TOML with one table per path prefix.
func render(fields []field) string {
	var b strings.Builder
	table := ""
	for _, f := range fields {
		prefix, key := "", f.Path
		if i := strings.LastIndexByte(f.Path, '.'); i >= 0 {
			prefix, key = f.Path[:i], f.Path[i+1:]
		}
		if prefix != table {
			fmt.Fprintf(&b, "\n[%s]\n", prefix)
			table = prefix
		}
		line, err := toml.Marshal(map[string]any{key: f.get()})
		if err != nil { // strings, integers, booleans and lists always encode
			panic(fmt.Errorf("settings: rendering %s: %w", f.Path, err))
		}
		b.Write(line)
	}
	return b.String()
}
