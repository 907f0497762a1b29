package back

import (
	"context"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/statement"
)

const (
	typeCopyDone = 'c'
	typeCopyFail = 'f'
)

// startFeeder passes the COPY response on and sends the caller's data to the
// server until the caller ends it or the server answers.
func (r *relay) startFeeder() error {
	if err := r.pass(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(r.ctx)
	r.stopFeed = stop
	r.feeding.Go(func() { r.feed(ctx) })
	return nil
}

func (r *relay) stopFeeder() {
	r.stopFeed()
	r.feeding.Wait()
}

func (r *relay) feed(ctx context.Context) {
	for ctx.Err() == nil {
		b, err := r.conv.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil || b.Class != statement.ClassCopyData {
			_ = r.conn.link.writeBytes(encode(&pgproto3.CopyFail{Message: "the caller left"}))
			return
		}
		if r.conn.link.writeBytes(b.Messages) != nil || endsCopy(b.Messages) {
			return
		}
	}
}

// endsCopy reports whether the messages end the COPY.
func endsCopy(messages []byte) bool {
	for kind := range frames(messages) {
		if kind == typeCopyDone || kind == typeCopyFail {
			return true
		}
	}
	return false
}

// frames yields the type and body of each complete message in data.
func frames(data []byte) func(yield func(byte, []byte) bool) {
	return func(yield func(byte, []byte) bool) {
		for len(data) >= frameHeader {
			length := int(binary.BigEndian.Uint32(data[1:])) + 1
			if length < frameHeader || length > len(data) {
				return
			}
			if !yield(data[0], data[frameHeader:length]) {
				return
			}
			data = data[length:]
		}
	}
}
