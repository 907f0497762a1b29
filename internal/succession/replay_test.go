package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	testSlots = 5
	// reportInterval is the time between two reports of all servers in these tests.
	reportInterval = 400 * time.Millisecond
)

// report lets each server report at position at, of which the replicas have replayed what
// was written until late before.
func (s *fixture) report(at uint64, late time.Duration) {
	for _, r := range s.group.Servers {
		o := s.view.Servers[r.ID]
		s.observe(r.ID, o.Status.Role, o.Status.Term, at, 0)
		s.update(r.ID, func(o *Observation) {
			o.StartTime, o.MaxReceived = r.StartTime, o.Status.Received
			o.Status.Busy, o.Status.Replayed = testSlots, o.Status.Received
			if o.Status.Role == cluster.RoleReplica {
				o.Status.Replayed.Offset -= uint64(late / reportInterval)
			}
		})
	}
}

func (s *fixture) update(id cluster.ServerID, change func(*Observation)) {
	o := s.view.Servers[id]
	change(&o)
	s.view.Servers[id] = o
}

// runLate lets the servers of a group that has not changed for long report until an
// attempt begins, and returns when that is.
func runLate(t *testing.T, late, limit time.Duration, disturb func(s *fixture, at time.Duration)) (time.Duration, bool) {
	t.Helper()
	return newLateFixture().runLate(t, late, limit, disturb)
}

func newLateFixture() *fixture {
	s := newFixture("s1", "s2", "s3")
	for i := range s.group.Servers {
		s.group.Servers[i].Slots = testSlots
	}
	s.now = s.now.Add(minReplaySettled)
	return s
}

func (s *fixture) runLate(t *testing.T, late, limit time.Duration, disturb func(s *fixture, at time.Duration)) (time.Duration, bool) {
	t.Helper()
	const interval = reportInterval / 2 // decisions are also made between reports
	for at := time.Duration(0); at < limit; at += interval {
		if at%reportInterval == 0 {
			s.report(uint64(200+at/reportInterval), late)
			disturb(s, at)
		}
		actions := s.decide(0)
		s.now = s.now.Add(interval)
		if s.state.Phase == PhaseWatching {
			continue
		}
		if s.state.Cause != CauseReplay || len(actions) != 1 || actions[0].Kind != ActionStepDown || actions[0].Server != "s1" {
			t.Errorf("%q: actions %v, want s1 to step down first", s.state.Cause, actions)
		}
		return at, true
	}
	return limit, false
}

