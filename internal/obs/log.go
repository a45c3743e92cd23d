// Package obs sets up logging, tracing and metrics of a process.
package obs

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/charmbracelet/log"
)

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// timeFormat has milliseconds, so that log lines can be correlated with spans.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// logging holds the logger from which Logger derives.
var logging = struct {
	sync.Mutex
	root *log.Logger
}{root: log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: timeFormat})}

// SetupLogging makes loggers returned by Logger from now on write to w. The level is
// debug, info, warn or error; the format is text or json.
func SetupLogging(w io.Writer, level, format string) error {
	root, err := NewLogger(w, level, format)
	if err != nil {
		return err
	}
	logging.Lock()
	defer logging.Unlock()
	logging.root = root
	return nil
}

// NewLogger returns a logger without a prefix that writes to w.
func NewLogger(w io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	o := log.Options{Level: parsed, ReportTimestamp: true, TimeFormat: timeFormat}
	switch format {
	case FormatText:
		o.Formatter = log.TextFormatter
	case FormatJSON:
		o.Formatter = log.JSONFormatter
	default:
		return nil, fmt.Errorf("log format %q is neither %s nor %s", format, FormatText, FormatJSON)
	}
	return log.NewWithOptions(&lockedWriter{w: w}, o), nil
}

// lockedWriter serializes writes: the loggers of the components share a writer but
// not a lock.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(line)
}

// Logger returns the logger of one component of the process, whose name is the prefix
// of each line. Call SetupLogging first.
func Logger(component string) *log.Logger {
	logging.Lock()
	defer logging.Unlock()
	return logging.root.WithPrefix(component)
}

// DiscardLogger returns a logger that writes nothing, for tests and tools.
func DiscardLogger() *log.Logger { return log.New(io.Discard) }
