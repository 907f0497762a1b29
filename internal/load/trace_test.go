package load

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestWriteTraces(t *testing.T) {
	const exported = `
{"Name":"home.run","SpanContext":{"TraceID":"1","SpanID":"b"},"Parent":{"SpanID":"a"},"StartTime":"2026-01-01T00:00:00.001Z","EndTime":"2026-01-01T00:00:00.003Z","Attributes":[{"Key":"server","Value":{"Value":"orders-1-b"}},{"Key":"class","Value":{"Value":1}}],"Resource":[{"Key":"service.instance.id","Value":{"Value":"entry-2"}}]}
{"Name":"caller","SpanContext":{"TraceID":"1","SpanID":"a"},"Parent":{"SpanID":"0000000000000000"},"StartTime":"2026-01-01T00:00:00Z","EndTime":"2026-01-01T00:00:00.005Z","Resource":[{"Key":"service.instance.id","Value":{"Value":"entry-1"}}]}
{"Name":"caller","SpanContext":{"TraceID":"0","SpanID":"c"},"Parent":{"SpanID":"lost"},"StartTime":"2025-01-01T00:00:00Z","EndTime":"2025-01-01T00:00:01Z"}`
	var got strings.Builder
	if err := WriteTraces(&got, strings.NewReader(exported)); err != nil {
		t.Fatal(err)
	}
	want := " caller 1s\nentry-1 caller 5ms\n  entry-2 home.run server=orders-1-b 2ms\n"
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Error(diff)
	}
	if err := WriteTraces(&got, strings.NewReader("{")); err == nil {
		t.Error("a truncated file was accepted")
	}
}
