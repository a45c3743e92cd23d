package obs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"
)

// Trace exporters.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterFile   = "file"
	ExporterOTLP   = "otlp"
)

// instrumentation is the instrumentation scope of this module's spans.
const instrumentation = "vanillalock.example/vanillalock"

// Limits of the export of spans. Spans beyond spanQueue are dropped, so that tracing
// never delays a request.
const (
	spanQueue     = 2048 // spans
	exportTimeout = 5 * time.Second
)

// TraceOptions configures which traces are sampled and where their spans go.
type TraceOptions struct {
	Service  string  // "entry" or "agent"
	Instance string  // entry id or VM id
	Exporter string  // one of the Exporter constants; empty: none
	Target   string  // path for ExporterFile, base URL for ExporterOTLP
	Sample   float64 // share of traces that start here, 0 to 1
}

// SetupTracing installs the global tracer provider. The returned function exports
// the queued spans and closes the exporter.
func SetupTracing(ctx context.Context, o TraceOptions) (func(context.Context) error, error) {
	provider, closer, err := newProvider(ctx, o)
	if err != nil {
		return nil, err
	}
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closer != nil {
			err = errors.Join(err, closer.Close())
		}
		return err
	}, nil
}

func newProvider(ctx context.Context, o TraceOptions) (*sdktrace.TracerProvider, io.Closer, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			semconv.ServiceName("vanillalock-"+o.Service), semconv.ServiceInstanceID(o.Instance))),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Sample))),
	}
	exporter, closer, err := newExporter(ctx, o)
	if err != nil {
		return nil, nil, err
	}
	if exporter == nil {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	} else {
		options = append(options, sdktrace.WithBatcher(exporter,
			sdktrace.WithMaxQueueSize(spanQueue), sdktrace.WithExportTimeout(exportTimeout)))
	}
	return sdktrace.NewTracerProvider(options...), closer, nil
}

// newExporter returns the exporter that o selects and the file to close after it. Both
// are nil if there is none.
func newExporter(ctx context.Context, o TraceOptions) (sdktrace.SpanExporter, io.Closer, error) {
	switch o.Exporter {
	case ExporterNone, "":
		return nil, nil, nil
	case ExporterStdout:
		e, err := stdouttrace.New()
		return e, nil, err
	case ExporterFile:
		f, err := os.OpenFile(o.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, fmt.Errorf("opening the trace file: %w", err)
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, f, err
	case ExporterOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.Target), otlptracehttp.WithTimeout(exportTimeout))
		return e, nil, err
	default:
		return nil, nil, fmt.Errorf("unknown trace exporter %q", o.Exporter)
	}
}

// StartSpan starts a span with the global provider; each hop of a request has one.
// The caller must end it.
func StartSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer(instrumentation).Start(ctx, name)
}

const traceparentHeader = "traceparent"

// Traceparent returns the W3C traceparent of the span in ctx, or "" if there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// WithTraceparent returns ctx with the remote span of a W3C traceparent. A
// malformed value leaves ctx as it is.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}
