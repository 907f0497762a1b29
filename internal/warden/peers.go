package warden

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// PeerProber implements Prober over the peer protocol.
type PeerProber struct {
	Peers *peer.Registry
}

// Probe implements Prober.
func (p PeerProber) Probe(
	ctx context.Context, m member.Member, group cluster.GroupName, server cluster.Server,
) (failover.ProbeResult, error) {
	reply, err := p.Peers.Client(m.Address).Probe(ctx, &peerpb.ProbeRequest{
		Group:        string(group),
		Server:       string(server.ID),
		Address:      server.Address,
		TimeoutNanos: int64(failover.CallTimeout),
	})
	if err != nil {
		return failover.ProbeResult{}, err
	}
	return failover.ProbeResult{
		Server:    server.ID,
		Reachable: reply.GetReachable(),
		Role:      cluster.Role(reply.GetRole()),
		Term:      cluster.Term(reply.GetTerm()),
	}, nil
}

// ProbeHandler returns the peer server's handler that probes servers on new connections
// on behalf of wardens. Every proxy and warden provides it.
func ProbeHandler(d backend.Dialer) func(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return func(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(request.GetTimeoutNanos()), failover.CallTimeout))
		defer cancel()
		server := cluster.Server{ID: cluster.ServerID(request.GetServer()), Address: request.GetAddress()}
		status, err := failover.QueryStatus(ctx, d, cluster.GroupName(request.GetGroup()), server)
		if err != nil {
			return &peerpb.ProbeReply{Reachable: failover.ShowsRunning(err), Error: err.Error()}, nil //nolint:nilerr // the failure is the answer
		}
		return &peerpb.ProbeReply{
			Reachable: true,
			Role:      string(status.Role),
			Term:      uint64(status.Term),
			Received:  &peerpb.Position{Term: uint64(status.Received.Term), Offset: status.Received.Offset},
		}, nil
	}
}
