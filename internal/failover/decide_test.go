package failover

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

var testStart = time.Date(2026, 3, 2, 3, 0, 0, 0, time.UTC)

// at returns the time s seconds after testStart.
func at(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }

// observation returns an observation of a server that responds.
func observation(id cluster.ServerID, role cluster.Role, term cluster.Term, leader cluster.ServerID, offset uint64, requestedAt time.Time) Observation {
	return Observation{RequestedAt: requestedAt, Status: cluster.ServerStatus{
		Server: id, Role: role, Term: term, Leader: leader, Received: cluster.Position{Term: 1, Offset: offset},
		TermStart: cluster.Position{Term: 1, Offset: 5},
	}}
}

// failing returns o as an observation of a server that has failed since a time.
func failing(o Observation, since, last time.Time, failures int) Observation {
	o.FailingSince, o.LastFailure, o.ConsecutiveFailures = since, last, failures
	return o
}

// sealedObservation returns an observation of a server sealed by holder.
func sealedObservation(id cluster.ServerID, term cluster.Term, holder string, offset uint64, requestedAt time.Time) Observation {
	o := observation(id, cluster.RoleSealed, term, "", offset, requestedAt)
	o.Status.SealHolder = holder
	return o
}

// healthyGroup returns a group with s1 as primary of term 1 and two replicas.
func healthyGroup(when time.Time) GroupStatus {
	return GroupStatus{Servers: map[cluster.ServerID]Observation{
		"s1": observation("s1", cluster.RolePrimary, 1, "s1", 5, when),
		"s2": observation("s2", cluster.RoleReplica, 1, "s1", 5, when),
		"s3": observation("s3", cluster.RoleReplica, 1, "s1", 5, when),
	}}
}

// withObservations returns g with some observations replaced.
func withObservations(g GroupStatus, observations ...Observation) GroupStatus {
	g.Servers = maps.Clone(g.Servers)
	for _, o := range observations {
		g.Servers[o.Status.Server] = o
	}
	return g
}

// primaryDown returns a group whose primary has failed since testStart.
func primaryDown(now time.Time) GroupStatus {
	g := healthyGroup(now)
	return withObservations(g, failing(observation("s1", cluster.RolePrimary, 1, "s1", 5, at(-0.5)), testStart, now, 4))
}

func report(observer string, when time.Time, primaryReachable, othersReachable bool) ObserverReport {
	return ObserverReport{Observer: observer, QueriedAt: when, Probes: []ProbeResult{
		{Server: "s1", Reachable: primaryReachable, Role: cluster.RolePrimary, Term: 1},
		{Server: "s2", Reachable: othersReachable, Role: cluster.RoleReplica, Term: 1},
		{Server: "s3", Reachable: othersReachable, Role: cluster.RoleReplica, Term: 1},
	}}
}

// reportPrimaryAtLimit returns a report of an observer that found the primary at its
// connection limit.
func reportPrimaryAtLimit(observer string) ObserverReport {
	r := report(observer, at(0.5), true, true)
	r.Probes[0].Role, r.Probes[0].Term = "", 0
	return r
}

// withReports returns g with additional reports.
func withReports(g GroupStatus, reports ...ObserverReport) GroupStatus {
	g.Reports = append(g.Reports, reports...)
	return g
}

// watchingState returns the state of a warden that has observed the group for 60 s.
func watchingState(phase Phase, cause Cause) State {
	s := NewState(at(-60), 1)
	s.Phase, s.Cause, s.Since, s.FailureSince = phase, cause, testStart, testStart
	s.MaxTerm, s.MaxTermSince = 1, at(-60)
	return s
}

// describeActions returns a short description of each action.
func describeActions(actions []Action) []string {
	var names []string
	for _, a := range actions {
		switch a := a.(type) {
		case QueryObservers:
			names = append(names, "ask")
		case Confirm:
			names = append(names, "confirm")
		case Seal:
			names = append(names, "seal")
		case Promote:
			names = append(names, "promote "+string(a.Attempt.Candidate))
		case Follow:
			names = append(names, "follow "+string(a.Server)+" "+string(a.Primary))
		case SaveRecord:
			names = append(names, "report")
		}
	}
	return names
}

