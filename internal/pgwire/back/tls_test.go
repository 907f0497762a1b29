package back_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/pgwire/back"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/statement"
)

// certificate returns a self-signed certificate for the loopback address.
func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, pool
}

// listen starts a database server on a loopback port.
func listen(t *testing.T, cfg dbserver.Config) (*dbserver.Server, cluster.Server) {
	t.Helper()
	cfg.Primary, cfg.Schema = true, schema
	s, err := dbserver.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	return s, cluster.Server{ID: "a", Address: l.Addr().String()}
}

func TestTLS(t *testing.T) {
	cert, pool := certificate(t)
	_, tlsServer := listen(t, dbserver.Config{TLS: &tls.Config{Certificates: []tls.Certificate{cert}}})
	_, plainServer := listen(t, dbserver.Config{})
	d := back.New(back.Config{TLS: func(name string) *tls.Config { return &tls.Config{RootCAs: pool, ServerName: name} }})
	c, err := d.Dial(t.Context(), tlsServer, "rolls", "", backend.Claim{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, id := range []string{"a", "b"} {
		if _, result := run(t, c, insertExchange(id)); !result.Committed {
			t.Errorf("got %+v", result)
		}
	}
	if _, err := d.Dial(t.Context(), plainServer, "rolls", "", backend.Claim{}); !errcode.Is(err, errcode.ConnectionLost) {
		t.Errorf("a server without TLS: %v", err)
	}
}

func TestClosedIdleConnectionIsDetectedBeforeSending(t *testing.T) {
	_, server := listen(t, dbserver.Config{})
	var tcpConn *net.TCPConn
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err == nil {
			tcpConn = conn.(*net.TCPConn)
		}
		return conn, err
	}
	c, err := back.New(back.Config{Dial: dial}).Dial(t.Context(), server, "rolls", "", backend.Claim{Epoch: 1, Home: "p1"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	run(t, c, insertExchange("a"))
	control, err := back.New(back.Config{}).DialControl(t.Context(), server, "rolls")
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	if _, err := control.Claim(t.Context(), backend.Claim{Epoch: 2, Home: "p2"}); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the error for the superseded claim has arrived", func() bool { return readable(t, tcpConn) })
	_, err = c.Exchange(t.Context(), &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "DELETE FROM rolls")}, &caller{})
	if !errcode.Is(err, errcode.Superseded) || c.Sent() {
		t.Errorf("got %v, sent %v", err, c.Sent())
	}
}

// readable reports whether a connection has unread bytes, without reading them.
func readable(t *testing.T, conn *net.TCPConn) bool {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return n > 0
}
