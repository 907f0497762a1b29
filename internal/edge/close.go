package edge

import (
	"io"
	"net"
	"time"
)

// lingerTime is the maximum time for which a caller's connection is read after its last
// answer.
const lingerTime = 100 * time.Millisecond

// closeAfterAnswer ends the writing side of a connection and reads until the caller has
// closed its side. A connection that is closed with unread bytes is reset, and the reset may
// overtake the last answer.
func closeAfterAnswer(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
