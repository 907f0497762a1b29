package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/tlskeys/tlstest"
)

const (
	proxyCount  = 3
	wardenCount = 2
	// groupServers is the number of servers of a group.
	groupServers = 3
	environment  = "cotopaxi"
	// waitTimeout bounds every wait for a condition or the end of a process.
	waitTimeout  = time.Minute
	pollInterval = 50 * time.Millisecond
	// defaultLag is the replay lag of replicas.
	defaultLag = 20 * time.Millisecond
)

// Ports are below the ephemeral range, so that no outgoing connection takes the
// port of a server that is being restarted. A test process starts at the block of
// its process id.
const (
	firstPort     = 12000
	portBlocks    = 80
	portsPerBlock = 100
)

// fleet is a deployment of real processes. Its methods fail the test on errors.
type fleet struct {
	t   *testing.T
	dir string
	ca  *tlstest.Authority

	tableAddress, objectsAddress, vmsAddress string
	callerAddresses, adminAddresses          [proxyCount]string
	wardenAdminAddresses                     [wardenCount]string
	// peerAddresses and serverAddresses are the advertised addresses, which are those
	// of the relays if there are any; peerListenAddresses and serverListenAddresses
	// are the ones that the processes listen on.
	peerAddresses, peerListenAddresses     [proxyCount + wardenCount]string
	serverAddresses, serverListenAddresses []string
	// relays holds the relays in front of peers and servers by advertised address;
	// it is empty in a fleet without relays.
	relays map[string]*relay

	// lag is the replay lag of replicas.
	lag time.Duration

	mu        *sync.Mutex
	processes map[string]*exec.Cmd
}

// startFleet builds the programs and starts all processes, with no document in
// force.
func startFleet(t *testing.T, groups int, withRelays bool) *fleet {
	return startFleetWithLag(t, groups, withRelays, defaultLag)
}

