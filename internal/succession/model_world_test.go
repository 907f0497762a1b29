package succession

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// modelServers counts those of which modelInitialServers exist at first.
	modelServers        = 4
	modelInitialServers = 3
	modelProcesses      = 2
	// modelTick is the time that a tick event takes, modelStep that of any other event.
	modelTick = 900 * time.Millisecond
	modelStep = time.Millisecond
	// modelStoreNumber is the number of changes of the catalog and of writes to the table
	// service before the first state, which a restore of the store takes back.
	modelStoreNumber = 20
	// modelMaxCallDelay is the longest time from the sending of a promotion call until it
	// takes effect.
	modelMaxCallDelay = maxPromotionDelay
)

// modelFaults is a budget of the events that do not repeat freely.
type modelFaults struct {
	writes, crashes, restarts, rebirths, lapses, returns, cuts, storeCuts, freezes, leaving, isolations, joins, oddEntries, homeCuts, holderRestarts, storeRestores, ticks int
}

// modelDisabled names a mechanism that the model leaves out.
type modelDisabled struct {
	members, startTimes, grantsWait, leaseCheck, pendingCalls, recordFirst bool
	acknowledgeRule, logsAfterGrants, earlierGrants, unlistedWait          bool
	acknowledgedReported, promotionEnds, soleCall                          bool
	inheritedTime, inheritedCall, remainingTime                            bool
	eras, leaseEras, recordEras                                            bool
}

// modelWorld is a group of servers, the processes that may hold the promotion lease,
// the table service and the platform's promotion call.
type modelWorld struct {
	now       time.Duration
	disabled  modelDisabled
	left      modelFaults
	servers   [modelServers]modelServer
	processes [modelProcesses]*modelProcess

	// recoveryTime is the time within which a group must have a primary again without
	// further faults.
	recoveryTime time.Duration
	// lateNews is set if the lease holder hears of changes of the catalog only as time passes.
	lateNews bool
	// lateReplay is set while the replicas replay nothing, and the slots of the primary are
	// at work.
	lateReplay bool

	// era rises when the store comes back from a copy. listNumber counts the changes of the
	// catalog.
	era, listNumber uint64
	// version is the table service's counter.
	version      uint64
	lease        modelLease
	record       Record
	recordNumber uint64
	// copied is what the store comes back with.
	copied modelCopy

	calls []modelCall
	// stored holds the writes that SyncReplicas servers have received, and acknowledged
	// those of them that callers were told of.
	stored       []storedEntry
	acknowledged []logEntry
	home         modelHome
	// promotedTerm is the term of the last promotion.
	promotedTerm cluster.Term
	// lastPrimary is the server that was promoted last.
	lastPrimary  int
	highestToken duty.Token
	violation    string
}

// modelLease is the row of the promotion lease: its holder and that one's run, its token, the
// number of its version, and the era that its writer knew.
type modelLease struct {
	holder, run int
	token       duty.Token
	number      uint64
	era         uint64
}

// modelCopy is a copy of the store.
type modelCopy struct {
	version, listNumber uint64
	lease               modelLease
	record              Record
	recordNumber        uint64
}

var modelStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func (w *modelWorld) time() time.Time { return modelStart.Add(w.now) }

func serverID(i int) cluster.ServerID { return cluster.ServerID(fmt.Sprintf("s%d", i)) }

// newModelWorld returns a group of which s0 is the primary, and in which process 0
// holds the lease and knows the status of all servers.
func newModelWorld(left modelFaults, disabled modelDisabled) *modelWorld {
	w := &modelWorld{
		left: left, disabled: disabled, era: 1, listNumber: modelStoreNumber, version: modelStoreNumber, now: time.Minute,
		recoveryTime: modelRecoveryTime,
	}
	for i := range modelInitialServers {
		w.servers[i] = modelServer{alive: true, primary: i == 0, term: 1, start: 1, listed: true, log: []logEntry{{1, 1}}}
	}
	w.stored, w.acknowledged, w.promotedTerm = []storedEntry{{entry: logEntry{1, 1}}}, []logEntry{{1, 1}}, 1
	for i := range w.processes {
		w.processes[i] = &modelProcess{index: i}
		w.processes[i].rebuildGrants(w)
	}
	p := w.processes[0]
	w.acquire(p)
	p.grantsEnd.startedAt = time.Time{} // it has held the lease for long
	lease := w.lease
	w.progress(p)
	for range 2 {
		for i := range w.servers {
			w.now += modelStep
			w.callServer(p, i)
		}
	}
	w.progress(p)
	w.copied = modelCopy{version: 1, listNumber: 1, lease: lease, record: w.record, recordNumber: w.recordNumber}
	w.pollLease(w.processes[1])
	w.followServers()
	w.renewGrant()
	return w
}