// The promotion refuses writes for half a second. It must begin only if it helps, which
// each of these conditions stands for.
func TestReplaySwitchoverNeedsEveryCondition(t *testing.T) {
	const late, limit = 3 * time.Second, 6 * time.Second
	status := func(id cluster.ServerID, change func(*cluster.ServerStatus)) func(*fixture, time.Duration) {
		return func(s *fixture, _ time.Duration) { s.update(id, func(o *Observation) { change(&o.Status) }) }
	}
	once := func(at time.Duration, change func(*fixture)) func(*fixture, time.Duration) {
		return func(s *fixture, now time.Duration) {
			if now == at {
				change(s)
			}
		}
	}
	const middle = 7 * reportInterval
	thirdCopyBehind := func(s *fixture, _ time.Duration) {
		s.group.SyncReplicas = 2
		s.update("s3", func(o *Observation) { o.Status.Received.Offset--; o.MaxReceived = o.Status.Received })
	}
	for name, tt := range map[string]struct {
		late    time.Duration
		disturb func(s *fixture, at time.Duration)
		want    bool
	}{
		"nothing is amiss but the replay":       {late, func(*fixture, time.Duration) {}, true},
		"the primary idles for one report of 6": {late, idleEvery(6), true},
		"one replica lacks the last write":      {late, thirdCopyBehind, true},

		"replicas replay after 150 ms":       {150 * time.Millisecond, func(*fixture, time.Duration) {}, false},
		"replicas replay after 0.8 to 1.2 s": {1200 * time.Millisecond, func(*fixture, time.Duration) {}, false},
		"one replica is on time":             {late, status("s3", func(r *cluster.ServerStatus) { r.Replayed = r.Received }), false},
		"one replica was on time":            {late, once(middle, func(s *fixture) { s.update("s3", func(o *Observation) { o.Status.Replayed = o.Status.Received }) }), false},
		"one replica receives late": {late, func(s *fixture, _ time.Duration) {
			s.update("s3", func(o *Observation) {
				o.Status.Received.Offset -= 10
				o.Status.Replayed, o.MaxReceived = o.Status.Received, o.Status.Received
			})
		}, false},
		"what has been replayed is hidden": {late, status("s3", func(r *cluster.ServerStatus) { r.Replayed = cluster.Position{} }), false},
		"the primary idles at times":       {late, idleEvery(3), false},
		"the primary is busy for 3 reports": {late, func(s *fixture, at time.Duration) {
			if at < 12*reportInterval {
				s.update("s1", func(o *Observation) { o.Status.Busy = 1 })
			}
		}, false},
		"a server with one slot": {late, func(s *fixture, _ time.Duration) {
			s.group.Servers[0].Slots = 1
			s.update("s1", func(o *Observation) { o.Status.Busy = 1 })
		}, false},
		"no replica has what the primary reports": {late, status("s1", func(r *cluster.ServerStatus) { r.Received.Offset++ }), false},

		"writes need no replica":       {late, func(s *fixture, _ time.Duration) { s.group.SyncReplicas = 0 }, false},
		"a replica is leaving":         {late, func(s *fixture, _ time.Duration) { s.markLeaving("s3") }, false},
		"a replica does not respond":   {late, func(s *fixture, _ time.Duration) { s.fail("s3") }, false},
		"a replica has restarted":      {late, once(0, func(s *fixture) { s.restart("s3", 2); s.update("s3", func(o *Observation) { o.StartTime = 2 }) }), false},
		"a replica has lost records":   {late, func(s *fixture, _ time.Duration) { s.update("s3", func(o *Observation) { o.MaxReceived.Offset++ }) }, false},
		"a replica is paused":          {late, status("s3", func(r *cluster.ServerStatus) { r.PausedAt = 1 }), false},
		"a replica is at another term": {late, status("s3", func(r *cluster.ServerStatus) { r.Term = 0 }), false},
		"a second primary":             {late, status("s3", func(r *cluster.ServerStatus) { r.Role, r.Replayed.Offset = cluster.RolePrimary, r.Received.Offset-8 }), false},
		"a member is missing": {late, func(s *fixture, at time.Duration) {
			thirdCopyBehind(s, at)
			s.state.Members = unionOfMembers(s.state.Members, []Member{{ID: "s9", StartTime: 1}})
		}, false},
		"the primary is a new one": {late, once(middle, func(s *fixture) {
			for _, r := range s.group.Servers {
				s.update(r.ID, func(o *Observation) { o.Status.Term = 2 })
			}
		}), false},

		"the list is stale":       {late, func(s *fixture, _ time.Duration) { s.view.GroupStale = true }, false},
		"the record is not saved": {late, func(s *fixture, _ time.Duration) { s.view.RecordUnsaved = true }, false},
		"the record was saved too late": {late, once(0, func(s *fixture) {
			s.state.rest = replayRest{at: s.now.Add(-maxAnnouncementAge), pause: replaySwitchoverPause, announced: true}
		}), false},
		"the record has not been read": {late, func(s *fixture, _ time.Duration) { s.view.PriorPromotionPossible = true }, false},
		"a promotion is in flight":     {late, func(s *fixture, _ time.Duration) { s.view.PromotionInFlight = true }, false},
		"a promotion was possible until 2 s": {late, once(0, func(s *fixture) {
			s.view.PendingPromotions = PendingPromotions{"s1": {Until: s.now.Add(2 * time.Second)}}
		}), false},
		"the lease runs out":       {late, func(s *fixture, _ time.Duration) { s.view.LeaseRemaining = minSwitchoverLease - 1 }, false},
		"an attempt was postponed": {late, once(0, func(s *fixture) { s.state.PostponedUntil = s.now.Add(limit) }), false},
		"another switchover 20 s before": {late, once(0, func(s *fixture) {
			s.state.rest = replayRest{at: s.now.Add(-20 * time.Second), pause: replaySwitchoverPause}
		}), false},
	} {
		t.Run(name, func(t *testing.T) {
			at, began := runLate(t, tt.late, limit, tt.disturb)
			if began != tt.want || began && at < replayLateAfter+minReplayLate {
				t.Errorf("a switchover began: %v after %v, want %v", began, at, tt.want)
			}
		})
	}
}

