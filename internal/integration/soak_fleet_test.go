package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	soakGroups  = 2
	soakServers = 3
	// Ports from soakFirstPort to soakLastPort are below the ephemeral range, so that
	// no outgoing connection takes the port of a process that is being restarted.
	soakFirstPort = 20100
	soakLastPort  = 32000
	// recoveryBound is the longest time from the end of all faults until every process
	// serves writes of every group.
	recoveryBound = 12 * time.Second
	// configBound is the longest time until a configuration is in force at a process.
	// It applies to processes that have not been disturbed for undisturbedTime before.
	configBound     = 3 * time.Second
	undisturbedTime = 4 * time.Second
	// signalHandlerTime is the time after its start within which a process may not yet
	// have installed its signal handlers, so that a signal may end it, and the delay
	// before it is restarted.
	signalHandlerTime = 200 * time.Millisecond
	// stopTimeout is the time from SIGTERM until a process is killed.
	stopTimeout = 6 * time.Second
)

var soakPort atomic.Int32

// soak is one seeded run: processes of entry VMs behind relays, stand-ins for the
// store and the backend servers, and callers.
type soak struct {
	t         *testing.T
	seed      uint64
	dir       string
	started   time.Time
	store     *userplatform.Store
	groups    []*userplatform.Group
	edges     []*soakEdge
	history   *callerHistory
	delays    *hostDelays
	exchanges *exchangeLog
	// organisations is nil if callers need no keys.
	organisations *organisationHistory
	plannedOnly   bool
	// stopping is set while the run stops its processes.
	stopping atomic.Bool

	mu      sync.Mutex
	version int
	// configuredAt is the time at which version was acknowledged.
	configuredAt time.Time
	// storeDisturbedAt is the time of the last fault of the store itself.
	storeDisturbedAt time.Time
}

// newSoak starts a run. With organisations, callers need keys.
func newSoak(t *testing.T, seed uint64, program string, edges int, organisations bool) *soak {
	s := &soak{
		t: t, seed: seed, dir: t.TempDir(), started: time.Now(), store: userplatform.NewStore(),
		exchanges: newExchangeLog(), delays: &hostDelays{},
	}
	s.history = newCallerHistory(s)
	if organisations {
		s.organisations = newOrganisationHistory(s)
	}
	go s.delays.watch(s.started, t.Context().Done())
	for i := range soakGroups {
		group, err := userplatform.NewGroup(fmt.Sprintf("group%d", i), soakServers, s.store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(group.Close)
		group.SetExtraRows(oddRows)
		s.groups = append(s.groups, group)
		for _, id := range group.ServerIDs() {
			group.SetLag(id, time.Duration(rand.Int64N(int64(maxDefaultReplicaLag))))
		}
	}
	promotions := httptest.NewServer(http.HandlerFunc(s.forwardPromotion))
	t.Cleanup(promotions.Close)
	s.putConfiguration()
	for i := range edges {
		e := &soakEdge{
			soak: s, name: fmt.Sprintf("front-%d", i), callers: freeAddress(t), ready: freeAddress(t), peers: freeAddress(t),
			serverRelays: map[string]*relay{},
		}
		store := httptest.NewServer(http.HandlerFunc(e.serveStore))
		t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
		e.peerRelay = startRelay(t, e.peers)
		e.storeRelay, e.promotionRelay = startRelay(t, store.Listener.Addr().String()), startRelay(t, promotions.Listener.Addr().String())
		s.edges = append(s.edges, e)
	}
	for _, g := range s.groups {
		for _, id := range g.ServerIDs() {
			s.updateServerRelays(g, id)
		}
	}
	for _, e := range s.edges {
		e.writeSettings()
		e.start(program)
	}
	t.Cleanup(s.stop)
	return s
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := soakFirstPort + (os.Getpid()%64*128+int(soakPort.Add(1)))%(soakLastPort-soakFirstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

// updateServerRelays starts relays between the processes and a server, or points the
// existing ones to the server's new address.
func (s *soak) updateServerRelays(group *userplatform.Group, id string) {
	target := group.ListenAddress(id)
	for _, e := range s.edges {
		r := e.serverRelay(id, target)
		r.update(func() { r.target = target })
	}
}

// forwardPromotion passes a promotion call on to the group that it names.
func (s *soak) forwardPromotion(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var call struct {
		Service string `json:"service"`
	}
	_ = json.Unmarshal(body, &call) // the group refuses malformed calls
	r.Body = io.NopCloser(bytes.NewReader(body))
	for _, g := range s.groups {
		if g.Name == call.Service {
			g.ServeHTTP(w, r)
			return
		}
	}
	http.Error(w, "unknown service", http.StatusBadRequest)
}

// versionDatabase names the database that a version of the configuration adds. The
// second version after it no longer has it.
func versionDatabase(version int) string { return fmt.Sprintf("version-%d", version) }

// putConfiguration puts the next version of the configuration into the store.
func (s *soak) putConfiguration() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var routes []map[string]any
	route := func(host, service, kind string, priority, staleness int) {
		routes = append(routes, map[string]any{
			"name": host, "host": host, "service": service, "type": kind, "priority": priority,
			"timeout_ms": 1000, "goal_ms": 200, "max_staleness_ms": staleness,
		})
		if s.isPublic(service, strings.TrimPrefix(host, service+"-")) {
			routes[len(routes)-1]["public"] = true
		}
	}
	var services []map[string]any
	for _, g := range s.groups {
		route(g.Name+"-orders", g.Name, "primary", 0, 0)
		route(g.Name+"-stock", g.Name, "read_your_writes", 1, int(stockStaleness.Milliseconds()))
		route(g.Name+"-browse", g.Name, "bounded", 2, int(browseStaleness.Milliseconds()))
		services = append(services, map[string]any{"name": g.Name, "max_conns": 40, "sync_replicas": 1})
	}
	route(versionDatabase(s.version-1), s.groups[0].Name, "primary", 0, 0)
	route(versionDatabase(s.version), s.groups[0].Name, "primary", 0, 0)
	configuration := map[string]any{
		"version": s.version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 3000},
	}
	if s.organisations != nil {
		configuration["tenants"] = s.organisations.tenants()
	}
	s.store.Put("op", "config", configuration)
	s.configuredAt = time.Now()
	return s.version
}

func (s *soak) seedAddresses() string {
	var list []string
	for _, e := range s.edges[:min(3, len(s.edges))] {
		list = append(list, e.peerRelay.address())
	}
	return strings.Join(list, ",")
}

// randomEdgeInRotation picks a process in rotation, or any one if there is none.
func (s *soak) randomEdgeInRotation(r *rand.Rand) *soakEdge {
	first := r.IntN(len(s.edges))
	for i := range s.edges {
		if e := s.edges[(first+i)%len(s.edges)]; e.inRotation.Load() {
			return e
		}
	}
	return s.edges[first]
}

// stop kills the processes of this run and, if it has failed, keeps their logs in the
// directory that soakKeepEnv names.
func (s *soak) stop() {
	s.stopping.Store(true)
	for _, e := range s.edges {
		ended := e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		<-ended
	}
	keep := os.Getenv(soakKeepEnv)
	if !s.t.Failed() || keep == "" {
		return
	}
	target := filepath.Join(keep, fmt.Sprintf("seed-%d-%d", s.seed, time.Now().Unix()))
	if err := os.CopyFS(target, os.DirFS(s.dir)); err != nil {
		s.t.Logf("copy logs: %v", err)
	}
}
