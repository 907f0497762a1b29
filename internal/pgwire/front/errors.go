package front

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/sqlclass"
)

// Severities of an ErrorResponse.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// sqlError is an error that the caller has caused and that has a SQLSTATE in
// PostgreSQL.
type sqlError struct {
	sqlState string
	message  string
	hint     string
	outcome  errcode.Outcome
}

// Error implements error.
func (e *sqlError) Error() string { return e.message }

func protocolError(step string) error {
	return errcode.Wrap(errMalformed, errcode.Protocol, step, "")
}

func invalidOption(name, value string, cause error) error {
	message := fmt.Sprintf("invalid value for %s%s: %q", sqlclass.HintPrefix, name, value)
	if cause != nil {
		message += ": " + cause.Error()
	}
	return &sqlError{sqlState: "22023", message: message}
}

func unknownOption(name string) error {
	return &sqlError{
		sqlState: "42704",
		message:  fmt.Sprintf("unrecognized option %q", sqlclass.HintPrefix+name),
		hint:     "The options are rank, freshness, session, order_id and token.",
	}
}

// errorResponse returns the ErrorResponse for err. The request id is omitted if it
// is empty.
func errorResponse(err error, severity, requestID string) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity}
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		r.Code = sqlErr.sqlState
		r.Message = sqlErr.message
		r.Hint = sqlErr.hint
		r.Detail = errorDetail(sqlErr.outcome, requestID)
		return r
	}
	e := errcode.From(err)
	r.Code = e.Code.SQLState
	r.Message = e.Error()
	r.Hint = e.Code.Hint
	r.Detail = errorDetail(e.Code.Outcome, requestID)
	if e.RetryAfter > 0 {
		r.Detail += fmt.Sprintf("; retry after: %d ms", e.RetryAfter.Milliseconds())
	}
	return r
}

func errorDetail(o errcode.Outcome, requestID string) string {
	d := "outcome: " + o.String()
	if requestID != "" {
		d += "; request: " + requestID
	}
	return d
}
