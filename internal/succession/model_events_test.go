package succession

import (
	"fmt"
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/grant"
)

// modelEvent is an event of the model: its kind and up to two arguments.
type modelEvent struct{ kind, a, b uint8 }

// Kinds of events. For those of a process, a is the process.
const (
	eventWrite uint8 = iota
	eventReplicate
	eventCall
	eventCrash
	eventRestart
	eventRebirth
	eventLapse
	eventReturn
	eventCut
	eventCutStore
	eventFreeze
	eventThaw
	eventLeave
	eventIsolate
	eventJoin
	eventOddEntry
	eventCheckLease
	eventSend
	eventPromote
	eventCutHome
	eventRestartHolder
	eventRevoke
	eventRestoreStore
	eventTick
	modelEventCount
)

var modelEventNames = [modelEventCount]string{
	"s%[1]d appends a write", "s%[1]d sends its log to s%[2]d", "p%[1]d calls s%[2]d", "s%[1]d crashes",
	"s%[1]d restarts with its log", "s%[1]d restarts without data", "the entry of s%[1]d lapses", "the entry of s%[1]d returns",
	"p%[1]d is cut off from s%[2]d", "p%[1]d is cut off from the table service", "p%[1]d is suspended", "p%[1]d wakes",
	"s%[1]d is leaving", "s%[1]d is cut off from the other servers", "s%[1]d starts", "an entry of s%[1]d, which does not exist, is listed", "p%[1]d checks its lease", "p%[1]d sends the promotion call", "the platform promotes s%[1]d",
	"the home is cut off from the lease holder", "p%[1]d, the lease holder, restarts", "p%[1]d revokes the grant of p%[2]d",
	"the store comes back from a copy", "time passes",
}

func (e modelEvent) String() string {
	return fmt.Sprintf(modelEventNames[e.kind]+"%.[3]0s", e.a, e.b, "")
}

// modelEvents holds every event that may be possible in some state.
var modelEvents = func() []modelEvent {
	var all []modelEvent
	add := func(kind uint8, as, bs int) {
		for a := range as {
			for b := range bs {
				all = append(all, modelEvent{kind, uint8(a), uint8(b)})
			}
		}
	}
	for _, kind := range []uint8{eventWrite, eventCrash, eventRestart, eventRebirth, eventLapse, eventReturn, eventLeave, eventIsolate, eventJoin, eventOddEntry, eventPromote} {
		add(kind, modelServers, 1)
	}
	for _, kind := range []uint8{eventCutStore, eventFreeze, eventThaw, eventCheckLease, eventSend, eventRestartHolder} {
		add(kind, modelProcesses, 1)
	}
	add(eventReplicate, modelServers, modelServers)
	add(eventCall, modelProcesses, modelServers)
	add(eventCut, modelProcesses, modelServers)
	add(eventRevoke, modelProcesses, modelProcesses)
	add(eventCutHome, 1, 1)
	add(eventRestoreStore, 1, 1)
	add(eventTick, 1, 1)
	return all
}()

// mayApply reports without a copy of the world that an event is impossible.
func (w *modelWorld) mayApply(e modelEvent) bool {
	l := w.left
	switch e.kind {
	case eventWrite:
		return l.writes > 0 && w.servers[e.a].primary
	case eventReplicate:
		return e.a != e.b && w.sends(int(e.a)) && !w.servers[e.b].primary
	case eventCrash:
		return l.crashes > 0
	case eventRestart:
		return l.restarts > 0
	case eventRebirth:
		return l.rebirths > 0
	case eventLapse:
		return l.lapses > 0
	case eventReturn:
		return l.returns > 0
	case eventLeave:
		return l.leaving > 0
	case eventIsolate:
		return l.isolations > 0
	case eventJoin:
		return l.joins > 0
	case eventOddEntry:
		return l.oddEntries > 0
	case eventPromote:
		return len(w.calls) > 0
	case eventTick:
		return l.ticks > 0
	case eventCut:
		return l.cuts > 0
	case eventCutStore:
		return l.storeCuts > 0
	case eventFreeze:
		return l.freezes > 0
	case eventThaw:
		return w.processes[e.a].frozen
	case eventCheckLease, eventSend:
		return w.processes[e.a].stage != stageNone
	case eventCutHome:
		return l.homeCuts > 0
	case eventRestoreStore:
		return l.storeRestores > 0
	case eventRestartHolder:
		return l.holderRestarts > 0 && w.processes[e.a].token != 0
	case eventCall:
		return w.processes[e.a].token != 0 && w.servers[e.b].listed
	case eventRevoke:
		return w.now < w.processes[e.a].grantExpiry[e.b]+grant.ListingTime
	}
	return w.processes[e.a].token != 0
}

