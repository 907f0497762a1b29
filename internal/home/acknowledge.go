package home

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/grant"
)

const (
	// copiesInterval is the time between two status calls, and between two looks at the
	// grant, while an acknowledgement is withheld.
	copiesInterval = 20 * time.Millisecond
	// grantPollInterval is the time between two looks at the grant while a write waits for it.
	grantPollInterval = 5 * time.Millisecond
	// noGrantRetryDelay is the time after which a write that was refused for lack of a
	// grant may be sent again. A grant is requested meanwhile.
	noGrantRetryDelay = 100 * time.Millisecond
	// newTermGrantWait is how long a write waits for the first grant after a home has
	// started or learned of a new primary: a request takes a few round trips, and the
	// lease holder must have seen the primary as well.
	newTermGrantWait = 500 * time.Millisecond
	// refusalLogInterval is the minimum time between two events about such refusals.
	refusalLogInterval = time.Second
)

// granted reports whether this process has a valid grant of a term. Where there are no
// grants, the acknowledgement of a server is enough.
func (o *owner) granted(term cluster.Term) bool {
	terms := o.home.config.Terms
	return terms == nil || terms.Valid(o.name, term)
}

// acknowledgeGranted is granted for a commit whose acknowledgement is passed on if it
// returns true.
func (o *owner) acknowledgeGranted(term cluster.Term, p cluster.Position) bool {
	terms := o.home.config.Terms
	return terms == nil || terms.Acknowledge(o.name, term, p)
}

// awaitServerAck waits until the acknowledgement of the primary of a term may be passed
// on, and records the write. See grant.MayAcknowledge.
func (o *owner) awaitServerAck(ctx context.Context, r *request, term cluster.Term, p cluster.Position) error {
	if o.acknowledgeGranted(term, p) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.recordAcknowledged(r.Session, p)
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	o.requestGrant()
	begun := time.Now()
	if o.pendingCopies.Add(1) == 1 {
		o.requestPolls()
	}
	defer o.pendingCopies.Add(-1)
	acksWithheldTotal.Inc()
	o.workers.Go(func() { o.recheck(ctx) })
	err := o.await(ctx, func() (bool, error) {
		if o.view.term > term {
			return false, errTermChanged
		}
		if !grant.MayAcknowledge(o.acknowledgeGranted(term, p), o.copies(begun), term, p) {
			return false, nil
		}
		o.recordAcknowledged(r.Session, p)
		return true, nil
	})
	eventAckWithheld.Log(o.home.log).Str("group", string(o.name)).Uint64("term", uint64(term)).
		Stringer("position", p).Dur("held", time.Since(begun)).Bool("passed_on", err == nil).AnErr("error", err).Send()
	return err
}

// recheck wakes all calls of await until ctx is done, since a grant does not.
func (o *owner) recheck(ctx context.Context) {
	for delay.Sleep(ctx, copiesInterval) {
		o.mu.Lock()
		o.notifyChanged()
		o.mu.Unlock()
	}
}

// copies returns what the servers reported in calls that began after a time. It returns none while a server that is no longer listed may be promoted. The
// caller holds the lock.
func (o *owner) copies(after time.Time) []grant.Copy {
	if o.recentDeparture() {
		return nil
	}
	copies := make([]grant.Copy, 0, len(o.spec.Servers))
	for _, s := range o.spec.Servers {
		r := o.view.reports[s.ID]
		copies = append(copies, grant.Copy{Asked: r.known && r.asked.After(after), Term: r.status.Term, Received: r.status.Received})
	}
	return copies
}

func (o *owner) recentDeparture() bool { return time.Since(o.lastDeparture) < grant.DepartureDelay }

// refuseUnconfirmed returns an error if a batch that commits must not be sent to the
// primary of a term, since nothing would allow its acknowledgement: neither a grant nor
// that all servers soon have it.
func (o *owner) refuseUnconfirmed(r *request, term cluster.Term) *errcode.Error {
	if r.ack != environment.AckServer || o.granted(term) {
		return nil
	}
	o.requestGrant()
	o.mu.Lock()
	defer o.mu.Unlock()
	reason := o.copiesBlocker(term)
	if reason == "" {
		return nil
	}
	writesUnconfirmedTotal.Inc()
	if time.Since(o.refusalLogged) >= refusalLogInterval {
		o.refusalLogged = time.Now()
		eventWriteRefused.Log(o.home.log).Str("group", string(o.name)).Uint64("term", uint64(term)).Str("reason", reason).Send()
	}
	err := errcode.New(errcode.NoPrimary, "no grant of the term, "+reason, string(o.name))
	err.RetryAfter = noGrantRetryDelay
	return err
}

// firstGrantDue returns until when a batch that would be refused should wait, because the
// first grant of a term that is new to this process may be on the way; zero if it should not.
func (o *owner) firstGrantDue(r *request, term cluster.Term) time.Time {
	if r.ack != environment.AckServer || o.granted(term) {
		return time.Time{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	due := o.termLearned.Add(newTermGrantWait)
	if r.deadline.Before(due) {
		due = r.deadline
	}
	if !time.Now().Before(due) || o.copiesBlocker(term) == "" {
		return time.Time{}
	}
	return due
}

// awaitGrant waits for a grant of a term until the given time.
func (o *owner) awaitGrant(ctx context.Context, term cluster.Term, until time.Time) {
	o.requestGrant()
	for !o.granted(term) && time.Now().Before(until) && delay.Sleep(ctx, grantPollInterval) {
	}
}

// copiesBlocker returns why it cannot be expected that all servers soon have a write of a
// term; empty if it can. The caller holds the lock.
func (o *owner) copiesBlocker(term cluster.Term) string {
	if o.recentDeparture() {
		return "a server has left or the process has started recently"
	}
	for _, s := range o.spec.Servers {
		r, n := o.view.reports[s.ID], o.nodes[s.ID]
		switch {
		case !r.known || n.controlFailed:
			return "no status of " + string(s.ID)
		case r.status.Term != term:
			return "another term at " + string(s.ID)
		case r.status.PausedAt > 0:
			return "replication is paused at " + string(s.ID)
		}
	}
	return ""
}

// requestGrant asks for a grant before the next one is due.
func (o *owner) requestGrant() {
	if request := o.home.config.RequestGrants; request != nil {
		request()
	}
}
