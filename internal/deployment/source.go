package proxy

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
)

const (
	// statusTimeout bounds what a status waits for homes and the table service.
	statusTimeout = 2 * time.Second
	// askTimeout and askLimit bound the question to members that seem behind.
	askTimeout = 500 * time.Millisecond
	askLimit   = 64
	// statusCalls bounds the calls that one status makes at once.
	statusCalls = 16
	// reasonNoDocument is the status of a group without a document.
)

// Status implements admin.StatusSource. Homes that do not answer in time make
// their groups unknown.
func (p *Proxy) Status(ctx context.Context) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s := admin.Status{
		Environment: p.settings.Environment, Proxy: p.settings.ID, Time: time.Now(),
		Document: p.documentStatus(), Members: p.Members(ctx),
		Groups: []admin.GroupStatus{}, Failovers: []admin.FailoverStatus{},
	}
	if current := p.process.Documents.Current(); current != nil {
		s.Groups = p.groupStatuses(ctx, current.Document.Groups)
		s.Failovers, s.FailoversMissing = p.failoverStatuses(ctx, current.Document.Groups)
	}
	return s, nil
}

func (p *Proxy) documentStatus() admin.DocumentStatus {
	state := p.process.Documents.State()
	s := admin.DocumentStatus{
		Revision: state.Held.Revision, Digest: state.Held.Digest, Status: string(state.Status), ProofAgeMillis: -1,
	}
	if age, ok := p.process.Documents.ProofAge(); ok {
		s.ProofAgeMillis = age.Milliseconds()
	}
	return s
}

// Members implements admin.StatusSource. The document of another member is the
// one that it told this process last. Some members that seem behind are asked
// first, as their word may not have arrived yet.
func (p *Proxy) Members(ctx context.Context) []admin.MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	p.process.Ask(ctx, p.behind())
	return p.knownMembers()
}

// behind returns the addresses of running members that are not known to hold
// the document in force here, in random order.
func (p *Proxy) behind() []string {
	held := p.process.Documents.State().Held
	var addresses []string
	for _, m := range p.knownMembers() {
		if m.Running() && (m.Revision != held.Revision || m.Digest != held.Digest) {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), askLimit)]
}

func (p *Proxy) knownMembers() []admin.MemberStatus {
	state := p.process.Documents.State()
	self := member.Key{Role: member.RoleProxy, ID: string(p.settings.ID)}
	members := []admin.MemberStatus{}
	for _, e := range p.process.Members.Snapshot().Entries() {
		version := state.Heard[cluster.ProxyID(e.Member.Key().String())].Version
		age := time.Since(e.EvidenceAt)
		if e.Member.Key() == self {
			version, age = state.Held, 0
		}
		members = append(members, admin.MemberStatus{
			ID: cluster.ProxyID(e.Member.ID), Address: e.Member.Address, FailureDomain: e.Member.FailureDomain,
			Role: string(e.Member.Role), State: string(e.State), AgeMillis: age.Milliseconds(),
			Revision: version.Revision, Digest: version.Digest,
		})
	}
	return members
}

// groupStatuses returns the groups of the document, in its order.
func (p *Proxy) groupStatuses(ctx context.Context, groups []environment.Group) []admin.GroupStatus {
	statuses := make([]admin.GroupStatus, len(groups))
	var calls errgroup.Group
	calls.SetLimit(statusCalls)
	for i, g := range groups {
		calls.Go(func() error {
			statuses[i] = p.groupStatus(ctx, g)
			return nil
		})
	}
	_ = calls.Wait()
	return statuses
}

func (p *Proxy) groupStatus(ctx context.Context, g environment.Group) admin.GroupStatus {
	home := p.members().HomeOf(g.Name)
	status, err := p.statusFrom(ctx, g.Name, home)
	if err != nil {
		status = admin.GroupStatus{Home: home, Unknown: err.Error()}
	}
	status.Name, status.Customers = g.Name, g.Customers
	return status
}

// statusFrom returns what the home knows of a group.
func (p *Proxy) statusFrom(ctx context.Context, group cluster.GroupName, home cluster.ProxyID) (admin.GroupStatus, error) {
	if home == p.settings.ID {
		return p.ownStatus(group)
	}
	e, ok := p.process.Members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(home)})
	if !ok {
		return admin.GroupStatus{}, errcode.New(errcode.NoHome, "group status", string(home))
	}
	data, err := p.process.Peers.Client(e.Member.Address).GroupStatus(ctx, group)
	if err != nil {
		return admin.GroupStatus{}, err
	}
	var status admin.GroupStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return admin.GroupStatus{}, errcode.Wrap(err, errcode.Protocol, "group status", string(home))
	}
	return status, nil
}

// handleGroupStatus tells a peer of a group that this proxy owns.
func (p *Proxy) handleGroupStatus(_ context.Context, group cluster.GroupName) ([]byte, error) {
	status, err := p.ownStatus(group)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

// failoverStatuses returns the recorded failovers in their order in time, and
// why some may be missing.
func (p *Proxy) failoverStatuses(ctx context.Context, groups []environment.Group) ([]admin.FailoverStatus, string) {
	var (
		mu       sync.Mutex
		statuses = []admin.FailoverStatus{}
		calls    errgroup.Group
	)
	calls.SetLimit(statusCalls)
	for _, g := range groups {
		calls.Go(func() error {
			records, err := p.failovers.Records(ctx, g.Name)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range records {
				statuses = append(statuses, failoverStatus(r))
			}
			return err
		})
	}
	missing := ""
	if err := calls.Wait(); err != nil {
		missing = err.Error()
	}
	slices.SortFunc(statuses, func(a, b admin.FailoverStatus) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Group, b.Group))
	})
	return statuses, missing
}

func failoverStatus(r failover.Record) admin.FailoverStatus {
	return admin.FailoverStatus{
		Group: r.Group, Term: r.Term, From: r.OldPrimary, To: r.NewPrimary, Reason: string(r.Cause),
		Started: r.TroubleAt, Ended: r.CompletedAt, GapMillis: r.CompletedAt.Sub(r.TroubleAt).Milliseconds(),
		Outcome: admin.OutcomeDone, MayBeLost: r.MayBeLost, Discarded: r.Discarded,
	}
}
