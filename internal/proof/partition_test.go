package proof

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

// readsBehindPartition writes v1, partitions the primary together with its home,
// writes v2 through the new primary and then reads through the old home, alternating
// reads with freshness latest and reads of the session. It returns the reads.
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
			t.Fatalf("no write acknowledged by the new primary: %v", last)
		}
		for i := range 6 {
			c.sendRead(old, "clerk", i%2 == 0)
			reads = append(reads, h.operations[len(h.operations)-1])
		}
	})
	return reads
}

func isStale(o *operation) bool { return o.outcome == errcode.OutcomeDone && o.value == "v1" }

// TestHomeLeftWithReplacedPrimaryAnswersNoStaleRead guards against stale reads from a
// replaced primary through the home that was partitioned with it. The home must
// answer none, as it cannot prove that the primary is current.
func TestHomeLeftWithReplacedPrimaryAnswersNoStaleRead(t *testing.T) {
	for _, o := range readsBehindPartition(t, disabledMechanisms{}) {
		if o.outcome == errcode.OutcomeDone {
			t.Errorf("the partitioned home answered a read: %v", o)
		}
	}
}

// TestTrustedStatusGivesStaleReads shows that without a fresh status the home does
// give stale reads: it uses the last known status of servers that it cannot reach.
func TestTrustedStatusGivesStaleReads(t *testing.T) {
	reads := readsBehindPartition(t, disabledMechanisms{freshStatus: true})
	if !slices.ContainsFunc(reads, isStale) {
		t.Errorf("no read was stale: %v", reads)
	}
}
