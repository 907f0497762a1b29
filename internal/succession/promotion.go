package succession

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
)

// recordRetryDelay is the delay before a record is read or written again.
const recordRetryDelay = 200 * time.Millisecond

var (
	errLeaseLost     = errors.New("the promotion lease is not held")
	errRecordChanged = errors.New("the group's record was changed by another process")
)

// promote requests a promotion from the platform and records the outcome. The group's record
// names the server first, so that the next lease holder knows of a call that may still take
// effect. The lease is checked immediately before the call, which ends with the lease.
func (l *groupLoop) promote(a Action) {
	config := l.controller.config
	ctx, cancel := context.WithTimeout(l.ctx, min(promotionTimeout, config.Lease.Remaining()))
	defer cancel()
	earlier, err := l.announcePromotion(ctx, a.Server)
	if err != nil {
		eventPromotionSkipped.Log(config.Log).Str("group", string(l.name)).Str("server", string(a.Server)).AnErr("error", err).Send()
		delay.Sleep(l.ctx, recordRetryDelay)
		l.finishPromotion(a.Server, false, err)
		return
	}
	err = config.Promoter.Promote(ctx, Promotion{
		Group: l.name, Server: a.Server, Holder: config.Lease.Holder(), Token: l.token,
	})
	if errors.Is(err, ErrNotRunning) {
		l.mu.Lock()
		l.view.PendingPromotions.withdraw(a.Server, earlier)
		l.mu.Unlock()
	}
	l.finishPromotion(a.Server, true, err)
	eventPromotionRequested.Log(config.Log).Str("group", string(l.name)).Str("server", string(a.Server)).
		Uint64("token", uint64(l.token)).AnErr("error", err).Send()
}

// announcePromotion names the server in the group's record, checks the lease, and notes the
// call that follows. It returns what was pending for the server before.
func (l *groupLoop) announcePromotion(ctx context.Context, id cluster.ServerID) (earlier PendingPromotion, err error) {
	l.mu.Lock()
	highest := l.state.highestTerm(l.view)
	l.announced = &announcedPromotion{id, l.view.PendingPromotions.next(id, highest, time.Now())}
	l.mu.Unlock()
	if err := l.syncRecord(ctx); err != nil {
		return PendingPromotion{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.recordRead || !l.wantedRecord().sameAs(l.savedRecord):
		return PendingPromotion{}, errRecordChanged
	case !l.leaseHeld():
		return PendingPromotion{}, errLeaseLost
	}
	return l.view.PendingPromotions.begin(id, highest, time.Now()), nil
}

// leaseHeld reports whether this process still holds the lease of this loop.
func (l *groupLoop) leaseHeld() bool {
	token, held := l.controller.config.Lease.Held()
	return held && token == l.token
}

// finishPromotion records the outcome of a promotion.
func (l *groupLoop) finishPromotion(id cluster.ServerID, sent bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = nil
	l.view.PromotionInFlight, l.view.PromotionNotSent, l.view.PromotionRefused = false, !sent, ""
	if errors.Is(err, ErrNotRunning) {
		l.view.PromotionRefused = id
	}
	l.wake()
}

// saveRecord writes the group's record in the background if it has changed.
func (l *groupLoop) saveRecord() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recordSyncing || l.recordRead && l.wantedRecord().sameAs(l.savedRecord) {
		return
	}
	l.recordSyncing = true
	l.goroutines.Go(func() {
		err := l.syncRecord(l.ctx)
		if err != nil && l.ctx.Err() == nil {
			eventRecordFailed.Log(l.controller.config.Log).Str("group", string(l.name)).Err(err).Send()
			delay.Sleep(l.ctx, recordRetryDelay)
		}
		l.mu.Lock()
		l.recordSyncing = false
		l.mu.Unlock()
		l.wake()
	})
}

// wantedRecord returns the record that the next lease holder should find. The caller
// holds mu.
func (l *groupLoop) wantedRecord() Record {
	promoting, call := l.view.PendingPromotions.recorded(l.announced, time.Now())
	r := l.state.record(promoting)
	r.Call, r.Token, r.Era = call, l.token, l.controller.config.Lease.Era()
	if time.Now().Before(l.promotionsLostUntil) {
		r.Era = l.savedRecord.Era // the next lease holder has to wait as well
	}
	return r
}

// syncRecord reads the group's record if it is not known, and otherwise writes it if it
// has changed.
func (l *groupLoop) syncRecord(ctx context.Context) error {
	select {
	case l.recordBusy <- struct{}{}:
		defer func() { <-l.recordBusy }()
	case <-ctx.Done():
		return ctx.Err()
	}
	l.mu.Lock()
	known, wanted := l.recordRead, l.wantedRecord()
	unchanged := wanted.sameAs(l.savedRecord)
	l.mu.Unlock()
	if !known {
		return l.fetchRecord(ctx)
	}
	if unchanged {
		return nil
	}
	if !l.leaseHeld() {
		return eris.Wrap(errLeaseLost, "write record of group")
	}
	err := l.controller.records.save(ctx, l.name, wanted)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.recordRead = false // the write may have taken effect, or another process has written
		return err
	}
	l.savedRecord = wanted
	return nil
}

// fetchRecord reads the group's record for the next decision.
func (l *groupLoop) fetchRecord(ctx context.Context) error {
	r, err := l.controller.records.read(ctx, l.name)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readRecord = &r
	l.wake()
	return nil
}

// adoptRecord merges the record that was read last into the state. The caller holds mu
// and is the loop's own goroutine.
func (l *groupLoop) adoptRecord() {
	r := l.readRecord
	if r == nil {
		return
	}
	l.readRecord, l.recordRead, l.savedRecord = nil, true, r.Record
	now := time.Now()
	if r.outdated && !l.adoptOutdated(r.Record, now) {
		return
	}
	if !r.outdated {
		l.state = l.state.adopt(r.Record, now)
	}
	l.adopted = true
	if r.Promoting == "" || r.Token == l.token {
		return
	}
	l.view.PendingPromotions.inherit(r.Record, l.controller.config.Lease.Predecessor(), now)
	eventPromotionInherited.Log(l.controller.config.Log).Str("group", string(l.name)).Str("server", string(r.Promoting)).
		Uint64("token", uint64(r.Token)).Uint64("term_before", uint64(r.Call.TermBefore)).Bool("sole", r.Call.Sole).
		Dur("for", l.view.PendingPromotions[r.Promoting].Until.Sub(now)).Send()
}

// adoptOutdated merges a record after which others may have been lost, and reports whether it
// was of use. A loop that has run before the loss knows more than the record, which it writes
// again. For any other one, each server may have been promoted unseen.
func (l *groupLoop) adoptOutdated(r Record, now time.Time) bool {
	eventRecordOutdated.Log(l.controller.config.Log).Str("group", string(l.name)).Uint64("era", r.Era).
		Uint64("token", uint64(r.Token)).Bool("kept", l.adopted).Send()
	if l.adopted {
		return false
	}
	l.state = l.state.adoptOutdated(r, now)
	l.promotionsLostUntil = now.Add(maxPriorPromotionDelay)
	return true
}
