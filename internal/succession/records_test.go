package succession

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/oddinput"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

// fakeLease is a lease that is held until it is set to zero.
type fakeLease struct {
	mu    sync.Mutex
	token duty.Token
	era   uint64
}

func (l *fakeLease) set(token duty.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = token
}

func (l *fakeLease) Held() (duty.Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0
}

func (*fakeLease) Predecessor() duty.Token { return 0 }

func (l *fakeLease) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

func (l *fakeLease) setEra(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era = era
}

func (l *fakeLease) Remaining() time.Duration {
	if _, held := l.Held(); held {
		return time.Minute
	}
	return 0
}

func (*fakeLease) Holder() string           { return "p1" }
func (*fakeLease) Changed() <-chan struct{} { return nil }

// fakeServers is a group of servers of which some are down. It also is the platform's
// promotion call.
type fakeServers struct {
	mu     sync.Mutex
	status map[cluster.ServerID]cluster.ServerStatus
	down   map[cluster.ServerID]bool
	// silent holds the servers that neither accept connections nor respond.
	silent   map[cluster.ServerID]bool
	onCall   func(p Promotion) error
	promoted []cluster.ServerID
	// statusCalls counts the calls for a status.
	statusCalls int
}

func newFakeServers() *fakeServers {
	s := &fakeServers{status: map[cluster.ServerID]cluster.ServerStatus{}, down: map[cluster.ServerID]bool{}, silent: map[cluster.ServerID]bool{}}
	for _, id := range []cluster.ServerID{"s1", "s2", "s3"} {
		s.status[id] = cluster.ServerStatus{Server: id, Role: cluster.RoleReplica, Term: 1, Received: cluster.Position{Term: 1, Offset: 10}}
	}
	s.become("s1", 1)
	return s
}

func (s *fakeServers) become(id cluster.ServerID, term cluster.Term) {
	status := s.status[id]
	status.Role, status.Term, status.PausedAt = cluster.RolePrimary, term, 0
	s.status[id] = status
}

func (s *fakeServers) highestTerm() cluster.Term {
	var term cluster.Term
	for _, status := range s.status {
		term = max(term, status.Term)
	}
	return term
}

func (s *fakeServers) kill(id cluster.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[id] = true
}

// start starts a server that is down as a replica of the primary.
func (s *fakeServers) start(id cluster.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status[id]
	status.Role, status.Term = cluster.RoleReplica, s.highestTerm()
	s.down[id], s.status[id] = false, status
}

// promotions returns the servers that were promoted, in order.
func (s *fakeServers) promotions() []cluster.ServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promoted)
}

