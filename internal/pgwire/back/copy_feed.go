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

// startCopyFeed forwards the CopyInResponse and sends the caller's data to the
// server until the caller ends the data or the server responds.
func (r *relay) startCopyFeed() error {
	if err := r.forward(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(r.ctx)
	r.cancelCopyFeed = stop
	r.copyFeed.Go(func() { r.feedCopyData(ctx) })
	return nil
}

func (r *relay) stopCopyFeed() {
	r.cancelCopyFeed()
	r.copyFeed.Wait()
}

func (r *relay) feedCopyData(ctx context.Context) {
	for ctx.Err() == nil {
		b, err := r.conv.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil || b.Class != statement.ClassCopyData {
			_ = r.conn.proto.writeBytes(encode(&pgproto3.CopyFail{Message: "the caller left"}))
			return
		}
		if r.conn.proto.writeBytes(b.Messages) != nil || endsCopy(b.Messages) {
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
		for len(data) >= frameHeaderBytes {
			length := int(binary.BigEndian.Uint32(data[1:])) + 1
			if length < frameHeaderBytes || length > len(data) {
				return
			}
			if !yield(data[0], data[frameHeaderBytes:length]) {
				return
			}
			data = data[length:]
		}
	}
}
