package settings

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Common holds the settings that all programs of an entry VM share.
type Common struct {
	// ID identifies this process among its peers. It must be unique in the environment.
	ID cluster.ProxyID `yaml:"id" env:"ID" validate:"required,max=63"`
	// FailureDomain is the failure domain of this VM.
	FailureDomain string `yaml:"failure_domain" env:"FAILURE_DOMAIN" validate:"required,max=63"`
	// Environment names the environment document that this process follows.
	Environment string   `yaml:"environment" env:"ENVIRONMENT" validate:"required,max=63"`
	Log         Log      `yaml:"log" envPrefix:"LOG_"`
	Metrics     Metrics  `yaml:"metrics" envPrefix:"METRICS_"`
	Admin       Admin    `yaml:"admin" envPrefix:"ADMIN_"`
	Peer        Peer     `yaml:"peer" envPrefix:"PEER_"`
	Platform    Platform `yaml:"platform" envPrefix:"PLATFORM_"`
	Backend     Backend  `yaml:"backend" envPrefix:"BACKEND_"`
	Trace       Trace    `yaml:"trace" envPrefix:"TRACE_"`
	Document    Document `yaml:"document" envPrefix:"DOCUMENT_"`
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string `yaml:"level" env:"LEVEL" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" env:"FORMAT" validate:"oneof=json console"`
}

// Metrics is the HTTP listener for metrics. It is disabled when Listen is empty.
type Metrics struct {
	Listen string `yaml:"listen" env:"LISTEN" validate:"omitempty,ip_port"`
}

// Admin is the listener of the administration API. It is disabled when Listen is
// empty.
type Admin struct {
	Listen string `yaml:"listen" env:"LISTEN" validate:"omitempty,ip_port"`
	// KeysFile is the file with the hashed API keys and their rights.
	KeysFile string `yaml:"keys_file" env:"KEYS_FILE" validate:"required_with=Listen"`
	TLS      TLS    `yaml:"tls" envPrefix:"TLS_"`
}

// Peer holds the addresses by which this process and its peers connect to each
// other.
type Peer struct {
	Listen string `yaml:"listen" env:"LISTEN" validate:"required,ip_port"`
	// Advertise is the address that peers connect to. It defaults to Listen.
	Advertise string `yaml:"advertise" env:"ADVERTISE" validate:"omitempty,ip_port"`
	// Seeds are the addresses of the peers to contact first.
	Seeds []string `yaml:"seeds" env:"SEEDS" validate:"dive,ip_port"`
	// TLS enables mutual TLS between peers.
	TLS TLS `yaml:"tls" envPrefix:"TLS_"`
}

// Address returns the address that peers connect to.
func (p Peer) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// TLS holds the names of PEM files, which are reloaded when they change.
type TLS struct {
	CertFile string `yaml:"cert_file" env:"CERT_FILE" validate:"required_with=KeyFile"`
	KeyFile  string `yaml:"key_file" env:"KEY_FILE" validate:"required_with=CertFile"`
	// CAFile holds the certificate authorities that the certificate of the other side
	// must be signed by.
	CAFile string `yaml:"ca_file" env:"CA_FILE"`
}

// Enabled reports whether any file is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform holds the addresses of the platform's services.
type Platform struct {
	Table   Table   `yaml:"table" envPrefix:"TABLE_"`
	Objects Objects `yaml:"objects" envPrefix:"OBJECTS_"`
	VMs     VMs     `yaml:"vms" envPrefix:"VMS_"`
	// Timeout bounds each call.
	Timeout time.Duration `yaml:"timeout" env:"TIMEOUT" validate:"gt=0"`
}

