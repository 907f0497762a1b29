package rank

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// TestOutdatedCostDoesNotRefuseRequests guards against refusing requests for a slot
// time that no longer applies: statements at a primary that was cut off hold
// their slots for seconds. Once the primary responds again, requests with a shorter
// deadline must be served.
func TestOutdatedCostDoesNotRefuseRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{})
		defer d.Close()
		d.SetServers([]cluster.Server{{ID: "s1", Slots: 1}})
		d.SetPrimary("s1", 1)
		request := func() Request {
			return Request{
				Rank: cluster.RankNormal, Lane: LanePrimary, Deadline: time.Now().Add(time.Second),
				Eligible: func(cluster.ServerID, time.Time) Eligibility { return Eligibility{OK: true} },
			}
		}
		for range 20 {
			g, err := d.Acquire(t.Context(), request())
			if err != nil {
				break // refused because the observed cost exceeds the deadline
			}
			time.Sleep(3 * time.Second)
			g.Release()
		}
		time.Sleep(time.Second)
		served := 0
		for range 100 {
			g, err := d.Acquire(t.Context(), request())
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			served++
			time.Sleep(10 * time.Millisecond)
			g.Release()
		}
		if served < 70 {
			t.Errorf("%d of 100 requests served after the primary recovered", served)
		}
	})
}

// TestFailedStatementsDoNotCountAsCost checks that statements that were not
// carried out do not change the estimate of the cost.
func TestFailedStatementsDoNotCountAsCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{})
		defer d.Close()
		d.SetServers([]cluster.Server{{ID: "s1", Slots: 1}})
		d.SetPrimary("s1", 1)
		run := func(cost time.Duration, failed bool) {
			g, err := d.Acquire(t.Context(), Request{
				Eligible: func(cluster.ServerID, time.Time) Eligibility { return Eligibility{OK: true} },
			})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(cost)
			if failed {
				g.MarkFailed()
			}
			g.Release()
		}
		run(10*time.Millisecond, false)
		for range 10 {
			run(3*time.Second, true)
		}
		if got := d.Cost(cluster.RankUrgent); got != 10*time.Millisecond {
			t.Errorf("cost %v after failed statements, want 10ms", got)
		}
	})
}
