package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

// waitTimeout bounds each wait of these tests. No test asserts on elapsed time.
const waitTimeout = time.Minute

// deployment is a store, a database group and some processes on loopback.
type deployment struct {
	t               *testing.T
	store           *userplatform.Store
	group           *userplatform.Group
	storeURL        string
	cloudURL        string
	callerAddresses []string
	readyAddresses  []string
	settingsPaths   []string
	log             zerolog.Logger
	// settings holds additional lines of the settings, tenants the organisations of the
	// configuration; nil if there are none. The route to publicDatabase is public.
	settings []string
	tenants  []map[string]any
	// stop asks the process that was started last to stop.
	stop func()
}

// publicDatabase needs no key.
const publicDatabase = "board"

func deploy(t *testing.T, processes int) *deployment {
	t.Helper()
	d := &deployment{t: t, log: zerolog.Nop()}
	d.deploy(processes, "shop")
	return d
}

// deploy starts the stand-ins and the processes.
func (d *deployment) deploy(processes int, databases ...string) {
	t := d.t
	t.Helper()
	d.store = userplatform.NewStore()
	var err error
	if d.group, err = userplatform.NewGroup("orders", 3, d.store); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.group.Close)
	store, cloud := httptest.NewServer(d.store), httptest.NewServer(d.group)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close(); cloud.Close() })
	d.storeURL, d.cloudURL = store.Listener.Addr().String(), cloud.Listener.Addr().String()
	d.configure(1, databases...)
	peers := addresses(t, processes)
	for i := range processes {
		d.start(i, peers)
	}
}

// configure stores a configuration with a route for each of the given databases.
func (d *deployment) configure(version int, databases ...string) {
	var routes []map[string]any
	for _, name := range databases {
		routes = append(routes, map[string]any{
			"name": name, "host": name, "type": "primary", "timeout_ms": 20000, "goal_ms": 100, "priority": 0, "service": "orders",
			"public": name == publicDatabase,
		})
	}
	configuration := map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"tx_idle_ms": 20000},
		"services": []map[string]any{{"name": "orders", "max_conns": 32, "sync_replicas": 1}},
	}
	if d.tenants != nil {
		configuration["tenants"] = d.tenants
	}
	d.store.Put("op", "config", configuration)
}

// addresses returns free loopback addresses.
func addresses(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, l.Addr().String())
		defer func() { _ = l.Close() }()
	}
	return list
}

// start runs a rattan-edge inside the test process, as main does.
func (d *deployment) start(i int, peers []string) {
	d.t.Helper()
	own := addresses(d.t, 3)
	_, port, _ := net.SplitHostPort(own[2])
	path := filepath.Join(d.t.TempDir(), "local.conf")
	lines := []string{
		fmt.Sprintf("node=front-%d", i), "zone=z1", "ip=127.0.0.1", "listen.front=" + own[0], "listen.ready=" + own[1],
		"listen.control=" + peers[i], "port_range=" + port + "," + port, "seeds=" + strings.Join(peers, ","),
		"limits.ram_mb=512", "limits.max_fds=4096", "heartbeat_ms=1000", "bounds.grace_s=6",
		"platform.addr=" + d.storeURL, "cloud.addr=" + d.cloudURL,
	}
	lines = append(lines, d.settings...)
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		d.t.Fatal(err)
	}
	file, err := readSettings(path)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	done := make(chan error, 1)
	go func() { done <- serve(ctx, file, d.log) }()
	d.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			d.t.Errorf("process %d ended with %v", i, err)
		}
	})
	d.callerAddresses, d.readyAddresses, d.settingsPaths = append(d.callerAddresses, own[0]), append(d.readyAddresses, own[1]), append(d.settingsPaths, path)
}

// awaitReady waits until the readiness of a process is as wanted.
func (d *deployment) awaitReady(i int, want bool) {
	d.t.Helper()
	d.eventually("readiness", func() error {
		answer, err := http.Get("http://" + d.readyAddresses[i] + "/ready")
		if err != nil {
			return err
		}
		_ = answer.Body.Close()
		if ready := answer.StatusCode == http.StatusOK; ready != want {
			return fmt.Errorf("ready is %v", ready)
		}
		return nil
	})
}

// eventually retries f until it succeeds.
func (d *deployment) eventually(what string, f func() error) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// caller is a client session with one process.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (d *deployment) connect(i int, database string) (*caller, error) {
	return d.connectWith(i, database, "test")
}

func (d *deployment) connectWith(i int, database, key string) (*caller, error) {
	conn, err := net.Dial("tcp", d.callerAddresses[i])
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	answer, err := c.send("STARTUP " + database + " " + key)
	if err == nil && !strings.HasPrefix(answer, "READY I") {
		err = fmt.Errorf("start-up: %s", answer)
	}
	if err != nil {
		_ = conn.Close()
	}
	return c, err
}

