package front

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
)

// intermittentReader returns the data in chunks, with a timeout before each.
type intermittentReader struct {
	data       []byte
	chunkBytes int
	timedOut   bool
}

func (r *intermittentReader) Read(p []byte) (int, error) {
	r.timedOut = !r.timedOut
	if r.timedOut {
		return 0, os.ErrDeadlineExceeded
	}
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[:min(r.chunkBytes, len(r.data))])
	r.data = r.data[n:]
	return n, nil
}

// FuzzMessageReader reads messages from arbitrary bytes that arrive in chunks with
// timeouts between them, and compares them with the messages in the complete data.
func FuzzMessageReader(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x06x\x00S\x00\x00\x00\x04"), uint8(1))
	f.Add([]byte("Q\xff\xff\xff\xffx"), uint8(3))
	f.Add(append([]byte("d\x00\x00\x20\x04"), make([]byte, 0x2000)...), uint8(200))
	f.Fuzz(func(t *testing.T, data []byte, chunkBytes uint8) {
		const limit = 16 << 10
		source := &intermittentReader{data: bytes.Clone(data), chunkBytes: int(chunkBytes) + 1}
		r := messageReader{source: source, reserveMemory: func(int) error { return nil }}
		rest := data
		for {
			_, message, err := readWithRetries(&r, limit)
			if err != nil {
				checkReadError(t, rest, err, limit)
				break
			}
			want, after, ok := cutMessage(rest)
			if !ok || !bytes.Equal(message, want) {
				t.Fatalf("message %q, want %q", message, want)
			}
			rest = after
		}
		r.releaseBuffer()
	})
}

// readWithRetries reads a message and retries after timeouts.
func readWithRetries(r *messageReader, limit int) (byte, []byte, error) {
	for {
		err := r.waitForData()
		if err == nil {
			var messageType byte
			var message []byte
			if messageType, message, err = r.readMessage(limit); err == nil {
				return messageType, message, nil
			}
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, nil, err
		}
	}
}

// checkReadError checks that the remaining data justifies the error.
func checkReadError(t *testing.T, rest []byte, err error, limit int) {
	t.Helper()
	message, _, ok := cutMessage(rest)
	switch {
	case errors.Is(err, io.EOF) && len(rest) == 0:
	case errors.Is(err, io.ErrUnexpectedEOF) && !ok:
	case errors.Is(err, errMalformed) && !ok:
	case errors.Is(err, errOversize) && (!ok || len(message) > limit):
	default:
		t.Fatalf("error %v with remaining data %q", err, rest)
	}
}
