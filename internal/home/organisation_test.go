package home

import (
	"cmp"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// organisationDialer checks that a statement, whose last word is the organisation that
// sent it or "none", runs only on connections opened for that organisation.
type organisationDialer struct {
	backend.Dialer
	t     *testing.T
	mu    sync.Mutex
	opens int
}

type organisationConn struct {
	backend.Conn
	t            *testing.T
	organisation string
}

func (d *organisationDialer) Dial(ctx context.Context, s cluster.Server, g cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	d.mu.Lock()
	d.opens++
	d.mu.Unlock()
	conn, err := d.Dialer.Dial(ctx, s, g, organisation, c)
	if err != nil {
		return nil, err
	}
	return &organisationConn{conn, d.t, organisation}, nil
}

func (c *organisationConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	text := string(x.Batch.Messages)
	if words := strings.Fields(text); words[len(words)-1] != cmp.Or(c.organisation, "none") {
		c.t.Errorf("%q runs on a connection of %q", text, c.organisation)
	}
	return c.Conn.Exchange(ctx, x, conv)
}

// TestStatementsRunOnConnectionsOfTheirOrganisation guards against a read, write or
// transaction that runs on a connection that a server knows as another organisation's.
func TestStatementsRunOnConnectionsOfTheirOrganisation(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := New(Config{ID: "p1", NoClaims: true}, &organisationDialer{Dialer: b.group.Dialer("p1"), t: t})
		b.own(h)
		var running sync.WaitGroup
		for i := range 12 {
			organisation := []string{"none", "a", "b", "c", "d", "e"}[i%6]
			running.Go(func() {
				for n := range 40 {
					class := []statement.Class{statement.ClassRead, statement.ClassWrite, statement.ClassBegin}[(n+i)%3]
					r := b.request(class, "put k "+organisation)
					r.Timeout = 30 * time.Second
					if organisation != "none" {
						r.Organisation = organisation
					}
					var more []statement.Batch
					if class == statement.ClassBegin { // rolled back, as the caller leaves
						r.First.Messages = []byte("begin " + organisation)
						more = []statement.Batch{{Messages: []byte("put k " + organisation), Class: statement.ClassWrite}}
					}
					if _, _, err := run(h, r, more...); err != nil {
						t.Errorf("%s: %v", organisation, err)
					}
				}
			})
		}
		running.Wait()
	})
}

// TestReadsPreferIdleConnectionsOfTheirOrganisation guards against opening a connection
// at one replica while another one, which is as free, has an idle connection.
func TestReadsPreferIdleConnectionsOfTheirOrganisation(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		d := &organisationDialer{Dialer: b.group.Dialer("p1"), t: t}
		h := New(Config{ID: "p1"}, d)
		b.own(h)
		b.mustWrite(h, "", "put k none")
		time.Sleep(time.Second)
		read := func(organisation, text string) cluster.ServerID {
			r := b.request(statement.ClassRead, text+organisation)
			r.Organisation = organisation
			_, result, err := run(h, r)
			if err != nil || result.Primary {
				t.Fatalf("%+v, %v", result, err)
			}
			return result.Server
		}
		var other sync.WaitGroup
		other.Go(func() { read("b", "work 100ms get k ") })
		time.Sleep(10 * time.Millisecond)
		first := read("a", "get k ") // on the replica with more free slots
		other.Wait()
		begun := d.opens
		for range 10 {
			if server := read("a", "get k "); server != first {
				t.Errorf("ran on %s, the idle connection is on %s", server, first)
			}
		}
		if opened := d.opens - begun; opened > 0 {
			t.Errorf("%d connections opened", opened)
		}
	})
}

// TestOrganisationRanks guards against organisation ranks that do not reach the order of
// the waiting requests, of a group that is owned before or after they are known.
func TestOrganisationRanks(t *testing.T) {
	for _, early := range []bool{true, false} {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			h := New(Config{ID: "p1"}, b.group.Dialer("p1"))
			ranks := map[string]cluster.Rank{"high": cluster.RankUrgent, "low": cluster.RankBackground}
			if early {
				h.SetOrganisations(ranks)
			}
			b.own(h)
			b.mustWrite(h, "", "put k v")
			h.SetOrganisations(ranks)
			var mu sync.Mutex
			var order []string
			var running sync.WaitGroup
			for range 60 {
				for organisation := range ranks {
					running.Go(func() {
						r := b.request(statement.ClassPrimaryRead, "work 20ms get k")
						r.Organisation = organisation
						if _, _, err := run(h, r); err != nil {
							t.Error(err)
						}
						mu.Lock()
						defer mu.Unlock()
						order = append(order, organisation)
					})
				}
			}
			running.Wait()
			high := 0
			for _, organisation := range order[:60] {
				if organisation == "high" {
					high++
				}
			}
			if high < 42 {
				t.Errorf("ranks early %v: %d of the first 60 are of the urgent organisation, want about 48", early, high)
			}
		})
	}
}
