package warden

import (
	"slices"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// told returns what the warden of an entry VM tells of its running failovers.
func (f *fleet) told(id string) []*peerpb.RunningFailover {
	f.t.Helper()
	reply, err := f.byID[id].HandleFailovers(f.ctx, &peerpb.FailoversRequest{})
	if err != nil {
		f.t.Fatal(err)
	}
	return reply.GetFailovers()
}

func TestRunningFailoverIsTold(t *testing.T) {
	var meddlers map[string]*meddler
	inFleet(t, 3, func(f *fleet) { meddlers = f.meddle() }, func(f *fleet) {
		first := f.orderedWardens()[0]
		if told := f.told(first); len(told) != 0 {
			t.Errorf("a healthy group: %v", told)
		}
		m := meddlers[first]
		m.pauseNext(m.before, "seal", 2*time.Second)
		f.group.Kill("s1")
		began := time.Now()
		var steps []string
		for time.Since(began) < 2500*time.Millisecond {
			time.Sleep(50 * time.Millisecond)
			for _, r := range f.told(first) {
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
			t.Errorf("steps %v lack the one that was stopped", steps)
		}
		f.gap(gapBound, "s1")
		time.Sleep(10 * time.Second)
		for _, id := range entryVMs() {
			if told := f.told(id); len(told) != 0 {
				t.Errorf("%s still tells %v", id, told)
			}
		}
	})
}

func TestWaitForMajorityIsTold(t *testing.T) {
	inFleet(t, 4, nil, func(f *fleet) {
		f.group.Kill("s1")
		f.group.Kill("s2")
		time.Sleep(10 * time.Second)
		for _, id := range f.orderedWardens() {
			told := f.told(id)
			if len(told) != 1 || told[0].GetStep() != string(failover.PhaseWaitingMajority) {
				t.Errorf("%s tells %v", id, told)
			}
		}
	})
}
