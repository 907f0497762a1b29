// Package grant implements short leases on the term of a database group. While
// such a grant is valid, no primary of a later term can have acknowledged a write,
// and the home of the group need not ask the servers for their term.
//
// Only the holder of the promotion lease ends a term, by replacing the primary.
// It issues grants that expire no later than its own lease, so that no grants are
// outstanding when another process takes the lease; a holder that restarts takes it at once
// and assumes that they are. Before it replaces a primary
// it blocks further grants for the group and waits until each process with a grant
// has revoked it or the grant has expired. A process that revokes its grants reports the
// highest position that it acknowledged under them, so that the promoted server must have
// it; what one acknowledged whose grant has expired is unknown. A process counts the duration of a
// grant from the time before it sent the request, on a clock that also runs while
// the machine is suspended.
package grant

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// MaxDuration is the maximum duration of a grant. A process that fails while it has
// a grant delays the replacement of a primary by up to as much, which is about the
// time that the detection of a failed primary takes.
const MaxDuration = time.Second

// Clock is a monotonic clock that also runs while the machine is suspended.
type Clock func() time.Duration

// ListingTime is the time within which a server that has started is listed, or has ended.
// The platform treats a server whose entry is missing as gone two seconds after its store
// is back. Until a grant has ended for so long, a server that is not listed yet may have
// received a write that was acknowledged under it.
const ListingTime = 2 * time.Second

// MaxListAge bounds the time for which a lease holder that hears of no changes of the list
// waits for them. What was acknowledged under a grant that ended longer ago is not asked for.
const MaxListAge = 30 * time.Second

// Holder is one run of a process that has grants. Incarnation is zero if it is not known.
type Holder struct {
	Proxy       cluster.ProxyID
	Incarnation uint64
}

// Revocation is the answer of a process that has dropped its grants of a group.
type Revocation struct {
	Holder
	// Acknowledged is the highest position that the process has acknowledged under grants
	// of the group. It is not known if Incarnation is zero.
	Acknowledged cluster.Position
}

// Issuer issues grants and tracks those that are outstanding, at the holder of the
// promotion lease. It is safe for concurrent use.
type Issuer struct {
	clock Clock

	mu sync.Mutex
	// issued counts the grants.
	issued uint64
	// outstanding holds the last grant of each process, and for ListingTime and MaxListAge
	// after its expiry, unless the process has reported what it acknowledged under it.
	outstanding map[cluster.GroupName]map[Holder]issuedGrant
	// acknowledged holds the highest position that processes have reported.
	acknowledged map[cluster.GroupName]cluster.Position
	// terms holds the terms that may be granted; a group without one is blocked.
	terms map[cluster.GroupName]cluster.Term
	// earlierExpiry is when the grants of an earlier process expire.
	earlierExpiry time.Duration
}

// issuedGrant is the number of a process's last grant, and when its last one expires.
type issuedGrant struct {
	number uint64
	expiry time.Duration
}

// NewIssuer returns an Issuer with all groups blocked.
func NewIssuer(clock Clock) *Issuer {
	return &Issuer{
		clock: clock, outstanding: map[cluster.GroupName]map[Holder]issuedGrant{},
		acknowledged: map[cluster.GroupName]cluster.Position{}, terms: map[cluster.GroupName]cluster.Term{},
	}
}

// AssumeEarlierGrants makes all groups have outstanding grants for MaxDuration. A process
// that has just started may hold the lease of its earlier process before the grants that
// this one issued have expired.
func (i *Issuer) AssumeEarlierGrants() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.earlierExpiry = i.clock() + MaxDuration
}

// Allow permits grants of a group's term.
func (i *Issuer) Allow(group cluster.GroupName, term cluster.Term) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.terms[group] = term
}

// Block stops further grants for a group and returns the processes that have outstanding
// ones or have not reported what they acknowledged under them, and the number of the last grant.
func (i *Issuer) Block(group cluster.GroupName) ([]cluster.ProxyID, uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.terms, group)
	now := i.clock()
	var holders []cluster.ProxyID
	for h, g := range i.outstanding[group] {
		if now < g.expiry+ListingTime && !slices.Contains(holders, h.Proxy) {
			holders = append(holders, h.Proxy)
		}
	}
	return holders, i.issued
}

// Issue grants the term of a group to a process, for no longer than leaseLeft, the
// remaining time of the promotion lease. It returns the term and the duration of the
// grant; the last result is false when nothing was granted.
func (i *Issuer) Issue(h Holder, group cluster.GroupName, leaseRemaining time.Duration) (cluster.Term, time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	term, ok := i.terms[group]
	duration := min(MaxDuration, leaseRemaining)
	if !ok || duration <= 0 {
		return 0, 0, false
	}
	if i.outstanding[group] == nil {
		i.outstanding[group] = map[Holder]issuedGrant{}
	}
	now := i.clock()
	maps.DeleteFunc(i.outstanding[group], func(_ Holder, g issuedGrant) bool { return now >= g.expiry+ListingTime+MaxListAge })
	i.issued++
	i.outstanding[group][h] = issuedGrant{number: i.issued, expiry: max(i.outstanding[group][h].expiry, now+duration)}
	return term, duration, true
}

