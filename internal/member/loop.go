package member

import (
	"context"
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
	Ping(ctx context.Context, address string, news News) (News, error)
}

// Config holds what a Loop needs.
type Config struct {
	Self Member
	// Seeds are addresses of processes to ask while no other member is known.
	Seeds  []string
	Pinger Pinger
	// AloneInterval is the time between two rounds of pings of a process that has
	// just started and has not heard from another; zero takes that of all others.
	AloneInterval time.Duration
	Table         provider.Table
	// VMs may be nil when the platform has no list.
	VMs provider.VMList
	// Rand spreads the loop's calls over time. It is used under the loop's lock.
	Rand *rand.Rand
	Log  zerolog.Logger
}

// Loop keeps the view up to date. Its methods are safe for concurrent use.
type Loop struct {
	cfg Config

	mu       sync.Mutex
	table    *table
	state    State
	snapshot *Snapshot
	changed  chan struct{}
	leaving  map[string]bool
	failures map[Key]int
	queue    []Key
	seeds    []string
	// ticked is the time of the last tick.
	ticked time.Time
}

// New returns a Loop whose view holds only the process itself. Run starts it.
func New(cfg Config) *Loop {
	now := time.Now()
	l := &Loop{
		cfg: cfg, table: newTable(cfg.Self, now), state: StateAlive, ticked: now,
		changed: make(chan struct{}), leaving: map[string]bool{}, failures: map[Key]int{}, seeds: cfg.Seeds,
	}
	l.table.alone = slices.ContainsFunc(cfg.Seeds, func(address string) bool { return address != cfg.Self.Address })
	l.snapshot = l.table.snapshot()
	return l
}

// Run keeps the view until ctx ends. It releases the lease on the way out and
// returns nil.
func (l *Loop) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return l.runPings(ctx) })
	g.Go(func() error { return l.runLease(ctx) })
	g.Go(func() error { return l.runLists(ctx) })
	g.Go(func() error { return l.runVMs(ctx) })
	return g.Wait()
}

// SetSeeds replaces the addresses to ask while no other member is known.
func (l *Loop) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// Snapshot returns the current view.
func (l *Loop) Snapshot() *Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot
}

// Changed returns a channel that is closed at the next change of the view.
func (l *Loop) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Leaving reports whether the platform's list marks the VM with the host of
// address as leaving.
func (l *Loop) Leaving(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[host(address)]
}

// Leave tells the other members that this process is about to stop. The
// process is no longer chosen as a home or a warden.
func (l *Loop) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = StateLeaving
	self := l.table.entries[l.table.self]
	l.publish(l.table.fire(self, eventLeft, time.Now()))
}

// HandlePing takes in the news of another member's ping and returns the reply.
func (l *Loop) HandlePing(news News) News {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	newcomer := !l.knows(news.From.Member)
	l.take(news, now)
	reply := News{From: l.own()}
	if newcomer {
		reply.Members = l.table.all(welcomeReports, now)
		return reply
	}
	reply.Members = l.table.contradict(news.Members, pingReports, now)
	reply.Members = append(reply.Members, l.table.changes(pingReports-len(reply.Members), now)...)
	return reply
}

// knows reports whether a member of the same incarnation is in the view.
func (l *Loop) knows(m Member) bool {
	e, ok := l.table.entries[m.Key()]
	return ok && e.Member.Incarnation == m.Incarnation
}

// take merges news. The caller holds the lock.
func (l *Loop) take(news News, now time.Time) {
	changed := l.table.heard(news.From, now)
	delete(l.failures, news.From.Member.Key())
	for _, r := range news.Members {
		if r.Member.Key() == news.From.Member.Key() {
			continue
		}
		changed = l.table.observe(r, now) || changed
	}
	l.publish(changed)
}

// own returns the report of this process about itself. The caller holds the lock.
func (l *Loop) own() Report {
	return Report{Member: l.cfg.Self, State: l.state, Stable: l.table.entries[l.table.self].Stable}
}

// publish replaces the snapshot after a change. The caller holds the lock.
func (l *Loop) publish(changed bool) {
	if !changed {
		return
	}
	old := l.snapshot
	l.snapshot = l.table.snapshot()
	close(l.changed)
	l.changed = make(chan struct{})
	l.logChanges(old)
}

func (l *Loop) logChanges(old *Snapshot) {
	for _, e := range l.snapshot.entries {
		before, _ := old.Find(e.Member.Key())
		if before.State == e.State {
			continue
		}
		stateChanges.Inc()
		kind := eventMemberChanged
		if before.usable() && e.usable() {
			kind = eventMemberDoubted
		}
		kind.Log(&l.cfg.Log).
			Str("member", e.Member.Key().String()).
			Str("from", string(before.State)).
			Str("to", string(e.State)).
			Send()
	}
}

// jitter returns d plus or minus a fifth.
func (l *Loop) jitter(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return delay.JitterWith(d, l.cfg.Rand.Float64())
}

// pause waits for about d and reports false when ctx ended.
func (l *Loop) pause(ctx context.Context, d time.Duration) bool {
	return delay.Sleep(ctx, l.jitter(d))
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
