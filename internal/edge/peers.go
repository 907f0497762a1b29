package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/warden"
)

const (
	// catalogName identifies the catalog among the documents that peers exchange. In
	// a document version of the catalog, the revision is the version of the
	// configuration, and the digest is the number of the store's version of the newest
	// known change of the servers, in decimal, in the era of the document version.
	catalogName = "catalog"
	// announceTimeout bounds one announcement to a peer.
	announceTimeout = 500 * time.Millisecond
	// fetchTimeout bounds the transfer of a catalog from a peer.
	fetchTimeout = time.Second
	// maxCatalogWait bounds a peer's long poll for catalog changes.
	maxCatalogWait = 5 * time.Second
	// delegatesPerDomain is the number of processes per failure domain that follow
	// the store on behalf of the others there. It is two so that one may fail.
	delegatesPerDomain = 2
)

func (e *Edge) handlers() peer.Handlers {
	return peer.Handlers{
		Runner: e.home, Ping: e.handlePing, Document: e.handleCatalog, Probe: warden.ProbeHandler(e.adapters.Servers),
		Release: e.home.Release, Grant: e.handleGrant, Revoke: e.handleRevoke,
	}
}

// pinger implements member.Pinger. Pings also exchange the catalog versions.
type pinger struct{ edge *Edge }

// Ping implements member.Pinger.
func (p pinger) Ping(ctx context.Context, address string, message member.PingMessage) (member.PingMessage, error) {
	sent := p.edge.access.clock()
	reply, err := p.edge.controlPeers.Client(address).Ping(ctx, &peerpb.PingRequest{
		From: peer.ReportToProto(message.From), Members: peer.ReportsToProto(message.Members), Documents: p.edge.catalogVersions(),
		Promotion: p.edge.leaseHint(),
	})
	if err != nil {
		return member.PingMessage{}, err
	}
	p.edge.learnLease(reply.GetPromotion())
	p.edge.confirmFrom(reply.GetDocuments(), sent)
	p.edge.fetchIfNewer(address, reply.GetDocuments())
	return member.PingMessage{From: peer.ReportFromProto(reply.GetFrom()), Members: peer.ReportsFromProto(reply.GetMembers())}, nil
}

func (e *Edge) handlePing(ctx context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	if err := ctx.Err(); err != nil {
		return nil, err // the sender has given up, as many do while a large fleet starts
	}
	e.fetchIfNewer(in.GetFrom().GetAddress(), in.GetDocuments())
	e.learnLease(in.GetPromotion())
	reply := e.members.HandlePing(member.PingMessage{
		From: peer.ReportFromProto(in.GetFrom()), Members: peer.ReportsFromProto(in.GetMembers()),
	})
	return &peerpb.PingReply{
		From: peer.ReportToProto(reply.From), Members: peer.ReportsToProto(reply.Members), Documents: e.catalogVersions(),
		Promotion: e.leaseHint(),
	}, nil
}

// leaseHint returns the last known holder of the promotion lease. Processes that the store
// turns away hear of a new one by it, and get grants and credits again.
func (e *Edge) leaseHint() *peerpb.LeaseHolder {
	holder, token := e.lease.Hint()
	if holder == "" {
		return nil
	}
	return &peerpb.LeaseHolder{Holder: holder, Token: uint64(token)}
}

func (e *Edge) learnLease(hint *peerpb.LeaseHolder) {
	e.lease.Learn(hint.GetHolder(), duty.Token(hint.GetToken()))
}

// catalogVersions encodes the catalog's versions for a ping; see catalogName. It
// returns none while there is no configuration.
func (e *Edge) catalogVersions() []*peerpb.DocumentVersion {
	version := e.confirmedVersion(e.access.clock())
	if version.GetRevision() == 0 {
		return nil
	}
	_, servers := e.tracker.Versions()
	era, number := provider.SplitVersion(servers)
	version.Digest, version.Era = strconv.FormatUint(number, 10), era
	return []*peerpb.DocumentVersion{version}
}

// fetchIfNewer fetches the catalog of a peer that has a newer one. A process that hears
// from the store or from a delegate gives these a moment to deliver the change first:
// their connections may have gone silent without an error, but mostly the change is on its
// way, and fetching it from many peers would cost most of the traffic between failure
// domains.
func (e *Edge) fetchIfNewer(address string, versions []*peerpb.DocumentVersion) {
	configuration, servers := e.tracker.Versions()
	for _, v := range versions {
		number, err := strconv.ParseUint(v.GetDigest(), 10, 64)
		if err != nil || v.GetEnvironment() != catalogName {
			continue
		}
		offered, usable := e.tracker.PeerVersion(v.GetEra(), number)
		if !usable {
			offered = 0
		}
		if v.GetRevision() <= configuration && offered <= servers {
			continue
		}
		go func() {
			if configuration > 0 && e.hearsChanges() && e.follower.Expect(context.Background(), v.GetRevision(), offered) {
				return
			}
			e.fetchCatalog(address)
		}()
		return
	}
}

