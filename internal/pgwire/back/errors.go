package back

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	stateTooManyConnections = "53300"
	stateFailedTransaction  = "25P02"
)

var (
	errClosed     = eris.New("connection is closed")
	errStale      = eris.New("the server closed the idle connection")
	errTooLarge   = eris.New("message exceeds the limit")
	errUnexpected = eris.New("unexpected message from the server")
)

// ServerError is an error that a server answered to the adapter's own request.
type ServerError struct {
	Severity string
	Code     string
	Message  string
}

func newServerError(m *pgproto3.ErrorResponse) *ServerError {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return &ServerError{Severity: severity, Code: m.Code, Message: m.Message}
}

// refusalOf returns the code for an error after which nothing ran: the server
// refused the connection, or ended it while it was idle.
func refusalOf(err error) errcode.Code {
	var answer *ServerError
	if !errors.As(err, &answer) {
		return errcode.ConnectionLost
	}
	switch answer.Code {
	case StateSuperseded:
		return errcode.Superseded
	case stateTooManyConnections:
		return errcode.Overloaded
	default:
		return errcode.ConnectionLost
	}
}

// Error implements error.
func (e *ServerError) Error() string { return fmt.Sprintf("%s %s: %s", e.Severity, e.Code, e.Message) }

// fatal reports whether the server ends the connection with this error.
func (e *ServerError) fatal() bool { return e.Severity == "FATAL" || e.Severity == "PANIC" }
