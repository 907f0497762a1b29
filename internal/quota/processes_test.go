package quota

import (
	"slices"
	"testing"
	"time"
)

func newBareDealer(start Start, earlier ...Process) *Dealer {
	d := NewDealer(testBounds, 7, start, dealerStart, earlier)
	d.SetLimits(map[string]Limit{"o": hundred})
	return d
}

// TestOnlyRecordedProcessesGetCredits guards against credits that the next dealer cannot
// know of.
func TestOnlyRecordedProcessesGetCredits(t *testing.T) {
	d := newBareDealer(StartFirst)
	if c := handle(d, "a", 0, 1, 0, Use{Wanted: 50}); c.Credits > 0 || !d.Unrecorded() {
		t.Errorf("%+v for a process that is not recorded", c)
	}
	d.Record(d.Processes(dealerStart))
	if c := handle(d, "a", ms, 2, 7, Use{Wanted: 50}); c.Credits != 50 || d.Unrecorded() {
		t.Errorf("%+v for a recorded process", c)
	}
	lost := Process{"a", 2}
	d.forget(dealerStart + 7*time.Second)
	closed := dealerStart + 7*time.Second
	if p := d.Processes(closed + testBounds.settleTime()); !slices.Contains(p, lost) {
		t.Errorf("a process whose uses may be within the window is not among %v", p)
	}
	if p := d.Processes(closed + testBounds.settleTime() + 1); len(p) > 0 {
		t.Errorf("%v are recorded for good", p)
	}
}

// TestDealerSettlesOnceAllHaveReported guards against a dealer that believes to know all
// while a process has credits, and one that waits although it knows all.
func TestDealerSettlesOnceAllHaveReported(t *testing.T) {
	d := newBareDealer(StartUnsettled, Process{"a", 2}, Process{"b", 2}, Process{"c", 2})
	handle(d, "a", 0, 1, 0, Use{})
	handle(d, "b", 0, 1, 0, Use{})
	d.Handle("c", Report{Sequence: 1, Incarnation: 3}, dealerStart) // a new process of the name
	if p := d.Processes(dealerStart); d.Settled(dealerStart) || !slices.Contains(p, Process{"c", 2}) {
		t.Errorf("settled, or c is missing among %v", p)
	}
	d = newBareDealer(StartUnsettled, Process{"a", 2}, Process{"b", 2})
	handle(d, "a", 0, 1, 0, Use{})
	if handle(d, "b", 0, 1, 0, Use{}); !d.Settled(dealerStart) {
		t.Error("not settled although all have reported")
	}
}

// TestEntitlementCountsOnce guards against a new dealer that allows more than homes had
// when the earlier one ended.
func TestEntitlementCountsOnce(t *testing.T) {
	recent := func(slice int, uses uint64) []uint64 { return append(make([]uint64, slice), uses) }
	for _, tt := range []struct {
		name  string
		after time.Duration
		slice int
		want  uint64
	}{
		{"within the window", 0, 20, 50},
		{"perhaps before the window", 0, 24, 10},
		{"within the window before the dealer began", time.Second, 27, 50},
		{"perhaps before that window", time.Second, 28, 10},
	} {
		d := newBareDealer(StartUnsettled, Process{"lost", 1})
		handle(d, "a", tt.after, 1, 0, Use{Used: 40, Held: 10, Recent: recent(tt.slice, 40), Basis: 535})
		if entitled := d.organisations["o"].entitled; entitled != tt.want {
			t.Errorf("%s: entitled to %d, want %d", tt.name, entitled, tt.want)
		}
	}
	d := newBareDealer(StartUnsettled, Process{"lost", 1}, Process{"a", 2})
	handle(d, "a", 0, 1, 0, Use{Held: 40, Basis: 535})
	d.forget(dealerStart + 7*time.Second)
	handle(d, "a", 7100*ms, 2, 0, Use{Used: 30, Recent: recent(0, 30), Basis: 535})
	if entitled := d.organisations["o"].entitled; entitled != 40 {
		t.Errorf("entitled to %d after the home came back, want 40", entitled)
	}
	d = newBareDealer(StartSettled, Process{"lost", 1}, Process{"a", 2})
	handle(d, "a", 0, 1, 0, Use{Needed: 400, Basis: 535})
	if o := d.organisations["o"]; o.entitled != 9 || o.allowance != 26 || o.outstanding != 9 {
		t.Errorf("entitled to %d with %d outstanding, %d of the allowance left", o.entitled, o.outstanding, o.allowance)
	}
}

