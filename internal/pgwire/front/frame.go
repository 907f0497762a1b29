package front

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

const (
	// headerBytes is the size of a message's type and length.
	headerBytes = 5
	// readBufferBytes is the size of a pooled read buffer.
	readBufferBytes = 4 << 10
)

var (
	errOversize  = errors.New("message exceeds the size limit")
	errMalformed = errors.New("malformed message")
)

var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// frameReader splits the caller's byte stream into messages. A read that ends
// with an error, such as a deadline, loses nothing: the next call goes on. It
// holds no buffer while it waits for the first byte of a message.
type frameReader struct {
	source io.Reader
	// reserve is asked before the buffer grows by a number of bytes.
	reserve func(bytes int) error
	pooled  *[readBufferBytes]byte
	// buf holds unread bytes in buf[read:written].
	buf     []byte
	read    int
	written int
	first   [1]byte
}

// buffered reports whether part of a message has been read.
func (r *frameReader) buffered() bool { return r.read < r.written }

// startsWith reports whether the next message is of the type. It may only be
// called after wait.
func (r *frameReader) startsWith(kind byte) bool { return r.buffered() && r.buf[r.read] == kind }

// wait blocks until at least one byte of the next message is there.
func (r *frameReader) wait() error {
	if r.buffered() {
		return nil
	}
	r.release()
	n, err := r.source.Read(r.first[:])
	if n == 0 {
		if err == nil {
			err = io.ErrNoProgress
		}
		return err
	}
	r.acquire()
	r.buf[0] = r.first[0]
	r.read, r.written = 0, 1
	return nil
}

// next returns the next complete message with its header. The message is valid
// until the next call.
func (r *frameReader) next(limit int) (kind byte, message []byte, err error) {
	r.acquire()
	if err := r.fill(headerBytes); err != nil {
		return 0, nil, err
	}
	header := r.buf[r.read : r.read+headerBytes]
	length := binary.BigEndian.Uint32(header[1:])
	switch {
	case length < headerBytes-1:
		return 0, nil, errMalformed
	case uint64(length) > uint64(limit):
		return 0, nil, errOversize
	}
	size := int(length) + 1
	if err := r.fill(size); err != nil {
		return 0, nil, err
	}
	message = r.buf[r.read : r.read+size]
	r.read += size
	return message[0], message, nil
}

// fill reads until size bytes are buffered. The buffer grows with the bytes
// that arrive, not with the size that a caller claims.
func (r *frameReader) fill(size int) error {
	for r.written-r.read < size {
		if err := r.makeRoom(size); err != nil {
			return err
		}
		n, err := r.source.Read(r.buf[r.written:])
		r.written += n
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && r.buffered() {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		return io.ErrNoProgress
	}
	return nil
}

func (r *frameReader) makeRoom(size int) error {
	if r.read == r.written {
		r.read, r.written = 0, 0
	}
	if r.written < len(r.buf) && r.read+size <= len(r.buf) {
		return nil
	}
	if r.read > 0 {
		r.written = copy(r.buf, r.buf[r.read:r.written])
		r.read = 0
	}
	if r.written < len(r.buf) {
		return nil
	}
	length := min(2*len(r.buf), size)
	if err := r.reserve(length - len(r.buf)); err != nil {
		return err
	}
	grown := make([]byte, length)
	copy(grown, r.buf[:r.written])
	r.buf = grown
	return nil
}

func (r *frameReader) acquire() {
	if r.buf != nil {
		return
	}
	r.pooled = readBuffers.Get().(*[readBufferBytes]byte)
	r.buf = r.pooled[:]
}

// release returns an empty buffer to the pool.
func (r *frameReader) release() {
	if r.pooled != nil {
		readBuffers.Put(r.pooled)
	}
	r.pooled, r.buf = nil, nil
	r.read, r.written = 0, 0
}
