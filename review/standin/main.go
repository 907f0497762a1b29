//go:build review

// Command standin plays the platform, one database group and its callers for the scripts
// of the review. It writes the settings files of two processes, waits until both are
// ready, runs the scenario and checks the rule.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the scenario could
// not run.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	service  = "orders"
	database = "shop"
	// drainTime is drain_ms of the site, the time after which a leaving server must get
	// no more requests.
	drainTime = 7 * time.Second
	// endTime is when the leaving server ends, a little after drainTime.
	endTime      = 10 * time.Second
	readyTimeout = 30 * time.Second
	callerPause  = 25 * time.Millisecond
	callTimeout  = 2 * time.Second
	callers      = 8
)

func main() {
	dir := flag.String("dir", "", "directory of the settings files")
	recordPath := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "leave an odd entry among those of the servers")
	flag.Parse()
	status, err := run(*dir, *recordPath, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

func run(dir, recordPath string, trouble bool) (int, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return 2, err
	}
	defer func() { _ = file.Close() }()
	s := &scenario{start: time.Now(), file: file}
	if err := s.deploy(dir); err != nil {
		return 2, err
	}
	defer s.group.Close()
	if err := s.awaitReady(); err != nil {
		return 2, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { s.call(i, stop) })
	}
	time.Sleep(4 * time.Second)
	if s.succeeded() == 0 {
		return 2, fmt.Errorf("no request succeeded before the scenario began")
	}
	if trouble {
		if err := s.leaveOddEntry(); err != nil {
			return 2, err
		}
	}
	time.Sleep(3 * time.Second)
	leaving := s.group.Primary()
	s.group.Drain(leaving)
	drained := time.Now()
	s.logf("server %s is draining, acknowledged by the store", leaving)
	time.Sleep(endTime)
	s.group.Kill(leaving)
	s.logf("server %s has ended", leaving)
	before := s.succeeded()
	time.Sleep(4 * time.Second)
	after := s.succeeded() - before
	close(stop)
	running.Wait()
	late := s.lateArrivals(leaving, drained)
	promotions, _ := s.group.Promotions()
	s.logf("%d promotions; %d requests reached %s later than %v after it was draining; %d requests succeeded in the last 4 s",
		promotions, late, leaving, drainTime, after)
	fmt.Printf("late arrivals: %d, promotions: %d, successes in the last 4 s: %d\n", late, promotions, after)
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}

// arrival is a request of a caller that reached a server.
type arrival struct {
	server, id string
	at         time.Time
}

// scenario is the deployment and what was seen of it.
type scenario struct {
	start time.Time
	store *userplatform.Store
	group *userplatform.Group
	// fronts and ready are the addresses of the processes.
	fronts, ready []string

	mu        sync.Mutex
	file      *os.File
	arrivals  []arrival
	successes int
}

func (s *scenario) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.file, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scenario) succeeded() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successes
}

// deploy starts the stand-ins and writes a settings file for each process.
func (s *scenario) deploy(dir string) error {
	s.store = userplatform.NewStore()
	var err error
	if s.group, err = userplatform.NewGroup(service, 3, s.store); err != nil {
		return err
	}
	for _, id := range s.group.ServerIDs() {
		relay, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.group.Advertise(id, func(target string) string {
			go s.relay(relay, id, target)
			return relay.Addr().String()
		})
	}
	s.store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": database, "host": database, "type": "primary", "timeout_ms": 800, "goal_ms": 100, "priority": 0, "service": service,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 32, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 2000},
	})
	storeAddress, err := serveHTTP(s.store)
	if err != nil {
		return err
	}
	cloudAddress, err := serveHTTP(s.group)
	if err != nil {
		return err
	}
	return s.writeSettings(dir, storeAddress, cloudAddress)
}

func serveHTTP(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // the callers are the processes under test
	return listener.Addr().String(), nil
}

