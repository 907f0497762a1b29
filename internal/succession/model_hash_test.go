package succession

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/grant"
)

var modelSeed = maphash.MakeSeed()

// stateEncoder appends what distinguishes states. Times count by their distance from now
// in half seconds, tokens by their order.
type stateEncoder struct {
	data []byte
	now  time.Duration
}

const modelAgeUnit = 500 * time.Millisecond

// hash identifies a state.
func (w *modelWorld) hash() uint64 {
	e := &stateEncoder{now: w.now}
	l := w.left
	e.ints(l.writes, l.crashes, l.restarts, l.rebirths, l.lapses, l.returns, l.cuts, l.storeCuts, l.freezes, l.leaving, l.isolations, l.joins, l.oddEntries, l.homeCuts, l.holderRestarts, l.storeRestores, l.ticks)
	for _, s := range w.servers {
		e.bools(s.alive, s.primary, s.leaving, s.listed, s.isolated)
		e.ints(int(s.term), int(s.paused), int(s.start))
		e.log(s.log)
		if s.unlisted() {
			e.age(s.joinedAt)
		}
	}
	e.log(w.acknowledged)
	e.list(w)
	e.home(w)
	e.ints(int(w.promotedTerm), w.lastPrimary, w.lease.holder, len(w.calls))
	e.record(w.record)
	tokens := []uint64{uint64(w.highestToken), uint64(w.record.Token), w.versionOf(w.recordNumber)}
	for _, p := range w.processes {
		tokens = append(tokens, uint64(p.token), p.recordVersion)
	}
	e.order(tokens)
	for _, c := range w.calls {
		e.ints(c.server, c.sender)
		e.age(c.sentAt)
	}
	for _, p := range w.processes {
		e.process(w, p)
	}
	return maphash.Bytes(modelSeed, e.data)
}

func (e *stateEncoder) ints(values ...int) {
	for _, v := range values {
		e.data = binary.AppendVarint(e.data, int64(v))
	}
}

func (e *stateEncoder) bools(values ...bool) {
	for _, v := range values {
		b := byte(0)
		if v {
			b = 1
		}
		e.data = append(e.data, b)
	}
}

func (e *stateEncoder) text(s string) {
	e.data = append(append(e.data, s...), 0)
}

func (e *stateEncoder) log(log []logEntry) {
	e.ints(len(log))
	for _, entry := range log {
		e.ints(int(entry.term), entry.offset)
	}
}

// order encodes the order of values.
func (e *stateEncoder) order(values []uint64) {
	sorted := slices.Compact(slices.Sorted(slices.Values(values)))
	for _, v := range values {
		e.ints(slices.Index(sorted, v))
	}
}

// list encodes how far the store's list of servers is behind those that processes know.
func (e *stateEncoder) list(w *modelWorld) {
	for _, p := range w.processes {
		e.ints(int(max(p.listVersion, w.listVersion()) - w.listVersion()))
	}
}

func (e *stateEncoder) age(t time.Duration) {
	e.ints(int(min(max(e.now-t, -12*time.Second), 12*time.Second) / modelAgeUnit))
}

func (e *stateEncoder) timeAge(t time.Time) {
	if t.IsZero() {
		e.ints(-100)
		return
	}
	e.age(t.Sub(modelStart))
}

func (e *stateEncoder) position(p cluster.Position) { e.ints(int(p.Term), int(p.Offset)) }

func (e *stateEncoder) members(members []Member) {
	e.ints(len(members))
	for _, m := range members {
		e.text(string(m.ID))
		e.ints(int(m.StartTime))
	}
}

func (e *stateEncoder) record(r Record) {
	e.members(r.Members)
	e.promotion(r.Promoting, r.Call)
	e.bools(r.ReplaySwitchover > 0)
	e.steppedDown(r.SteppedDown)
}

func (e *stateEncoder) promotion(server cluster.ServerID, call PromotionCall) {
	e.text(string(server))
	e.bools(call.Sole, call.Inherited)
	e.ints(int(call.TermBefore), int(call.RemainingMillis))
}

func (e *stateEncoder) steppedDown(d SteppedDown) {
	e.text(string(d.Server))
	e.ints(int(d.Term))
	e.position(d.End)
}