// must applies events that are possible.
func (w *modelWorld) must(events ...modelEvent) {
	for _, e := range events {
		if !w.apply(e) {
			panic(fmt.Sprintf("impossible event: %v", e))
		}
	}
}

// apply executes an event and reports whether it is possible in this state.
func (w *modelWorld) apply(e modelEvent) bool {
	possible := false
	listed := w.catalog().Servers
	switch e.kind {
	case eventTick:
		possible = w.tick()
	case eventRestoreStore:
		if possible = spend(&w.left.storeRestores, true); possible {
			w.restoreStore()
		}
	case eventCutHome:
		possible = spend(&w.left.homeCuts, !w.home.cut)
		w.home.cut = true
	case eventWrite, eventReplicate, eventCrash, eventRestart, eventRebirth, eventLapse, eventReturn, eventLeave, eventIsolate,
		eventJoin, eventOddEntry, eventPromote:
		possible = w.applyToServer(e)
	case eventThaw:
		p := w.processes[e.a]
		possible = p.frozen
		p.frozen = false
	default:
		p := w.processes[e.a]
		possible = !p.frozen && w.applyToProcess(e, p)
	}
	if !slices.Equal(listed, w.catalog().Servers) {
		w.listNumber++
	}
	for _, p := range w.processes {
		w.progress(p)
	}
	w.updateHome()
	w.now += modelStep
	return possible
}

func spend(budget *int, possible bool) bool {
	if !possible || *budget == 0 {
		return false
	}
	*budget--
	return true
}

// refused passes the platform's refusal of a call on to the process that sent it.
func (p *modelProcess) refused(c modelCall) {
	if p.token == c.token {
		p.view.PromotionRefused = serverID(c.server)
		p.view.PendingPromotions.withdraw(serverID(c.server), c.earlier)
	}
}

func (w *modelWorld) applyToProcess(e modelEvent, p *modelProcess) bool {
	switch e.kind {
	case eventCall:
		if p.token == 0 {
			return false
		}
		w.callServer(p, int(e.b))
	case eventCut:
		if !spend(&w.left.cuts, !p.cut[e.b]) {
			return false
		}
		p.cut[e.b] = true
	case eventFreeze:
		if !spend(&w.left.freezes, p.stage != stageNone) {
			return false
		}
		p.frozen, p.late = true, p.stage == stageSend
	case eventCutStore:
		if !spend(&w.left.storeCuts, p.token != 0 && !p.storeCut) {
			return false
		}
		p.storeCut = true
	case eventRestartHolder:
		if !spend(&w.left.holderRestarts, w.leaseHeld(p) && w.lease.holder == p.index && !p.storeCut) {
			return false
		}
		w.restartHolder(p)
	default:
		return w.applyToPromotion(e, p)
	}
	return true
}

// restartHolder replaces the process of the lease holder. The new one knows nothing, and
// takes the lease at once.
func (w *modelWorld) restartHolder(p *modelProcess) {
	w.processes[p.index] = &modelProcess{index: p.index, run: p.run + 1, cut: p.cut, restartedAt: w.now, predecessor: p.token}
	w.processes[p.index].rebuildGrants(w)
	w.acquire(w.processes[p.index])
}

