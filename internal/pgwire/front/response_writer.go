package front

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// writeBufferBytes is the size from which buffered messages are sent.
const writeBufferBytes = 16 << 10

var writeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, writeBufferBytes)
	return &b
}}

// responseWriter buffers messages for the caller. It holds no buffer while nothing
// is pending. The first error is kept.
type responseWriter struct {
	conn    net.Conn
	timeout time.Duration
	pending *[]byte
	err     error
}

// write buffers complete messages, and sends them if the buffer is full.
func (w *responseWriter) write(data []byte) {
	if w.err != nil || len(data) == 0 {
		return
	}
	if w.pending != nil && len(*w.pending)+len(data) > writeBufferBytes {
		w.flush()
	}
	if len(data) >= writeBufferBytes {
		w.send(data)
		return
	}
	if w.pending == nil {
		w.pending = writeBuffers.Get().(*[]byte)
	}
	*w.pending = append(*w.pending, data...)
}

// writeMessage encodes and buffers one message.
func (w *responseWriter) writeMessage(m pgproto3.BackendMessage) {
	data, err := m.Encode(nil)
	if err != nil {
		w.setError(err)
		return
	}
	w.write(data)
}

// flush sends the buffered messages and returns the buffer to the pool.
func (w *responseWriter) flush() {
	if w.pending == nil {
		return
	}
	b := w.pending
	w.pending = nil
	if w.err == nil {
		w.send(*b)
	}
	*b = (*b)[:0]
	writeBuffers.Put(b)
}

func (w *responseWriter) send(data []byte) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		w.setError(err)
		return
	}
	if _, err := w.conn.Write(data); err != nil {
		w.setError(err)
	}
}

func (w *responseWriter) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}
