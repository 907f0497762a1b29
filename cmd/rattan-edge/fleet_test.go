//go:build linux

package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// fleetVariable holds the number of members of TestLargeFleet, fleetSettings the path of
	// the settings of its process.
	fleetVariable = "RATTAN_FLEET"
	fleetSettings = "RATTAN_FLEET_SETTINGS"
	// fleetShare holds the share of a core that the process may use, if it is set.
	fleetShare = "RATTAN_FLEET_SHARE"
	// profilesVariable holds the directory of heap profiles, if they are wanted.
	profilesVariable = "RATTAN_FLEET_PROFILES"
	// fleetTime is how long the process of TestLargeFleet runs.
	fleetTime = 100 * time.Second
	// fleetGroups and fleetOrganisations are the sizes of the catalogue.
	fleetGroups        = 30
	fleetOrganisations = 80
)

// fleet simulates the other processes of a large fleet for one process, its only seed. They
// join all at once, then answer pings and send as many as the real ones would.
type fleet struct {
	seed     string
	peers    []*fleetPeer
	accepted atomic.Int64
	dialed   atomic.Int64
	pinged   atomic.Int64
	grants   atomic.Int64
	polls    atomic.Int64
	joined   atomic.Int64
}

type fleetPeer struct {
	fleet  *fleet
	self   member.Member
	client *peer.Client
}

func (p *fleetPeer) report() member.Report {
	return member.Report{Member: p.self, State: member.StateAlive, Stable: true}
}

func (p *fleetPeer) handlePing(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	p.fleet.pinged.Add(1)
	var reports []member.Report
	for range 6 {
		reports = append(reports, p.fleet.peers[rand.IntN(len(p.fleet.peers))].report())
	}
	return &peerpb.PingReply{From: peer.ReportToProto(p.report()), Members: peer.ReportsToProto(reports)}, nil
}

func (p *fleetPeer) handleDocument(ctx context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	p.fleet.polls.Add(1)
	select {
	case <-time.After(time.Duration(in.GetWaitNanos())):
	case <-ctx.Done():
	}
	return &peerpb.DocumentReply{}, nil
}

// Ping implements member.Pinger. It reaches only the process under test.
func (p *fleetPeer) Ping(ctx context.Context, _ string, m member.PingMessage) (member.PingMessage, error) {
	reply, err := p.client.Ping(ctx, &peerpb.PingRequest{From: peer.ReportToProto(m.From), Members: peer.ReportsToProto(m.Members)})
	if err != nil {
		return member.PingMessage{}, err
	}
	return member.PingMessage{From: peer.ReportFromProto(reply.GetFrom()), Members: peer.ReportsFromProto(reply.GetMembers())}, nil
}

func (p *fleetPeer) start(t *testing.T, i int) {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	p.self = member.Member{
		ID: fmt.Sprintf("front-%d", i), Role: member.RoleProxy, Address: l.Addr().String(),
		FailureDomain: fmt.Sprintf("z%d", i%4), Incarnation: uint64(time.Now().UnixNano()),
	}
	p.client = peer.NewClient(p.fleet.seed, func(ctx context.Context, address string) (net.Conn, error) {
		p.fleet.dialed.Add(1)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	log := zerolog.Nop()
	server, err := peer.NewServer(peer.Handlers{Ping: p.handlePing, Document: p.handleDocument}, &log)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), countingListener{l, &p.fleet.accepted}) }()
}

type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// run joins the fleet and then pings as one of it, each member once per pass over the fleet.
func (p *fleetPeer) run(ctx context.Context) {
	joining, joined := context.WithCancel(ctx)
	members := member.New(member.Config{
		Self: p.self, Seeds: []string{p.fleet.seed}, Pinger: p, JoinInterval: 100 * time.Millisecond,
		Table: providertest.NewTable(), Rand: rand.New(rand.NewPCG(1, rand.Uint64())), Log: zerolog.Nop(),
	})
	go func() {
		defer joined()
		for len(members.Snapshot().Usable(member.RoleProxy)) == 1 && ctx.Err() == nil {
			<-members.Changed()
		}
		p.fleet.joined.Add(1)
	}()
	_ = members.Run(joining)
	interval := time.Duration(len(p.fleet.peers)) * time.Second / 4
	for sleep := rand.N(interval); ctx.Err() == nil; sleep = interval {
		select {
		case <-time.After(sleep):
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		_, _ = p.Ping(callCtx, "", member.PingMessage{From: p.report()})
		cancel()
	}
}

// requestGrants asks for grants as the home of a group does.
func (p *fleetPeer) requestGrants(ctx context.Context, group string) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
		if _, err := p.client.Grant(callCtx, &peerpb.GrantRequest{Proxy: p.self.ID, Incarnation: 1, Groups: []string{group}}); err == nil {
			p.fleet.grants.Add(1)
		}
		cancel()
		time.Sleep(300 * time.Millisecond)
	}
}

