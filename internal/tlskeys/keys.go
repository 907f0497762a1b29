package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/settings"
)

// ErrOutsideValidity reports a certificate that is outside of its validity period.
var ErrOutsideValidity = errors.New("certificate is expired or not yet valid")

// checkInterval is the shortest time between two checks of the files.
const checkInterval = time.Second

// Keys holds the keys of one listener or one kind of client connection. It is safe
// for concurrent use.
type Keys struct {
	files settings.TLS
	log   zerolog.Logger

	mu         sync.Mutex
	current    keyMaterial
	fileStamps [3]fileStamp
	lastCheck  time.Time
}

// keyMaterial is the loaded content of the files.
type keyMaterial struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// fileStamp is compared to detect that a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Load loads the files. It fails when they cannot be read or the certificate has
// expired or is not yet valid.
func Load(files settings.TLS, log zerolog.Logger) (*Keys, error) {
	stamps := readStamps(files)
	current, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	return &Keys{files: files, log: log, current: current, fileStamps: stamps, lastCheck: time.Now()}, nil
}

// Server returns a configuration for a listener. With mutual set, clients must have
// a certificate that is signed by the authorities.
func (k *Keys) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.serverConfig(mutual)
		},
	}
}

func (k *Keys) serverConfig(mutual bool) (*tls.Config, error) {
	m := k.reloadIfChanged()
	if m.certificate == nil {
		return nil, errors.New("no certificate for the listener")
	}
	if err := checkValidity(m.certificate); err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*m.certificate}}
	if mutual {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
		if m.authorities == nil {
			return nil, errors.New("no authorities for client certificates")
		}
	}
	return config, nil
}

// Client returns a configuration for one connection to serverName, a host name or an
// IP address. It must be called for each connection, so that changed files are
// reloaded.
func (k *Keys) Client(serverName string) *tls.Config {
	m := k.reloadIfChanged()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: m.authorities}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config
}

// reloadIfChanged reloads the files if they have changed and returns the keys in
// use.
func (k *Keys) reloadIfChanged() keyMaterial {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.lastCheck) < checkInterval {
		return k.current
	}
	k.lastCheck = now
	stamps := readStamps(k.files)
	if stamps == k.fileStamps {
		return k.current
	}
	k.fileStamps = stamps
	next, err := readFiles(k.files)
	if err != nil {
		eventReloadFailed.Log(&k.log).Err(err).Str("file", k.files.CertFile).Send()
		return k.current
	}
	k.current = next
	eventReloaded.Log(&k.log).Str("file", k.files.CertFile).Send()
	return k.current
}

func readFiles(files settings.TLS) (keyMaterial, error) {
	var m keyMaterial
	if files.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
		if err != nil {
			return keyMaterial{}, eris.Wrap(err, "load key pair")
		}
		if err := checkValidity(&pair); err != nil {
			return keyMaterial{}, err
		}
		m.certificate = &pair
	}
	if files.CAFile != "" {
		pem, err := os.ReadFile(files.CAFile)
		if err != nil {
			return keyMaterial{}, eris.Wrap(err, "read certificate authorities")
		}
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(pem) {
			return keyMaterial{}, fmt.Errorf("%s holds no certificate", files.CAFile)
		}
	}
	return m, nil
}

func checkValidity(pair *tls.Certificate) error {
	now := time.Now()
	if now.Before(pair.Leaf.NotBefore) || now.After(pair.Leaf.NotAfter) {
		return fmt.Errorf("%w: valid from %s to %s", ErrOutsideValidity,
			pair.Leaf.NotBefore.Format(time.RFC3339), pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	return nil
}

func readStamps(files settings.TLS) [3]fileStamp {
	var stamps [3]fileStamp
	for i, name := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}
