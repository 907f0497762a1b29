package front

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

const (
	// headerBytes is the size of a message's type and length fields.
	headerBytes = 5
	// readBufferBytes is the size of a pooled read buffer.
	readBufferBytes = 4 << 10
)

var (
	errOversize  = errors.New("message exceeds the size limit")
	errMalformed = errors.New("malformed message")
)

var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// messageReader splits the caller's byte stream into messages. A read that fails,
// for example because of a deadline, loses no data: the next call continues. No
// buffer is held while waiting for the first byte of a message.
type messageReader struct {
	source io.Reader
	// reserveMemory is called before the buffer grows by the given number of bytes.
	reserveMemory func(bytes int) error
	pooled        *[readBufferBytes]byte
	// buf holds the unread bytes in buf[readPos:writePos].
	buf       []byte
	readPos   int
	writePos  int
	firstByte [1]byte
}

// buffered reports whether a part of a message has been read.
func (r *messageReader) buffered() bool { return r.readPos < r.writePos }

// startsWith reports whether the next message has the given type. It may only be
// called after waitForData.
func (r *messageReader) startsWith(messageType byte) bool {
	return r.buffered() && r.buf[r.readPos] == messageType
}

// waitForData blocks until at least one byte of the next message is available.
func (r *messageReader) waitForData() error {
	if r.buffered() {
		return nil
	}
	r.releaseBuffer()
	n, err := r.source.Read(r.firstByte[:])
	if n == 0 {
		if err == nil {
			err = io.ErrNoProgress
		}
		return err
	}
	r.acquireBuffer()
	r.buf[0] = r.firstByte[0]
	r.readPos, r.writePos = 0, 1
	return nil
}

// readMessage returns the next complete message including its header. The message
// is valid until the next call.
func (r *messageReader) readMessage(maxBytes int) (messageType byte, message []byte, err error) {
	r.acquireBuffer()
	if err := r.fill(headerBytes); err != nil {
		return 0, nil, err
	}
	header := r.buf[r.readPos : r.readPos+headerBytes]
	length := binary.BigEndian.Uint32(header[1:])
	switch {
	case length < headerBytes-1:
		return 0, nil, errMalformed
	case uint64(length) > uint64(maxBytes):
		return 0, nil, errOversize
	}
	size := int(length) + 1
	if err := r.fill(size); err != nil {
		return 0, nil, err
	}
	message = r.buf[r.readPos : r.readPos+size]
	r.readPos += size
	return message[0], message, nil
}

// fill reads until size bytes are buffered. The buffer grows with the bytes that
// arrive, not to the length that a caller declares.
func (r *messageReader) fill(size int) error {
	for r.writePos-r.readPos < size {
		if err := r.growBuffer(size); err != nil {
			return err
		}
		n, err := r.source.Read(r.buf[r.writePos:])
		r.writePos += n
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

func (r *messageReader) growBuffer(size int) error {
	if r.readPos == r.writePos {
		r.readPos, r.writePos = 0, 0
	}
	if r.writePos < len(r.buf) && r.readPos+size <= len(r.buf) {
		return nil
	}
	if r.readPos > 0 {
		r.writePos = copy(r.buf, r.buf[r.readPos:r.writePos])
		r.readPos = 0
	}
	if r.writePos < len(r.buf) {
		return nil
	}
	length := min(2*len(r.buf), size)
	if err := r.reserveMemory(length - len(r.buf)); err != nil {
		return err
	}
	grown := make([]byte, length)
	copy(grown, r.buf[:r.writePos])
	r.buf = grown
	return nil
}

func (r *messageReader) acquireBuffer() {
	if r.buf != nil {
		return
	}
	r.pooled = readBuffers.Get().(*[readBufferBytes]byte)
	r.buf = r.pooled[:]
}

// releaseBuffer returns the buffer to the pool and discards unread bytes.
func (r *messageReader) releaseBuffer() {
	if r.pooled != nil {
		readBuffers.Put(r.pooled)
	}
	r.pooled, r.buf = nil, nil
	r.readPos, r.writePos = 0, 0
}
