package succession

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/provider"
)

// modelCall is a promotion call that the platform has not carried out yet.
type modelCall struct {
	server int
	token  duty.Token
	sentAt time.Duration
	sender int
	// earlier is what was pending for the server at the sender before the call.
	earlier PendingPromotion
}

// promotionStage is the progress of a promotion at a process.
type promotionStage int

const (
	stageNone promotionStage = iota
	stageRecord
	stageCheck
	stageSend
)

// modelProcess mirrors what a groupLoop does around the decisions.
type modelProcess struct {
	index int
	// run counts the processes of this index.
	run    int
	token  duty.Token // zero while the process does not hold the lease
	expiry time.Duration
	// version is that of the lease row when the process last wrote it.
	version uint64
	watch   duty.Watch
	frozen  bool
	cut     [modelServers]bool
	// storeCut is set while the process cannot reach the table service.
	storeCut bool

	group Group
	// listVersion is the version of the catalog that group reflects.
	listVersion uint64

	view      View
	state     State
	commands  [modelServers]*Action
	stage     promotionStage
	candidate int
	// callToken is the token of the promotion in progress, and late is set if the process
	// was suspended after its last check of the lease.
	callToken duty.Token
	late      bool
	announced *announcedPromotion

	recordRead, adopted bool
	saved               Record
	recordVersion       uint64
	// promotionsLostUntil is that of a groupLoop.
	promotionsLostUntil time.Duration

	issuer  *grant.Issuer
	allowed bool
	// allowedTerm is the term that the issuer may grant while allowed is set.
	allowedTerm cluster.Term
	grants      *grant.HeldGrants
	// grantExpiry mirrors when the grants in force at each process end.
	grantExpiry [modelProcesses]time.Duration
	grantsEnd   grantsEnd
	// restartedAt is when the process started, if an earlier one has held the lease, with
	// the token predecessor.
	restartedAt time.Duration
	predecessor duty.Token
	// reported mirrors what processes have reported to the issuer, and acknowledged what this one has
	// acknowledged under its grants.
	reported, acknowledged cluster.Position
	heldTerm               cluster.Term
	heldUntil              time.Duration
	revokedAt              time.Duration
}

// decide runs the decisions of the process as groupLoop.decide does.
func (w *modelWorld) decide(p *modelProcess) {
	if p.token == 0 {
		return
	}
	if !w.leaseHeld(p) {
		w.loseLease(p)
		return
	}
	now := w.time()
	p.view.PendingPromotions.removeEnded(p.view.Servers)
	view := p.view
	view.LeaseRemaining = p.expiry - w.now
	view.PriorPromotionPossible = (!p.recordRead || w.now < p.promotionsLostUntil) && !w.disabled.recordFirst
	view.GrantsInForce = (p.allowed || p.issuer.Outstanding("g")) && !w.disabled.grantsWait
	if view.GrantsEndedAt = p.grantsEnd.update(p.allowed || p.issuer.Outstanding("g"), now); w.disabled.logsAfterGrants {
		view.GrantsEndedAt = time.Time{}
	}
	view.RecordUnsaved = !w.wantedRecord(p).sameAs(p.saved)
	window := p.grantsEnd.listingWindow(false, now)
	view.UnlistedPossible = p.grantsEnd.unlistedPossible(window, now) && !w.disabled.unlistedWait
	view.Acknowledged, view.AcknowledgedUnknown = p.issuer.Acknowledged("g", window)
	view.AcknowledgedUnknown = view.AcknowledgedUnknown || p.grantsEnd.earlierHolderRecent(window, now)
	if w.disabled.acknowledgedReported {
		view.Acknowledged = cluster.Position{}
	}
	view.PromotionInFlight = p.stage != stageNone
	view.ObserverReport = ObserverReport{QueriedAt: now, Unreachable: 2}
	if w.disabled.pendingCalls {
		view.PendingPromotions = nil
	}
	state, actions := Decide(p.group, view, p.state, now)
	if w.disabled.members {
		state.Members, state.Known = state.listed, true
	}
	if w.disabled.startTimes {
		state.Members = newestRuns(state.Members)
	}
	p.state = state
	term, allowed := grantableTerm(p.group, view, p.state, now)
	if p.allowed, p.allowedTerm = allowed, term; allowed {
		p.issuer.Allow("g", term)
	} else {
		p.issuer.Block("g")
	}
	for _, a := range actions {
		w.execute(p, a)
	}
}

