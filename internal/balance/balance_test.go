package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a process that gives statements to servers.
type fixture struct {
	now     time.Time
	seq     uint64
	servers []*Candidate
	given   []int
}

func newFixture(servers, slots int) *fixture {
	f := &fixture{now: start, given: make([]int, servers)}
	for range servers {
		f.servers = append(f.servers, &Candidate{Server: &Server{}, Slots: slots})
	}
	return f
}

// give gives a statement to the best of the candidates with a free slot, and returns its
// index; -1 if none has one.
func (f *fixture) give() int {
	best := -1
	for i, c := range f.servers {
		limit, _ := c.Limit(c.Slots, f.now)
		if c.Running >= limit {
			continue
		}
		if best < 0 || Compare(*c, *f.servers[best], c.Expected(f.now), f.servers[best].Expected(f.now)) < 0 {
			best = i
		}
	}
	if best >= 0 {
		f.seq++
		f.servers[best].Running++
		f.servers[best].Given(f.seq)
		f.given[best]++
	}
	return best
}

// giveInTurn gives n statements, each after the end of the one before. lengthOf returns the
// ratio of the length of a statement to the usual one.
func (f *fixture) giveInTurn(n int, interval time.Duration, lengthOf func(server int) float64) {
	for range n {
		i := f.give()
		f.now = f.now.Add(interval)
		f.servers[i].Running--
		f.servers[i].ObserveTime(lengthOf(i), f.now)
	}
}

// report makes the reports of a server say that it has the given slowness.
func (f *fixture) report(server int, slowness float64) {
	f.servers[server].slowness, f.servers[server].slownessAt = slowness, f.now
}

func usual(int) float64 { return 1 }

// TestEqualServersTakeTurns guards against the first of several equal servers getting all
// statements that come alone, and against choices by differences that are only noise.
func TestEqualServersTakeTurns(t *testing.T) {
	f := newFixture(3, 4)
	random := rand.New(rand.NewPCG(1, 2))
	f.giveInTurn(3000, time.Millisecond, func(int) float64 { return random.ExpFloat64() })
	if slices.Min(f.given) < 800 {
		t.Errorf("statements by server: %v", f.given)
	}
}

// TestNewestReportDoesNotGetEverything guards against a rush to the server whose report is
// the newest, when the reports of the others are old or all arrive late at once.
func TestNewestReportDoesNotGetEverything(t *testing.T) {
	for name, tt := range map[string]struct{ newest, others float64 }{
		"old reports of slowness":    {1, 4},
		"newest report is favorable": {0.1, 1},
		"all are favorable":          {0.1, 0.3},
	} {
		f := newFixture(3, 4)
		f.report(0, tt.others)
		f.report(1, tt.others)
		f.now = f.now.Add(3 * time.Second)
		f.report(2, tt.newest)
		for range 9 {
			f.give()
		}
		if slices.Max(f.given) > 3 || slices.Min(f.given) < 3 {
			t.Errorf("%s: statements by server %v", name, f.given)
		}
	}
}

// TestFalseReportIsCorrected guards against a server that is avoided for ever, or used
// against better knowledge, because a report of it is false.
func TestFalseReportIsCorrected(t *testing.T) {
	f := newFixture(2, 4)
	f.report(0, 8) // in fact it is as fast as the other one
	f.giveInTurn(3000, time.Millisecond, usual)
	if f.given[0] > 100 {
		t.Errorf("%d of 3000 statements at a server that was reported slow 3 s ago", f.given[0])
	}
	f.giveInTurn(2000, time.Millisecond, usual)
	if f.given[0] < 500 {
		t.Errorf("%d of 5000 statements at a server that is no longer slow", f.given[0])
	}

	f = newFixture(2, 4)
	f.report(0, 0.1) // in fact it is slow
	f.giveInTurn(1000, time.Millisecond, func(i int) float64 { return []float64{4, 1}[i] })
	if f.given[0] > 150 {
		t.Errorf("%d of 1000 statements at a slow server", f.given[0])
	}
}

