package caller

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/event"
	"github.com/rattancove/rattancove/internal/statement"
)

var eventFailed = event.New(2200, zerolog.InfoLevel, "statement_failed",
	"A statement of a caller was refused or failed; the fields give the request, the group, the step, the peer and the outcome.")

var (
	requestSeconds = metrics.NewHistogram("rattan_caller_request_seconds")
	failuresTotal  = metrics.NewCounter("rattan_caller_failures_total")
)

// logFailure logs a failed request with its id, route and outcome.
func (s *Session) logFailure(c *conversation, request *statement.Request, started time.Time, e *errcode.Error) {
	line := eventFailed.Log(s.config.Log).Str("request", request.ID)
	if c.pending != nil && c.pending.ID != request.ID {
		line = line.Str("statement", c.pending.ID)
	}
	line.Str("database", s.database).Str("group", string(request.Group)).Str("rank", request.Rank.String()).
		Str("code", e.Code.Name).Str("outcome", e.Code.Outcome.String()).Str("step", e.Step).Str("peer", e.Peer).
		Dur("after", time.Since(started)).Dur("timeout", request.Timeout).AnErr("cause", e.Cause).Send()
}