func (w *modelWorld) execute(p *modelProcess, a Action) {
	switch a.Kind {
	case ActionQueryObservers:
	case ActionPromote:
		p.candidate, p.callToken, p.late = serverIndex(a.Server), p.token, false
		p.stage, p.view.PromotionNotSent, p.view.PromotionRefused = stageRecord, false, ""
		p.announced = &announcedPromotion{a.Server, p.view.PendingPromotions.next(a.Server, p.state.highestTerm(p.view), w.time())}
		if w.disabled.recordFirst {
			p.stage = stageCheck
		}
	default:
		p.commands[serverIndex(a.Server)] = &a
	}
}

func serverIndex(id cluster.ServerID) int { return int(id[1] - '0') }

// callServer makes the call that a serverMonitor would make next.
func (w *modelWorld) callServer(p *modelProcess, i int) {
	listed := slices.IndexFunc(p.group.Servers, func(s Server) bool { return s.ID == serverID(i) })
	if listed < 0 {
		return
	}
	command := p.commands[i]
	p.commands[i] = nil
	s, id := &w.servers[i], serverID(i)
	o := p.view.Servers[id]
	if !s.alive || p.cut[i] {
		if o.ConsecutiveFailures == 0 {
			o.FailingSince = w.time()
		}
		o.ConsecutiveFailures = 2
		o.ConsecutiveRefusals = 2
		if p.cut[i] {
			o.ConsecutiveRefusals = 0
		}
		p.view.Servers[id] = o
		w.decide(p)
		return
	}
	if command != nil {
		s.obey(*command)
	}
	role := cluster.RoleReplica
	if s.primary {
		role = cluster.RolePrimary
	}
	status := cluster.ServerStatus{Server: id, Role: role, Term: s.term, PausedAt: s.paused, Received: s.position()}
	if w.lateReplay {
		status.Replayed, status.Busy = cluster.Position{Term: 1}, testSlots
	}
	startTime := p.group.Servers[listed].StartTime
	if w.disabled.startTimes {
		p.view.Servers[id] = Observation{Status: status, RequestedAt: w.time(), StartTime: startTime, MaxReceived: status.Received}
	} else {
		p.view.Servers[id] = o.next(status, w.time(), startTime)
	}
	w.decide(p)
}

// readRecord and writeRecord are syncRecord in two steps. A promotion whose announcement meets
// another writer's record is given up.
func (w *modelWorld) readRecord(p *modelProcess) {
	if p.stage == stageRecord {
		p.stage, p.announced, p.view.PromotionNotSent = stageNone, nil, true
	}
	p.recordRead, p.saved, p.recordVersion = true, w.record, w.versionOf(w.recordNumber)
	switch outdated := w.record.outdated(p.recordVersion) && !w.disabled.recordEras; {
	case !outdated:
		p.state = p.state.adopt(w.record, w.time())
	case p.adopted:
		w.decide(p)
		return
	default:
		p.state = p.state.adoptOutdated(w.record, w.time())
		p.promotionsLostUntil = w.now + maxPriorPromotionDelay
	}
	p.adopted = true
	if r := w.record; r.Promoting != "" && r.Token != p.token {
		w.disableRecorded(&r.Call)
		p.view.PendingPromotions.inherit(r, p.predecessor, w.time())
	}
	w.decide(p)
}

// disableRecorded leaves out of a record what mechanisms that are disabled need.
func (w *modelWorld) disableRecorded(call *PromotionCall) {
	call.Sole = (call.Sole || w.disabled.soleCall) && !w.disabled.promotionEnds
	call.Inherited = call.Inherited && !w.disabled.inheritedCall
	if w.disabled.remainingTime {
		call.RemainingMillis = 0
	}
}

func (w *modelWorld) wantedRecord(p *modelProcess) Record {
	promoting, call := p.view.PendingPromotions.recorded(p.announced, w.time())
	if w.disabled.recordFirst {
		promoting, call = "", PromotionCall{}
	}
	r := p.state.record(promoting)
	r.Call, r.Token = call, p.token
	r.Era = provider.EraOf(p.version)
	if w.now < p.promotionsLostUntil {
		r.Era = p.saved.Era
	}
	return r
}

func (w *modelWorld) writeRecord(p *modelProcess) {
	if w.versionOf(w.recordNumber) != p.recordVersion {
		p.recordRead = false
	} else if wanted := w.wantedRecord(p); !wanted.sameAs(p.saved) {
		w.version++
		w.record, w.recordNumber = wanted, w.version
		p.saved, p.recordVersion = wanted, w.versionOf(w.version)
	}
	if p.stage == stageRecord && p.recordRead {
		p.stage = stageCheck
	}
	w.decide(p)
}
