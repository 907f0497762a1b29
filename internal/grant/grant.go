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

// Time is how long a grant holds at most. A process that has failed delays the
// replacement of a primary by as much, which is about the time that it takes
// to find out that a primary has failed.
const Time = time.Second

// Clock is a steady clock that counts the time of a suspension as well.
type Clock func() time.Duration

// Issuer keeps account of the grants that the holder of the duty has issued.
// It is safe for concurrent use.
type Issuer struct {
	clock Clock

	mu sync.Mutex
	// issued holds the time at which the last grant of a process runs out.
	issued map[cluster.GroupName]map[cluster.ProxyID]time.Duration
	// terms holds the terms that may be granted; a group without one is blocked.
	terms map[cluster.GroupName]cluster.Term
}

// NewIssuer returns an Issuer that grants nothing.
func NewIssuer(clock Clock) *Issuer {
	return &Issuer{
		clock: clock, issued: map[cluster.GroupName]map[cluster.ProxyID]time.Duration{},
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
	for proxy, expiry := range i.issued[group] {
		if now < expiry {
			holders = append(holders, proxy)
		}
	}
	return holders
}

// Issue grants the term of a group to a process for at most limit. The second
// result is false when it may not be granted.
func (i *Issuer) Issue(proxy cluster.ProxyID, group cluster.GroupName, limit time.Duration) (cluster.Term, time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	term, ok := i.terms[group]
	valid := min(Time, limit)
	if !ok || valid <= 0 {
		return 0, 0, false
	}
	if i.issued[group] == nil {
		i.issued[group] = map[cluster.ProxyID]time.Duration{}
	}
	i.issued[group][proxy] = max(i.issued[group][proxy], i.clock()+valid)
	return term, valid, true
}

// GivenUp records that a process relies on no grant of the group any more.
func (i *Issuer) GivenUp(proxy cluster.ProxyID, group cluster.GroupName) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.issued[group], proxy)
}

// InForce reports whether some process may still rely on a grant of the group.
func (i *Issuer) InForce(group cluster.GroupName) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	for _, expiry := range i.issued[group] {
		if now < expiry {
			return true
		}
	}
	return false
}

// Book holds the grants of one process. It is safe for concurrent use.
type Book struct {
	clock Clock

	mu     sync.Mutex
	grants map[cluster.GroupName]entry
	// revoked holds when a group's grants were given up last.
	revoked map[cluster.GroupName]time.Duration
}

type entry struct {
	term   cluster.Term
	expiry time.Duration
}

// NewBook returns an empty Book.
func NewBook(clock Clock) *Book {
	return &Book{clock: clock, grants: map[cluster.GroupName]entry{}, revoked: map[cluster.GroupName]time.Duration{}}
}

// Now returns the time from which a grant that is asked for now counts.
func (b *Book) Now() time.Duration { return b.clock() }

// Take records a grant that was asked for at a time. One that was asked for
// before the group's grants were given up does not count: its answer may have
// been overtaken.
func (b *Book) Take(group cluster.GroupName, term cluster.Term, asked, valid time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, ok := b.revoked[group]; ok && asked <= at {
		return
	}
	b.grants[group] = entry{term: term, expiry: asked + valid}
}

// GiveUp drops the grants of a group.
func (b *Book) GiveUp(group cluster.GroupName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.grants, group)
	b.revoked[group] = b.clock()
}

// Stands reports whether the term of a group is granted at this moment.
func (b *Book) Stands(group cluster.GroupName, term cluster.Term) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.grants[group]
	return ok && e.term == term && b.clock() < e.expiry
}