func fleetConfiguration() map[string]any {
	var routes, services, tenants []map[string]any
	for i := range fleetGroups {
		name := fmt.Sprintf("group%d", i)
		services = append(services, map[string]any{"name": name, "max_conns": 50, "sync_replicas": 1})
		for j := range 3 {
			database := fmt.Sprintf("%s-db%d", name, j)
			routes = append(routes, map[string]any{
				"name": database, "host": database, "type": "primary", "timeout_ms": 20000, "goal_ms": 100, "priority": 0, "service": name, "public": false,
			})
		}
	}
	for i := range fleetOrganisations {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("organisation-%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}, "priority": 1, "rate_per_s": 20, "burst": 40,
		})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": services, "tenants": tenants, "limits": map[string]any{"tx_idle_ms": 20000},
	}
}

// TestLargeFleet measures one process among the simulated members of a large fleet, all of
// which join through it at once: its memory by second, the connections that it opens and that
// it is asked to accept, and heap profiles. It asserts that it stays within its limit of
// memory and that all members join.
func TestLargeFleet(t *testing.T) {
	size, _ := strconv.Atoi(os.Getenv(fleetVariable))
	if size == 0 || os.Getenv(fleetSettings) != "" {
		t.Skip("measured on request: RATTAN_FLEET=300 go test -run TestLargeFleet -v -timeout 5m ./cmd/rattan-edge")
	}
	store := userplatform.NewStore()
	var groups []*userplatform.Group
	for i := range fleetGroups {
		group, err := userplatform.NewGroup(fmt.Sprintf("group%d", i), 3, store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(group.Close)
		groups = append(groups, group)
	}
	store.Put("op", "config", fleetConfiguration())
	var storeConns, storeCalls atomic.Int64
	storeServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		storeCalls.Add(1)
		store.ServeHTTP(w, r)
	}))
	storeServer.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			storeConns.Add(1)
		}
	}
	storeServer.Start()
	cloudServer := httptest.NewServer(groups[0])
	own := addresses(t, 4)
	f := &fleet{seed: own[2]}
	for range size - 1 {
		f.peers = append(f.peers, &fleetPeer{fleet: f})
	}
	for i, p := range f.peers {
		p.start(t, i)
	}
	_, port, _ := net.SplitHostPort(own[3])
	path := filepath.Join(t.TempDir(), "local.conf")
	lines := []string{
		"node=front-self", "zone=z1", "ip=127.0.0.1", "listen.front=" + own[0], "listen.ready=" + own[1],
		"listen.control=" + own[2], "port_range=" + port + "," + port, "seeds=" + own[2] + "," + f.peers[0].self.Address,
		"limits.ram_mb=184", "limits.max_fds=4300", "heartbeat_ms=1000", "bounds.grace_s=6",
		"bounds.strict_revoke=true", "bounds.revoke_ms=5000", "bounds.quota_window_s=5", "bounds.quota_excess=0.1", "bounds.quota_slack=20",
		"platform.addr=" + storeServer.Listener.Addr().String(), "cloud.addr=" + cloudServer.Listener.Addr().String(),
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=^TestLargeFleetProcess$", "-test.v")
	child.Env = append(os.Environ(), fleetSettings+"="+path, "GODEBUG=memprofilerate=8192")
	if os.Getenv(fleetShare) != "" {
		child.Env = append(child.Env, "GOMAXPROCS=1")
	}
	child.Stdout, child.Stderr = os.Stdout, os.Stderr
	// A child that is stopped by throttle would outlive a test that is killed.
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- child.Wait() }()
	if share, _ := strconv.ParseFloat(os.Getenv(fleetShare), 64); share > 0 {
		go throttle(t.Context(), child.Process, share)
	}
	ctx, cancel := context.WithCancel(t.Context())
	for i, p := range f.peers {
		go p.run(ctx)
		if i < fleetGroups {
			go p.requestGrants(ctx, fmt.Sprintf("group%d", i))
		}
	}
	for second, ticker := 1, time.NewTicker(time.Second); ; second++ {
		select {
		case err := <-done:
			cancel()
			if err != nil {
				t.Error(err)
			}
			if joined := f.joined.Load(); joined < int64(len(f.peers)) {
				t.Errorf("%d of %d members have joined", joined, len(f.peers))
			}
			return
		case <-ticker.C:
			if second <= 10 || second%10 == 0 {
				fmt.Printf("second %d: opened to peers %d, peers opened %d, joined %d, pings received by peers %d, grants %d, polls of delegates %d, store connections %d, calls %d, server connections %d\n",
					second, f.accepted.Load(), f.dialed.Load(), f.joined.Load(), f.pinged.Load(), f.grants.Load(), f.polls.Load(), storeConns.Load(), storeCalls.Load(), serverConnections(groups))
			}
		}
	}
}

