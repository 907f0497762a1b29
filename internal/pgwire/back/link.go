package back

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Message types of the protocol that the adapter looks at.
const (
	typeParseComplete   = '1'
	typeBindComplete    = '2'
	typeCloseComplete   = '3'
	typeCommandComplete = 'C'
	typeDataRow         = 'D'
	typeError           = 'E'
	typeCopyIn          = 'G'
	typeNotice          = 'N'
	typeParameterStatus = 'S'
	typeRowDescription  = 'T'
	typeReady           = 'Z'
	typeNoData          = 'n'
	typeParamDesc       = 't'
)

const frameHeader = 5

// segment is a part of a pipeline. It ends with the server's ready state.
type segment struct {
	data []byte
	// handle gets each frame of the answer; frame is only valid during the call.
	handle func(kind byte, frame []byte) error
}

// link is one network connection to a server and the framing on it.
type link struct {
	cfg    Config
	server cluster.Server
	conn   net.Conn
	reader *bufio.Reader
	frame  []byte
	pid    uint32
	secret []byte
	closed atomic.Bool
	status byte
}

func newLink(cfg Config, conn net.Conn, s cluster.Server) *link {
	return &link{cfg: cfg, server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), status: 'I'}
}

// pipeline writes all segments and reads their answers in order. When ctx ends
// it asks the server to stop and waits for the rest of the answer for the
// cancel grace. After an error the link is closed.
func (l *link) pipeline(ctx context.Context, segments ...segment) error {
	if l.closed.Load() {
		return errClosed
	}
	stop := context.AfterFunc(ctx, l.interrupt)
	written := make(chan error, 1)
	go func() { written <- l.write(segments) }()
	err := l.readAll(segments)
	if err != nil {
		_ = l.close()
	}
	if werr := <-written; err == nil && werr != nil {
		err = werr
	}
	if !stop() {
		_ = l.close()
	}
	return err
}

func (l *link) write(segments []segment) error {
	var data []byte
	for _, s := range segments {
		data = append(data, s.data...)
	}
	return l.writeBytes(data)
}

func (l *link) writeBytes(data []byte) error {
	sentBytes.Add(len(data))
	_, err := l.conn.Write(data)
	return err
}

func (l *link) readAll(segments []segment) error {
	for _, s := range segments {
		if err := l.readSegment(s.handle); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) readSegment(handle func(byte, []byte) error) error {
	for {
		kind, frame, err := l.readFrame()
		if err != nil {
			return err
		}
		if kind == typeReady && len(frame) == frameHeader+1 {
			l.status = frame[frameHeader]
		}
		if err := handle(kind, frame); err != nil {
			return err
		}
		if kind == typeReady {
			return nil
		}
	}
}

// readFrame reads one complete message. The frame is valid until the next call.
func (l *link) readFrame() (byte, []byte, error) {
	header, err := l.reader.Peek(frameHeader)
	if err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[1:])) + 1
	if length < frameHeader || length > maxFrame {
		return 0, nil, errTooLarge
	}
	if cap(l.frame) < length || cap(l.frame) > maxKeptFrame {
		l.frame = make([]byte, max(length, readBuffer))
	}
	l.frame = l.frame[:length]
	if _, err := io.ReadFull(l.reader, l.frame); err != nil {
		return 0, nil, err
	}
	receivedBytes.Add(length)
	return l.frame[0], l.frame, nil
}

// idle reports whether nothing more has been received.
func (l *link) idle() bool { return l.reader.Buffered() == 0 }

// interrupt bounds the rest of the exchange and asks the server to stop.
func (l *link) interrupt() {
	_ = l.conn.SetDeadline(time.Now().Add(l.cfg.CancelGrace))
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.CancelGrace)
	defer cancel()
	if err := l.cancelRequest(ctx); err != nil {
		eventCancelFailed.Log(&l.cfg.Log).Str("server", string(l.server.ID)).Err(err).Send()
	}
}

// cancelRequest asks the server over a connection of its own to stop the
// running statement.
func (l *link) cancelRequest(ctx context.Context) error {
	cancelsTotal.Inc()
	conn, err := l.cfg.Dial(ctx, l.server.Address)
	if err != nil {
		return eris.Wrap(err, "dial for cancel")
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	m := pgproto3.CancelRequest{ProcessID: l.pid, SecretKey: l.secret}
	data, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(data); err != nil {
		return eris.Wrap(err, "send cancel")
	}
	// The server closes the connection once it has taken the request.
	if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "await cancel")
	}
	return nil
}

func (l *link) close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.conn.Close()
}
