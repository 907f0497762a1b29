package front_test

import (
	"strings"
	"sync"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/rattancove/rattancove/internal/pgwire/front"
)

// recordSpans installs the span recorder. The global provider can be replaced only
// once.
var recordSpans = sync.OnceValue(func() *tracetest.SpanRecorder {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(recorder)))
	return recorder
})

func TestTrace(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	exec := func(sql string) string {
		t.Helper()
		if _, err := conn.Exec(t.Context(), sql); err != nil {
			t.Fatal(err)
		}
		return ts.runner.lastRequest().TraceParent
	}
	recorder := recordSpans()
	before := len(recorder.Ended())
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	got := exec("/*traceparent='" + parent + "'*/ select 1")
	waitFor(t, func() bool { return len(recorder.Ended()) == before+1 })
	span := recorder.Ended()[before]
	if span.Name() != "caller" || span.Parent().SpanID().String() != parent[36:52] {
		t.Errorf("span %s with parent %s", span.Name(), span.Parent().SpanID())
	}
	if !strings.HasPrefix(got, parent[:36]) || !strings.Contains(got, span.SpanContext().SpanID().String()) {
		t.Errorf("trace context of the request: %q", got)
	}
}
