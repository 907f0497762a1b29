package front

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.opentelemetry.io/otel/trace"
)

func TestErrorInPrepareComesBeforeLocalResponses(t *testing.T) {
	s := responseRewriter{expected: []expectedResponse{{action: actionInsert, local: []byte("1")}}, preparing: true}
	w := &responseWriter{}
	if !s.process(msgError, w) || w.pending != nil {
		t.Error("a local answer precedes the error of an earlier definition")
	}
}

func TestNoTraceContextWithoutTracing(t *testing.T) {
	ctx := t.Context()
	if got := traceParent(ctx, trace.SpanFromContext(ctx)); got != "" {
		t.Errorf("trace context %q", got)
	}
}

func TestResponseRewriter(t *testing.T) {
	local := expectedResponse{action: actionInsert, local: encode(&pgproto3.CloseComplete{})}
	forward, drop := expectedResponse{action: actionForward}, expectedResponse{action: actionDrop}
	cases := map[string]struct {
		steps  []expectedResponse
		server string
		want   string
	}{
		"no script":                   {nil, "12TDC", "12TDC"},
		"local first":                 {[]expectedResponse{local, forward}, "tT", "3tT"},
		"local last":                  {[]expectedResponse{forward, local}, "1", "13"},
		"local between":               {[]expectedResponse{forward, local, forward}, "DDC2", "DDC32"},
		"swallowed":                   {[]expectedResponse{drop, forward, forward}, "12n", "2n"},
		"notice inside swallowed":     {[]expectedResponse{drop, forward}, "N1S2", "NS2"},
		"error drops the rest":        {[]expectedResponse{forward, forward, local}, "1E", "1E"},
		"error in a swallowed answer": {[]expectedResponse{local, drop, forward}, "E", "3E"},
		"error after a local answer":  {[]expectedResponse{forward, local, forward}, "1E", "13E"},
		"rest passes":                 {[]expectedResponse{local, {action: actionForwardRest}}, "TDCTDC", "3TDCTDC"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			serverSide, callerSide := net.Pipe()
			got := make(chan []byte)
			go func() {
				data, _ := io.ReadAll(callerSide)
				got <- data
			}()
			w := &responseWriter{conn: serverSide, timeout: time.Minute}
			s := responseRewriter{expected: c.steps}
			for _, kind := range []byte(c.server) {
				if s.process(kind, w) {
					w.write([]byte{kind, 0, 0, 0, 4})
				}
			}
			s.finish(w)
			w.flush()
			_ = serverSide.Close()
			var types string
			for data := <-got; len(data) > 0; {
				message, rest, _ := cutMessage(data)
				types += string(message[:1])
				data = rest
			}
			if types != c.want {
				t.Errorf("caller gets %q, want %q", types, c.want)
			}
		})
	}
}
