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
	off     disabledMechanisms
	promise string
	// play provokes what the mechanism prevents.
	play scenario
	// mix is searched by seed.
	mix mix
}

var mechanisms = []missing{
	{"majority acknowledgement", disabledMechanisms{majorityAck: true}, guaranteeDurable, loseUnshippedWrite, storm},
	{"order ids at the servers", disabledMechanisms{orderIDs: true}, guaranteeAtMostOnce, loseOrderAnswer, everything},
	{"unknown without an id sent once", disabledMechanisms{singleAttempts: true}, guaranteeAtMostOnce, loseWriteAnswer, everything},
	{"floors of unknown sessions", disabledMechanisms{sessionFloors: true}, guaranteeReadYourWrites, readBehindLag, everything},
	{"claims of homes", disabledMechanisms{homeClaims: true}, guaranteeOneHome, splitHomes, everything},
	{"seals by a majority", disabledMechanisms{majoritySeals: true}, guaranteeDurable, leaveLaggard, laggards},
	{"unread answers close connections", disabledMechanisms{closeUnread: true}, guaranteeOwnResponses, abandonAnswers, everything},
	{"not run only if it did not run", disabledMechanisms{exactOutcomes: true}, guaranteeNotRun, loseWriteAnswer, everything},
	{"documents only rise at a process", disabledMechanisms{risingRevisions: true}, guaranteeRisingRevisions, bringBackOldDocument, everything},
	{"looks at the platform", disabledMechanisms{documentPolling: true}, guaranteeRolloutTime, changeOnce, everything},
	{"conditions on the pointer row", disabledMechanisms{conditionalWrites: true}, guaranteeChangeOutcomes, raceOperators, everything},
	{"record of change ids", disabledMechanisms{changeRecords: true}, guaranteeChangeOutcomes, loseChangeAnswer, outages},
	{"list of leaving VMs", disabledMechanisms{leavingVMs: true}, guaranteeLeavingServers, readBesideLeaving, leavings},
	{"drain at a planned stop", disabledMechanisms{plannedDrain: true}, guaranteePlannedStops, stopInFlight, stops},
}

// firstViolation returns the first violation of a promise.
func (r *report) firstViolation(guarantee string) (violation, bool) {
	i := slices.IndexFunc(r.violations, func(v violation) bool { return v.guarantee == guarantee })
	if i < 0 {
		return violation{}, false
	}
	return r.violations[i], true
}

// TestScenariosFindMissingMechanisms plays for each mechanism what it is for,
// with and without it.
func TestScenariosFindMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for _, v := range runScenario(t, m, disabledMechanisms{}).violations {
				t.Errorf("with the mechanism: %s: %s", v.guarantee, v.text)
			}
			v, found := runScenario(t, m, m.off).firstViolation(m.promise)
			if !found {
				t.Fatalf("without the mechanism %q was kept", m.promise)
			}
			t.Logf("%s: %s", v.guarantee, v.text)
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
				if v, found := runSeed(t, seed, m.mix, m.off).firstViolation(m.promise); found {
					t.Logf("seed %d: %s: %s", seed, v.guarantee, v.text)
					return
				}
			}
			t.Errorf("nothing was found in %d seeds", searchSeeds)
		})
	}
}
