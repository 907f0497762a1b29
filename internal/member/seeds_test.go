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

// pingSeeds lets a process with n seeds run for a time.
func pingSeeds(t *testing.T, seeds *silentSeeds, n int, duration time.Duration) {
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
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		_ = membership.Run(ctx)
	})
}

// TestJoiningPingsAreBounded guards against the start of a large fleet, where each process
// pinged every seed ten times a second: 300 processes with each other as seeds opened as many
// connections as the square of their number. It also guards against a back-off from a seed
// that has not started yet, which the process would find late, or of a process that runs.
func TestJoiningPingsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		name     string
		refuse   bool
		seeds    int
		duration time.Duration
		// fewest and most bound the number of pings.
		fewest, most int
	}{
		// Each ping takes pingTimeout, and the back-off is 0.2 and 0.4 s while the process
		// joins.
		{"one silent seed, joining", false, 1, joinTimeout - joinInterval, 3, 3},
		// It does not delay the pings of each second after that.
		{"one silent seed", false, 1, 10 * time.Second, 10, 14},
		{"300 silent seeds", false, 300, 10 * time.Second, 1, 30 * seedFanout},
		// The first 2 s have a round each 100 ms, the others one a second, with jitter.
		{"one refusing seed", true, 1, 10 * time.Second, 24, 40},
		{"300 refusing seeds", true, 300, 10 * time.Second, 24 * seedFanout, 40 * seedFanout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			seeds := &silentSeeds{refuse: tt.refuse}
			pingSeeds(t, seeds, tt.seeds, tt.duration)
			if seeds.most > 1 {
				t.Errorf("%d pings of one seed at the same time", seeds.most)
			}
			if seeds.pings < tt.fewest || seeds.pings > tt.most {
				t.Errorf("%d pings in %s, want %d to %d", seeds.pings, tt.duration, tt.fewest, tt.most)
			}
		})
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