// startFleetWithLag is startFleet with the given replay lag of replicas.
func startFleetWithLag(t *testing.T, groups int, withRelays bool, lag time.Duration) *fleet {
	f := &fleet{
		t: t, lag: lag, dir: t.TempDir(), mu: &sync.Mutex{}, processes: map[string]*exec.Cmd{},
		serverListenAddresses: make([]string, groups*groupServers), relays: map[string]*relay{},
	}
	f.ca = tlstest.NewAuthority(t, f.dir)
	build := exec.Command("go", "build", "-o", f.dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(f.stop)
	f.allocatePorts()
	f.startRelays(withRelays)
	f.writeFile("keys.yaml", "keys:\n"+f.createKey("operator", "admin")+f.createKey("works-team", "customer:works"))
	f.spawn("platform", "rattan-standin", "platform", "--table", f.tableAddress, "--objects", f.objectsAddress, "--vms", f.vmsAddress)
	for i := range f.serverAddresses {
		f.startServer(i)
	}
	f.ca.Valid("proxy")
	for i := range proxyCount {
		f.startProxy(i)
	}
	for i := range wardenCount {
		f.writeFile(fmt.Sprintf("warden-%d.yaml", i+1), f.commonSettings(i, f.peerListenAddresses[proxyCount+i], f.peerAddresses[proxyCount+i])+f.adminSettings(f.wardenAdminAddresses[i]))
		name := fmt.Sprintf("warden-%d", i+1)
		f.spawn(name, "rattan-warden", "--settings", filepath.Join(f.dir, name+".yaml"))
	}
	return f
}

// withT returns a copy of the fleet that reports to a parallel subtest.
func (f *fleet) withT(t *testing.T) *fleet {
	c := *f
	c.t = t
	return &c
}

func (f *fleet) allocatePorts() {
	ports := []*string{&f.tableAddress, &f.objectsAddress, &f.vmsAddress}
	for i := range proxyCount {
		ports = append(ports, &f.callerAddresses[i], &f.adminAddresses[i])
	}
	for i := range f.peerListenAddresses {
		ports = append(ports, &f.peerListenAddresses[i])
	}
	for i := range f.wardenAdminAddresses {
		ports = append(ports, &f.wardenAdminAddresses[i])
	}
	for i := range f.serverListenAddresses {
		ports = append(ports, &f.serverListenAddresses[i])
	}
	next := firstPort + os.Getpid()%portBlocks*portsPerBlock
	for _, port := range ports {
		l := f.listenOnFreePort(&next)
		defer l.Close()
		*port = l.Addr().String()
	}
}

// listenOnFreePort listens on the first free port from next on and advances next.
func (f *fleet) listenOnFreePort(next *int) net.Listener {
	for last := firstPort + portBlocks*portsPerBlock; *next < last; {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", *next))
		*next++
		if err == nil {
			return l
		}
	}
	f.t.Fatal("no free port")
	return nil
}

// startRelays sets the advertised addresses of peers and servers: those of relays
// in front of them, or their own.
func (f *fleet) startRelays(withRelays bool) {
	advertised := func(address string) string {
		if !withRelays {
			return address
		}
		r := startRelay(f.t, address)
		f.relays[r.address()] = r
		return r.address()
	}
	for i, address := range f.peerListenAddresses {
		f.peerAddresses[i] = advertised(address)
	}
	for _, address := range f.serverListenAddresses {
		f.serverAddresses = append(f.serverAddresses, advertised(address))
	}
}

// createKey writes an administration key to NAME.key and returns its entry in the
// file of keys.
func (f *fleet) createKey(name, right string) string {
	f.writeFile(name+".key", name+"-secret\n")
	return fmt.Sprintf("  - {name: %s, sha256: %s, rights: [%q]}\n", name, admin.HashKey(name+"-secret"), right)
}

func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// serverID returns the id of server i: orders-1-a, orders-1-b and so on.
func serverID(i int) string {
	return fmt.Sprintf("%s-%c", groupName(i/groupServers), 'a'+i%groupServers)
}

func groupName(group int) string { return fmt.Sprintf("orders-%d", group+1) }

// customerAndUser returns the customer that may use a group, and its database user.
func customerAndUser(group int) (customer, user string) {
	if group%2 == 1 {
		return "works", "stock"
	}
	return "shop", "shop-web"
}

// startServer starts a server, or restarts it with its stored data. It connects to
// the group's first leader without a relay, as the relays are for the traffic of
// proxies and not for replication.
func (f *fleet) startServer(i int) {
	leader := ""
	if first := i - i%groupServers; first < i {
		leader = serverID(first) + "@" + f.serverListenAddresses[first]
	}
	state := filepath.Join(f.dir, serverID(i))
	if err := os.MkdirAll(state, 0o700); err != nil {
		f.t.Fatal(err)
	}
	f.spawn(serverID(i), "rattan-standin", "backend", "--id", serverID(i), "--listen", f.serverListenAddresses[i],
		"--group-leader", leader, "--lag", f.lag.String(), "--log-level", "warn", "--dir", state)
}

func (f *fleet) commonSettings(i int, listen, advertise string) string {
	return fmt.Sprintf(`id: entry-%d
failure_domain: domain-%d
environment: %s
peer: {listen: %q, advertise: %q, seeds: [%q]}
platform:
  table: {address: %q, user: rattancove, database: platform}
  objects: {endpoint: %q, bucket: rattancove}
  vms: {url: "http://%s/vms"}
document: {poll: 1s}
`, i+1, i, environment, listen, advertise, f.peerAddresses[0], f.tableAddress, f.objectsAddress, f.vmsAddress)
}

// adminSettings returns the settings of the administration API's listener.
func (f *fleet) adminSettings(address string) string {
	return fmt.Sprintf("admin: {listen: %q, keys_file: %s, tls: {cert_file: %s, key_file: %s}}\n",
		address, f.dir+"/keys.yaml", f.dir+"/proxy.crt", f.dir+"/proxy.key")
}

func (f *fleet) startProxy(i int) {
	name := fmt.Sprintf("proxy-%d", i+1)
	f.writeFile(name+".yaml", f.commonSettings(i, f.peerListenAddresses[i], f.peerAddresses[i])+f.adminSettings(f.adminAddresses[i])+fmt.Sprintf(`callers: {listen: %q}
drain: {ready_delay: 200ms, timeout: 60s}
`, f.callerAddresses[i]))
	f.spawn(name, "rattan-proxy", "--settings", filepath.Join(f.dir, name+".yaml"))
}

// spawn starts a process that logs to NAME.log in the directory of the settings.
func (f *fleet) spawn(name, program string, args ...string) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.dir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = cmd
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.processes[name].Process.Signal(signal); err != nil {
		f.t.Fatalf("signal %s: %v", name, err)
	}
}

