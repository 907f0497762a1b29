package edge

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/quota"
)

const (
	// grantInterval is the interval between requests for grants: two consecutive
	// requests may be lost before a grant expires.
	grantInterval = grant.MaxDuration * 3 / 10
	// minGrantInterval applies instead while a write needs a grant.
	minGrantInterval = 50 * time.Millisecond
	// grantTimeout bounds one request for grants. Quotas accept no later reply.
	grantTimeout = min(grant.MaxDuration/4, quota.CallTime)
)

// renewGrants periodically asks the holder of the promotion lease for grants of
// the current terms of the groups that this process serves.
func (e *Edge) renewGrants(ctx context.Context) error {
	for e.waitForGrantRequest(ctx) {
		groups := e.servedGroups()
		requestedAt := e.grants.Now()
		report := e.quotas.report(len(groups) == 0)
		if len(groups) == 0 && report == nil {
			continue
		}
		reply, err := e.requestGrants(ctx, groups, report)
		if err != nil {
			grantFailures.Inc()
			e.lease.CheckSoon() // another process may hold the lease now
			continue            // without a grant, homes verify the term with the backend servers
		}
		for _, g := range reply.GetGrants() {
			e.grants.Add(cluster.GroupName(g.GetGroup()), cluster.Term(g.GetTerm()), requestedAt, time.Duration(g.GetValidNanos()))
		}
		e.quotas.accept(report, reply.GetQuota(), requestedAt)
	}
	return nil
}

// waitForGrantRequest waits until the next request for grants is due. It returns false
// once ctx is done.
func (e *Edge) waitForGrantRequest(ctx context.Context) bool {
	if !delay.Sleep(ctx, minGrantInterval) {
		return false
	}
	timer := time.NewTimer(grantInterval - minGrantInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.grantsWanted:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// requestGrantsSoon requests grants before the next ones are due, because a write needs one.
func (e *Edge) requestGrantsSoon() {
	select {
	case e.grantsWanted <- struct{}{}:
	default:
	}
}

func (e *Edge) requestGrants(ctx context.Context, groups []string, report *quota.Report) (*peerpb.GrantReply, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	request := &peerpb.GrantRequest{Proxy: string(e.config.ID), Incarnation: e.grants.Holder().Incarnation, Groups: groups}
	if report != nil {
		request.Quota = peer.QuotaReportToProto(*report)
	}
	holder := e.lease.KnownHolder()
	if holder == string(e.config.ID) {
		return e.handleGrant(ctx, request)
	}
	entry, ok := e.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: holder})
	if !ok {
		return nil, errcode.New(errcode.NoHome, "ask for grants", holder)
	}
	return e.controlPeers.Client(entry.Member.Address).Grant(ctx, request)
}

// servedGroups returns the groups of which this process is the home, or which it
// serves in place of an unreachable home.
func (e *Edge) servedGroups() []string {
	var groups []string
	for _, name := range e.tracker.Groups() {
		if e.homeOf(name) == e.config.ID || e.home.Idle(name) > 0 {
			groups = append(groups, string(name))
		}
	}
	return groups
}

func (e *Edge) handleGrant(_ context.Context, in *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	leaseRemaining := e.lease.Remaining()
	if leaseRemaining <= 0 {
		return nil, errcode.New(errcode.NoHome, "grant", string(e.config.ID))
	}
	reply := &peerpb.GrantReply{Quota: e.quotaDealer.handle(in.GetProxy(), in.GetQuota())}
	process := grant.Holder{Proxy: cluster.ProxyID(in.GetProxy()), Incarnation: in.GetIncarnation()}
	for _, group := range in.GetGroups() {
		term, duration, ok := e.issuer.Issue(process, cluster.GroupName(group), leaseRemaining)
		if ok {
			reply.Grants = append(reply.Grants, &peerpb.TermGrant{Group: group, Term: uint64(term), ValidNanos: int64(duration)})
		}
	}
	return reply, nil
}

// revokeGrants makes a process drop its grant for a group.
func (e *Edge) revokeGrants(ctx context.Context, proxy cluster.ProxyID, group cluster.GroupName) (grant.Revocation, error) {
	if proxy == e.config.ID {
		return e.grants.Revoke(group), nil
	}
	entry, ok := e.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(proxy)})
	if !ok {
		return grant.Revocation{}, errcode.New(errcode.NoHome, "revoke grant", string(proxy))
	}
	return e.controlPeers.Client(entry.Member.Address).Revoke(ctx, proxy, group)
}

func (e *Edge) handleRevoke(_ context.Context, in *peerpb.RevokeRequest) (*peerpb.RevokeReply, error) {
	return peer.RevocationToProto(e.grants.Revoke(cluster.GroupName(in.GetGroup()))), nil
}
