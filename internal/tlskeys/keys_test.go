package tlskeys

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/tlskeys/tlstest"
)

func mustLoad(t *testing.T, files settings.TLS, log *bytes.Buffer) *Keys {
	t.Helper()
	k, err := Load(files, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake connects a client to a server over loopback. It returns the common name
// of the server's certificate and the errors of both sides.
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

func TestMutualTLS(t *testing.T) {
	var log bytes.Buffer
	authority, otherAuthority := tlstest.NewAuthority(t, t.TempDir()), tlstest.NewAuthority(t, t.TempDir())
	server := mustLoad(t, authority.Valid("server"), &log).Server(true)
	known := mustLoad(t, authority.Valid("client"), &log)
	if _, err := handshake(t, server, known.Client("127.0.0.1")); err != nil {
		t.Errorf("known client: %v", err)
	}
	files := otherAuthority.Valid("client")
	files.CAFile = authority.CAFile()
	if _, err := handshake(t, server, mustLoad(t, files, &log).Client("127.0.0.1")); err == nil {
		t.Error("a client with a certificate of another authority was accepted")
	}
	noCertificate := mustLoad(t, settings.TLS{CAFile: files.CAFile}, &log)
	if _, err := handshake(t, server, noCertificate.Client("127.0.0.1")); err == nil {
		t.Error("a client without a certificate was accepted")
	}
	if _, err := handshake(t, server, known.Client("127.0.0.2")); err == nil {
		t.Error("a client accepted a certificate for another address")
	}
}

func TestCertificateOutsideItsValidityIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		authority := tlstest.NewAuthority(t, t.TempDir())
		for _, files := range []settings.TLS{authority.Expired("expired"), authority.NotYetValid("early")} {
			if _, err := Load(files, zerolog.Nop()); !errors.Is(err, ErrOutsideValidity) {
				t.Errorf("%s: error is %v", files.CertFile, err)
			}
		}
		k := mustLoad(t, authority.Issue("server", time.Now().Add(-time.Hour), time.Now().Add(time.Minute)), &bytes.Buffer{})
		if _, err := k.serverConfig(false); err != nil {
			t.Errorf("a valid certificate: %v", err)
		}
		time.Sleep(2 * time.Minute)
		if _, err := k.serverConfig(false); !errors.Is(err, ErrOutsideValidity) {
			t.Errorf("a certificate that expired while in use: %v", err)
		}
	})
}

func TestChangedFilesAreReloaded(t *testing.T) {
	var log bytes.Buffer
	authority := tlstest.NewAuthority(t, t.TempDir())
	files := authority.Valid("server")
	k := mustLoad(t, files, &log)
	server, client := k.Server(false), mustLoad(t, settings.TLS{CAFile: files.CAFile}, &log)

	tlstest.Replace(t, files, authority.Valid("replacement"))
	k.lastCheck = time.Time{}
	if name, err := handshake(t, server, client.Client("127.0.0.1")); err != nil || name != "replacement" {
		t.Errorf("server presents %q, %v", name, err)
	}
	if err := os.WriteFile(files.KeyFile, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	k.lastCheck = time.Time{}
	if name, err := handshake(t, server, client.Client("127.0.0.1")); err != nil || name != "replacement" {
		t.Errorf("after a broken file the server presents %q, %v", name, err)
	}
	if !strings.Contains(log.String(), "tls_keys_reload_failed") {
		t.Error("the broken file was not logged")
	}
}

// TestReloadAroundExpiry replaces the files of a certificate in use with ones that
// are expired or not yet valid, lets the one in use expire, and renews it.
func TestReloadAroundExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		authority := tlstest.NewAuthority(t, t.TempDir())
		files := authority.Issue("server", time.Now().Add(-time.Hour), time.Now().Add(time.Minute))
		k := mustLoad(t, files, &log)
		servedName := func() string {
			config, err := k.serverConfig(true)
			if err != nil {
				return err.Error()
			}
			return config.Certificates[0].Leaf.Subject.CommonName
		}
		for _, bad := range []settings.TLS{authority.Expired("expired"), authority.NotYetValid("early")} {
			time.Sleep(2 * checkInterval)
			tlstest.Replace(t, files, bad)
			if got := servedName(); got != "server" {
				t.Errorf("after %s replaced the file the listener serves %q", bad.CertFile, got)
			}
		}
		if failed := strings.Count(log.String(), "tls_keys_reload_failed"); failed != 2 {
			t.Errorf("%d failures were logged, want 2", failed)
		}
		time.Sleep(2 * time.Minute)
		if _, err := k.serverConfig(true); !errors.Is(err, ErrOutsideValidity) {
			t.Errorf("after the expiry: %v", err)
		}
		time.Sleep(2 * checkInterval)
		tlstest.Replace(t, files, authority.Issue("renewed", time.Now().Add(-time.Minute), time.Now().Add(time.Minute)))
		if got := servedName(); got != "renewed" {
			t.Errorf("after the renewal the listener serves %q", got)
		}
	})
}