// progress takes the steps of a process that wait for nothing but the table service.
func (w *modelWorld) progress(p *modelProcess) {
	for p.token != 0 && !p.frozen {
		switch changed := w.hasNews(p); {
		case changed && !w.lateNews:
			w.refresh(p)
		case !p.recordRead && !p.storeCut:
			w.readRecord(p)
		case p.recordRead && !p.storeCut && (p.stage == stageRecord || !w.wantedRecord(p).sameAs(p.saved)):
			w.writeRecord(p)
		case p.stage == stageCheck && w.left.freezes == 0:
			w.checkLease(p)
		case p.stage == stageSend && w.left.freezes == 0:
			w.send(p)
		default:
			return
		}
	}
}

// newestRuns keeps the last run of each server.
func newestRuns(members []Member) []Member {
	var newest []Member
	for i, m := range members {
		if i+1 == len(members) || members[i+1].ID != m.ID {
			newest = append(newest, m)
		}
	}
	return newest
}

// checkLease is the check immediately before a promotion call.
func (w *modelWorld) checkLease(p *modelProcess) {
	p.stage = stageSend
	if (p.token != p.callToken || !w.leaseHeld(p)) && !w.disabled.leaseCheck {
		p.stage, p.announced, p.view.PromotionNotSent = stageNone, nil, true
	}
}

// pollLease renews the lease of a process or reads its row, which happens at least once
// a second.
func (w *modelWorld) pollLease(p *modelProcess) {
	if p.frozen || p.storeCut {
		return
	}
	if p.token != 0 && p.version == w.versionOf(w.lease.number) {
		w.writeLease(p, p.token)
		return
	}
	switch p.watch.Next(w.readLease(p), w.leaseHeld(p), w.now) {
	case duty.Renew:
		if w.leaseHeld(p) {
			w.writeLease(p, p.token)
		} else {
			w.hold(p, w.lease.token)
		}
	case duty.Acquire:
		w.acquire(p)
	case duty.Wait:
		w.loseLease(p)
	}
}

// readLease returns the row of the lease as a process reads it.
func (w *modelWorld) readLease(p *modelProcess) duty.Reading {
	own := w.lease.holder == p.index && w.lease.run == p.run
	return duty.Reading{Version: w.versionOf(w.lease.number), Current: w.lease.era == w.era || w.disabled.leaseEras, Own: own}
}

// writeLease makes a process the holder of the lease with a token.
func (w *modelWorld) writeLease(p *modelProcess, token duty.Token) {
	w.version++
	w.lease = modelLease{holder: p.index, run: p.run, token: token, number: w.version, era: w.era}
	p.token, p.version, p.expiry = token, w.versionOf(w.version), duty.ExpiryOf(w.now)
}

// loseLease makes a process know that it does not hold the lease.
func (w *modelWorld) loseLease(p *modelProcess) {
	if p.token != 0 {
		p.token, p.allowed = 0, false
		p.issuer.Block("g")
	}
}

// clone returns an independent copy. Slices are never modified in place.
func (w *modelWorld) clone() *modelWorld {
	c := *w
	for i, p := range w.processes {
		q := *p
		q.view.Servers, q.view.PendingPromotions = maps.Clone(p.view.Servers), maps.Clone(p.view.PendingPromotions)
		q.rebuildGrants(&c)
		c.processes[i] = &q
	}
	return &c
}

