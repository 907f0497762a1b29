package warden

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/statement"
)

// fixture is a group with servers s1 to s3 and entry VMs e1 to e8, each with a warden
// and a proxy that handles probes.
type fixture struct {
	t *testing.T
	// name differs between seeds, so that different wardens are responsible.
	name         cluster.GroupName
	group        *backendtest.Group
	servers      []cluster.Server
	doc          *environment.Document
	table        *providertest.Table
	members      *staticMembers
	ctx          context.Context
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
	cancelWarden map[string]context.CancelFunc
	wardensByID  map[string]*Warden
	// wrapDialer, if set, wraps the dialer of a warden.
	wrapDialer func(id string, d backend.Dialer) backend.Dialer
	seed       uint64
}

func entryVMs() []string {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("e%d", i+1))
	}
	return ids
}

func newFixture(t *testing.T, seed uint64) *fixture {
	f := &fixture{t: t, seed: seed, name: cluster.GroupName(fmt.Sprintf("group_%d", seed)), table: providertest.NewTable(), cancelWarden: map[string]context.CancelFunc{}, wardensByID: map[string]*Warden{}}
	g := environment.Group{Name: f.name}
	for i := range 3 {
		s := environment.Server{
			ID: cluster.ServerID(fmt.Sprintf("s%d", i+1)), Address: fmt.Sprintf("10.0.0.%d:5432", i+1),
			FailureDomain: fmt.Sprintf("d%d", i+1), Slots: 2, Connections: 16,
		}
		g.Servers = append(g.Servers, s)
		f.servers = append(f.servers, s.Cluster())
	}
	f.doc = &environment.Document{Groups: []environment.Group{g}}
	f.members = &staticMembers{leaving: map[string]bool{}}
	for i, id := range entryVMs() {
		for _, role := range []member.Role{member.RoleProxy, member.RoleWarden} {
			m := member.Member{ID: id, Role: role, FailureDomain: fmt.Sprintf("d%d", i%3+1)}
			f.members.entries = append(f.members.entries, member.Entry{Member: m, State: member.StateAlive, Stable: true})
		}
	}
	f.group = backendtest.New(backendtest.Config{
		Name: f.name, Servers: f.servers, ReplicationDelay: time.Millisecond, ReplayLag: 20 * time.Millisecond,
		ConnectDelay: 12 * time.Millisecond, NetworkDelay: 500 * time.Microsecond,
	})
	f.ctx, f.stop = context.WithCancel(t.Context())
	return f
}

// start runs the wardens of all entry VMs.
func (f *fixture) start() {
	for i, id := range entryVMs() {
		ctx, cancel := context.WithCancel(f.ctx)
		f.cancelWarden[id] = cancel
		w := New(f.config(id, f.seed*100+uint64(i)))
		f.wardensByID[id] = w
		f.goroutines.Go(func() { _ = w.Run(ctx) })
	}
}

func (f *fixture) config(id string, seed uint64) Config {
	dialer := f.group.Dialer(id)
	if f.wrapDialer != nil {
		dialer = f.wrapDialer(id, dialer)
	}
	return Config{
		Self: member.Member{ID: id, Role: member.RoleWarden}, Dialer: dialer, Store: failover.NewRecordStore(f.table),
		Members: f.members, Prober: f, Document: func() *environment.Document { return f.doc },
		Seed: seed, Log: testLog(),
	}
}

func testLog() zerolog.Logger {
	if os.Getenv("RATTAN_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}

// Probe implements Prober: the queried proxy dials the server itself.
func (f *fixture) Probe(ctx context.Context, m member.Member, group cluster.GroupName, server cluster.Server) (failover.ProbeResult, error) {
	return failover.ProbeServer(ctx, f.group.Dialer(m.ID), group, server), nil
}

// close stops all goroutines, as the synctest bubble requires.
func (f *fixture) close() {
	f.stop()
	f.group.Close()
	f.goroutines.Wait()
	time.Sleep(time.Second) // let requests in transit end
}

// orderedWardens returns the wardens of the group in the order in which they act.
func (f *fixture) orderedWardens() []string {
	var ids []string
	for _, m := range f.members.Snapshot().WardensOf(f.name, wardensPerGroup) {
		ids = append(ids, m.ID)
	}
	return ids
}

// writable returns the primary that a majority follows, not counting the excluded
// servers.
func (f *fixture) writable(excluded ...cluster.ServerID) (cluster.ServerID, bool) {
	for _, s := range f.servers {
		p := f.group.Status(s.ID)
		if p.Role != cluster.RolePrimary || contains(excluded, s.ID) {
			continue
		}
		count := 0
		for _, other := range f.servers {
			o := f.group.Status(other.ID)
			if !contains(excluded, other.ID) && o.Term == p.Term && (o.Leader == s.ID) {
				count++
			}
		}
		if count >= cluster.Majority(len(f.servers)) {
			return s.ID, true
		}
	}
	return "", false
}

// waitForPrimary waits for a writable primary and returns how long that took.
func (f *fixture) waitForPrimary(limit time.Duration, excluded ...cluster.ServerID) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if _, ok := f.writable(excluded...); ok {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("seed %d: no writable primary within %v: %s", f.seed, limit, f.describe())
	return limit
}

// expectConverged fails the test unless all servers follow one primary within limit.
func (f *fixture) expectConverged(limit time.Duration) {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if f.allFollow() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("seed %d: not converged within %v: %s", f.seed, limit, f.describe())
}

func (f *fixture) allFollow() bool {
	primary, ok := f.writable()
	if !ok {
		return false
	}
	p := f.group.Status(primary)
	for _, s := range f.servers {
		st := f.group.Status(s.ID)
		if st.Term != p.Term || st.Leader != primary || st.Received != p.Received {
			return false
		}
	}
	return true
}

// expectNoFailover fails the test if any server has accepted a new term.
func (f *fixture) expectNoFailover() {
	f.t.Helper()
	for _, s := range f.servers {
		if f.group.Status(s.ID).Term != 1 {
			f.t.Errorf("the primary was replaced: %s", f.describe())
		}
	}
}

func (f *fixture) describe() string {
	var b strings.Builder
	for _, s := range f.servers {
		fmt.Fprintf(&b, "%+v; ", f.group.Status(s.ID))
	}
	return b.String()
}

func contains(ids []cluster.ServerID, id cluster.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// seedCount returns the number of seeds of a seeded test, which RATTAN_SEEDS can raise.
func seedCount(t *testing.T, minimum int) int {
	t.Helper()
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		return max(n, minimum)
	}
	return minimum
}

// staticMembers is a list of members that only the test changes.
type staticMembers struct {
	mu      sync.Mutex
	entries []member.Entry
	leaving map[string]bool
}

func (s *staticMembers) Snapshot() *member.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return member.NewSnapshot(append([]member.Entry(nil), s.entries...))
}

func (s *staticMembers) Leaving(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[address]
}

func (s *staticMembers) setLeaving(address string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[address] = leaving
}

type discardConversation struct{}

func (discardConversation) Next(context.Context) (*statement.Batch, error) {
	return nil, errors.New("no more")
}
func (discardConversation) SendResponse(context.Context, []byte) error { return nil }

// write commits one row on s1 from a client that is never partitioned.
func (f *fixture) write() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	conn, err := f.group.Dialer("client").Dial(ctx, f.servers[0], f.name, "", backend.Claim{Epoch: 1, Home: "p"})
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	x := &backend.Exchange{Batch: &statement.Batch{Messages: []byte("put k v")}}
	if _, err := conn.Exchange(ctx, x, discardConversation{}); err != nil {
		f.t.Fatal(err)
	}
}
