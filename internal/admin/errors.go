package admin

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider"
)

// ErrorCode identifies a kind of error of the API.
type ErrorCode string

// Error codes. Nothing was changed unless the code is CodeUnknownOutcome.
const (
	CodeBadRequest      ErrorCode = "bad_request"
	CodeUnauthorized    ErrorCode = "unauthorized"
	CodeForbidden       ErrorCode = "forbidden"
	CodeNotFound        ErrorCode = "not_found"
	CodeConflict        ErrorCode = "conflict"
	CodeInvalidDocument ErrorCode = "invalid_document"
	CodeChangeWindow    ErrorCode = "change_window"
	CodeUnknownOutcome  ErrorCode = "unknown_outcome"
	CodeUnavailable     ErrorCode = "unavailable"
	CodeBusy            ErrorCode = "busy"
)

var statusByCode = map[ErrorCode]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeUnauthorized:    http.StatusUnauthorized,
	CodeForbidden:       http.StatusForbidden,
	CodeNotFound:        http.StatusNotFound,
	CodeConflict:        http.StatusConflict,
	CodeInvalidDocument: http.StatusUnprocessableEntity,
	CodeChangeWindow:    http.StatusLocked,
	CodeUnknownOutcome:  http.StatusGatewayTimeout,
	CodeUnavailable:     http.StatusServiceUnavailable,
	CodeBusy:            http.StatusTooManyRequests,
}

// Error is the error in the body of a response.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Faults are set with CodeInvalidDocument.
	Faults environment.Faults `json:"faults,omitempty"`
	// Current is the revision in force; set with CodeConflict.
	Current *document.Revision `json:"winner,omitempty"`
	// ChangeID is the ID with which the client must retry the change; set with
	// CodeUnknownOutcome.
	ChangeID string `json:"change_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

func newError(code ErrorCode, message string) *Error { return &Error{Code: code, Message: message} }

// classify maps internal errors to errors of the API. The text of an unknown error is
// not included in the response.
func classify(err error) *Error {
	var (
		apiErr   *Error
		faults   environment.Faults
		request  *document.RequestError
		conflict *document.ConflictError
		window   *document.WindowError
		unknown  *document.UnknownError
	)
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &faults):
		return &Error{Code: CodeInvalidDocument, Message: "the document is refused", Faults: faults}
	case errors.As(err, &request):
		return newError(CodeBadRequest, err.Error())
	case errors.As(err, &conflict):
		return &Error{Code: CodeConflict, Message: err.Error(), Current: &conflict.Current}
	case errors.As(err, &window):
		return newError(CodeChangeWindow, err.Error())
	case errors.As(err, &unknown):
		return &Error{Code: CodeUnknownOutcome, Message: err.Error(), ChangeID: unknown.ChangeID}
	case errors.Is(err, provider.ErrNotFound):
		return newError(CodeNotFound, "there is no such environment, revision or document")
	default:
		return newError(CodeUnavailable, "the platform's services did not answer")
	}
}

// errorBody is the body of an error response.
type errorBody struct {
	Error *Error `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
