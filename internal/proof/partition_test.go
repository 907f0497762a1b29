package proof

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

// readsBehindPartition writes v1, leaves the primary alone with its home,
// writes v2 through the new primary and then reads through the old home. It
// returns what the reads of the session and the latest reads answered there.
func readsBehindPartition(t *testing.T, disabled disabledMechanisms) []*operation {
	t.Helper()
	var reads []*operation
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, allFaultsMix, disabled)
		defer f.close()
		time.Sleep(startupTime)
		name, h := f.groupNames[0], &history{}
		old := f.homeOfGroup(f.random, name)
		c := &callerSession{fleet: f, name: "clerk", group: name, random: newRandom(1, 1), history: h}
		c.sendWrite(old, "", write{"clerk", "v1"})
		f.partition(name, old)
		old.dialer.useStatusCache.Store(true)
		time.Sleep(partitionDuration)
		other := f.proxy((old.index + 1) % proxyCount)
		for range 20 {
			c.sendWrite(other, "", write{"clerk", "v2-" + fmt.Sprint(len(h.operations))})
			if h.operations[len(h.operations)-1].outcome == errcode.OutcomeDone {
				break
			}
		}
		if last := h.operations[len(h.operations)-1]; last.outcome != errcode.OutcomeDone || last.result.Home == "" {
			t.Fatalf("no write at the new primary: %v", last)
		}
		for i := range 6 {
			c.sendRead(old, "clerk", i%2 == 0)
			reads = append(reads, h.operations[len(h.operations)-1])
		}
	})
	return reads
}

func isStale(o *operation) bool { return o.outcome == errcode.OutcomeDone && o.value == "v1" }

// TestHomeLeftWithReplacedPrimaryAnswersNoStaleRead checks that what a
// replaced primary still holds is not passed on by the home that was cut off
// with it.
func TestHomeLeftWithReplacedPrimaryAnswersNoStaleRead(t *testing.T) {
	for _, o := range readsBehindPartition(t, disabledMechanisms{}) {
		if o.outcome == errcode.OutcomeDone {
			t.Errorf("a read was answered without proof: %v", o)
		}
	}
}

// TestTrustedStatusGivesStaleReads shows that the fresh proof prevents it.
func TestTrustedStatusGivesStaleReads(t *testing.T) {
	reads := readsBehindPartition(t, disabledMechanisms{freshStatus: true})
	if !slices.ContainsFunc(reads, isStale) {
		t.Errorf("no read was stale: %v", reads)
	}
}
