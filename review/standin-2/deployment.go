//go:build review

package main

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
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// programEnv names the program that the deploy file builds, repositoryEnv the directory
	// in which it is started.
	programEnv    = "RATTAN_EDGE"
	repositoryEnv = "RATTAN_REPOSITORY"
	// ramMB and maxDescriptors are those of the machines of pmc-quito.
	ramMB          = 284
	maxDescriptors = 4300
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
	sampleEvery  = 10 * time.Millisecond
	startTimeout = 20 * time.Second
	callTimeout  = 20 * time.Second

	database  = "shop"
	groupName = "orders"
)

// deployment is a store, a database group and some rattan-edge processes.
type deployment struct {
	record   *record
	group    *userplatform.Group
	machines []*machine
	closers  []func()
}

// start starts the stand-ins and the given number of machines.
func (d *deployment) start(machines int) error {
	store := userplatform.NewStore()
	group, err := userplatform.NewGroup(groupName, 3, store)
	if err != nil {
		return err
	}
	d.group = group
	storeServer, cloud := httptest.NewServer(store), httptest.NewServer(group)
	d.closers = append(d.closers, group.Close, func() { storeServer.CloseClientConnections(); storeServer.Close(); cloud.Close() })
	store.Put("op", "config", map[string]any{
		"version": 1, "limits": map[string]any{"tx_idle_ms": 4000},
		"routes": []map[string]any{{
			"name": database, "host": database, "type": "primary", "timeout_ms": 5000, "goal_ms": 1000, "priority": 0, "service": groupName,
		}},
		"services": []map[string]any{{"name": groupName, "max_conns": 16, "sync_replicas": 1}},
	})
	var seeds []string
	for range machines {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		seeds = append(seeds, address)
	}
	for i := range machines {
		m, err := d.newMachine(fmt.Sprintf("front-%d", i+1), seeds[i], strings.Join(seeds, ","),
			storeServer.Listener.Addr().String(), cloud.Listener.Addr().String())
		if err != nil {
			return err
		}
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		if err := m.awaitService(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends everything that was started.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.end()
	}
	for _, closeIt := range d.closers {
		closeIt()
	}
}

// Ports from firstPort to lastPort are below the ephemeral range, so that no outgoing
// connection takes a port between its choice and the start of the process.
const (
	firstPort = 20100
	lastPort  = 32000
)

var nextPort = os.Getpid() * 61

// freeAddress returns a loopback address with a free port. It is not safe for concurrent use.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%(lastPort-firstPort)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// machine is an entry VM. Like the platform, it kills its process above the memory of the
// VM, and starts it again after a short delay.
type machine struct {
	record         *record
	name           string
	callers, ready string
	settings, log  string

	mu       sync.Mutex
	process  *os.Process
	stopping bool
	// peakMB is the highest resident memory, and kills counts the kills for it.
	peakMB, kills int
	done          chan struct{}
}

func (d *deployment) newMachine(name, peers, seeds, store, cloud string) (*machine, error) {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	m := &machine{record: d.record, name: name, settings: filepath.Join(dir, "local.conf"), log: filepath.Join(dir, "log"), done: make(chan struct{})}
	metrics := ""
	for _, address := range []*string{&m.callers, &m.ready, &metrics} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	_, port, _ := net.SplitHostPort(metrics)
	lines := []string{
		"node=" + name, "role=edge", "class=front", "serves=front,control", "ip=127.0.0.1", "zone=z1", "region=r1", "zones.z1=r1",
		"listen.front=" + m.callers, "listen.ready=" + m.ready, "listen.control=" + peers, "port_range=" + port + "," + port,
		"seeds=" + seeds, "bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.4", "limits.cores=1",
		fmt.Sprintf("limits.ram_mb=%d", ramMB), fmt.Sprintf("limits.max_fds=%d", maxDescriptors), "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,platform",
		"bounds.seed_lag_s=3", "bounds.stable_window_ms=4000", "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.lost_slack_ms=200",
		"bounds.config_apply_ms=3000", "bounds.downgrade_ms=250", "bounds.fencing=false", "platform.addr=" + store, "cloud.addr=" + cloud,
	}
	if err := os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	if err := m.startProcess(port); err != nil {
		return nil, err
	}
	return m, nil
}

// startProcess starts the process with the command of the deploy file, and again whenever it
// has ended.
func (m *machine) startProcess(metricsPort string) error {
	log, err := os.Create(m.log)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Getenv(programEnv), "--metrics-port", metricsPort)
	cmd.Dir, cmd.Stdout, cmd.Stderr = os.Getenv(repositoryEnv), log, log
	cmd.Env = append(os.Environ(), "RATTANCOVE_BOOT="+m.settings)
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.process = cmd.Process
	m.mu.Unlock()
	m.record.writef("%s: process %d started", m.name, cmd.Process.Pid)
	ended := make(chan struct{})
	go m.limitMemory(cmd.Process, ended)
	go func() {
		_ = cmd.Wait()
		close(ended)
		_ = log.Close()
		m.record.writef("%s: process %d ended: %v", m.name, cmd.Process.Pid, cmd.ProcessState)
		time.Sleep(restartDelay)
		m.mu.Lock()
		stopping := m.stopping
		m.mu.Unlock()
		if stopping || m.startProcess(metricsPort) != nil {
			close(m.done)
		}
	}()
	return nil
}

