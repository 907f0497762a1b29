package telemetry

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// TraceConfig configures the export of spans.
type TraceConfig struct {
	// Exporter is "off", "otlp" or "file".
	Exporter string
	// Endpoint is the URL of an OTLP collector over HTTP.
	Endpoint string
	// Path is the file to which spans are appended as JSON.
	Path string
	// Ratio is the share of traces that are sampled, from 0 to 1.
	Ratio float64
	// Process and ID are attributes of the service.
	Process string
	ID      string
}

// StartTracing installs the global tracer provider and returns the function that
// flushes and stops it. When the exporter is off no provider is installed, and spans
// cost almost nothing.
func StartTracing(ctx context.Context, config TraceConfig) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, closeFile, err := newExporter(ctx, config)
	if err != nil || exporter == nil {
		return func(context.Context) error { return nil }, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(config.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", config.Process),
			attribute.String("service.instance.id", config.ID),
		)),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		defer closeFile()
		return provider.Shutdown(ctx)
	}, nil
}

func newExporter(ctx context.Context, config TraceConfig) (sdktrace.SpanExporter, func(), error) {
	switch config.Exporter {
	case "", "off":
		return nil, nil, nil
	case "otlp":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.Endpoint))
		return exporter, func() {}, eris.Wrapf(err, "trace exporter to %s", config.Endpoint)
	case "file":
		f, err := os.OpenFile(config.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "trace file %s", config.Path)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return exporter, func() { _ = f.Close() }, eris.Wrap(err, "trace file exporter")
	default:
		return nil, nil, eris.Errorf("unknown trace exporter %q", config.Exporter)
	}
}
