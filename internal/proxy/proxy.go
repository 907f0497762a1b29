package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/gateway"
	"github.com/rattancove/rattancove/internal/home"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/process"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/tlskeys"
	"github.com/rattancove/rattancove/internal/warden"
)

// staticProxies is the number of proxies that share the servers under the
// static policy.
const staticProxies = 8

// cancelTimeout bounds the forwarding of a cancel request.
const cancelTimeout = time.Second

// Proxy is a running rattan-proxy.
type Proxy struct {
	settings      *settings.Proxy
	process       *process.Process
	dialer        backend.Dialer
	home          *home.Home
	gateway       *gateway.Gateway
	front         *front.Server
	proxyContexts *gateway.ProxyContexts
	// misplacedSince holds the owned groups whose home should be another proxy, and
	// since when.
	misplacedSince map[cluster.GroupName]time.Time
	// failovers are the records that wardens keep.
	failovers *failover.RecordStore
	// draining is set when a planned stop begins.
	draining atomic.Bool
}

// Run runs a proxy until ctx ends and then shuts it down gracefully; see drain.
// The connections to backend servers and peers are closed last.
func Run(ctx context.Context, s *settings.Proxy) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p, err := assemble(runCtx, s)
	if err != nil {
		return err
	}
	defer p.process.Close(runCtx)
	listener, err := net.Listen("tcp", s.Callers.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", s.Callers.Listen)
	}
	serveAdmin, err := admin.Open(s.Admin, p.adminConfig())
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return p.process.Run(groupCtx, p.handlers()) })
	group.Go(func() error { return p.front.Serve(groupCtx, listener) })
	group.Go(func() error { return p.reconcileHomes(groupCtx) })
	group.Go(func() error { return serveAdmin(groupCtx) })
	eventStarted.Log(&p.process.Log).Str("callers", s.Callers.Listen).Str("peers", s.Peer.Listen).Send()
	select {
	case <-ctx.Done():
		p.drain(runCtx)
	case <-groupCtx.Done():
	}
	stop()
	err = group.Wait()
	eventStopped.Log(&p.process.Log).Send()
	if eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func assemble(ctx context.Context, s *settings.Proxy) (*Proxy, error) {
	common, err := process.New(ctx, s.Common, member.RoleProxy)
	if err != nil {
		return nil, err
	}
	p := &Proxy{settings: s, process: common, misplacedSince: map[cluster.GroupName]time.Time{}, proxyContexts: gateway.NewProxyContexts(member.StateDead)}
	p.failovers = failover.NewRecordStore(common.Platform.Table)
	if p.dialer, err = common.Dialer(); err != nil {
		return nil, err
	}
	p.home = home.New(p.homeConfig(), p.dialer)
	p.gateway = gateway.New(gateway.Config{Self: s.ID, Local: p.home, HomeLocator: p.homeLocator(), Log: &p.process.Log})
	config, err := p.frontConfig()
	if err != nil {
		return nil, err
	}
	p.front = front.New(config, p.gateway, directory{common.Documents})
	return p, nil
}

func (p *Proxy) homeConfig() home.Config {
	config := home.Config{ID: p.settings.ID, Log: &p.process.Log, Handoff: p.requestRelease, RequestBytes: p.process.Memory.RequestBytes}
	if p.settings.Policy.Sharing == settings.SharingStatic {
		config.Policy = rank.PolicyStatic
		config.Proxies = staticProxies
	}
	return config
}

func (p *Proxy) frontConfig() (front.Config, error) {
	config := front.Config{
		Proxy: p.settings.ID, RequireTLS: p.settings.Callers.RequireTLS,
		StartupTimeout: p.settings.Callers.StartupTimeout, Logger: p.process.Log, ForwardCancel: p.forwardCancel,
		Admit: p.admit, MaxBufferBytes: p.process.Memory.BufferBytes(front.DefaultMaxBufferBytes),
		MaxPreparedBytes: p.process.Memory.PreparedBytes(front.DefaultMaxPreparedBytes),
	}
	if !p.settings.Callers.TLS.Enabled() {
		return config, nil
	}
	keys, err := tlskeys.Load(p.settings.Callers.TLS, p.process.Log)
	if err != nil {
		return config, eris.Wrap(err, "callers.tls")
	}
	config.TLSConfig = func() *tls.Config { return keys.Server(false) }
	return config, nil
}

// admit refuses new callers while the proxy has no document, or has been unable for
// too long to check that its document is the newest.
func (p *Proxy) admit() error {
	if p.process.Documents.ProofExpired() {
		return errcode.New(errcode.OldDocument, "admit caller", string(p.settings.ID))
	}
	return nil
}

func (p *Proxy) handlers() peer.Handlers {
	return peer.Handlers{
		Runner: p.gateway, Probe: warden.ProbeHandler(p.dialer), Cancel: p.handleCancel, Release: p.home.Release,
		GroupStatus: p.handleGroupStatus, Explain: p.handleExplain,
	}
}

// requestRelease asks another proxy to drain and release a group that this one takes
// over. It does nothing if that proxy is not known to be up.
func (p *Proxy) requestRelease(ctx context.Context, holder cluster.ProxyID, group cluster.GroupName) error {
	e, ok := p.process.Members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(holder)})
	if !ok || (e.State != member.StateAlive && e.State != member.StateLeaving) {
		return nil
	}
	return p.process.StatementPeers.Client(e.Member.Address).Release(ctx, group)
}

func (p *Proxy) handleCancel(_ context.Context, in *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	key := front.CancelKey{ProcessID: in.GetProcess()}
	copy(key.Secret[:], in.GetSecret())
	p.front.Cancel(key)
	return &peerpb.CancelReply{}, nil
}

// forwardCancel forwards a cancel request to every other proxy, because any of them
// may have issued the key.
func (p *Proxy) forwardCancel(ctx context.Context, key front.CancelKey) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var group errgroup.Group
	for _, m := range p.process.Members.Snapshot().Usable(member.RoleProxy) {
		if m.ID == string(p.settings.ID) {
			continue
		}
		group.Go(func() error {
			return p.process.StatementPeers.Client(m.Address).Cancel(ctx, &peerpb.CancelRequest{Process: key.ProcessID, Secret: key.Secret[:]})
		})
	}
	_ = group.Wait()
}

// drain shuts the proxy down gracefully. It reports not ready and announces that it
// leaves, so that other proxies request its groups from then on. After the configured
// ReadyDelay, in which the load balancer stops sending callers, it drains its callers,
// releases the groups that it still owns and finally drains requests of peers.
func (p *Proxy) drain(ctx context.Context) {
	eventDraining.Log(&p.process.Log).Send()
	p.draining.Store(true)
	p.process.Members.Leave()
	p.process.Announce(ctx)
	delay.Sleep(ctx, p.settings.Drain.ReadyDelay)
	limited, cancel := context.WithTimeout(ctx, p.settings.Drain.Timeout)
	defer cancel()
	if err := p.front.Drain(limited); err != nil {
		eventDrainDeadlinePassed.Log(&p.process.Log).Err(err).Send()
	}
	p.home.Close(limited)
	if err := p.process.DrainPeers(limited); err != nil {
		eventDrainDeadlinePassed.Log(&p.process.Log).Err(err).Send()
	}
}

// groups returns the names of the groups in the document in force.
func (p *Proxy) groups() []cluster.GroupName {
	current := p.process.Documents.Current()
	if current == nil {
		return nil
	}
	var names []cluster.GroupName
	for _, g := range current.Document.Groups {
		names = append(names, g.Name)
	}
	return names
}
