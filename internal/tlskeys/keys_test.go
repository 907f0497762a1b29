package tlskeys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/settings"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write(t, "ca.crt", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// issue writes a certificate that ends at notAfter and returns its files.
func (a *authority) issue(t *testing.T, name string, notAfter time.Time) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{
		CertFile: a.write(t, name+".crt", "CERTIFICATE", der),
		KeyFile:  a.write(t, name+".key", "EC PRIVATE KEY", keyDER),
		CAFile:   filepath.Join(a.dir, "ca.crt"),
	}
}

func load(t *testing.T, files settings.TLS, log *bytes.Buffer) *Keys {
	t.Helper()
	k, err := Load(files, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake connects a client to a server over loopback and returns the
// server's certificate name or the first error of either side.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			result <- err
			return
		}
		defer conn.Close()
		result <- tls.Server(conn, server).HandshakeContext(t.Context())
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", errors.Join(err, <-result)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, <-result
}

func TestMutual(t *testing.T) {
	var log bytes.Buffer
	a, stranger := newAuthority(t), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	server := load(t, a.issue(t, "server", hour), &log).Server(true)
	known := load(t, a.issue(t, "client", hour), &log)
	if _, err := handshake(t, server, known.Client("127.0.0.1")); err != nil {
		t.Errorf("known client: %v", err)
	}
	files := stranger.issue(t, "client", hour)
	files.CAFile = filepath.Join(a.dir, "ca.crt")
	if _, err := handshake(t, server, load(t, files, &log).Client("127.0.0.1")); err == nil {
		t.Error("a client of another authority was let in")
	}
	noCertificate := load(t, settings.TLS{CAFile: files.CAFile}, &log)
	if _, err := handshake(t, server, noCertificate.Client("127.0.0.1")); err == nil {
		t.Error("a client without a certificate was let in")
	}
	if _, err := handshake(t, server, known.Client("127.0.0.2")); err == nil {
		t.Error("a client accepted a certificate for another address")
	}
}

func TestExpiredIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAuthority(t)
		_, err := Load(a.issue(t, "server", time.Now().Add(-time.Minute)), zerolog.Nop())
		if !errors.Is(err, ErrExpired) {
			t.Errorf("error is %v", err)
		}
		k := load(t, a.issue(t, "server", time.Now().Add(time.Minute)), &bytes.Buffer{})
		if _, err := k.serverConfig(false); err != nil {
			t.Errorf("a valid certificate: %v", err)
		}
		time.Sleep(2 * time.Minute)
		if _, err := k.serverConfig(false); !errors.Is(err, ErrExpired) {
			t.Errorf("a certificate that expired while in use: %v", err)
		}
	})
}

func TestChangedFilesAreTakenUp(t *testing.T) {
	var log bytes.Buffer
	a := newAuthority(t)
	hour := time.Now().Add(time.Hour)
	files := a.issue(t, "server", hour)
	k := load(t, files, &log)
	server, client := k.Server(false), load(t, settings.TLS{CAFile: files.CAFile}, &log)

	replace := a.issue(t, "replacement", hour)
	copyFile(t, replace.CertFile, files.CertFile)
	copyFile(t, replace.KeyFile, files.KeyFile)
	k.looked = time.Time{}
	if name, err := handshake(t, server, client.Client("127.0.0.1")); err != nil || name != "replacement" {
		t.Errorf("server presents %q, %v", name, err)
	}
	if err := os.WriteFile(files.KeyFile, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	k.looked = time.Time{}
	if name, err := handshake(t, server, client.Client("127.0.0.1")); err != nil || name != "replacement" {
		t.Errorf("after a broken file the server presents %q, %v", name, err)
	}
	if !strings.Contains(log.String(), "tls_keys_reload_failed") {
		t.Error("the broken file was not logged")
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
