package succession

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRecordIsWrittenAgainAfterARestore guards against a lease holder that goes on after a
// restore of the table service without the records that were lost: the next one would not
// know who may hold acknowledged writes.
func TestRecordIsWrittenAgainAfterARestore(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		f.lease.setEra(1)
		copied := f.table.Copy()
		time.Sleep(3 * time.Second)
		want := f.record(t)
		f.table.Restore(copied)
		f.lease.setEra(2)
		time.Sleep(time.Second)
		want.Era = 2
		if diff := cmp.Diff(want, f.record(t)); diff != "" {
			t.Errorf("record after the restore (-want +got):\n%s", diff)
		}
	})
}

// TestLostRecordOfAnEarlierHolder guards against a second promotion over one whose record was
// lost: an earlier lease holder may have requested the promotion of any server.
func TestLostRecordOfAnEarlierHolder(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		f.lease.setEra(1)
		time.Sleep(3 * time.Second)
		copied := f.table.Copy()
		f.table.Restore(copied)
		f.lease.setEra(2)
		f.lease.set(6)
		f.servers.kill("s1")
		time.Sleep(maxPriorPromotionDelay - time.Second)
		if promoted := f.servers.promotions(); len(promoted) > 0 {
			t.Errorf("promoted %v while the promotion of another server is possible", promoted)
		}
		if r := f.record(t); r.Era != 1 {
			t.Errorf("the record %+v hides from the next lease holder that others were lost", r)
		}
		time.Sleep(3 * time.Second)
		if n := len(f.servers.promotions()); n != 1 {
			t.Errorf("%d promotions once none of an earlier holder is possible, want 1", n)
		}
		if r := f.record(t); r.Era != 2 {
			t.Errorf("the record %+v has the era of before", r)
		}
	})
}

// TestHolderReplacesAPrimaryAfterARestore guards against a lease holder that holds the lease
// across a restore and waits for promotions of others.
func TestHolderReplacesAPrimaryAfterARestore(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		f.lease.setEra(1)
		time.Sleep(3 * time.Second)
		copied := f.table.Copy()
		time.Sleep(time.Second)
		f.table.Restore(copied)
		f.lease.setEra(2)
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		if n := len(f.servers.promotions()); n != 1 {
			t.Errorf("%d promotions, want 1", n)
		}
	})
}
