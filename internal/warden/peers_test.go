package warden

import (
	"context"
	"net"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
)

func TestProbeOverPeers(t *testing.T) {
	withFixture(t, 1, nil, func(f *fixture) {
		log := zerolog.Nop()
		server, err := peer.NewServer(peer.Handlers{Probe: ProbeHandler(f.group.Dialer("e1"))}, &log)
		if err != nil {
			t.Fatal(err)
		}
		registry := peer.NewRegistry(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _ = server.ServeConn(f.ctx, far) }()
			return near, nil
		})
		defer registry.Close()
		f.group.Isolate("s2", "e1")
		for _, s := range f.servers {
			got, err := PeerProber{Peers: registry}.Probe(f.ctx, member.Member{ID: "e1", Address: "e1"}, f.name, s)
			if err != nil || got.Server != s.ID || got.Reachable != (s.ID != "s2") {
				t.Errorf("%s: %+v, error %v", s.ID, got, err)
			}
			if s.ID == "s1" && (got.Role != cluster.RolePrimary || got.Term != 1) {
				t.Errorf("%+v", got)
			}
		}
	})
}
