//go:build review

// Command oldprimary plays the platform, database groups and their callers for the case in
// which a replaced primary goes on acknowledging writes. Each process reaches the servers
// through relays of its own, so that a primary can be partitioned from some of them.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the scenario could
// not run.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	fronts        = 5
	groups        = 6
	readyTimeout  = 30 * time.Second
	callTimeout   = 2 * time.Second
	callerPause   = 40 * time.Millisecond
	promoteWait   = 15 * time.Second
	cutAfter      = 4 * time.Second
	healTime      = 5 * time.Second
	linkDelay     = 10 * time.Millisecond
	promoteEffect = 10 * time.Millisecond
)

func main() {
	dir := flag.String("dir", "", "directory of the settings files")
	recordPath := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "partition the primary")
	flag.Parse()
	status, err := run(*dir, *recordPath, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

// path is the way from one process to one server.
type path struct{ front, server string }

// sending is the passing of a write on to a server.
type sending struct {
	server string
	at     time.Time
}

type scenario struct {
	start time.Time
	store *userplatform.Store
	// groups holds the groups by name, target the one whose primary is partitioned.
	groups map[string]*userplatform.Group
	ready  []string
	front  []string

	mu     sync.Mutex
	file   *os.File
	relays map[path]string
	listen map[string]string
	cut    map[path]bool
	// homes counts the writes of callers by group and the process that sent them.
	homes map[string]map[string]int
	// sent holds, by the data of a write, where and when it was sent to a server.
	sent      map[string]sending
	succeeded map[string][]string
	// isolateNext is the group in which a server is isolated when its promotion is called.
	isolateNext string
	promoted    chan string
	stopped     atomic.Bool
}

func run(dir, recordPath string, trouble bool) (int, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return 2, err
	}
	defer func() { _ = file.Close() }()
	s := &scenario{
		start: time.Now(), file: file, store: userplatform.NewStore(), groups: map[string]*userplatform.Group{},
		relays: map[path]string{}, listen: map[string]string{}, cut: map[path]bool{}, homes: map[string]map[string]int{},
		sent: map[string]sending{}, succeeded: map[string][]string{}, promoted: make(chan string, 1),
	}
	if err := s.deploy(dir); err != nil {
		return 2, err
	}
	if err := s.awaitReady(); err != nil {
		return 2, err
	}
	var running sync.WaitGroup
	for name := range s.groups {
		for i := range fronts {
			running.Go(func() { s.call(name, i) })
		}
	}
	time.Sleep(4 * time.Second)
	status, err := s.play(trouble)
	s.stopped.Store(true)
	running.Wait()
	return status, err
}

// play partitions the primary of a group whose home is not the holder of the promotion
// lease, and checks what is acknowledged afterwards.
func (s *scenario) play(trouble bool) (int, error) {
	holder, err := s.leaseHolder()
	if err != nil {
		return 2, err
	}
	name, home := s.chooseGroup(holder)
	if name == "" {
		return 2, errors.New("the holder of the promotion lease is the home of every group")
	}
	group := s.groups[name]
	old := group.Primary()
	s.logf("group %s: primary %s, home %s, holder of the promotion lease %s", name, old, home, holder)
	if !trouble {
		time.Sleep(cutAfter + healTime)
		return s.verdict(group, name, old, time.Now(), "")
	}
	s.partition(name, old, holder, home)
	var chosen string
	select {
	case chosen = <-s.promoted:
	case <-time.After(promoteWait):
		return 2, errors.New("no promotion was asked for")
	}
	for count, _ := group.Promotions(); count == 0; count, _ = group.Promotions() {
		time.Sleep(promoteEffect)
	}
	effective := time.Now()
	s.logf("the promotion of %s has taken effect", chosen)
	time.Sleep(cutAfter)
	return s.verdict(group, name, old, effective, chosen)
}

// partition cuts the primary off from the holder of the lease and two other processes, and
// makes the server whose promotion is called next lose its connection to the other servers.
func (s *scenario) partition(name, old, holder, home string) {
	s.mu.Lock()
	s.isolateNext = name
	s.cut[path{holder, old}] = true
	for i, n := 0, 1; i < fronts && n < 3; i++ {
		if f := frontName(i); f != home && f != holder {
			s.cut[path{f, old}] = true
			n++
		}
	}
	s.mu.Unlock()
	s.logf("%s is partitioned from three of %d processes, %s among them", old, fronts, holder)
}

