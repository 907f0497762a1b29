package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/deployment"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/process"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/warden"
)

// handoverDelay is the time between announcing that this warden leaves and its
// exit, so that another warden takes over first.
const handoverDelay = 2 * time.Second

// run runs the warden until ctx ends, then announces to the other members that
// it leaves and stops.
func run(ctx context.Context, s *settings.Warden) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	p, err := process.New(workCtx, s.Common, member.RoleWarden)
	if err != nil {
		return err
	}
	defer p.Close(workCtx)
	dialer, err := p.Dialer()
	if err != nil {
		return err
	}
	w := warden.New(wardenConfig(p, dialer))
	serveAdmin, err := admin.Open(s.Admin, adminConfig(p))
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(workCtx)
	group.Go(func() error {
		return p.Run(groupCtx, peer.Handlers{Probe: warden.ProbeHandler(dialer), Failovers: w.HandleFailovers})
	})
	group.Go(func() error { return w.Run(groupCtx) })
	group.Go(func() error { return serveAdmin(groupCtx) })
	select {
	case <-ctx.Done():
		leave(groupCtx, p.Members)
	case <-groupCtx.Done():
	}
	stopWork()
	if err := group.Wait(); err != nil && !eris.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// leave announces that this warden leaves and gives the others time to take over.
func leave(ctx context.Context, members *member.Membership) {
	members.Leave()
	delay.Sleep(ctx, handoverDelay)
}

// adminConfig configures a read-only API, with which operators can inspect the
// deployment while no proxy is reachable. Changes are made through proxies.
func adminConfig(p *process.Process) admin.Config {
	return admin.Config{
		Environment: p.Settings.Environment,
		Status: &deployment.Source{
			Process: p, Role: member.RoleWarden, Records: failover.NewRecordStore(p.Platform.Table), HomeOf: homeOf(p.Members),
		},
		Documents:      p.Store,
		NotReadyReason: p.NotReadyReason,
		ReadOnly:       true,
		Log:            p.Log,
	}
}

// homeOf returns a function that looks up the home of a group in the membership
// view.
func homeOf(members *member.Membership) func(cluster.GroupName) cluster.ProxyID {
	return func(group cluster.GroupName) cluster.ProxyID {
		m, _ := members.Snapshot().HomeOf(group)
		return cluster.ProxyID(m.ID)
	}
}

func wardenConfig(p *process.Process, dialer backend.Dialer) warden.Config {
	return warden.Config{
		Self: member.Member{
			ID: string(p.Settings.ID), Role: member.RoleWarden,
			Address: p.Settings.Peer.Address(), FailureDomain: p.Settings.FailureDomain,
		},
		Dialer:  dialer,
		Store:   failover.NewRecordStore(p.Platform.Table),
		Members: p.Members,
		Prober:  warden.PeerProber{Peers: p.ControlPeers},
		Document: func() *environment.Document {
			if current := p.Documents.Current(); current != nil {
				return current.Document
			}
			return nil
		},
		Seed: rand.Uint64(),
		Log:  p.Log,
	}
}