// Reports count for when they were requested: the evidence spans minReplayLate for each
// replica, and an old report is none.
func TestReplayEvidenceSpansTheReportsOfEachReplica(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{1700 * time.Millisecond: 7800 * time.Millisecond, 1900 * time.Millisecond: 0} {
		at, began := runLate(t, 5*time.Second, 12*time.Second, func(s *fixture, _ time.Duration) {
			s.update("s3", func(o *Observation) { o.RequestedAt = o.RequestedAt.Add(-age) })
		})
		if began != (want > 0) || began && at != want {
			t.Errorf("reports %v old: a switchover began: %v after %v, want after %v", age, began, at, want)
		}
	}
}

// The positions of the primary are kept for each group, however often it reports.
func TestRememberedPositionsAreBounded(t *testing.T) {
	var reached []progress
	for i := range 1000 {
		reached = remember(reached, cluster.Position{Term: 1, Offset: uint64(i)}, testStart.Add(time.Duration(i)*10*time.Millisecond))
	}
	if n := len(reached); n > 2+int(maxProgressAge/progressInterval) {
		t.Errorf("%d positions", n)
	}
}

// The old primary does not step down, and serves on. It must keep its replicas, and not be
// asked again soon.
func TestPostponedReplaySwitchoverLeavesThePrimaryItsReplicas(t *testing.T) {
	undisturbed := func(*fixture, time.Duration) {}
	s := newLateFixture()
	if _, began := s.runLate(t, 3*time.Second, 6*time.Second, undisturbed); !began {
		t.Fatal("no switchover")
	}
	if s.state.rest.mayBegin(s.view, s.now) {
		t.Error("the announcement holds for a second switchover")
	}
	for range 20 {
		s.now = s.now.Add(switchoverTimeout / 15)
		s.report(1000, 3*time.Second)
		for _, a := range s.decide(0) {
			if a.Kind != ActionStepDown {
				t.Errorf("action %v", a)
			}
		}
	}
	s.expect(t, PhaseWatching, "")
	if at, began := s.runLate(t, 3*time.Second, replaySwitchoverPause-2*switchoverTimeout, undisturbed); began {
		t.Errorf("another switchover began after %v", at)
	}
}

// idleEvery makes the primary report idle slots once in n reports.
func idleEvery(n int) func(s *fixture, at time.Duration) {
	return func(s *fixture, at time.Duration) {
		if int(at/reportInterval)%n == 0 {
			s.update("s1", func(o *Observation) { o.Status.Busy = 1 })
		}
	}
}

// Where replicas are late whichever server is primary, switchovers only cost. The pause
// between them grows, also if the lease holder changes or its clock is ahead.
func TestPauseBetweenReplaySwitchovers(t *testing.T) {
	now := testStart
	rest := replayRest{}.announce(now)
	if rest.over(now.Add(replaySwitchoverPause-1)) || !rest.over(now.Add(replaySwitchoverPause)) {
		t.Errorf("first pause %v", rest.pause)
	}
	if again := rest.announce(now.Add(replaySwitchoverPause)); again.pause != 2*replaySwitchoverPause {
		t.Errorf("pause %v after the second switchover", again.pause)
	}
	if later := rest.announce(now.Add(2 * replaySwitchoverPause)); later.pause != replaySwitchoverPause {
		t.Errorf("pause %v after a calm time", later.pause)
	}
	for range 10 {
		now = now.Add(rest.pause)
		rest = rest.announce(now)
	}
	if rest.pause != maxReplaySwitchoverPause {
		t.Errorf("longest pause %v", rest.pause)
	}
	for recorded, want := range map[time.Time]time.Time{now.Add(-time.Second): now.Add(-time.Second), now.Add(time.Hour): now} {
		merged := replayRest{}.merge(recorded.UnixMilli(), now)
		if !merged.at.Equal(want) || merged.over(want.Add(replaySwitchoverPause-1)) {
			t.Errorf("recorded %v: rest %+v", recorded, merged)
		}
	}
	if kept := rest.merge(now.Add(-time.Minute).UnixMilli(), now); kept != rest {
		t.Errorf("an older record makes %+v of %+v", kept, rest)
	}
	if none := (replayRest{}).merge(0, now); !none.over(now) {
		t.Errorf("no switchover is recorded: rest %+v", none)
	}
}
