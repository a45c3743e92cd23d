package obs

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against lines without the prefix of their component or below the configured
// level.
func TestLoggerPrefixAndLevel(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, SetupLogging(&out, "warn", FormatJSON))
	t.Cleanup(func() { require.NoError(t, SetupLogging(os.Stderr, "info", FormatText)) })
	Logger("dispatch").Info("hidden")
	Logger("dispatch").Warn("session closed", "agent", "vm-1")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, "dispatch", line["prefix"])
	assert.Equal(t, "vm-1", line["agent"])
	assert.Error(t, SetupLogging(&out, "loud", FormatText))
	assert.Error(t, SetupLogging(&out, "info", "xml"))
}

// Guards against interleaved lines of two components that share a writer. The race
// detector reports unlocked use of the writer.
func TestPartsShareWriter(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info", FormatText)
	require.NoError(t, err)
	var wg sync.WaitGroup
	for _, part := range []string{"entry", "agent"} {
		wg.Go(func() {
			for range 100 {
				logger.WithPrefix(part).Info("Line.")
			}
		})
	}
	wg.Wait()
	require.Equal(t, 200, bytes.Count(out.Bytes(), []byte("Line.\n")))
}

// Guards against spans that are lost at the end of the process, and against a trace
// that does not continue in the next process.
func TestTraceAcrossHop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	stop, err := SetupTracing(context.Background(), TraceOptions{Service: "entry", Instance: "e1", Exporter: ExporterFile, Target: path, Sample: 1})
	require.NoError(t, err)
	ctx, span := StartSpan(context.Background(), "dispatch")
	parent := Traceparent(ctx)
	require.Contains(t, parent, span.SpanContext().TraceID().String())
	_, remote := StartSpan(WithTraceparent(context.Background(), parent), "enforce")
	assert.Equal(t, span.SpanContext().TraceID(), remote.SpanContext().TraceID())
	remote.End()
	span.End()
	require.NoError(t, stop(context.Background()))
	spans, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Contains(t, string(spans), `"enforce"`)
	assert.Contains(t, string(spans), `"dispatch"`)
	assert.Empty(t, Traceparent(WithTraceparent(context.Background(), "00-zz")))
}

// Guards against ignoring the path or scheme of an OTLP target.
func TestOTLPExport(t *testing.T) {
	got := make(chan string, 8)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.URL.Path }))
	defer collector.Close()
	stop, err := SetupTracing(context.Background(), TraceOptions{Exporter: ExporterOTLP, Target: collector.URL + "/v1/traces", Sample: 1})
	require.NoError(t, err)
	_, span := StartSpan(context.Background(), "x")
	span.End()
	require.NoError(t, stop(context.Background()))
	assert.Equal(t, "/v1/traces", <-got)
	_, err = SetupTracing(context.Background(), TraceOptions{Exporter: "smoke"})
	assert.Error(t, err)
}

// Guards against the panic of expvar on a second publication, and against two
// entries of one process that share counters.
func TestMetricsPublishedOnce(t *testing.T) {
	a, again, b := NewMetrics("entry.a"), NewMetrics("entry.a"), NewMetrics("entry.b")
	a.Counter("requests").Add(2)
	again.Counter("requests").Add(1)
	b.Counter("requests").Add(5)
	assert.EqualValues(t, 3, a.Counter("requests").Value())
	assert.JSONEq(t, `{"requests": 5}`, expvar.Get("entry.b").String())
	expvar.NewString("taken")
	NewMetrics("taken").Gauge("x").Set(1)
}

// Guards against a latency summary in the wrong unit and against values out of
// the histogram's range.
func TestLatencySummary(t *testing.T) {
	l := NewMetrics("entry.latency").Latency("request")
	for range 99 {
		l.Observe(10 * time.Millisecond)
	}
	l.Observe(48 * time.Hour)
	l.Observe(-time.Second)
	s := l.Summary()
	assert.EqualValues(t, 101, s.Count)
	assert.InEpsilon(t, 10, s.P50, 0.01)
	assert.InEpsilon(t, 3.6e6, s.Max, 0.01)
	assert.True(t, json.Valid([]byte(l.String())))
}
