package member

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

// testNet delivers pings between processes and counts their bytes.
type testNet struct {
	mu           sync.Mutex
	members      map[string]*Membership
	blockedPaths map[[2]string]bool
	bytes        map[string]int
	table        *providertest.Table
	vms          *providertest.VMList
	stops        map[string]context.CancelFunc
	wg           sync.WaitGroup
	ctx          context.Context
}

func newTestNet(t *testing.T) (*testNet, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	n := &testNet{
		members: map[string]*Membership{}, blockedPaths: map[[2]string]bool{}, bytes: map[string]int{},
		table: providertest.NewTable(), vms: &providertest.VMList{}, stops: map[string]context.CancelFunc{}, ctx: ctx,
	}
	return n, func() {
		cancel()
		n.wg.Wait()
	}
}

// start runs a proxy with the address "<id>:1".
func (n *testNet) start(id string, incarnation uint64, seeds ...string) *Membership {
	self := Member{ID: id, Role: RoleProxy, Address: id + ":1", FailureDomain: "sierra-north", Incarnation: incarnation}
	m := New(Config{
		Self: self, Seeds: seeds, Table: n.table, VMs: n.vms, Log: zerolog.Nop(),
		Pinger: testPinger{n, self.Address}, Rand: rand.New(rand.NewPCG(incarnation, uint64(len(n.members)))),
	})
	ctx, cancel := context.WithCancel(n.ctx)
	n.mu.Lock()
	n.members[self.Address], n.stops[self.Address] = m, cancel
	n.mu.Unlock()
	n.wg.Go(func() { _ = m.Run(ctx) })
	return m
}

// kill disconnects a process without releasing its lease.
func (n *testNet) kill(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.members, id+":1")
}

func (n *testNet) setBlocked(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedPaths[[2]string{a + ":1", b + ":1"}] = blocked
	n.blockedPaths[[2]string{b + ":1", a + ":1"}] = blocked
}

type testPinger struct {
	net  *testNet
	from string
}

func (p testPinger) Ping(ctx context.Context, address string, message PingMessage) (PingMessage, error) {
	p.net.mu.Lock()
	to, ok := p.net.members[address]
	_, running := p.net.members[p.from]
	blocked := p.net.blockedPaths[[2]string{p.from, address}] || !running
	p.net.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return PingMessage{}, ctx.Err()
	}
	if !ok {
		return PingMessage{}, errors.New("connection refused")
	}
	time.Sleep(time.Millisecond)
	reply := to.HandlePing(message)
	p.net.countBytes(p.from, address, message, reply)
	return reply, nil
}

// frameOverhead is the size of a message in addition to its content: 14 bytes of
// drpc frames, 52 of TCP and IP headers and 26 for half an acknowledgement.
const frameOverhead = 14 + 52 + 26

func (n *testNet) countBytes(from, to string, messages ...PingMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range messages {
		size := frameOverhead + wireSize(m)
		n.bytes[from] += size
		n.bytes[to] += size
	}
}

func wireSize(message PingMessage) int {
	request := &peerpb.PingRequest{
		From:      protoOf(message.From),
		Documents: []*peerpb.DocumentVersion{{Environment: "cotopaxi-production", Revision: 300, Digest: fmt.Sprintf("%064d", 1)}},
	}
	for _, r := range message.Members {
		request.Members = append(request.Members, protoOf(r))
	}
	return proto.Size(request)
}

func protoOf(r Report) *peerpb.Member {
	return &peerpb.Member{
		Id: r.Member.ID, Address: "10.120.130.140:7000", FailureDomain: r.Member.FailureDomain, Role: string(r.Member.Role),
		Incarnation: 1<<60 + r.Member.Incarnation, State: string(r.State), AgeMillis: r.Age.Milliseconds(),
	}
}

func (n *testNet) states(of string) map[State]int {
	counts := map[State]int{}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, m := range n.members {
		if address == of+":1" {
			continue
		}
		e, ok := m.Snapshot().Find(Key{RoleProxy, of})
		if !ok {
			counts["unknown"]++
			continue
		}
		counts[e.State]++
	}
	return counts
}

func startFleet(n *testNet, count int) {
	for i := range count {
		n.start(fmt.Sprintf("p%d", i), 1, "p0:1", "p1:1")
	}
}

func TestAllMembersAreFoundAndDeathDetected(t *testing.T) {
	for _, size := range []int{3, 8, 16, 40} {
		for _, storeDown := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d members, store down %v", size, storeDown), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n, stop := newTestNet(t)
					defer stop()
					n.table.SetDown(storeDown)
					startFleet(n, size)
					time.Sleep(15 * time.Second)
					if got := n.states("p2"); got[StateAlive] != size-1 {
						t.Fatalf("states before the death: %v", got)
					}
					n.kill("p2")
					began := time.Now()
					for n.states("p2")[StateDead] != size-1 {
						time.Sleep(100 * time.Millisecond)
						if time.Since(began) > 10*time.Second {
							t.Fatalf("states %v after the death: %v", time.Since(began), n.states("p2"))
						}
					}
					t.Logf("all members detected the death after %v", time.Since(began))
				})
			})
		}
	}
}

func TestBlockedPathIsNotDeath(t *testing.T) {
	for _, size := range []int{4, 16} {
		synctest.Test(t, func(t *testing.T) {
			n, stop := newTestNet(t)
			defer stop()
			startFleet(n, size)
			time.Sleep(15 * time.Second)
			n.setBlocked("p1", "p2", true)
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				if got := n.states("p2"); got[StateDead] > 0 {
					t.Fatalf("%d members: p2 is declared dead: %v", size, got)
				}
			}
		})
	}
}

