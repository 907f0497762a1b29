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
	r := responseRewriter{expected: []expectedResponse{{action: actionInsert, local: []byte("1")}}, preparing: true}
	w := &responseWriter{}
	if !r.process(msgError, w) || w.pending != nil {
		t.Error("a local response precedes the error of a statement that is prepared before it")
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
		expected []expectedResponse
		server   string
		want     string
	}{
		"no rewriting":                  {nil, "12TDC", "12TDC"},
		"local response first":          {[]expectedResponse{local, forward}, "tT", "3tT"},
		"local response last":           {[]expectedResponse{forward, local}, "1", "13"},
		"local response between others": {[]expectedResponse{forward, local, forward}, "DDC2", "DDC32"},
		"dropped response":              {[]expectedResponse{drop, forward, forward}, "12n", "2n"},
		"notice in a dropped response":  {[]expectedResponse{drop, forward}, "N1S2", "NS2"},
		"error ends the batch":          {[]expectedResponse{forward, forward, local}, "1E", "1E"},
		"error in a dropped response":   {[]expectedResponse{local, drop, forward}, "E", "3E"},
		"error after a local response":  {[]expectedResponse{forward, local, forward}, "1E", "13E"},
		"rest is forwarded":             {[]expectedResponse{local, {action: actionForwardRest}}, "TDCTDC", "3TDCTDC"},
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
			r := responseRewriter{expected: c.expected}
			for _, messageType := range []byte(c.server) {
				if r.process(messageType, w) {
					w.write([]byte{messageType, 0, 0, 0, 4})
				}
			}
			r.finish(w)
			w.flush()
			_ = serverSide.Close()
			var types string
			for data := <-got; len(data) > 0; {
				message, rest, _ := cutMessage(data)
				types += string(message[:1])
				data = rest
			}
			if types != c.want {
				t.Errorf("caller received %q, want %q", types, c.want)
			}
		})
	}
}
