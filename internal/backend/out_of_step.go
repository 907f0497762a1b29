package backend

import "fmt"

// maxReceivedText bounds the text of OutOfStepError.Received.
const maxReceivedText = 80

// OutOfStepError reports that what a server sent cannot be the answer to the statement
// that is due: the server answered another one twice or not at all. Later answers of the
// connection belong to other statements as well, so that it must be closed.
type OutOfStepError struct {
	// Expected names the answer that was due.
	Expected string
	// Received describes what came, without data of callers.
	Received string
}

// NewOutOfStepError returns an OutOfStepError. It shortens received.
func NewOutOfStepError(expected string, received string) *OutOfStepError {
	return &OutOfStepError{Expected: expected, Received: received[:min(len(received), maxReceivedText)]}
}

// Error implements error.
func (e *OutOfStepError) Error() string {
	return fmt.Sprintf("answer out of step: want %s, got %s", e.Expected, e.Received)
}
