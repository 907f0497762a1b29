package providerclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/httpvms"
	"github.com/rattancove/rattancove/internal/provider/pgtable"
	"github.com/rattancove/rattancove/internal/provider/s3objects"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

// Services holds clients of the platform's services. VMs is nil if the settings
// have no URL for the list of VMs.
type Services struct {
	Table   provider.Table
	Objects provider.ObjectStore
	VMs     provider.VMList

	table      *pgtable.Table
	transports []*http.Transport
}

// Open creates clients of all services. It does not connect, so that a process can
// start while the platform is unavailable.
func Open(config settings.Platform, log zerolog.Logger) (*Services, error) {
	services := &Services{}
	if err := services.open(config, log); err != nil {
		services.Close()
		return nil, err
	}
	return services, nil
}

func (s *Services) open(config settings.Platform, log zerolog.Logger) error {
	keys, err := loadTLSKeys(config.Table.TLS, log)
	if err != nil {
		return eris.Wrap(err, "platform.table.tls")
	}
	if s.table, err = pgtable.Open(config.Table, keys); err != nil {
		return err
	}
	s.Table = InstrumentTable(s.table, config.Timeout)
	transport, err := s.newTransport(config.Objects.TLS, log)
	if err != nil {
		return eris.Wrap(err, "platform.objects.tls")
	}
	objects, err := s3objects.Open(config.Objects, transport)
	if err != nil {
		return err
	}
	s.Objects = InstrumentObjectStore(objects, config.Timeout)
	return s.openVMs(config, log)
}

func (s *Services) openVMs(config settings.Platform, log zerolog.Logger) error {
	if config.VMs.URL == "" {
		return nil
	}
	transport, err := s.newTransport(config.VMs.TLS, log)
	if err != nil {
		return eris.Wrap(err, "platform.vms.tls")
	}
	s.VMs = InstrumentVMList(httpvms.Open(config.VMs.URL, transport), config.Timeout)
	return nil
}

// Close closes the table client and the idle HTTP connections.
func (s *Services) Close() {
	if s.table != nil {
		s.table.Close()
	}
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}

func loadTLSKeys(config settings.TLS, log zerolog.Logger) (*tlskeys.Keys, error) {
	if !config.Enabled() {
		return nil, nil
	}
	return tlskeys.Load(config, log)
}

// newTransport returns an HTTP transport that uses no HTTP proxy and picks up
// changed TLS keys.
func (s *Services) newTransport(config settings.TLS, log zerolog.Logger) (*http.Transport, error) {
	keys, err := loadTLSKeys(config, log)
	if err != nil {
		return nil, err
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	if keys != nil {
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, err
			}
			return (&tls.Dialer{Config: keys.Client(host)}).DialContext(ctx, network, address)
		}
	}
	s.transports = append(s.transports, t)
	return t, nil
}
