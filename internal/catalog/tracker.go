package catalog

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/provider"
)

// missingGrace is the time for which a server stays in the catalog while its
// entry is missing. Entries that expired during a disruption of the store return
// within about two seconds after it ends.
const missingGrace = 2500 * time.Millisecond

// Origin is the source of a state.
type Origin string

// Origins of a state.
const (
	OriginStore Origin = "store"
	OriginPeer  Origin = "peer"
)

// Tracker holds the newest state. It is safe for concurrent use.
type Tracker struct {
	log *zerolog.Logger

	mu            sync.Mutex
	configuration *Configuration
	routes        map[string]Route
	// organisations holds the organisations by the digests of their keys, withdrawals
	// the keys that recent configurations have taken away.
	organisations map[KeyDigest]string
	withdrawals   map[KeyDigest]Withdrawal
	// confirmedAt is the last time at which the store had no newer configuration; it is
	// valid if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	servers     map[cluster.ServerID]Server
	// coverage states how much of the store's history servers reflects.
	coverage Coverage
	// restored is set once the store has come back from a copy since its era was first known.
	restored bool
	// missingSince holds the time at which the entry of a server was first missing.
	missingSince map[cluster.ServerID]time.Time
	changed      chan struct{}
	// exports caches the results of Export; it is empty after a change.
	exports map[exportKey][]byte
}

// NewTracker returns an empty Tracker.
func NewTracker(log *zerolog.Logger) *Tracker {
	return &Tracker{
		log: log, servers: map[cluster.ServerID]Server{}, missingSince: map[cluster.ServerID]time.Time{},
		withdrawals: map[KeyDigest]Withdrawal{}, changed: make(chan struct{}),
		exports: map[exportKey][]byte{},
	}
}

// Changed returns a channel that is closed at the next change.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Route returns the route of a database in the active configuration.
func (t *Tracker) Route(database string) (Route, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[database]
	return r, ok
}

// Groups returns the names of the groups in the active configuration.
func (t *Tracker) Groups() []cluster.GroupName {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.configuration == nil {
		return nil
	}
	names := make([]cluster.GroupName, 0, len(t.configuration.Groups))
	for _, g := range t.configuration.Groups {
		names = append(names, g.Name)
	}
	return names
}

// Versions returns the version of the configuration and the store's version of
// the newest known change of the servers (provider.JoinVersion). Each is zero while unknown.
func (t *Tracker) Versions() (configuration, servers uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version(), t.coverage.Latest
}

// Complete reports whether both a configuration and the list of servers are
// known.
func (t *Tracker) Complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.configuration != nil && t.coverage.Complete > 0
}

// State returns the current state. It must not be modified.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{Configuration: t.configuration, Servers: maps.Clone(t.servers)}
}

// SetConfiguration activates a configuration unless it is as old as or older than
// the active one.
func (t *Tracker) SetConfiguration(c *Configuration, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c == nil || t.configuration != nil && c.Version <= t.configuration.Version {
		return
	}
	before := t.version()
	t.configuration = c
	t.routes = make(map[string]Route, len(c.Routes))
	for _, r := range c.Routes {
		t.routes[r.Database] = r
	}
	t.setOrganisations(c)
	eventConfigurationInForce.Log(t.log).Uint64("version", c.Version).Uint64("before", before).
		Str("origin", string(origin)).Int("routes", len(c.Routes)).
		Bool("keys_required", c.KeysRequired).Int("organisations", len(c.Organisations)).Send()
	t.notify()
}

