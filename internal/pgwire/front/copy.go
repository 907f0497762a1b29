package front

import (
	"io"

	"github.com/rattancove/rattancove/internal/statement"
)

// copyPieceBytes is the size at which a piece of a COPY goes to the home.
const copyPieceBytes = 64 << 10

// takeCopy adds one message of a COPY from the caller. It reports whether the
// piece is complete.
func (c *caller) takeCopy(kind byte, message []byte, extended bool) (bool, error) {
	if c.batch == nil {
		c.batch = &batch{boundary: boundaryCopy}
		c.batch.Class = statement.ClassCopyData
	}
	b := c.batch
	switch kind {
	case msgCopyData:
		b.Messages = append(b.Messages, message...)
		return len(b.Messages) >= copyPieceBytes || !c.reader.buffered(), nil
	case msgCopyDone, msgCopyFail:
		b.Messages = append(b.Messages, message...)
		b.sent++
		return !extended, nil
	case msgSync:
		if b.sent == 0 {
			return false, nil
		}
		b.Messages = append(b.Messages, message...)
		return true, nil
	case msgFlush:
		return false, nil
	case msgTerminate:
		return false, io.EOF
	default:
		return false, protocolError("copy")
	}
}
