package load

import (
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
	first, err := Arrivals(profile, phase, 8, Work{Mean: time.Millisecond, Exponential: true}, 7)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := Arrivals(profile, phase, 8, Work{Mean: time.Millisecond, Exponential: true}, 7)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Fatalf("the same seed gave other arrivals:\n%s", diff)
	}
	if n := len(first); n < 9500 || n > 10500 {
		t.Fatalf("%d arrivals, want about 10000", n)
	}
	for i := 1; i < len(first); i++ {
		if first[i].At < first[i-1].At {
			t.Fatal("arrivals out of order")
		}
	}
}

func TestJudge(t *testing.T) {
	l := newLedger()
	l.order("kept", OutcomeDone)
	l.order("lost", OutcomeDone)
	l.order("doubled", OutcomeDone)
	l.order("ghost", OutcomeNotRun)
	l.order("refused", OutcomeNotRun)
	l.order("unknown", OutcomeUnknown)
	l.read(false)
	l.read(true)
	want := Verdict{Orders: 6, Lost: 1, Doubled: 1, Ghosts: 1, Unresolved: 1, Reads: 2, Stale: 1}
	got := l.judge(map[string]int{"kept": 1, "doubled": 2, "ghost": 1, "unknown": 1})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestComment(t *testing.T) {
	a := Arrival{Kind: Kind{Rank: 0}}
	if got, want := comment(a, "order_id", "a b", "session", ""), "/*rattancove.rank='urgent',rattancove.order_id='a%20b'*/"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}