// verdict counts the writes that were sent to the old primary after the promotion had taken
// effect and were answered with success, then ends the disruption and counts the answered
// writes that are missing in the log.
func (s *scenario) verdict(group *userplatform.Group, name, old string, effective time.Time, chosen string) (int, error) {
	s.mu.Lock()
	late := 0
	answered := slices.Clone(s.succeeded[name])
	for _, data := range answered {
		if to := s.sent[data]; chosen != "" && to.server == old && to.at.After(effective) {
			late++
		}
	}
	clear(s.cut)
	s.mu.Unlock()
	if chosen != "" {
		group.Isolate(chosen, false)
	}
	s.logf("the partitions are healed")
	time.Sleep(healTime)
	counts := group.CommittedCounts()
	lost := 0
	for _, data := range answered {
		if counts[data] == 0 {
			lost++
			s.logf("write %s, answered with success, is missing in the log of %s", data, group.Primary())
		}
	}
	text := fmt.Sprintf("%d writes answered with success; %d of them sent to the replaced primary after the promotion had taken effect; %d missing in the end",
		len(answered), late, lost)
	s.logf("%s", text)
	fmt.Println(text)
	if len(answered) == 0 {
		return 2, errors.New("no write succeeded")
	}
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}

func frontName(i int) string { return fmt.Sprintf("front-%d", i) }

func (s *scenario) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.file, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// deploy starts the stand-ins and writes a settings file for each process.
func (s *scenario) deploy(dir string) error {
	var routes, services []map[string]any
	for i := range groups {
		name := fmt.Sprintf("orders%d", i)
		group, err := userplatform.NewGroup(name, 3, s.store)
		if err != nil {
			return err
		}
		s.groups[name], s.homes[name] = group, map[string]int{}
		for _, id := range group.ServerIDs() {
			group.Advertise(id, func(address string) string { s.listen[id] = address; return address })
		}
		routes = append(routes, map[string]any{
			"name": name, "host": name, "type": "primary", "timeout_ms": 800, "goal_ms": 100, "priority": 0, "service": name,
		})
		services = append(services, map[string]any{"name": name, "max_conns": 64, "sync_replicas": 1})
	}
	s.store.Put("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 2000},
	})
	cloud, err := serveHTTP(http.HandlerFunc(s.promote))
	if err != nil {
		return err
	}
	for i := range fronts {
		if err := s.deployFront(dir, i, cloud); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "deployed"), nil, 0o600)
}

func ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", 80+i, os.Getpid()>>8&255, os.Getpid()&255) }