func (s *fakeServers) Promote(_ context.Context, p Promotion) error {
	if s.onCall != nil {
		if err := s.onCall(p); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promoted = append(s.promoted, p.Server)
	term := s.highestTerm() + 1
	s.become(p.Server, term)
	for id, status := range s.status {
		if id != p.Server && !s.down[id] {
			status.Role, status.Term = cluster.RoleReplica, term
			s.status[id] = status
		}
	}
	return nil
}

// awaitIfSilent waits for the end of ctx if a server is silent.
func (s *fakeServers) awaitIfSilent(ctx context.Context, id cluster.ServerID) error {
	s.mu.Lock()
	silent := s.silent[id]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (s *fakeServers) DialReplication(ctx context.Context, server cluster.Server, _ cluster.GroupName) (backend.Replication, error) {
	if err := s.awaitIfSilent(ctx, server.ID); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[server.ID] {
		return nil, syscall.ECONNREFUSED
	}
	return &fakeReplication{s, server.ID}, nil
}

type fakeReplication struct {
	servers *fakeServers
	id      cluster.ServerID
}

func (r *fakeReplication) update(ctx context.Context, change func(*cluster.ServerStatus)) (cluster.ServerStatus, error) {
	if err := r.servers.awaitIfSilent(ctx, r.id); err != nil {
		return cluster.ServerStatus{}, err
	}
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	if r.servers.down[r.id] {
		return cluster.ServerStatus{}, syscall.ECONNRESET
	}
	status := r.servers.status[r.id]
	change(&status)
	r.servers.status[r.id] = status
	return status, nil
}

func (r *fakeReplication) Status(ctx context.Context) (cluster.ServerStatus, error) {
	return r.update(ctx, func(*cluster.ServerStatus) { r.servers.statusCalls++ })
}

func (r *fakeReplication) Pause(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return r.update(ctx, func(s *cluster.ServerStatus) { s.PausedAt = term })
}

func (r *fakeReplication) Resume(ctx context.Context) (cluster.ServerStatus, error) {
	return r.update(ctx, func(s *cluster.ServerStatus) { s.PausedAt = 0 })
}

func (r *fakeReplication) StepDown(ctx context.Context, _ cluster.Term) (cluster.ServerStatus, error) {
	return r.update(ctx, func(s *cluster.ServerStatus) { s.Role = cluster.RoleReplica })
}

func (*fakeReplication) Close() error { return nil }

// controllerFixture runs a controller in virtual time.
type controllerFixture struct {
	servers    *fakeServers
	table      *providertest.Table
	lease      *fakeLease
	controller *Controller

	mu    sync.Mutex
	group Group
}

func (f *controllerFixture) groups() []Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []Group{{Name: f.group.Name, SyncReplicas: f.group.SyncReplicas, Servers: slices.Clone(f.group.Servers)}}
}

// leave lists a server as leaving.
func (f *controllerFixture) leave(id cluster.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.group.Servers {
		if f.group.Servers[i].ID == id {
			f.group.Servers[i].Leaving = true
		}
	}
}

func runController(t *testing.T, test func(f *controllerFixture)) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		f := &controllerFixture{servers: newFakeServers(), table: providertest.NewRestorableTable(), lease: &fakeLease{token: 5}, group: Group{Name: "g", SyncReplicas: 1}}
		for _, id := range []cluster.ServerID{"s1", "s2", "s3"} {
			f.group.Servers = append(f.group.Servers, Server{Server: cluster.Server{ID: id, Slots: testSlots}, StartTime: 1})
		}
		f.controller = New(Config{
			Dialer: f.servers, Promoter: f.servers, Lease: f.lease, Table: f.table, Log: &log,
			Groups:  f.groups,
			Changed: func() <-chan struct{} { return nil },
			Grants:  grant.NewIssuer(duty.BootTime),
			QueryObservers: func(context.Context, cluster.GroupName, cluster.Server) ObserverReport {
				return ObserverReport{QueriedAt: time.Now(), Unreachable: 2}
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = f.controller.Run(ctx) })
		test(f)
		cancel()
		work.Wait()
	})
}

// record returns the record of group g in the table.
func (f *controllerFixture) record(t *testing.T) Record {
	t.Helper()
	row, err := f.table.Get(t.Context(), recordKeyPrefix+"g")
	if errors.Is(err, provider.ErrNotFound) {
		return Record{}
	}
	if err != nil {
		t.Fatal(err)
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

var allMembers = []Member{{"s1", 1}, {"s2", 1}, {"s3", 1}}

// The next lease holder must learn of a call that may still take effect, so that the
// record names the server before the call. It is cleared once the call cannot.
func TestRecordNamesThePromotedServerBeforeTheCall(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(Record{Members: allMembers, Token: 5}, f.record(t)); diff != "" {
			t.Fatalf("record of a calm group (-want +got):\n%s", diff)
		}
		var atCall Record
		f.servers.onCall = func(Promotion) error { atCall = f.record(t); return nil }
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		promoted := f.servers.promotions()
		if len(promoted) != 1 || atCall.Promoting != promoted[0] || atCall.Token != 5 {
			t.Errorf("promoted %v, record at the call: %+v", promoted, atCall)
		}
		time.Sleep(maxPromotionDelay)
		if r := f.record(t); r.Promoting != "" {
			t.Errorf("record after the promotion: %+v", r)
		}
	})
}

