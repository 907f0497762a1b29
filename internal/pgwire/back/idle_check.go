package back

import (
	"crypto/tls"
	"errors"
	"os"
	"syscall"
	"time"
)

// tlsReadTimeout bounds the time to decrypt bytes that have arrived already.
const tlsReadTimeout = 20 * time.Millisecond

// checkIdle returns an error if the server has closed the connection while it
// was idle, or has sent a message other than those that may come at any time.
func (p *protocolConn) checkIdle() error {
	if p.closed.Load() {
		return errClosed
	}
	if !p.bufferEmpty() {
		return errUnexpected
	}
	conn := p.conn
	tlsConn, isTLS := conn.(*tls.Conn)
	if isTLS {
		if p.dataReadable(time.Unix(1, 0)) { // held by the TLS layer already
			return p.readIdleMessages()
		}
		conn = tlsConn.NetConn()
	}
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return err
	case errors.Is(peekErr, syscall.EAGAIN):
		return nil
	case peekErr != nil:
		return peekErr
	case n == 0:
		return errClosedByServer
	case isTLS && !p.dataReadable(time.Now().Add(tlsReadTimeout)):
		return nil // a message of the TLS layer
	default:
		return p.readIdleMessages()
	}
}

// dataReadable reports whether data, or an error, can be read from a TLS connection before
// the deadline.
func (p *protocolConn) dataReadable(deadline time.Time) bool {
	_ = p.conn.SetReadDeadline(deadline)
	_, err := p.reader.Peek(1)
	_ = p.conn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// readIdleMessages reads the messages received on an idle connection. Notices,
// notifications and parameter changes are harmless; anything else means that the
// server is closing the connection, or that it answers an earlier batch again.
func (p *protocolConn) readIdleMessages() error {
	for {
		kind, frame, err := p.readFrame()
		if err != nil {
			return err
		}
		switch {
		case kind == typeError:
			return decodeError(frame)
		case kind != typeNotice && kind != typeParameterStatus && kind != typeNotification:
			return errUnexpected
		case p.bufferEmpty():
			return nil
		}
	}
}
