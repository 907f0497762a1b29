//go:build review

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// awayTime is how long the store is away in a drill.
	awayTime = 500 * time.Millisecond
	// joinTime is the time from the start of a new server until what follows.
	joinTime = time.Second
)

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// join starts a new server, with which the replacement of another one begins, and returns its
// id.
func (f *fleet) join() (id string, err error) {
	id, err = f.group.Join()
	record("group: %s joins", id)
	return id, err
}

// drainPrimary has the primary announce that it is leaving, and returns it and the time of the
// store's acknowledgement.
func (f *fleet) drainPrimary() (id string, acknowledged time.Time, err error) {
	id = f.group.Primary()
	if id == "" {
		return "", acknowledged, errors.New("the group has no primary")
	}
	f.group.Drain(id)
	draining := func() bool {
		value, _ := f.store.row("servers", id)
		return strings.Contains(string(value), `"draining"`)
	}
	if !await(time.Second, draining) {
		return "", acknowledged, errors.New("the store does not list the server as draining")
	}
	record("store: has acknowledged that the primary %s is draining", id)
	return id, time.Now(), nil
}

// runDrain replaces a primary: a new server joins, the store comes back from a copy, and once
// it is stable the primary announces that it is leaving. Rule DRAIN: no request may reach it
// later than drain_ms after the acknowledgement.
func runDrain(f *fleet, trouble bool) ([]string, error) {
	l := startLoad(f)
	time.Sleep(12 * time.Second)
	if _, err := f.join(); err != nil {
		return nil, err
	}
	time.Sleep(joinTime)
	if trouble {
		f.store.drill(9*time.Second, awayTime)
	}
	time.Sleep(stableWindow + 200*time.Millisecond)
	leaving, acknowledged, err := f.drainPrimary()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + 3*time.Second)))
	f.group.Kill(leaving)
	record("group: %s has ended, %.3f s after the acknowledgement", leaving, time.Since(acknowledged).Seconds())
	time.Sleep(4 * time.Second)
	l.stop()
	late := 0
	var violations []string
	for _, r := range f.group.Runs() {
		after := r.StartedAt.Sub(acknowledged)
		if r.Server != leaving || r.ID == "-" || after <= drainTime {
			continue
		}
		late++
		record("server %s: runs %s %q, %.3f s after the acknowledgement: code %q", leaving, r.ID, r.Text, after.Seconds(), r.Code)
	}
	if late > 0 {
		violations = append(violations, fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the store had acknowledged that it is draining", late, leaving, drainTime))
	}
	return violations, nil
}

// runToken replaces a primary, brings the store back from a copy that is older than the
// lease under which that was done, and replaces a primary again. Rule ONE: no lower fencing
// token may be sent than one that the platform has seen.
func runToken(f *fleet, trouble bool) ([]string, error) {
	l := startLoad(f)
	time.Sleep(10 * time.Second)
	copied := time.Now()
	time.Sleep(7500 * time.Millisecond)
	holder := f.leaseHolder()
	if holder == nil {
		return nil, errors.New("no process holds the promotion lease")
	}
	record("store: %s holds the promotion lease", holder.name)
	restarted := make(chan error, 1)
	go func() { restarted <- holder.restart() }()
	if !await(5*time.Second, func() bool { h := f.leaseHolder(); return h != nil && h != holder }) {
		return nil, errors.New("no other process has taken the promotion lease")
	}
	record("store: %s holds the promotion lease", f.leaseHolder().name)
	if _, err := f.join(); err != nil {
		return nil, err
	}
	time.Sleep(joinTime)
	first, acknowledged, err := f.drainPrimary()
	if err != nil {
		return nil, err
	}
	promoted := func(n int) func() bool {
		return func() bool { count, _ := f.group.Promotions(); return count >= n }
	}
	if !await(5*time.Second, promoted(1)) {
		return nil, errors.New("the leaving primary was not replaced")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.store.drill(time.Since(copied), awayTime)
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + 500*time.Millisecond)))
	f.group.Kill(first)
	record("group: %s has ended", first)
	if err := <-restarted; err != nil {
		return nil, err
	}
	time.Sleep(15 * time.Second)
	if h := f.leaseHolder(); h != nil {
		record("store: %s holds the promotion lease", h.name)
	}
	if _, err := f.join(); err != nil {
		return nil, err
	}
	time.Sleep(joinTime)
	if _, _, err := f.drainPrimary(); err != nil {
		return nil, err
	}
	if !await(8*time.Second, promoted(2)) {
		return nil, errors.New("the second leaving primary was not replaced")
	}
	l.stop()
	calls, _ := f.group.PromotionHistory()
	var violations []string
	var highest uint64
	for _, call := range calls {
		var token uint64
		if _, err := fmt.Sscan(call.Token, &token); err != nil {
			return nil, err
		}
		record("platform: call to promote %s by %s with token %d", call.Server, call.Holder, token)
		if token < highest {
			violations = append(violations, fmt.Sprintf("ONE: %s sent the fencing token %d after the platform had seen %d", call.Holder, token, highest))
		}
		highest = max(highest, token)
	}
	return violations, nil
}
