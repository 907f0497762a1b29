package warden

import (
	"slices"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// runningFailovers returns the failovers that the warden of an entry VM reports.
func (f *fixture) runningFailovers(id string) []*peerpb.RunningFailover {
	f.t.Helper()
	reply, err := f.wardensByID[id].HandleFailovers(f.ctx, &peerpb.FailoversRequest{})
	if err != nil {
		f.t.Fatal(err)
	}
	return reply.GetFailovers()
}

func TestRunningFailoverIsReported(t *testing.T) {
	var injectors map[string]*faultInjector
	withFixture(t, 3, func(f *fixture) { injectors = f.injectFaults() }, func(f *fixture) {
		first := f.orderedWardens()[0]
		if running := f.runningFailovers(first); len(running) != 0 {
			t.Errorf("failovers reported for a healthy group: %v", running)
		}
		injector := injectors[first]
		injector.pauseNext(injector.pauseBefore, "seal", 2*time.Second)
		f.group.Kill("s1")
		began := time.Now()
		var steps []string
		for time.Since(began) < 2500*time.Millisecond {
			time.Sleep(50 * time.Millisecond)
			for _, r := range f.runningFailovers(first) {
				if !slices.Contains(steps, r.GetStep()) {
					steps = append(steps, r.GetStep())
				}
				age, stepAge := time.Duration(r.GetAgeNanos()), time.Duration(r.GetStepAgeNanos())
				if r.GetGroup() != string(f.name) || r.GetTerm() == 0 || r.GetFrom() != "s1" || age > time.Since(began) || stepAge > age {
					t.Errorf("running failover %v", r)
				}
			}
		}
		if !slices.Contains(steps, string(failover.PhaseSealing)) {
			t.Errorf("steps %v do not include the paused one", steps)
		}
		f.waitForPrimary(maxGap, "s1")
		time.Sleep(10 * time.Second)
		for _, id := range entryVMs() {
			if running := f.runningFailovers(id); len(running) != 0 {
				t.Errorf("%s still reports %v", id, running)
			}
		}
	})
}

func TestWaitForMajorityIsReported(t *testing.T) {
	withFixture(t, 4, nil, func(f *fixture) {
		f.group.Kill("s1")
		f.group.Kill("s2")
		time.Sleep(10 * time.Second)
		for _, id := range f.orderedWardens() {
			running := f.runningFailovers(id)
			if len(running) != 1 || running[0].GetStep() != string(failover.PhaseWaitingMajority) {
				t.Errorf("%s reports %v", id, running)
			}
		}
	})
}