// RecordRevoked records that a process has revoked its grants of the group, up to the one
// with the number that Block returned. It may have been given others since. The grants of
// an earlier run of the process have ended as well, but what it acknowledged is not known.
func (i *Issuer) RecordRevoked(r Revocation, group cluster.GroupName, last uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	for h, g := range i.outstanding[group] {
		switch {
		case h.Proxy != r.Proxy || g.number > last:
		case h == r.Holder && r.Incarnation != 0:
			delete(i.outstanding[group], h)
		default:
			g.expiry = min(g.expiry, now)
			i.outstanding[group][h] = g
		}
	}
	i.acknowledged[group] = cluster.MaxPosition(i.acknowledged[group], r.Acknowledged)
}

// Acknowledged returns the highest position of a group that processes are known to have
// acknowledged under grants which they have revoked. It is complete unless other is set:
// then a process whose grant ended within the given time may have acknowledged others.
func (i *Issuer) Acknowledged(group cluster.GroupName, within time.Duration) (highest cluster.Position, other bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	other = now < i.earlierExpiry+within
	for _, g := range i.outstanding[group] {
		other = other || now < g.expiry+within
	}
	return i.acknowledged[group], other
}

// Outstanding reports whether any process may still have a valid grant of the group.
func (i *Issuer) Outstanding(group cluster.GroupName) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	for _, g := range i.outstanding[group] {
		if now < g.expiry {
			return true
		}
	}
	return now < i.earlierExpiry
}

// HeldGrants holds the grants that one process has received. It is safe for
// concurrent use.
type HeldGrants struct {
	clock Clock
	self  Holder

	mu     sync.Mutex
	grants map[cluster.GroupName]entry
	// acknowledged holds the highest positions that were acknowledged under grants, and
	// unknown the groups in which one without a position was.
	acknowledged map[cluster.GroupName]cluster.Position
	unknown      map[cluster.GroupName]bool
	// revokedAt holds the time of the last revocation of each group's grants.
	revokedAt map[cluster.GroupName]time.Duration
}

type entry struct {
	term   cluster.Term
	expiry time.Duration
}

// NewHeldGrants returns an empty HeldGrants of a process.
func NewHeldGrants(proxy cluster.ProxyID, clock Clock) *HeldGrants {
	return &HeldGrants{
		clock: clock, self: Holder{Proxy: proxy, Incarnation: max(1, rand.Uint64())}, grants: map[cluster.GroupName]entry{},
		acknowledged: map[cluster.GroupName]cluster.Position{}, unknown: map[cluster.GroupName]bool{},
		revokedAt: map[cluster.GroupName]time.Duration{},
	}
}

// Holder returns the run of the process that has the grants.
func (h *HeldGrants) Holder() Holder { return h.self }

// Now returns the time from which a grant that is requested now counts. The caller
// passes it to Add.
func (h *HeldGrants) Now() time.Duration { return h.clock() }

// Add records a grant that was requested at requestedAt. A grant that was requested
// before the last revocation of the group's grants is ignored: its answer may have
// been delivered after the revocation although it was issued before.
func (h *HeldGrants) Add(group cluster.GroupName, term cluster.Term, requestedAt, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.revokedAt[group]; ok && requestedAt <= at {
		return
	}
	h.grants[group] = entry{term: term, expiry: requestedAt + duration}
}

// Revoke removes the grants of a group, and returns what was acknowledged under them.
func (h *HeldGrants) Revoke(group cluster.GroupName) Revocation {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.grants, group)
	h.revokedAt[group] = h.clock()
	r := Revocation{Holder: h.self, Acknowledged: h.acknowledged[group]}
	if h.unknown[group] {
		r.Incarnation = 0
	}
	return r
}

// Acknowledge reports whether the process has a valid grant of the group's term, and
// records in that case that it acknowledges a commit at a position of the term.
func (h *HeldGrants) Acknowledge(group cluster.GroupName, term cluster.Term, position cluster.Position) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.valid(group, term) {
		return false
	}
	if !position.Known() {
		h.unknown[group] = true
	}
	h.acknowledged[group] = cluster.MaxPosition(h.acknowledged[group], position)
	return true
}

// Valid reports whether the process has a valid grant of the group's term.
func (h *HeldGrants) Valid(group cluster.GroupName, term cluster.Term) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.valid(group, term)
}

func (h *HeldGrants) valid(group cluster.GroupName, term cluster.Term) bool {
	e, ok := h.grants[group]
	return ok && e.term == term && h.clock() < e.expiry
}