// SetServers replaces the entries by a complete list, unless it covers less of
// the store's history than the current one. Servers that are not in the list are
// kept for missingGrace.
func (t *Tracker) SetServers(servers []Server, coverage Coverage, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.extendCoverage(coverage) {
		return
	}
	listed := make(map[cluster.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		t.upsert(s, origin)
	}
	for id := range t.servers {
		if !listed[id] {
			t.markMissing(id, origin)
		}
	}
	t.notify()
}

// ApplyChanges applies changes of single entries from the store's feed. A nil
// entry was removed.
func (t *Tracker) ApplyChanges(entries map[cluster.ServerID]*Server, coverage Coverage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.extendCoverage(coverage) || len(entries) == 0 {
		return
	}
	for id, s := range entries {
		if s == nil {
			t.markMissing(id, OriginStore)
			continue
		}
		t.upsert(*s, OriginStore)
	}
	t.notify()
}

// extendCoverage extends the coverage by that of an update. It returns false if
// the update is older than the current state and must be ignored. Latest is
// recorded even then, because the current state contains that change: Latest may
// be the version of a removal, which leaves no entry in the current state. An update
// of a later era of the store is newer in any case. The caller holds the lock.
func (t *Tracker) extendCoverage(coverage Coverage) bool {
	t.noteEra(coverage)
	t.coverage.Latest = max(t.coverage.Latest, coverage.Latest)
	if coverage.Complete < t.coverage.Complete {
		return false
	}
	t.coverage.Complete = coverage.Complete
	return true
}

// noteEra records that the store has come back from a copy, if an update shows it. The caller
// holds the lock.
func (t *Tracker) noteEra(coverage Coverage) {
	eraBefore, before := provider.SplitVersion(t.coverage.Complete)
	era, now := provider.SplitVersion(coverage.Complete)
	if eraBefore == 0 || era <= eraBefore {
		return
	}
	t.restored = true
	storeRestores.Inc()
	eventStoreRestored.Log(t.log).Uint64("era_before", eraBefore).Uint64("era", era).
		Uint64("store_version_before", before).Uint64("store_version", now).
		Uint64("configuration_kept", t.version()).Int("servers_known", len(t.servers)).Send()
}

// PeerVersion returns the version of the servers that a peer has named by its era and
// number. Processes of earlier versions name no era, and are taken to be in the present
// one. After a restore of the store what they have cannot be placed: usable is false.
func (t *Tracker) PeerVersion(era, number uint64) (version uint64, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era == 0 {
		return provider.JoinVersion(provider.EraOf(t.coverage.Complete), number), !t.restored
	}
	return provider.JoinVersion(era, number), true
}

// Expire removes the servers whose entries have been missing for missingGrace and
// returns the time until the next removal; zero when no entry is missing.
func (t *Tracker) Expire(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next time.Duration
	for id, since := range t.missingSince {
		remaining := missingGrace - now.Sub(since)
		if remaining > 0 {
			next = cmp.Or(min(next, remaining), remaining)
			continue
		}
		delete(t.missingSince, id)
		delete(t.servers, id)
		eventServerGone.Log(t.log).Str("server", string(id)).Dur("missing_for", now.Sub(since)).Send()
		t.notify()
	}
	return next
}

// upsert adds or replaces an entry. The caller holds the lock.
func (t *Tracker) upsert(s Server, origin Origin) {
	delete(t.missingSince, s.ID)
	old, known := t.servers[s.ID]
	if known && old == s {
		return
	}
	t.servers[s.ID] = s
	eventServerEntry.Log(t.log).Str("server", string(s.ID)).Str("group", string(s.Group)).Str("address", s.Address).
		Bool("draining", s.Draining).Bool("primary", s.Primary).Int64("started", s.Started).
		Uint64("store_version", t.storeNumber()).Str("origin", string(origin)).Send()
}

// storeNumber returns the version that servers reflect as the store numbers it. The caller
// holds the lock.
func (t *Tracker) storeNumber() uint64 {
	_, number := provider.SplitVersion(t.coverage.Complete)
	return number
}

// markMissing records that the entry of a server is missing. The caller holds
// the lock.
func (t *Tracker) markMissing(id cluster.ServerID, origin Origin) {
	if _, known := t.servers[id]; !known {
		return
	}
	if _, missing := t.missingSince[id]; missing {
		return
	}
	t.missingSince[id] = time.Now()
	eventServerMissing.Log(t.log).Str("server", string(id)).Uint64("store_version", t.storeNumber()).
		Str("origin", string(origin)).Send()
}

// notify signals a change to all waiters. The caller holds the lock.
func (t *Tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
	clear(t.exports)
}