// Table is the platform's table service: a DSN, or an address with a user.
type Table struct {
	DSN          Secret `yaml:"dsn" env:"DSN" validate:"required_without=Address"`
	Address      string `yaml:"address" env:"ADDRESS" validate:"omitempty,hostname_port"`
	User         string `yaml:"user" env:"USER" validate:"required_with=Address"`
	Database     string `yaml:"database" env:"DATABASE" validate:"required_with=Address"`
	PasswordFile string `yaml:"password_file" env:"PASSWORD_FILE"`
	Password     Secret `yaml:"-" env:"PASSWORD"`
	TLS          TLS    `yaml:"tls" envPrefix:"TLS_"`
}

// Objects is the platform's object store.
type Objects struct {
	// Endpoint is a host and a port without a scheme.
	Endpoint string `yaml:"endpoint" env:"ENDPOINT" validate:"required,hostname_port"`
	Bucket   string `yaml:"bucket" env:"BUCKET" validate:"required,min=3,max=63"`
	Region   string `yaml:"region" env:"REGION"`
	// KeyFile holds the access key on its first line and the secret key on its second.
	KeyFile   string `yaml:"key_file" env:"KEY_FILE"`
	AccessKey Secret `yaml:"-" env:"ACCESS_KEY"`
	SecretKey Secret `yaml:"-" env:"SECRET_KEY"`
	TLS       TLS    `yaml:"tls" envPrefix:"TLS_"`
}

// VMs is the platform's list of VMs. It is not queried when URL is empty.
type VMs struct {
	URL string `yaml:"url" env:"URL" validate:"omitempty,url"`
	TLS TLS    `yaml:"tls" envPrefix:"TLS_"`
}

// Backend holds the settings of connections to backend servers.
type Backend struct {
	ConnectTimeout time.Duration `yaml:"connect_timeout" env:"CONNECT_TIMEOUT" validate:"gt=0"`
	User           string        `yaml:"user" env:"USER" validate:"required"`
	PasswordFile   string        `yaml:"password_file" env:"PASSWORD_FILE"`
	Password       Secret        `yaml:"-" env:"PASSWORD"`
	TLS            TLS           `yaml:"tls" envPrefix:"TLS_"`
}

// Trace sets where spans are exported to.
type Trace struct {
	Exporter string `yaml:"exporter" env:"EXPORTER" validate:"oneof=off otlp file"`
	// Endpoint is the URL of an OTLP collector.
	Endpoint string `yaml:"endpoint" env:"ENDPOINT" validate:"required_if=Exporter otlp,omitempty,url"`
	// Path is the file that spans are appended to.
	Path string `yaml:"path" env:"PATH" validate:"required_if=Exporter file"`
	// Ratio is the share of requests that are traced, from 0 to 1.
	Ratio float64 `yaml:"ratio" env:"RATIO" validate:"gte=0,lte=1"`
}

// Document sets how the process follows the environment document.
type Document struct {
	// Poll is the mean interval between reads of the platform's table service.
	Poll time.Duration `yaml:"poll" env:"POLL" validate:"gt=0"`
	// MaxUnknownAge is how long a proxy accepts new callers without proof that it has
	// the newest document.
	MaxUnknownAge time.Duration `yaml:"max_unknown_age" env:"MAX_UNKNOWN_AGE" validate:"gt=0"`
	// BootstrapFile is a document that is used as revision zero until a newer one is
	// known.
	BootstrapFile string `yaml:"bootstrap_file" env:"BOOTSTRAP_FILE"`
}

// Default settings.
const (
	DefaultPlatformTimeout       = 2 * time.Second
	DefaultConnectTimeout        = time.Second
	DefaultDocumentPoll          = 2 * time.Second
	DefaultDocumentMaxUnknownAge = 5 * time.Minute
)

func (c *Common) setDefaults() {
	c.Log = Log{Level: "info", Format: "json"}
	c.Platform.Timeout = DefaultPlatformTimeout
	c.Backend.ConnectTimeout = DefaultConnectTimeout
	c.Backend.User = "rattancove"
	c.Trace = Trace{Exporter: "off", Ratio: 1}
	c.Document.Poll = DefaultDocumentPoll
	c.Document.MaxUnknownAge = DefaultDocumentMaxUnknownAge
}