func (e *stateEncoder) process(w *modelWorld, p *modelProcess) {
	e.bools(p.frozen, p.storeCut, p.token != 0, p.version == w.versionOf(w.lease.number), p.recordRead, p.adopted, p.recordVersion == w.versionOf(w.recordNumber))
	e.bools(w.record.outdated(w.versionOf(w.recordNumber)), w.now < p.promotionsLostUntil)
	e.age(p.promotionsLostUntil)
	e.bools(p.cut[:]...)
	if p.token == 0 {
		e.watch(w, p)
	} else {
		e.age(p.expiry)
		e.controller(p)
	}
	e.ints(int(p.stage), p.candidate)
	e.bools(p.allowed, e.now <= p.revokedAt)
	if e.now < p.restartedAt+grant.MaxDuration {
		e.age(p.restartedAt)
	}
	e.position(p.acknowledged)
	if p.token != 0 {
		for _, expiry := range p.grantExpiry {
			e.age(max(expiry, e.now-grant.ListingTime))
		}
		e.position(p.reported)
	}
	if now := modelStart.Add(e.now); p.token != 0 && p.grantsEnd.unlistedPossible(grant.ListingTime, now) {
		e.bools(p.grantsEnd.earlierHolderRecent(grant.ListingTime, now))
		e.timeAge(p.grantsEnd.at)
		e.timeAge(p.grantsEnd.startedAt)
	}
	if e.now < p.heldUntil {
		e.ints(int(p.heldTerm))
		e.age(p.heldUntil)
	}
}

// watch encodes what a process that does not hold the lease knows of the row.
func (e *stateEncoder) watch(w *modelWorld, p *modelProcess) {
	reading := w.readLease(p)
	e.bools(reading.Current, reading.Own)
	for _, later := range []time.Duration{0, modelTick, 2 * modelTick} {
		probe := p.watch
		e.ints(int(probe.Next(reading, w.leaseHeld(p), w.now+later)))
		e.bools(later == 0 && probe == p.watch)
	}
}

func (e *stateEncoder) controller(p *modelProcess) {
	s := p.state
	e.text(string(s.Phase))
	e.text(string(s.Cause))
	e.text(string(s.OldPrimary))
	e.text(string(s.Candidate))
	promoting, call := p.view.PendingPromotions.recorded(p.announced, modelStart.Add(e.now))
	e.promotion(promoting, call)
	e.ints(int(s.AttemptTerm), int(s.OldTerm), int(s.MaxTermAtStart), int(s.Step))
	e.position(s.OldLogEnd)
	e.steppedDown(s.SteppedDown)
	e.members([]Member{s.seen.member})
	e.ints(int(s.seen.term))
	e.position(s.seen.received)
	if s.Phase != PhaseWatching {
		e.timeAge(s.FailureSince)
		e.timeAge(s.AttemptStart)
		e.timeAge(s.Since)
	}
	now := modelStart.Add(e.now)
	e.bools(now.Before(s.NextRetry), now.Before(s.PostponedUntil), s.Known)
	e.timeAge(s.StalledSince)
	e.bools(s.rest.over(now), s.rest.announced)
	if !s.replay.lateSince.IsZero() {
		e.timeAge(s.replay.lateSince)
		e.ints(int(s.replay.lateFor/modelAgeUnit), int(s.replay.busy))
	}
	e.position(s.StalledPosition)
	e.members(s.Members)
	e.members(s.listed)
	e.members(s.departing)
	e.record(p.saved)
	e.text(string(p.view.PromotionRefused))
	for i, command := range p.commands {
		e.observation(s, p.view, serverID(i))
		if command != nil {
			e.ints(int(command.Kind), int(command.Term))
		}
	}
	for _, server := range p.group.Servers {
		e.text(string(server.ID))
		e.ints(int(server.StartTime))
		e.bools(server.Leaving)
	}
}

func (e *stateEncoder) observation(s State, v View, id cluster.ServerID) {
	o := v.Servers[id]
	e.text(string(o.Status.Role))
	e.ints(int(o.Status.Term), int(o.Status.PausedAt), int(o.StartTime), o.ConsecutiveFailures, o.ConsecutiveRefusals)
	e.position(o.Status.Received)
	e.position(o.MaxReceived)
	e.bools(o.RequestedAt.After(s.AttemptStart), o.RequestedAt.After(s.Since), o.RequestedAt.After(s.listedSince), o.RequestedAt.IsZero())
	if o.ConsecutiveFailures > 0 {
		e.timeAge(o.FailingSince)
	}
	if p, ok := v.PendingPromotions[id]; ok {
		e.timeAge(p.Until)
		e.bools(p.Sole, p.Inherited)
		e.ints(int(p.TermBefore))
	}
}