// limitMemory kills a process whose resident memory exceeds that of the VM.
func (m *machine) limitMemory(p *os.Process, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(sampleEvery):
		}
		resident := residentMB(p.Pid)
		m.mu.Lock()
		m.peakMB = max(m.peakMB, resident)
		m.mu.Unlock()
		if resident <= ramMB {
			continue
		}
		m.mu.Lock()
		m.kills++
		m.mu.Unlock()
		m.record.writef("%s: %d MB resident, the limit is %d: the platform kills process %d", m.name, resident, ramMB, p.Pid)
		_ = p.Kill()
		<-ended
		return
	}
}

// residentMB returns the resident memory of a process in MiB; zero if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib >> 10
		}
	}
	return 0
}

func (m *machine) memory() (peakMB, kills int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakMB, m.kills
}

// end ends the process for good.
func (m *machine) end() {
	m.mu.Lock()
	m.stopping = true
	p := m.process
	m.mu.Unlock()
	if p != nil {
		_ = p.Kill()
		<-m.done
	}
}

// awaitService waits until the machine is ready and answers a read.
func (m *machine) awaitService() error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := m.serveOnce()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// serveOnce asks whether the machine is ready, and reads an item through it.
func (m *machine) serveOnce() error {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready: %s", m.name, response.Status)
	}
	c, err := m.connect("u1")
	if err != nil {
		return err
	}
	defer c.close()
	answer, err := c.ask("5c0e7a21d94b36f8", "READ 1a4")
	if err == nil && !strings.HasPrefix(answer[0], "DATAROW") {
		err = fmt.Errorf("%s answers %.80q", m.name, answer)
	}
	return err
}

// client is a session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a session.
func (m *machine) connect(user string) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.callers, callTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	answer, err := c.exchange("STARTUP " + database + " " + user)
	if err == nil && !strings.HasPrefix(answer[0], "READY I") {
		err = fmt.Errorf("start-up: %.80q", answer)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// ask sends a statement and returns the messages of the answer.
func (c *client) ask(id, text string) ([]string, error) {
	return c.exchange("QUERY " + id + " " + text)
}

// exchange sends a message and returns those up to READY.
func (c *client) exchange(message string) ([]string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c.conn, message+"\r\n"); err != nil {
		return nil, err
	}
	var answer []string
	for {
		line, err := userplatform.ReadMessage(c.reader)
		if err != nil {
			return answer, fmt.Errorf("no complete answer after %.80q: %w", answer, err)
		}
		answer = append(answer, line)
		if strings.HasPrefix(line, "READY") {
			return answer, nil
		}
	}
}
