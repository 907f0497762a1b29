package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/tlskeys"
	"github.com/rattancove/rattancove/internal/tlskeys/tlstest"
)

const (
	// patience bounds every wait of the tests with certificates.
	patience = 20 * time.Second
	// shortLife is the validity of a certificate that is to expire in use.
	shortLife = 4 * time.Second
	lookTime  = 50 * time.Millisecond
)

// ways are the listeners of a proxy by name.
type ways map[string]string

// secureSettings returns settings whose three listeners show the same certificate.
func secureSettings(t *testing.T, a *tlstest.Authority, files settings.TLS) (*settings.Proxy, ways) {
	t.Helper()
	w := ways{"callers": freeAddress(t), "admin": freeAddress(t), "peer": freeAddress(t)}
	keyFile := filepath.Join(t.TempDir(), "keys.yaml")
	writeFile(t, keyFile, "keys: [{name: ops, sha256: "+admin.HashKey("x")+", rights: [admin]}]")
	pair := fmt.Sprintf("cert_file: %s, key_file: %s", files.CertFile, files.KeyFile)
	more := fmt.Sprintf(`, tls: {%s, ca_file: %s}}
admin: {listen: %q, keys_file: %s, tls: {%s}}
callers: {listen: %q, require_tls: true, tls: {%s}`, pair, a.CAFile(), w["admin"], keyFile, pair, w["callers"], pair)
	settings := testSettings(t, "entry-1", w["peer"], more)
	settings.Platform.Table.Address = startTable(t)
	return settings, w
}

