package edge

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerBacklog is the number of connections of peers that the kernel holds until they are
// accepted. With its usual 4,096, a small VM that all other processes dial at once accepts
// only connections that their owners have given up; with 128 it accepts them within a ping's
// timeout at 300 a second, and the others are refused by the timeout of the dial.
const peerBacklog = 128

// boundBacklog bounds the connections that the kernel holds for a listener.
func boundBacklog(l net.Listener, n int) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil // a listener in memory
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}
