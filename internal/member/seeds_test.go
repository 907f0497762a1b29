package member

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

// silentSeeds never answer, or refuse at once.
type silentSeeds struct {
	refuse  bool
	mu      sync.Mutex
	running map[string]int
	pings   int
	most    int
}

// Ping implements Pinger.
func (s *silentSeeds) Ping(ctx context.Context, address string, _ PingMessage) (PingMessage, error) {
	s.mu.Lock()
	s.pings++
	s.running[address]++
	s.most = max(s.most, s.running[address])
	s.mu.Unlock()
	if s.refuse {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running[address]--
		return PingMessage{}, errcode.New(errcode.NoHome, "dial peer", address)
	}
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[address]--
	return PingMessage{}, ctx.Err()
}

// pingSeeds lets a process join with n seeds for 10 s.
func pingSeeds(t *testing.T, seeds *silentSeeds, n int) {
	seeds.running = map[string]int{}
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("s%d:1", i))
	}
	synctest.Test(t, func(t *testing.T) {
		membership := New(Config{
			Self: Member{ID: "p1", Role: RoleProxy, Address: "a:1", Incarnation: 1}, Seeds: addresses,
			Pinger: seeds, JoinInterval: joinInterval, Table: providertest.NewTable(), Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = membership.Run(ctx)
	})
}

// TestJoiningPingsAreBounded guards against the start of a large fleet, where each process
// pinged every seed ten times a second: 300 processes with each other as seeds opened as many
// connections as the square of their number.
func TestJoiningPingsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		refuse bool
		seeds  int
		// pings is the largest number of pings in 10 s.
		pings int
	}{
		{"one silent seed", false, 1, 10},
		{"300 silent seeds", false, 300, 20*seedFanout + 10*seedFanout},
		// The first 2 s have a round each 100 ms, the others one a second.
		{"one refusing seed", true, 1, 40},
		{"300 refusing seeds", true, 300, 40 * seedFanout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			seeds := &silentSeeds{refuse: tt.refuse}
			pingSeeds(t, seeds, tt.seeds)
			if seeds.most > 1 {
				t.Errorf("%d pings of one seed at the same time", seeds.most)
			}
			if seeds.pings == 0 || seeds.pings > tt.pings {
				t.Errorf("%d pings in 10 s, want 1 to %d", seeds.pings, tt.pings)
			}
		})
	}
}

// TestRefusingSeedIsPingedEachRound guards against a back-off from a seed that has not
// started yet: the process would find it late.
func TestRefusingSeedIsPingedEachRound(t *testing.T) {
	seeds := &silentSeeds{refuse: true}
	pingSeeds(t, seeds, 1)
	if seeds.pings < 24 { // 16 in the first 2 s at the longest rounds, then 8
		t.Errorf("%d pings in 10 s", seeds.pings)
	}
}

// TestSnapshotIsCopiedOnce guards against a copy of the view at each change, which no one
// reads: while a fleet of n starts each process made n of them.
func TestSnapshotIsCopiedOnce(t *testing.T) {
	m := New(Config{Self: fleetMember(0), Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop()})
	report := Report{State: StateAlive, Stable: true}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range fleetSize {
		report.Member = fleetMember(1 + i)
		m.HandlePing(PingMessage{From: report})
	}
	runtime.ReadMemStats(&after)
	allocated := (after.TotalAlloc - before.TotalAlloc) / fleetSize
	t.Logf("%d bytes for each process that joins", allocated)
	if limit := uint64(40 << 10); allocated > limit {
		t.Errorf("%d bytes for each process that joins, want at most %d", allocated, limit)
	}
	if s := m.Snapshot(); s != m.Snapshot() || len(s.entries) < 2 {
		t.Error("the view is not kept, or lacks members")
	}
}

// TestChangesAreLoggedOnce guards against changes of states that are not logged, or logged
// again with each later change.
func TestChangesAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	m := New(Config{Self: fleetMember(0), Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.New(&out)})
	m.HandlePing(PingMessage{From: Report{Member: fleetMember(1), State: StateAlive}})
	m.HandlePing(PingMessage{From: Report{Member: fleetMember(2), State: StateAlive}})
	m.HandlePing(PingMessage{From: Report{Member: fleetMember(1), State: StateLeaving}})
	m.Leave()
	var got []string
	for line := range bytes.Lines(out.Bytes()) {
		var entry struct{ Member, From, To string }
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatal(err)
		}
		got = append(got, entry.Member+" "+entry.From+">"+entry.To)
	}
	want := []string{"proxy/front-1 >alive", "proxy/front-2 >alive", "proxy/front-1 alive>leaving", "proxy/front-0 alive>leaving"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
