package backendtest

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

type recorder struct{ text string }

func (s *recorder) Next(context.Context) (*statement.Batch, error) { return nil, nil }

func (s *recorder) SendResponse(_ context.Context, data []byte) error {
	s.text += string(data)
	return nil
}

func newGroup() (*Group, []cluster.Server) {
	var servers []cluster.Server
	for _, id := range []cluster.ServerID{"s1", "s2", "s3"} {
		servers = append(servers, cluster.Server{ID: id, Slots: 2, Connections: 16})
	}
	return New(Config{Name: "g", Servers: servers, ReplicationDelay: time.Millisecond, ReplayLag: 50 * time.Millisecond, ConnectDelay: 12 * time.Millisecond, NetworkDelay: 500 * time.Microsecond}), servers
}

func run(t *testing.T, c backend.Conn, text string, class statement.Class) (string, backend.Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s := &recorder{}
	a, err := c.Exchange(ctx, &backend.Exchange{Batch: &statement.Batch{Messages: []byte(text), Class: class}, WantPosition: true}, s)
	return s.text, a, err
}

func TestReplicationFailoverAndFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, servers := newGroup()
		defer g.Close()
		d := g.Dialer("p1")
		claim := backend.Claim{Epoch: 1, Home: "p1"}
		primary, err := d.Dial(t.Context(), servers[0], "g", "", claim)
		if err != nil {
			t.Fatal(err)
		}
		if _, a, err := run(t, primary, "put k v1", statement.ClassWrite); err != nil || a.Position != (cluster.Position{Term: 1, Offset: 1}) {
			t.Fatalf("put: %+v %v", a, err)
		}
		replica, err := d.Dial(t.Context(), servers[1], "g", "", claim)
		if err != nil {
			t.Fatal(err)
		}
		if text, _, _ := run(t, replica, "get k", statement.ClassRead); text != "\n" {
			t.Fatalf("replica did not lag: %q", text)
		}
		time.Sleep(100 * time.Millisecond)
		if text, _, _ := run(t, replica, "get k", statement.ClassRead); text != "v1\n" {
			t.Fatalf("replica did not catch up: %q", text)
		}
		g.Isolate("s1")
		for _, s := range servers[1:] {
			control, err := d.DialControl(t.Context(), s, "g")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := control.Seal(t.Context(), 2, "w"); err != nil {
				t.Fatal(err)
			}
			if _, err := control.Seal(t.Context(), 2, "other"); err == nil {
				t.Fatal("second holder sealed the same term")
			}
			if s.ID == "s2" {
				if _, err := control.Promote(t.Context(), 2, "w"); err != nil {
					t.Fatal(err)
				}
			} else if _, err := control.Follow(t.Context(), 2, servers[1]); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := run(t, primary, "put k lost", statement.ClassWrite); err != nil {
			t.Fatal(err)
		}
		if got := g.Status("s1"); got.Role != cluster.RolePrimary || got.Received.Offset != 2 {
			t.Fatalf("isolated primary: %+v", got)
		}
		g.Rejoin("s1")
		control, err := d.DialControl(t.Context(), servers[0], "g")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := control.Follow(t.Context(), 2, servers[1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		if got := g.Status("s1").Received; got != (cluster.Position{Term: 2, Offset: 2}) {
			t.Fatalf("the log does not end with the record that began the term: %v", got)
		}
		if got := g.CommittedValues("s1", "k"); !slices.Equal(got, []string{"v1"}) {
			t.Fatalf("diverged record kept: %v", got)
		}
		if _, err := control.Claim(t.Context(), backend.Claim{Epoch: 2, Home: "p2"}); err != nil {
			t.Fatal(err)
		}
		if _, _, err := run(t, primary, "get k", statement.ClassRead); err == nil {
			t.Fatal("connection of the superseded epoch still works")
		}
	})
}