// wait waits for the end of a process and returns its exit error. It kills the
// process after waitTimeout.
func (f *fleet) wait(name string) error {
	f.mu.Lock()
	cmd := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	stop := time.AfterFunc(waitTimeout, func() { _ = cmd.Process.Kill() })
	defer stop.Stop()
	return cmd.Wait()
}

// stop kills the processes that still run and prints the ends of their logs if the
// test has failed.
func (f *fleet) stop() {
	for name, cmd := range f.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
			f.t.Logf("%s:\n%s", name, data[max(0, len(data)-3000):])
		}
	}
}

// rattanctl runs a command against a proxy with the operator's key and returns
// the exit code and the output on stdout and stderr.
func (f *fleet) rattanctl(proxy int, args ...string) (int, string) {
	f.t.Helper()
	return f.rattanctlAs("operator", proxy, args...)
}

func (f *fleet) rattanctlAs(key string, proxy int, args ...string) (int, string) {
	f.t.Helper()
	return f.rattanctlAt(key, f.adminAddresses[proxy], args...)
}

// rattanctlAt runs a command against the administration API at an address.
func (f *fleet) rattanctlAt(key, address string, args ...string) (int, string) {
	f.t.Helper()
	cmd := f.rattanctlCommand(key, address, args...)
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

func (f *fleet) rattanctlCommand(key, server string, args ...string) *exec.Cmd {
	base := []string{
		"--server", "https://" + server, "--ca", filepath.Join(f.dir, "ca.crt"),
		"--key-file", filepath.Join(f.dir, key+".key"), "--timeout", waitTimeout.String(),
	}
	return exec.Command(filepath.Join(f.dir, "rattanctl"), append(base, args...)...)
}

// expectRattanctl runs rattanctl against the first proxy and checks the exit code
// and that the output contains text.
func (f *fleet) expectRattanctl(code int, text string, args ...string) {
	f.t.Helper()
	got, out := f.rattanctl(0, args...)
	if got != code || !strings.Contains(out, text) {
		f.t.Fatalf("rattanctl %v: exit code %d, want %d and %q in:\n%s", args, got, code, text, out)
	}
}

// status returns the status that a proxy reports.
func (f *fleet) status(proxy int) admin.Status {
	f.t.Helper()
	cmd := f.rattanctlCommand("operator", f.adminAddresses[proxy], "--output", "json", "status")
	out, err := cmd.Output()
	var s admin.Status
	if err != nil || json.Unmarshal(out, &s) != nil {
		f.t.Fatalf("status: %v\n%s", err, out)
	}
	return s
}

// eventually polls until a condition holds and fails the test after waitTimeout.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("waited in vain for: %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// documentText returns an environment document with the given size of the urgent
// queue.
func (f *fleet) documentText(urgentQueue int) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "name: %s\ncustomers:\n  - {name: shop, users: [{name: shop-web}]}\n", environment)
	fmt.Fprint(&b, "  - {name: works, users: [{name: stock}]}\ngroups:\n")
	for i, address := range f.serverAddresses {
		if i%groupServers == 0 {
			group := i / groupServers
			customer, _ := customerAndUser(group)
			fmt.Fprintf(&b, "  - name: %s\n    customers: [%s]\n    servers:\n", groupName(group), customer)
		}
		fmt.Fprintf(&b, "      - {id: %s, address: %q, failure_domain: domain-%d, slots: 2, connections: 16}\n",
			serverID(i), address, i%groupServers)
	}
	fmt.Fprintf(&b, `ranks:
  urgent: {floor: 0.5, queue: %d, max_wait: 5s, ack: majority}
  normal: {floor: 0.3, queue: 1000, max_wait: 5s, ack: majority}
  background: {floor: 0.1, queue: 500, max_wait: 10s, ack: majority}
`, urgentQueue)
	return b.String()
}
