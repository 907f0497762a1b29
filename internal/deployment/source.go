package deployment

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/process"
)

const (
	// statusTimeout bounds the wait of a status for homes, wardens and the table
	// service.
	statusTimeout = 2 * time.Second
	// memberPingTimeout and maxMemberPings bound the pings to members that seem to have
	// another document version.
	memberPingTimeout = 500 * time.Millisecond
	maxMemberPings    = 64
	// maxConcurrentCalls bounds the concurrent calls of each part of a status.
	maxConcurrentCalls = 16
)

// Source collects the status of a deployment. It implements admin.StatusSource.
type Source struct {
	Process *process.Process
	// Role is the role of this process.
	Role member.Role
	// Records is the store of completed failovers.
	Records *failover.RecordStore
	// LocalStatus returns the status of a group whose home is this process. It is nil
	// in a process that cannot be a home.
	LocalStatus func(cluster.GroupName) (admin.GroupStatus, error)
	// HomeOf returns the home of a group, or an empty id when it has none.
	HomeOf func(cluster.GroupName) cluster.ProxyID
}

// Status implements admin.StatusSource. The status of a group is unknown when its
// home does not reply in time.
func (s *Source) Status(ctx context.Context) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := admin.Status{
		Environment: s.Process.Settings.Environment, ProcessID: s.Process.Settings.ID, Role: string(s.Role), Time: time.Now(),
		Document: s.documentStatus(), Members: s.Members(ctx),
		Groups: []admin.GroupStatus{}, Failovers: []admin.FailoverStatus{},
	}
	if current := s.Process.Documents.Current(); current != nil {
		s.addGroups(ctx, &status, current.Document.Groups)
	}
	return status, nil
}

// addGroups adds the groups and their failovers. Homes, wardens and the table service
// are queried concurrently, because each may use up the time limit.
func (s *Source) addGroups(ctx context.Context, status *admin.Status, groups []environment.Group) {
	var calls sync.WaitGroup
	var running []admin.FailoverStatus
	calls.Go(func() { status.Groups = s.groupStatuses(ctx, groups) })
	calls.Go(func() { status.Failovers, status.FailoversMissing = s.recordedFailovers(ctx, groups) })
	calls.Go(func() { running, status.RunningMissing = s.runningFailovers(ctx) })
	calls.Wait()
	status.Failovers = mergeFailovers(status.Failovers, running)
}

func (s *Source) documentStatus() admin.DocumentStatus {
	state := s.Process.Documents.State()
	status := admin.DocumentStatus{
		Revision: state.InForce.Revision, Digest: state.InForce.Digest, Status: string(state.Status), ProofAgeMillis: -1,
	}
	if age, ok := s.Process.Documents.ProofAge(); ok {
		status.ProofAgeMillis = age.Milliseconds()
	}
	return status
}

// groupStatuses returns the status of the groups, in the order of the document.
func (s *Source) groupStatuses(ctx context.Context, groups []environment.Group) []admin.GroupStatus {
	statuses := make([]admin.GroupStatus, len(groups))
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for i, g := range groups {
		calls.Go(func() error {
			statuses[i] = s.groupStatus(ctx, g)
			return nil
		})
	}
	_ = calls.Wait()
	return statuses
}

func (s *Source) groupStatus(ctx context.Context, g environment.Group) admin.GroupStatus {
	home := s.HomeOf(g.Name)
	status, err := s.statusFrom(ctx, g.Name, home)
	if err != nil {
		status = admin.GroupStatus{Home: home, Unknown: err.Error()}
	}
	status.Name, status.Customers = g.Name, g.Customers
	return status
}

// statusFrom returns the status of a group from its home.
func (s *Source) statusFrom(ctx context.Context, group cluster.GroupName, home cluster.ProxyID) (admin.GroupStatus, error) {
	if s.LocalStatus != nil && home == s.Process.Settings.ID {
		return s.LocalStatus(group)
	}
	e, ok := s.Process.Members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(home)})
	if !ok {
		return admin.GroupStatus{}, errcode.New(errcode.NoHome, "group status", string(home))
	}
	data, err := s.Process.StatementPeers.Client(e.Member.Address).GroupStatus(ctx, group)
	if err != nil {
		return admin.GroupStatus{}, err
	}
	var status admin.GroupStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return admin.GroupStatus{}, errcode.Wrap(err, errcode.Protocol, "group status", string(home))
	}
	return status, nil
}
