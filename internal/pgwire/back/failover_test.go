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

// failover drives a group through random changes of its primary.
type failover struct {
	*group
	random *rand.Rand
	term   cluster.Term
	acked  []string
	last   int
}

// TestSeededFailovers checks that writes which a majority received survive
// every promotion of the highest of a sealed majority.
func TestSeededFailovers(t *testing.T) {
	for seed := range uint64(failoverSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &failover{random: rand.New(rand.NewPCG(seed, 1)), term: 1}
				f.group = newGroup(t, 3, func(cfg *dbserver.Config) {
					cfg.Lag = time.Duration(f.random.IntN(300)) * time.Millisecond
				})
				for range failoverSteps {
					f.step(t)
				}
				f.check(t)
			})
		})
	}
}

func (f *failover) step(t *testing.T) {
	time.Sleep(time.Duration(f.random.IntN(200)) * time.Millisecond)
	if f.random.IntN(6) == 0 {
		f.replace(t)
		return
	}
	f.write(t, f.random.IntN(3))
}

// write inserts a row at any server that takes it, also at a replaced primary,
// and notes it as acknowledged once a majority of the same term has it.
func (f *failover) write(t *testing.T, at int) {
	f.last++
	id := fmt.Sprintf("roll-%03d", f.last)
	c, err := f.dialer.Dial(t.Context(), f.server(at), "rolls", backend.Claim{})
	if err != nil {
		return
	}
	defer c.Close()
	a, err := c.Exchange(t.Context(), insert(id), &caller{})
	if err != nil || !a.Committed {
		return
	}
	time.Sleep(time.Duration(f.random.IntN(20)) * time.Millisecond)
	holders := 0
	for _, s := range f.servers {
		st := s.Status()
		if st.Term == a.Position.Term && !st.Received.Less(a.Position) {
			holders++
		}
	}
	if holders >= cluster.Majority(len(f.servers)) {
		f.acked = append(f.acked, id)
	}
}

// replace seals a random majority and promotes its highest member. It may stop
// after any step, as a warden that dies does.
func (f *failover) replace(t *testing.T) {
	f.term++
	holder := fmt.Sprintf("warden-%d", f.random.IntN(2))
	var sealed []cluster.ServerStatus
	for _, i := range f.random.Perm(3)[:2+f.random.IntN(2)] {
		if f.random.IntN(8) == 0 {
			return
		}
		st, err := f.call(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Seal(ctx, f.term, holder)
		})
		if err != nil {
			t.Fatalf("seal: %v", err)
		}
		sealed = append(sealed, st)
	}
	best := slices.MaxFunc(sealed, func(a, b cluster.ServerStatus) int { return a.Received.Compare(b.Received) })
	leader := int(best.Server[0] - 'a')
	if _, err := f.call(t, leader, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Promote(ctx, f.term, holder)
	}); err != nil {
		t.Fatalf("promote: %v", err)
	}
	for i := range f.servers {
		if i == leader || f.random.IntN(4) == 0 {
			continue
		}
		if _, err := f.call(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Follow(ctx, f.term, f.server(leader))
		}); err != nil {
			t.Fatalf("follow: %v", err)
		}
	}
}

func (f *failover) call(t *testing.T, i int, do func(context.Context, backend.Control) (cluster.ServerStatus, error)) (cluster.ServerStatus, error) {
	c, err := f.dialer.DialControl(t.Context(), f.server(i), "rolls")
	if err != nil {
		return cluster.ServerStatus{}, err
	}
	defer c.Close()
	return do(t.Context(), c)
}

// check replaces the primary once more and looks for the acknowledged rows on
// every server.
func (f *failover) check(t *testing.T) {
	f.term++
	var best cluster.ServerStatus
	for i := range f.servers {
		st, err := f.call(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Seal(ctx, f.term, "last")
		})
		if err != nil {
			t.Fatal(err)
		}
		if best.Received.Less(st.Received) {
			best = st
		}
	}
	leader := int(best.Server[0] - 'a')
	for i := range f.servers {
		if _, err := f.call(t, leader, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Promote(ctx, f.term, "last")
		}); err != nil {
			t.Fatal(err)
		}
		if i != leader {
			_, _ = f.call(t, i, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
				return c.Follow(ctx, f.term, f.server(leader))
			})
		}
	}
	time.Sleep(5 * time.Second)
	want := ids(t, f.conn(leader, backend.Claim{}))
	for i, s := range f.servers {
		if got := ids(t, f.conn(i, backend.Claim{})); !slices.Equal(got, want) {
			t.Errorf("server %s has %v, the primary %v; status %+v", f.server(i).ID, got, want, s.Status())
		}
	}
	for _, id := range f.acked {
		if !slices.Contains(want, id) {
			t.Errorf("%s was acknowledged and is lost", id)
		}
	}
	t.Logf("%d writes, %d acknowledged, %d kept, term %d", f.last, len(f.acked), len(want), f.term)
}
