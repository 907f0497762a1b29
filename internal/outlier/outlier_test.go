package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// server fails requests by a pattern; spacing is the time between two.
type server struct {
	fails   func(at time.Duration, r *rand.Rand) bool
	spacing time.Duration
}

// result tells how a server that is judged fared over a time.
type result struct {
	// failed counts failed requests, given those that it was given.
	given, failed, ejections int
	first                    time.Duration
}

// play gives requests to a server whenever it is not ejected.
func play(s server, total time.Duration) result {
	random := rand.New(rand.NewPCG(3, 4))
	judge, out := &Judge{}, result{first: -1}
	var back time.Duration
	for at := time.Duration(0); at < total; at += s.spacing {
		now := start.Add(at)
		if judge.Ejected() {
			if at < back {
				continue
			}
			judge.Readmit(now)
		}
		out.given++
		if !s.fails(at, random) {
			judge.Succeeded(now)
			continue
		}
		out.failed++
		if judge.Failed(now) {
			back = at + judge.Eject(now)
			out.ejections++
			if out.first < 0 {
				out.first = at
			}
		}
	}
	return out
}

func TestPatternsOfFailure(t *testing.T) {
	rate := func(p float64) func(time.Duration, *rand.Rand) bool {
		return func(_ time.Duration, r *rand.Rand) bool { return r.Float64() < p }
	}
	for name, tt := range map[string]struct {
		server server
		// foundBy is when the first ejection must have come; zero for never.
		foundBy time.Duration
		// mostFailed and mostEjections bound what a minute costs.
		mostFailed, mostEjections int
	}{
		"healthy":                    {server{rate(0), 20 * time.Millisecond}, 0, 0, 0},
		"one reset connection":       {server{func(at time.Duration, _ *rand.Rand) bool { return at == time.Second }, 20 * time.Millisecond}, 0, 1, 0},
		"one in a hundred":           {server{rate(0.01), 20 * time.Millisecond}, 0, 50, 2},
		"fails all, says it is well": {server{rate(1), 20 * time.Millisecond}, 100 * time.Millisecond, 20, 15},
		"fails four in ten":          {server{rate(0.4), 20 * time.Millisecond}, time.Second, 60, 20},
		"fails one in five, seldom asked": {
			server{rate(0.2), 200 * time.Millisecond}, 10 * time.Second, 60, 20,
		},
		"up and down by turns of a second": {
			server{func(at time.Duration, _ *rand.Rand) bool { return at/time.Second%2 == 1 }, 20 * time.Millisecond},
			1100 * time.Millisecond, 60, 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := play(tt.server, time.Minute)
			if tt.foundBy > 0 && (got.first < 0 || got.first > tt.foundBy) {
				t.Errorf("first ejected after %v, want %v at most", got.first, tt.foundBy)
			}
			if got.failed > tt.mostFailed || got.ejections > tt.mostEjections {
				t.Errorf("%d of %d requests failed, %d ejections; want %d and %d at most",
					got.failed, got.given, got.ejections, tt.mostFailed, tt.mostEjections)
			}
		})
	}
}

// TestServerThatRecoversIsUsedAgain lets a server fail for some seconds.
func TestServerThatRecoversIsUsedAgain(t *testing.T) {
	const trouble = 5 * time.Second
	got := play(server{
		func(at time.Duration, _ *rand.Rand) bool { return at < trouble }, 20 * time.Millisecond,
	}, trouble+2*trouble)
	// Ejections double, so that the last one ends before twice the trouble is over.
	if least := int(trouble / (20 * time.Millisecond) / 2); got.given < least {
		t.Errorf("%d requests in %v, want %d at least", got.given, 3*trouble, least)
	}
}

// TestPastEjectionsAreForgotten ejects for the first time again after a long
// time without trouble.
func TestPastEjectionsAreForgotten(t *testing.T) {
	judge, now := &Judge{}, start
	for range 5 {
		now = now.Add(judge.Eject(now))
		judge.Readmit(now)
	}
	if pause := judge.Eject(now.Add(memory + time.Second)); pause != firstEjection {
		t.Errorf("ejected for %v, want %v", pause, firstEjection)
	}
}