// TestHomeTellsUsesBeforeTheWindow guards against a new dealer that does not hear of the
// uses while there was none.
func TestHomeTellsUsesBeforeTheWindow(t *testing.T) {
	s := newTestStock(0)
	give(s, 0, Credit{Credits: 5})
	expectTaken(t, s, 10*ms, 5)
	s.dealer = 0
	if r := s.Report(testBounds.Window + time.Second); len(r.Uses) != 1 || len(r.Uses[0].Recent) != 31 || r.Uses[0].Recent[30] != 5 {
		t.Errorf("report %+v", r)
	}
}

// TestTinyLimitKeepsCreditsForNeeds guards against homes without a use for credits that
// hold all of a small limit.
func TestTinyLimitKeepsCreditsForNeeds(t *testing.T) {
	d := newBareDealer(StartFirst, Process{"a", 2}, Process{"b", 2})
	d.earlier = nil
	d.SetLimits(map[string]Limit{"o": {Rate: 1}}) // 15 credits
	if c := handle(d, "a", 0, 1, 0, Use{Wanted: 15}); c.Credits != 10 {
		t.Errorf("%+v of 15 credits", c)
	}
	if c := handle(d, "b", 200*ms, 1, 0, Use{Wanted: 3}); c.Credits != 0 {
		t.Errorf("%+v without a need", c)
	}
	if c := handle(d, "b", 300*ms, 2, 7, Use{Wanted: 3, Needed: 1}); c.Credits != 1 {
		t.Errorf("%+v for one operation", c)
	}
}

// TestDealerSettlesWhenProcessesHaveEnded guards against a dealer that waits for processes
// that have ended until their credits would have expired, and against one that forgets
// what they used within the last window.
func TestDealerSettlesWhenProcessesHaveEnded(t *testing.T) {
	d := newBareDealer(StartUnsettled, Process{"a", 2}, Process{"b", 2}, Process{"c", 2})
	handle(d, "a", 0, 1, 0, Use{})
	d.End(Process{"b", 2}, dealerStart)
	d.End(Process{"b", 3}, dealerStart+time.Second) // had no credits
	if d.Settled(dealerStart + testBounds.Window + time.Second) {
		t.Error("settled although c may have credits")
	}
	d = newBareDealer(StartUnsettled, Process{"b", 2}, Process{"c", 2})
	d.End(Process{"b", 2}, dealerStart)
	handle(d, "c", 0, 1, 0, Use{})
	gone := dealerStart + testBounds.Window + testBounds.Window/clockMargin
	if d.Settled(gone-1) || !d.Settled(gone) || len(d.Earlier()) > 0 {
		t.Errorf("not settled just when the uses of b have left the window; still to come: %v", d.Earlier())
	}
}

// TestEndedProcessesRemainRecorded guards against a next dealer that settles at once although
// uses of processes that ended before are within the last window.
func TestEndedProcessesRemainRecorded(t *testing.T) {
	d := newBareDealer(StartUnsettled, Process{"b", 2})
	d.End(Process{"b", 2}, dealerStart)
	gone := dealerStart + testBounds.Window + testBounds.Window/clockMargin
	for _, at := range []time.Duration{dealerStart, gone} {
		if p := d.Processes(at); !slices.Contains(p, Process{"b", 2}) {
			t.Errorf("b is missing among %v", p)
		}
	}
	if p := d.Processes(gone + 1); len(p) > 0 {
		t.Errorf("%v are recorded for good", p)
	}
}

// TestProcessesLeftOutOfTheRecordGetNoCredits guards against credits of a process that
// returns after a record without it was written, the answer to which was lost.
func TestProcessesLeftOutOfTheRecordGetNoCredits(t *testing.T) {
	d := newBareDealer(StartFirst)
	handle(d, "a", 0, 1, 0, Use{Wanted: 50})
	d.Record(d.Processes(dealerStart))
	d.forget(dealerStart + 7*time.Second)
	after := 8*time.Second + testBounds.settleTime()
	d.Processes(dealerStart + after)
	if c := handle(d, "a", after, 2, 0, Use{Wanted: 50}); c.Credits > 0 || !d.Unrecorded() {
		t.Errorf("%+v for a process that may not be recorded", c)
	}
}
