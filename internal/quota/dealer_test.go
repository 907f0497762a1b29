package quota

import (
	"testing"
	"time"
)

// dealerStart is the time at which the dealers of these tests start.
const dealerStart = time.Hour

func newTestDealer(start Start) *Dealer {
	earlier := []Process{{"lost", 1}, {"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}, {"a", 3}, {"b", 1}}
	d := NewDealer(testBounds, 7, start, dealerStart, earlier)
	if start == StartFirst {
		d.earlier = nil
	}
	d.SetLimits(map[string]Limit{"o": hundred})
	return d
}

// handle reports one use after dealerStart and returns the credits.
func handle(d *Dealer, home string, after time.Duration, sequence, dealer uint64, use Use) Credit {
	use.Organisation = "o"
	reply := d.Handle(home, Report{Sequence: sequence, Incarnation: 2, Dealer: dealer, Uses: []Use{use}}, dealerStart+after)
	if len(reply.Credits) == 0 {
		return Credit{}
	}
	return reply.Credits[0]
}

// expectCounted checks the credits that count as used or outstanding.
func expectCounted(t *testing.T, d *Dealer, after time.Duration, want uint64) {
	t.Helper()
	o := d.organisations["o"]
	o.uses.advance(dealerStart + after)
	if counted := o.uses.total + o.outstanding; counted != want {
		t.Errorf("%d credits counted after %v, want %d", counted, after, want)
	}
}

// TestOldReportsChangeNothing guards against reports that arrive after later ones, or
// after the process that sent them has ended, and hide credits that are outstanding.
func TestOldReportsChangeNothing(t *testing.T) {
	d := newTestDealer(StartFirst)
	if c := handle(d, "a", 0, 5, 0, Use{Wanted: 50}); c.Credits != 50 {
		t.Fatalf("%+v", c)
	}
	for _, r := range []Report{{Sequence: 5, Incarnation: 2}, {Sequence: 4, Incarnation: 2}, {Sequence: 9, Incarnation: 1}} {
		if reply := d.Handle("a", r, dealerStart+ms); reply.Dealer != 0 {
			t.Errorf("report %+v was answered", r)
		}
	}
	expectCounted(t, d, ms, 50)
	reply := d.Handle("a", Report{Sequence: 1, Incarnation: 3}, dealerStart+ms)
	if reply.Dealer != 7 {
		t.Error("the report of a new process was ignored")
	}
	expectCounted(t, d, 2*ms, 50) // the ended process may have used its credits
	if d.Handle("b", Report{Sequence: 1, Incarnation: 1, Dealer: 7}, dealerStart+ms); len(d.homes) != 1 {
		t.Error("a home of which not all is known was accepted")
	}
}

// TestCreditsOfALostHomeCountAsUsed guards against credits that are given to others while
// their home may use them, or used them within the window.
func TestCreditsOfALostHomeCountAsUsed(t *testing.T) {
	d := newTestDealer(StartFirst)
	handle(d, "a", 0, 1, 0, Use{Wanted: 50})
	other := func(after time.Duration) {
		d.Handle("b", Report{Sequence: uint64(after), Incarnation: 1}, dealerStart+after)
	}
	other(forgetTime - 1)
	if o := d.organisations["o"]; o.outstanding != 50 {
		t.Errorf("%d outstanding before the credits expire", o.outstanding)
	}
	forgotten := forgetTime + forgetInterval
	other(forgotten)
	if o := d.organisations["o"]; o.outstanding != 0 {
		t.Errorf("%d outstanding after the credits expired", o.outstanding)
	}
	expectCounted(t, d, forgotten+testBounds.Window, 50)
	expectCounted(t, d, forgotten+testBounds.Window+200*ms, 0)
}

// TestLostReplyIsSettled guards against credits that count at a home which did not get
// them, and against uses that count twice or not at all.
func TestLostReplyIsSettled(t *testing.T) {
	d := newTestDealer(StartFirst)
	handle(d, "a", 0, 1, 0, Use{Wanted: 50})
	d.Handle("a", Report{Sequence: 2, Incarnation: 2}, dealerStart+ms) // again to an unknown dealer
	expectCounted(t, d, 2*ms, 0)
	handle(d, "a", 3*ms, 3, 7, Use{Wanted: 50})
	handle(d, "a", 4*ms, 4, 7, Use{Used: 10, Held: 40, Wanted: 40})
	handle(d, "a", 5*ms, 5, 7, Use{Used: 10, Held: 40, Wanted: 40})
	expectCounted(t, d, 6*ms, 50)
	handle(d, "b", 7*ms, 1, 0, Use{Used: 1000, Held: 0, Wanted: 5}) // used credits of an earlier dealer
	expectCounted(t, d, 8*ms, 55)
}

// TestFairShares guards against a home that takes all that is left: with few credits,
// those with little demand get all they want, and some remain for the next home.
func TestFairShares(t *testing.T) {
	d := newTestDealer(StartFirst)
	handle(d, "a", 0, 1, 0, Use{Wanted: 20})
	handle(d, "b", 0, 1, 0, Use{Wanted: 5000})
	d.organisations["o"].levelAt = 0
	if c := handle(d, "b", 200*ms, 2, 7, Use{Wanted: 5000, Needed: 100}); c.Credits < 354 || c.Credits > 535-20-60 || c.Exhausted {
		t.Errorf("a home that wants more than all got %+v", c)
	}
	if c := handle(d, "c", 210*ms, 1, 0, Use{Wanted: 20, Needed: 20}); c.Credits < 20 {
		t.Errorf("a home that takes over got %+v", c)
	}
	handle(d, "d", 220*ms, 1, 0, Use{Wanted: 2})
	alone := newTestDealer(StartFirst)
	if c := handle(alone, "a", 0, 1, 0, Use{Needed: 5000}); c.Credits != 268 {
		t.Errorf("a home with an immediate need got %+v, want half of what is left", c)
	}
	for i := range 12 {
		c := handle(d, "c", 300*ms, uint64(i+2), 7, Use{Used: uint64(100 * i), Held: 0, Wanted: 20, Needed: 100})
		if c.Exhausted && (c.RetryAfter < 4*time.Second || c.RetryAfter > 6*time.Second) {
			t.Errorf("%+v", c)
		}
		if i == 11 && !c.Exhausted {
			t.Errorf("not told that the limit is reached: %+v", c)
		}
	}
	reply := d.Handle("d", Report{Sequence: 2, Incarnation: 2, Dealer: 7}, dealerStart+500*ms)
	if len(reply.Credits) != 1 || reply.Credits[0].Reserve > 0 || reply.Credits[0].Exhausted {
		t.Errorf("a home with idle credits was told %+v", reply.Credits)
	}
}

// TestNewDealerAllowsWhatHomesHad guards against allocations of a new dealer on top of
// credits that an earlier one allocated.
func TestNewDealerAllowsWhatHomesHad(t *testing.T) {
	had := Use{Used: 900, Held: 40, Wanted: 400, Needed: 400, Recent: []uint64{0, 0, 60}, Basis: 535}
	for _, tt := range []struct {
		name  string
		start Start
		had   Use
		want  uint64
	}{
		{"after an unsettled dealer", StartUnsettled, had, 0},
		{"after a settled dealer", StartSettled, had, 9},
		{"first dealer", StartFirst, had, 400},
	} {
		d := newTestDealer(tt.start)
		if c := handle(d, "a", 0, 1, 0, tt.had); c.Credits != tt.want {
			t.Errorf("%s: %+v, want %d credits", tt.name, c, tt.want)
		}
	}
	d := newTestDealer(StartUnsettled)
	handle(d, "a", 0, 1, 0, had)
	later := testBounds.Window + 100*ms // the 60 uses have left the window
	if c := handle(d, "a", later, 2, 7, Use{Used: 940, Held: 0, Wanted: 400, Needed: 1}); c.Credits != 42 {
		t.Errorf("%+v once the uses have left the window, want 0.7 of 60 credits", c)
	}
	low := had
	low.Basis = 5350 // the home had the credits of a limit ten times as high
	d = newTestDealer(StartUnsettled)
	handle(d, "a", 0, 1, 0, low)
	if c := handle(d, "a", later, 2, 7, Use{Used: 900, Held: 0, Wanted: 400, Needed: 400}); c.Credits != 9 {
		t.Errorf("%+v after the limit fell to a tenth", c)
	}
}

// TestEntitlementsFallWithTheLimit guards against a new dealer that goes on with the
// credits of an earlier limit.
func TestEntitlementsFallWithTheLimit(t *testing.T) {
	d := newTestDealer(StartSettled)
	handle(d, "a", 0, 1, 0, Use{Held: 100, Wanted: 100, Basis: 535})
	d.organisations["o"].openAllowance()
	d.SetLimits(map[string]Limit{"o": {Rate: 8}}) // a basis of 52, about a tenth
	if c := handle(d, "a", ms, 2, 7, Use{Held: 0, Wanted: 100}); c.Credits != 6 {
		t.Errorf("%+v of an entitlement of 100", c)
	}
	if o := d.organisations["o"]; o.allowance != 3 {
		t.Errorf("an allowance of %d is left of 35", o.allowance)
	}
}

// TestSettling guards against a dealer that believes to know all uses too early, and
// against an allowance that is used twice in a row.
func TestSettling(t *testing.T) {
	after := forgetTime + testBounds.Window
	d := newTestDealer(StartUnsettled)
	if d.Settled(dealerStart + after) {
		t.Error("settled while uses of unknown homes may be within the window")
	}
	if !d.Settled(dealerStart + after + testBounds.Window/clockMargin) {
		t.Error("not settled after the time of all credits")
	}
	handle(d, "a", after+20*ms, 1, 0, Use{Held: 600})
	if d.Settled(dealerStart + after + 30*ms) {
		t.Error("settled with more credits outstanding than allowed")
	}
}

// TestUnknownLimit guards against refusals by a home that has not learned yet that a
// limit was removed.
func TestUnknownLimit(t *testing.T) {
	d := newTestDealer(StartFirst)
	d.SetLimits(nil)
	if c := handle(d, "a", 0, 1, 0, Use{Wanted: 5, Needed: 5}); !c.Unlimited || c.Credits > 0 {
		t.Errorf("%+v without a limit", c)
	}
}
