package process

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/rollout"
)

const (
	// announceFanout is the number of peers that a change is announced to at once.
	announceFanout = 10
	// announceTimeout bounds the ping of one announcement.
	announceTimeout = time.Second
)

// pinger implements member.Pinger with the peer clients. Each ping also exchanges
// the document versions in force.
type pinger struct{ process *Process }

// Ping implements member.Pinger.
func (p pinger) Ping(ctx context.Context, address string, message member.PingMessage) (member.PingMessage, error) {
	reply, err := p.process.ControlPeers.Client(address).Ping(ctx, &peerpb.PingRequest{
		From: peer.ReportToProto(message.From), Members: peer.ReportsToProto(message.Members), Documents: p.process.documentVersions(),
	})
	if err != nil {
		return member.PingMessage{}, err
	}
	p.process.offerDocuments(reply.GetFrom(), reply.GetDocuments())
	return member.PingMessage{From: peer.ReportFromProto(reply.GetFrom()), Members: peer.ReportsFromProto(reply.GetMembers())}, nil
}

func (p *Process) handlePing(_ context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	p.offerDocuments(in.GetFrom(), in.GetDocuments())
	reply := p.Members.HandlePing(member.PingMessage{
		From: peer.ReportFromProto(in.GetFrom()), Members: peer.ReportsFromProto(in.GetMembers()),
	})
	return &peerpb.PingReply{
		From: peer.ReportToProto(reply.From), Members: peer.ReportsToProto(reply.Members), Documents: p.documentVersions(),
	}, nil
}

func (p *Process) documentVersions() []*peerpb.DocumentVersion {
	current := p.Documents.Current()
	if current == nil {
		return nil
	}
	return []*peerpb.DocumentVersion{p.documentVersion(current)}
}

func (p *Process) documentVersion(d *rollout.DocumentInForce) *peerpb.DocumentVersion {
	return &peerpb.DocumentVersion{
		Environment: p.Settings.Environment, Revision: d.Version.Revision, Digest: d.Version.Digest,
	}
}

// offerDocuments offers the document versions of a peer to the watcher, which fetches
// newer ones from it.
func (p *Process) offerDocuments(from *peerpb.Member, versions []*peerpb.DocumentVersion) {
	for _, v := range versions {
		if v.GetEnvironment() != p.Settings.Environment {
			continue
		}
		address := from.GetAddress()
		p.Documents.Offer(cluster.ProxyID(from.GetRole()+"/"+from.GetId()),
			rollout.Version{Revision: v.GetRevision(), Digest: v.GetDigest()},
			func(ctx context.Context) ([]byte, error) { return p.fetchDocument(ctx, address, v.GetRevision()) })
	}
}

// fetchDocument fetches the document of a peer: only the pieces that differ from the
// document in force here when the peer knows that one, or else all of it.
func (p *Process) fetchDocument(ctx context.Context, address string, revision uint64) ([]byte, error) {
	request := &peerpb.DocumentRequest{Environment: p.Settings.Environment, AtLeastRevision: revision}
	current := p.Documents.Current()
	if current != nil {
		request.BaseDigest = current.Version.Digest
	}
	reply, err := p.ControlPeers.Client(address).Document(ctx, request)
	if err != nil {
		return nil, err
	}
	if current == nil || len(reply.GetManifest()) == 0 {
		return reply.GetDocument(), nil
	}
	return current.Apply(rollout.Update{Manifest: reply.GetManifest(), Pieces: reply.GetPieces()})
}

func (p *Process) handleDocument(_ context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	current, update, ok := p.Documents.UpdateFrom(in.GetBaseDigest())
	if current == nil || in.GetEnvironment() != p.Settings.Environment || current.Version.Revision < in.GetAtLeastRevision() {
		return nil, errcode.New(errcode.OldDocument, "document", string(p.Settings.ID))
	}
	if ok {
		return &peerpb.DocumentReply{Version: p.documentVersion(current), Manifest: update.Manifest, Pieces: update.Pieces}, nil
	}
	return &peerpb.DocumentReply{Version: p.documentVersion(current), Document: current.Text.Bytes()}, nil
}

// announceDocuments announces each new document to some random peers at once. They
// announce it to others in turn, so that it reaches every member in a few steps.
func (p *Process) announceDocuments(ctx context.Context) error {
	changes, stop := p.Documents.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			p.Announce(ctx)
		}
	}
}

// Announce pings up to announceFanout random peers at once with the state and the
// document version of this process.
func (p *Process) Announce(ctx context.Context) {
	members := p.aliveMembers()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	sent := 0
	for _, m := range members {
		if sent == announceFanout {
			return
		}
		if m.Address == p.Settings.Peer.Address() {
			continue
		}
		sent++
		go p.pingPeer(ctx, m.Address)
	}
}

// ExchangeState exchanges state and document versions with the processes at the
// addresses. It returns once all pings have ended or ctx ends.
func (p *Process) ExchangeState(ctx context.Context, addresses []string) {
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() { p.pingPeer(ctx, address) })
	}
	calls.Wait()
}

// pingPeer pings a peer. Errors are ignored, because the regular pings of the members
// follow.
func (p *Process) pingPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	self, ok := p.Members.Snapshot().Find(member.Key{Role: p.role, ID: string(p.Settings.ID)})
	if !ok {
		return
	}
	_, _ = pinger{p}.Ping(ctx, address, member.PingMessage{From: member.Report{Member: self.Member, State: self.State, Stable: self.Stable}})
}
