package settings

import "time"

// Proxy holds the settings of rattan-proxy.
type Proxy struct {
	Common  `yaml:",inline"`
	Callers Callers `yaml:"callers" envPrefix:"CALLERS_"`
	Drain   Drain   `yaml:"drain" envPrefix:"DRAIN_"`
	Policy  Policy  `yaml:"policy" envPrefix:"POLICY_"`
}

// Callers is the listener for PostgreSQL callers.
type Callers struct {
	Listen string `yaml:"listen" env:"LISTEN" validate:"required,ip_port"`
	// Max bounds the caller connections of this proxy.
	Max int `yaml:"max" env:"MAX" validate:"gte=1"`
	// StartupTimeout bounds the time from the connection until the caller is
	// authenticated.
	StartupTimeout time.Duration `yaml:"startup_timeout" env:"STARTUP_TIMEOUT" validate:"gt=0"`
	// RequireTLS refuses callers that do not ask for TLS.
	RequireTLS bool `yaml:"require_tls" env:"REQUIRE_TLS"`
	TLS        TLS  `yaml:"tls" envPrefix:"TLS_"`
}

// Drain sets the times of a planned stop.
type Drain struct {
	// ReadyDelay is the time from reporting not ready until the listener is closed.
	ReadyDelay time.Duration `yaml:"ready_delay" env:"READY_DELAY" validate:"gte=0"`
	// Timeout bounds the wait for requests in flight.
	Timeout time.Duration `yaml:"timeout" env:"TIMEOUT" validate:"gt=0"`
}

// Sharing is the policy of which proxies own the connections of a database group.
type Sharing string

// Sharing policies.
const (
	// SharingHome gives all connections of a group to its home proxy.
	SharingHome Sharing = "home"
	// SharingStatic splits the connections evenly between the proxies.
	SharingStatic Sharing = "static"
)

// Policy selects how proxies share the backend servers.
type Policy struct {
	Sharing Sharing `yaml:"sharing" env:"SHARING" validate:"oneof=home static"`
}

// Default settings of a proxy.
const (
	DefaultMaxCallers     = 10000
	DefaultStartupTimeout = 10 * time.Second
	DefaultReadyDelay     = 3 * time.Second
	DefaultDrainTimeout   = 30 * time.Second
)

// SetDefaults implements strictyaml.Defaulter.
func (p *Proxy) SetDefaults() {
	p.setDefaults()
	p.Callers.Max = DefaultMaxCallers
	p.Callers.StartupTimeout = DefaultStartupTimeout
	p.Drain = Drain{ReadyDelay: DefaultReadyDelay, Timeout: DefaultDrainTimeout}
	p.Policy.Sharing = SharingHome
}

// Warden holds the settings of rattan-warden.
type Warden struct {
	Common `yaml:",inline"`
}

// SetDefaults implements strictyaml.Defaulter.
func (w *Warden) SetDefaults() { w.setDefaults() }
