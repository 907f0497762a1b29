package load

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestArrivalsFollowSeedRateAndOrder(t *testing.T) {
	profile, err := FindProfile("cotopaxi")
	if err != nil {
		t.Fatal(err)
	}
	phase := Phase{Duration: 10 * time.Second, Rate: 100, Floods: []Flood{{Rank: "background", Action: ActionRead, Rate: 900}}}
	first, err := Arrivals(profile, phase, 8, ServiceTime{Mean: time.Millisecond, Exponential: true}, 7)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := Arrivals(profile, phase, 8, ServiceTime{Mean: time.Millisecond, Exponential: true}, 7)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Fatalf("the same seed yielded different arrivals:\n%s", diff)
	}
	if n := len(first); n < 9500 || n > 10500 {
		t.Fatalf("%d arrivals, want about 10000", n)
	}
	for i := 1; i < len(first); i++ {
		if first[i].Offset < first[i-1].Offset {
			t.Fatal("arrivals out of order")
		}
	}
}

func TestHistoryCheck(t *testing.T) {
	l := newHistory()
	l.recordOrder("kept", OutcomeDone)
	l.recordOrder("lost", OutcomeDone)
	l.recordOrder("doubled", OutcomeDone)
	l.recordOrder("ghost", OutcomeNotRun)
	l.recordOrder("refused", OutcomeNotRun)
	l.recordOrder("unknown", OutcomeUnknown)
	l.recordRead(false)
	l.recordRead(true)
	want := Verdict{Orders: 6, Lost: 1, Duplicated: 1, Unexpected: 1, Unresolved: 1, Reads: 2, Stale: 1}
	got := l.check(map[string]int{"kept": 1, "doubled": 2, "ghost": 1, "unknown": 1})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestComment(t *testing.T) {
	a := Arrival{Kind: Kind{Rank: 0}}
	if got, want := requestComment(a, "order_id", "a b", "session", ""), "/*rattancove.rank='urgent',rattancove.order_id='a%20b'*/"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}

func TestSkewedArrivals(t *testing.T) {
	profile, err := FindProfile("consorzio")
	if err != nil {
		t.Fatal(err)
	}
	arrivals, err := Arrivals(profile, Phase{Duration: 10 * time.Second, Rate: 1000, Skew: 0.8}, 8, ServiceTime{Mean: time.Millisecond}, 7)
	if err != nil {
		t.Fatal(err)
	}
	first := 0
	for _, a := range arrivals {
		if a.Proxy == 0 {
			first++
		}
	}
	// The first proxy gets 0.8 and an eighth of the evenly spread rest.
	if share := float64(first) / float64(len(arrivals)); share < 0.80 || share > 0.85 {
		t.Errorf("the first proxy got %.3f of the requests, want 0.825", share)
	}
}

func TestWarmUpIsNotMeasured(t *testing.T) {
	phase := Phase{Duration: time.Minute, WarmUp: 10 * time.Second}
	p := newPhaseResult(phase, time.Now().Add(-20*time.Second))
	kind := Kind{Name: "k"}
	p.record(Arrival{Offset: 9 * time.Second, Kind: kind, ServiceTime: 5 * time.Second}, OutcomeDone, time.Second, nil)
	p.record(Arrival{Offset: 11 * time.Second, Kind: kind, ServiceTime: 5 * time.Second}, OutcomeDone, time.Second, nil)
	p.record(Arrival{Offset: 12 * time.Second, Kind: kind}, OutcomeFailed, time.Second, context.DeadlineExceeded)
	p.finish(1, nil)
	s := p.Kinds["k"]
	// The first request was due during the warm-up, so only its service time counts.
	if s.DoneInWindow != 2 || p.Utilization != 0.2 {
		t.Errorf("in time %d, busy %.2f, want 2 and 0.20", s.DoneInWindow, p.Utilization)
	}
	if diff := cmp.Diff(map[Outcome]int{OutcomeDone: 1, OutcomeFailed: 1}, s.Outcomes); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]int{"no answer in time": 1}, s.Errors); diff != "" {
		t.Error(diff)
	}
}

func TestMetricsDeltaOmitsRestartedProcesses(t *testing.T) {
	before := []map[string]float64{{"opens": 3}, {"opens": 40}, {}}
	after := []map[string]float64{{"opens": 5}, {}, {"opens": 7}}
	if diff := cmp.Diff(map[string]float64{"opens": 2}, metricsDelta(before, after)); diff != "" {
		t.Error(diff)
	}
}