// writeSettings writes the settings of two processes, each at its own loopback address.
func (s *scenario) writeSettings(dir, storeAddress, cloudAddress string) error {
	ips := []string{fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&255, os.Getpid()&255), fmt.Sprintf("127.78.%d.%d", os.Getpid()>>8&255, os.Getpid()&255)}
	for i, ip := range ips {
		s.fronts, s.ready = append(s.fronts, ip+":8784"), append(s.ready, ip+":8785")
		lines := []string{
			fmt.Sprintf("node=front-%d", i), "role=edge", "class=front", "serves=front,control", "ip=" + ip, "zone=z1", "region=r1", "zones.z1=r1",
			"listen.front=" + ip + ":8784", "listen.ready=" + ip + ":8785", "listen.control=" + ip + ":8782", "port_range=7440,7455",
			"seeds=" + ips[0] + ":8782," + ips[1] + ":8782", "bootstrap=true", "limits.ram_mb=284", "limits.max_fds=4300",
			"heartbeat_ms=1200", "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.fencing=false",
			"platform.addr=" + storeAddress, "platform.form=table", "cloud.addr=" + cloudAddress, "cloud.duties=promotion",
		}
		path := filepath.Join(dir, fmt.Sprintf("front-%d.conf", i))
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "deployed"), nil, 0o600)
}

func (s *scenario) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, address := range s.ready {
		for {
			answer, err := http.Get("http://" + address + "/ready")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.Join(fmt.Errorf("%s is not ready", address), err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// leaveOddEntry writes an entry as another writer may leave it: the fields version,
// cold_left_ms and seq are missing. Nothing listens at its address.
func (s *scenario) leaveOddEntry() error {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	_ = unused.Close()
	s.store.Put("servers", "i-00000000", map[string]any{
		"service": service, "addr": unused.Addr().String(), "zone": "z1", "slots": 2, "state": "ready", "db_role": "replica",
		"born": time.Now().UnixMilli(),
	})
	s.logf("another writer leaves the entry i-00000000 without version, cold_left_ms and seq")
	return nil
}

// relay passes connections on to a server and records the callers' requests.
func (s *scenario) relay(listener net.Listener, server, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.relayConn(conn, server, target)
	}
}

func (s *scenario) relayConn(conn net.Conn, server, target string) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go func() {
		defer func() { _ = conn.Close() }()
		buf := make([]byte, 16<<10)
		for {
			n, err := upstream.Read(buf)
			if n > 0 {
				_, _ = conn.Write(buf[:n])
			}
			if err != nil {
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if fields := strings.Fields(line); len(fields) > 2 && fields[0] == "QUERY" && fields[1] != "-" {
			s.mu.Lock()
			s.arrivals = append(s.arrivals, arrival{server, fields[1], time.Now()})
			s.mu.Unlock()
			s.logf("request %s reaches %s: %s", fields[1], server, strings.Join(fields[2:], " "))
		}
		if _, err := upstream.Write([]byte(line)); err != nil {
			return
		}
	}
}

// lateArrivals counts the requests that reached a server later than drainTime after it
// was draining. All requests are single statements.
func (s *scenario) lateArrivals(server string, drained time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, a := range s.arrivals {
		if a.server == server && a.at.Sub(drained) > drainTime {
			late++
		}
	}
	return late
}

// call runs single reads and writes through one process, each on a connection that is
// kept while it works.
func (s *scenario) call(caller int, stop <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(callerPause):
		}
		if conn == nil {
			if conn, reader = s.connect(s.fronts[caller%len(s.fronts)]); conn == nil {
				continue
			}
		}
		id, text := fmt.Sprintf("c%dr%d", caller, n), fmt.Sprintf("WRITE item%d value%d", caller, n)
		if n%2 == 1 {
			text = fmt.Sprintf("READ item%d", caller)
		}
		answer, err := exchange(conn, reader, "QUERY "+id+" "+text)
		s.logf("request %s (%s) is answered %q, error %v", id, text, answer, err)
		if err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		if strings.Contains(answer, "COMPLETE") {
			s.mu.Lock()
			s.successes++
			s.mu.Unlock()
		}
	}
}

func (s *scenario) connect(address string) (net.Conn, *bufio.Reader) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, nil
	}
	reader := bufio.NewReader(conn)
	if answer, err := exchange(conn, reader, "STARTUP "+database+" review"); err != nil || !strings.HasPrefix(answer, "READY I") {
		_ = conn.Close()
		return nil, nil
	}
	return conn, reader
}

// exchange sends a line and returns the answer up to READY, its lines joined by "|".
func exchange(conn net.Conn, reader *bufio.Reader, line string) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintf(conn, "%s\r\n", line); err != nil {
		return "", err
	}
	var answer []string
	for {
		next, err := reader.ReadString('\n')
		if err != nil {
			return strings.Join(answer, "|"), err
		}
		answer = append(answer, strings.TrimSpace(next))
		if strings.HasPrefix(next, "READY") || strings.HasPrefix(next, "ERROR NODB") {
			return strings.Join(answer, "|"), nil
		}
	}
}