// hearsChanges reports whether changes of the catalog arrive without a request: from the
// store, or from a process that follows it for this one.
func (e *Edge) hearsChanges() bool {
	return e.subscriber.Ended() != nil || !e.follower.StoreUnreachable()
}

// followsStore reports whether this process follows the store directly and the
// store answers.
func (e *Edge) followsStore() bool {
	return e.subscriber.Ended() == nil && !e.follower.StoreUnreachable()
}

func (e *Edge) fetchCatalog(address string) {
	if !e.fetchingCatalog.CompareAndSwap(false, true) {
		return
	}
	defer e.fetchingCatalog.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	reply, err := e.requestCatalog(ctx, address, 0)
	if err == nil {
		err = e.tracker.Merge(reply)
	}
	if err != nil {
		eventCatalogFetchFailed.Log(&e.log).Str("peer", address).Err(err).Send()
	}
}

// requestCatalog requests the parts of a peer's catalog that are newer than those of this
// process. A positive wait makes it a long poll.
func (e *Edge) requestCatalog(ctx context.Context, address string, wait time.Duration) (catalog.PeerCatalog, error) {
	configuration, servers := e.tracker.Versions()
	era, number := provider.SplitVersion(servers)
	request := &peerpb.DocumentRequest{
		Environment: catalogName, AtLeastRevision: configuration, BaseDigest: strconv.FormatUint(number, 10), BaseEra: era,
		WaitNanos: int64(wait), AcceptGzip: true,
	}
	sent := e.access.clock()
	reply, err := e.controlPeers.Client(address).Document(ctx, request)
	if err != nil {
		return catalog.PeerCatalog{}, err
	}
	return catalog.PeerCatalog{
		Data:         reply.GetDocument(),
		Confirmation: e.confirmationOf(reply.GetVersion(), sent, time.Duration(reply.GetHeldNanos())),
	}, nil
}

// handleCatalog returns the catalog. A request with a wait is a long poll for a
// catalog that is newer than the versions in the request, which are encoded as
// catalogName describes. It is served only while this process follows the store.
func (e *Edge) handleCatalog(ctx context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	arrived := e.access.clock()
	number, err := strconv.ParseUint(in.GetBaseDigest(), 10, 64)
	servers, _ := e.tracker.PeerVersion(in.GetBaseEra(), number)
	// A process of an earlier version that does not wait has no base and gets all.
	known := catalog.Known{Configuration: in.GetAtLeastRevision(), Servers: servers, Gzip: in.GetAcceptGzip()}
	if in.GetWaitNanos() == 0 {
		data, err := e.tracker.Export(known)
		return e.catalogReply(data, arrived), err
	}
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Protocol, "await catalog", in.GetBaseDigest())
	}
	if !e.followsStore() {
		return nil, catalog.ErrNotFollowing
	}
	data, err := e.tracker.AwaitUpdate(ctx, known, min(time.Duration(in.GetWaitNanos()), maxCatalogWait))
	if err == nil && data == nil && !e.followsStore() {
		err = catalog.ErrNotFollowing
	}
	return e.catalogReply(data, arrived), err
}

// catalogReply returns a reply with the age of the configuration and the time since the
// request arrived, both at the same moment.
func (e *Edge) catalogReply(data []byte, arrived time.Duration) *peerpb.DocumentReply {
	now := e.access.clock()
	return &peerpb.DocumentReply{Document: data, Version: e.confirmedVersion(now), HeldNanos: int64(now - arrived)}
}

// catalogPeers implements catalog.Peers with the delegates of this failure domain,
// the processes that follow the store on behalf of the others.
type catalogPeers struct{ edge *Edge }

// Upstreams implements catalog.Peers. It returns none when this process is itself a
// delegate. The order of the delegates depends on the process, which spreads the
// load evenly over them.
func (p catalogPeers) Upstreams() []string {
	e := p.edge
	delegates := e.members.Snapshot().Delegates(e.config.FailureDomain, delegatesPerDomain)
	addresses := make([]string, 0, len(delegates))
	for _, d := range delegates {
		if d.ID == string(e.config.ID) {
			return nil
		}
		addresses = append(addresses, d.Address)
	}
	if len(addresses) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(e.config.ID)) % uint64(len(addresses)))
	return append(addresses[first:], addresses[:first]...)
}

// AwaitUpdate implements catalog.Peers.
func (p catalogPeers) AwaitUpdate(ctx context.Context, address string, wait time.Duration) (catalog.PeerCatalog, error) {
	return p.edge.requestCatalog(ctx, address, wait)
}

// announce pings all other processes immediately with the state of this one.
func (e *Edge) announce(ctx context.Context) {
	self, ok := e.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(e.config.ID)})
	if !ok {
		return
	}
	message := member.PingMessage{From: member.Report{Member: self.Member, State: self.State, Stable: self.Stable}}
	for _, m := range e.members.Snapshot().Usable(member.RoleProxy) {
		if m.ID == string(e.config.ID) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			if _, err := (pinger{e}).Ping(ctx, m.Address, message); err != nil {
				eventAnnounceFailed.Log(&e.log).Str("peer", m.Address).Err(err).Send()
			}
		}()
	}
}
