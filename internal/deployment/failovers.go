package deployment

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// recordedFailovers returns the completed failovers, and the reason if some may be
// missing.
func (s *Source) recordedFailovers(ctx context.Context, groups []environment.Group) ([]admin.FailoverStatus, string) {
	var (
		mu       sync.Mutex
		statuses = []admin.FailoverStatus{}
		calls    errgroup.Group
	)
	calls.SetLimit(maxConcurrentCalls)
	for _, g := range groups {
		calls.Go(func() error {
			records, err := s.Records.Records(ctx, g.Name)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range records {
				statuses = append(statuses, recordedStatus(r))
			}
			return err
		})
	}
	missingReason := ""
	if err := calls.Wait(); err != nil {
		missingReason = err.Error()
	}
	return statuses, missingReason
}

func recordedStatus(r failover.Record) admin.FailoverStatus {
	return admin.FailoverStatus{
		Group: r.Group, Term: r.Term, From: r.OldPrimary, To: r.NewPrimary, Reason: string(r.Cause),
		Started: r.FailureSince, Ended: r.CompletedAt, GapMillis: r.CompletedAt.Sub(r.FailureSince).Milliseconds(),
		Outcome: admin.OutcomeDone, MayBeLost: r.MayBeLost, Discarded: r.Discarded, Warden: failover.WardenOf(r.Holder),
	}
}

// runningFailovers returns the failovers that the wardens are running, and a text that
// names the wardens that did not reply.
func (s *Source) runningFailovers(ctx context.Context) ([]admin.FailoverStatus, string) {
	var (
		mu          sync.Mutex
		running     []admin.FailoverStatus
		unreachable []string
		calls       errgroup.Group
	)
	calls.SetLimit(maxConcurrentCalls)
	for _, warden := range s.Process.Members.Snapshot().Usable(member.RoleWarden) {
		calls.Go(func() error {
			failovers, err := s.Process.ControlPeers.Client(warden.Address).Failovers(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, warden.Key().String())
			}
			for _, f := range failovers {
				running = append(running, runningStatus(f, warden.ID, time.Now()))
			}
			return nil
		})
	}
	_ = calls.Wait()
	if len(unreachable) == 0 {
		return running, ""
	}
	slices.Sort(unreachable)
	return running, "no answer from " + strings.Join(unreachable, ", ")
}

// runningStatus converts a running failover. Its ages become times on the clock of
// this process.
func runningStatus(f *peerpb.RunningFailover, warden string, now time.Time) admin.FailoverStatus {
	age := time.Duration(f.GetAgeNanos())
	return admin.FailoverStatus{
		Group: cluster.GroupName(f.GetGroup()), Term: cluster.Term(f.GetTerm()),
		From: cluster.ServerID(f.GetFrom()), To: cluster.ServerID(f.GetTo()), Reason: f.GetCause(),
		Started: now.Add(-age), GapMillis: age.Milliseconds(), Outcome: admin.OutcomeRunning,
		Step: f.GetStep(), StepSince: now.Add(-time.Duration(f.GetStepAgeNanos())), Warden: warden,
	}
}

// mergeFailovers returns the failovers of both lists, sorted by start time. A failover
// in both has ended between the two queries and counts as recorded.
func mergeFailovers(recorded, running []admin.FailoverStatus) []admin.FailoverStatus {
	type key struct {
		group cluster.GroupName
		term  cluster.Term
	}
	ended := map[key]bool{}
	for _, f := range recorded {
		ended[key{f.Group, f.Term}] = true
	}
	for _, f := range running {
		if !ended[key{f.Group, f.Term}] {
			recorded = append(recorded, f)
		}
	}
	slices.SortFunc(recorded, func(a, b admin.FailoverStatus) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Group, b.Group))
	})
	return recorded
}
