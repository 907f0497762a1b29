package back

import (
	"crypto/tls"
	"errors"
	"syscall"
)

// checkIdle returns an error if the server has closed the connection while it
// was idle, or has sent an unsolicited message other than a notice or parameter
// status.
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
	case isTLS:
		// The unread bytes may be a message of the TLS layer.
		return nil
	default:
		return p.readIdleMessages()
	}
}

// readIdleMessages reads the messages received on an idle connection. Notices and
// parameter changes are harmless; anything else means that the server is closing
// the connection.
func (p *protocolConn) readIdleMessages() error {
	for {
		kind, frame, err := p.readFrame()
		if err != nil {
			return err
		}
		switch {
		case kind == typeError:
			return decodeError(frame)
		case kind != typeNotice && kind != typeParameterStatus:
			return errUnexpected
		case p.bufferEmpty():
			return nil
		}
	}
}
