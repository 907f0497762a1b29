package failover

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

func positionAt(i int) cluster.Position { return cluster.Position{Term: 1, Offset: uint64(i)} }

func TestStatusTracker(t *testing.T) {
	status := func(term cluster.Term) cluster.ServerStatus { return cluster.ServerStatus{Server: "s1", Term: term} }
	tests := []struct {
		name     string
		do       func(b *StatusTracker)
		failing  bool
		failures int
		term     cluster.Term
	}{
		{"consecutive failures", func(b *StatusTracker) {
			b.RecordFailure("s1", time.Now(), time.Second)
			time.Sleep(time.Second)
			b.RecordFailure("s1", time.Now(), time.Second)
		}, true, 2, 0},
		{"a response resets the failures", func(b *StatusTracker) {
			b.RecordFailure("s1", time.Now(), time.Second)
			time.Sleep(time.Second)
			b.RecordStatus("s1", status(3), time.Now())
		}, false, 0, 3},
		{"a response to an earlier request does not", func(b *StatusTracker) {
			began := time.Now()
			time.Sleep(time.Second)
			b.RecordFailure("s1", time.Now(), time.Second)
			b.RecordStatus("s1", status(3), began)
		}, true, 1, 3},
		{"a failure older than a response is ignored", func(b *StatusTracker) {
			began := time.Now()
			time.Sleep(time.Second)
			b.RecordStatus("s1", status(3), time.Now())
			b.RecordFailure("s1", began, 2*time.Second)
		}, false, 0, 3},
		{"a failure during a pause of this process is ignored", func(b *StatusTracker) {
			began := time.Now()
			time.Sleep(10 * time.Second)
			b.RecordFailure("s1", began, time.Second)
		}, false, 0, 0},
		{"a server at its connection limit is running", func(b *StatusTracker) {
			b.RecordStatus("s1", status(3), time.Now())
			b.RecordFailure("s1", time.Now(), time.Second)
			time.Sleep(time.Second)
			b.RecordAlive("s1", time.Now())
		}, false, 0, 3},
		{"terms never decrease", func(b *StatusTracker) {
			b.RecordStatus("s1", status(3), time.Now())
			time.Sleep(time.Second)
			b.RecordStatus("s1", status(2), time.Now())
		}, false, 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewStatusTracker()
				tt.do(b)
				o := b.Status().Servers["s1"]
				if o.FailingSince.IsZero() == tt.failing || o.ConsecutiveFailures != tt.failures || o.Status.Term != tt.term {
					t.Errorf("observation %+v", o)
				}
			})
		})
	}
}
