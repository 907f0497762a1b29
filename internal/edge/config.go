package edge

import (
	"context"
	"net"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/caller"
	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/memory"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/quota"
	"github.com/rattancove/rattancove/internal/succession"
)

// Config holds the settings of the process of an entry VM.
type Config struct {
	ID            cluster.ProxyID
	FailureDomain string
	// CallersListen, ReadyListen, PeerListen and MetricsListen are the listen
	// addresses. An empty MetricsListen disables the metrics listener.
	CallersListen string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// PeerAdvertise is the address at which other processes reach this one; empty
	// when it is PeerListen.
	PeerAdvertise string
	// Seeds are the peer addresses of some other processes, any of which may be down.
	Seeds         []string
	StoreAddress  string
	PromotionAddr string
	// MemoryLimit is the memory in bytes above which the process is killed.
	MemoryLimit int64
	// MaxDescriptors is the limit on open files and sockets of the process.
	MaxDescriptors int
	// CPUShare is the processor share of the VM, of a core, and LinkMbps the speed of its
	// network link; zero if they are not known.
	CPUShare float64
	LinkMbps float64
	// StopTime is the time between a stop request and the kill of the process.
	StopTime time.Duration
	// RevocationTime is the time after the acknowledgement of a configuration within
	// which a withdrawn API key must stop working in every process, also in those that
	// cannot reach the store; zero if only the bound of configurations applies.
	RevocationTime time.Duration
	// Quota holds the bounds of the quotas of organisations.
	Quota    quota.Bounds
	LogLevel string
}

// capacity returns the limits of the VM, which give its weight for the assignment of homes.
func (c *Config) capacity() member.Capacity {
	return member.Capacity{CPUShare: c.CPUShare, LinkMbps: c.LinkMbps, RAMBytes: c.MemoryLimit}
}

// CallerConn is an accepted caller connection.
type CallerConn interface {
	caller.Conn
	// Startup reads the start-up message and returns the requested database and the
	// digest of the API key.
	Startup(deadline time.Time) (database string, key catalog.KeyDigest, err error)
	// Accept and Refuse answer the start-up message.
	Accept() error
	Refuse(e *errcode.Error) error
	// Release returns the memory that the connection holds.
	Release()
}

// Adapters are the protocol implementations through which the process reaches
// callers, peers, backend servers and the platform.
type Adapters struct {
	Listen   func(ctx context.Context, address string) (net.Listener, error)
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Caller   func(conn net.Conn) CallerConn
	Servers  backend.Dialer
	Control  succession.Dialer
	Source   catalog.Source
	Table    provider.Table
	Promoter succession.Promoter
	// Memory bounds what the process holds for its clients; nil if there is no bound.
	Memory *memory.Budget
}
