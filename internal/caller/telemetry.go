package caller

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/event"
	"github.com/rattancove/rattancove/internal/statement"
)

var (
	eventFailed = event.New(2200, zerolog.InfoLevel, "statement_failed",
		"A statement of a caller was refused or failed; the fields give the request, the group, the step, the peer and the outcome.")
	eventKeyRefused = event.New(2202, zerolog.InfoLevel, "api_key_refused",
		"A statement was refused because of its caller's API key; the fields give the organisation, and as the cause the configuration that withdrew the key, where this process knows it. Further refusals of the session are not logged.")
	eventInvalidMessage = event.New(2201, zerolog.WarnLevel, "caller_message_invalid",
		"A caller sent what is not a message of the protocol; its session ends, since the start of the next message is not known.")
)

var (
	requestSeconds = metrics.NewHistogram("rattan_caller_request_seconds")
	failuresTotal  = metrics.NewCounter("rattan_caller_failures_total")
	invalidTotal   = metrics.NewCounter("rattan_caller_invalid_messages_total")
)

// logInvalid logs the error of Conn.Read if the caller sent an invalid message, and reports
// whether it did.
func (s *Session) logInvalid(err error) bool {
	if !errors.Is(err, ErrInvalidMessage) {
		return false
	}
	invalidTotal.Inc()
	eventInvalidMessage.Log(s.config.Log).Str("database", s.database).Err(err).Send()
	return true
}

// logFailure logs a failed request with its id, route and outcome.
func (s *Session) logFailure(c *conversation, request *statement.Request, started time.Time, e *errcode.Error) {
	line := eventFailed.Log(s.config.Log).Str("request", request.ID)
	if c.pending != nil && requestID(c.pending.ID) != request.ID {
		line = line.Str("statement", requestID(c.pending.ID))
	}
	line.Str("database", s.database).Str("group", string(request.Group)).Str("rank", request.Rank.String()).
		Str("code", e.Code.Name).Str("outcome", e.Code.Outcome.String()).Str("step", e.Step).Str("peer", e.Peer).
		Dur("after", time.Since(started)).Dur("timeout", request.Timeout).AnErr("cause", e.Cause).Send()
}
