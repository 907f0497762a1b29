package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeServer fails requests by a pattern; spacing is the time between two requests.
type fakeServer struct {
	fails   func(at time.Duration, r *rand.Rand) bool
	spacing time.Duration
}

// simulationResult holds the counts of one simulation.
type simulationResult struct {
	// requests is the number of requests that the server was given, and failed the
	// number of those that failed.
	requests, failed, ejections int
	firstEjection               time.Duration
}

// simulate sends requests to a server while it is not ejected, and readmits it after
// each ejection.
func simulate(s fakeServer, total time.Duration) simulationResult {
	random := rand.New(rand.NewPCG(3, 4))
	detector, result := &Detector{}, simulationResult{firstEjection: -1}
	var readmitAt time.Duration
	for at := time.Duration(0); at < total; at += s.spacing {
		now := start.Add(at)
		if detector.Ejected() {
			if at < readmitAt {
				continue
			}
			detector.Readmit(now)
		}
		result.requests++
		if !s.fails(at, random) {
			detector.RecordSuccess(now)
			continue
		}
		result.failed++
		if detector.RecordFailure(now) {
			readmitAt = at + detector.Eject(now)
			result.ejections++
			if result.firstEjection < 0 {
				result.firstEjection = at
			}
		}
	}
	return result
}

func TestFailurePatterns(t *testing.T) {
	rate := func(p float64) func(time.Duration, *rand.Rand) bool {
		return func(_ time.Duration, r *rand.Rand) bool { return r.Float64() < p }
	}
	for name, tt := range map[string]struct {
		server fakeServer
		// foundBy is the latest time of the first ejection; zero if there need be none.
		foundBy time.Duration
		// maxFailed and maxEjections bound the failed requests and the ejections within
		// a minute.
		maxFailed, maxEjections int
	}{
		"healthy":                          {fakeServer{rate(0), 20 * time.Millisecond}, 0, 0, 0},
		"one reset connection":             {fakeServer{func(at time.Duration, _ *rand.Rand) bool { return at == time.Second }, 20 * time.Millisecond}, 0, 1, 0},
		"one in a hundred":                 {fakeServer{rate(0.01), 20 * time.Millisecond}, 0, 50, 2},
		"fails all, health check succeeds": {fakeServer{rate(1), 20 * time.Millisecond}, 100 * time.Millisecond, 20, 15},
		"fails four in ten":                {fakeServer{rate(0.4), 20 * time.Millisecond}, time.Second, 60, 20},
		"fails one in five, few requests": {
			fakeServer{rate(0.2), 200 * time.Millisecond}, 10 * time.Second, 60, 20,
		},
		"up and down in turns of a second": {
			fakeServer{func(at time.Duration, _ *rand.Rand) bool { return at/time.Second%2 == 1 }, 20 * time.Millisecond},
			1100 * time.Millisecond, 60, 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := simulate(tt.server, time.Minute)
			if tt.foundBy > 0 && (got.firstEjection < 0 || got.firstEjection > tt.foundBy) {
				t.Errorf("first ejected after %v, want %v at most", got.firstEjection, tt.foundBy)
			}
			if got.failed > tt.maxFailed || got.ejections > tt.maxEjections {
				t.Errorf("%d of %d requests failed, %d ejections; want %d and %d at most",
					got.failed, got.requests, got.ejections, tt.maxFailed, tt.maxEjections)
			}
		})
	}
}

// TestServerThatRecoversIsUsedAgain checks that a server gets requests again soon
// after an outage of some seconds.
func TestServerThatRecoversIsUsedAgain(t *testing.T) {
	const outage = 5 * time.Second
	got := simulate(fakeServer{
		func(at time.Duration, _ *rand.Rand) bool { return at < outage }, 20 * time.Millisecond,
	}, outage+2*outage)
	// Ejections double, so that the last one ends before twice the length of the
	// outage has passed.
	if minimum := int(outage / (20 * time.Millisecond) / 2); got.requests < minimum {
		t.Errorf("%d requests in %v, want %d at least", got.requests, 3*outage, minimum)
	}
}

// TestEjectionBackoffIsReset checks that the backoff of ejections is reset after
// a long time without an ejection.
func TestEjectionBackoffIsReset(t *testing.T) {
	detector, now := &Detector{}, start
	for range 5 {
		now = now.Add(detector.Eject(now))
		detector.Readmit(now)
	}
	if duration := detector.Eject(now.Add(ejectionBackoffReset + time.Second)); duration != baseEjection {
		t.Errorf("ejected for %v, want %v", duration, baseEjection)
	}
}
