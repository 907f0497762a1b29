package proof

import (
	"slices"
	"testing"
)

// searchSeeds is the most runs in which a missing mechanism must be found.
const searchSeeds = 40

// TestSeededFleetFindsMissingMechanisms switches one mechanism off at a time
// and expects that the same runs break one of the promises that it keeps.
func TestSeededFleetFindsMissingMechanisms(t *testing.T) {
	tests := []struct {
		name     string
		mix      mix
		off      switches
		promises []string
	}{
		{"majority acknowledgement", storm, switches{majorityAck: true}, []string{promiseKept}},
		{"order ids at the servers", everything, switches{orderIDs: true}, []string{promiseOnce}},
		{"unknown without an id sent once", everything, switches{unknownOnce: true}, []string{promiseOnce}},
		{"floors of unknown sessions", everything, switches{floors: true}, []string{promiseOwnWrites}},
		{"claims of homes", everything, switches{claims: true}, []string{promiseOneHome}},
		{"seals by a majority", storm, switches{seals: true}, []string{promiseKept}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(searchSeeds) {
				out := runSeed(t, seed, test.mix, test.off)
				i := slices.IndexFunc(out.violations, func(v violation) bool { return slices.Contains(test.promises, v.promise) })
				if i >= 0 {
					t.Logf("seed %d: %s: %s", seed, out.violations[i].promise, out.violations[i].text)
					return
				}
			}
			t.Errorf("nothing was found in %d seeds", searchSeeds)
		})
	}
}
