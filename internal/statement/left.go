package statement

import (
	"errors"
	"io"

	"github.com/rattancove/rattancove/internal/errcode"
)

// CallerLeft reports whether an error of Conversation.Next, or of a Runner, says
// that the caller has left. An io.EOF that is the cause of another error is the
// end of some other connection.
func CallerLeft(err error) bool {
	var e *errcode.Error
	return errors.Is(err, io.EOF) && !errors.As(err, &e)
}
