package process

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/connlimit"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/memory"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/provider/providerclient"
	"github.com/rattancove/rattancove/internal/rollout"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/telemetry"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

// flushTimeout bounds the export of the remaining spans at a stop.
const flushTimeout = 2 * time.Second

const (
	// maxMetricsConns bounds the connections to the metrics listener.
	maxMetricsConns = 64
	// maxStartingPeers bounds the connections on which no peer has sent a whole call. Peers
	// do so with the first bytes.
	maxStartingPeers = 256
)

// Process is the common part of a proxy or warden. Close releases its resources.
type Process struct {
	Settings  settings.Common
	Log       zerolog.Logger
	Platform  *providerclient.Services
	Store     *document.Store
	Members   *member.Membership
	Documents *rollout.Watcher
	// StatementPeers is used for statements, and for the cancel, release and group
	// status calls. ControlPeers is used for pings, probes and the other calls, so that
	// neither waits for connections of the other.
	StatementPeers *peer.Registry
	ControlPeers   *peer.Registry
	// Memory bounds what the process holds for the requests of peers.
	Memory *memory.Budget

	role        member.Role
	peerKeys    *tlskeys.Keys
	stopTracing func(context.Context) error
	// peerServer is nil until Run is called.
	peerServer atomic.Pointer[peer.Server]
}

// New builds a process. It opens no connections, so that a process can start while
// the platform is down.
func New(ctx context.Context, s settings.Common, role member.Role) (*Process, error) {
	name := "rattan-" + string(role)
	log, err := telemetry.NewLogger(telemetry.LogConfig{
		Level: s.Log.Level, Format: s.Log.Format, Process: name, ID: string(s.ID),
	}, os.Stderr)
	if err != nil {
		return nil, err
	}
	p := &Process{Settings: s, Log: log, role: role, Memory: memory.NewRuntimeBudget()}
	p.Memory.LogTo(&p.Log)
	if p.stopTracing, err = telemetry.StartTracing(ctx, telemetry.TraceConfig{
		Exporter: s.Trace.Exporter, Endpoint: s.Trace.Endpoint, Path: s.Trace.Path, Ratio: s.Trace.Ratio,
		Process: name, ID: string(s.ID),
	}); err != nil {
		return nil, err
	}
	if err := p.openPeerClients(); err != nil {
		return nil, err
	}
	if p.Platform, err = providerclient.Open(s.Platform, log); err != nil {
		return nil, err
	}
	p.Store = document.NewStore(p.Platform.Table, p.Platform.Objects)
	p.Members = member.New(p.memberConfig())
	p.Documents = rollout.NewWatcher(rollout.Config{
		Environment: s.Environment, Poll: s.Document.Poll, MaxProofAge: s.Document.MaxUnknownAge,
		Members: p.memberCount,
	}, p.Store, log)
	return p, p.installBootstrapDocument()
}

func (p *Process) openPeerClients() error {
	if !p.Settings.Peer.TLS.Enabled() {
		p.StatementPeers = peer.NewRegistry(peer.Dialer(nil))
		p.ControlPeers = peer.NewRegistry(peer.Dialer(nil))
		return nil
	}
	keys, err := tlskeys.Load(p.Settings.Peer.TLS, p.Log)
	if err != nil {
		return eris.Wrap(err, "peer.tls")
	}
	p.peerKeys = keys
	config := func() *tls.Config { return keys.Client("") }
	p.StatementPeers = peer.NewRegistry(peer.Dialer(config))
	p.ControlPeers = peer.NewRegistry(peer.Dialer(config))
	return nil
}

func (p *Process) memberConfig() member.Config {
	return member.Config{
		Self: member.Member{
			ID: string(p.Settings.ID), Role: p.role, Address: p.Settings.Peer.Address(),
			FailureDomain: p.Settings.FailureDomain, Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: p.Settings.Peer.Seeds, Pinger: pinger{p}, Table: p.Platform.Table, VMs: p.Platform.VMs,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: p.Log,
	}
}

func (p *Process) installBootstrapDocument() error {
	path := p.Settings.Document.BootstrapFile
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "document.bootstrap_file")
	}
	return eris.Wrapf(p.Documents.Bootstrap(data), "bootstrap document %s", path)
}

// Run serves the calls of peers with handlers, and runs the loops of the members
// and documents and the metrics listener until ctx ends. It sets Ping and Document
// of handlers.
func (p *Process) Run(ctx context.Context, handlers peer.Handlers) error {
	handlers.Ping = p.handlePing
	handlers.Document = p.handleDocument
	server, err := peer.NewServer(handlers, &p.Log)
	if err != nil {
		return err
	}
	p.peerServer.Store(server)
	listener, err := p.listenPeers()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.ServeWithin(ctx, listener, p.Memory, nil) })
	group.Go(func() error { return p.Members.Run(ctx) })
	group.Go(func() error { return p.Documents.Run(ctx) })
	group.Go(func() error { return p.announceDocuments(ctx) })
	group.Go(func() error { return p.closeUnusedClients(ctx) })
	if address := p.Settings.Metrics.Listen; address != "" {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen for metrics on %s", address)
		}
		l = connlimit.New(l, "metrics", func() int { return maxMetricsConns })
		group.Go(func() error { return telemetry.ServeHTTP(ctx, l, telemetry.MetricsHandler()) })
	}
	return group.Wait()
}

// DrainPeers waits until every request of a peer has ended here, or ctx ends.
func (p *Process) DrainPeers(ctx context.Context) error {
	server := p.peerServer.Load()
	if server == nil {
		return nil
	}
	return server.Drain(ctx)
}

func (p *Process) listenPeers() (net.Listener, error) {
	l, err := net.Listen("tcp", p.Settings.Peer.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", p.Settings.Peer.Listen)
	}
	l = connlimit.NewUnproven(l, "peers", maxStartingPeers)
	if p.peerKeys != nil {
		l = tls.NewListener(l, p.peerKeys.Server(true))
	}
	return l, nil
}

// Close flushes the traces and closes the clients, even when ctx has ended.
func (p *Process) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	p.StatementPeers.Close()
	p.ControlPeers.Close()
	p.Platform.Close()
	_ = p.stopTracing(ctx)
}

// closeUnusedClients closes the clients of addresses that are neither a seed nor the
// address of a member, at each change of the members.
func (p *Process) closeUnusedClients(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.Members.Changed():
		}
		keep := map[string]bool{}
		for _, seed := range p.Settings.Peer.Seeds {
			keep[seed] = true
		}
		for _, e := range p.Members.Snapshot().Entries() {
			keep[e.Member.Address] = true
		}
		p.StatementPeers.Retain(keep)
		p.ControlPeers.Retain(keep)
	}
}

// NotReadyReason returns why the process cannot do its work with the document that
// it has. It is empty when it can.
func (p *Process) NotReadyReason() string {
	switch {
	case p.Documents.Current() == nil:
		return "there is no environment document yet"
	case p.Documents.ProofExpired():
		return "a newer environment document cannot be ruled out"
	default:
		return ""
	}
}

// memberCount counts the members that are not leaving in a planned stop. Members
// that do not respond are counted, so that a partitioned minority does not count
// only itself.
func (p *Process) memberCount() int {
	count := 0
	for _, e := range p.Members.Snapshot().Entries() {
		if e.State != member.StateLeaving {
			count++
		}
	}
	return count
}

// aliveMembers returns the members of both roles that are alive.
func (p *Process) aliveMembers() []member.Member {
	s := p.Members.Snapshot()
	return append(s.Usable(member.RoleProxy), s.Usable(member.RoleWarden)...)
}