func (w *modelWorld) applyToPromotion(e modelEvent, p *modelProcess) bool {
	switch e.kind {
	case eventCheckLease:
		if p.stage != stageCheck {
			return false
		}
		w.checkLease(p)
	case eventSend:
		return w.send(p)
	case eventRevoke:
		other := w.processes[e.b]
		if p.token == 0 || p.state.Phase != PhasePausing || w.now >= p.grantExpiry[e.b]+grant.ListingTime || other.frozen || p != other && w.home.cut {
			return false
		}
		revocation := other.grants.Revoke("g")
		other.revokedAt = w.now
		_, last := p.issuer.Block("g")
		p.issuer.RecordRevoked(revocation, "g", last)
		p.reported = cluster.MaxPosition(p.reported, revocation.Acknowledged)
		p.grantExpiry[e.b], other.heldUntil = 0, 0
		w.decide(p)
	}
	return true
}

// send sends a promotion call. A process that was suspended after its check sends it
// late.
func (w *modelWorld) send(p *modelProcess) bool {
	if p.stage != stageSend {
		return false
	}
	p.stage = stageNone
	p.announced = nil
	var earlier PendingPromotion
	if p.view.PendingPromotions != nil {
		earlier = w.beginPromotion(p, serverID(p.candidate))
	}
	token := p.callToken
	if token < w.highestToken && !p.late {
		w.fail("token %d is sent after token %d", token, w.highestToken)
	}
	w.highestToken = max(w.highestToken, token)
	w.calls = append(slices.Clip(w.calls), modelCall{server: p.candidate, token: token, sentAt: w.now, sender: p.index, earlier: earlier})
	if !w.servers[p.candidate].alive {
		w.refuseCalls(p.candidate)
	}
	w.decide(p)
	return true
}

// beginPromotion notes a call that is sent.
func (w *modelWorld) beginPromotion(p *modelProcess, id cluster.ServerID) (earlier PendingPromotion) {
	pending := p.view.PendingPromotions
	earlier = pending.begin(id, p.state.highestTerm(p.view), w.time())
	call := pending[id]
	call.Sole = call.Sole || w.disabled.soleCall
	if w.disabled.inheritedTime {
		call.Until = w.time().Add(maxPromotionDelay)
	}
	pending[id] = call
	return earlier
}

func processID(p *modelProcess) cluster.ProxyID { return cluster.ProxyID(fmt.Sprintf("p%d", p.index)) }

func holderOf(p *modelProcess) grant.Holder { return p.grants.Holder() }

// grant gives process p a grant from the lease holder.
func (w *modelWorld) grant(p, holder *modelProcess) bool {
	if holder.frozen || !w.leaseHeld(holder) {
		return false
	}
	requestedAt := p.grants.Now()
	term, duration, ok := holder.issuer.Issue(holderOf(p), "g", holder.expiry-w.now)
	if !ok {
		return false
	}
	p.grants.Add("g", term, requestedAt, duration)
	if p.heldTerm, p.heldUntil = term, requestedAt+duration; requestedAt <= p.revokedAt {
		p.heldUntil = 0
	}
	holder.grantExpiry[p.index] = w.now + min(duration, grant.MaxDuration)
	return true
}

// tick lets time pass. Calls do not stay unexecuted for longer than
// modelMaxCallDelay.
func (w *modelWorld) tick() bool {
	if !spend(&w.left.ticks, true) {
		return false
	}
	w.now += modelTick
	return w.letTimePass()
}

// hearNews passes changes of the catalog on to a lease holder.
func (w *modelWorld) hearNews(p *modelProcess) {
	if p.token != 0 && w.hasNews(p) {
		w.refresh(p)
	}
}

// letTimePass does what processes do as time passes. It reports false if a call has been
// in transit, or a server that has joined has not been listed, for too long.
func (w *modelWorld) letTimePass() bool {
	for _, c := range w.calls {
		if w.now-c.sentAt > modelMaxCallDelay {
			return false
		}
	}
	for _, s := range w.servers {
		if s.unlisted() && w.now-s.joinedAt >= grant.ListingTime {
			return false
		}
	}
	for _, p := range w.processes {
		w.pollLease(p)
		if !p.frozen {
			w.hearNews(p)
			w.decide(p)
			w.progress(p)
		}
	}
	return true
}