// Without the record, the next lease holder would not know of the call.
func TestNoPromotionWhileTheRecordCannotBeWritten(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		f.table.SetDown(true)
		f.servers.kill("s1")
		time.Sleep(5 * time.Second)
		if n := len(f.servers.promotions()); n != 0 {
			t.Errorf("%d promotions without a record", n)
		}
		f.table.SetDown(false)
		time.Sleep(time.Second)
		if n := len(f.servers.promotions()); n != 1 {
			t.Errorf("%d promotions after the table service returned, want 1", n)
		}
	})
}

// The lease expires between the decision to promote a server and the call.
func TestNoPromotionAfterTheLeaseIsLost(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		f.table.BeforeNextWrite(func() { f.lease.set(0) })
		f.servers.kill("s1")
		time.Sleep(5 * time.Second)
		if n := len(f.servers.promotions()); n != 0 {
			t.Errorf("%d promotions without the lease", n)
		}
	})
}

// An earlier lease holder has requested the promotion of s3. It may still take effect, so
// that another server must not be promoted meanwhile.
func TestPromotionOfAnEarlierLeaseHolderIsRespected(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		data, _ := json.Marshal(Record{Members: allMembers, Promoting: "s3", Token: 4})
		if _, err := f.table.Commit(t.Context(), provider.Write{Key: recordKeyPrefix + "g", Value: data}); err != nil {
			t.Fatal(err)
		}
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]cluster.ServerID{"s3"}, f.servers.promotions()); diff != "" {
			t.Errorf("promoted servers (-want +got):\n%s", diff)
		}
	})
}

// A suspended earlier holder writes the record while the present one does.
func TestRecordOfAnotherWriterIsMerged(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		f.table.BeforeNextWrite(func() {
			data, _ := json.Marshal(Record{Members: []Member{{"s0", 1}, {"s1", 1}}, Promoting: "s3", Token: 4})
			_, _ = f.table.Commit(t.Context(), provider.Write{Key: recordKeyPrefix + "g", Value: data})
		})
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(allMembers, f.record(t).Members); diff != "" {
			t.Errorf("members (-want +got):\n%s", diff)
		}
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]cluster.ServerID{"s3"}, f.servers.promotions()); diff != "" {
			t.Errorf("promoted servers (-want +got):\n%s", diff)
		}
	})
}

// A write whose response is lost took effect; the record is read again and written on.
func TestLostResponseToARecordIsResolved(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		f.table.LoseResponses(1)
		time.Sleep(3 * time.Second)
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		if n := len(f.servers.promotions()); n != 1 {
			t.Errorf("%d promotions, want 1", n)
		}
	})
}

// A record that cannot be decoded must not keep a group without a primary.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		if _, err := f.table.Commit(t.Context(), provider.Write{Key: recordKeyPrefix + "g", Value: []byte(`{"members":5}`)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(allMembers, f.record(t).Members); diff != "" {
			t.Errorf("members (-want +got):\n%s", diff)
		}
	})
}

