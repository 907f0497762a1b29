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
	// testTimeout bounds every wait of the tests with certificates.
	testTimeout = 20 * time.Second
	// shortValidity is the validity of a certificate that expires while in use.
	shortValidity = 4 * time.Second
	retryInterval = 50 * time.Millisecond
)

// listeners holds the addresses of a proxy's listeners by name.
type listeners map[string]string

// secureSettings returns settings with three listeners that use the same certificate.
func secureSettings(t *testing.T, a *tlstest.Authority, files settings.TLS) (*settings.Proxy, listeners) {
	t.Helper()
	addresses := listeners{"callers": freeAddress(t), "admin": freeAddress(t), "peer": freeAddress(t)}
	keyFile := filepath.Join(t.TempDir(), "keys.yaml")
	writeFile(t, keyFile, "keys: [{name: ops, sha256: "+admin.HashKey("x")+", rights: [admin]}]")
	pair := fmt.Sprintf("cert_file: %s, key_file: %s", files.CertFile, files.KeyFile)
	more := fmt.Sprintf(`, tls: {%s, ca_file: %s}}
admin: {listen: %q, keys_file: %s, tls: {%s}}
callers: {listen: %q, require_tls: true, tls: {%s}`, pair, a.CAFile(), addresses["admin"], keyFile, pair, addresses["callers"], pair)
	settings := testSettings(t, "entry-1", addresses["peer"], more)
	settings.Platform.Table.Address = startTable(t)
	return settings, addresses
}

// startTable runs an empty table service, from which the proxy sees that its
// bootstrap document is the newest.
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

// connect completes a TLS handshake with a listener and returns the common name of
// the listener's certificate. The client verifies neither name nor validity, so that
// every refusal comes from the listener.
func (l listeners) connect(t *testing.T, listener string, client []tls.Certificate) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l[listener])
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return "", err
	}
	if listener == "callers" {
		if err := requestTLS(conn); err != nil {
			return "", err
		}
	}
	secure := tls.Client(conn, &tls.Config{InsecureSkipVerify: true, Certificates: client})
	if err := secure.HandshakeContext(ctx); err != nil {
		return "", err
	}
	name := secure.ConnectionState().PeerCertificates[0].Subject.CommonName
	if listener != "peer" {
		return name, nil
	}
	return name, awaitRefusal(secure)
}

// requestTLS sends a PostgreSQL SSLRequest and checks that the listener accepts it.
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

// alertWait is how long a client waits for an alert before it counts as accepted.
const alertWait = 300 * time.Millisecond

// awaitRefusal returns the alert with which a listener refuses a client certificate.
// Under TLS 1.3 the alert arrives after the client has completed the handshake.
func awaitRefusal(conn *tls.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(alertWait)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

// eventually retries until ok accepts the result of connect for every listener.
func (l listeners) eventually(t *testing.T, what string, client []tls.Certificate, ok func(name string, err error) bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for listener := range l {
		for {
			name, err := l.connect(t, listener, client)
			if ok(name, err) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: timed out waiting for: %s; last %q, %v", listener, what, name, err)
			}
			time.Sleep(retryInterval)
		}
	}
}

func loadKeyPair(t *testing.T, files settings.TLS) []tls.Certificate {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	return []tls.Certificate{pair}
}

func presents(want string) func(string, error) bool {
	return func(name string, err error) bool { return err == nil && name == want }
}

// TestListenersCloseWhenTheirCertificateExpires lets the certificate of a running
// proxy expire while the files hold one that is expired or not yet valid, and then
// renews it. Listeners must refuse connections in between.
func TestListenersCloseWhenTheirCertificateExpires(t *testing.T) {
	a := tlstest.NewAuthority(t, t.TempDir())
	files := a.Valid("entry")
	client := loadKeyPair(t, a.Valid("client"))
	s, addresses := secureSettings(t, a, files)
	runProxy(t, s)
	addresses.eventually(t, "open at the start", client, presents("entry"))

	loaded := func() bool {
		end := time.Now().Add(shortValidity)
		tlstest.Replace(t, files, a.Issue("short", time.Now().Add(-time.Hour), end))
		for listener := range addresses {
			for name, err := addresses.connect(t, listener, client); !presents("short")(name, err); name, err = addresses.connect(t, listener, client) {
				if time.Now().After(end) {
					return false
				}
				time.Sleep(retryInterval)
			}
		}
		return true
	}
	for tries := 1; !loaded(); tries++ {
		if tries == 5 {
			t.Fatal("no certificate was loaded while it was valid")
		}
	}
	tlstest.Replace(t, files, a.Expired("expired"))
	refused := func(_ string, err error) bool { return err != nil }
	addresses.eventually(t, "closed after the expiry", client, refused)
	tlstest.Replace(t, files, a.NotYetValid("early"))
	time.Sleep(2 * time.Second) // the files are checked once a second
	for listener := range addresses {
		for range 3 {
			if name, err := addresses.connect(t, listener, client); err == nil {
				t.Errorf("%s is open again with %q", listener, name)
			}
		}
	}
	tlstest.Replace(t, files, a.Valid("renewed"))
	addresses.eventually(t, "open after the renewal", client, presents("renewed"))
}

// TestPeerListenerRefusesBadCertificates connects with certificates that the peer
// listener must refuse.
func TestPeerListenerRefusesBadCertificates(t *testing.T) {
	a, otherAuthority := tlstest.NewAuthority(t, t.TempDir()), tlstest.NewAuthority(t, t.TempDir())
	s, addresses := secureSettings(t, a, a.Valid("entry"))
	runProxy(t, s)
	addresses.eventually(t, "open", loadKeyPair(t, a.Valid("client")), presents("entry"))
	for name, client := range map[string][]tls.Certificate{
		"expired":         loadKeyPair(t, a.Expired("late")),
		"not yet valid":   loadKeyPair(t, a.NotYetValid("early")),
		"other authority": loadKeyPair(t, otherAuthority.Valid("client")),
		"none":            nil,
	} {
		if _, err := addresses.connect(t, "peer", client); err == nil {
			t.Errorf("a peer was accepted with a bad certificate: %s", name)
		}
	}
}

// TestNothingStartsWithABadCertificate checks that the proxy does not start when any
// of its certificates is expired or not yet valid.
func TestNothingStartsWithABadCertificate(t *testing.T) {
	a := tlstest.NewAuthority(t, t.TempDir())
	good := a.Valid("entry")
	for name, bad := range map[string]settings.TLS{"expired": a.Expired("late"), "not yet valid": a.NotYetValid("early")} {
		for use, choose := range map[string]func(*settings.Proxy) *settings.TLS{
			"callers": func(s *settings.Proxy) *settings.TLS { return &s.Callers.TLS },
			"admin":   func(s *settings.Proxy) *settings.TLS { return &s.Admin.TLS },
			"peer":    func(s *settings.Proxy) *settings.TLS { return &s.Peer.TLS },
			"backend": func(s *settings.Proxy) *settings.TLS { return &s.Backend.TLS },
			"table":   func(s *settings.Proxy) *settings.TLS { return &s.Platform.Table.TLS },
			"objects": func(s *settings.Proxy) *settings.TLS { return &s.Platform.Objects.TLS },
		} {
			s, _ := secureSettings(t, a, good)
			*choose(s) = bad
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if err := Run(ctx, s); !errors.Is(err, tlskeys.ErrOutsideValidity) {
				t.Fatalf("%s, %s: the proxy ended with %v", use, name, err)
			}
		}
	}
}
