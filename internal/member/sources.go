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
	// leaseInterval is the minimum time between two renewals of the lease.
	leaseInterval = 10 * time.Second
	// leaseSpacing is the mean time between two renewals by any members: it limits
	// the whole fleet to three renewals a second at any size. Leases may be renewed
	// this slowly, because they only let new processes discover members that their
	// seeds do not know.
	leaseSpacing = 320 * time.Millisecond
	// leaseRetry is the delay before a failed renewal or listing is retried.
	leaseRetry = 3 * time.Second
	// listInterval is the minimum time between two listings of the lease rows.
	listInterval = 10 * time.Second
	// listSpacing is the mean time between two listings by any members: it limits
	// the whole fleet to three listings a second at any size.
	listSpacing = 320 * time.Millisecond
	// vmInterval is the minimum time between two reads of the list of VMs. A
	// leaving server must get no new work 5 s after its notice; of these, the list
	// may lag by 1 s and the hand-over from a leaving primary takes up to 2 s.
	vmInterval = time.Second
	// vmSpacing is the mean time between two reads of the list of VMs by any
	// members.
	vmSpacing = 10 * time.Millisecond
	// vmTimeout limits one read of the list of VMs.
	vmTimeout = 2 * time.Second
)

// fleetInterval returns the time between two calls of one member such that the
// calls of all members are spacing apart on average. It is at least minimum.
func (m *Membership) fleetInterval(minimum, spacing time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minimum, time.Duration(len(m.table.entries))*spacing)
}

func (m *Membership) runLease(ctx context.Context) error {
	row := &lease{table: m.cfg.Table, self: m.cfg.Self}
	defer func() {
		// The context of Run has ended here; release sets its own deadline.
		_ = row.release(context.WithoutCancel(ctx))
	}()
	var failures failureLog
	for {
		m.mu.Lock()
		state := m.selfState
		m.mu.Unlock()
		wait := m.fleetInterval(leaseInterval, leaseSpacing)
		err := row.renew(ctx, state)
		if err != nil && ctx.Err() == nil {
			leaseErrors.Inc()
			wait = leaseRetry
		}
		failures.record(&m.cfg.Log, leaseEvent(err), err)
		if !m.sleep(ctx, wait) {
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

// failureLog logs only the first of consecutive failures.
type failureLog struct{ failing bool }

func (f *failureLog) record(log *zerolog.Logger, kind event.Event, err error) {
	if err != nil && !f.failing && !errors.Is(err, context.Canceled) {
		kind.Log(log).Err(err).Send()
	}
	f.failing = err != nil
}

func (m *Membership) runLeaseList(ctx context.Context) error {
	rows := &leaseReader{table: m.cfg.Table, observed: map[string]observedLease{}}
	var failures failureLog
	for {
		values, err := rows.list(ctx, leaseExpiryIntervals*m.fleetInterval(leaseInterval, leaseSpacing))
		failures.record(&m.cfg.Log, eventListFailed, err)
		m.discover(values)
		wait := m.fleetInterval(listInterval, listSpacing)
		if err != nil {
			wait = leaseRetry
		}
		if !m.sleep(ctx, wait) {
			return nil
		}
	}
}

// discover adds members that have a lease and are not in the view, and weights that are not
// known. Pings then detect whether the members are alive.
func (m *Membership) discover(values []leaseValue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := false
	for _, v := range values {
		if m.knowsIncarnation(v.Member) {
			changed = m.table.learnWeight(v.Member) || changed
			continue
		}
		changed = m.table.observe(Report{Member: v.Member, State: v.State}, now) || changed
	}
	m.publish(changed)
}

func (m *Membership) runVMList(ctx context.Context) error {
	if m.cfg.VMs == nil {
		return nil
	}
	var failures failureLog
	for {
		failures.record(&m.cfg.Log, eventVMListFailed, m.updateVMs(ctx))
		if !m.sleep(ctx, m.fleetInterval(vmInterval, vmSpacing)) {
			return nil
		}
	}
}

func (m *Membership) updateVMs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	vms, err := m.cfg.VMs.VMs(ctx)
	if err != nil {
		return errcode.Wrap(err, errcode.Internal, "list VMs", "platform")
	}
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Leaving {
			leaving[host(vm.Address)] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := !maps.Equal(m.leavingHosts, leaving) // includes backend servers, which are no members
	m.leavingHosts = leaving
	m.publish(m.markLeaving(time.Now()) || changed)
	return nil
}

// markLeaving marks the members on leaving VMs and reports whether the view
// changed. The caller holds the lock.
func (m *Membership) markLeaving(now time.Time) bool {
	changed := false
	for key, e := range m.table.entries {
		if m.leavingHosts[host(e.Member.Address)] {
			changed = m.table.markLeaving(key, now) || changed
		}
	}
	return changed
}