// All groups of a deployment change at once when a failure domain is lost. Their records
// must not take one call each, and one conflict must not fail the others.
func TestRecordsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups = 300
		log := zerolog.Nop()
		table := providertest.NewTable()
		store := newRecordStore(table, &log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { store.run(ctx) })
		var saves sync.WaitGroup
		table.SetDelay(10 * time.Millisecond)
		for i := range groups {
			name := cluster.GroupName(fmt.Sprintf("g%d", i))
			saves.Go(func() {
				if _, err := store.read(ctx, name); err != nil {
					t.Error(err)
				}
				if err := store.save(ctx, name, Record{Members: allMembers}); err != nil {
					t.Error(err)
				}
			})
		}
		saves.Wait()
		if lists, commits := table.CallCount("list"), table.CallCount("commit"); lists != 1 || commits > 2+groups/maxRecordBatch {
			t.Errorf("%d lists and %d commits for %d groups", lists, commits, groups)
		}
		if _, err := table.Commit(ctx, provider.Write{Key: recordKeyPrefix + "g0", IfVersion: 1, Value: []byte("{}")}); err != nil {
			t.Fatal(err)
		}
		var conflicts, saved int
		var mu sync.Mutex
		for i := range 10 {
			saves.Go(func() {
				err := store.save(ctx, cluster.GroupName(fmt.Sprintf("g%d", i)), Record{})
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, provider.ErrConflict) {
					conflicts++
				} else if err == nil {
					saved++
				}
			})
		}
		saves.Wait()
		if conflicts != 1 || saved != 9 {
			t.Errorf("%d conflicts and %d saved, want 1 and 9", conflicts, saved)
		}
		cancel()
		work.Wait()
	})
}

func TestOddRecordsAreTreatedAsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		valid, _ := json.Marshal(Record{Members: allMembers, Promoting: "s1", Token: 3})
		for _, text := range oddinput.Documents(string(valid)) {
			table := providertest.NewTable()
			if _, err := table.Commit(t.Context(), provider.Write{Key: recordKeyPrefix + "g", Value: []byte(text)}); err != nil {
				t.Fatal(err)
			}
			if _, err := newRecordStore(table, &log).read(t.Context(), "g"); err != nil {
				t.Errorf("%v: %.100s", err, text)
			}
		}
	})
}

// A primary goes dark: it neither responds nor refuses connections. The time until its
// successor is requested is the sum of the poll interval, one call, two dials with a
// pause between them, and the query of the observers.
func TestSilentPrimaryIsReplaced(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		f.servers.mu.Lock()
		f.servers.silent["s1"] = true
		f.servers.mu.Unlock()
		time.Sleep(primaryPollInterval + callTimeout + 2*dialTimeout + redialInterval + 300*time.Millisecond)
		if promoted := f.servers.promotions(); len(promoted) != 1 {
			t.Errorf("promoted %v, want one server", promoted)
		}
	})
}

// A primary that answers slowly, but accepts connections, is not replaced.
func TestSlowPrimaryIsKept(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		for range 10 {
			f.servers.mu.Lock()
			f.servers.silent["s1"] = true
			f.servers.mu.Unlock()
			time.Sleep(callTimeout / 2)
			f.servers.mu.Lock()
			f.servers.silent["s1"] = false
			f.servers.mu.Unlock()
			time.Sleep(time.Second)
		}
		if promoted := f.servers.promotions(); len(promoted) != 0 {
			t.Errorf("promoted %v, want none", promoted)
		}
	})
}

// TestRecordsFitTheStore guards against a transaction of records that the store refuses: it
// takes none over 1 MB, in which values are base64. Each group has eight members with long
// names.
func TestRecordsFitTheStore(t *testing.T) {
	const maxBytes = 1e6
	var writes []provider.Write
	for i := range maxRecordBatch {
		name := func(j int) cluster.ServerID { return cluster.ServerID(fmt.Sprintf("%0128d", 10*i+j)) }
		r := Record{
			Promoting: name(8), Token: 1 << 62, ReplaySwitchover: 1 << 62, SteppedDown: SteppedDown{Server: name(9), Term: 1 << 62},
			Call: PromotionCall{TermBefore: 1 << 62, Sole: true, Inherited: true, RemainingMillis: maxPriorPromotionDelay.Milliseconds()},
		}
		for j := range 8 {
			r.Members = append(r.Members, Member{ID: name(j), StartTime: 1 << 62})
		}
		value, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		writes = append(writes, provider.Write{Key: recordKeyPrefix + string(name(0)), Value: value})
	}
	transaction, err := json.Marshal(writes)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(transaction))
	if len(transaction) > maxBytes {
		t.Errorf("a transaction of %d bytes, want at most %g", len(transaction), maxBytes)
	}
}