// TestRefusingServerIsUsedLess guards against a server that looks free because it refuses its
// statements at once, whatever its reports say.
func TestRefusingServerIsUsedLess(t *testing.T) {
	f := newFixture(2, 4)
	f.report(0, 0.1)
	refused := 0
	for range 1000 {
		i := f.give()
		f.servers[i].Running--
		if i == 0 {
			refused++
			f.servers[i].ObserveRefusal(4, f.servers[i].Running, f.now)
		}
		f.now = f.now.Add(time.Millisecond)
	}
	if refused > 50 {
		t.Errorf("%d of 1000 statements refused", refused)
	}
	for range 100 { // it accepts statements again
		i := f.give()
		f.servers[i].Running--
		f.now = f.now.Add(5 * time.Millisecond)
	}
	if f.given[0] < refused+20 {
		t.Errorf("%d statements at a server that works again", f.given[0]-refused)
	}
}

// TestLimitAfterRefusal guards against work that the server refuses because another process
// uses its slots, and against a limit that stays.
func TestLimitAfterRefusal(t *testing.T) {
	s := &Server{}
	if limit, at := s.Limit(5, start); limit != 5 || !at.IsZero() {
		t.Errorf("limit %d until %v without a refusal", limit, at)
	}
	s.ObserveRefusal(5, 2, start)
	limits := []int{}
	for now := start; ; {
		limit, at := s.Limit(5, now)
		limits = append(limits, limit)
		if at.IsZero() {
			if took := now.Sub(start); took > 2*refusalHalfLife {
				t.Errorf("limited for %v", took)
			}
			break
		}
		now = at
	}
	if !slices.Equal(limits, []int{2, 3, 4, 5}) {
		t.Errorf("limits %v", limits)
	}
	s.ObserveRefusal(5, 0, start)
	if limit, _ := s.Limit(5, start); limit != 1 {
		t.Errorf("limit %d after a refusal without own statements", limit)
	}
}

// TestServerThatJoinsOrLeaves guards against a new server that gets everything, and against
// reports that outlive the absence of a server.
func TestServerThatJoinsOrLeaves(t *testing.T) {
	f := newFixture(3, 4)
	f.servers[0].Running, f.servers[1].Running = 2, 2
	for range 8 {
		f.give() // the third one joins idle and is filled up to the others, not beyond
	}
	if f.servers[2].Running != 4 {
		t.Errorf("statements by server %v", f.given)
	}

	f = newFixture(3, 4)
	f.report(2, 6)
	f.servers[2].ObserveRefusal(4, 0, f.now)
	left := f.servers[2]
	f.servers = f.servers[:2]
	f.giveInTurn(100, time.Millisecond, usual)
	f.now = f.now.Add(time.Minute)
	f.servers = append(f.servers, left)
	f.giveInTurn(90, time.Millisecond, usual)
	if f.given[2] < 25 || f.given[2] > 35 {
		t.Errorf("%d of 90 statements at a server that returned", f.given[2])
	}
}

// TestPrimaryKeepsSlotsForWrites guards against reads at the primary that replicas could run
// and that take the slots of writes.
func TestPrimaryKeepsSlotsForWrites(t *testing.T) {
	f := newFixture(3, 4)
	f.servers[0].Primary = true
	for range 4 {
		f.give()
	}
	if f.given[0] != 0 {
		t.Errorf("statements by server %v", f.given)
	}
	f.give()
	f.give()
	f.give()
	if f.given[0] != 1 {
		t.Errorf("statements by server %v after seven", f.given)
	}
	for running, spares := range []bool{true, true, true, false, false} {
		if c := (Candidate{Server: &Server{}, Running: running, Slots: 4, Primary: true}); c.Spares() != spares {
			t.Errorf("spares a slot with %d of 4 at work: %v", running, !spares)
		}
	}
}