// rebuildGrants gives a process an Issuer and a HeldGrants in the state that the
// process mirrors.
func (p *modelProcess) rebuildGrants(w *modelWorld) {
	clock := func() time.Duration { return w.now }
	p.issuer, p.grants = grant.NewIssuer(clock), grant.NewHeldGrants(processID(p), clock)
	if p.restartedAt > 0 && !w.disabled.earlierGrants {
		now := w.now
		w.now = p.restartedAt
		p.issuer.AssumeEarlierGrants()
		w.now = now
	}
	for i, expiry := range p.grantExpiry {
		if w.now < expiry+grant.ListingTime {
			now := w.now
			w.now = expiry - 1
			p.issuer.Allow("g", 1)
			p.issuer.Issue(holderOf(w.processes[i]), "g", 1)
			w.now = now
		}
	}
	p.issuer.RecordRevoked(grant.Revocation{Acknowledged: p.reported}, "g", 0)
	if p.issuer.Block("g"); p.allowed {
		p.issuer.Allow("g", p.allowedTerm)
	}
	if p.acknowledged.Known() {
		p.grants.Add("g", p.acknowledged.Term, w.now-1, 2)
		p.grants.Acknowledge("g", p.acknowledged.Term, p.acknowledged)
		p.grants.Add("g", p.acknowledged.Term, w.now-1, 1)
	}
	if p.revokedAt > 0 {
		now := w.now
		w.now = p.revokedAt
		p.grants.Revoke("g")
		w.now = now
	}
	if w.now < p.heldUntil {
		p.grants.Add("g", p.heldTerm, w.now, p.heldUntil-w.now)
	}
}

// catalog returns the group as the catalog lists it.
func (w *modelWorld) catalog() Group {
	g := Group{Name: "g", SyncReplicas: 1}
	for i, s := range w.servers {
		if s.listed {
			g.Servers = append(g.Servers, Server{Server: cluster.Server{ID: serverID(i), Slots: testSlots}, StartTime: s.start, Leaving: s.leaving})
		}
	}
	return g
}

// listVersion is the version of the catalog in the store.
func (w *modelWorld) listVersion() uint64 { return w.versionOf(w.listNumber) }

// hasNews reports whether the catalog has changed since a process has heard of it. One of a
// lower version than that which it knows is ignored, as by catalog.Tracker.
func (w *modelWorld) hasNews(p *modelProcess) bool {
	return w.listVersion() >= p.listVersion && !slices.Equal(p.group.Servers, w.catalog().Servers)
}

// versionOf returns the version with a number in the present era.
func (w *modelWorld) versionOf(number uint64) uint64 {
	if w.disabled.eras {
		return number
	}
	return provider.JoinVersion(w.era, number)
}

// restoreStore brings the store back from a copy. The servers have written their entries again.
func (w *modelWorld) restoreStore() {
	w.era++
	w.listNumber, w.version, w.lease = w.copied.listNumber, w.copied.version, w.copied.lease
	w.record, w.recordNumber = w.copied.record, w.copied.recordNumber
}

// refresh passes the catalog on to a process.
func (w *modelWorld) refresh(p *modelProcess) {
	if w.listVersion() >= p.listVersion {
		p.group, p.listVersion = w.catalog(), w.listVersion()
	}
	for id := range p.view.Servers {
		if !slices.ContainsFunc(p.group.Servers, func(s Server) bool { return s.ID == id }) {
			delete(p.view.Servers, id)
		}
	}
	w.decide(p)
}

func (w *modelWorld) leaseHeld(p *modelProcess) bool { return p.token != 0 && w.now < p.expiry }

// acquire gives a process the lease.
func (w *modelWorld) acquire(p *modelProcess) { w.hold(p, duty.Token(w.versionOf(w.version+1))) }

// hold gives a process the lease with a token, and starts its decisions anew.
func (w *modelWorld) hold(p *modelProcess, token duty.Token) {
	w.writeLease(p, token)
	p.state, p.stage, p.announced = NewState(w.time()), stageNone, nil
	p.recordRead, p.adopted, p.promotionsLostUntil = false, false, 0
	p.commands, p.saved, p.recordVersion = [modelServers]*Action{}, Record{}, 0
	p.grantsEnd = grantsEnd{startedAt: w.time()}
	p.view = View{Servers: map[cluster.ServerID]Observation{}, PendingPromotions: PendingPromotions{}}
	w.refresh(p)
}

// fail records a violation.
func (w *modelWorld) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func formatLog(log []logEntry) string {
	var b strings.Builder
	for _, e := range log {
		fmt.Fprintf(&b, " %d.%d", e.term, e.offset)
	}
	return "[" + strings.TrimSpace(b.String()) + "]"
}