// deployFront starts the relays of one process and writes its settings.
func (s *scenario) deployFront(dir string, i int, cloud string) error {
	for id, target := range s.listen {
		relay, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p := path{frontName(i), id}
		s.relays[p] = relay.Addr().String()
		go s.relay(relay, p, target)
	}
	storeAddress, err := serveHTTP(s.storeFor(frontName(i)))
	if err != nil {
		return err
	}
	var seeds []string
	for j := range 3 {
		seeds = append(seeds, ip(j)+":8782")
	}
	s.front, s.ready = append(s.front, ip(i)+":8784"), append(s.ready, ip(i)+":8785")
	lines := []string{
		"node=" + frontName(i), "role=edge", "class=front", "serves=front,control", "ip=" + ip(i), "zone=z1", "region=r1", "zones.z1=r1",
		"listen.front=" + ip(i) + ":8784", "listen.ready=" + ip(i) + ":8785", "listen.control=" + ip(i) + ":8782", "port_range=7440,7455",
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.ram_mb=284", "limits.max_fds=4300",
		"heartbeat_ms=1200", "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.fencing=false",
		"platform.addr=" + storeAddress, "platform.form=table", "cloud.addr=" + cloud, "cloud.duties=promotion",
	}
	return os.WriteFile(filepath.Join(dir, frontName(i)+".conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func serveHTTP(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // the callers are the processes under test
	return listener.Addr().String(), nil
}

// storeFor returns the store as one process sees it: with its relays in place of the
// addresses of the servers.
func (s *scenario) storeFor(front string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		s.store.ServeHTTP(answer, r)
		data := answer.Body.Bytes()
		var body map[string]json.RawMessage
		var rows []userplatform.Row
		if json.Unmarshal(data, &body) == nil && json.Unmarshal(body["rows"], &rows) == nil {
			for i, row := range rows {
				if row.Table == "servers" && !row.Removed {
					rows[i].Value = s.rewrite(front, row)
				}
			}
			body["rows"], _ = json.Marshal(rows)
			data, _ = json.Marshal(body)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		_, _ = w.Write(data)
	})
}

func (s *scenario) rewrite(front string, row userplatform.Row) []byte {
	var entry map[string]any
	if json.Unmarshal(row.Value, &entry) != nil {
		return row.Value
	}
	entry["addr"] = s.relays[path{front, row.Key}]
	data, _ := json.Marshal(entry)
	return data
}

// leaseHolder returns the process that holds the promotion lease.
func (s *scenario) leaseHolder() (string, error) {
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/rows-get?table=rattancove&part=&from=duty/&to=duty0", nil))
	var body struct{ Rows []userplatform.Row }
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil || len(body.Rows) == 0 {
		return "", errors.Join(errors.New("no promotion lease"), err)
	}
	var lease struct{ Holder string }
	return lease.Holder, json.Unmarshal(body.Rows[0].Value, &lease)
}

// chooseGroup returns a group whose home, the process that sends its writes, is not the
// holder.
func (s *scenario) chooseGroup(holder string) (name, home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range groups {
		name := fmt.Sprintf("orders%d", i)
		for front, n := range s.homes[name] {
			if front != holder && n > 50 {
				return name, front
			}
		}
	}
	return "", ""
}

// promote passes a promotion on to its group. If the group is to be disturbed, the server
// loses its connection to the other servers before the promotion takes effect.
func (s *scenario) promote(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var request struct{ Service, ID string }
	_ = json.Unmarshal(data, &request)
	group, ok := s.groups[request.Service]
	if !ok {
		http.Error(w, "unknown service", http.StatusBadRequest)
		return
	}
	s.logf("%s asks to promote %s, token %s", r.Header.Get("Rattancove-Duty-Holder"), request.ID, r.Header.Get("Rattancove-Fencing-Token"))
	s.mu.Lock()
	isolate := s.isolateNext == request.Service
	if isolate {
		s.isolateNext = ""
	}
	s.mu.Unlock()
	if isolate {
		group.Isolate(request.ID, true)
		s.logf("%s is partitioned from the other servers", request.ID)
		s.promoted <- request.ID
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	group.ServeHTTP(w, r)
}

// relay passes connections on unless the path is cut; a cut path is silent.
func (s *scenario) relay(listener net.Listener, p path, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.relayConn(conn, p, target)
	}
}

func (s *scenario) relayConn(conn net.Conn, p path, target string) {
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
			s.awaitPath(p)
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
		s.awaitPath(p)
		if fields := strings.Fields(line); len(fields) == 5 && fields[0] == "QUERY" && fields[2] == "WRITE" {
			s.mu.Lock()
			s.homes[strings.SplitN(p.server, "-", 2)[0]][p.front]++
			s.sent[fields[4]] = sending{p.server, time.Now()}
			s.mu.Unlock()
			s.logf("%s sends %s to %s", p.front, strings.TrimSpace(line), p.server)
		}
		if _, err := upstream.Write([]byte(line)); err != nil {
			return
		}
	}
}

// awaitPath waits while a path is cut.
func (s *scenario) awaitPath(p path) {
	for {
		s.mu.Lock()
		cut := s.cut[p]
		s.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(linkDelay)
	}
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

// call sends single writes to one group through one process.
func (s *scenario) call(group string, front int) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; !s.stopped.Load(); n++ {
		time.Sleep(callerPause)
		if conn == nil {
			if conn, reader = s.connect(s.front[front], group); conn == nil {
				continue
			}
		}
		data := fmt.Sprintf("%s.%d.%d", group, front, n)
		answer, err := exchange(conn, reader, fmt.Sprintf("QUERY q%s WRITE item%d %s", data, front, data))
		s.logf("write %s is answered %q, error %v", data, answer, err)
		if err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		if strings.HasPrefix(answer, "COMPLETE q") {
			s.mu.Lock()
			s.succeeded[group] = append(s.succeeded[group], data)
			s.mu.Unlock()
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (s *scenario) connect(address, database string) (net.Conn, *bufio.Reader) {
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
