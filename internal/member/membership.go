package member

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/provider"
)

// Pinger sends one ping to the process at address and returns its reply.
type Pinger interface {
	Ping(ctx context.Context, address string, message PingMessage) (PingMessage, error)
}

// Config holds the settings and dependencies of a Membership.
type Config struct {
	Self Member
	// Seeds are the addresses to ping while no other member is known.
	Seeds  []string
	Pinger Pinger
	// JoinInterval is the time between two rounds of pings while the process is
	// joining; zero means pingInterval.
	JoinInterval time.Duration
	Table        provider.Table
	// VMs is nil when the platform does not provide a list of VMs.
	VMs provider.VMList
	// Rand adds jitter to intervals. It is used under the lock of the Membership.
	Rand *rand.Rand
	Log  zerolog.Logger
}

// Membership maintains the view of the members. It is safe for concurrent use.
type Membership struct {
	cfg Config

	mu        sync.Mutex
	table     *table
	selfState State
	// snapshot is nil after a change, until it is read.
	snapshot     *Snapshot
	changed      chan struct{}
	leavingHosts map[string]bool
	missedPings  map[Key]int
	pingQueue    []Key
	seeds        []string
	// seedPings holds the state of the pings of seeds by address.
	seedPings map[string]seedPing
	// lastTick is the time of the last tick.
	lastTick time.Time
}

// New returns a Membership whose view holds only the process itself. Run
// starts it.
func New(cfg Config) *Membership {
	now := time.Now()
	m := &Membership{
		cfg: cfg, table: newTable(cfg.Self, now), selfState: StateAlive, lastTick: now,
		changed: make(chan struct{}), leavingHosts: map[string]bool{}, missedPings: map[Key]int{}, seeds: cfg.Seeds,
		seedPings: map[string]seedPing{},
	}
	m.table.joining = slices.ContainsFunc(cfg.Seeds, func(address string) bool { return address != cfg.Self.Address })
	return m
}

// Run maintains the view until ctx ends. It then releases the lease and returns
// nil.
func (m *Membership) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return m.runPings(ctx) })
	g.Go(func() error { return m.runLease(ctx) })
	g.Go(func() error { return m.runLeaseList(ctx) })
	g.Go(func() error { return m.runVMList(ctx) })
	return g.Wait()
}

// SetSeeds replaces the addresses to ping while no other member is known.
func (m *Membership) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Snapshot returns the current view. It is copied when it is read and not at each change:
// while a large fleet starts, each of its processes sees as many changes as there are members.
func (m *Membership) Snapshot() *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot == nil {
		m.snapshot = m.table.snapshot()
	}
	return m.snapshot
}

// Changed returns a channel that is closed at the next change of the view or
// of the set of leaving VMs.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Leaving reports whether the platform's list of VMs marks the VM with the
// host part of address as leaving.
func (m *Membership) Leaving(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavingHosts[host(address)]
}

// Leave announces to the other members that this process is about to stop. It
// is no longer selected as a home or a warden.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selfState = StateLeaving
	self := m.table.entries[m.table.self]
	m.publish(m.table.fire(self, eventLeft, time.Now()))
}

// HandlePing merges the reports of another member's ping and returns the reply.
// A sender that was unknown receives the view, others receive refutations of
// their suspicions and recent changes.
func (m *Membership) HandlePing(message PingMessage) PingMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	unknown := !m.knowsIncarnation(message.From.Member)
	m.merge(message, now)
	reply := PingMessage{From: m.selfReport()}
	if unknown {
		reply.Members = m.table.liveReports(maxJoinReports, now)
		return reply
	}
	reply.Members = m.table.refutations(message.Members, maxPingReports, now)
	reply.Members = append(reply.Members, m.table.pendingReports(maxPingReports-len(reply.Members), now)...)
	return reply
}

// knowsIncarnation reports whether a member of the same incarnation is in the view.
func (m *Membership) knowsIncarnation(peer Member) bool {
	e, ok := m.table.entries[peer.Key()]
	return ok && e.Member.Incarnation == peer.Incarnation
}

// merge merges the reports of a ping or of its reply. The caller holds the lock.
func (m *Membership) merge(message PingMessage, now time.Time) {
	changed := m.table.contact(message.From, now)
	delete(m.missedPings, message.From.Member.Key())
	for _, r := range message.Members {
		if r.Member.Key() == message.From.Member.Key() {
			continue
		}
		changed = m.table.observe(r, now) || changed
	}
	m.publish(changed)
}

// selfReport returns this process's report about itself. The caller holds the
// lock.
func (m *Membership) selfReport() Report {
	return Report{Member: m.cfg.Self, State: m.selfState, Stable: m.table.entries[m.table.self].Stable}
}

// publish makes a change of the view known. The caller holds the lock.
func (m *Membership) publish(changed bool) {
	if !changed {
		return
	}
	m.snapshot = nil
	close(m.changed)
	m.changed = make(chan struct{})
	m.logChanges()
}

// logChanges logs the changes of states since the last call. The caller holds the lock.
func (m *Membership) logChanges() {
	for _, key := range slices.SortedFunc(maps.Keys(m.table.changedFrom), compareKeys) {
		before, after := Entry{State: m.table.changedFrom[key]}, m.table.entries[key]
		if before.State == after.State {
			continue
		}
		stateChanges.Inc()
		kind := eventMemberChanged
		if before.usable() && after.usable() {
			kind = eventSuspicionChanged
		}
		kind.Log(&m.cfg.Log).
			Str("member", key.String()).
			Str("from", string(before.State)).
			Str("to", string(after.State)).
			Send()
	}
	clear(m.table.changedFrom)
}

// jitter returns d plus or minus up to a fifth.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return delay.JitterWith(d, m.cfg.Rand.Float64())
}

// sleep waits for d with jitter and returns false if ctx ended.
func (m *Membership) sleep(ctx context.Context, d time.Duration) bool {
	return delay.Sleep(ctx, m.jitter(d))
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
