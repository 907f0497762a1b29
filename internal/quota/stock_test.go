package quota

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// hundred has a basis of 535 and an allowance of 35 credits.
var hundred = Limit{Rate: 100}

func newTestStock(random float64) *Stock {
	s := NewStock(testBounds, 1, func() float64 { return random })
	s.SetLimits(map[string]Limit{"o": hundred}, 0)
	return s
}

// give makes a call at a time whose reply brings credits.
func give(s *Stock, at time.Duration, c Credit) Report {
	c.Organisation = "o"
	if c.Basis == 0 {
		c.Basis = 535
	}
	r := s.Report(at)
	s.Accept(r, Reply{Dealer: 1, Credits: []Credit{c}}, at, at)
	return r
}

// takeAll takes all credits and returns their number.
func takeAll(s *Stock, now time.Duration) (taken int) {
	for s.Take("o", now).Ticket.limited {
		taken++
	}
	return taken
}

func expectTaken(t *testing.T, s *Stock, now time.Duration, want int) {
	t.Helper()
	if taken := takeAll(s, now); taken != want {
		t.Errorf("%d credits taken at %v, want %d", taken, now, want)
	}
}

// TestCreditsExpire guards against a home that uses credits which the dealer has counted
// as used and given to others.
func TestCreditsExpire(t *testing.T) {
	s := newTestStock(0)
	r := s.Report(100 * ms)
	s.Accept(r, Reply{Dealer: 1, Credits: []Credit{{Organisation: "o", Credits: 3, Basis: 535}}}, 100*ms, 300*ms)
	if d := s.Take("o", 100*ms+creditTime-1); !d.OK {
		t.Error("the credits expired early")
	}
	expectTaken(t, s, 100*ms+creditTime, 0)
}

// TestLateRepliesAreIgnored guards against credits that the dealer does not count, because
// a later report told it that the home does not hold them.
func TestLateRepliesAreIgnored(t *testing.T) {
	s := newTestStock(0)
	reply := Reply{Dealer: 1, Credits: []Credit{{Organisation: "o", Credits: 2, Basis: 535}}}
	first := s.Report(0)
	second := s.Report(100 * ms)
	s.Accept(first, reply, 0, 110*ms)
	expectTaken(t, s, 120*ms, 0)
	s.Accept(second, reply, 100*ms, 100*ms+CallTime+1)
	expectTaken(t, s, 400*ms, 0)
	s.Accept(second, reply, 100*ms, 200*ms)
	s.Accept(second, reply, 100*ms, 200*ms)
	expectTaken(t, s, 400*ms, 2)
	ignored := s.Report(500 * ms)
	s.Accept(ignored, Reply{}, 500*ms, 510*ms)
	s.Accept(ignored, reply, 500*ms, 520*ms)
	expectTaken(t, s, 530*ms, 2)
}

// TestRefund guards against credits that are used again although the dealer counts them
// as used and may have forgotten that use, and against refunds that get lost.
func TestRefund(t *testing.T) {
	s := newTestStock(0)
	give(s, 0, Credit{Credits: 2})
	ticket := s.Take("o", 10*ms).Ticket
	s.Refund("o", ticket, 20*ms)
	if use, _ := s.use("o", s.holdings["o"], 30*ms); use.Used != 0 || use.Held != 2 || s.Share("o", 30*ms).UsedInWindow != 0 {
		t.Errorf("after a refund before the report: %+v", use)
	}
	ticket = s.Take("o", 290*ms).Ticket
	if r := s.Report(300 * ms); r.Uses[0].Used != 1 || r.Uses[0].Held != 1 {
		t.Errorf("report %+v", r)
	}
	s.Refund("o", ticket, 310*ms)
	expectTaken(t, s, 320*ms, 1)
	if r := give(s, 400*ms, Credit{}); r.Uses[0].Used != 2 || r.Uses[0].Held != 1 {
		t.Errorf("report %+v", r)
	}
	expectTaken(t, s, 410*ms, 1)
	give(s, 700*ms, Credit{Credits: 2})
	tickets := []Ticket{s.Take("o", 710*ms).Ticket, s.Take("o", 710*ms).Ticket}
	s.SetLimits(map[string]Limit{"o": {Rate: 1}}, 720*ms)
	s.Refund("o", tickets[0], 730*ms) // taken under the higher limit
	expectTaken(t, s, 740*ms, 0)
	give(s, time.Second, Credit{Credits: 1, Basis: 15})
	ticket = s.Take("o", 1010*ms).Ticket
	expired := time.Second + creditTime
	give(s, expired, Credit{Basis: 15})
	s.Refund("o", ticket, expired+10*ms) // taken before the credits expired
	s.Refund("o", tickets[1], expired+10*ms)
	give(s, expired+300*ms, Credit{Basis: 15})
	expectTaken(t, s, expired+310*ms, 0)
}