func TestDecideDetection(t *testing.T) {
	suspected := watchingState(PhaseSuspected, CauseUnreachable)
	tests := []struct {
		name   string
		spec   func(*GroupSpec)
		status GroupStatus
		state  State
		now    time.Time
		phase  Phase
		want   []string
	}{
		{name: "healthy", status: healthyGroup(at(1)), state: watchingState(PhaseHealthy, CauseNone), now: at(1), phase: PhaseHealthy},
		{name: "partitioned warden", status: GroupStatus{}, state: watchingState(PhaseHealthy, CauseNone), now: at(1), phase: PhaseHealthy},
		{name: "suspects and queries observers", status: primaryDown(at(0.3)), state: watchingState(PhaseHealthy, CauseNone), now: at(0.3), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "too early", status: withReports(primaryDown(at(0.9)), report("e1", at(0.5), false, true)), state: suspected, now: at(0.9), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "majority cannot reach it", status: withReports(primaryDown(at(1.1)), report("e1", at(0.5), false, true)), state: suspected, now: at(1.1), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "majority reaches it", status: withReports(primaryDown(at(1.1)), report("e1", at(0.5), true, true), report("e2", at(0.5), true, true)), state: suspected, now: at(1.1), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "connection limit is not a failure", status: withReports(primaryDown(at(1.1)), reportPrimaryAtLimit("e1"), reportPrimaryAtLimit("e2")), state: suspected, now: at(1.1), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "even split", status: withReports(primaryDown(at(1.1)), report("e1", at(0.5), true, true)), state: suspected, now: at(1.1), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "partitioned observers do not count", status: withReports(primaryDown(at(1.1)), report("e1", at(0.5), false, true), report("e2", at(0.5), false, false), report("e3", at(0.5), false, false)), state: suspected, now: at(1.1), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "stale report does not count", status: withReports(primaryDown(at(2.6)), report("e1", at(0.5), true, true)), state: suspected, now: at(2.6), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "waits longer without observers", status: primaryDown(at(1.5)), state: suspected, now: at(1.5), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "acts without observers", status: primaryDown(at(2)), state: suspected, now: at(2), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "second warden waits", spec: func(s *GroupSpec) { s.StandbyIndex = 1 }, status: withReports(primaryDown(at(2)), report("e1", at(1.5), false, true)), state: suspected, now: at(2), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "second warden acts", spec: func(s *GroupSpec) { s.StandbyIndex = 1 }, status: withReports(primaryDown(at(2.5)), report("e1", at(1.5), false, true)), state: suspected, now: at(2.5), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "detection time set in the document", spec: func(s *GroupSpec) { s.Policy.DetectAfter = 3 * time.Second }, status: withReports(primaryDown(at(2.5)), report("e1", at(1.5), false, true)), state: suspected, now: at(2.5), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "recovered", status: healthyGroup(at(1.1)), state: suspected, now: at(1.1), phase: PhaseHealthy},
		{name: "one failure only", status: withObservations(primaryDown(at(1.1)), failing(observation("s1", cluster.RolePrimary, 1, "s1", 5, at(-0.5)), testStart, testStart, 1)), state: suspected, now: at(2.1), phase: PhaseSuspected, want: []string{"ask"}},
		{
			name: "no majority", status: withObservations(withReports(primaryDown(at(2.1)), report("e1", at(1.5), false, true)), failing(observation("s2", cluster.RoleReplica, 1, "s1", 5, testStart), testStart, at(2), 4)),
			state: suspected, now: at(2.1), phase: PhaseWaitingMajority, want: []string{"ask"},
		},
		{
			name: "another warden has just sealed", status: withObservations(withReports(primaryDown(at(1.1)), report("e1", at(0.5), false, true)), sealedObservation("s2", 2, "v/1", 5, at(1.1))),
			state: suspected, now: at(1.1), phase: PhaseSuspected, want: []string{"ask"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := specOf(3)
			if tt.spec != nil {
				tt.spec(&spec)
			}
			got, actions := Decide(spec, tt.status, tt.state, tt.now)
			if got.Phase != tt.phase {
				t.Errorf("phase %s, want %s", got.Phase, tt.phase)
			}
			if diff := cmp.Diff(tt.want, describeActions(actions)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// attemptState returns the state in an attempt at term 2 that began at 2 s.
func attemptState(phase Phase, sealed bool) State {
	s := watchingState(phase, CauseUnreachable)
	s.Since = at(2)
	s.Attempt = Attempt{Term: 2, Holder: "w/1", StartedAt: at(2), Cause: CauseUnreachable, OldPrimary: "s1", SealRequested: sealed}
	return s
}

// confirmedFailure returns a group for which probes after 2 s confirmed that only the
// primary fails, with the response of the table service to the intent.
func confirmedFailure(outcome IntentOutcome) GroupStatus {
	g := primaryDown(at(2.1))
	g.Intent = IntentResult{Outcome: outcome, Holder: "w/1"}
	return g
}

func TestDecideAttempt(t *testing.T) {
	sealed2 := sealedObservation("s2", 2, "w/1", 5, at(2.2))
	sealed3 := sealedObservation("s3", 2, "w/1", 7, at(2.2))
	promoting := attemptState(PhasePromoting, true)
	promoting.Attempt.Candidate = "s3"
	following := promoting
	following.Phase = PhaseFollowing
	primary3 := observation("s3", cluster.RolePrimary, 2, "s3", 7, at(2.2))
	tests := []struct {
		name   string
		spec   func(*GroupSpec)
		status GroupStatus
		state  State
		now    time.Time
		phase  Phase
		want   []string
	}{
		{name: "seals when confirmed", status: confirmedFailure(IntentGranted), state: attemptState(PhaseSealing, false), now: at(2.2), phase: PhaseSealing, want: []string{"seal"}},
		{name: "seals without the table service", status: confirmedFailure(IntentUnreachable), state: attemptState(PhaseSealing, false), now: at(2.2), phase: PhaseSealing, want: []string{"seal"}},
		{name: "yields to another intent", status: confirmedFailure(IntentConflict), state: attemptState(PhaseSealing, false), now: at(2.2), phase: PhaseBackoff},
		{name: "never seals a reachable primary", status: withObservations(confirmedFailure(IntentGranted), observation("s1", cluster.RolePrimary, 1, "s1", 5, at(2.1))), state: attemptState(PhaseSealing, false), now: at(2.2), phase: PhaseHealthy},
		{name: "outdated evidence is renewed", status: withObservations(confirmedFailure(IntentGranted), failing(observation("s1", cluster.RolePrimary, 1, "s1", 5, testStart), testStart, at(1.9), 4)), state: attemptState(PhaseSealing, false), now: at(2.2), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "confirmation expires during a pause", status: confirmedFailure(IntentGranted), state: attemptState(PhaseSealing, false), now: at(3.3), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "elects with a majority", status: withObservations(confirmedFailure(IntentGranted), sealed2, sealed3), state: attemptState(PhaseSealing, true), now: at(2.3), phase: PhasePromoting, want: []string{"promote s3"}},
		{name: "one seal is not enough", status: withObservations(confirmedFailure(IntentGranted), sealed2), state: attemptState(PhaseSealing, true), now: at(2.3), phase: PhaseSealing, want: []string{"seal"}},
		{name: "another holder's seal does not count", status: withObservations(confirmedFailure(IntentGranted), sealed2, sealedObservation("s3", 2, "v/1", 7, at(2.2))), state: attemptState(PhaseSealing, true), now: at(2.3), phase: PhaseSealing, want: []string{"seal"}},
		{name: "a higher term wins", status: withObservations(confirmedFailure(IntentGranted), sealed2, sealedObservation("s3", 4, "v/1", 7, at(2.2))), state: attemptState(PhaseSealing, true), now: at(2.3), phase: PhaseBackoff},
		{name: "times out", status: withObservations(confirmedFailure(IntentGranted), sealed2), state: attemptState(PhaseSealing, true), now: at(3.6), phase: PhaseBackoff},
		{name: "retries the promotion", status: withObservations(confirmedFailure(IntentGranted), sealed2, sealed3), state: promoting, now: at(2.5), phase: PhasePromoting, want: []string{"promote s3"}},
		{name: "promotion superseded", status: withObservations(confirmedFailure(IntentGranted), sealedObservation("s2", 4, "v/1", 5, at(2.2)), sealed3), state: promoting, now: at(2.5), phase: PhaseBackoff},
		{name: "candidate failed", status: withObservations(confirmedFailure(IntentGranted), sealed2, failing(sealed3, at(2.3), at(3.5), 4)), state: promoting, now: at(3.6), phase: PhaseWaitingMajority, want: []string{"ask"}},
		{name: "others follow", status: withObservations(confirmedFailure(IntentGranted), sealed2, primary3), state: promoting, now: at(2.5), phase: PhaseFollowing, want: []string{"follow s2 s3"}},
		{name: "completed", status: withObservations(confirmedFailure(IntentGranted), observation("s2", cluster.RoleReplica, 2, "s3", 5, at(2.3)), primary3), state: following, now: at(2.5), phase: PhaseHealthy, want: []string{"report"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := specOf(3)
			if tt.spec != nil {
				tt.spec(&spec)
			}
			got, actions := Decide(spec, tt.status, tt.state, tt.now)
			if got.Phase != tt.phase {
				t.Errorf("phase %s, want %s", got.Phase, tt.phase)
			}
			if diff := cmp.Diff(tt.want, describeActions(actions)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDecideRepairAndSwitchover(t *testing.T) {
	leaving := func(s *GroupSpec) { s.Leaving["s1"] = true }
	healthy := watchingState(PhaseHealthy, CauseNone)
	unrepaired := watchingState(PhaseHealthy, CauseNone)
	unrepaired.UnrepairedSince = at(1)
	switching := watchingState(PhaseSwitchover, CauseLeaving)
	newPrimary := withObservations(healthyGroup(at(1)), observation("s2", cluster.RolePrimary, 2, "s2", 5, at(1)), observation("s3", cluster.RoleReplica, 2, "s2", 5, at(1)))
	behind := withObservations(healthyGroup(at(1)), observation("s1", cluster.RolePrimary, 1, "s1", 500, at(1)))
	tests := []struct {
		name   string
		spec   func(*GroupSpec)
		status GroupStatus
		state  State
		now    time.Time
		phase  Phase
		want   []string
	}{
		{name: "old primary returns without unreplicated records", status: newPrimary, state: healthy, now: at(1), phase: PhaseHealthy, want: []string{"follow s1 s2"}},
		{name: "old primary returns with unreplicated records", status: withObservations(newPrimary, observation("s1", cluster.RolePrimary, 1, "s1", 6, at(1))), state: healthy, now: at(1), phase: PhaseHealthy, want: []string{"report", "follow s1 s2"}},
		{name: "replica of another server", status: withObservations(healthyGroup(at(1)), observation("s3", cluster.RoleReplica, 1, "s2", 5, at(1))), state: healthy, now: at(1), phase: PhaseHealthy, want: []string{"follow s3 s1"}},
		{name: "diverged", status: withObservations(healthyGroup(at(1)), observation("s3", cluster.RoleReplica, 1, "s1", 9, at(1))), state: healthy, now: at(1), phase: PhaseHealthy, want: []string{"follow s3 s1"}},
		{name: "newer status of a replica is no divergence", status: withObservations(healthyGroup(at(1)), observation("s3", cluster.RoleReplica, 1, "s1", 9, at(1.1))), state: healthy, now: at(1.1), phase: PhaseHealthy},
		{name: "second warden leaves the repair to the first", spec: func(s *GroupSpec) { s.StandbyIndex = 1 }, status: newPrimary, state: healthy, now: at(1), phase: PhaseHealthy},
		{name: "second warden does not repair on an outdated status", spec: func(s *GroupSpec) { s.StandbyIndex = 1 }, status: newPrimary, state: unrepaired, now: at(3), phase: PhaseHealthy},
		{name: "second warden repairs after its delay", spec: func(s *GroupSpec) { s.StandbyIndex = 1 }, status: withObservations(newPrimary, observation("s1", cluster.RolePrimary, 1, "s1", 5, at(3))), state: unrepaired, now: at(3), phase: PhaseHealthy, want: []string{"follow s1 s2"}},
		{name: "unfinished election", status: withObservations(healthyGroup(at(1)), sealedObservation("s3", 2, "v/1", 5, at(1))), state: healthy, now: at(1), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "no primary", status: withObservations(healthyGroup(at(1)), observation("s1", cluster.RoleReplica, 1, "", 5, at(1)), observation("s2", cluster.RoleReplica, 1, "", 5, at(1)), observation("s3", cluster.RoleReplica, 1, "", 5, at(1))), state: healthy, now: at(1), phase: PhaseSuspected, want: []string{"ask"}},
		{name: "leaving primary", spec: leaving, status: healthyGroup(at(1)), state: healthy, now: at(1), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "leaving replica", spec: func(s *GroupSpec) { s.Leaving["s2"] = true }, status: healthyGroup(at(1)), state: healthy, now: at(1), phase: PhaseHealthy},
		{name: "all leaving", spec: func(s *GroupSpec) { s.Leaving["s1"], s.Leaving["s2"], s.Leaving["s3"] = true, true, true }, status: healthyGroup(at(1)), state: healthy, now: at(1), phase: PhaseHealthy},
		{name: "waits for the candidate to catch up", spec: leaving, status: behind, state: switching, now: at(1), phase: PhaseSwitchover},
		{name: "stops waiting after catchUpTimeout", spec: leaving, status: behind, state: switching, now: at(3), phase: PhaseSealing, want: []string{"confirm"}},
		{name: "no longer leaving", status: healthyGroup(at(1)), state: switching, now: at(1), phase: PhaseHealthy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := specOf(3)
			if tt.spec != nil {
				tt.spec(&spec)
			}
			got, actions := Decide(spec, tt.status, tt.state, tt.now)
			if got.Phase != tt.phase {
				t.Errorf("phase %s, want %s", got.Phase, tt.phase)
			}
			if diff := cmp.Diff(tt.want, describeActions(actions)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDecideProperties feeds random observations to Decide and checks that the chart
// accepts every event, that nothing is sealed without a confirmation after the attempt
// began, and that only servers sealed for the attempt are promoted.
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := specOf(3)
		spec.StandbyIndex = rapid.IntRange(0, 1).Draw(t, "order")
		spec.Policy.NoMajority = rapid.SampledFrom([]environment.NoMajority{"", environment.NoMajorityPromote}).Draw(t, "policy")
		state := NewState(testStart, 1)
		now := testStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
			spec.Leaving["s1"] = rapid.Bool().Draw(t, "leaving")
			status := drawStatus(t, state, now)
			next, actions := Decide(spec, status, state, now)
			for _, a := range actions {
				checkAction(t, spec, status, state, a)
			}
			state = next
		}
	})
}

// checkAction checks an action that was decided in state s.
func checkAction(t *rapid.T, spec GroupSpec, status GroupStatus, s State, action Action) {
	switch a := action.(type) {
	case Seal:
		if _, ok := confirmedAt(spec, status, a.Attempt); !ok && !s.Attempt.SealRequested {
			t.Fatalf("sealed without a confirmation: %+v", status)
		}
		if a.Attempt.Term <= 1 {
			t.Fatalf("sealed at term %d", a.Attempt.Term)
		}
	case Promote:
		if s.Phase == PhaseSealing && len(status.sealedBy(spec, a.Attempt)) < requiredSeals(spec, a.Attempt) {
			t.Fatalf("promoted without seals: %+v", status)
		}
	}
}

// drawStatus returns a random status in which servers often hold the seal of the
// state's attempt.
func drawStatus(t *rapid.T, s State, now time.Time) GroupStatus {
	status := GroupStatus{Servers: map[cluster.ServerID]Observation{}}
	roles := []cluster.Role{cluster.RolePrimary, cluster.RoleReplica, cluster.RoleSealed}
	for _, id := range []cluster.ServerID{"s1", "s2", "s3"} {
		o := Observation{RequestedAt: now, Status: cluster.ServerStatus{
			Server: id, Role: rapid.SampledFrom(roles).Draw(t, "role"),
			Term:     cluster.Term(rapid.IntRange(1, 6).Draw(t, "term")),
			Leader:   rapid.SampledFrom([]cluster.ServerID{"", "s1", "s2"}).Draw(t, "leader"),
			Received: cluster.Position{Term: 1, Offset: rapid.Uint64Range(0, 5).Draw(t, "offset")},
		}}
		if rapid.Bool().Draw(t, "ours") && s.Attempt.Term > 0 {
			o.Status.Term, o.Status.SealHolder = s.Attempt.Term, s.Attempt.Holder
		}
		if rapid.IntRange(0, 2).Draw(t, "down") == 0 {
			o = failing(o, now.Add(-3*time.Second), now, 5)
		}
		status.Servers[id] = o
	}
	outcomes := []IntentOutcome{IntentGranted, IntentConflict, IntentUnreachable}
	status.Intent = IntentResult{Outcome: rapid.SampledFrom(outcomes).Draw(t, "intent"), Holder: s.Attempt.Holder}
	return status
}
