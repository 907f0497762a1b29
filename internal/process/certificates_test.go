package process

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/tlskeys/tlstest"
)

// sslRequestBytes is the length of PostgreSQL's SSLRequest message.
const sslRequestBytes = 8

// listenTLS accepts TLS connections with a certificate. When postgres is set, it
// first replies to an SSLRequest. A completed handshake is reported on completed.
func listenTLS(t *testing.T, files settings.TLS, postgres bool) (address string, completed <-chan struct{}) {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan struct{}, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if postgres && !answerSSLRequest(conn) {
					return
				}
				secure := tls.Server(conn, &tls.Config{Certificates: []tls.Certificate{pair}})
				if secure.HandshakeContext(t.Context()) == nil {
					done <- struct{}{}
				}
			}()
		}
	}()
	return l.Addr().String(), done
}

func answerSSLRequest(conn net.Conn) bool {
	if _, err := io.ReadFull(conn, make([]byte, sslRequestBytes)); err != nil {
		return false
	}
	_, err := conn.Write([]byte{'S'})
	return err == nil
}

func newTestProcess(t *testing.T, files settings.TLS) *Process {
	t.Helper()
	s := settings.Common{
		ID: "entry-1", FailureDomain: "ambato", Environment: "cotopaxi",
		Log: settings.Log{Level: "error", Format: "json"}, Trace: settings.Trace{Exporter: "off"},
		Peer: settings.Peer{Listen: "127.0.0.1:0", TLS: files},
		Platform: settings.Platform{
			Timeout: time.Second,
			Table:   settings.Table{Address: "127.0.0.1:1", User: "u", Database: "d"},
			Objects: settings.Objects{Endpoint: "127.0.0.1:1", Bucket: "rattancove"},
		},
		Backend:  settings.Backend{ConnectTimeout: time.Minute, User: "u", TLS: files},
		Document: settings.Document{Poll: time.Second, MaxUnknownAge: time.Minute},
	}
	p, err := New(t.Context(), s, member.RoleProxy)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close(context.Background()) })
	return p
}

// TestInvalidServerCertificateIsRefused calls peers and backend servers whose
// certificates have expired, are not yet valid or come from another authority.
func TestInvalidServerCertificateIsRefused(t *testing.T) {
	authority, otherAuthority := tlstest.NewAuthority(t, t.TempDir()), tlstest.NewAuthority(t, t.TempDir())
	p := newTestProcess(t, authority.Valid("entry"))
	dialer, err := p.Dialer()
	if err != nil {
		t.Fatal(err)
	}
	calls := map[string]func(string) error{
		"peer": func(address string) error {
			_, err := p.ControlPeers.Client(address).Ping(t.Context(), &peerpb.PingRequest{})
			return err
		},
		"backend server": func(address string) error {
			_, err := dialer.DialControl(t.Context(), cluster.Server{ID: "a", Address: address}, "orders")
			return err
		},
	}
	for target, call := range calls {
		postgres := target == "backend server"
		for name, files := range map[string]settings.TLS{"expired": authority.Expired("late"), "not yet valid": authority.NotYetValid("early")} {
			address, _ := listenTLS(t, files, postgres)
			var invalid x509.CertificateInvalidError
			if err := call(address); !errors.As(err, &invalid) || invalid.Reason != x509.Expired {
				t.Errorf("%s, %s: %v", target, name, err)
			}
		}
		address, _ := listenTLS(t, otherAuthority.Valid("stranger"), postgres)
		var unknown x509.UnknownAuthorityError
		if err := call(address); !errors.As(err, &unknown) {
			t.Errorf("%s of another authority: %v", target, err)
		}
		address, completed := listenTLS(t, authority.Valid("good"), postgres)
		_ = call(address) // the listener sends nothing after the handshake
		select {
		case <-completed:
		default:
			t.Errorf("%s with a valid certificate: no handshake was completed", target)
		}
	}
}
