package back_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
)

const (
	failoverSeeds = 20
	failoverSteps = 40
)

// failoverTest writes to a group while its primary is replaced at random.
type failoverTest struct {
	*group
	random       *rand.Rand
	term         cluster.Term
	acknowledged []string
	writes       int
}

// TestSeededFailovers checks that writes received by a majority survive every
// failover that seals a majority and promotes its member with the highest position.
func TestSeededFailovers(t *testing.T) {
	for seed := range uint64(failoverSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &failoverTest{random: rand.New(rand.NewPCG(seed, 1)), term: 1}
				f.group = newGroup(t, 3, func(cfg *dbserver.Config) {
					cfg.ReplayLag = time.Duration(f.random.IntN(300)) * time.Millisecond
				})
				for range failoverSteps {
					f.runStep(t)
				}
				f.checkAcknowledged(t)
			})
		})
	}
}

func (f *failoverTest) runStep(t *testing.T) {
	time.Sleep(time.Duration(f.random.IntN(200)) * time.Millisecond)
	if f.random.IntN(6) == 0 {
		f.replacePrimary(t)
		return
	}
	f.write(t, f.random.IntN(3))
}

// write inserts a row if the server accepts it, which may be a replaced primary,
// and records the row as acknowledged if a majority of the same term has received it.
func (f *failoverTest) write(t *testing.T, server int) {
	f.writes++
	id := fmt.Sprintf("roll-%03d", f.writes)
	c, err := f.dialer.Dial(t.Context(), f.server(server), "rolls", "", backend.Claim{})
	if err != nil {
		return
	}
	defer c.Close()
	result, err := c.Exchange(t.Context(), insertExchange(id), &caller{})
	if err != nil || !result.Committed {
		return
	}
	time.Sleep(time.Duration(f.random.IntN(20)) * time.Millisecond)
	holders := 0
	for _, s := range f.servers {
		st := s.Status()
		if st.Term == result.Position.Term && !st.Received.Less(result.Position) {
			holders++
		}
	}
	if holders >= cluster.Majority(len(f.servers)) {
		f.acknowledged = append(f.acknowledged, id)
	}
}

// replacePrimary seals a random majority and promotes its member with the highest
// position. It may stop after any seal, like a warden that crashes, and may leave
// servers without a Follow call.
func (f *failoverTest) replacePrimary(t *testing.T) {
	f.term++
	holder := fmt.Sprintf("warden-%d", f.random.IntN(2))
	var sealed []cluster.ServerStatus
	for _, i := range f.random.Perm(3)[:2+f.random.IntN(2)] {
		if f.random.IntN(8) == 0 {
			return
		}
		st, err := f.callControl(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Seal(ctx, f.term, holder)
		})
		if err != nil {
			t.Fatalf("seal: %v", err)
		}
		sealed = append(sealed, st)
	}
	highest := slices.MaxFunc(sealed, func(a, b cluster.ServerStatus) int { return a.Received.Compare(b.Received) })
	leader := int(highest.Server[0] - 'a')
	if _, err := f.callControl(t, leader, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Promote(ctx, f.term, holder)
	}); err != nil {
		t.Fatalf("promote: %v", err)
	}
	for i := range f.servers {
		if i == leader || f.random.IntN(4) == 0 {
			continue
		}
		if _, err := f.callControl(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Follow(ctx, f.term, f.server(leader))
		}); err != nil {
			t.Fatalf("follow: %v", err)
		}
	}
}

func (f *failoverTest) callControl(t *testing.T, i int, fn func(context.Context, backend.Control) (cluster.ServerStatus, error)) (cluster.ServerStatus, error) {
	c, err := f.dialer.DialControl(t.Context(), f.server(i), "rolls")
	if err != nil {
		return cluster.ServerStatus{}, err
	}
	defer c.Close()
	return fn(t.Context(), c)
}

// checkAcknowledged replaces the primary once more, sealing all servers, and checks
// that every server has the same rows, including all acknowledged ones.
func (f *failoverTest) checkAcknowledged(t *testing.T) {
	f.term++
	var highest cluster.ServerStatus
	for i := range f.servers {
		st, err := f.callControl(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Seal(ctx, f.term, "last")
		})
		if err != nil {
			t.Fatal(err)
		}
		if highest.Received.Less(st.Received) {
			highest = st
		}
	}
	leader := int(highest.Server[0] - 'a')
	for i := range f.servers {
		if _, err := f.callControl(t, leader, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Promote(ctx, f.term, "last")
		}); err != nil {
			t.Fatal(err)
		}
		if i != leader {
			_, _ = f.callControl(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
				return c.Follow(ctx, f.term, f.server(leader))
			})
		}
	}
	time.Sleep(5 * time.Second)
	want := rowIDs(t, f.conn(leader, backend.Claim{}))
	for i, s := range f.servers {
		if got := rowIDs(t, f.conn(i, backend.Claim{})); !slices.Equal(got, want) {
			t.Errorf("server %s has %v, the primary %v; status %+v", f.server(i).ID, got, want, s.Status())
		}
	}
	for _, id := range f.acknowledged {
		if !slices.Contains(want, id) {
			t.Errorf("acknowledged row %s was lost", id)
		}
	}
	t.Logf("%d writes, %d acknowledged, %d kept, term %d", f.writes, len(f.acknowledged), len(want), f.term)
}
