package deployment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
)

// Members implements admin.StatusSource. The document version of another member is
// the one that it last reported to this process. Members that seem to have another
// version than this process, up to maxMemberPings, are pinged first, because their
// latest report may not have arrived yet.
func (s *Source) Members(ctx context.Context) []admin.MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, memberPingTimeout)
	defer cancel()
	s.Process.ExchangeState(ctx, s.addressesBehind())
	return s.knownMembers()
}

// addressesBehind returns the addresses of up to maxMemberPings running members, in
// random order, that are not known to have the document in force here.
func (s *Source) addressesBehind() []string {
	held := s.Process.Documents.State().InForce
	var addresses []string
	for _, m := range s.knownMembers() {
		if m.Running() && (m.Revision != held.Revision || m.Digest != held.Digest) {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxMemberPings)]
}

// knownMembers returns the members with the document versions that are known here.
func (s *Source) knownMembers() []admin.MemberStatus {
	state := s.Process.Documents.State()
	self := member.Key{Role: s.Role, ID: string(s.Process.Settings.ID)}
	members := []admin.MemberStatus{}
	for _, e := range s.Process.Members.Snapshot().Entries() {
		version := state.Peers[cluster.ProxyID(e.Member.Key().String())].Version
		age := time.Since(e.ObservedAt)
		if e.Member.Key() == self {
			version, age = state.InForce, 0
		}
		members = append(members, admin.MemberStatus{
			ID: cluster.ProxyID(e.Member.ID), Address: e.Member.Address, FailureDomain: e.Member.FailureDomain,
			Role: string(e.Member.Role), State: string(e.State), AgeMillis: age.Milliseconds(),
			Revision: version.Revision, Digest: version.Digest,
		})
	}
	return members
}
