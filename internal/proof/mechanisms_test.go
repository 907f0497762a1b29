package proof

import (
	"slices"
	"testing"
)

// maxSearchSeeds is the number of seeds within which a disabled mechanism must cause a
// violation.
const maxSearchSeeds = 40

// mechanism is a mechanism that can be disabled, and the guarantee that depends on it.
type mechanism struct {
	name      string
	disabled  disabledMechanisms
	guarantee string
	// scenario causes a violation unless the mechanism prevents it.
	scenario scenario
	// faults is the mix of the seeded runs that must find the violation.
	faults faultMix
}

var mechanisms = []mechanism{
	{"majority acknowledgement", disabledMechanisms{majorityAck: true}, guaranteeDurable, loseUnreplicatedWrite, serverFaultsMix},
	{"order ids at the servers", disabledMechanisms{orderIDs: true}, guaranteeAtMostOnce, loseOrderResponse, allFaultsMix},
	{"unknown without an id sent once", disabledMechanisms{singleAttempts: true}, guaranteeAtMostOnce, loseWriteResponse, allFaultsMix},
	{"floors of unknown sessions", disabledMechanisms{sessionFloors: true}, guaranteeReadYourWrites, readWithReplayLag, allFaultsMix},
	{"claims of homes", disabledMechanisms{homeClaims: true}, guaranteeOneHome, splitHomes, allFaultsMix},
	{"seals by a majority", disabledMechanisms{majoritySeals: true}, guaranteeDurable, leaveStaleReplica, majorityLossMix},
	{"unread answers close connections", disabledMechanisms{closeUnread: true}, guaranteeOwnResponses, abandonResponses, allFaultsMix},
	{"not run only if it did not run", disabledMechanisms{exactOutcomes: true}, guaranteeNotRun, loseWriteResponse, allFaultsMix},
	{"documents only rise at a process", disabledMechanisms{risingRevisions: true}, guaranteeRisingRevisions, reconnectWithOldDocument, allFaultsMix},
	{"looks at the platform", disabledMechanisms{documentPolling: true}, guaranteeRolloutTime, changeDocumentOnce, allFaultsMix},
	{"conditions on the pointer row", disabledMechanisms{conditionalWrites: true}, guaranteeChangeOutcomes, raceOperators, allFaultsMix},
	{"record of change ids", disabledMechanisms{changeRecords: true}, guaranteeChangeOutcomes, loseChangeResponse, outageMix},
	{"list of leaving VMs", disabledMechanisms{leavingVMs: true}, guaranteeLeavingServers, readWhileReplicaLeaves, leavingMix},
	{"drain at a planned stop", disabledMechanisms{plannedDrain: true}, guaranteePlannedStops, stopWithRequestsInFlight, plannedStopMix},
}

// firstViolation returns the first violation of a guarantee.
func (r *report) firstViolation(guarantee string) (violation, bool) {
	i := slices.IndexFunc(r.violations, func(v violation) bool { return v.guarantee == guarantee })
	if i < 0 {
		return violation{}, false
	}
	return r.violations[i], true
}

// TestScenariosFindMissingMechanisms guards against checks that find nothing. It runs
// the scenario of each mechanism with it, which must give no violation, and without
// it, which must violate its guarantee.
func TestScenariosFindMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for _, v := range runScenario(t, m, disabledMechanisms{}).violations {
				t.Errorf("with the mechanism: %s: %s", v.guarantee, v.text)
			}
			v, found := runScenario(t, m, m.disabled).firstViolation(m.guarantee)
			if !found {
				t.Fatalf("without the mechanism %q was not violated", m.guarantee)
			}
			t.Logf("%s: %s", v.guarantee, v.text)
		})
	}
}

// TestSeededFleetFindsMissingMechanisms disables one mechanism at a time and expects
// that seeded runs find a violation of the guarantee that depends on it.
func TestSeededFleetFindsMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSearchSeeds) {
				if v, found := runSeed(t, seed, m.faults, m.disabled).firstViolation(m.guarantee); found {
					t.Logf("seed %d: %s: %s", seed, v.guarantee, v.text)
					return
				}
			}
			t.Errorf("no violation of the guarantee in %d seeds", maxSearchSeeds)
		})
	}
}
