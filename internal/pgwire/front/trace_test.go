package front_test

import (
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/rattancove/rattancove/internal/pgwire/front"
)

func TestTrace(t *testing.T) {
	b := startServer(t, fakeDirectory{}, front.Config{})
	conn := b.connect(t, "")
	exec := func(sql string) string {
		t.Helper()
		if _, err := conn.Exec(t.Context(), sql); err != nil {
			t.Fatal(err)
		}
		return b.runner.lastRequest().TraceParent
	}
	if got := exec("select 1"); got != "" {
		t.Errorf("trace context %q without tracing", got)
	}
	recorder := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(recorder)))
	defer otel.SetTracerProvider(before)
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	got := exec("/*traceparent='" + parent + "'*/ select 1")
	waitFor(t, func() bool { return len(recorder.Ended()) == 1 })
	span := recorder.Ended()[0]
	if span.Name() != "caller" || span.Parent().SpanID().String() != parent[36:52] {
		t.Errorf("span %s below %s", span.Name(), span.Parent().SpanID())
	}
	if !strings.HasPrefix(got, parent[:36]) || !strings.Contains(got, span.SpanContext().SpanID().String()) {
		t.Errorf("trace context to the home: %q", got)
	}
}