// serverConnections returns the number of connections that the servers of groups have accepted.
func serverConnections(groups []*userplatform.Group) int {
	n := 0
	for _, g := range groups {
		for _, count := range g.Startups() {
			n += count
		}
	}
	return n
}

// throttle lets a process run for a share of each period, as a quota of processor time does
// for a process that has work throughout.
func throttle(ctx context.Context, p *os.Process, share float64) {
	const period = 100 * time.Millisecond
	run := time.Duration(share * float64(period))
	for ctx.Err() == nil {
		time.Sleep(run)
		if p.Signal(syscall.SIGSTOP) != nil {
			return
		}
		time.Sleep(period - run)
		if p.Signal(syscall.SIGCONT) != nil {
			return
		}
	}
}

// TestLargeFleetProcess is the process under test of TestLargeFleet.
func TestLargeFleetProcess(t *testing.T) {
	path := os.Getenv(fleetSettings)
	if path == "" {
		t.Skip("started by TestLargeFleet")
	}
	file, err := readSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	debug.SetMemoryLimit(heapLimit(file.config))
	ctx, cancel := context.WithTimeout(t.Context(), fleetTime)
	defer cancel()
	go func() {
		for second := 1; ctx.Err() == nil; second++ {
			time.Sleep(time.Second)
			if second <= 10 || second%10 == 0 {
				printMemory(second)
			}
			if second == 10 || second == 50 {
				writeHeap(t, second)
			}
		}
	}()
	if err := serve(ctx, file, zerolog.Nop()); err != nil {
		t.Error(err)
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil || usage.Maxrss<<10 > file.config.MemoryLimit {
		t.Errorf("the process grew to %d KB (%v)", usage.Maxrss, err)
	}
}

func printMemory(second int) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	status, _ := os.ReadFile("/proc/self/status")
	var rss []string
	for line := range bytes.Lines(status) {
		if bytes.HasPrefix(line, []byte("VmRSS")) || bytes.HasPrefix(line, []byte("VmHWM")) {
			rss = append(rss, strings.Join(strings.Fields(string(line)), " "))
		}
	}
	fds, _ := os.ReadDir("/proc/self/fd")
	fmt.Printf("process %d: %s, heap in use %d KB, stacks %d KB, %d goroutines, %d descriptors, allocated %d MB\n", second,
		strings.Join(rss, ", "), m.HeapInuse>>10, m.StackInuse>>10, runtime.NumGoroutine(), len(fds), m.TotalAlloc>>20)
}

// writeHeap writes a heap profile to the directory in profilesVariable, if it is set.
func writeHeap(t *testing.T, second int) {
	directory := os.Getenv(profilesVariable)
	if directory == "" {
		return
	}
	runtime.GC()
	f, err := os.Create(filepath.Join(directory, fmt.Sprintf("fleet-%s-%d.pb.gz", os.Getenv(fleetVariable), second)))
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = f.Close() }()
	if err := pprof.Lookup("allocs").WriteTo(f, 0); err != nil {
		t.Error(err)
	}
}
