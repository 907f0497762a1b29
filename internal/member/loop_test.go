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

// testNet delivers pings between loops and counts their bytes.
type testNet struct {
	mu           sync.Mutex
	loops        map[string]*Membership
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
		loops: map[string]*Membership{}, blockedPaths: map[[2]string]bool{}, bytes: map[string]int{},
		table: providertest.NewTable(), vms: &providertest.VMList{}, stops: map[string]context.CancelFunc{}, ctx: ctx,
	}
	return n, func() {
		cancel()
		n.wg.Wait()
	}
}

// start runs a proxy. Its address is "<id>:1".
func (n *testNet) start(id string, incarnation uint64, seeds ...string) *Membership {
	self := Member{ID: id, Role: RoleProxy, Address: id + ":1", FailureDomain: "sierra-north", Incarnation: incarnation}
	l := New(Config{
		Self: self, Seeds: seeds, Table: n.table, VMs: n.vms, Log: zerolog.Nop(),
		Pinger: testPinger{n, self.Address}, Rand: rand.New(rand.NewPCG(incarnation, uint64(len(n.loops)))),
	})
	ctx, cancel := context.WithCancel(n.ctx)
	n.mu.Lock()
	n.loops[self.Address], n.stops[self.Address] = l, cancel
	n.mu.Unlock()
	n.wg.Go(func() { _ = l.Run(ctx) })
	return l
}

// kill stops a process without its lease being released.
func (n *testNet) kill(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.loops, id+":1")
}

func (n *testNet) setBlocked(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedPaths[[2]string{a + ":1", b + ":1"}] = cut
	n.blockedPaths[[2]string{b + ":1", a + ":1"}] = cut
}

type testPinger struct {
	net  *testNet
	from string
}

func (p testPinger) Ping(ctx context.Context, address string, message PingMessage) (PingMessage, error) {
	p.net.mu.Lock()
	to, ok := p.net.loops[address]
	_, running := p.net.loops[p.from]
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

// frameOverhead is what a message costs beyond its content: drpc frames and TCP
// and IP headers, and half an acknowledgement.
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
	for address, l := range n.loops {
		if address == of+":1" {
			continue
		}
		e, ok := l.Snapshot().Find(Key{RoleProxy, of})
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
						t.Fatalf("before: %v", got)
					}
					n.kill("p2")
					began := time.Now()
					for n.states("p2")[StateDead] != size-1 {
						time.Sleep(100 * time.Millisecond)
						if time.Since(began) > 10*time.Second {
							t.Fatalf("after %v: %v", time.Since(began), n.states("p2"))
						}
					}
					t.Logf("all know of the death after %v", time.Since(began))
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
					t.Fatalf("%d members: p2 counts as dead: %v", size, got)
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
		view := n.loops["p0:1"]
		home, _ := view.Snapshot().HomeOf("g")
		if home.ID == "p0" {
			view = n.loops["p1:1"]
		}
		n.kill(home.ID)
		time.Sleep(5 * time.Second)
		if next, _ := view.Snapshot().HomeOf("g"); next.ID == home.ID {
			t.Fatal("the dead home is still the home")
		}
		n.start(home.ID, 2, "p0:1", "p1:1", "p2:1")
		time.Sleep(3 * time.Second)
		if next, _ := view.Snapshot().HomeOf("g"); next.ID == home.ID {
			t.Error("the returning member is the home at once")
		}
		time.Sleep(5 * time.Second)
		if next, _ := view.Snapshot().HomeOf("g"); next.ID != home.ID {
			t.Error("the returned member is not the home")
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
		if l := n.loops["p0:1"]; !l.Leaving("10.0.0.7:5432") || l.Leaving("10.0.0.8:5432") {
			t.Error("leaving servers are not told apart")
		}
	})
}

// TestLeavingServerNotifiesSubscribers lists a backend server as leaving, which is no
// member: whoever waits for changes hears of it, within a part of the 5 s after
// which the server gets no new work.
func TestLeavingServerNotifiesSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 4)
		time.Sleep(10 * time.Second)
		changed := n.loops["p0:1"].Changed()
		n.vms.Set(provider.VM{Address: "10.0.0.7", Leaving: true})
		select {
		case <-changed:
		case <-time.After(1500 * time.Millisecond):
			t.Error("a leaving server was not told in time")
		}
	})
}

// TestIdleTrafficOfLargeFleet counts the bytes of a quiet large fleet.
func TestIdleTrafficOfLargeFleet(t *testing.T) {
	const size, seconds, limit = 80, 30, 5000
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, size)
		time.Sleep(90 * time.Second) // news of the start has spread
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

// A process that joins an old fleet takes the others' home for its own from
// the beginning. It does not choose itself because it finds nobody stable.
func TestRestartedMemberAgreesOnHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		startFleet(n, 8)
		time.Sleep(15 * time.Second)
		home, _ := n.loops["p0:1"].Snapshot().HomeOf("g")
		n.kill(home.ID)
		time.Sleep(5 * time.Second)
		others := n.loops["p0:1"]
		if home.ID == "p0" {
			others = n.loops["p1:1"]
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

// A process that reaches no other one is its own home after a while.
func TestOnlyMemberBecomesHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := newTestNet(t)
		defer stop()
		l := n.start("p0", 1, "p0:1", "p1:1")
		time.Sleep(joinTimeout / 2)
		if _, ok := l.Snapshot().HomeOf("g"); ok {
			t.Error("a home before the others could answer")
		}
		time.Sleep(joinTimeout)
		if home, ok := l.Snapshot().HomeOf("g"); !ok || home.ID != "p0" {
			t.Errorf("no home: %v", home)
		}
	})
}
