package integration

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
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.der = a.sign(t, template, template, a.key)
	var err error
	if a.certificate, err = x509.ParseCertificate(a.der); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(t *testing.T, template, parent *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

// issue writes ca.crt, NAME.crt and NAME.key into dir.
func (a *authority) issue(t *testing.T, dir, name string, notAfter time.Time) {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, "ca.crt"), "CERTIFICATE", a.der)
	writePEM(t, filepath.Join(dir, name+".crt"), "CERTIFICATE", a.sign(t, template, a.certificate, key))
	writePEM(t, filepath.Join(dir, name+".key"), "EC PRIVATE KEY", keyDER)
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
