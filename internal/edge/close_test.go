package edge

import (
	"io"
	"net"
	"testing"
	"time"
)

// The caller sends a statement while the connection is being closed. Closed with unread
// bytes, the connection would be reset, and the last answer could be lost.
func TestUnreadStatementDoesNotResetAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "QUERY unread\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, "READY I -\r\n"); err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		closeAfterAnswer(server)
		_ = server.Close()
	}()
	answer, err := io.ReadAll(client)
	if string(answer) != "READY I -\r\n" || err != nil {
		t.Errorf("answer %q, %v", answer, err)
	}
	_ = client.Close()
	select {
	case <-closed:
	case <-time.After(time.Minute):
		t.Error("the connection is read for ever")
	}
}
