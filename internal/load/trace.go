package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// span holds the fields that are read from a span of the file trace exporter.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []spanAttribute
	Resource    []spanAttribute
}

type spanAttribute struct {
	Key   string
	Value struct{ Value any }
}

// shownAttributes are the span attributes that WriteTraces prints.
var shownAttributes = []string{"group", "rank", "home", "server"}

// WriteTraces prints exported spans as one tree per trace, ordered by start
// time. Each line has the process, the span's name, its attributes and its
// duration.
func WriteTraces(w io.Writer, exported io.Reader) error {
	children, roots, err := readSpans(exported)
	if err != nil {
		return err
	}
	for _, root := range roots {
		if err := writeSpan(w, root, children, 0); err != nil {
			return err
		}
	}
	return nil
}

// readSpans returns the spans by parent, and the root spans: those whose parent
// is not in the file.
func readSpans(exported io.Reader) (map[string][]span, []span, error) {
	decoder := json.NewDecoder(exported)
	var spans []span
	known := map[string]bool{}
	for {
		var s span
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, nil, eris.Wrap(err, "read spans")
		}
		spans = append(spans, s)
		known[s.SpanContext.SpanID] = true
	}
	slices.SortFunc(spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	children := map[string][]span{}
	var roots []span
	for _, s := range spans {
		if known[s.Parent.SpanID] {
			children[s.Parent.SpanID] = append(children[s.Parent.SpanID], s)
		} else {
			roots = append(roots, s)
		}
	}
	return children, roots, nil
}

func writeSpan(w io.Writer, s span, children map[string][]span, depth int) error {
	line := fmt.Sprintf("%s%s %s", strings.Repeat("  ", depth), attribute(s.Resource, "service.instance.id"), s.Name)
	for _, key := range shownAttributes {
		if value := attribute(s.Attributes, key); value != "" {
			line += fmt.Sprintf(" %s=%s", key, value)
		}
	}
	if _, err := fmt.Fprintf(w, "%s %s\n", line, s.EndTime.Sub(s.StartTime).Round(10*time.Microsecond)); err != nil {
		return err
	}
	for _, child := range children[s.SpanContext.SpanID] {
		if err := writeSpan(w, child, children, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func attribute(attributes []spanAttribute, key string) string {
	for _, a := range attributes {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}