// send sends a line and returns the lines of the answer up to READY, joined by "|".
func (c *caller) send(line string) (string, error) {
	if _, err := fmt.Fprint(c.conn, line+"\r\n"); err != nil {
		return "", err
	}
	var answer []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return strings.Join(answer, "|"), err
		}
		answer = append(answer, strings.TrimSpace(line))
		if strings.HasPrefix(line, "READY") || strings.HasPrefix(line, "ERROR NODB") {
			return strings.Join(answer, "|"), nil
		}
	}
}

// runStatements runs statements in a new session until one fails.
func (d *deployment) runStatements(i int, texts ...string) (last string, err error) {
	c, err := d.connect(i, "shop")
	if err != nil {
		return "", err
	}
	defer func() { _ = c.conn.Close() }()
	for n, text := range texts {
		last, err = c.send(fmt.Sprintf("QUERY q%d %s", n, text))
		if err == nil && strings.Contains(last, "ERROR") {
			err = fmt.Errorf("%s: %s", text, last)
		}
		if err != nil {
			return last, err
		}
	}
	return last, nil
}

func (d *deployment) mustRead(i int, item, want string) {
	d.t.Helper()
	d.eventually("read "+item, func() error {
		answer, err := d.runStatements(i, "READ "+item)
		answered := func(r userplatform.Run) bool {
			return r.Text == "READ "+item && strings.HasPrefix(answer, "DATAROW "+want+"|COMPLETE "+r.Signature+"|")
		}
		if err == nil && !slices.ContainsFunc(d.group.Runs(), answered) {
			d.t.Fatalf("read %s: %s, want %s", item, answer, want)
		}
		return err
	})
}

// TestDeploymentServesThroughFailures writes through one process and reads through
// another while the configuration changes, the primary fails and the store is down.
func TestDeploymentServesThroughFailures(t *testing.T) {
	d := deploy(t, 2)
	d.awaitReady(0, true)
	d.awaitReady(1, true)
	d.eventually("first order", func() error { _, err := d.runStatements(0, "WRITE crate one"); return err })
	d.mustRead(1, "crate", "one")

	answer, err := d.runStatements(1, "SET colour green", "PARSE p WRITE shape", "BEGIN", "READ crate", "EXECUTE p crate two", "COMMIT")
	if err != nil || !strings.HasSuffix(answer, "READY I -") {
		t.Fatalf("transaction: %s %v", answer, err)
	}
	d.mustRead(0, "crate", "two")

	d.store.DropHistory()
	d.configure(5, "shop", "depot")
	d.eventually("a new route", func() error { _, err := d.connect(0, "depot"); return err })
	if _, err := d.connect(1, "unknown"); err == nil || !strings.Contains(err.Error(), "NODB") {
		t.Errorf("unknown database: %v", err)
	}

	dead := d.group.Primary()
	d.group.Kill(dead)
	d.eventually("an order after the primary died", func() error { _, err := d.runStatements(0, "WRITE crate three"); return err })
	d.mustRead(1, "crate", "three")

	d.store.SetDown(true)
	if _, err := d.runStatements(0, "WRITE crate four"); err != nil {
		t.Errorf("an order while the store is down: %v", err)
	}
	d.mustRead(1, "crate", "four")
	d.store.SetDown(false)

	promotions, tokens := d.group.Promotions()
	if promotions != 1 || d.group.Primary() == dead {
		t.Errorf("%d promotions with tokens %v, primary %s", promotions, tokens, d.group.Primary())
	}
}

// TestLeavingPrimaryIsReplaced checks that a draining primary is replaced without
// losing acknowledged writes.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	d := deploy(t, 1)
	d.awaitReady(0, true)
	d.eventually("first order", func() error { _, err := d.runStatements(0, "WRITE crate one"); return err })
	old := d.group.Primary()
	d.group.Drain(old)
	d.eventually("another primary", func() error {
		if p := d.group.Primary(); p == old || p == "" {
			return fmt.Errorf("primary %q", p)
		}
		return nil
	})
	d.mustRead(0, "crate", "one")
	d.eventually("an order at the new primary", func() error { _, err := d.runStatements(0, "WRITE crate two"); return err })
	d.mustRead(0, "crate", "two")
}

// TestProcessIsNotReadyWithoutAConfiguration starts a process while the store is down.
func TestProcessIsNotReadyWithoutAConfiguration(t *testing.T) {
	d := &deployment{t: t, store: userplatform.NewStore(), log: zerolog.Nop()}
	var err error
	if d.group, err = userplatform.NewGroup("orders", 3, d.store); err != nil {
		t.Fatal(err)
	}
	defer d.group.Close()
	store, cloud := httptest.NewServer(d.store), httptest.NewServer(d.group)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close(); cloud.Close() })
	d.storeURL, d.cloudURL = store.Listener.Addr().String(), cloud.Listener.Addr().String()
	d.store.SetDown(true)
	d.start(0, addresses(t, 1))
	d.awaitReady(0, false)
	d.configure(3, "shop")
	d.store.SetDown(false)
	d.awaitReady(0, true)
	d.eventually("an order", func() error { _, err := d.runStatements(0, "WRITE crate one"); return err })
}