func TestRestartedMemberIsHomeOnlyWhenStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 4)
		time.Sleep(15 * time.Second)
		view := n.members["p0:1"]
		home, _ := view.Snapshot().HomeOf("g")
		if home.ID == "p0" {
			view = n.members["p1:1"]
		}
		n.kill(home.ID)
		time.Sleep(5 * time.Second)
		if next, _ := view.Snapshot().HomeOf("g"); next.ID == home.ID {
			t.Fatal("the dead home is still the home")
		}
		n.start(home.ID, 2, "p0:1", "p1:1", "p2:1")
		time.Sleep(3 * time.Second)
		if next, _ := view.Snapshot().HomeOf("g"); next.ID == home.ID {
			t.Error("the restarted member is the home before it is stable")
		}
		time.Sleep(5 * time.Second)
		if next, _ := view.Snapshot().HomeOf("g"); next.ID != home.ID {
			t.Error("the restarted member is not the home after it became stable")
		}
	})
}

func TestLeavingVMIsMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 4)
		time.Sleep(10 * time.Second)
		n.vms.Set(provider.VM{Address: "p3", Leaving: true}, provider.VM{Address: "10.0.0.7", Leaving: true})
		time.Sleep(4 * time.Second)
		if got := n.states("p3"); got[StateLeaving] != 3 {
			t.Errorf("p3: %v", got)
		}
		if m := n.members["p0:1"]; !m.Leaving("10.0.0.7:5432") || m.Leaving("10.0.0.8:5432") {
			t.Error("Leaving does not distinguish the leaving server from another")
		}
	})
}

// TestLeavingServerNotifiesSubscribers marks the VM of a backend server, which is
// no member, as leaving. Changed must signal it well within the 5 s after which
// the server gets no new work.
func TestLeavingServerNotifiesSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 4)
		time.Sleep(10 * time.Second)
		changed := n.members["p0:1"].Changed()
		n.vms.Set(provider.VM{Address: "10.0.0.7", Leaving: true})
		select {
		case <-changed:
		case <-time.After(1500 * time.Millisecond):
			t.Error("no change was signalled for a leaving server within 1.5 s")
		}
	})
}

// TestIdleTrafficOfLargeFleet limits the ping traffic of a large fleet without
// changes.
func TestIdleTrafficOfLargeFleet(t *testing.T) {
	const size, seconds, limit = 80, 30, 5000
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, size)
		time.Sleep(90 * time.Second) // until the changes of the start are no longer sent
		n.mu.Lock()
		n.bytes = map[string]int{}
		n.mu.Unlock()
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		total, most := 0, 0
		for _, b := range n.bytes {
			total += b
			most = max(most, b)
		}
		t.Logf("mean %d, most %d bytes a second for a member, both directions", total/size/seconds, most/seconds)
		if mean := total / size / seconds; mean > limit {
			t.Errorf("mean %d bytes a second, want at most %d", mean, limit)
		}
	})
}

// A process that joins a running fleet must select the same home as the others
// from the start. Without their reports it would find no stable member and
// select itself.
func TestRestartedMemberAgreesOnHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 8)
		time.Sleep(15 * time.Second)
		home, _ := n.members["p0:1"].Snapshot().HomeOf("g")
		n.kill(home.ID)
		time.Sleep(5 * time.Second)
		others := n.members["p0:1"]
		if home.ID == "p0" {
			others = n.members["p1:1"]
		}
		restarted := n.start(home.ID, 2, "p0:1", "p1:1", "p2:1")
		for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(time.Millisecond) {
			want, _ := others.Snapshot().HomeOf("g")
			if got, ok := restarted.Snapshot().HomeOf("g"); ok && got.ID != want.ID {
				t.Fatalf("%v after the start the home is %s, and %s for the others", time.Since(began), got.ID, want.ID)
			}
		}
	})
}

// A process that reaches no other one becomes the home after joinTimeout.
func TestOnlyMemberBecomesHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		m := n.start("p0", 1, "p0:1", "p1:1")
		time.Sleep(joinTimeout / 2)
		if _, ok := m.Snapshot().HomeOf("g"); ok {
			t.Error("a home was selected before the others could answer")
		}
		time.Sleep(joinTimeout)
		if home, ok := m.Snapshot().HomeOf("g"); !ok || home.ID != "p0" {
			t.Errorf("no home: %v", home)
		}
	})
}

// The time of day of a machine steps back between two starts of its process, so that the
// incarnation of the second start is below that of the first. The others must not ignore
// it as an old report.
func TestMemberThatRestartsAfterItsClockSteppedBackIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 4)
		time.Sleep(15 * time.Second)
		n.kill("p2")
		time.Sleep(time.Minute)
		const earlier = 0
		restarted := n.start("p2", earlier, "p0:1", "p1:1", "p3:1")
		time.Sleep(10 * time.Second)
		if counts := n.states("p2"); counts[StateAlive] != 3 {
			t.Errorf("states of the restarted member at the others: %v, want alive at 3", counts)
		}
		home, _ := restarted.Snapshot().HomeOf("g")
		if other, _ := n.members["p0:1"].Snapshot().HomeOf("g"); other.ID != home.ID {
			t.Errorf("the home is %s for p0 and %s for the restarted member", other.ID, home.ID)
		}
	})
}
