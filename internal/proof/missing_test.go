package proof

import (
	"slices"
	"testing"
)

// searchSeeds is the most runs in which a missing mechanism must be found.
const searchSeeds = 40

// missing is a mechanism that is switched off, and the promise that it keeps.
type missing struct {
	name    string
	off     switches
	promise string
	// play provokes what the mechanism prevents.
	play scenario
	// mix is searched by seed.
	mix mix
}

var mechanisms = []missing{
	{"majority acknowledgement", switches{majorityAck: true}, promiseKept, loseUnshippedWrite, storm},
	{"order ids at the servers", switches{orderIDs: true}, promiseOnce, loseOrderAnswer, everything},
	{"unknown without an id sent once", switches{unknownOnce: true}, promiseOnce, loseWriteAnswer, everything},
	{"floors of unknown sessions", switches{floors: true}, promiseOwnWrites, readBehindLag, everything},
	{"claims of homes", switches{claims: true}, promiseOneHome, splitHomes, everything},
	{"seals by a majority", switches{seals: true}, promiseKept, leaveLaggard, laggards},
	{"unread answers close connections", switches{unread: true}, promiseAnswers, abandonAnswers, everything},
	{"not run only if it did not run", switches{outcomes: true}, promiseNotRun, loseWriteAnswer, everything},
	{"documents only rise at a process", switches{rising: true}, promiseRises, bringBackOldDocument, everything},
	{"looks at the platform", switches{looks: true}, promiseNews, changeOnce, everything},
	{"conditions on the pointer row", switches{conditions: true}, promiseChanges, raceOperators, everything},
	{"record of change ids", switches{changeIDs: true}, promiseChanges, loseChangeAnswer, outages},
	{"list of leaving VMs", switches{leaving: true}, promiseLeaving, readBesideLeaving, leavings},
	{"drain at a planned stop", switches{drain: true}, promiseStops, stopInFlight, stops},
}

// find returns the first violation of a promise.
func (o *outcome) find(promise string) (violation, bool) {
	i := slices.IndexFunc(o.violations, func(v violation) bool { return v.promise == promise })
	if i < 0 {
		return violation{}, false
	}
	return o.violations[i], true
}

// TestScenariosFindMissingMechanisms plays for each mechanism what it is for,
// with and without it.
func TestScenariosFindMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for _, v := range runScenario(t, m, switches{}).violations {
				t.Errorf("with the mechanism: %s: %s", v.promise, v.text)
			}
			v, found := runScenario(t, m, m.off).find(m.promise)
			if !found {
				t.Fatalf("without the mechanism %q was kept", m.promise)
			}
			t.Logf("%s: %s", v.promise, v.text)
		})
	}
}

// TestSeededFleetFindsMissingMechanisms switches one mechanism off at a time
// and expects that the same runs break the promise that it keeps.
func TestSeededFleetFindsMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(searchSeeds) {
				if v, found := runSeed(t, seed, m.mix, m.off).find(m.promise); found {
					t.Logf("seed %d: %s: %s", seed, v.promise, v.text)
					return
				}
			}
			t.Errorf("nothing was found in %d seeds", searchSeeds)
		})
	}
}
