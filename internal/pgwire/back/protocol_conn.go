package back

import (
	"bufio"
	"bytes"
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

// Protocol message types that the adapter handles.
const (
	typeParseComplete   = '1'
	typeBindComplete    = '2'
	typeCloseComplete   = '3'
	typeCommandComplete = 'C'
	typeDataRow         = 'D'
	typeNotification    = 'A'
	typeError           = 'E'
	typeCopyIn          = 'G'
	typeNotice          = 'N'
	typeParameterStatus = 'S'
	typeRowDescription  = 'T'
	typeReady           = 'Z'
	typeNoData          = 'n'
	typeParamDesc       = 't'
)

const frameHeaderBytes = 5

// segment is one part of a pipeline. The response to it ends with ReadyForQuery.
type segment struct {
	data []byte
	// handle is called with each frame of the response; frame is only valid during
	// the call.
	handle func(kind byte, frame []byte) error
}

// protocolConn is a network connection to a server that reads and writes protocol
// messages.
type protocolConn struct {
	cfg      Config
	server   cluster.Server
	conn     net.Conn
	reader   *bufio.Reader
	frameBuf []byte
	pid      uint32
	secret   []byte
	closed   atomic.Bool
	txStatus byte
}

func newProtocolConn(cfg Config, conn net.Conn, s cluster.Server) *protocolConn {
	return &protocolConn{cfg: cfg, server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), txStatus: 'I'}
}

// pipeline writes all segments and reads their responses in order. When ctx
// ends, it sends a cancel request and waits up to CancelGrace for the rest of
// the response. After an error the connection is closed.
func (p *protocolConn) pipeline(ctx context.Context, segments ...segment) error {
	if p.closed.Load() {
		return errClosed
	}
	stop := context.AfterFunc(ctx, p.cancelAndSetDeadline)
	written := make(chan error, 1)
	go func() { written <- p.write(segments) }()
	err := p.readAll(segments)
	if err != nil {
		_ = p.close()
	}
	if writeErr := <-written; err == nil && writeErr != nil {
		err = writeErr
	}
	if !stop() {
		_ = p.close()
	}
	return err
}

func (p *protocolConn) write(segments []segment) error {
	var data []byte
	for _, s := range segments {
		data = append(data, s.data...)
	}
	return p.writeBytes(data)
}

func (p *protocolConn) writeBytes(data []byte) error {
	sentBytes.Add(len(data))
	_, err := p.conn.Write(data)
	return err
}

func (p *protocolConn) readAll(segments []segment) error {
	for _, s := range segments {
		if err := p.readSegment(s.handle); err != nil {
			return err
		}
	}
	return nil
}

func (p *protocolConn) readSegment(handle func(byte, []byte) error) error {
	for {
		kind, frame, err := p.readFrame()
		if err != nil {
			return err
		}
		if kind == typeReady {
			if len(frame) != frameHeaderBytes+1 || bytes.IndexByte([]byte("ITE"), frame[frameHeaderBytes]) < 0 {
				return errInvalidReady
			}
			p.txStatus = frame[frameHeaderBytes]
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
func (p *protocolConn) readFrame() (byte, []byte, error) {
	header, err := p.reader.Peek(frameHeaderBytes)
	if err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[1:])) + 1
	if length < frameHeaderBytes || length > maxFrame {
		return 0, nil, errTooLarge
	}
	if cap(p.frameBuf) < length || cap(p.frameBuf) > maxRetainedFrame {
		p.frameBuf = make([]byte, max(length, readBufferBytes))
	}
	p.frameBuf = p.frameBuf[:length]
	if _, err := io.ReadFull(p.reader, p.frameBuf); err != nil {
		return 0, nil, err
	}
	receivedBytes.Add(length)
	return p.frameBuf[0], p.frameBuf, nil
}

// bufferEmpty reports whether the read buffer holds no unread bytes.
func (p *protocolConn) bufferEmpty() bool { return p.reader.Buffered() == 0 }

// cancelAndSetDeadline limits the rest of the exchange to CancelGrace and sends a
// cancel request.
func (p *protocolConn) cancelAndSetDeadline() {
	_ = p.conn.SetDeadline(time.Now().Add(p.cfg.CancelGrace))
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.CancelGrace)
	defer cancel()
	if err := p.sendCancelRequest(ctx); err != nil {
		eventCancelFailed.Log(&p.cfg.Log).Str("server", string(p.server.ID)).Err(err).Send()
	}
}

// sendCancelRequest opens a separate connection and asks the server to cancel the
// running statement.
func (p *protocolConn) sendCancelRequest(ctx context.Context) error {
	cancelsTotal.Inc()
	conn, err := p.cfg.Dial(ctx, p.server.Address)
	if err != nil {
		return eris.Wrap(err, "dial for cancel")
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	m := pgproto3.CancelRequest{ProcessID: p.pid, SecretKey: p.secret}
	data, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(data); err != nil {
		return eris.Wrap(err, "send cancel")
	}
	// The server closes the connection once it has processed the request.
	if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "await cancel")
	}
	return nil
}

func (p *protocolConn) close() error {
	if p.closed.Swap(true) {
		return nil
	}
	return p.conn.Close()
}
