package front

import (
	"io"

	"github.com/rattancove/rattancove/internal/statement"
)

// copyChunkBytes is the size from which a chunk of COPY data is sent to the home.
const copyChunkBytes = 64 << 10

// addCopyMessage adds one of the caller's COPY messages to the current chunk. It
// reports whether the chunk is complete.
func (c *caller) addCopyMessage(messageType byte, message []byte, isExtended bool) (bool, error) {
	if c.batch == nil {
		c.batch = &batch{boundary: boundaryCopyData}
		c.batch.Class = statement.ClassCopyData
	}
	b := c.batch
	switch messageType {
	case msgCopyData:
		b.Messages = append(b.Messages, message...)
		return len(b.Messages) >= copyChunkBytes || !c.reader.buffered(), nil
	case msgCopyDone, msgCopyFail:
		b.Messages = append(b.Messages, message...)
		b.serverMessages++
		return !isExtended, nil
	case msgSync:
		if b.serverMessages == 0 {
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
