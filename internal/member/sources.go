package member

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/event"
)

const (
	// leaseInterval is the shortest time between two renewals of the lease.
	leaseInterval = 10 * time.Second
	// leaseSpacing is the time that the fleet leaves between two renewals by
	// different members: it bounds the renewals at three a second at any size. A
	// lease only lets newcomers find members that their seeds do not know.
	leaseSpacing = 320 * time.Millisecond
	// leaseRetry is the time after which a failed renewal is tried again.
	leaseRetry = 3 * time.Second
	// listInterval is the shortest time between two lists of the lease rows.
	listInterval = 10 * time.Second
	// listSpacing is the time that the fleet leaves between two lists by
	// different members: it bounds the lists at three a second at any size.
	listSpacing = 320 * time.Millisecond
	// vmInterval is the shortest time between two reads of the list of VMs: a
	// leaving server gets no new work 5 s after its notice, of which the list may
	// lag by one and the hand-over from a leaving primary takes up to two.
	vmInterval = time.Second
	// vmSpacing is the time that the fleet leaves between two reads of the
	// list of VMs by different members.
	vmSpacing = 10 * time.Millisecond
	// vmTimeout bounds one read of the list of VMs.
	vmTimeout = 2 * time.Second
)

// interval returns the time between two calls of one member such that calls
// of all members keep spacing, and never less than least.
func (l *Loop) interval(least, spacing time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(least, time.Duration(len(l.table.entries))*spacing)
}

func (l *Loop) runLease(ctx context.Context) error {
	row := &lease{table: l.cfg.Table, self: l.cfg.Self}
	defer func() {
		// The context of Run has ended; release has its own deadline.
		_ = row.release(context.WithoutCancel(ctx))
	}()
	var failed outage
	for {
		l.mu.Lock()
		state := l.state
		l.mu.Unlock()
		wait := l.interval(leaseInterval, leaseSpacing)
		err := row.renew(ctx, state)
		if err != nil && ctx.Err() == nil {
			leaseErrors.Inc()
			wait = leaseRetry
		}
		failed.note(&l.cfg.Log, leaseEvent(err), err)
		if !l.pause(ctx, wait) {
			return nil
		}
	}
}

func leaseEvent(err error) event.Event {
	if errcode.Is(err, errcode.Superseded) {
		return eventLeaseSuperseded
	}
	return eventLeaseFailed
}

// outage logs the first failure of a run of failures.
type outage struct{ failing bool }

func (o *outage) note(log *zerolog.Logger, kind event.Event, err error) {
	if err != nil && !o.failing && !errors.Is(err, context.Canceled) {
		kind.Log(log).Err(err).Send()
	}
	o.failing = err != nil
}

func (l *Loop) runLists(ctx context.Context) error {
	rows := &leases{table: l.cfg.Table, seen: map[string]seenLease{}}
	var failed outage
	for {
		values, err := rows.list(ctx, leaseLives*l.interval(leaseInterval, leaseSpacing))
		failed.note(&l.cfg.Log, eventListFailed, err)
		l.discover(values)
		wait := l.interval(listInterval, listSpacing)
		if err != nil {
			wait = leaseRetry
		}
		if !l.pause(ctx, wait) {
			return nil
		}
	}
}

// discover adds members that have a lease and are not in the view. Whether
// they live is left to pings.
func (l *Loop) discover(values []leaseValue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	changed := false
	for _, v := range values {
		if l.knows(v.Member) {
			continue
		}
		changed = l.table.observe(Report{Member: v.Member, State: v.State}, now) || changed
	}
	l.publish(changed)
}

func (l *Loop) runVMs(ctx context.Context) error {
	if l.cfg.VMs == nil {
		return nil
	}
	var failed outage
	for {
		failed.note(&l.cfg.Log, eventVMListFailed, l.readVMs(ctx))
		if !l.pause(ctx, l.interval(vmInterval, vmSpacing)) {
			return nil
		}
	}
}

func (l *Loop) readVMs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	vms, err := l.cfg.VMs.VMs(ctx)
	if err != nil {
		return errcode.Wrap(err, errcode.Internal, "list VMs", "platform")
	}
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Leaving {
			leaving[host(vm.Address)] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	told := !maps.Equal(l.leaving, leaving) // of backend servers, too
	l.leaving = leaving
	l.publish(l.markLeaving(time.Now()) || told)
	return nil
}

// markLeaving applies the list of VMs to the view. The caller holds the lock.
func (l *Loop) markLeaving(now time.Time) bool {
	changed := false
	for key, e := range l.table.entries {
		if l.leaving[host(e.Member.Address)] {
			changed = l.table.left(key, now) || changed
		}
	}
	return changed
}
