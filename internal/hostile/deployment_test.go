package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// enableEnv names the environment variable that must be set to run the tests of this
	// package, which must not run beside other load.
	enableEnv = "RATTAN_HOSTILE"
	// ramMB and maxDescriptors are the limits in the settings of the processes, and so the
	// bounds that the tests check. They are below those of any VM (184 MB, 4,300
	// descriptors), so that a small crowd reaches them.
	ramMB          = 128
	maxDescriptors = 256
	// waitTimeout bounds each wait. No test asserts on elapsed time.
	waitTimeout = time.Minute
	// samplePeriod is the interval at which the descriptors of a process are counted.
	samplePeriod = 20 * time.Millisecond
	database     = "shop"
)

// home and entry are the indices of the two processes. The placement of the group makes
// the first one its home, so requests that enter at the second pass through both.
const (
	home = iota
	entry
	processCount
)

// deployment is a store, a database group and two rattan-edge processes on loopback.
type deployment struct {
	t         *testing.T
	group     *userplatform.Group
	processes [processCount]*process
}

// deploy starts a deployment and waits until it serves.
func deploy(t *testing.T) *deployment {
	t.Helper()
	if os.Getenv(enableEnv) == "" {
		t.Skipf("%s is not set: the test must run apart from other load", enableEnv)
	}
	program := filepath.Join(t.TempDir(), "rattan-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/rattan-edge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	store := userplatform.NewStore()
	group, err := userplatform.NewGroup("orders", 3, store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	storeServer, cloud := httptest.NewServer(store), httptest.NewServer(group)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close(); cloud.Close() })
	store.Put("op", "config", map[string]any{
		"version": 1, "limits": map[string]any{"tx_idle_ms": 20000},
		"routes": []map[string]any{{
			"name": database, "host": database, "type": "primary", "timeout_ms": 5000, "goal_ms": 1000, "priority": 0, "service": "orders",
		}},
		"services": []map[string]any{{"name": "orders", "max_conns": 32, "sync_replicas": 1}},
	})
	d := &deployment{t: t, group: group}
	seeds := []string{freeAddress(t), freeAddress(t)}
	for i := range d.processes {
		d.processes[i] = startProcess(t, program, fmt.Sprintf("front-%d", i), seeds[i], strings.Join(seeds, ","),
			storeServer.Listener.Addr().String(), cloud.Listener.Addr().String())
	}
	d.serveOrdinary("before the crowd")
	return d
}

// Ports from firstPort to lastPort are below the ephemeral range, so that no outgoing
// connection takes a port between its choice and the start of the process.
const (
	firstPort = 20100
	lastPort  = 32000
)

var nextPort atomic.Int32

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + (os.Getpid()%64*128+int(nextPort.Add(1)))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
}

// process is a running rattan-edge.
type process struct {
	name                           string
	callers, ready, peers, metrics string
	cmd                            *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}

	mu              sync.Mutex
	peakDescriptors int
}

func startProcess(t *testing.T, program, name, peers, seeds, store, cloud string) *process {
	t.Helper()
	p := &process{name: name, callers: freeAddress(t), ready: freeAddress(t), peers: peers, metrics: freeAddress(t), ended: make(chan struct{})}
	_, port, _ := net.SplitHostPort(p.metrics)
	dir := t.TempDir()
	settings := filepath.Join(dir, "local.conf")
	lines := []string{
		"node=" + name, "zone=z1", "ip=127.0.0.1", "listen.front=" + p.callers, "listen.ready=" + p.ready,
		"listen.control=" + peers, "port_range=" + port + "," + port, "seeds=" + seeds,
		fmt.Sprintf("limits.ram_mb=%d", ramMB), fmt.Sprintf("limits.max_fds=%d", maxDescriptors),
		"heartbeat_ms=1000", "bounds.grace_s=6", "platform.addr=" + store, "cloud.addr=" + cloud,
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program, "--settings", settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	go p.sampleDescriptors()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		_ = log.Close()
		if data, _ := os.ReadFile(log.Name()); t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, data[max(0, len(data)-2000):])
		}
	})
	return p
}

// sampleDescriptors records the highest number of open descriptors until the process ends.
func (p *process) sampleDescriptors() {
	for {
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.mu.Lock()
		p.peakDescriptors = max(p.peakDescriptors, len(open))
		p.mu.Unlock()
		select {
		case <-p.ended:
			return
		case <-time.After(samplePeriod):
		}
	}
}

// peakResidentMB returns the highest resident memory of the process since its start, as
// the kernel counts it.
func (p *process) peakResidentMB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kib >> 10
		}
	}
	t.Fatalf("%s has no peak of resident memory", p.name)
	return 0
}

// check fails the test if a process has ended, has exceeded a limit of its settings, or
// answers no ordinary request.
func (d *deployment) check() {
	d.t.Helper()
	d.serveOrdinary("after the crowd")
	for _, p := range d.processes {
		select {
		case <-p.ended:
			d.t.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
			continue
		default:
		}
		resident := p.peakResidentMB(d.t)
		p.mu.Lock()
		descriptors := p.peakDescriptors
		p.mu.Unlock()
		d.t.Logf("%s: at most %d MB resident and %d descriptors", p.name, resident, descriptors)
		if resident > ramMB {
			d.t.Errorf("%s: %d MB resident, limit %d", p.name, resident, ramMB)
		}
		if descriptors > maxDescriptors {
			d.t.Errorf("%s: %d descriptors, limit %d", p.name, descriptors, maxDescriptors)
		}
	}
}

// serveOrdinary waits until each process has answered an ordinary request of a caller and a
// readiness check.
func (d *deployment) serveOrdinary(when string) {
	d.t.Helper()
	d.group.SetExtraRows(func(int) []string { return nil })
	for _, p := range d.processes {
		deadline := time.Now().Add(waitTimeout)
		for err := p.serveOrdinary(); err != nil; err = p.serveOrdinary() {
			if time.Now().After(deadline) {
				d.t.Errorf("%s serves no ordinary request %s: %v", p.name, when, err)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (p *process) serveOrdinary() error {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ready + "/ready")
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("not ready: %s", response.Status)
	}
	c, err := connect(p.callers)
	if err != nil {
		return err
	}
	defer func() { _ = c.conn.Close() }()
	answer, err := c.ask("QUERY ordinary READ crate")
	if err == nil && !strings.HasPrefix(answer, "DATAROW") {
		err = fmt.Errorf("answer %.80q", answer)
	}
	return err
}

// client is a caller's session.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection that a deadline ends.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(waitTimeout))
}

// connect opens a session.
func connect(address string) (*client, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	answer, err := c.ask("STARTUP " + database + " ordinary")
	if err == nil && !strings.HasPrefix(answer, "READY I") {
		err = fmt.Errorf("start-up: %.80q", answer)
	}
	if err != nil {
		_ = conn.Close()
	}
	return c, err
}

// ask sends a message and returns the first line of the answer, which it reads up to the
// READY message, or to the refusal of a session.
func (c *client) ask(message string) (string, error) {
	if _, err := io.WriteString(c.conn, message+"\r\n"); err != nil {
		return "", err
	}
	first := ""
	for {
		line, err := userplatform.ReadMessage(c.reader)
		if err != nil {
			return first, err
		}
		if first == "" {
			first = line
		}
		if strings.HasPrefix(line, "READY") {
			return first, nil
		}
	}
}
