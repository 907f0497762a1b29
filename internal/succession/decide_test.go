package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

var testStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// fixture holds the state of a group whose first server, s1, is the primary of term 1
// at position 1.100.
type fixture struct {
	group Group
	view  View
	state State
	now   time.Time
}

func newFixture(servers ...cluster.ServerID) *fixture {
	s := &fixture{group: Group{Name: "g", SyncReplicas: 1}, now: testStart, state: NewState(testStart)}
	s.view.Servers = map[cluster.ServerID]Observation{}
	s.view.LeaseRemaining = time.Minute
	for _, id := range servers {
		s.group.Servers = append(s.group.Servers, Server{Server: cluster.Server{ID: id}, StartTime: 1})
		s.observe(id, cluster.RoleReplica, 1, 100, 0)
	}
	s.observe(servers[0], cluster.RolePrimary, 1, 100, 0)
	s.state.Membership = membershipOf(s.group)
	return s
}

// membershipOf returns the membership of a group whose listed servers have all
// acknowledged writes.
func membershipOf(g Group) Membership {
	m := Membership{}.update(g, View{PriorPromotionPossible: true}, testStart)
	m.Known = true
	return m
}

func (s *fixture) observe(id cluster.ServerID, role cluster.Role, term cluster.Term, at uint64, paused cluster.Term) {
	s.view.Servers[id] = Observation{
		RequestedAt: s.now, StartTime: 1,
		Status: cluster.ServerStatus{
			Server: id, Role: role, Term: term, PausedAt: paused, Received: cluster.Position{Term: 1, Offset: at},
		},
	}
}

// fail makes a server unreachable.
func (s *fixture) fail(id cluster.ServerID) {
	o := s.view.Servers[id]
	if o.ConsecutiveFailures == 0 {
		o.FailingSince = s.now
	}
	o.ConsecutiveFailures += 2
	s.view.Servers[id] = o
}

func (s *fixture) markLeaving(id cluster.ServerID) {
	for i := range s.group.Servers {
		if s.group.Servers[i].ID == id {
			s.group.Servers[i].Leaving = true
		}
	}
}

// decide advances the time and makes a decision.
func (s *fixture) decide(after time.Duration) []Action {
	s.now = s.now.Add(after)
	var actions []Action
	s.state, actions = Decide(s.group, s.view, s.state, s.now)
	return actions
}

// confirmPrimaryFailed fails the primary and brings the group to the pausing phase.
func (s *fixture) confirmPrimaryFailed(t *testing.T) []Action {
	t.Helper()
	s.fail("s1")
	s.decide(0)
	s.now = s.now.Add(detectionTime)
	s.view.ObserverReport = ObserverReport{QueriedAt: s.now, Unreachable: 2}
	actions := s.decide(time.Millisecond)
	if s.state.Phase != PhasePausing {
		t.Fatalf("phase %s after the failure of the primary was confirmed", s.state.Phase)
	}
	return actions
}

func (s *fixture) expect(t *testing.T, phase Phase, candidate cluster.ServerID) {
	t.Helper()
	if s.state.Phase != phase || s.state.Candidate != candidate {
		t.Errorf("phase %s, candidate %q, want %s, %q", s.state.Phase, s.state.Candidate, phase, candidate)
	}
}

func TestFailedPrimaryIsReplacedByTheHighestPausedReplica(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	if actions := s.confirmPrimaryFailed(t); len(actions) != 2 || actions[0].Kind != ActionPause || actions[0].Term != 2 {
		t.Fatalf("actions %v, want both replicas paused at a term above every known one", actions)
	}
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 100, 2)
	if s.decide(time.Millisecond); s.state.Phase != PhasePausing {
		t.Fatal("elected while a replica was still receiving")
	}
	s.observe("s3", cluster.RoleReplica, 1, 104, 2)
	actions := s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s3")
	if len(actions) != 1 || actions[0].Kind != ActionPromote || actions[0].Server != "s3" {
		t.Errorf("actions %v", actions)
	}
	if repeated := s.decide(time.Second); len(repeated) != 0 {
		t.Errorf("promotion requested again before promotionTimeout: %v", repeated)
	}
	s.observe("s3", cluster.RolePrimary, 2, 104, 0)
	s.observe("s2", cluster.RoleReplica, 2, 104, 2)
	repairs := s.decide(time.Millisecond)
	s.expect(t, PhaseWatching, "s3")
	if len(repairs) != 1 || repairs[0].Kind != ActionResume || repairs[0].Server != "s2" {
		t.Errorf("repairs %v, want s2 resumed", repairs)
	}
}