// startTable runs a table service without rows, which shows the proxy that the
// document of its settings is the newest.
func startTable(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := dbserver.New(dbserver.Config{ID: "table", Primary: true, Slots: 2, Connections: 100, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runProxy runs a proxy until the test ends.
func runProxy(t *testing.T, s *settings.Proxy) {
	t.Helper()
	s.Drain = settings.Drain{Timeout: time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, s) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// enter opens a connection as the way demands and returns the name on the
// listener's certificate. The client checks neither name nor time, so that a
// refusal is the listener's.
func (w ways) enter(t *testing.T, way string, client []tls.Certificate) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", w[way])
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return "", err
	}
	if way == "callers" {
		if err := requestTLS(conn); err != nil {
			return "", err
		}
	}
	secure := tls.Client(conn, &tls.Config{InsecureSkipVerify: true, Certificates: client})
	if err := secure.HandshakeContext(ctx); err != nil {
		return "", err
	}
	name := secure.ConnectionState().PeerCertificates[0].Subject.CommonName
	if way != "peer" {
		return name, nil
	}
	return name, awaitRefusal(secure)
}

// requestTLS asks a PostgreSQL listener for TLS.
func requestTLS(conn net.Conn) error {
	if _, err := conn.Write([]byte{0, 0, 0, 8, 4, 210, 22, 47}); err != nil {
		return err
	}
	answer := make([]byte, 1)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if answer[0] != 'S' {
		return fmt.Errorf("the listener answered %q", answer)
	}
	return nil
}

// quiet is the time in which a listener that takes a client says nothing.
const quiet = 300 * time.Millisecond

// awaitRefusal returns the alert with which a listener refuses a client's
// certificate, which under TLS 1.3 follows the client's end of the handshake.
func awaitRefusal(conn *tls.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(quiet)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

// eventually waits until every way shows what is wanted.
func (w ways) eventually(t *testing.T, what string, client []tls.Certificate, wanted func(name string, err error) bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for way := range w {
		for {
			name, err := w.enter(t, way, client)
			if wanted(name, err) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: in vain: %s; last %q, %v", way, what, name, err)
			}
			time.Sleep(lookTime)
		}
	}
}

func pairOf(t *testing.T, files settings.TLS) []tls.Certificate {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	return []tls.Certificate{pair}
}

func shows(want string) func(string, error) bool {
	return func(name string, err error) bool { return err == nil && name == want }
}

// TestListenersCloseWhenTheirCertificateExpires lets the certificate of a
// running proxy expire while the files hold a worse one, and renews it.
func TestListenersCloseWhenTheirCertificateExpires(t *testing.T) {
	a := tlstest.NewAuthority(t, t.TempDir())
	files := a.Valid("entry")
	client := pairOf(t, a.Valid("client"))
	s, w := secureSettings(t, a, files)
	runProxy(t, s)
	w.eventually(t, "open at the start", client, shows("entry"))

	taken := func() bool {
		end := time.Now().Add(shortLife)
		tlstest.Replace(t, files, a.Issue("short", time.Now().Add(-time.Hour), end))
		for way := range w {
			for name, err := w.enter(t, way, client); !shows("short")(name, err); name, err = w.enter(t, way, client) {
				if time.Now().After(end) {
					return false
				}
				time.Sleep(lookTime)
			}
		}
		return true
	}
	for tries := 1; !taken(); tries++ {
		if tries == 5 {
			t.Fatal("no certificate was taken up while it was valid")
		}
	}
	tlstest.Replace(t, files, a.Expired("expired"))
	refused := func(_ string, err error) bool { return err != nil }
	w.eventually(t, "closed after the expiry", client, refused)
	tlstest.Replace(t, files, a.Early("early"))
	time.Sleep(2 * time.Second) // the files are looked at once a second
	for way := range w {
		for range 3 {
			if name, err := w.enter(t, way, client); err == nil {
				t.Errorf("%s is open again with %q", way, name)
			}
		}
	}
	tlstest.Replace(t, files, a.Valid("renewed"))
	w.eventually(t, "open after the renewal", client, shows("renewed"))
}

// TestPeerListenerRefusesBadCertificates tries the certificates that a peer
// must not be let in with.
func TestPeerListenerRefusesBadCertificates(t *testing.T) {
	a, stranger := tlstest.NewAuthority(t, t.TempDir()), tlstest.NewAuthority(t, t.TempDir())
	s, w := secureSettings(t, a, a.Valid("entry"))
	runProxy(t, s)
	w.eventually(t, "open", pairOf(t, a.Valid("client")), shows("entry"))
	for name, client := range map[string][]tls.Certificate{
		"expired":         pairOf(t, a.Expired("late")),
		"not yet valid":   pairOf(t, a.Early("early")),
		"other authority": pairOf(t, stranger.Valid("client")),
		"none":            nil,
	} {
		if _, err := w.enter(t, "peer", client); err == nil {
			t.Errorf("a peer was let in with a certificate: %s", name)
		}
	}
}

// TestNothingStartsWithABadCertificate gives each listener a certificate
// outside of its time.
func TestNothingStartsWithABadCertificate(t *testing.T) {
	a := tlstest.NewAuthority(t, t.TempDir())
	good := a.Valid("entry")
	for name, bad := range map[string]settings.TLS{"expired": a.Expired("late"), "not yet valid": a.Early("early")} {
		for way, choose := range map[string]func(*settings.Proxy) *settings.TLS{
			"callers": func(s *settings.Proxy) *settings.TLS { return &s.Callers.TLS },
			"admin":   func(s *settings.Proxy) *settings.TLS { return &s.Admin.TLS },
			"peer":    func(s *settings.Proxy) *settings.TLS { return &s.Peer.TLS },
			"backend": func(s *settings.Proxy) *settings.TLS { return &s.Backend.TLS },
			"table":   func(s *settings.Proxy) *settings.TLS { return &s.Platform.Table.TLS },
			"objects": func(s *settings.Proxy) *settings.TLS { return &s.Platform.Objects.TLS },
		} {
			s, _ := secureSettings(t, a, good)
			*choose(s) = bad
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			if err := Run(ctx, s); !errors.Is(err, tlskeys.ErrExpired) {
				t.Fatalf("%s, %s: the proxy ended with %v", way, name, err)
			}
		}
	}
}
