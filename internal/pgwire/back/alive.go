package back

import (
	"crypto/tls"
	"errors"
	"syscall"
)

// alive reports an error when the server has closed the connection while it
// was idle, or has sent something that nobody asked for.
func (l *link) alive() error {
	if l.closed.Load() {
		return errClosed
	}
	if !l.idle() {
		return errUnexpected
	}
	conn := l.conn
	secured, encrypted := conn.(*tls.Conn)
	if encrypted {
		conn = secured.NetConn()
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
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
		return errStale
	case encrypted:
		// What waits may be a message of the TLS layer.
		return nil
	default:
		return l.explain()
	}
}

// explain reads the message that waits on an idle connection. Notices and
// parameter changes do no harm; anything else means that the server is leaving.
func (l *link) explain() error {
	for {
		kind, frame, err := l.readFrame()
		if err != nil {
			return err
		}
		switch {
		case kind == typeError:
			return decodeError(frame)
		case kind != typeNotice && kind != typeParameterStatus:
			return errUnexpected
		case l.idle():
			return nil
		}
	}
}