// A replica that cannot reach the new primary, but still reaches the replaced one, must
// stay paused: the replaced primary would go on acknowledging writes with it, which the
// promotion has discarded.
func TestReplacedPrimaryGetsNoReplicaBack(t *testing.T) {
	for name, tt := range map[string]struct {
		setup func(s *fixture)
		want  int
	}{
		"the replaced primary does not respond":      {func(s *fixture) { s.fail("s1") }, 0},
		"it has not responded since it was started":  {func(s *fixture) { s.restart("s1", 2) }, 0},
		"it never responded to this process":         {func(s *fixture) { delete(s.view.Servers, "s1") }, 0},
		"it has become a replica":                    {func(s *fixture) { s.observe("s1", cluster.RoleReplica, 1, 100, 0) }, 1},
		"it is no longer listed":                     {func(s *fixture) { s.delist("s1") }, 1},
		"the paused replica follows the new primary": {func(s *fixture) { s.observe("s3", cluster.RoleReplica, 2, 100, 2) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.observe("s2", cluster.RolePrimary, 2, 100, 0)
			s.observe("s3", cluster.RoleReplica, 1, 100, 2)
			tt.setup(s)
			resumed := 0
			for _, a := range s.decide(time.Millisecond) {
				if a.Kind == ActionResume {
					resumed++
				}
			}
			if resumed != tt.want {
				t.Errorf("%d replicas resumed, want %d", resumed, tt.want)
			}
		})
	}
}

func TestNothingIsElectedWhileAnAcknowledgedWriteMayBeElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		setup func(s *fixture)
		phase Phase
		want  cluster.ServerID
	}{
		{"all replicas paused", func(*fixture) {}, PhasePromoting, "s2"},
		{"a replica and the primary are unreachable", func(s *fixture) { s.fail("s3") }, PhasePausing, ""},
		{"a restart ended the pause", func(s *fixture) {
			o := s.view.Servers["s3"]
			o.StartTime = 0 // the status is from before the restart
			s.view.Servers["s3"] = o
		}, PhasePausing, ""},
		{"a grant of the term is in force", func(s *fixture) { s.view.GrantsInForce = true }, PhasePausing, ""},
		{"a leaving replica is level with another", func(s *fixture) { s.markLeaving("s2") }, PhasePromoting, "s3"},
		{"only the leaving replica has every write", func(s *fixture) {
			s.markLeaving("s2")
			s.observe("s2", cluster.RoleReplica, 1, 120, 2)
		}, PhasePromoting, "s2"},
		{"the old primary returns as a replica with unreplicated records", func(s *fixture) {
			s.observe("s1", cluster.RoleReplica, 2, 130, 2)
		}, PhasePromoting, "s2"},
		{"the platform refused the first candidate", func(s *fixture) { s.view.PromotionRefused = "s2" }, PhasePromoting, "s3"},
		{"the old primary is reachable again", func(s *fixture) { s.observe("s1", cluster.RolePrimary, 1, 130, 0) }, PhaseWatching, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.confirmPrimaryFailed(t)
			s.now = s.now.Add(time.Millisecond)
			s.observe("s2", cluster.RoleReplica, 1, 110, 2)
			s.observe("s3", cluster.RoleReplica, 1, 110, 2)
			tt.setup(s)
			s.decide(time.Millisecond)
			s.expect(t, tt.phase, tt.want)
		})
	}
}

func TestPrimaryThatOthersReachIsKept(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.fail("s1")
	s.decide(0)
	for range 20 {
		s.fail("s1")
		s.view.ObserverReport = ObserverReport{QueriedAt: s.now, Reachable: 3, Unreachable: 1}
		s.decide(100 * time.Millisecond)
	}
	s.expect(t, PhaseSuspecting, "")
}

func TestReplicaBehindAnOldPrimaryIsNotPromoted(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.markLeaving("s1")
	s.decide(time.Millisecond)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 100, 2)
	s.fail("s3") // may hold writes that s2 lacks
	s.observe("s1", cluster.RoleReplica, 2, 105, 0)
	s.decide(time.Millisecond)
	s.expect(t, PhasePausing, "")
}

