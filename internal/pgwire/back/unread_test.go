package back_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/pgwire/back"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/statement"
)

// relayedServer relays connections to a server and can send messages of its own on the last
// one.
type relayedServer struct {
	t      *testing.T
	server cluster.Server
	// ends receives the relay's end of each connection, conns the adapter's.
	ends, conns chan *net.TCPConn
}

func relayTo(t *testing.T, server cluster.Server) *relayedServer {
	return &relayedServer{t: t, server: server, ends: make(chan *net.TCPConn, 1), conns: make(chan *net.TCPConn, 1)}
}

func (r *relayedServer) dial(ctx context.Context, _ string) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	end, err := l.Accept()
	if err != nil {
		return nil, err
	}
	toServer, err := new(net.Dialer).DialContext(ctx, "tcp", r.server.Address)
	if err != nil {
		return nil, err
	}
	r.t.Cleanup(func() { _ = end.Close(); _ = toServer.Close() })
	go func() { _, _ = io.Copy(end, toServer) }()
	go func() { _, _ = io.Copy(toServer, end) }()
	r.ends <- end.(*net.TCPConn)
	r.conns <- conn.(*net.TCPConn)
	return conn, nil
}

// send sends messages to the adapter while its connection is idle.
func (r *relayedServer) send(messages ...pgproto3.BackendMessage) {
	r.t.Helper()
	var data []byte
	for _, m := range messages {
		data, _ = m.Encode(data)
	}
	if _, err := (<-r.ends).Write(data); err != nil {
		r.t.Fatal(err)
	}
	conn := <-r.conns
	waitUntil(r.t, "the messages have arrived", func() bool { return readable(r.t, conn) })
}

// repeatedResponse is the response to an earlier DELETE.
func repeatedResponse() []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.CommandComplete{CommandTag: []byte("DELETE 0")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
}

// TestRepeatedResponseEndsIdleConnection: a response that arrives while a connection is
// idle must not be taken for that to the next batch, reset or control call.
func TestRepeatedResponseEndsIdleConnection(t *testing.T) {
	uses := map[string]func(backend.Conn) error{
		"exchange": func(c backend.Conn) error {
			_, err := c.Exchange(t.Context(), insertExchange("b"), &caller{})
			if c.Sent() {
				t.Error("the batch was sent")
			}
			return err
		},
		"reset": func(c backend.Conn) error { return c.Reset(t.Context()) },
	}
	for name, use := range uses {
		t.Run(name, func(t *testing.T) {
			_, server := listen(t, dbserver.Config{})
			relay := relayTo(t, server)
			c, err := back.New(back.Config{Dial: relay.dial}).Dial(t.Context(), server, "rolls", "", backend.Claim{})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			run(t, c, insertExchange("a"))
			relay.send(repeatedResponse()...)
			if err := use(c); !errcode.Is(err, errcode.ConnectionLost) {
				t.Errorf("error %v", err)
			}
			if _, err := c.Exchange(t.Context(), insertExchange("c"), &caller{}); err == nil {
				t.Error("the connection was used again")
			}
		})
	}
}

// TestRepeatedStatusEndsControlConnection: a status that arrives again must not be taken
// for the response to a later call.
func TestRepeatedStatusEndsControlConnection(t *testing.T) {
	_, server := listen(t, dbserver.Config{})
	relay := relayTo(t, server)
	control, err := back.New(back.Config{Dial: relay.dial}).DialControl(t.Context(), server, "rolls")
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	if _, err := control.Status(t.Context()); err != nil {
		t.Fatal(err)
	}
	relay.send(&pgproto3.DataRow{Values: [][]byte{[]byte(`{"Term":9}`)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if status, err := control.Status(t.Context()); err == nil {
		t.Errorf("status %+v", status)
	}
}

// TestAsynchronousMessagesAreNotResponses: servers may send these at any time, and the
// connection stays usable.
func TestAsynchronousMessagesAreNotResponses(t *testing.T) {
	for name, message := range map[string]pgproto3.BackendMessage{
		"notice":           &pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: "m"},
		"parameter status": &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		"notification":     &pgproto3.NotificationResponse{PID: 1, Channel: "c", Payload: "p"},
	} {
		t.Run(name, func(t *testing.T) {
			_, server := listen(t, dbserver.Config{})
			relay := relayTo(t, server)
			c, err := back.New(back.Config{Dial: relay.dial}).Dial(t.Context(), server, "rolls", "", backend.Claim{})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			run(t, c, insertExchange("a"))
			relay.send(message)
			if err := c.Reset(t.Context()); err != nil {
				t.Error(err)
			}
			if _, result := run(t, c, insertExchange("b")); !result.Committed {
				t.Errorf("result %+v", result)
			}
		})
	}
}

// TestRepeatedResponseOverTLS: the check of an idle connection reads through the TLS layer.
func TestRepeatedResponseOverTLS(t *testing.T) {
	cert, pool := certificate(t)
	sent := make(chan struct{})
	address := serveRepeatedOverTLS(t, cert, sent)
	d := back.New(back.Config{TLS: func(name string) *tls.Config { return &tls.Config{RootCAs: pool, ServerName: name} }})
	c, err := d.Dial(t.Context(), cluster.Server{ID: "a", Address: address}, "rolls", "", backend.Claim{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	<-sent
	_, err = c.Exchange(t.Context(), &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "DELETE FROM rolls")}, &caller{})
	if !errcode.Is(err, errcode.ConnectionLost) || c.Sent() {
		t.Errorf("error %v, sent %v", err, c.Sent())
	}
}

// serveRepeatedOverTLS serves the start-up of one connection and then sends a response
// that no batch asked for. It closes sent once that is done.
func serveRepeatedOverTLS(t *testing.T, cert tls.Certificate, sent chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.ReadFull(conn, make([]byte, 8)); err != nil {
			return
		}
		_, _ = conn.Write([]byte{'S'})
		encrypted := tls.Server(conn, &tls.Config{Certificates: []tls.Certificate{cert}})
		if _, err := pgproto3.NewBackend(encrypted, encrypted).ReceiveStartupMessage(); err != nil {
			return
		}
		write := func(messages ...pgproto3.BackendMessage) {
			var data []byte
			for _, m := range messages {
				data, _ = m.Encode(data)
			}
			_, _ = encrypted.Write(data)
		}
		write(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		write(repeatedResponse()...)
		close(sent)
	}()
	return l.Addr().String()
}
