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
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/succession"
)

// Config holds the settings of a process.
type Config struct {
	ID            cluster.ProxyID
	FailureDomain string
	// CallersListen, ReadyListen, PeerListen and MetricsListen are addresses of
	// this VM. There are no metrics when MetricsListen is empty.
	CallersListen string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// PeerAdvertise is the address by which other processes reach PeerListen, where
	// that is another one; empty if not.
	PeerAdvertise string
	// Seeds are the peer addresses of some other processes, which may be down.
	Seeds         []string
	StoreAddress  string
	PromotionAddr string
	// MemoryLimit is the memory in bytes above which the process is killed.
	MemoryLimit int64
	// MaxDescriptors is the number of open files and sockets that the process may have.
	MaxDescriptors int
	// StopTime is the time from a request to stop until the process is killed.
	StopTime time.Duration
	LogLevel string
}

// CallerConn is an accepted connection of a caller.
type CallerConn interface {
	caller.Wire
	// Startup reads the database that the caller wants.
	Startup(deadline time.Time) (string, error)
	Accept() error
	Refuse(e *errcode.Error) error
}

// Adapters connect the process to the outside.
type Adapters struct {
	Listen   func(ctx context.Context, address string) (net.Listener, error)
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Caller   func(conn net.Conn) CallerConn
	Servers  backend.Dialer
	Control  succession.Dialer
	Source   catalog.Source
	Table    provider.Table
	Promoter succession.Promoter
}