// A leaving primary steps down with records that no replica has received. They were
// never acknowledged, and no paused replica will ever receive them, so the election must
// not wait for them.
func TestTailOfALeavingPrimaryDoesNotBlockItsReplacement(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.markLeaving("s1")
	s.decide(time.Millisecond)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 100, 2)
	s.observe("s3", cluster.RoleReplica, 1, 101, 2)
	s.observe("s1", cluster.RoleReplica, 2, 105, 0)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s3")
}

// A new lease holder takes over after its predecessor has made the leaving primary step
// down. It never observed that server as primary and must still not promote it.
func TestUnknownOldPrimaryThatLeavesIsNotPromotedAgain(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.markLeaving("s1")
	s.observe("s1", cluster.RoleReplica, 2, 105, 2)
	s.decide(0)
	s.decide(detectionTime)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s1", cluster.RoleReplica, 2, 105, 3)
	s.observe("s2", cluster.RoleReplica, 1, 101, 3)
	s.observe("s3", cluster.RoleReplica, 1, 100, 3)
	s.decide(stepRetryInterval)
	s.expect(t, PhasePromoting, "s2")
}

// A lease holder that cannot renew its lease must not step down a working primary: its
// lease would expire before it could request the promotion.
func TestWorkingPrimaryIsKeptWhileTheLeaseRunsOut(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.markLeaving("s1")
	s.view.LeaseRemaining = minSwitchoverLease - time.Millisecond
	if actions := s.decide(time.Millisecond); len(actions) > 0 {
		t.Errorf("actions %v", actions)
	}
	s.expect(t, PhaseWatching, "")
}

func TestEarlierPrimaryIsMadeToStepDown(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.observe("s2", cluster.RolePrimary, 3, 140, 0)
	actions := s.decide(time.Millisecond)
	if len(actions) != 1 || actions[0] != (Action{Kind: ActionStepDown, Server: "s1", Term: 3}) {
		t.Errorf("actions %v", actions)
	}
}

func TestStalledReplicationReplacesThePrimary(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.observe("s1", cluster.RolePrimary, 1, 150, 0)
	s.decide(time.Millisecond)
	s.decide(stallTimeout - time.Millisecond)
	s.expect(t, PhaseWatching, "")
	s.decide(time.Millisecond)
	if s.state.Phase != PhasePausing || s.state.Cause != CauseStalled {
		t.Errorf("phase %s for %q", s.state.Phase, s.state.Cause)
	}
}

// The old primary, which this process never reached, responds while the platform carries
// out the promotion of another server. It must not be taken for the promoted server, and
// its term must not be granted, since the promotion is about to end it.
func TestOldPrimaryThatReturnsIsNotThePromotedOne(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.observe("s2", cluster.RoleReplica, 2, 100, 0)
	s.observe("s3", cluster.RoleReplica, 2, 100, 0)
	delete(s.view.Servers, "s1")
	s.decide(0)
	s.decide(detectionTime)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 2, 100, 3)
	s.observe("s3", cluster.RoleReplica, 2, 100, 3)
	s.decide(stepRetryInterval)
	s.expect(t, PhasePromoting, "s2")
	s.view.PendingPromotions = PendingPromotions{"s2": {Until: s.now.Add(maxPromotionDelay)}}

	s.now = s.now.Add(time.Millisecond)
	s.observe("s1", cluster.RolePrimary, 2, 110, 0)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s2")
	watching := NewState(s.now)
	if term, ok := grantableTerm(s.group, s.view, watching, s.now); ok {
		t.Errorf("term %d is granted while a promotion is pending", term)
	}

	s.observe("s2", cluster.RolePrimary, 3, 100, 0)
	s.observe("s3", cluster.RoleReplica, 3, 100, 0)
	s.decide(time.Millisecond)
	s.expect(t, PhaseWatching, "s2")
	if term, ok := grantableTerm(s.group, s.view, s.state, s.now); !ok || term != 3 {
		t.Errorf("term %d, %v after the promotion, want 3", term, ok)
	}
}

