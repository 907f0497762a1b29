package statement

import (
	"errors"
	"io"

	"github.com/rattancove/rattancove/internal/errcode"
)

// CallerDisconnected reports whether an error of Conversation.Next, or of a Runner, means
// that the caller has disconnected. An io.EOF that is the cause of an
// errcode.Error is the end of another connection.
func CallerDisconnected(err error) bool {
	var e *errcode.Error
	return errors.Is(err, io.EOF) && !errors.As(err, &e)
}
