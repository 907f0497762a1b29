// Package grant lets the homes of database groups rely on the term of a group
// for a short time without asking its servers.
//
// Only the holder of the duty to promote ends a term. It issues grants that end
// with its own lease at the latest, so that the next holder finds none in
// force. Before it replaces a primary it blocks further grants and waits until
// every process that has one has given it up or the grant has run out. A
// process counts a grant from before it asked, on a clock that also runs while
// the machine is suspended.
package grant

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// MaxDuration is how long a grant holds at most. A process that has failed delays the
// replacement of a primary by as much, which is about the time that it takes
// to find out that a primary has failed.
const MaxDuration = time.Second

// Clock is a steady clock that counts the time of a suspension as well.
type Clock func() time.Duration

// Issuer keeps account of the grants that the holder of the duty has issued.
// It is safe for concurrent use.
type Issuer struct {
	clock Clock

	mu sync.Mutex
	// expiries holds the time at which the last grant of a process runs out.
	expiries map[cluster.GroupName]map[cluster.ProxyID]time.Duration
	// terms holds the terms that may be granted; a group without one is blocked.
	terms map[cluster.GroupName]cluster.Term
}

// NewIssuer returns an Issuer that grants nothing.
func NewIssuer(clock Clock) *Issuer {
	return &Issuer{
		clock: clock, expiries: map[cluster.GroupName]map[cluster.ProxyID]time.Duration{},
		terms: map[cluster.GroupName]cluster.Term{},
	}
}

// Allow makes the term of a group one that may be granted.
func (i *Issuer) Allow(group cluster.GroupName, term cluster.Term) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.terms[group] = term
}

// Block ends the issue of grants for a group and returns the processes whose
// grants are in force.
func (i *Issuer) Block(group cluster.GroupName) []cluster.ProxyID {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.terms, group)
	now := i.clock()
	var holders []cluster.ProxyID
	for proxy, expiry := range i.expiries[group] {
		if now < expiry {
			holders = append(holders, proxy)
		}
	}
	return holders
}

// Issue grants the term of a group to a process for at most limit. The second
// result is false when it may not be granted.
func (i *Issuer) Issue(proxy cluster.ProxyID, group cluster.GroupName, leaseLeft time.Duration) (cluster.Term, time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	term, ok := i.terms[group]
	valid := min(MaxDuration, leaseLeft)
	if !ok || valid <= 0 {
		return 0, 0, false
	}
	if i.expiries[group] == nil {
		i.expiries[group] = map[cluster.ProxyID]time.Duration{}
	}
	i.expiries[group][proxy] = max(i.expiries[group][proxy], i.clock()+valid)
	return term, valid, true
}

// RecordRevoked records that a process relies on no grant of the group any more.
func (i *Issuer) RecordRevoked(proxy cluster.ProxyID, group cluster.GroupName) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.expiries[group], proxy)
}

// Outstanding reports whether some process may still rely on a grant of the group.
func (i *Issuer) Outstanding(group cluster.GroupName) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	for _, expiry := range i.expiries[group] {
		if now < expiry {
			return true
		}
	}
	return false
}

// HeldGrants holds the grants of one process. It is safe for concurrent use.
type HeldGrants struct {
	clock Clock

	mu     sync.Mutex
	grants map[cluster.GroupName]entry
	// revokedAt holds when a group's grants were given up last.
	revokedAt map[cluster.GroupName]time.Duration
}

type entry struct {
	term   cluster.Term
	expiry time.Duration
}

// NewHeldGrants returns an empty Book.
func NewHeldGrants(clock Clock) *HeldGrants {
	return &HeldGrants{clock: clock, grants: map[cluster.GroupName]entry{}, revokedAt: map[cluster.GroupName]time.Duration{}}
}

// Now returns the time from which a grant that is asked for now counts.
func (h *HeldGrants) Now() time.Duration { return h.clock() }

// Add records a grant that was asked for at a time. One that was asked for
// before the group's grants were given up does not count: its answer may have
// been overtaken.
func (h *HeldGrants) Add(group cluster.GroupName, term cluster.Term, requestedAt, valid time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.revokedAt[group]; ok && requestedAt <= at {
		return
	}
	h.grants[group] = entry{term: term, expiry: requestedAt + valid}
}

// Revoke drops the grants of a group.
func (h *HeldGrants) Revoke(group cluster.GroupName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.grants, group)
	h.revokedAt[group] = h.clock()
}

// Valid reports whether the term of a group is granted at this moment.
func (h *HeldGrants) Valid(group cluster.GroupName, term cluster.Term) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.grants[group]
	return ok && e.term == term && h.clock() < e.expiry
}
