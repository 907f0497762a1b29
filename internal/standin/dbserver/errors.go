package dbserver

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// serverError is an error that is sent to the client.
type serverError struct {
	code    string
	message string
	detail  string
	// fatal means that the server closes the connection.
	fatal bool
}

func (e *serverError) Error() string { return e.code + ": " + e.message }

func newError(code, format string, args ...any) *serverError {
	return &serverError{code: code, message: fmt.Sprintf(format, args...)}
}

func (e *serverError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message, Detail: e.detail}
}

// Result codes of SQLite: resultBusy and resultInterrupt are primary codes, the
// others extended ones, whose low byte is the primary code.
const (
	resultBusy        = 5
	resultInterrupt   = 9
	resultCheck       = 275
	resultForeignKey  = 787
	resultNotNull     = 1299
	resultPrimaryKey  = 1555
	resultUnique      = 2067
	resultPrimaryMask = 0xff
)

var stateByResultCode = map[int]string{
	resultCheck: "23514", resultForeignKey: "23503", resultNotNull: "23502",
	resultPrimaryKey: "23505", resultUnique: "23505",
}

var stateByMessage = []struct{ substring, state string }{
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"no such function", "42883"},
	{"already exists", "42P07"},
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"unrecognized token", "42601"},
}

// asServerError maps any error to one with a SQLSTATE.
func asServerError(err error) *serverError {
	var known *serverError
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return newError("57014", "canceling statement due to user request")
	}
	var sqliteErr *sqlite.Error
	if errors.As(err, &sqliteErr) {
		return newError(sqlStateOf(sqliteErr), "%s", sqliteErr.Error())
	}
	return newError("XX000", "%v", err)
}

func sqlStateOf(err *sqlite.Error) string {
	if state, ok := stateByResultCode[err.Code()]; ok {
		return state
	}
	switch err.Code() & resultPrimaryMask {
	case resultBusy:
		return "55P03"
	case resultInterrupt:
		return "57014"
	}
	for _, known := range stateByMessage {
		if strings.Contains(err.Error(), known.substring) {
			return known.state
		}
	}
	return "XX000"
}
