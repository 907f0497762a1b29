// Package tlstest issues certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/settings"
)

// caFile is the name of the file with the authority's certificate.
const caFile = "ca.crt"

// Authority issues certificates for 127.0.0.1 into a directory. Its methods fail the
// test on errors.
type Authority struct {
	t           testing.TB
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority returns an authority that is valid from one hour ago until an hour
// from now. It writes its certificate into dir.
func NewAuthority(t testing.TB, dir string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: dir, key: newKey(t), serial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := a.sign(template, template, a.key)
	var err error
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write(caFile, "CERTIFICATE", der)
	return a
}

// Pool returns a pool with the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// CAFile returns the path of the file with the authority's certificate.
func (a *Authority) CAFile() string { return filepath.Join(a.dir, caFile) }

// Issue writes a certificate with a validity period to NAME.crt and its key to
// NAME.key, with name as the common name. It returns the paths, with that of the
// authority's certificate.
func (a *Authority) Issue(name string, notBefore, notAfter time.Time) settings.TLS {
	a.t.Helper()
	key := newKey(a.t)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: notBefore, NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return settings.TLS{
		CertFile: a.write(name+".crt", "CERTIFICATE", a.sign(template, a.certificate, key)),
		KeyFile:  a.write(name+".key", "EC PRIVATE KEY", keyDER),
		CAFile:   a.CAFile(),
	}
}

// Valid issues a certificate that is valid from one hour ago until an hour from now.
func (a *Authority) Valid(name string) settings.TLS {
	return a.Issue(name, time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
}

// Expired issues a certificate that expired a minute ago.
func (a *Authority) Expired(name string) settings.TLS {
	return a.Issue(name, time.Now().Add(-time.Hour), time.Now().Add(-time.Minute))
}

// NotYetValid issues a certificate that becomes valid in half an hour.
func (a *Authority) NotYetValid(name string) settings.TLS {
	return a.Issue(name, time.Now().Add(30*time.Minute), time.Now().Add(time.Hour))
}

// Replace overwrites the certificate and the key of to with those of from.
func Replace(t testing.TB, to, from settings.TLS) {
	t.Helper()
	for target, source := range map[string]string{to.CertFile: from.CertFile, to.KeyFile: from.KeyFile} {
		data, err := os.ReadFile(source)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(target, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *Authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *Authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}