// TestLowerLimitReducesCredits guards against stocks of an earlier limit that are used
// after all processes know the lower one, whichever process learned it first.
func TestLowerLimitReducesCredits(t *testing.T) {
	s := newTestStock(0)
	for range 200 {
		s.Take("o", 0) // a demand, for which credits are kept
	}
	give(s, 0, Credit{Credits: 100})
	for range 10 {
		s.Take("o", 10*ms)
	}
	lower := Limit{Rate: 8} // a basis of 52 credits, about a tenth
	s.SetLimits(map[string]Limit{"o": lower}, 20*ms)
	if held := s.Share("o", 30*ms).Held; held != 8 {
		t.Errorf("%d of 90 credits are left", held)
	}
	give(s, 100*ms, Credit{Credits: 92}) // from a dealer that does not know the new limit
	if held := s.Share("o", 110*ms).Held; held != 9 {
		t.Errorf("%d of 100 credits are left", held)
	}
	s.dealer = 0
	if r := s.Report(200 * ms); r.Uses[0].Basis != 535 {
		t.Errorf("basis %d while the uses are those of the earlier limit", r.Uses[0].Basis)
	}
	if r := s.Report(20*ms + testBounds.Window + 200*ms); r.Uses[0].Basis != 52 {
		t.Errorf("basis %d a window later", r.Uses[0].Basis)
	}
}

// TestUnlimitedReplyHoldsForAMoment guards against a home that is cut off after a reply
// from a dealer which did not know the limit yet.
func TestUnlimitedReplyHoldsForAMoment(t *testing.T) {
	s := newTestStock(0)
	give(s, 0, Credit{Unlimited: true})
	if !s.Take("o", exhaustedTime-1).OK || s.Take("o", exhaustedTime).OK {
		t.Error("the reply does not hold for its time")
	}
}

// TestUnansweredReportIsRepeated guards against credits that the dealer counts at a home
// which did not get the reply, and has no other change to report.
func TestUnansweredReportIsRepeated(t *testing.T) {
	s := newTestStock(0)
	give(s, 0, Credit{Credits: 3})
	ticket := s.Take("o", 10*ms).Ticket
	s.Report(300 * ms)
	s.Refund("o", ticket, 310*ms) // the home holds as many as the dealer knew before
	if r := s.Report(320 * ms); len(r.Uses) != 1 || r.Uses[0].Used != 1 || s.Empty() {
		t.Errorf("report %+v after an unanswered one", r)
	}
	give(s, 330*ms, Credit{})
	give(s, 5*time.Second, Credit{})
	if r := give(s, 5300*ms, Credit{}); len(r.Uses) != 0 || !s.Empty() {
		t.Errorf("report %+v without a change", r)
	}
	give(s, 5600*ms, Credit{Credits: 1})
	if expectTaken(t, s, 5610*ms, 1); s.Empty() {
		t.Error("a use that was not reported is forgotten")
	}
}

// TestSmallChangesAreReportedTogether guards against calls for one organisation that name
// all the others each time.
func TestSmallChangesAreReportedTogether(t *testing.T) {
	s := newTestStock(0)
	s.Take("o", 0)
	s.Refused("o")
	give(s, 10*ms, Credit{Credits: 3, Reserve: 3})
	s.Take("o", 20*ms)
	if r := give(s, 100*ms, Credit{}); len(r.Uses) != 0 {
		t.Errorf("report %+v of a small change", r)
	}
	s.Refused("o")
	if r := give(s, 150*ms, Credit{Reserve: 3}); len(r.Uses) != 1 || r.Uses[0].Needed != 1 {
		t.Errorf("report %+v of an organisation that needs credits", r)
	}
	s.Take("o", 160*ms)
	if r := give(s, 150*ms+reportInterval, Credit{}); len(r.Uses) != 1 {
		t.Errorf("report %+v after the interval", r)
	}
}

// TestRefusals guards against operations that wait in vain or without bound, retries
// that come back together, and credits that are asked for too late.
func TestRefusals(t *testing.T) {
	early, late := newTestStock(0), newTestStock(0.99)
	for _, s := range []*Stock{early, late} {
		give(s, 0, Credit{Exhausted: true, RetryAfter: time.Second})
	}
	d, last := early.Take("o", 10*ms), late.Take("o", 10*ms)
	if !d.Exhausted || d.Ask || last.RetryAfter-d.RetryAfter < 2*time.Second || d.RetryAfter < 900*ms {
		t.Errorf("refused with %+v and %+v", d, last)
	}
	if d := early.Take("o", exhaustedTime); d.Exhausted || !d.Ask {
		t.Errorf("%+v long after the reply", d)
	}
	for range maxWaiting {
		early.Wait("o")
	}
	if early.Wait("o") {
		t.Error("too many operations wait")
	}
	early.EndWait("o")
	if !early.Wait("o") {
		t.Error("no operation may wait after others ended")
	}
	s := newTestStock(0)
	for range 100 {
		s.Take("o", 0)
	}
	give(s, 10*ms, Credit{Credits: 60})
	if d := s.Take("o", 20*ms); d.Ask {
		t.Error("asked with credits for more than a second")
	}
	takeAll(s, 20*ms)
	give(s, 30*ms, Credit{Credits: 10})
	if d := s.Take("o", 40*ms); !d.Ask {
		t.Error("not asked with credits for a tenth of a second")
	}
}