// Only the VM of a server that is not running refuses connections, so refusals shorten
// the detection time. One refusal is not enough, nor are two if observers can
// reach the server or have not been asked about it.
func TestServerThatIsNotRunningIsReplacedSooner(t *testing.T) {
	for name, tt := range map[string]struct {
		refused int
		report  ObserverReport
		want    Phase
	}{
		"refused twice, unreachable for observers": {2, ObserverReport{Unreachable: 2}, PhasePausing},
		"refused once, then no response":           {1, ObserverReport{Unreachable: 2}, PhaseSuspecting},
		"reachable for observers":                  {2, ObserverReport{Reachable: 2, Unreachable: 1}, PhaseSuspecting},
		"no observer asked":                        {2, ObserverReport{}, PhaseSuspecting},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.fail("s1")
			o := s.view.Servers["s1"]
			o.ConsecutiveRefusals = tt.refused
			s.view.Servers["s1"] = o
			s.decide(0)
			s.now = s.now.Add(refusedDetectionTime)
			s.view.ObserverReport = tt.report
			if tt.report != (ObserverReport{}) {
				s.view.ObserverReport.QueriedAt = s.now
			}
			if s.decide(time.Millisecond); s.state.Phase != tt.want {
				t.Errorf("phase %s, want %s", s.state.Phase, tt.want)
			}
		})
	}
}

// A primary becomes reachable again while a promotion of another server, requested by
// this process or by an earlier lease holder, may still take effect. If the replicas
// resumed, writes that the primary then acknowledged would be lost with the promotion.
func TestReplicasStayPausedWhileAPromotionMayTakeEffect(t *testing.T) {
	resumes := func(actions []Action) bool {
		for _, a := range actions {
			if a.Kind == ActionResume {
				return true
			}
		}
		return false
	}
	for name, tt := range map[string]struct {
		pending       cluster.ServerID
		priorPossible bool
		term          cluster.Term
		want          bool
	}{
		"no promotion is pending":                  {"", false, 1, true},
		"own promotion of another server":          {"s2", false, 1, false},
		"own promotion of the primary itself":      {"s1", false, 1, true},
		"an earlier holder may have requested one": {"", true, 1, false},
		"the primary has the term of the attempt":  {"s2", true, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.observe("s1", cluster.RolePrimary, tt.term, 100, 0)
			s.observe("s3", cluster.RoleReplica, 1, 100, 2)
			s.view.PriorPromotionPossible = tt.priorPossible
			if tt.pending != "" {
				s.view.PendingPromotions = PendingPromotions{tt.pending: {Until: s.now.Add(maxPromotionDelay)}}
			}
			if got := resumes(s.decide(time.Millisecond)); got != tt.want {
				t.Errorf("resumed: %v, want %v", got, tt.want)
			}
		})
	}
}

// The catalog entry of a failed primary has expired. One of its two replicas may lack its
// last acknowledged writes, so both must be paused before an election.
func TestPrimaryWhoseEntryHasLapsedIsCounted(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.fail("s1")
	s.decide(0)
	s.group.Servers = s.group.Servers[1:]
	delete(s.view.Servers, "s1")
	s.now = s.now.Add(detectionTime)
	s.decide(0)
	s.decide(detectionTime)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 90, s.state.AttemptTerm)
	if s.decide(10 * time.Millisecond); s.state.Phase != PhasePausing {
		t.Fatalf("phase %s with only one of two logs final", s.state.Phase)
	}
	s.observe("s3", cluster.RoleReplica, 1, 100, s.state.AttemptTerm)
	s.observe("s2", cluster.RoleReplica, 1, 90, s.state.AttemptTerm)
	if s.decide(10 * time.Millisecond); s.state.Phase != PhasePromoting || s.state.Candidate != "s3" {
		t.Errorf("phase %s, candidate %q, want the promotion of s3", s.state.Phase, s.state.Candidate)
	}
}

// A new lease holder finds a listed primary that has never responded. It must be counted
// once: as a listed server, not as a lost primary as well.
func TestFailedPrimaryThatNeverRespondedIsReplaced(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.view.Servers["s1"] = Observation{ConsecutiveFailures: 2, FailingSince: s.now}
	s.decide(0)
	s.decide(detectionTime)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 100, s.state.AttemptTerm)
	s.observe("s3", cluster.RoleReplica, 1, 90, s.state.AttemptTerm)
	if s.decide(10 * time.Millisecond); s.state.Candidate != "s2" {
		t.Errorf("phase %s, candidate %q, want the promotion of s2", s.state.Phase, s.state.Candidate)
	}
}
